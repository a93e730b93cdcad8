"""The graceful shutdown of a node: its steps and their time limits.

1. The readiness check fails and the next heartbeat informs the peers.
   Requests that the load balancer still sends are served, and each answer
   closes its connection. Leases are released meanwhile; the log may not
   answer.
2. After the balancer's notice time the node stops listening and closes idle
   connections, whether the leases have been released or not.
3. Requests of callers and peers that are in progress run to completion.
   Callers whose requests exceed the limit get a final answer that says so.
4. The rest of the node is closed.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import time

from gypsumfold import events
from gypsumfold import settings as settings_module

# Time limit of one release. It cannot succeed while the log is down; the
# lease then expires by itself.
RELEASE_TIMEOUT_SECONDS = 5.0
# Time limit for closing the rest of the node, which writes to the log again.
CLOSE_TIMEOUT_SECONDS = 5.0
# Time beyond the limit for the last bytes of an answer, including the final
# answer to an abandoned request.
FINAL_WRITE_SECONDS = 5.0
# Interval between checks of the requests in progress.
CHECK_INTERVAL_SECONDS = 0.02


class Shutdown:
    """Stops a node without aborting requests within the time limit.

    >>> node.shutdown.register("leases", leases.release)
    >>> await node.shutdown.run(node)
    """

    def __init__(self, settings: settings_module.ShutdownSection):
        self.settings = settings
        self.releases: dict[str, Callable[[], Awaitable[None]]] = {}

    def register(
        self, name: str, release: Callable[[], Awaitable[None]]
    ) -> None:
        """Registers a function to call when the shutdown starts.

        Args:
            name: Name in log lines.
            release: Awaited once, for `RELEASE_TIMEOUT_SECONDS` at most.
        """
        self.releases[name] = release

    async def run(self, node) -> None:
        """Stops the node; returns when all its tasks have ended."""
        node.stopping = True
        events.log(events.NODE_STOPPING)
        releases = []
        for name, release in self.releases.items():
            releases.append(asyncio.create_task(self.release(name, release)))
        await asyncio.sleep(self.settings.notice)
        await node.stop_listening()
        await self.drain(node)
        if releases:
            await asyncio.wait(releases)
        await self.close(node)
        events.log(events.NODE_STOPPED)

    async def close(self, node) -> None:
        """Closes the rest of the node; calls of the log may not be answered."""
        closing = asyncio.create_task(node.close())
        await asyncio.wait({closing}, timeout=CLOSE_TIMEOUT_SECONDS)
        if not closing.done():
            events.log(
                events.STOP_STEP,
                step="close",
                outcome="given up",
                seconds=CLOSE_TIMEOUT_SECONDS,
            )
            closing.cancel()

    async def release(
        self, name: str, release: Callable[[], Awaitable[None]]
    ) -> None:
        """Runs one release; an error does not delay the shutdown."""
        try:
            async with asyncio.timeout(RELEASE_TIMEOUT_SECONDS):
                await release()
        except Exception as error:
            # No error may stop the shutdown; an unreleased lease expires.
            events.log(events.TASK_FAILED, task=name, error=repr(error))

    async def drain(self, node) -> None:
        """Waits for requests in progress up to the limit, then aborts them."""
        limit = time.monotonic() + self.settings.limit
        events.log(events.NODE_DRAINING, requests=node.in_progress())
        closing = asyncio.create_task(
            node.end_connections(self.settings.limit + FINAL_WRITE_SECONDS)
        )
        await self.wait_until_idle(node, limit)
        if node.in_progress():
            events.log(events.NODE_GAVE_UP, requests=node.in_progress())
            node.callers.abort_requests()
            await self.wait_until_idle(node, limit + FINAL_WRITE_SECONDS)
        if node.in_progress():
            closing.cancel()
        await asyncio.wait([closing])

    async def wait_until_idle(self, node, limit: float) -> None:
        """Waits until no request is in progress, or until a monotonic time."""
        while node.in_progress():
            if time.monotonic() > limit:
                return
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
