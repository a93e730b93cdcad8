"""Keeps requests from replicas that have asked this node for rest.

Load pattern: a replica that is short of something turns requests away and says
for how long it wants none. It looks idle meanwhile: its queue is empty and its
caches are warm, so a choice by load finds it first, each request tries it
before one that serves, and all of them reach it again at once when its rest
ends. A rest concerns one node and its replica only, and says nothing of the
replica's health.
"""

import random
from typing import NamedTuple

from gypsumfold.decisions import incarnations

# Seconds after a rest over which the share of requests that may choose the
# replica again rises to all.
RETURN_SECONDS = 1.0


class Rest(NamedTuple):
    """A rest that a replica has asked for.

    Attributes:
        until: When it ends.
        started_at: The replica's start in Unix milliseconds; 0 if unknown.
    """

    until: float
    started_at: int


class Rests:
    """The rests of replicas by instance.

    >>> rests = Rests(random.Random(1))
    >>> rests.record("i-1", 0, until=4.0, now=1.0)
    True
    >>> rests.is_resting("i-1", now=3.9)
    True
    """

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.known: dict[str, Rest] = {}

    def record(
        self, instance: str, started_at: int, until: float, now: float
    ) -> bool:
        """Records a rest; one that ends later than another one extends it.

        Returns:
            Whether the replica didn't rest before.
        """
        is_new = not self.is_resting(instance, now)
        known = self.known.get(instance)
        if known is not None:
            until = max(until, known.until)
        self.known[instance] = Rest(until, started_at)
        self.expire(now)
        return is_new

    def observe_start(self, instance: str, started_at: int) -> None:
        """Drops the rest that an earlier start of a replica has asked for."""
        found = self.known.get(instance)
        if found is None:
            return
        if incarnations.is_later_start(started_at, found.started_at):
            del self.known[instance]

    def expire(self, now: float) -> None:
        """Drops what has ended."""
        for instance, rest in list(self.known.items()):
            if now >= rest.until + RETURN_SECONDS:
                del self.known[instance]

    def is_resting(self, instance: str, now: float) -> bool:
        """Whether a replica wants nothing from this node now."""
        found = self.known.get(instance)
        return found is not None and now < found.until

    def end(self, instance: str, now: float) -> float | None:
        """Returns when a replica's rest ends; None if it doesn't rest."""
        if not self.is_resting(instance, now):
            return None
        return self.known[instance].until

    def may_choose(self, instance: str, now: float) -> bool:
        """Whether one more request may choose a replica freely.

        Right after a rest only a share of them may, so that they don't all
        return to the replica at once.
        """
        found = self.known.get(instance)
        if found is None:
            return True
        return self.rng.random() * RETURN_SECONDS < now - found.until

    def count(self, now: float) -> int:
        """Counts the replicas that rest."""
        return sum(now < rest.until for rest in self.known.values())
