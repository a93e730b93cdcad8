"""Has what a node knows of replicas and routes confirmed by the store."""

import asyncio
import math
from typing import Protocol

from gypsumfold import clocks
from gypsumfold import events
from gypsumfold import exceptions

# Seconds for an answer of the store, while a caller waits.
ANSWER_SECONDS = 0.25
# Least seconds between two reads; all that wait meanwhile share the next one.
INTERVAL_SECONDS = 0.05


class Watch(Protocol):
    """Follows a topic of the store."""

    async def read_now(self) -> bool:
        """Reads what has been written; returns whether the copy has it all.

        Raises:
            exceptions.PlatformError: The store did not answer.
        """


class ViewConfirmations:
    """Reads topics up to the moment of a call.

    Attributes:
        next_read: The read that has not been sent yet; None if there is none.
        last_read: The read before it.
        read_at: When that was sent, by `clocks.now`.

    >>> confirmations = ViewConfirmations([registrations, configuration])
    >>> await confirmations.confirm()
    True
    """

    def __init__(self, watches: list[Watch]):
        self.watches = watches
        self.next_read: asyncio.Task[bool] | None = None
        self.last_read: asyncio.Task[bool] | None = None
        self.read_at = -math.inf

    async def confirm(self) -> bool:
        """Returns whether all that was written before the call is known.

        A read that is under way may have been answered before the call, so the
        next one decides.
        """
        if self.next_read is None:
            self.next_read = asyncio.create_task(self.read_next(self.last_read))
        return await asyncio.shield(self.next_read)

    async def read_next(self, before: asyncio.Task[bool] | None) -> bool:
        """Reads once the read before has ended."""
        if before is not None:
            await asyncio.wait({before})
        await asyncio.sleep(self.read_at + INTERVAL_SECONDS - clocks.now())
        self.last_read, self.next_read = self.next_read, None
        self.read_at = clocks.now()
        try:
            async with asyncio.timeout(ANSWER_SECONDS):
                reads = [watch.read_now() for watch in self.watches]
                return all(await asyncio.gather(*reads))
        except (exceptions.PlatformError, TimeoutError) as error:
            events.log(events.VIEW_UNCONFIRMED, reason=repr(error))
            return False
