"""Follows the store's records of the configuration and of the replicas."""

import asyncio
from collections.abc import Callable
import contextlib
import math
import random
import time
from typing import Protocol

import msgspec

from gypsumfold import clocks
from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold.decisions import contact as contact_module
from gypsumfold.decisions import following as following_module
from gypsumfold.decisions import polling
from gypsumfold.decisions import registry as registry_module
from gypsumfold.gateway import directory as directory_module
from gypsumfold.gateway import types
from gypsumfold.platform import decoding
from gypsumfold.platform import names
from gypsumfold.platform import store as store_module

# Seconds that a read of the registrations waits at most.
REGISTRATIONS_WAIT = 1.0
# Share of the time within which a leaving replica must be known for which a
# node waits that reads for others: what it says is then younger than the age
# at which they read for themselves (`decisions/following.py`).
READER_SHARE = 0.3
# Seconds until all keys are read again, in case a record was missed.
REREAD = 20.0
# Seconds between two looks of a node that follows a relay, whether it is to
# read the store itself: a tenth of the time within which it must have read.
LOOK = 0.2
# Entries that are remembered as logged already; more in one fleet are logged
# again.
MOST_SKIPPED = 256
# Seconds of age beyond which it does not matter how old something is: where
# nothing was ever read the age is infinite, which JSON does not have.
MOST_AGE = 1e5
# How registrations are told from node to node.
ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(types.Replica)


class StoreState:
    """Whether the store answers this node; logs where that changes.

    >>> state = StoreState(bound=3.0)
    >>> state.failed(error, asked=clocks.now())
    """

    def __init__(self, bound: float):
        self.contact = contact_module.Contact(bound, clocks.now())

    def failed(self, error: exceptions.PlatformError, asked: float) -> None:
        """Notes a call that failed.

        A kept connection that is lost says nothing of the store: the next
        call, on a new one, does.

        Args:
            error: What went wrong.
            asked: When the call was made, by `clocks.now`.
        """
        if isinstance(error, exceptions.ConnectionLost):
            return
        if self.contact.failed(asked, clocks.now()):
            events.log(events.STORE_LOST, reason=str(error))

    def answered(self) -> None:
        """Notes a call that was answered."""
        seconds = self.contact.answered(clocks.now())
        if seconds is not None:
            events.log(events.STORE_REGAINED, seconds=round(seconds, 3))

    def vouch(self, own: bool) -> None:
        """Notes that another node says that the store was there all along.

        Args:
            own: Whether it knows that by its own calls.
        """
        self.contact.vouch(own, clocks.now())

    def told_grace(self, between: bool) -> float:
        """Seconds for which a missing entry is believed, as others are told.

        Args:
            between: Whether those are told who might pass it on.
        """
        return self.contact.told_grace(between, clocks.now())

    def grace(self) -> float:
        """Seconds for which a missing entry is believed."""
        return self.contact.grace(clocks.now())


class Consumer(Protocol):
    """What a keyed topic's records are for."""

    def replace(self, records: list[store_module.Record]) -> None:
        """Takes in the newest record of every key."""

    def update(self, records: list[store_module.Record]) -> None:
        """Takes in records that came since."""


