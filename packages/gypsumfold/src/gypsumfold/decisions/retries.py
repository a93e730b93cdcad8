"""Decides whether and when work is retried.

Load pattern: an outage or a slow fleet, in which every failed attempt is
retried. Without a budget retries multiply the load just when the fleet can
handle least; without jitter they arrive together.
"""

import random
from typing import Protocol

from gypsumfold.decisions import types

# Retries as a fraction of first attempts: in a full outage the load grows by at
# most a tenth (Google SRE Book, ch. 21).
RETRY_FRACTION = 0.1
# Retries that an idle node may make at once: an engine that fails with a full
# batch of 32 leaves about 6 to each of six nodes.
MAX_BUDGET = 10.0
# Seconds before the first retry, doubled each time: the latency between data
# centres and the restart of an engine differ by far more than two attempts.
FIRST_DELAY_SECONDS = 0.05
MAX_DELAY_SECONDS = 2.0
# Attempts of one request, the first included.
MAX_ATTEMPTS = 3


class Retries(Protocol):
    """Decides on retries inside the node."""

    def first(self) -> None:
        """Records a first attempt."""

    def delay(
        self, request: types.Request, attempt: int, work: float, now: float
    ) -> float | None:
        """Returns the seconds until the next attempt; None for no attempt."""


class BudgetedRetries:
    """Retries with jitter, within a share of the traffic and the deadline.

    >>> BudgetedRetries(random.Random(1)).delay(request, 1, 0.5, now=0.0)
    0.03
    """

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.budget = MAX_BUDGET

    def first(self) -> None:
        """Records a first attempt, which earns a fraction of a retry."""
        self.budget = min(MAX_BUDGET, self.budget + RETRY_FRACTION)

    def delay(
        self, request: types.Request, attempt: int, work: float, now: float
    ) -> float | None:
        """Returns the seconds until the next attempt; None for no attempt.

        Args:
            request: The failed request.
            attempt: Attempts made so far.
            work: Seconds that the next one will take.
            now: The time.
        """
        if attempt >= MAX_ATTEMPTS or self.budget < 1:
            return None
        longest = min(
            MAX_DELAY_SECONDS, FIRST_DELAY_SECONDS * 2 ** (attempt - 1)
        )
        delay = self.rng.uniform(0, longest)
        if now + delay + work > request.deadline:
            return None
        self.budget -= 1
        return delay


class AlwaysRetry:
    """The baseline: retries at once, up to the same number of attempts."""

    def first(self) -> None:
        """Keeps no budget."""

    def delay(
        self, request: types.Request, attempt: int, work: float, now: float
    ) -> float | None:
        """Returns 0 until all attempts are used."""
        return 0.0 if attempt < MAX_ATTEMPTS else None
