"""Remembers which replicas have said that they shut down.

Load pattern: a replica says in its answers that it is leaving while its entry
in the store still says ready, because the store is down, its write is late or
a copy of the entry is old. An entry never takes the statement back, not even
one that lapsed and returns; only a later start of the replica does.
"""

import collections
from typing import NamedTuple

from gypsumfold.decisions import incarnations

# Instances that are remembered; no fleet replaces as many while copies of an
# old entry are still in flight.
MAX_INSTANCES = 4096
# Seconds for which other nodes are sent a departure: several messages, so that
# losing some of them doesn't matter.
ANNOUNCED_SECONDS = 2.0
# Most departures that are sent along with one forwarded answer.
MAX_RECENT = 16


class Departure(NamedTuple):
    """What is known of a replica that leaves.

    Attributes:
        since: When this node learnt it.
        started_at: The replica's start in Unix milliseconds; 0 if unknown.
    """

    since: float
    started_at: int


class Departures:
    """The replicas that have said that they leave, by instance.

    >>> departures = Departures()
    >>> departures.record("i-1", started_at=0, now=1.0)
    True
    >>> departures.find("i-1", started_at=0)
    Departure(since=1.0, started_at=0)
    """

    def __init__(self):
        self.known: collections.OrderedDict[str, Departure] = (
            collections.OrderedDict()
        )

    def record(self, instance: str, started_at: int, now: float) -> bool:
        """Records a departure; returns whether it is news."""
        if self.find(instance, started_at) is not None:
            return False
        self.known[instance] = Departure(now, started_at)
        self.known.move_to_end(instance)
        if len(self.known) > MAX_INSTANCES:
            self.known.popitem(last=False)
        return True

    def find(self, instance: str, started_at: int) -> Departure | None:
        """Returns the departure of a replica; None if it doesn't leave.

        Args:
            instance: The replica.
            started_at: Its start in Unix milliseconds; 0 if unknown. What an
                earlier start has said is dropped.
        """
        found = self.known.get(instance)
        if found is None:
            return None
        if incarnations.is_later_start(started_at, found.started_at):
            del self.known[instance]
            return None
        return found

    def recent(self, now: float) -> list[tuple[str, int]]:
        """Returns the instance and start of the newest departures."""
        found = []
        for instance, departure in reversed(self.known.items()):
            if now - departure.since > ANNOUNCED_SECONDS:
                break
            if len(found) == MAX_RECENT:
                break
            found.append((instance, departure.started_at))
        return found
