"""The configuration in force, derived from the config stream of the log.

It is a pure function of the stream's entries up to an offset. Entries may
arrive from the log and from peers, in any order and more than once; they are
applied in the order of the log.
"""

import collections
from collections.abc import Callable

from gypsumfold import changes
from gypsumfold import exceptions
from gypsumfold import objects
from gypsumfold import snapshots
from gypsumfold.logservice import records

Declared = changes.Declared

# Entries kept for peers that are a little behind; others get a snapshot.
# At the design's 1,500 changes a day, a peer that missed a minute is about
# one entry behind.
MAX_RECENT_ENTRIES = 512


class Configuration:
    """What operators have declared, and at which revision.

    >>> configuration = Configuration()
    >>> configuration.subscribe(lambda: print(configuration.revision))
    >>> configuration.apply(entry)
    >>> configuration.get("service", "dispatch-lm").protocol
    'engine'

    Attributes:
        objects: Declared objects by kind and name.
        revision: Offset of the last accepted change; -1 for none.
        position: Offset of the last applied entry; -1 for none.
        clock: The latest log time seen.
        outcomes: Outcomes of recent changes, by change id.
        waiting: Entries beyond a gap, by offset.
        recent: The last applied entries, in order, for peers.
        assembler: Reassembles snapshots from their parts.
        on_restore: Called with each snapshot that is applied.
    """

    def __init__(self):
        self.objects: changes.Objects = {kind: {} for kind in objects.KINDS}
        self.revision = -1
        self.position = -1
        self.clock = 0.0
        self.outcomes: dict[str, changes.Outcome] = {}
        self.waiting: dict[int, records.Entry] = {}
        self.recent: collections.deque[records.Entry] = collections.deque(
            maxlen=MAX_RECENT_ENTRIES
        )
        self.assembler = snapshots.Assembler()
        self.subscribers: list[Callable[[], None]] = []
        self.watchers: list[Callable[[changes.Outcome], None]] = []
        self.on_restore: Callable[[snapshots.Snapshot], None] | None = None

    def get(self, kind: str, name: str) -> objects.Object | None:
        """Returns one object, or None if it is not declared."""
        declared = self.objects[kind].get(name)
        return declared.value if declared else None

    def all(self, kind: str) -> dict[str, objects.Object]:
        """Returns all objects of a kind, by name."""
        return {n: d.value for n, d in self.objects[kind].items()}

    def declared(self, kind: str, name: str) -> Declared | None:
        """Returns one object with its revision and author, or None."""
        return self.objects.get(kind, {}).get(name)

    def outcome(self, change_id: str) -> changes.Outcome | None:
        """Returns the outcome of a change; None if it is not known.

        Outcomes are kept for `changes.MAX_ID_AGE_SECONDS` of the log's time.
        """
        return self.outcomes.get(change_id)

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Adds a callback that runs after each accepted change or snapshot."""
        self.subscribers.append(callback)

    def watch(self, callback: Callable[[changes.Outcome], None]) -> None:
        """Adds a callback for the outcome of each change, even if rejected."""
        self.watchers.append(callback)

    def apply(self, entry: records.Entry) -> None:
        """Applies an entry of the config stream.

        Args:
            entry: An entry of any offset. A known one has no effect; one
                beyond a gap waits until the gap is filled or a snapshot
                covers it.
        """
        for record in entry.records:
            if isinstance(record, snapshots.Part):
                self.assembler.add(record, entry.time)
        if entry.offset <= self.position:
            return
        self.waiting[entry.offset] = entry
        before = self.revision
        self.advance()
        if self.waiting:
            self.skip_gap()
        self.assembler.release_body(self.position)
        if self.revision != before:
            self.notify()

    def advance(self) -> None:
        """Applies waiting entries that follow the position without a gap."""
        while self.position + 1 in self.waiting:
            entry = self.waiting.pop(self.position + 1)
            self.position = entry.offset
            self.clock = max(self.clock, entry.time)
            kept = []
            for record in entry.records:
                if not isinstance(record, changes.Change):
                    continue
                kept.append(record)
                self.decide(record, entry.offset)
            self.recent.append(entry._replace(records=tuple(kept)))
            self.assembler.record_entry_time(entry.time)
            self.expire()

    def decide(self, change: changes.Change, offset: int) -> None:
        """Accepts or rejects one change."""
        if change.change_id in self.outcomes:
            return
        if changes.is_void(change.change_id, self.clock):
            return
        draft = changes.Draft(self.objects, offset)
        try:
            changes.check_ahead(change.change_id, self.clock)
            draft.run(change)
        except exceptions.ChangeRejected as error:
            self.record_outcome(
                changes.Outcome(
                    change.change_id,
                    offset,
                    False,
                    error.reason,
                    changes.difference(self.objects, change),
                )
            )
            return
        self.objects = draft.objects
        self.revision = offset
        self.record_outcome(changes.Outcome(change.change_id, offset, True))

    def record_outcome(self, outcome: changes.Outcome) -> None:
        """Stores an outcome and notifies the watchers."""
        self.outcomes[outcome.change_id] = outcome
        for watcher in self.watchers:
            watcher(outcome)

    def expire(self) -> None:
        """Drops outcomes whose change ids are too old to be accepted again."""
        while self.outcomes:
            oldest = next(iter(self.outcomes))
            if not changes.is_void(oldest, self.clock):
                return
            del self.outcomes[oldest]

    def skip_gap(self) -> None:
        """Skips a gap with the newest snapshot, if it covers the gap."""
        body = self.assembler.find_covering(self.position, min(self.waiting))
        if body is None:
            return
        try:
            self.apply_snapshot(snapshots.decode(body))
        except exceptions.RecordInvalid:
            self.assembler.body = None

    def restore(self, snapshot: snapshots.Snapshot) -> None:
        """Applies a peer's snapshot if it is ahead.

        Args:
            snapshot: The peer's configuration.

        Raises:
            exceptions.RecordInvalid: It does not fit this version; nothing
                has changed.
        """
        before = self.revision
        self.apply_snapshot(snapshot)
        if self.revision != before:
            self.notify()

    def apply_snapshot(self, snapshot: snapshots.Snapshot) -> None:
        """Applies a newer snapshot, then entries that follow it."""
        if snapshot.offset <= self.position:
            return
        self.objects = snapshot.objects()
        self.revision = snapshot.revision
        self.position = snapshot.offset
        self.clock = snapshot.clock
        self.outcomes = {o.change_id: o for o in snapshot.outcomes}
        self.recent.clear()
        if self.on_restore is not None:
            self.on_restore(snapshot)
        for offset in [n for n in self.waiting if n <= self.position]:
            del self.waiting[offset]
        self.advance()

    def snapshot(self) -> snapshots.Snapshot:
        """Captures the state that another node can `restore`."""
        return snapshots.Snapshot(
            self.position,
            self.revision,
            self.clock,
            snapshots.rows(self.objects),
            tuple(self.outcomes.values()),
        )

    def is_snapshot_due(self, now: float, retention: float) -> bool:
        """Returns whether a snapshot should be appended to the log now.

        Args:
            now: Seconds since the epoch.
            retention: Seconds that the log keeps a record.
        """
        if self.position < 0 or self.waiting:
            return False
        return self.assembler.is_due(self.position, now, retention)

    def entries_from(self, start: int) -> list[records.Entry] | None:
        """Returns the entries from an offset onwards, for a peer.

        Args:
            start: The first offset to return.

        Returns:
            The entries; None if they are no longer kept here.
        """
        if start > self.position:
            return []
        if not self.recent or self.recent[0].offset > start:
            return None
        return [entry for entry in self.recent if entry.offset >= start]

    def notify(self) -> None:
        """Calls all subscribers."""
        for callback in self.subscribers:
            callback()
