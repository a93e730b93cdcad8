"""Follows topics of the store and tracks whether the store answers."""

import asyncio
from collections.abc import Callable
import contextlib
import math
import random
from typing import Protocol

from gypsumfold import clocks
from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold.decisions import contact as contact_module
from gypsumfold.decisions import eras
from gypsumfold.decisions import polling
from gypsumfold.decisions import topic_staleness as topic_staleness_module
from gypsumfold.platform import store as store_module

# Seconds until all keys are read again, in case a record was missed.
REREAD_SECONDS = 20.0
# Minimum seconds between two reads of all keys for records that are gone.
MIN_REREAD_SECONDS = 0.2
# Seconds between two checks of a node that follows a relay whether to read the
# store itself: a tenth of the time within which it must have read.
CHECK_INTERVAL_SECONDS = 0.2
# Largest age that is logged or sent. Before the first read the age is infinite,
# which JSON can't express.
MAX_AGE_SECONDS = 1e5


class StoreState:
    """Whether the store answers this node; logs changes.

    >>> state = StoreState(bound=3.0)
    >>> state.call_failed(error, asked=clocks.now())
    """

    def __init__(self, bound: float):
        self.contact = contact_module.Contact(bound, clocks.now())

    def call_failed(
        self, error: exceptions.PlatformError, asked: float
    ) -> None:
        """Records a failed call.

        The loss of a kept-alive connection says nothing about the store; the
        next call, on a new connection, does.

        Args:
            error: What went wrong.
            asked: When the call was made, by `clocks.now`.
        """
        if isinstance(error, exceptions.ConnectionLost):
            return
        if self.contact.failed(asked, clocks.now()):
            events.log(events.STORE_LOST, reason=str(error))

    def call_answered(self) -> None:
        """Records an answered call."""
        seconds = self.contact.answered(clocks.now())
        if seconds is not None:
            events.log(events.STORE_REGAINED, seconds=round(seconds, 3))

    def store_returned(self) -> None:
        """Records that the store has returned from an older copy."""
        self.contact.restart(clocks.now())

    def contact_since(self) -> float:
        """Returns when the present contact began, by `clocks.now`."""
        since = self.contact.connected_since
        return clocks.now() if since is None else since

    def confirm_relayed(self, direct: bool) -> None:
        """Records another node's confirmation that the store was reachable.

        Args:
            direct: Whether that node's own calls were answered.
        """
        self.contact.confirm(direct, clocks.now())

    def shared_grace(self, may_forward: bool) -> float:
        """Returns the grace period that is sent to other nodes, in seconds.

        Args:
            may_forward: Whether the receivers may forward it.
        """
        return self.contact.shared_grace(may_forward, clocks.now())

    def grace(self) -> float:
        """Returns the seconds to keep a replica whose entry is missing."""
        return self.contact.grace(clocks.now())


class Consumer(Protocol):
    """Receives the records of a keyed topic."""

    def replace(self, records: list[store_module.Record], end: int) -> float:
        """Replaces all entries; returns seconds until the next read, or 0."""

    def update(self, records: list[store_module.Record]) -> None:
        """Applies records written since the last read."""


