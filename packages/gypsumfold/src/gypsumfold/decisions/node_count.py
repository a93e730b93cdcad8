"""How many nodes there are: heard, told, or entered in the store.

Load pattern: many nodes that start in the same moment, or whose relay has just
taken over. Each has heard few of the others, and by that count would take a
large share of what the site has once, such as its spare repeats.
"""

import math

from gypsumfold.decisions import member_entries as member_entries_module
from gypsumfold.decisions import members as members_module

# Seconds of silence after which a node does not count as heard; also for how
# long the largest number that was told counts.
RECENT_SECONDS = 15.0
# Seconds after the first reading of all entries until it is known how many
# nodes there are: all may start at the same time, and each knows those that
# were entered after its reading once it has heard them.
STARTUP_SECONDS = 2.0


class NodeCount:
    """Counts the nodes of the site, this one included.

    Attributes:
        noted: The largest number that was noted in the last seconds.
        told: Whether a relay has said how many there are.
        apart: Whether it said that the others may count without this node.

    >>> census = Census(members, roster)
    >>> census.tell(195, apart=False, now=0.0)
    >>> census.noted
    195
    """

    def __init__(
        self,
        members: members_module.Members,
        member_entries: member_entries_module.MemberEntries,
    ):
        self.members = members
        self.member_entries = member_entries
        self.received = False
        self.partitioned = False
        self.highest = 1
        self.highest_at = -math.inf

    def count_recent(self, now: float) -> int:
        """Counts the nodes that were heard of lately by this one."""
        start = now - RECENT_SECONDS
        count = 1
        for name in self.members.known:
            if self.members.last_seen.get(name, -math.inf) > start:
                count += 1
        return count

    def receive(self, nodes: int, partitioned: bool, now: float) -> None:
        """Notes how many nodes there are by this node's relay."""
        self.received = True
        self.partitioned = partitioned
        self.record(nodes, now)

    def record(self, nodes: int, now: float) -> None:
        """Notes how many nodes there are; the most of the last seconds counts.

        Relays that have just taken over have not heard of all.
        """
        if nodes >= self.highest or now - self.highest_at > RECENT_SECONDS:
            self.highest = nodes
            self.highest_at = now

    def with_entries(self, count: int) -> int:
        """Counts the nodes that are heard or have an entry in the store.

        Those that are not heard count: the two halves of a divided site would
        else share it twice.

        Args:
            count: The nodes that are heard or told of.
        """
        others = (
            self.members.names_by_node.keys()
            | self.member_entries.entries.keys()
        )
        return max(count, 1 + len(others))

    def is_partitioned(self, count: int, now: float) -> bool:
        """Whether the others may count without this node by now.

        Its entry was gone a moment ago; or it has not read the entries for so
        long that its own may be gone, and does not hear all of the others.

        Args:
            count: The nodes that are heard or told of.
            now: The time.
        """
        if self.member_entries.is_own_recently_missing(now):
            return True
        return self.member_entries.is_outdated(
            now
        ) and count < self.with_entries(count)
