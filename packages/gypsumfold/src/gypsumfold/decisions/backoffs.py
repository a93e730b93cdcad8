"""Keeps requests from replicas that have asked this node to back off.

Load pattern: a replica that is short of something turns requests away and says
for how long it wants none. It looks idle meanwhile: its queue is empty and its
caches are warm, so a choice by load finds it first, each request tries it
before one that serves, and all of them reach it again at once when the time is
over. A backoff concerns one node and one replica only, and says nothing of the
replica's health.
"""

import random
from typing import NamedTuple

from gypsumfold.decisions import incarnations

# Seconds after a backoff over which the share of requests that may choose the
# replica again rises to all.
RETURN_SECONDS = 1.0


class Backoff(NamedTuple):
    """A time for which a replica wants nothing.

    Attributes:
        until: When it ends.
        started_at: The replica's start in Unix milliseconds; 0 if unknown.
    """

    until: float
    started_at: int


class Backoffs:
    """The backoffs of replicas by instance.

    >>> backoffs = Backoffs(random.Random(1))
    >>> backoffs.record("i-1", 0, until=4.0, now=1.0)
    True
    >>> backoffs.is_active("i-1", now=3.9)
    True
    """

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.known: dict[str, Backoff] = {}

    def record(
        self, instance: str, started_at: int, until: float, now: float
    ) -> bool:
        """Records a backoff; one that ends later than another extends it.

        Returns:
            Whether there was none before.
        """
        is_new = not self.is_active(instance, now)
        known = self.known.get(instance)
        if known is not None:
            until = max(until, known.until)
        self.known[instance] = Backoff(until, started_at)
        self.expire(now)
        return is_new

    def observe_start(self, instance: str, started_at: int) -> None:
        """Drops what an earlier start of a replica has asked for."""
        found = self.known.get(instance)
        if found is None:
            return
        if incarnations.is_later_start(started_at, found.started_at):
            del self.known[instance]

    def expire(self, now: float) -> None:
        """Drops what has ended."""
        for instance, backoff in list(self.known.items()):
            if now >= backoff.until + RETURN_SECONDS:
                del self.known[instance]

    def is_active(self, instance: str, now: float) -> bool:
        """Whether a replica wants nothing from this node now."""
        found = self.known.get(instance)
        return found is not None and now < found.until

    def end(self, instance: str, now: float) -> float | None:
        """Returns when a replica's backoff ends; None if there is none."""
        if not self.is_active(instance, now):
            return None
        return self.known[instance].until

    def may_choose(self, instance: str, now: float) -> bool:
        """Whether one more request may choose a replica freely.

        Right after a backoff only a share of them may, so that they don't all
        return to the replica at once.
        """
        found = self.known.get(instance)
        if found is None:
            return True
        return self.rng.random() * RETURN_SECONDS < now - found.until
