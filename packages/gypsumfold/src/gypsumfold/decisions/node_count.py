"""Counts the nodes of the site from messages, relays and store entries.

Load pattern: many nodes that start at the same moment, or whose relay has just
taken over. Each has received messages from few of the others, and by that count
would take a large share of what the site has once, such as its spare retries.
"""

import math

from gypsumfold.decisions import member_entries as member_entries_module
from gypsumfold.decisions import members as members_module

# Seconds of silence after which a node isn't counted, and for which the highest
# recorded number counts.
RECENT_SECONDS = 15.0
# Seconds after the first read of all entries until the number of nodes is
# known. All nodes may start at the same time; each learns of those that were
# entered after its read from their messages.
STARTUP_SECONDS = 2.0


class NodeCount:
    """Counts the nodes of the site, this one included.

    Attributes:
        highest: The highest number recorded in the last `RECENT_SECONDS`.
        received: Whether a relay has reported a number.
        partitioned: Whether it reported that the others may not count this
            node.

    >>> node_count = NodeCount(members, member_entries)
    >>> node_count.receive(195, partitioned=False, now=0.0)
    >>> node_count.highest
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

    def count_recent(self, now: float, seconds: float = RECENT_SECONDS) -> int:
        """Counts the nodes seen in the last seconds, with this one."""
        start = now - seconds
        count = 1
        for name in self.members.known:
            if self.members.last_seen.get(name, -math.inf) > start:
                count += 1
        return count

    def receive(self, nodes: int, partitioned: bool, now: float) -> None:
        """Records the number of nodes that this node's relay reported."""
        self.received = True
        self.partitioned = partitioned
        self.record(nodes, now)

    def record(self, nodes: int, now: float) -> None:
        """Records a number of nodes; the highest recent one counts.

        Relays that have just taken over don't know all nodes yet.
        """
        if nodes >= self.highest or now - self.highest_at > RECENT_SECONDS:
            self.highest = nodes
            self.highest_at = now

    def with_entries(self, count: int) -> int:
        """Counts the nodes that are known or have an entry in the store.

        Silent nodes with an entry count too. Otherwise the two halves of a
        partitioned site would each use the site's whole budgets.

        Args:
            count: The nodes counted from messages or by the relay.
        """
        others = (
            self.members.names_by_node.keys()
            | self.member_entries.entries.keys()
        )
        return max(count, 1 + len(others))

    def is_partitioned(self, count: int, now: float) -> bool:
        """Whether the other nodes may no longer count this one.

        Either its entry was missing a moment ago, or it hasn't read the entries
        for so long that its own may have been removed, and it doesn't see all
        the others.

        Args:
            count: The nodes counted from messages or by the relay.
            now: The time.
        """
        if self.member_entries.is_own_recently_missing(now):
            return True
        return self.member_entries.is_outdated(
            now
        ) and count < self.with_entries(count)
