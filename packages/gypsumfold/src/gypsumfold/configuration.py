"""The configuration in force: a pure function of the config stream's prefix.

Entries may come from the log and from peers, in any order and more than
once; they take effect in the log's order only.
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
# A peer that missed a minute at the design's 1,500 changes a day is one
# entry behind.
MAX_RECENT_ENTRIES = 512


class Configuration:
    """What operators have declared, and at which revision.

    >>> configuration = Configuration()
    >>> configuration.subscribe(lambda: print(configuration.revision))
    >>> configuration.apply(entry)
    >>> configuration.get("service", "dispatch-lm").protocol
    'engine'

    Attributes:
        objects: By kind and name.
        revision: Offset of the last accepted change; -1 for none.
        position: Offset of the last entry that took its place; -1 for none.
        clock: The latest time of the log's that was seen.
        outcomes: Of recent changes, by change id.
        waiting: Entries beyond a gap, by offset.
        recent: The last entries, in order, for peers.
        restored: Called with each snapshot that was taken over.
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
        """Returns one object, or None where it is not declared."""
        declared = self.objects[kind].get(name)
        return declared.value if declared else None

    def all(self, kind: str) -> dict[str, objects.Object]:
        """Returns all objects of a kind, by name."""
        return {n: d.value for n, d in self.objects[kind].items()}

    def declared(self, kind: str, name: str) -> Declared | None:
        """Returns one object with its revision."""
        return self.objects.get(kind, {}).get(name)

    def outcome(self, change_id: str) -> changes.Outcome | None:
        """Returns what became of a change; None where it is not known.

        Outcomes are kept for `changes.MAX_ID_AGE_SECONDS` of the log's time.
        """
        return self.outcomes.get(change_id)

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Adds a callback for after each accepted change or snapshot."""
        self.subscribers.append(callback)

    def watch(self, callback: Callable[[changes.Outcome], None]) -> None:
        """Adds a callback for the outcome of each change, also rejected."""
        self.watchers.append(callback)

    def apply(self, entry: records.Entry) -> None:
        """Takes an entry of the config stream in.

        Args:
            entry: Of any offset; what is known already has no effect, and
                what lies beyond a gap waits until the gap is filled or a
                snapshot bridges it.
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
        """Applies what follows on the position without a gap."""
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
        """Remembers an outcome and tells the watchers."""
        self.outcomes[outcome.change_id] = outcome
        for watcher in self.watchers:
            watcher(outcome)

    def expire(self) -> None:
        """Forgets outcomes whose change ids are now too old to be taken."""
        while self.outcomes:
            oldest = next(iter(self.outcomes))
            if not changes.is_void(oldest, self.clock):
                return
            del self.outcomes[oldest]

    def skip_gap(self) -> None:
        """Crosses a gap by the newest snapshot that reaches over it."""
        body = self.assembler.find_covering(self.position, min(self.waiting))
        if body is None:
            return
        try:
            self.apply_snapshot(snapshots.decode(body))
        except exceptions.RecordInvalid:
            self.assembler.body = None

    def restore(self, snapshot: snapshots.Snapshot) -> None:
        """Takes over a snapshot from a peer, if it is ahead.

        Args:
            snapshot: What a peer has in force.

        Raises:
            exceptions.RecordInvalid: It does not fit this version; nothing
                has changed.
        """
        before = self.revision
        self.apply_snapshot(snapshot)
        if self.revision != before:
            self.notify()

    def apply_snapshot(self, snapshot: snapshots.Snapshot) -> None:
        """Moves forward to a snapshot and past it; never backwards."""
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
        """Captures all that `restore` needs elsewhere."""
        return snapshots.Snapshot(
            self.position,
            self.revision,
            self.clock,
            snapshots.rows(self.objects),
            tuple(self.outcomes.values()),
        )

    def is_snapshot_due(self, now: float, retention: float) -> bool:
        """Tells whether a snapshot should go onto the log now.

        Args:
            now: Seconds since the epoch.
            retention: Seconds that the log keeps a record.
        """
        if self.position < 0 or self.waiting:
            return False
        return self.assembler.is_due(self.position, now, retention)

    def entries_from(self, start: int) -> list[records.Entry] | None:
        """Returns the entries from an offset on, for a peer.

        Args:
            start: The first offset wanted.

        Returns:
            The entries; None where they are no longer kept here.
        """
        if start > self.position:
            return []
        if not self.recent or self.recent[0].offset > start:
            return None
        return [entry for entry in self.recent if entry.offset >= start]

    def notify(self) -> None:
        """Calls the subscribers."""
        for callback in self.subscribers:
            callback()
