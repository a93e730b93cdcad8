"""Raises a number of replicas at once and lowers it after a delay.

Load pattern: replicas that are idle between bursts. If their number fell in
each pause, those that the next burst needs would have to start again.
"""

# Seconds for which fewer replicas must be enough before any is given up, and
# between two reductions.
SHRINK_AFTER_SECONDS = 6.0


class DelayedReduction:
    """Delays the reductions of one service's number of replicas.

    Attributes:
        lower_since: Since when fewer replicas are enough; None if they aren't.

    >>> reduction = DelayedReduction()
    >>> reduction.update(30, 45, now=0.0)
    45
    """

    def __init__(self):
        self.lower_since: float | None = None

    def update(self, total: int, needed: int, now: float) -> int:
        """Returns the number of replicas from now on.

        Args:
            total: The number until now.
            needed: The number that is enough at present.
            now: Seconds of a monotonic clock.
        """
        if needed >= total:
            self.lower_since = None
            return needed
        if self.lower_since is None:
            self.lower_since = now
        if now - self.lower_since < SHRINK_AFTER_SECONDS:
            return total
        self.lower_since = None
        return needed
