"""Stores which requests crash replicas.

Nodes exchange this with each other; the store keeps it for the case that all of
them lose power.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import functools
import random
import time

import msgspec

from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold.decisions import crash_types
from gypsumfold.decisions import crashes as crashes_module
from gypsumfold.decisions import polling
from gypsumfold.gateway import fingerprints
from gypsumfold.gateway import quarantine as quarantine_module
from gypsumfold.platform import names
from gypsumfold.platform import store as store_module

# Seconds between two checks whether this node reads the store.
POLL_INTERVAL = 0.2


class CrashRecord(msgspec.Struct, array_like=True):
    """One crash of a replica, as stored in the record of a request.

    Attributes:
        instance: Instance id of the replica.
        started_at: Start time of the replica in Unix milliseconds; 0 if not
            reported.
        has_output: Whether the request had given output.
        was_alone: Whether it ran as the only suspect on the replica.
        version: Digest of the replica's software version; 0 if unknown.
        age: Seconds from the crash to the time of writing.
    """

    instance: str
    started_at: int
    has_output: bool
    was_alone: bool = False
    version: int = 0
    age: float = 0.0


class RequestRecord(msgspec.Struct):
    """A request suspected of several crashes.

    Attributes:
        written_at: Time of writing in Unix seconds.
        crashes: Crashes that it is suspected of.
    """

    written_at: float
    crashes: list[CrashRecord]


class CrashRecords:
    """Writes the records of requests to the store, and reads them once.

    >>> records = CrashRecords(store, quarantine, lambda: True)
    >>> await records.read()
    >>> await records.run()
    """

    def __init__(
        self,
        store: store_module.Store,
        quarantine: quarantine_module.Quarantine,
        reads_store: Callable[[], bool],
    ):
        self.store = store
        self.quarantine = quarantine
        self.reads_store = reads_store
        self.pending: dict[int, bool] = {}
        self.pending_added = asyncio.Event()
        quarantine.store_crashes = self.schedule_write
        store.eras.listeners.append(self.write_again)

    def schedule_write(self, fingerprint: int) -> None:
        """Schedules a write of a request's record; cleared ones are removed."""
        self.pending[fingerprint] = True
        self.pending_added.set()

    def write_again(self) -> None:
        """Schedules all records, as the store has returned from a copy."""
        if not self.reads_store():
            return
        for fingerprint in self.quarantine.crash_log.suspected:
            self.schedule_write(fingerprint)

    async def run(self) -> None:
        """Writes scheduled records while the node runs."""
        while True:
            await self.pending_added.wait()
            self.pending_added.clear()
            # A write replaces what nodes out of reach have written.
            await self.call_until_success(self.read_all)
            for fingerprint in list(self.pending):
                del self.pending[fingerprint]
                await self.call_until_success(
                    functools.partial(self.write, fingerprint)
                )

    async def read(self) -> None:
        """Reads all records once this node reads the store for other nodes."""
        while True:
            if self.reads_store():
                await self.call_until_success(self.read_all)
                return
            await asyncio.sleep(POLL_INTERVAL)

    async def call_until_success(self, call: Callable[[], Awaitable]) -> None:
        """Retries a call until it succeeds."""
        failures = 0
        while True:
            try:
                await call()
                return
            except exceptions.PlatformError as error:
                failures += 1
                events.log(
                    events.CRASH_RECORDS_DELAYED,
                    failures=failures,
                    reason=str(error),
                )
            await asyncio.sleep(polling.retry_delay(failures, random.random()))

    async def read_all(self) -> None:
        """Reads all records once."""
        page = await self.store.newest(names.CRASHES_TOPIC)
        for record in page.records:
            if record.value:
                self.apply(record)

    def apply(self, record: store_module.Record) -> None:
        """Applies one record, or schedules its removal if it has expired."""
        try:
            fingerprint = int(record.key, 16)
            found = msgspec.json.decode(record.value, type=RequestRecord)
        except (ValueError, msgspec.DecodeError) as error:
            events.log(events.RECORD_SKIPPED, key=record.key, reason=str(error))
            return
        age = time.time() - found.written_at
        if age > crashes_module.MAX_QUARANTINE_SECONDS:
            self.schedule_write(fingerprint)
            return
        suspicions = []
        for crash in found.crashes:
            replica = crash_types.Incarnation(crash.instance, crash.started_at)
            suspicions.append(
                crash_types.Interrupted(
                    replica,
                    fingerprint,
                    crash.has_output,
                    False,
                    crash.was_alone,
                    crash.version,
                    crash.age + max(0.0, age),
                )
            )
        self.quarantine.merge_suspicions(suspicions, True)

    async def write(self, fingerprint: int) -> None:
        """Writes the crashes of a request, or removes its record if none."""
        log = self.quarantine.crash_log
        crashes = []
        for replica in sorted(log.suspected.get(fingerprint, ())):
            known = log.known(replica, fingerprint, time.monotonic())
            crashes.append(
                CrashRecord(
                    replica.instance,
                    replica.started,
                    known.output,
                    known.alone,
                    known.version,
                    known.age,
                )
            )
        value = b""
        if crashes:
            value = msgspec.json.encode(RequestRecord(time.time(), crashes))
        await self.store.put(
            names.CRASHES_TOPIC, fingerprints.to_hex(fingerprint), value
        )
