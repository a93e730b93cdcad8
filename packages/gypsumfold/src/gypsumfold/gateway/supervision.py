"""Runs the node's tasks and restarts those that fail."""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import random
import time

from gypsumfold import events

# Seconds until a failed task is restarted, plus up to as much at random.
RESTART_SECONDS = 0.2
# A task that has failed so often, each time within so many seconds after it was
# restarted, does not do its work.
FAILURES_IN_ROW = 3
STEADY_SECONDS = 2.0


class Supervisor:
    """Tasks that run until the node stops.

    Attributes:
        tasks: The tasks by name.
        failures: How often each task has failed since the start.
        in_row: Failures of each task soon after a restart, up to the last one.
        failed_at: When each task failed last, on the monotonic clock.

    >>> supervisor = Supervisor()
    >>> supervisor.start("planner", planner.run)
    """

    def __init__(self):
        self.tasks: dict[str, asyncio.Task] = {}
        self.failures: collections.Counter[str] = collections.Counter()
        self.in_row: collections.Counter[str] = collections.Counter()
        self.failed_at: dict[str, float] = {}

    def start(self, name: str, function: Callable[[], Awaitable[None]]) -> None:
        """Runs a task until the node stops; restarts it if it fails."""
        self.tasks[name] = asyncio.create_task(
            self.keep_running(name, function)
        )

    async def keep_running(
        self, name: str, function: Callable[[], Awaitable[None]]
    ) -> None:
        """Runs a function until it returns; restarts it if it raises."""
        while True:
            started = time.monotonic()
            try:
                return await function()
            except Exception as error:
                # No error of one part may stop the node.
                self.record_failure(name, started, time.monotonic())
                events.log(
                    events.TASK_FAILED,
                    task=name,
                    failures=self.failures[name],
                    error=repr(error),
                )
            await asyncio.sleep(RESTART_SECONDS * (1 + random.random()))

    def record_failure(self, name: str, started: float, now: float) -> None:
        """Counts the failure of a task that was started at a time."""
        self.failures[name] += 1
        if now - started >= STEADY_SECONDS:
            self.in_row[name] = 0
        self.in_row[name] += 1
        self.failed_at[name] = now

    def is_failing(self, name: str, now: float) -> bool:
        """Whether a task fails again each time that it is restarted."""
        if self.in_row[name] < FAILURES_IN_ROW:
            return False
        steady_at = self.failed_at[name] + 2 * RESTART_SECONDS + STEADY_SECONDS
        return now < steady_at

    async def cancel_all(self) -> None:
        """Cancels all tasks and waits for their ends."""
        for task in self.tasks.values():
            task.cancel()
        await asyncio.gather(*self.tasks.values(), return_exceptions=True)