class Watch:
    """Follows one keyed topic; goes on from the newest after any doubt.

    Attributes:
        flowing: Whether the last read brought records.
        asked: When the last call was made.
        read: Whether the whole topic was read once.
        position: Offset of the next record.
        whole_at: When all was known; the newest records are read again some
            time after that.
        doubted: Whether a read failed since the newest records were read.
            What others know does not settle that: they may all have missed
            what the store has forgotten.
        following: How old what is known is at the worst.
        alone_at: When this node last read though it follows a relay, on the
            clock that counts suspension.
        needed: Whether this node is to read now.
        wake: Set where it is to look at that at once.

    >>> watch = Watch(
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
        self.flowing = False
        self.read = False
        self.failures = 0
        self.asked = -math.inf
        self.position = 0
        self.whole_at = -math.inf
        self.doubted = False
        self.following = following_module.Following(bound)
        self.alone_at = -math.inf
        self.needed: Callable[[], bool] = lambda: True
        self.reads: Callable[[], bool] = lambda: True
        self.wake = asyncio.Event()
        self.waiting: asyncio.Timeout | None = None

    async def run(self) -> None:
        """Follows the topic for as long as the node runs."""
        while True:
            if not self.needed():
                await self.idle()
                continue
            try:
                await self.step()
            except exceptions.ReadOverdue as error:
                self.failed(error)
            except exceptions.PlatformError as error:
                self.state.failed(error, self.asked)
                self.failures += 1
                took = self.failed(error)
                await asyncio.sleep(
                    polling.retry(self.failures, random.random(), took)
                )

    def failed(self, error: exceptions.PlatformError) -> float:
        """Has all read again after a failed read; returns its seconds."""
        self.doubted = True
        now = clocks.now()
        took = now - self.asked
        events.log(
            events.TOPIC_UNREAD,
            topic=self.topic,
            reason=str(error),
            seconds=round(took, 3),
            failures=self.failures,
            age=rounded_age(self.following, now),
        )
        return took

    def overdue(self, since: float, limit: float) -> None:
        """Gives up a read that waits for what another node has read.

        Args:
            since: When that was first known, by `clocks.now`.
            limit: Seconds that it may wait on.
        """
        if self.waiting is None:
            return
        if clocks.now() - max(since, self.asked) > limit:
            self.waiting.reschedule(asyncio.get_running_loop().time())

    async def idle(self) -> None:
        """Waits until it is time to look again whether to read."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LOOK * random.uniform(0.5, 1.0)):
                await self.wake.wait()
        self.wake.clear()

    async def step(self) -> None:
        """Reads once: the newest records, or those that came since."""
        alone = not self.reads()
        now = clocks.now()
        if self.doubted or now - self.whole_at > REREAD:
            await self.read_newest()
        else:
            await self.read_on()
        self.failures = 0
        self.state.answered()
        if alone:
            self.alone_at = clocks.now()

    async def read_newest(self) -> None:
        """Reads the newest record of every key."""
        asked = self.asked = clocks.now()
        page = await self.store.newest(self.topic)
        if self.doubted and self.read:
            events.log(
                events.TOPIC_READ,
                topic=self.topic,
                age=rounded_age(self.following, asked),
            )
        self.consumer.replace(page.records)
        self.read = True
        self.position = page.end
        self.whole_at = asked
        self.doubted = False
        self.following.read(asked)

    async def read_on(self) -> None:
        """Reads the records that came since; waits for one as a reader."""
        wait = 0.0
        if self.reads():
            await asyncio.sleep(self.pause())
            wait = self.wait()
        start = self.position
        asked = self.asked = clocks.now()
        page = await self.read_page(start, wait)
        self.consumer.update(page.records)
        self.position = max(page.end, self.position)
        self.flowing = bool(page.records)
        if not page.records and not self.reads():
            # A relay that speaks of more is not asked for it in a loop.
            await self.idle()
        # The store answers an empty page once it has waited in vain.
        self.following.read(asked if page.records else asked + wait)

    async def read_page(self, start: int, wait: float) -> store_module.Page:
        """Reads from an offset on, unless that becomes overdue.

        Raises:
            exceptions.ReadOverdue: Another node has read more meanwhile.
            exceptions.PlatformError: The store did not answer.
        """
        try:
            async with asyncio.timeout(None) as self.waiting:
                return await self.store.read(self.topic, start, wait)
        except TimeoutError as error:
            reason = "another node has read more"
            raise exceptions.ReadOverdue(reason) from error
        finally:
            self.waiting = None

    def trust(self, end: int, known_at: float) -> None:
        """Takes over how far a relay has read that knows the same."""
        self.position = max(end, self.position)
        self.whole_at = max(known_at, self.whole_at)
        self.following.confirmed(known_at)
        if not self.reads() and not self.following.doubtful(clocks.now()):
            self.failures = 0
            self.state.answered()


class Configurations:
    """Keeps the newest configuration; an older one never replaces it.

    Attributes:
        current: What is in force; None before the first.
        record: As the operators wrote it, for other nodes.
        announced: The newest version that another node had in force.
        announced_at: When that was first heard, by `clocks.now`.
    """

    def __init__(self):
        self.current: types.Configuration | None = None
        self.record = b""
        self.announced = 0
        self.announced_at = -math.inf
        self.listeners: list[Callable[[types.Configuration], None]] = []

    def replace(self, records: list[store_module.Record]) -> None:
        """Takes in the newest record of every key."""
        self.take(records, "newest")

    def update(self, records: list[store_module.Record]) -> None:
        """Takes in records that came since."""
        self.take(records, "read")

    def take(self, records: list[store_module.Record], source: str) -> None:
        """Takes in records of the store."""
        for record in records:
            if record.key != names.CONFIGURATION_KEY or not record.value:
                continue
            self.offer(record.value, source)

    def version(self) -> int:
        """Of the configuration in force; 0 for none."""
        return self.current.version if self.current else 0

    def announce(self, version: int) -> None:
        """Notes which version another node has in force."""
        if version > self.announced:
            self.announced = version
            self.announced_at = clocks.now()

    def behind(self) -> float:
        """Seconds for which a newer version has been known of; 0 for none."""
        if self.version() >= self.announced:
            return 0.0
        return clocks.now() - self.announced_at

    def offer(self, record: bytes, source: str) -> None:
        """Puts a configuration in force if it is newer.

        Args:
            record: As the operators wrote it.
            source: How it came, for the log: "newest" or "read" from the
                store, or "peer".
        """
        try:
            found = decoding.configuration(record)
        except exceptions.RecordInvalid as error:
            events.log(events.CONFIG_UNREADABLE, reason=str(error))
            return
        old = self.current
        if old is not None and found.version <= old.version:
            return
        behind = self.behind()
        self.current = found
        self.record = record
        events.log(
            events.CONFIG_IN_FORCE,
            version=found.version,
            before=old.version if old else None,
            source=source,
            behind=round(behind, 3),
        )
        for listener in self.listeners:
            listener(found)


