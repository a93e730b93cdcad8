"""This node's copy of the replicas' registrations in the store."""

from collections.abc import Callable
import hashlib
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

# Longest wait of one read of the registrations, in seconds.
MAX_WAIT_SECONDS = 1.0
# Longest wait of a node that reads for others, as a fraction of the time within
# which a draining replica must be known. What it sends is then younger than the
# age at which other nodes read the store themselves
# (`decisions/topic_staleness.py`).
READER_WAIT_FRACTION = 0.3
# Invalid entries remembered as already logged; beyond that they are logged
# again.
MAX_SKIPPED = 256
# Encoding of registrations in messages between nodes.
ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(types.Replica)


class Registrations:
    """Updates the directory of replicas from their registrations.

    Attributes:
        registry: The newest entry of each key, to be sent to other nodes.
        skipped: Digest of the last invalid entry of each key.
        unreadable: Number of invalid entries seen.
        on_change: Called after a read that changed the registry.
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

    def replace(self, records: list[store_module.Record], end: int) -> float:
        """Replaces all entries by the newest record of every key.

        A key that was written before the topic's end and has no record was
        removed, also if the record of that is gone. Just after an outage, in
        which entries of running replicas expire, one that was the last to be
        written is kept until the next read shows whether it is back.

        Args:
            records: The records.
            end: The topic's end.

        Returns:
            Seconds until all keys should be read again; 0 for no need.
        """
        before = self.registry.digest
        self.apply_records(records)
        present = {record.key for record in records if record.value}
        grace = self.state.grace()
        last = end - 1
        if grace > 0:
            last = max((record.offset for record in records), default=0)
        now = clocks.now()
        for change in self.registry.missing(present, last):
            self.registry.put(change, now)
        for instance in list(self.directory.replicas):
            if instance not in self.registry.values:
                self.drop(instance, grace)
        self.finish_read(before)
        return grace

    def update(self, records: list[store_module.Record]) -> None:
        """Applies records written since the last read."""
        before = self.registry.digest
        self.apply_records(records)
        self.finish_read(before)

    def finish_read(self, before: int) -> None:
        """Drops expired replicas; calls `on_change` if the digest changed."""
        self.directory.expire(time.monotonic())
        if self.registry.digest != before:
            self.on_change()

    def apply_records(self, records: list[store_module.Record]) -> None:
        """Applies records to the registry and the directory."""
        now = clocks.now()
        for record in records:
            if self.registry.is_stale(record.key, record.offset):
                continue
            try:
                self.apply_record(record, now)
            except exceptions.RecordInvalid as error:
                self.skip(record, str(error))
            except Exception as error:
                # No entry may keep the others from being read.
                self.skip(record, repr(error))

    def apply_record(self, record: store_module.Record, now: float) -> None:
        """Applies one record.

        Raises:
            exceptions.RecordInvalid: It is malformed.
        """
        if not record.value:
            self.registry.put(
                registry_module.Change(record.key, record.offset, b""), now
            )
            self.drop(record.key, self.state.grace())
            return
        replica = decoding.decode_replica(record.key, record.value)
        value = ENCODER.encode(replica._replace(orders=0))
        change = registry_module.Change(record.key, record.offset, value)
        returns = self.registry.returns(change)
        self.registry.put(change, now)
        self.put(replica, returns)

    def merge(
        self, changes: list[registry_module.Change], grace: float
    ) -> None:
        """Applies changes that a relay has read.

        Args:
            changes: The changes.
            grace: Seconds for which the relay keeps a replica whose entry was
                removed. This node's own grace period limits it, since a relay
                without contact to the store must not speak for it.
        """
        now = clocks.now()
        grace = min(grace, self.state.grace())
        for change in changes:
            returns = self.registry.returns(change)
            if not self.registry.put(change, now):
                continue
            if not change.value:
                self.drop(change.key, grace)
                continue
            try:
                self.put(DECODER.decode(change.value), returns)
            except Exception as error:
                events.log(
                    events.FRAME_REFUSED, key=change.key, reason=repr(error)
                )

    def put(self, replica: types.Replica, returns: bool) -> None:
        """Adds or updates a replica in the directory.

        Args:
            replica: The replica.
            returns: Whether an entry that is older than what was known of the
                replica may have come back with a copy of the store.
        """
        if not returns:
            self.directory.put(replica)
            return
        known = self.directory.replicas.get(replica.instance)
        if known is not None and known.draining:
            self.directory.keep_draining(known)
        self.directory.put(replica)
        if known is None:
            self.directory.liveness.suspect_until_probed(replica.instance)

    def merge_all(
        self, changes: list[registry_module.Change], end: int
    ) -> None:
        """Applies the complete registrations of another node.

        Args:
            changes: One for each replica.
            end: Offset up to which that node has read.
        """
        present = {change.key for change in changes}
        missing = self.registry.missing(present, end - 1)
        self.merge([*changes, *missing], self.state.grace())

    def skip(self, record: store_module.Record, reason: str) -> None:
        """Counts an invalid entry; logs each one once."""
        digest = hashlib.blake2b(record.value, digest_size=8).digest()
        if self.skipped.get(record.key) == digest:
            return
        if len(self.skipped) >= MAX_SKIPPED:
            self.skipped.clear()
        self.skipped[record.key] = digest
        self.unreadable += 1
        events.log(events.RECORD_SKIPPED, key=record.key, reason=reason)

    def drop(self, instance: str, grace: float) -> None:
        """Drops a replica, after a grace period if the store was lost."""
        self.directory.drop(instance, grace, time.monotonic())
