"""Puts changes of configuration on the log and reads them back."""

import asyncio
import random
import time

from gypsumfold import changes
from gypsumfold import configuration as configuration_module
from gypsumfold import exceptions
from gypsumfold import snapshots
from gypsumfold.logservice import logs
from gypsumfold.logservice import records

# Seconds until an operator is told that the log does not answer. Longer
# than two of the platform's time limits, so that a lost answer is repeated
# at least once.
LIMIT = 6.0
# Seconds until then where every append was refused, so that nothing can have
# been appended: room for a burst over the log's rate to pass.
REFUSED_LIMIT = 1.5
# Seconds between two appends of one change, plus up to as much at random.
PAUSE = 0.2
# Bytes of a batch beside the change itself: the log's JSON brackets.
MARGIN = 1024


def check(change: changes.Change) -> None:
    """Refuses a change of which the log would say nothing.

    Raises:
        exceptions.ChangeRejected: It is too large, or its id is malformed
            or not of this hour.
    """
    change_id = change.change_id
    if len(records.encode([change])) > records.MAX_BATCH_BYTES - MARGIN:
        raise exceptions.ChangeRejected(
            f"the change is larger than {records.MAX_BATCH_BYTES} bytes; "
            "apply it in several"
        )
    now = time.time()
    changes.check_ahead(change_id, now)
    if changes.is_void(change_id, now):
        raise exceptions.ChangeRejected(
            f"the change id is more than {changes.MAX_ID_AGE_SECONDS:.0f} s "
            "old; what became of an earlier attempt is no longer known"
        )


class Publisher:
    """Appends changes until their outcome is known from the log itself.

    >>> outcome = await Publisher(configuration, log).publish(change)
    >>> outcome.accepted
    True
    """

    def __init__(
        self,
        configuration: configuration_module.Configuration,
        log: logs.Log,
    ):
        self.configuration = configuration
        self.log = log
        self.moved = asyncio.Event()
        configuration.watch(lambda outcome: self.moved.set())
        configuration.subscribe(self.moved.set)

    async def publish(self, change: changes.Change) -> changes.Outcome:
        """Publishes a change; the same change id may be given again.

        Args:
            change: What is asked for.

        Returns:
            What the log's order made of it.

        Raises:
            exceptions.ChangeRejected: It was not sent.
            exceptions.LogUnavailable: It is not on the log.
            exceptions.AppendUndetermined: It may be on the log, or was
                not read back; the same change id may be tried again.
        """
        known = self.configuration.outcome(change.change_id)
        if known:
            return known
        check(change)
        loop = asyncio.get_running_loop()
        end = loop.time() + LIMIT
        refused_end = loop.time() + REFUSED_LIMIT
        failure = None
        while loop.time() < end:
            try:
                await self.log.append(records.CONFIG, [change])
            except exceptions.AppendUndetermined as error:
                failure = error
            except exceptions.LogUnavailable as error:
                # An earlier append that may have landed counts for more.
                failure = failure or error
                if failure is error and loop.time() > refused_end:
                    raise
            else:
                return await self.read_back(change.change_id, end)
            pause = loop.time() + PAUSE * (1 + random.random())
            found = await self.wait(change.change_id, min(pause, end))
            if found:
                return found
        raise failure

    async def read_back(self, change_id: str, end: float) -> changes.Outcome:
        """Waits for the outcome of a change that is on the log."""
        found = await self.wait(change_id, end)
        if found:
            return found
        raise exceptions.AppendUndetermined(
            "the change is on the log and was not read back in time"
        )

    async def wait(self, change_id: str, end: float) -> changes.Outcome | None:
        """Waits for an outcome until a time of the loop's clock."""
        loop = asyncio.get_running_loop()
        while True:
            found = self.configuration.outcome(change_id)
            left = end - loop.time()
            if found or left <= 0:
                return found
            # Several may wait, so nobody relies on the event staying set.
            self.moved.clear()
            try:
                # Not wait_for: Python 3.11's may lose a cancellation.
                async with asyncio.timeout(left):
                    await self.moved.wait()
            except TimeoutError:
                continue

    async def publish_snapshot(self) -> int:
        """Puts a snapshot of the configuration on the log.

        Returns:
            The offset that it names.

        Raises:
            exceptions.PlatformError: Not all parts are on the log for sure;
                the rest is harmless.
        """
        snapshot = self.configuration.snapshot()
        for part in snapshots.split(snapshot):
            await self.log.append(records.CONFIG, [part])
        return snapshot.offset
