"""Which of the things said of a replica are of its newest start.

Load pattern: a replica that starts again under the instance that it had,
while entries and reports of its earlier start are still on their way. Taken
for the same one, it is believed to hold prompts that it has lost, and a late
word of before brings an old role back.
"""

import collections

# Instances whose start is remembered after they are gone; a late word comes
# within seconds, in which no fleet replaces as many.
MAX_INSTANCES = 4096


class Incarnations:
    """The newest start of each replica that says when it was.

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
        """Takes a start in; says whether none later is known.

        Args:
            replica: Its instance.
            started_at: Unix milliseconds; 0 if it does not say.
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
        """The known starts of some replicas."""
        found = {}
        for replica in replicas:
            if replica in self.starts:
                found[replica] = self.starts[replica]
        return found


def is_later_start(started_at: int, known: int) -> bool:
    """Whether a start is surely later than the one that is known."""
    return 0 < known < started_at
