"""Refuses requests whose answers would come too late.

Load pattern: more requests than the fleet can serve, as in overload or after an
outage. Without admission control the queue grows until all answers are late,
and the engines spend their time on answers that nobody waits for any more. A
refusal says when to retry, with jitter, so that refused callers don't return
all at once.
"""

import random
from typing import NamedTuple
from typing import Protocol

# Fraction added to an estimate before it is compared with a deadline, since
# estimates are averages. A smaller one lets more answers end just too late
# under overload; a larger one refuses callers under ordinary load.
ESTIMATE_MARGIN = 0.35
# From this urgency value the complete margin is added. Urgency 0 gets none:
# there every answer that may still be on time is worth the work.
FULL_MARGIN_URGENCY = 2
# Bounds of the retry advice: below the minimum a retry meets the same queue,
# beyond the maximum a peak has passed.
MIN_RETRY_SECONDS = 1.0
MAX_RETRY_SECONDS = 30.0


class WaitEstimate(NamedTuple):
    """How long a waiting request is expected to wait and to run.

    Attributes:
        time_left: Seconds until its deadline.
        queued_ahead: Seconds of work queued ahead of it.
        work: Seconds that it takes itself.
        slots: Requests that this node runs at once: this many seconds of
            waiting work drain per second.
        urgency: 0 is the most urgent.
    """

    time_left: float
    queued_ahead: float
    work: float
    slots: int
    urgency: int = FULL_MARGIN_URGENCY


class Admission(Protocol):
    """Decides whether a request that can't be sent at once may wait."""

    def is_feasible(self, estimate: WaitEstimate) -> bool:
        """Whether its answer can be complete before its deadline."""

    def is_full(self, queued: int) -> bool:
        """Whether too many requests wait."""

    def retry_after(self, wait: float) -> float:
        """Seconds after which a refused caller should retry."""


class DeadlineAdmission:
    """Refuses requests that would be late or exceed the queue limit.

    >>> DeadlineAdmission(512, random.Random(1)).is_full(queued=513)
    True
    """

    def __init__(self, max_waiting: int, rng: random.Random):
        self.max_waiting = max_waiting
        self.rng = rng

    def is_feasible(self, estimate: WaitEstimate) -> bool:
        """Whether its answer can be complete before its deadline."""
        wait = estimate.queued_ahead / max(1, estimate.slots)
        margin = ESTIMATE_MARGIN * min(
            1.0, estimate.urgency / FULL_MARGIN_URGENCY
        )
        return (wait + estimate.work) * (1 + margin) <= estimate.time_left

    def is_full(self, queued: int) -> bool:
        """Whether too many requests wait."""
        return queued > self.max_waiting

    def retry_after(self, wait: float) -> float:
        """The bounded wait times a random factor between one and two."""
        base = min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, wait))
        return base * (1.0 + self.rng.random())


class AdmitAll:
    """The baseline: all requests may wait; callers retry after a second."""

    def is_feasible(self, estimate: WaitEstimate) -> bool:
        """Returns True."""
        return True

    def is_full(self, queued: int) -> bool:
        """Returns False."""
        return False

    def retry_after(self, wait: float) -> float:
        """One second."""
        return MIN_RETRY_SECONDS
