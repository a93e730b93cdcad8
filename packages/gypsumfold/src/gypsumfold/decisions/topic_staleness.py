"""When a node reads the store itself though others read it for all.

Load pattern: a store whose calls are dear and limited, and nodes that must
have stopped sending to a leaving replica within seconds, whoever of them was
killed, frozen, cut off or refused in that moment. A node that is told relies
on three things: how old the teller's own reading is, that nothing was missed
(digests are equal), and that the teller speaks at all. Where one of them
fails for a share of the bound, it reads for itself; that is never later than
where each node polls for itself.
"""

import math

# Share of the time within which a change must be known after which what is
# known is too old: the rest is for the call, a repeat of it and the requests
# under way.
MAX_AGE_FRACTION = 0.5
# Seconds for which a digest may differ until the teller is asked for all that
# it knows: changes are told again for 0.35 s. After as much again the store is
# read.
DIFFERENCE_SECONDS = 0.4


class TopicStaleness:
    """How old a node's knowledge of one topic is, at the worst.

    Attributes:
        bound: Seconds within which a change must be known.
        known_at: When all that was written was known, by own readings and by
            what others told.
        read_at: The same by own readings alone. Only this is told to those
            who might tell it back: each telling makes it look younger by the
            time that it takes, and two nodes that confirm each other would
            never notice that neither reads any more.

    >>> following = Following(bound=4.0)
    >>> following.confirmed(known_at=10.0)
    >>> following.doubtful(now=11.0), following.doubtful(now=12.5)
    (False, True)
    """

    def __init__(self, bound: float):
        self.bound = bound
        self.known_at = -math.inf
        self.read_at = -math.inf
        self.differing_since: float | None = None

    def record_read(self, read_at: float) -> None:
        """Notes a moment whose state this node itself has read."""
        self.read_at = max(self.read_at, read_at)
        self.confirm(read_at)

    def confirm(self, known_at: float) -> None:
        """Notes a moment at which all that was written was known."""
        self.known_at = max(self.known_at, known_at)
        self.differing_since = None

    def record_difference(self, now: float) -> None:
        """Notes that the teller knows something else."""
        if self.differing_since is None:
            self.differing_since = now

    def age(self, now: float) -> float:
        """Seconds since which something may have been missed."""
        return now - self.known_at

    def is_stale(self, now: float) -> bool:
        """Whether the node is to read for itself."""
        if self.age(now) > MAX_AGE_FRACTION * self.bound:
            return True
        return self.differs(now, 2 * DIFFERENCE_SECONDS)

    def differs(self, now: float, seconds: float = DIFFERENCE_SECONDS) -> bool:
        """Whether the teller has known something else for a while."""
        since = self.differing_since
        return since is not None and now - since > seconds
