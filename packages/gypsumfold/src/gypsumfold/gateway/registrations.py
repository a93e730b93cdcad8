"""The replicas' registrations in the store, as this node knows them."""

from collections.abc import Callable
import time

import msgspec

from gypsumfold import clocks
from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold.decisions import registry as registry_module
from gypsumfold.gateway import directory as directory_module
from gypsumfold.gateway import topic_watches
from gypsumfold.gateway import types
from gypsumfold.platform import decoding
from gypsumfold.platform import store as store_module

# Seconds that a read of the registrations waits at most.
MAX_WAIT_SECONDS = 1.0
# Share of the time within which a leaving replica must be known for which a
# node waits that reads for others: what it says is then younger than the age
# at which they read for themselves (`decisions/following.py`).
READER_WAIT_FRACTION = 0.3
# Entries that are remembered as logged already; more in one fleet are logged
# again.
MAX_SKIPPED = 256
# Encoding of registrations in messages between nodes.
ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(types.Replica)


class Registrations:
    """Keeps the directory of replicas as the store has it.

    Attributes:
        registry: The entries as they stand in the log, to be sent to others.
        skipped: The last entry under each key that could not be used.
        unreadable: How many such entries were seen.
        changed: Called where a reading has brought something new.
    """

    def __init__(
        self,
        directory: directory_module.Directory,
        state: topic_watches.StoreState,
    ):
        self.directory = directory
        self.state = state
        self.registry = registry_module.Registry()
        self.skipped: dict[str, bytes] = {}
        self.unreadable = 0
        self.on_change: Callable[[], None] = lambda: None

    def replace(self, records: list[store_module.Record]) -> None:
        """Takes in the newest record of every key."""
        before = self.registry.digest
        self.apply_records(records)
        present = {record.key for record in records if record.value}
        newest = max((record.offset for record in records), default=0)
        now = clocks.now()
        for change in self.registry.missing(present, newest):
            self.registry.put(change, now)
        for instance in list(self.directory.replicas):
            if instance not in self.registry.values:
                self.drop(instance, self.state.grace())
        self.finish_read(before)

    def update(self, records: list[store_module.Record]) -> None:
        """Takes in records that came since."""
        before = self.registry.digest
        self.apply_records(records)
        self.finish_read(before)

    def finish_read(self, before: int) -> None:
        """Ends a reading; says so where the digest is another than before."""
        self.directory.expire(time.monotonic())
        if self.registry.digest != before:
            self.on_change()

    def apply_records(self, records: list[store_module.Record]) -> None:
        """Puts records into the registry and the directory."""
        now = clocks.now()
        for record in records:
            if self.registry.is_stale(record.key, record.offset):
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

    def merge(
        self, changes: list[registry_module.Change], grace: float
    ) -> None:
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

    def merge_all(
        self, changes: list[registry_module.Change], end: int
    ) -> None:
        """Takes in all entries that another node knows.

        Args:
            changes: One for each replica.
            end: Offset up to which that node has read.
        """
        present = {change.key for change in changes}
        missing = self.registry.missing(present, end - 1)
        self.merge([*changes, *missing], self.state.grace())

    def skip(self, record: store_module.Record, reason: str) -> None:
        """Counts an entry that names no replica; logs the same one once."""
        if self.skipped.get(record.key) == record.value:
            return
        if len(self.skipped) >= MAX_SKIPPED:
            self.skipped.clear()
        self.skipped[record.key] = record.value
        self.unreadable += 1
        events.log(events.RECORD_SKIPPED, key=record.key, reason=reason)

    def drop(self, instance: str, grace: float) -> None:
        """Drops a replica, at once unless the store was just away."""
        self.directory.drop(instance, grace, time.monotonic())
