"""Runs the node's tasks and restarts those that fail."""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import random

from gypsumfold import events

# Seconds until a failed task is restarted, plus up to as much at random.
RESTART_SECONDS = 0.2


class Supervisor:
    """Tasks that run until the node stops.

    Attributes:
        tasks: The tasks by name.
        failures: How often each task has failed since the start.

    >>> supervisor = Supervisor()
    >>> supervisor.start("planner", planner.run)
    """

    def __init__(self):
        self.tasks: dict[str, asyncio.Task] = {}
        self.failures: collections.Counter[str] = collections.Counter()

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
            try:
                return await function()
            except Exception as error:
                # No error of one part may stop the node.
                self.failures[name] += 1
                events.log(
                    events.TASK_FAILED,
                    task=name,
                    failures=self.failures[name],
                    error=repr(error),
                )
            await asyncio.sleep(RESTART_SECONDS * (1 + random.random()))

    async def cancel_all(self) -> None:
        """Cancels all tasks and waits for their ends."""
        for task in self.tasks.values():
            task.cancel()
        await asyncio.gather(*self.tasks.values(), return_exceptions=True)
