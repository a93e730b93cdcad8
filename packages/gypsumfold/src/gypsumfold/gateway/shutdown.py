"""Stops a gateway at times that depend on nothing outside the process.

1. Readiness checks fail. Requests that the balancer still sends are served, and
   answers close their connections. Meanwhile the gateway's authority is ended
   and its entry withdrawn; the store may not answer.
2. After the balancer's notice it listens no more. What was read whole by then
   is served, everything else is refused.
3. What can't end before the process is killed gets its final answer.
4. Counts are stored and connections are closed.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import time

from gypsumfold import events
from gypsumfold.decisions import stopping
from gypsumfold.gateway import open_requests as open_requests_module
from gypsumfold.gateway import server as server_module
from gypsumfold.gateway.peers import forward_server as forward_server_module

Step = Callable[[], Awaitable[None]]


class Shutdown:
    """The steps of a stop.

    Attributes:
        releases: What is given up from the start on, while requests go on.
        flushes: What is stored once all requests have ended.
        closers: What is closed in the end, in this order.
        stopped_at: When the stop was requested, on the monotonic clock.

    >>> shutdown = Shutdown(server, forward_server, open_requests)
    >>> shutdown.releases["authority"] = leadership.stop
    >>> await shutdown.run(8.0)
    """

    def __init__(
        self,
        server: server_module.Server,
        forward_server: forward_server_module.ForwardServer,
        open_requests: open_requests_module.OpenRequests,
    ):
        self.server = server
        self.forward_server = forward_server
        self.open_requests = open_requests
        self.releases: dict[str, Step] = {}
        self.flushes: dict[str, Step] = {}
        self.closers: dict[str, Step] = {}
        self.stopped_at: float | None = None

    def request(self) -> None:
        """Records the time of the first request to stop."""
        if self.stopped_at is None:
            self.stopped_at = time.monotonic()

    async def run(self, grace: float) -> None:
        """Runs all steps.

        Args:
            grace: Seconds after the request until the process is killed.
        """
        self.request()
        stop = stopping.schedule(self.stopped_at, grace)
        events.log(events.NODE_STOPPING, requests=len(self.server.busy))
        self.server.stopping = True
        self.forward_server.stopping = True
        self.open_requests.end_by(stop)
        releases = self.start(self.releases)
        await asyncio.sleep(stop.intake_ends_at - time.monotonic())
        events.log(
            events.NODE_DRAINING,
            requests=len(self.server.busy),
            seconds=self.seconds(),
        )
        await asyncio.gather(
            self.server.end_intake(stop.written_at),
            self.forward_server.wait_until_idle(
                stop.written_at - time.monotonic()
            ),
        )
        await self.wait(self.start(self.flushes), stop.exits_at)
        await self.wait(releases, stop.exits_at)
        for name, close in self.closers.items():
            await self.wait(self.start({name: close}), stop.exits_at)
        events.log(events.NODE_STOPPED, seconds=self.seconds())

    def seconds(self) -> float:
        """Seconds since the stop was requested."""
        return round(time.monotonic() - self.stopped_at, 3)

    def start(self, steps: dict[str, Step]) -> dict[str, asyncio.Task]:
        """Starts steps side by side."""
        tasks = {}
        for name, step in steps.items():
            tasks[name] = asyncio.create_task(self.run_step(name, step))
        return tasks

    async def run_step(self, name: str, step: Step) -> None:
        """Runs a step; a failure doesn't hold up the others."""
        try:
            await step()
        except Exception as error:
            events.log(events.TASK_FAILED, task=name, error=repr(error))
        self.log_step(name, "ended")

    def log_step(self, name: str, outcome: str) -> None:
        """Logs how a step has ended."""
        events.log(
            events.STOP_STEP, step=name, outcome=outcome, seconds=self.seconds()
        )

    async def wait(self, tasks: dict[str, asyncio.Task], until: float) -> None:
        """Waits for steps, and gives up those that take too long.

        A step that is given up is not waited for, whatever it does.
        """
        if not tasks:
            return
        left = max(0.0, until - time.monotonic())
        await asyncio.wait(tasks.values(), timeout=left)
        for name, task in tasks.items():
            if not task.done():
                task.cancel()
                self.log_step(name, "given up")
