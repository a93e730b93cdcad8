"""Keeps in the store since when each service has had the same versions.

A node that has just started knows neither how the streams began that callers
take up nor which versions there were before it. Where all nodes have been
killed at once, nobody else knows. So each change of a service's versions, and
of the services of a route, is kept in the store, and a node that starts takes
over what is still so.
"""

import asyncio
from collections.abc import Callable
import contextlib
import math
import random
import time
from typing import NamedTuple

import msgspec

from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold.decisions import polling
from gypsumfold.decisions import software_versions
from gypsumfold.platform import names
from gypsumfold.platform import store as store_module

# Seconds for which changes are gathered before they are written.
GATHER_SECONDS = 0.05
# Seconds between two checks whether a starting node can take over records.
POLL_SECONDS = 0.05
# Seconds between two checks whether a node that may not write now may again.
WRITER_POLL_SECONDS = 0.2
# Longest time that a caller waits for a starting node to read, in seconds.
READ_WAIT_SECONDS = 0.5
# By how much the clocks of two VMs may differ, in seconds.
CLOCK_ERROR_SECONDS = 5.0


class SteadyRecord(msgspec.Struct):
    """The values of one key.

    Attributes:
        values: Software versions of a service, or services of a route.
        since: Since when they have been the same, in Unix seconds.
        era: The store's era in which this was written.
    """

    values: list[str | None]
    since: float
    era: int


class Written(NamedTuple):
    """What was written or read last of a key."""

    steady: software_versions.Steady
    era: int


class SteadyRecords:
    """Writes changes of steady values to the store, and reads them once.

    Attributes:
        tables: The values by kind of key.
        may_write: Whether this node writes for others, and knows all changes.
        is_complete: Whether this node knows all present values.
        clock: Returns Unix seconds.
        was_read: Set once what was in the store at the start was taken over.

    >>> records = SteadyRecords(store, {"service": versions.steady}, True)
    >>> await records.run()
    """

    def __init__(
        self,
        store: store_module.Store,
        tables: dict[str, software_versions.SteadyValues],
        is_first_start: bool,
    ):
        self.store = store
        self.tables = tables
        self.may_write: Callable[[], bool] = lambda: True
        self.is_complete: Callable[[], bool] = lambda: True
        self.clock: Callable[[], float] = time.time
        self.was_read = asyncio.Event()
        if is_first_start:
            self.was_read.set()
        self.written: dict[str, Written] = {}
        self.changed = asyncio.Event()
        for table in tables.values():
            table.on_change = self.note_change
        store.eras.listeners.append(self.changed.set)

    def note_change(self, key: str) -> None:
        """Schedules a write."""
        self.changed.set()

    async def wait_until_read(self) -> None:
        """Waits a moment for what this node reads as it starts."""
        if self.was_read.is_set():
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(READ_WAIT_SECONDS):
                await self.was_read.wait()

    async def run(self) -> None:
        """Takes over what is in the store, then writes what changes."""
        failures = 0
        while True:
            try:
                await self.check()
                failures = 0
            except exceptions.PlatformError as error:
                failures += 1
                events.log(
                    events.STEADY_UNSTORED, failures=failures, reason=str(error)
                )
                await asyncio.sleep(
                    polling.retry_delay(failures, random.random())
                )

    async def check(self) -> None:
        """Reads once, or waits for a change and writes it.

        Raises:
            exceptions.PlatformError: The store doesn't answer.
        """
        if not self.is_complete():
            await asyncio.sleep(POLL_SECONDS)
            return
        if not self.was_read.is_set():
            await self.read()
            self.was_read.set()
        if not self.may_write():
            await asyncio.sleep(WRITER_POLL_SECONDS)
            return
        due = self.due()
        if not due:
            await self.changed.wait()
            self.changed.clear()
            await asyncio.sleep(GATHER_SECONDS)
            return
        await self.write(due)

    def due(self) -> dict[str, Written]:
        """Returns what has to be written, by key of the store."""
        found = {}
        for kind, table in self.tables.items():
            for key, steady in table.found.items():
                wanted = Written(steady, self.store.eras.current)
                if self.written.get(f"{kind}/{key}") != wanted:
                    found[f"{kind}/{key}"] = wanted
        return found

    async def write(self, due: dict[str, Written]) -> None:
        """Writes records.

        Raises:
            exceptions.PlatformError: They may or may not be written.
        """
        behind = self.clock() - time.monotonic()
        records = []
        for key, (steady, era) in due.items():
            since = steady.since + behind
            values = sorted(steady.value, key=str)
            record = SteadyRecord(values, since, era)
            records.append((key, msgspec.json.encode(record)))
        await self.store.put_all(names.STEADY_TOPIC, records)
        self.written.update(due)

    async def read(self) -> None:
        """Takes over since when the present values have been the same.

        A record of other values is one from before a change that nobody has
        written, and one of an earlier era may be older than a later change.

        Raises:
            exceptions.PlatformError: The store doesn't answer.
        """
        page = await self.store.newest(names.STEADY_TOPIC)
        now = time.monotonic()
        for record in page.records:
            kind, _, key = record.key.partition("/")
            table = self.tables.get(kind)
            if table is None or not record.value:
                continue
            try:
                found = msgspec.json.decode(record.value, type=SteadyRecord)
            except (msgspec.DecodeError, RecursionError) as error:
                events.log(
                    events.RECORD_SKIPPED, key=record.key, reason=str(error)
                )
                continue
            age = self.clock() - found.since - CLOCK_ERROR_SECONDS
            if found.era != self.store.eras.current or not 0 < age < math.inf:
                continue
            if table.adopt(key, frozenset(found.values), now - age):
                self.written[record.key] = Written(table.found[key], found.era)
                events.log(
                    events.STEADY_ADOPTED,
                    key=record.key,
                    values=found.values,
                    seconds=round(age, 3),
                )