class Registrations:
    """Keeps the directory of replicas as the store has it.

    Attributes:
        registry: The entries as they stand in the log, to be told to others.
        skipped: The last entry under each key that could not be used.
        unreadable: How many such entries were seen.
        changed: Called where a reading has brought something new.
    """

    def __init__(
        self, directory: directory_module.Directory, state: StoreState
    ):
        self.directory = directory
        self.state = state
        self.registry = registry_module.Registry()
        self.skipped: dict[str, bytes] = {}
        self.unreadable = 0
        self.changed: Callable[[], None] = lambda: None

    def replace(self, records: list[store_module.Record]) -> None:
        """Takes in the newest record of every key."""
        before = self.registry.digest
        self.take(records)
        present = {record.key for record in records if record.value}
        newest = max((record.offset for record in records), default=0)
        now = clocks.now()
        for change in self.registry.missing(present, newest):
            self.registry.put(change, now)
        for instance in list(self.directory.replicas):
            if instance not in self.registry.values:
                self.drop(instance, self.state.grace())
        self.taken(before)

    def update(self, records: list[store_module.Record]) -> None:
        """Takes in records that came since."""
        before = self.registry.digest
        self.take(records)
        self.taken(before)

    def taken(self, before: int) -> None:
        """Ends a reading; says so where the digest is another than before."""
        self.directory.expire(time.monotonic())
        if self.registry.digest != before:
            self.changed()

    def take(self, records: list[store_module.Record]) -> None:
        """Puts records into the registry and the directory."""
        now = clocks.now()
        for record in records:
            if self.registry.stale(record.key, record.offset):
                continue
            if not record.value:
                self.registry.put(
                    registry_module.Change(record.key, record.offset, b""), now
                )
                self.drop(record.key, self.state.grace())
                continue
            try:
                replica = decoding.replica(record.key, record.value)
            except exceptions.RecordInvalid as error:
                self.skip(record, str(error))
                continue
            value = ENCODER.encode(replica._replace(orders=0))
            self.registry.put(
                registry_module.Change(record.key, record.offset, value), now
            )
            self.directory.put(replica)

    def told(self, changes: list[registry_module.Change], grace: float) -> None:
        """Takes in changes that a relay has read.

        Args:
            changes: The changes.
            grace: Seconds for which the relay still believes in an entry that
                went; this node never does for longer than by its own calls,
                since a relay that is cut off must not answer for the store.
        """
        now = clocks.now()
        grace = min(grace, self.state.grace())
        for change in changes:
            if not self.registry.put(change, now):
                continue
            if not change.value:
                self.drop(change.key, grace)
                continue
            try:
                replica = DECODER.decode(change.value)
            except msgspec.DecodeError as error:
                events.log(events.FRAME_REFUSED, reason=str(error))
                continue
            self.directory.put(replica)

    def told_all(self, changes: list[registry_module.Change], end: int) -> None:
        """Takes in all entries that another node knows.

        Args:
            changes: One for each replica.
            end: Offset up to which that node has read.
        """
        present = {change.key for change in changes}
        gone = self.registry.missing(present, end - 1)
        self.told([*changes, *gone], self.state.grace())

    def skip(self, record: store_module.Record, reason: str) -> None:
        """Counts an entry that names no replica; logs the same one once."""
        if self.skipped.get(record.key) == record.value:
            return
        if len(self.skipped) >= MOST_SKIPPED:
            self.skipped.clear()
        self.skipped[record.key] = record.value
        self.unreadable += 1
        events.log(events.RECORD_SKIPPED, key=record.key, reason=reason)

    def drop(self, instance: str, grace: float) -> None:
        """Drops a replica, at once unless the store was just away."""
        self.directory.drop(instance, grace, time.monotonic())


def rounded_age(known: following_module.Following, now: float) -> float:
    """The age of what is known, for a log line."""
    return round(min(known.age(now), MOST_AGE), 3)
