"""Merges the state of a keyed topic from store reads and from other nodes.

Load pattern: hundreds of nodes that must all know within seconds which replica
leaves, while 2,900 replicas write once a second and only one write in thousands
changes anything. A few nodes read the topic and send the others what changed.
Records are ordered by their offset in the log, so they may come from any node,
in any order and more than once; offsets are positions with the store's era, so
that records from before the store has returned from a copy are older than those
of after. Two nodes compare digests of the whole state to
find out whether they know the same.
"""

import collections
from typing import NamedTuple

import xxhash

from gypsumfold.decisions import eras

# Seconds for which each message repeats a change: three or four times, so that
# losing one datagram in forty doesn't matter.
REPEAT_SECONDS = 0.35
# Removed keys that are remembered, so that an older record doesn't bring them
# back; a site loses fewer replicas in a day.
MAX_REMOVED = 4096


class Change(NamedTuple):
    """A new value of a key.

    Attributes:
        key: The key.
        offset: Position of its record in the log.
        value: The value; empty if the key was removed.
    """

    key: str
    offset: int
    value: bytes


class Registry:
    """Holds the newest value of each key and a digest of all.

    >>> registry = Registry()
    >>> registry.put(Change("i-1", 7, b"ready"), now=0.0)
    True
    >>> registry.put(Change("i-1", 5, b"draining"), now=0.1)
    False
    """

    def __init__(self):
        self.values: dict[str, tuple[int, bytes]] = {}
        self.removed: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self.digest = 0
        self.recent: collections.deque[tuple[float, Change]] = (
            collections.deque()
        )

    def is_stale(self, key: str, offset: int) -> bool:
        """Whether a later record of the key is already known."""
        if key in self.values:
            return offset < self.values[key][0]
        return offset < self.removed.get(key, -1)

    def returns(self, change: Change) -> bool:
        """Whether a record is the first of a known key in a later era.

        It may have come with an old copy of the store.
        """
        known = self.removed.get(change.key)
        if change.key in self.values:
            known = self.values[change.key][0]
        if known is None:
            return False
        return eras.era_of(known) < eras.era_of(change.offset)

    def put(self, change: Change, now: float) -> bool:
        """Applies a record unless a later one is known.

        Returns:
            Whether the key's value changed.
        """
        if self.is_stale(change.key, change.offset):
            return False
        before = self.values.pop(change.key, (0, b""))[1]
        if change.value:
            self.values[change.key] = (change.offset, change.value)
            self.removed.pop(change.key, None)
        else:
            self.record_removed(change)
        if before == change.value:
            return False
        for value in (before, change.value):
            if value:
                self.digest ^= fingerprint(change.key, value)
        self.recent.append((now, change))
        return True

    def record_removed(self, change: Change) -> None:
        """Remembers the offset at which a key was removed."""
        self.removed[change.key] = change.offset
        self.removed.move_to_end(change.key)
        while len(self.removed) > MAX_REMOVED:
            self.removed.popitem(last=False)

    def missing(self, present: set[str], offset: int) -> list[Change]:
        """Returns removals for the keys that a complete read lacks.

        Args:
            present: All keys in the read.
            offset: The newest offset of its records.
        """
        found = []
        for key, (known, _) in self.values.items():
            if key not in present and known <= offset:
                found.append(Change(key, offset, b""))
        return found

    def changes(self, now: float) -> list[Change]:
        """Returns the recent changes, to be sent to other nodes."""
        while self.recent and now - self.recent[0][0] > REPEAT_SECONDS:
            self.recent.popleft()
        return [change for _, change in self.recent]


def fingerprint(key: str, value: bytes) -> int:
    """Returns the hash of one key and value, a part of the digest."""
    return xxhash.xxh3_64_intdigest(key.encode() + b"\n" + value)
