"""Lists the nodes of the site and ranks those of each data centre.

Load pattern: hundreds of VMs of which any may start, restart, stop or disappear
at any moment, many of them at once. There is no agreed list: each node keeps
its own, from entries in the store and from messages, and ranks the nodes of a
data centre by rendezvous hashing. Two nodes that know the same members rank
them in the same order. If they don't, more nodes than needed do the same work
for a moment, which costs work but breaks no guarantee.
"""

import math
from typing import NamedTuple

import xxhash

# Number of distinct values of a 64-bit hash.
HASH_COUNT = 2.0**64


class Member(NamedTuple):
    """One incarnation of a node on a VM.

    Attributes:
        name: Unique for this incarnation; a later one of the same VM sorts
            after it.
        node: The VM's name.
        data_centre: The VM's data centre.
        address: IP and port for datagrams.
        power: Processor power in cores; stronger VMs rank higher.
    """

    name: str
    node: str
    data_centre: str
    address: tuple[str, int]
    power: float = 1.0


class Members:
    """The nodes that are assumed to run, one incarnation of each VM.

    >>> members = Members(own)
    >>> members.add(other, now=0.0)
    True
    >>> members.ranked("north-apron")
    [Member(...), Member(...)]
    """

    def __init__(self, own: Member):
        self.own = own
        self.known: dict[str, Member] = {}
        self.names_by_node: dict[str, str] = {}
        self.last_seen: dict[str, float] = {}
        self.rankings: dict[str, list[Member]] = {}

    def add(self, member: Member, now: float) -> bool:
        """Adds a member that another node or a store entry names.

        An entry stays in the store when its node dies; the next incarnation of
        the same VM replaces it.

        Returns:
            Whether the member was new.
        """
        if member.name == self.own.name or member.name in self.known:
            return False
        before = self.names_by_node.get(member.node)
        if before is not None and before > member.name:
            return False
        self.replace(member)
        self.last_seen.setdefault(member.name, now)
        return True

    def observe(self, member: Member, now: float) -> None:
        """Records a message from the node itself, which proves that it runs."""
        if member.name == self.own.name:
            return
        if self.known.get(member.name) != member:
            self.replace(member)
        self.last_seen[member.name] = now

    def replace(self, member: Member) -> None:
        """Replaces the known incarnation of a VM."""
        before = self.names_by_node.get(member.node)
        if before is not None:
            self.remove(before)
        self.known[member.name] = member
        self.names_by_node[member.node] = member.name
        self.rankings.clear()

    def remove(self, name: str) -> None:
        """Drops a node that has left or died."""
        member = self.known.pop(name, None)
        if member is None:
            return
        self.last_seen.pop(name, None)
        if self.names_by_node.get(member.node) == name:
            del self.names_by_node[member.node]
        self.rankings.clear()

    def not_seen_since(self, since: float) -> list[Member]:
        """Returns the nodes that were last seen before `since`."""
        found = []
        for name, member in self.known.items():
            if self.last_seen.get(name, -math.inf) < since:
                found.append(member)
        return found

    def ranked(self, data_centre: str) -> list[Member]:
        """Returns the nodes of a data centre, this one included, best first."""
        found = self.rankings.get(data_centre)
        if found is None:
            found = []
            for member in [self.own, *self.known.values()]:
                if member.data_centre == data_centre:
                    found.append(member)
            found.sort(key=score, reverse=True)
            self.rankings[data_centre] = found
        return found

    def data_centres(self) -> set[str]:
        """Returns all data centres with a known node."""
        found = {self.own.data_centre}
        for member in self.known.values():
            found.add(member.data_centre)
        return found


def spread_holders(
    own: Member, others: list[Member], count: int
) -> list[Member]:
    """Chooses nodes that keep something on behalf of another one.

    They are in different data centres, other than its own, as far as there are
    any. The choice follows from the VMs' names, so that it changes only with
    the chosen nodes.
    """

    def rank(member: Member) -> int:
        pair = f"{own.node}\n{member.node}"
        return xxhash.xxh3_64_intdigest(pair.encode())

    found = []
    left = sorted(others, key=rank)
    while left and len(found) < count:
        used = {member.data_centre for member in found}
        if not found:
            used.add(own.data_centre)
        chosen = left[0]
        for member in left:
            if member.data_centre not in used:
                chosen = member
                break
        left.remove(chosen)
        found.append(chosen)
    return found


def score(member: Member) -> tuple[float, str]:
    """Returns the sort key that ranks a node within its data centre.

    Weighted rendezvous hashing: a VM of twice the power comes first twice as
    often. It hashes the VM and not the incarnation, so that a restarted node
    gets its old rank and changes no other.
    """
    digest = xxhash.xxh3_64_intdigest(member.node.encode())
    even = (digest + 1) / (HASH_COUNT + 1)
    return -max(member.power, 1e-3) / math.log(even), member.name
