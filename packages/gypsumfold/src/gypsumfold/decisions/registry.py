"""What a keyed topic says, merged from readings and from what others tell.

Load pattern: hundreds of nodes that must all know within seconds which
replica leaves, while 2,900 replicas write once a second and each write but
one in thousands says nothing new. A few nodes read; the others are told what
changed. Records are ordered by their offset in the log, so that they may come
from anybody, in any order and more than once. A digest of the whole tells two
nodes whether they know the same.
"""

import collections
from typing import NamedTuple

import xxhash

# Seconds for which a change is told again with each message: three or four
# times, so that one lost datagram in forty does not matter.
REPEAT_SECONDS = 0.35
# Removed keys that are remembered, so that an older record does not bring
# them back; a site loses fewer replicas in a day.
MAX_REMOVED = 4096


class Change(NamedTuple):
    """A key that has another value since some offset.

    Attributes:
        key: The key.
        offset: Of the record in the log that says so.
        value: The value; empty where the key is gone.
    """

    key: str
    offset: int
    value: bytes


class Registry:
    """The newest value of each key, and a digest of all.

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
        """Whether a later record of the key is known already."""
        if key in self.values:
            return offset < self.values[key][0]
        return offset < self.removed.get(key, -1)

    def put(self, change: Change, now: float) -> bool:
        """Takes a record in.

        Returns:
            Whether the key has another value than before.
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
        """Remembers since when a key is gone."""
        self.removed[change.key] = change.offset
        self.removed.move_to_end(change.key)
        while len(self.removed) > MAX_REMOVED:
            self.removed.popitem(last=False)

    def missing(self, present: set[str], offset: int) -> list[Change]:
        """The keys that a whole reading does not have any more.

        Args:
            present: All keys that it has.
            offset: The newest of its records.
        """
        found = []
        for key, (known, _) in self.values.items():
            if key not in present and known <= offset:
                found.append(Change(key, offset, b""))
        return found

    def changes(self, now: float) -> list[Change]:
        """What changed lately, for those who follow."""
        while self.recent and now - self.recent[0][0] > REPEAT_SECONDS:
            self.recent.popleft()
        return [change for _, change in self.recent]


def fingerprint(key: str, value: bytes) -> int:
    """A hash of one key and value, for the digest of all."""
    return xxhash.xxh3_64_intdigest(key.encode() + b"\n" + value)
