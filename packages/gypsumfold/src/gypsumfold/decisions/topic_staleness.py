"""Decides when a node that follows a relay reads the store itself.

Load pattern: a store whose calls are expensive and limited, and nodes that must
stop sending to a leaving replica within seconds, whichever of them was killed,
frozen, cut off or refused at that moment. A node that follows a relay relies on
three things: the age of the relay's own last read, that no change was missed
(digests are equal), and that the relay sends at all. If one of them fails for a
fraction of the bound, the node reads for itself. That is never later than if
each node polled for itself.
"""

import math

# Fraction of the bound after which a topic is stale. The rest is for the call,
# a retry of it and the requests under way.
MAX_AGE_FRACTION = 0.5
# Seconds for which a digest may differ before the relay is asked for all that
# it knows: changes are sent repeatedly for 0.35 s. After the same time again
# the node reads the store.
DIFFERENCE_SECONDS = 0.4


class TopicStaleness:
    """Tracks the maximum age of what a node knows of one topic.

    Attributes:
        bound: Seconds within which a change must be known.
        known_at: The latest time up to which everything written is known, by
            the node's own reads or from others.
        read_at: The same by its own reads alone. Nodes that might send the
            time back get only this one: each message makes it look younger by
            its travel time, and two nodes that confirm each other would never
            notice that neither reads any more.

    >>> staleness = TopicStaleness(bound=4.0)
    >>> staleness.confirm(known_at=10.0)
    >>> staleness.is_stale(now=11.0), staleness.is_stale(now=12.5)
    (False, True)
    """

    def __init__(self, bound: float):
        self.bound = bound
        self.known_at = -math.inf
        self.read_at = -math.inf
        self.differing_since: float | None = None

    def record_read(self, read_at: float) -> None:
        """Records the time of a state that this node itself has read."""
        self.read_at = max(self.read_at, read_at)
        self.confirm(read_at)

    def confirm(self, known_at: float) -> None:
        """Records a time up to which everything written is known."""
        self.known_at = max(self.known_at, known_at)
        self.differing_since = None

    def record_difference(self, now: float) -> None:
        """Records that the relay's digest differs."""
        if self.differing_since is None:
            self.differing_since = now

    def age(self, now: float) -> float:
        """Returns the seconds in which a change may have been missed."""
        return now - self.known_at

    def is_stale(self, now: float) -> bool:
        """Whether the node must read for itself."""
        if self.age(now) > MAX_AGE_FRACTION * self.bound:
            return True
        return self.differs(now, 2 * DIFFERENCE_SECONDS)

    def differs(self, now: float, seconds: float = DIFFERENCE_SECONDS) -> bool:
        """Whether the relay's digest has differed for longer than `seconds`."""
        since = self.differing_since
        return since is not None and now - since > seconds
