"""Follows the store's records of the configuration and of the replicas."""

import asyncio
from collections.abc import Callable
import random
import time
from typing import Protocol

from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold.decisions import polling
from gypsumfold.gateway import directory as directory_module
from gypsumfold.gateway import types
from gypsumfold.platform import decoding
from gypsumfold.platform import names
from gypsumfold.platform import store as store_module

# Seconds that a read waits for a record. A connection that went silent is
# noticed after this and the store client's margin, 3.8 s in all: a change must
# be in force 2 s after a node has been in touch with the store for 3 s.
LONGEST_WAIT = 3.0
# Seconds that a read of the registrations waits: replicas write all the time,
# so that silence means trouble with the store.
REGISTRATIONS_WAIT = 1.0
# Seconds until all keys are read again, in case a record was missed.
REREAD = 20.0
# Entries that are remembered as logged already; more in one fleet are logged
# again.
MOST_SKIPPED = 256


class StoreState:
    """Whether the store answers this node.

    >>> state = StoreState()
    >>> state.failed("log-read: silent", now=1.0)
    >>> state.grace(now=1.0)
    2.0
    """

    def __init__(self):
        self.down_since: float | None = None
        self.returned = float("-inf")

    def failed(self, reason: str, now: float) -> None:
        """Notes a call that failed."""
        if self.down_since is not None:
            return
        self.down_since = now
        events.log(events.STORE_LOST, reason=reason)

    def answered(self, now: float) -> None:
        """Notes a call that was answered."""
        if self.down_since is None:
            return
        events.log(events.STORE_REGAINED, seconds=now - self.down_since)
        self.down_since = None
        self.returned = now

    def grace(self, now: float) -> float:
        """Seconds for which an entry that went is still believed."""
        if self.down_since is not None:
            return directory_module.LAPSE_GRACE
        left = self.returned + directory_module.LAPSE_GRACE - now
        return max(0.0, left)


class Consumer(Protocol):
    """What a keyed topic's records are for."""

    def replace(self, records: list[store_module.Record]) -> None:
        """Takes in the newest record of every key."""

    def update(self, records: list[store_module.Record]) -> None:
        """Takes in records that came since."""


class Watch:
    """Follows one keyed topic; goes on from the newest after any doubt.

    >>> watch = Watch(store, state, topic, consumer, lambda: 0.0)
    >>> await watch.run()
    """

    def __init__(
        self,
        store: store_module.Store,
        state: StoreState,
        topic: str,
        consumer: Consumer,
        pause: Callable[[], float],
        wait: float = LONGEST_WAIT,
    ):
        self.store = store
        self.state = state
        self.topic = topic
        self.consumer = consumer
        self.pause = pause
        self.wait = wait
        self.read = False
        self.failures = 0

    async def run(self) -> None:
        """Follows the topic for as long as the node runs."""
        while True:
            try:
                await self.follow()
            except store_module.HistoryLost:
                continue
            except exceptions.PlatformError as error:
                self.state.failed(str(error), time.monotonic())
                self.failures += 1
                await asyncio.sleep(
                    polling.retry(self.failures, random.random())
                )

    async def follow(self) -> None:
        """Reads the newest records, then those that come, for a while."""
        page = await self.store.newest(self.topic)
        started = time.monotonic()
        self.failures = 0
        self.state.answered(started)
        self.consumer.replace(page.records)
        self.read = True
        while time.monotonic() - started < REREAD:
            await asyncio.sleep(self.pause())
            page = await self.store.read(self.topic, page.end, self.wait)
            self.state.answered(time.monotonic())
            self.consumer.update(page.records)


class Configurations:
    """Keeps the newest configuration; an older one never replaces it.

    Attributes:
        current: What is in force; None before the first.
    """

    def __init__(self):
        self.current: types.Configuration | None = None
        self.listeners: list[Callable[[types.Configuration], None]] = []

    def replace(self, records: list[store_module.Record]) -> None:
        """Takes in the newest record of every key."""
        self.update(records)

    def update(self, records: list[store_module.Record]) -> None:
        """Takes in records that came since."""
        for record in records:
            if record.key != names.CONFIGURATION_KEY or not record.value:
                continue
            try:
                found = decoding.configuration(record.value)
            except exceptions.RecordInvalid as error:
                events.log(events.CONFIG_UNREADABLE, reason=str(error))
                continue
            self.offer(found)

    def offer(self, found: types.Configuration) -> None:
        """Puts a configuration in force if it is newer."""
        old = self.current
        if old is not None and found.version <= old.version:
            return
        self.current = found
        events.log(
            events.CONFIG_IN_FORCE,
            version=found.version,
            before=old.version if old else None,
        )
        for listener in self.listeners:
            listener(found)


class Registrations:
    """Keeps the directory of replicas as the store has it.

    Attributes:
        skipped: The last entry under each key that could not be used.
        unreadable: How many such entries were seen.
    """

    def __init__(
        self, directory: directory_module.Directory, state: StoreState
    ):
        self.directory = directory
        self.state = state
        self.skipped: dict[str, bytes] = {}
        self.unreadable = 0

    def replace(self, records: list[store_module.Record]) -> None:
        """Takes in the newest record of every key."""
        self.update(records)
        present = {record.key for record in records if record.value}
        for instance in list(self.directory.replicas):
            if instance not in present:
                self.drop(instance)

    def update(self, records: list[store_module.Record]) -> None:
        """Takes in records that came since."""
        for record in records:
            if not record.value:
                self.drop(record.key)
                continue
            try:
                replica = decoding.replica(record.key, record.value)
            except exceptions.RecordInvalid as error:
                self.skip(record, str(error))
                continue
            self.directory.put(replica)
        self.directory.expire(time.monotonic())

    def skip(self, record: store_module.Record, reason: str) -> None:
        """Counts an entry that names no replica; logs the same one once."""
        if self.skipped.get(record.key) == record.value:
            return
        if len(self.skipped) >= MOST_SKIPPED:
            self.skipped.clear()
        self.skipped[record.key] = record.value
        self.unreadable += 1
        events.log(events.RECORD_SKIPPED, key=record.key, reason=reason)

    def drop(self, instance: str) -> None:
        """Drops a replica, at once unless the store was just away."""
        now = time.monotonic()
        self.directory.drop(instance, self.state.grace(now), now)
