"""Who is refused at once because the answer would come too late.

Load pattern: more work than the fleet can do, as in overload or after an
outage. Without it every request waits its turn, the queue grows until all
answers are late, and the engines spend their time on answers that nobody
waits for any more. A refusal says when to come back, spread out, so that the
refused do not return together.
"""

import random
from typing import NamedTuple
from typing import Protocol

# Share that is added to an estimate before it is held against a deadline:
# estimates are averages. In trials at twice the capacity 0.0 ended nearly
# half of the answers just too late, 0.2 a fifth, 0.35 a tenth; 0.5 refused
# more callers of ordinary use (features/support/patterns.py).
ESTIMATE_MARGIN = 0.35
# From this urgency on the whole margin is added; none for urgency 0, of
# which every answer that can still be in time is worth the work.
FULL_MARGIN_URGENCY = 2
# Bounds of the advice when to come back, in seconds: below the first a
# repeat meets the same queue, beyond the second a peak has passed.
MIN_RETRY_SECONDS = 1.0
MAX_RETRY_SECONDS = 30.0


class WaitEstimate(NamedTuple):
    """What a waiting request can expect.

    Attributes:
        left: Seconds until its deadline.
        ahead: Seconds of work that goes before it.
        work: Seconds that it takes itself.
        slots: Requests that this node has running at once; they end at this
            rate times the work of one, so waiting work drains as fast.
        urgency: 0 is the most urgent.
    """

    time_left: float
    queued_ahead: float
    work: float
    slots: int
    urgency: int = FULL_MARGIN_URGENCY


class Admission(Protocol):
    """Whether a request that cannot be sent at once may wait."""

    def is_feasible(self, estimate: WaitEstimate) -> bool:
        """Whether its answer can be whole before its deadline."""

    def is_full(self, queued: int) -> bool:
        """Whether too many wait."""

    def retry_after(self, wait: float) -> float:
        """Seconds after which a repeat makes sense."""


class DeadlineAdmission:
    """Refuses what cannot be answered in time, and beyond a bound.

    >>> DeadlineAdmission(512, random.Random(1)).full(queued=513)
    True
    """

    def __init__(self, max_waiting: int, rng: random.Random):
        self.max_waiting = max_waiting
        self.rng = rng

    def is_feasible(self, estimate: WaitEstimate) -> bool:
        """Whether its answer can be whole before its deadline."""
        wait = estimate.queued_ahead / max(1, estimate.slots)
        margin = ESTIMATE_MARGIN * min(
            1.0, estimate.urgency / FULL_MARGIN_URGENCY
        )
        return (wait + estimate.work) * (1 + margin) <= estimate.time_left

    def is_full(self, queued: int) -> bool:
        """Whether too many wait."""
        return queued > self.max_waiting

    def retry_after(self, wait: float) -> float:
        """The wait, spread evenly over one to two times itself."""
        base = min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, wait))
        return base * (1.0 + self.rng.random())


class AdmitAll:
    """The baseline: all may wait, and all come back after a second."""

    def is_feasible(self, estimate: WaitEstimate) -> bool:
        """Always."""
        return True

    def is_full(self, queued: int) -> bool:
        """Never."""
        return False

    def retry_after(self, wait: float) -> float:
        """A second."""
        return MIN_RETRY_SECONDS
