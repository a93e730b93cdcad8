"""Tracks the members' entries in the store and which may be removed.

Load pattern: a partitioned site whose parts get no messages from each other for
minutes, while all of them run and reach the store. By silence alone each part
would consider the others dead, remove their entries, and use the site's budgets
as if they were its own. So the entry of a silent node is first marked as
suspected, and removed only if it wasn't renewed within the time in which a
running node reads it.
"""

import math
from typing import NamedTuple

from gypsumfold.decisions import members as members_module

# Seconds of silence after which a node's entry is suspected: five times as long
# as a VM takes to restart.
SUSPECT_AFTER_SECONDS = 10.0
# Seconds within which a running node renews its suspected entry: nodes read all
# entries every 23 s.
RENEWAL_SECONDS = 25.0
# Seconds without a read of the entries after which this node's own entry may
# have been removed: just above the time between two reads.
MAX_READ_AGE_SECONDS = 24.0


class MemberEntry(NamedTuple):
    """A node's entry in the store.

    Attributes:
        member: The node.
        suspected_at: When the entry was first seen marked as suspected; None
            if it isn't.
    """

    member: members_module.Member
    suspected_at: float | None = None


class MemberEntries:
    """The entries of the other nodes, as this one last read them.

    Attributes:
        entries: The entries by VM name.
        first_read_at: When they were first read; infinity before.
        last_read_at: When they were last read.
        own_missing_at: When this node's own entry was last found missing; the
            others know of the new one only after their next read.

    >>> member_entries = MemberEntries()
    >>> member_entries.put(member, suspected=True, now=0.0)
    >>> member_entries.expired(now=30.0)
    [Member(...)]
    """

    def __init__(self):
        self.entries: dict[str, MemberEntry] = {}
        self.first_read_at = math.inf
        self.last_read_at = -math.inf
        self.own_missing_at = -math.inf

    def record_read(self, now: float) -> None:
        """Records that the entries were read."""
        self.first_read_at = min(self.first_read_at, now)
        self.last_read_at = now

    def is_outdated(self, now: float) -> bool:
        """Whether this node's own entry may have been removed unnoticed."""
        return now - self.last_read_at > MAX_READ_AGE_SECONDS

    def is_own_recently_missing(self, now: float) -> bool:
        """Whether others may not yet know of this node's new entry."""
        return now - self.own_missing_at < RENEWAL_SECONDS

    def put(
        self, member: members_module.Member, suspected: bool, now: float
    ) -> None:
        """Records an entry; a mark counts from when it was first seen."""
        if not suspected:
            self.entries[member.node] = MemberEntry(member)
            return
        before = self.entries.get(member.node)
        if before is not None and before.suspected_at is not None:
            now = before.suspected_at
        self.entries[member.node] = MemberEntry(member, now)

    def observe(self, member: members_module.Member) -> None:
        """Records a node that sent a message: it has written its entry."""
        if member.node not in self.entries:
            self.entries[member.node] = MemberEntry(member)

    def remove(self, node: str) -> None:
        """Records that a VM's entry was removed."""
        self.entries.pop(node, None)

    def retain(self, nodes: set[str]) -> None:
        """Drops the entries of all VMs but the given ones."""
        for node in list(self.entries):
            if node not in nodes:
                del self.entries[node]

    def to_suspect(
        self, members: members_module.Members, now: float
    ) -> list[members_module.Member]:
        """Returns the nodes whose entries must be marked as suspected."""
        found = []
        for entered in self.entries.values():
            if entered.suspected_at is not None:
                continue
            last_seen = members.last_seen.get(entered.member.name, -math.inf)
            if now - last_seen >= SUSPECT_AFTER_SECONDS:
                found.append(entered.member)
        return found

    def suspected(self) -> list[members_module.Member]:
        """Returns the nodes whose entries are marked as suspected."""
        found = []
        for entered in self.entries.values():
            if entered.suspected_at is not None:
                found.append(entered.member)
        return found

    def expired(self, now: float) -> list[members_module.Member]:
        """Returns the nodes whose marked entries weren't renewed in time."""
        found = []
        for entered in self.entries.values():
            since = entered.suspected_at
            if since is not None and now - since >= RENEWAL_SECONDS:
                found.append(entered.member)
        return found
