"""The graceful shutdown of a node: the order of its steps, and their limits.

1. Readiness fails and peers are told by the next heartbeat; what others hold
   on to (leases) is released. Requests that the balancer still sends are
   served, and each answer closes its connection.
2. After the balancer's notice time the node listens no more; idle
   connections are closed.
3. Requests in progress, of callers and of peers, end whole. Callers whose
   requests outlast the limit get a final answer that says so.
4. The rest of the node is taken down.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import time

from gypsumfold import events
from gypsumfold import settings as settings_module

# Seconds that one release may take. With the log down it cannot succeed; the
# lease then lapses by itself.
RELEASE_TIMEOUT_SECONDS = 5.0
# Seconds beyond the limit for the last bytes of an answer, also of the final
# answer to a request that was given up.
FINAL_WRITE_SECONDS = 5.0
# Seconds between two looks at the requests in progress.
CHECK_INTERVAL_SECONDS = 0.02


class Shutdown:
    """Stops a node without cutting a request.

    >>> node.shutdown.register("leases", leases.release)
    >>> await node.shutdown.run(node)
    """

    def __init__(self, settings: settings_module.ShutdownSection):
        self.settings = settings
        self.releases: dict[str, Callable[[], Awaitable[None]]] = {}

    def register(
        self, name: str, release: Callable[[], Awaitable[None]]
    ) -> None:
        """Adds something to release as soon as the shutdown begins.

        Args:
            name: For the log.
            release: Awaited once, for `RELEASE_LIMIT` at most.
        """
        self.releases[name] = release

    async def run(self, node) -> None:
        """Stops the node; returns when nothing of it runs any more."""
        node.stopping = True
        events.log(events.NODE_STOPPING)
        async with asyncio.TaskGroup() as group:
            group.create_task(asyncio.sleep(self.settings.notice))
            for name, release in self.releases.items():
                group.create_task(self.release(name, release))
        await node.stop_listening()
        await self.drain(node)
        await node.close()
        events.log(events.NODE_STOPPED)

    async def release(
        self, name: str, release: Callable[[], Awaitable[None]]
    ) -> None:
        """Releases one thing; a failure to do so holds nothing up."""
        try:
            async with asyncio.timeout(RELEASE_TIMEOUT_SECONDS):
                await release()
        except Exception as error:
            # Whatever it was, the shutdown goes on; what is not released
            # lapses.
            events.log(events.TASK_FAILED, task=name, error=repr(error))

    async def drain(self, node) -> None:
        """Waits for the requests in progress, up to the limit."""
        limit = time.monotonic() + self.settings.limit
        events.log(events.NODE_DRAINING, requests=node.in_progress())
        closing = asyncio.create_task(
            node.end_connections(self.settings.limit + FINAL_WRITE_SECONDS)
        )
        await self.wait_until_idle(node, limit)
        if node.in_progress():
            events.log(events.NODE_GAVE_UP, requests=node.in_progress())
            node.callers.give_up()
            await self.wait_until_idle(node, limit + FINAL_WRITE_SECONDS)
        if node.in_progress():
            closing.cancel()
        await asyncio.wait([closing])

    async def wait_until_idle(self, node, limit: float) -> None:
        """Waits until no request is in progress, up to a monotonic time."""
        while node.in_progress():
            if time.monotonic() > limit:
                return
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
