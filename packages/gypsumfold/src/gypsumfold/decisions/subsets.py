"""Chooses the replicas of a service that one node polls and routes to.

Load pattern: hundreds of nodes in front of thousands of replicas. If every node
polled every replica, polls would grow with the product of both; a random
subset per node would leave some replicas without any node.

Rendezvous hashing (Thaler and Ravishankar 1998): adding or removing a replica
affects only the nodes that get or had it.
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
    """Picks the highest hashes of node and replica, half of them nearby.

    >>> Rendezvous("north-apron").choose("entry-1", replicas, size=16)
    [Replica(...), ...]
    """

    def __init__(self, data_centre: str):
        self.data_centre = data_centre

    def choose(
        self, node: str, replicas: list[types.Replica], size: int
    ) -> list[types.Replica]:
        """Picks up to half from the node's data centre, the rest from all."""
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
    """Returns the hash that ranks a replica for a node; alike on all nodes."""
    return xxhash.xxh3_64_intdigest(f"{node}\n{replica}".encode())


class AllReplicas:
    """The baseline: every node routes to every replica."""

    def choose(
        self, node: str, replicas: list[types.Replica], size: int
    ) -> list[types.Replica]:
        """Picks all replicas."""
        return list(replicas)
