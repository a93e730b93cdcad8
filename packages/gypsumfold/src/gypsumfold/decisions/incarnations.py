"""Separates messages about a replica's newest incarnation from older ones.

Load pattern: a replica that restarts under the same instance name while
entries and reports from before the restart are still in flight. If they were
taken as current, nodes would assume that it still caches prompts that it has
lost, and a late report would restore an old role.
"""

import collections

# Instances whose start is remembered. Late messages arrive within seconds, in
# which no fleet replaces this many replicas.
MAX_INSTANCES = 4096


class Incarnations:
    """The newest start of each replica that reports its start time.

    >>> incarnations = Incarnations()
    >>> incarnations.observe("engine-1", 2000)
    True
    >>> incarnations.observe("engine-1", 1000)
    False
    """

    def __init__(self):
        self.starts: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def observe(self, replica: str, started_at: int) -> bool:
        """Records a start.

        Args:
            replica: The replica's instance.
            started_at: Unix milliseconds; 0 if unknown.

        Returns:
            Whether no later start is known.
        """
        known = self.starts.get(replica, 0)
        if started_at <= 0:
            return True
        if started_at < known:
            return False
        self.starts[replica] = started_at
        self.starts.move_to_end(replica)
        if len(self.starts) > MAX_INSTANCES:
            self.starts.popitem(last=False)
        return True

    def known_starts(self, replicas: list[str]) -> dict[str, int]:
        """Returns the known start times of the given replicas."""
        found = {}
        for replica in replicas:
            if replica in self.starts:
                found[replica] = self.starts[replica]
        return found


def is_later_start(started_at: int, known: int) -> bool:
    """Whether a start is later than a known one; False if either is unknown."""
    return 0 < known < started_at
