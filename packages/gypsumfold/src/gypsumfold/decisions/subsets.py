"""Which replicas of a service one node polls and routes to.

Load pattern: hundreds of nodes before thousands of replicas. If every node
polled every replica, polls would grow with the product of both; a random
subset per node would leave some replicas with no node at all.

Rendezvous hashing (Thaler and Ravishankar 1998): a replica that comes or
goes moves only the nodes that had it or now get it.
"""

from typing import Protocol

import xxhash

from gypsumfold.decisions import types


class Subset(Protocol):
    """Chooses the replicas of a service for one node."""

    def choose(
        self, node: str, replicas: list[types.Replica], size: int
    ) -> list[types.Replica]:
        """Picks at most about ``size`` replicas."""


class Rendezvous:
    """The highest hashes of node and replica, near ones for a half.

    >>> Rendezvous("north-apron").choose("entry-1", replicas, size=16)
    [Replica(...), ...]
    """

    def __init__(self, data_centre: str):
        self.data_centre = data_centre

    def choose(
        self, node: str, replicas: list[types.Replica], size: int
    ) -> list[types.Replica]:
        """Half from the own data centre, the rest from anywhere."""
        if len(replicas) <= size:
            return list(replicas)
        ranked = sorted(replicas, key=lambda one: -weight(node, one.name))
        chosen = []
        for replica in ranked:
            if replica.data_centre != self.data_centre:
                continue
            if len(chosen) < size // 2:
                chosen.append(replica)
        for replica in ranked:
            if len(chosen) >= size:
                break
            if replica not in chosen:
                chosen.append(replica)
        return sorted(chosen)


def weight(node: str, replica: str) -> int:
    """The hash that orders replicas for a node; the same on every node."""
    return xxhash.xxh3_64_intdigest(f"{node}\n{replica}".encode())


class AllReplicas:
    """The baseline: every node routes to every replica."""

    def choose(
        self, node: str, replicas: list[types.Replica], size: int
    ) -> list[types.Replica]:
        """All of them."""
        return list(replicas)
