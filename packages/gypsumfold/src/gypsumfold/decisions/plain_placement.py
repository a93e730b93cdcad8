"""Chooses replicas for plain calls by the load of all gateways together.

Load pattern: dozens of gateways in front of a few replicas with a few slots
each, some of which take several times as long for half a second. A gateway that
counts only its own calls has none or one open at each replica, so that its
choice is random: calls meet full or slow replicas while others are idle.
Hundreds of gateways receive the same totals at the same time, so that they must
not all choose the replica that looks best.
"""

from collections.abc import Sequence
import random
from typing import NamedTuple

# Expected times within this factor are near equal: what a gateway knows is
# about a quarter of a second old.
NEAR_EQUAL = 1.25
# Multiple of the least expected time from which a slow or failing replica is
# left out: a slot of another one becomes free sooner than it answers.
SLOW_LIMIT = 2.0
# What another data centre costs relative to the usual time of a call: 2 to 6 ms
# of 45 to 90 ms.
OTHER_DATA_CENTRE = 0.08
# Weight in the random choice of a replica without a free slot, in slots.
FULL_WEIGHT = 0.25


class Candidate(NamedTuple):
    """A replica that may be sent a call.

    Attributes:
        instance: The replica.
        slots: Calls that it runs at the same time.
        calls: Open calls of all gateways there, in slots.
        slowness: Time of its calls relative to the usual time; at least 1.
        failing: What its failures count for, in usual times.
        is_local: Whether it is in the gateway's data centre.
    """

    instance: str
    slots: int
    calls: float
    slowness: float = 1.0
    failing: float = 0.0
    is_local: bool = True

    @property
    def free(self) -> float:
        """Free slots; negative if calls wait at the replica."""
        return self.slots - self.calls

    @property
    def expected(self) -> float:
        """Expected time of a further call, in usual times."""
        queued = max(0.0, self.calls + 1 - self.slots) / self.slots
        expected = self.slowness * (1 + queued) + self.failing
        return expected if self.is_local else expected + OTHER_DATA_CENTRE


def without_slow(candidates: Sequence[Candidate]) -> list[Candidate]:
    """Leaves out the replicas that take much longer than the fastest one."""
    times = [one.slowness + one.failing for one in candidates]
    limit = SLOW_LIMIT * min(times, default=0.0)
    found = []
    for one, seconds in zip(candidates, times, strict=True):
        if seconds <= limit:
            found.append(one)
    return found


def choose(
    candidates: Sequence[Candidate], rng: random.Random
) -> Candidate | None:
    """Chooses a replica at random among those with the least expected time.

    Replicas with more free slots are chosen more often, so that the nodes that
    know the same totals fill all of them at the same rate.
    """
    if not candidates:
        return None
    free = [one for one in candidates if one.free >= 1]
    candidates = free or candidates
    limit = NEAR_EQUAL * min(one.expected for one in candidates)
    near = [one for one in candidates if one.expected <= limit]
    weights = []
    for one in near:
        weights.append(max(FULL_WEIGHT, one.free) / one.expected**2)
    return rng.choices(near, weights)[0]