class TopicWatch:
    """Follows one keyed topic; after a failed read it reads all keys again.

    Attributes:
        has_new_records: Whether the last read returned records.
        has_read_all: Whether the entire topic was read once.
        called_at: When the last call was made.
        position: Position of the next record, with the store's era.
        complete_at: When this copy was last complete; all keys are read again
            `REREAD_SECONDS` after that.
        is_suspect: Whether a read has failed since all keys were read. An
            equal copy of another node doesn't clear it: all nodes may have
            missed records that the store no longer has.
        staleness: The maximum age of this copy.
        direct_read_at: When this node last read although it follows a relay,
            on the clock that counts suspension.
        should_read: Whether this node should read now.
        is_reader: Whether this node reads the store for others.
        wake: Set to check `should_read` at once.

    >>> watch = TopicWatch(
    ...     store, state, topic, consumer, lambda: 0.0, lambda: 1.0
    ... )
    >>> await watch.run()
    """

    def __init__(
        self,
        store: store_module.Store,
        state: StoreState,
        topic: str,
        consumer: Consumer,
        pause: Callable[[], float],
        wait: Callable[[], float],
        bound: float = math.inf,
    ):
        self.store = store
        self.state = state
        self.topic = topic
        self.consumer = consumer
        self.pause = pause
        self.wait = wait
        self.has_new_records = False
        self.has_read_all = False
        self.failures = 0
        self.called_at = -math.inf
        self.position = 0
        self.complete_at = -math.inf
        self.is_suspect = False
        self.history_lost_at = -math.inf
        self.staleness = topic_staleness_module.TopicStaleness(bound)
        self.direct_read_at = -math.inf
        self.should_read: Callable[[], bool] = lambda: True
        self.is_reader: Callable[[], bool] = lambda: True
        self.wake = asyncio.Event()
        self.read_timeout: asyncio.Timeout | None = None

    async def run(self) -> None:
        """Follows the topic for as long as the node runs."""
        while True:
            if not self.should_read():
                await self.wait_for_check()
                continue
            try:
                await self.read_once()
            except exceptions.ReadOverdue as error:
                self.read_failed(error)
            except store_module.HistoryLost as error:
                await self.history_lost(error)
            except exceptions.PlatformError as error:
                self.state.call_failed(error, self.called_at)
                self.failures += 1
                took = self.read_failed(error)
                await asyncio.sleep(
                    polling.retry_delay(self.failures, random.random(), took)
                )

    async def history_lost(self, error: store_module.HistoryLost) -> None:
        """Has all keys read at once: the store answers, but not from there."""
        now = clocks.now()
        if now - self.history_lost_at < MIN_REREAD_SECONDS:
            await asyncio.sleep(MIN_REREAD_SECONDS)
        self.history_lost_at = now
        events.log(
            events.TOPIC_BEHIND,
            topic=self.topic,
            reason=str(error),
            position=eras.offset_of(self.position),
            era=eras.era_of(self.position),
        )
        self.is_suspect = True

    def read_failed(self, error: exceptions.PlatformError) -> float:
        """Has all keys read again; returns the seconds of the failed read."""
        self.is_suspect = True
        now = clocks.now()
        took = now - self.called_at
        events.log(
            events.TOPIC_UNREAD,
            topic=self.topic,
            reason=str(error),
            seconds=round(took, 3),
            failures=self.failures,
            age=rounded_age(self.staleness, now),
        )
        return took

    def cancel_overdue_read(self, since: float, limit: float) -> None:
        """Cancels a read that still waits for what another node has read.

        Args:
            since: When this node learnt of that, by `clocks.now`.
            limit: Seconds from then on, from the call or from the last data
                received, whichever is latest, that the read may take.
        """
        if self.read_timeout is None:
            return
        last = max(since, self.called_at, self.store.received_at)
        if clocks.now() - last > limit:
            self.read_timeout.reschedule(asyncio.get_running_loop().time())

    def store_era(self) -> int:
        """Returns the store's newest era that this node has seen itself."""
        return self.store.eras.current

    async def wait_for_check(self) -> None:
        """Waits until `should_read` is to be checked again."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(
                CHECK_INTERVAL_SECONDS * random.uniform(0.5, 1.0)
            ):
                await self.wake.wait()
        self.wake.clear()

    async def read_once(self) -> None:
        """Reads all keys or only the records written since the last read."""
        alone = not self.is_reader()
        now = clocks.now()
        if self.is_suspect or now - self.complete_at > REREAD_SECONDS:
            await self.read_newest()
        else:
            await self.read_updates()
        self.failures = 0
        self.state.call_answered()
        if alone:
            self.direct_read_at = clocks.now()

    async def read_newest(self) -> None:
        """Reads the newest record of every key."""
        asked = self.called_at = clocks.now()
        page = await self.store.newest(self.topic)
        if self.is_suspect and self.has_read_all:
            events.log(
                events.TOPIC_READ,
                topic=self.topic,
                age=rounded_age(self.staleness, asked),
            )
        again = self.consumer.replace(page.records, page.end)
        self.has_read_all = True
        self.position = page.end
        self.complete_at = asked
        if again:
            self.complete_at += again - REREAD_SECONDS
        self.is_suspect = False
        self.staleness.record_read(asked)

    async def read_updates(self) -> None:
        """Reads the records since the last read; a reader waits for one."""
        wait = 0.0
        if self.is_reader():
            await asyncio.sleep(self.pause())
            reread_at = self.complete_at + REREAD_SECONDS
            wait = max(0.0, min(self.wait(), reread_at - clocks.now()))
        start = self.position
        asked = self.called_at = clocks.now()
        page = await self.read_page(start, wait)
        self.consumer.update(page.records)
        self.position = max(page.end, self.position)
        self.has_new_records = bool(page.records)
        if not page.records and not self.is_reader():
            # Avoids a busy loop while a relay reports records not read here.
            await self.wait_for_check()
        # The store answers with an empty page after the entire wait.
        self.staleness.record_read(asked if page.records else asked + wait)

    async def read_now(self) -> bool:
        """Reads what has been written up to now, beside `run`.

        Returns:
            Whether this copy has all of it.

        Raises:
            exceptions.PlatformError: The store did not answer.
        """
        if self.is_suspect or not self.has_read_all:
            return False
        asked = clocks.now()
        page = await self.store.read(self.topic, self.position, 0.0)
        self.consumer.update(page.records)
        self.position = max(page.end, self.position)
        self.staleness.record_read(asked)
        return not self.is_suspect

    async def read_page(self, start: int, wait: float) -> store_module.Page:
        """Reads records from an offset on.

        Raises:
            exceptions.ReadOverdue: Another node has read more, and this read
                was cancelled.
            exceptions.PlatformError: The store did not answer.
        """
        try:
            async with asyncio.timeout(None) as self.read_timeout:
                return await self.store.read(self.topic, start, wait)
        except TimeoutError as error:
            reason = "another node has read more"
            raise exceptions.ReadOverdue(reason) from error
        finally:
            self.read_timeout = None

    def confirm_relayed(self, end: int, known_at: float) -> None:
        """Records the position and time of a relay with an equal copy.

        Args:
            end: Position up to which it has read. One of an earlier era says
                nothing, nor one of a later era to a node that reads itself:
                equal copies of two eras may lack different records.
            known_at: When its copy was up to date.
        """
        era = eras.era_of(end)
        if era < self.store_era():
            return
        if era > self.store_era() and self.is_reader():
            return
        self.position = max(end, self.position)
        self.complete_at = max(known_at, self.complete_at)
        self.staleness.confirm(known_at)
        if not self.is_reader() and not self.staleness.is_stale(clocks.now()):
            self.failures = 0
            self.state.call_answered()


def rounded_age(
    known: topic_staleness_module.TopicStaleness, now: float
) -> float:
    """Returns the age of a copy, capped and rounded for a log line."""
    return round(min(known.age(now), MAX_AGE_SECONDS), 3)
