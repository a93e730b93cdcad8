"""Which nodes are entered in the store, and whose entries may go.

Load pattern: a site whose parts do not hear each other for minutes while all
of them run and reach the store. By silence alone each part would take the
others for dead, remove their entries, and use what the site has once as if it
were its own. So an entry of a node that is not heard is marked as suspected at
first, and removed only if nobody has renewed it within the time in which a
living node has read it.
"""

import math
from typing import NamedTuple

from gypsumfold.decisions import members as members_module

# Seconds of silence after which the entry of a node is suspected: five times
# as long as a VM takes to start again.
SUSPECT_AFTER_SECONDS = 10.0
# Seconds within which a living node has renewed its suspected entry: nodes
# read all entries every 23 s.
RENEWAL_SECONDS = 25.0
# Seconds without a reading of the entries after which this node may itself
# have been removed: just above the time between two readings.
MAX_READ_AGE_SECONDS = 24.0


class MemberEntry(NamedTuple):
    """A node's entry in the store.

    Attributes:
        member: Whose it is.
        suspected_at: When it was first seen marked as suspected; None where
            it is not.
    """

    member: members_module.Member
    suspected_at: float | None = None


class MemberEntries:
    """The entries of the other nodes, as this one last read them.

    Attributes:
        entered: By the VM's name.
        read_at: When they were first read; none before.
        known_at: When they were last read.
        missed_at: When this node's own entry was last seen gone; the others
            know of the new one only once they have read it.

    >>> roster = Roster()
    >>> roster.put(member, suspected=True, now=0.0)
    >>> roster.dead(now=30.0)
    [Member(...)]
    """

    def __init__(self):
        self.entries: dict[str, MemberEntry] = {}
        self.first_read_at = math.inf
        self.last_read_at = -math.inf
        self.own_missing_at = -math.inf

    def record_read(self, now: float) -> None:
        """Notes that the entries were read."""
        self.first_read_at = min(self.first_read_at, now)
        self.last_read_at = now

    def is_outdated(self, now: float) -> bool:
        """Whether this node's own entry may be gone without its knowledge."""
        return now - self.last_read_at > MAX_READ_AGE_SECONDS

    def is_own_recently_missing(self, now: float) -> bool:
        """Whether others may not yet know of this node's new entry."""
        return now - self.own_missing_at < RENEWAL_SECONDS

    def put(
        self, member: members_module.Member, suspected: bool, now: float
    ) -> None:
        """Takes in an entry; a mark counts from when it was first seen."""
        if not suspected:
            self.entries[member.node] = MemberEntry(member)
            return
        before = self.entries.get(member.node)
        if before is not None and before.suspected_at is not None:
            now = before.suspected_at
        self.entries[member.node] = MemberEntry(member, now)

    def observe(self, member: members_module.Member) -> None:
        """Takes in a node that was heard: it has entered itself before."""
        if member.node not in self.entries:
            self.entries[member.node] = MemberEntry(member)

    def remove(self, node: str) -> None:
        """Takes in that a VM's entry is gone."""
        self.entries.pop(node, None)

    def retain(self, nodes: set[str]) -> None:
        """Takes in that only these VMs have an entry."""
        for node in list(self.entries):
            if node not in nodes:
                del self.entries[node]

    def to_suspect(
        self, members: members_module.Members, now: float
    ) -> list[members_module.Member]:
        """The nodes whose entries are to be marked as suspected."""
        found = []
        for entered in self.entries.values():
            if entered.suspected_at is not None:
                continue
            heard = members.last_seen.get(entered.member.name, -math.inf)
            if now - heard >= SUSPECT_AFTER_SECONDS:
                found.append(entered.member)
        return found

    def suspected(self) -> list[members_module.Member]:
        """The nodes whose entries are marked."""
        found = []
        for entered in self.entries.values():
            if entered.suspected_at is not None:
                found.append(entered.member)
        return found

    def expired(self, now: float) -> list[members_module.Member]:
        """The nodes whose marked entries nobody has renewed in time."""
        found = []
        for entered in self.entries.values():
            since = entered.suspected_at
            if since is not None and now - since >= RENEWAL_SECONDS:
                found.append(entered.member)
        return found
