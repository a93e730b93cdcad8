"""Estimates engines' prefill rates and recent waits.

Load pattern: engines whose speed isn't declared, and queues that load reports
show too late. Without the estimate a prompt is sent to a queue that already
holds more work than its objective allows.
"""

import math
from typing import NamedTuple

# Prefill rate assumed before the first prompt, in tokens per second: two
# accelerators with a large mixture-of-experts model.
INITIAL_RATE = 40_000.0
# Fixed part of a prompt's prefill time, in addition to its tokens: joining the
# batch, the first step and the round trip.
PROMPT_OVERHEAD_SECONDS = 0.03
# Fixed engine time per prompt, in addition to its tokens: a busy engine
# prefills several short prompts in one step of 4 to 7 ms and takes the next
# ones while a response is under way. A higher value refuses callers for a queue
# of short prompts that takes a few steps.
ENGINE_OVERHEAD_SECONDS = 0.002
# Fraction of observations that should be faster than the estimate: only prompts
# that didn't wait show the engine's speed.
FAST_FRACTION = 0.25
# Relative change of the rate estimate per observation; 20 observations change
# it by a third.
RATE_STEP_FRACTION = 0.03
# Observations from which an engine's own rate counts. With dozens of nodes, one
# of them sends an engine a prompt every few seconds; the rate of all engines
# together is learned sooner.
MIN_OBSERVATIONS = 20
# Shorter prompts say little about the rate: their tokens take less time than
# the fixed overhead.
MIN_TOKENS = 1500
# Half-life of an observed wait: the queue of an engine that prefills 40,000
# tokens per second turns over in less.
WAIT_HALF_LIFE_SECONDS = 0.6
# Weight of one observed wait.
WAIT_SMOOTHING = 0.5
# Fixed time to copy cached blocks, in addition to the transfer of their bytes.
COPY_OVERHEAD_SECONDS = 0.008


class ObservedWait(NamedTuple):
    """Smoothed seconds that prompts waited, and when it was last updated."""

    seconds: float
    at: float


class PrefillEstimator:
    """Prefill rate and waits of one engine.

    >>> estimator = PrefillEstimator()
    >>> round(estimator.prefill_seconds(4000), 2)
    0.13
    """

    def __init__(self):
        self.rate = INITIAL_RATE
        self.observations = 0
        self.waits: dict[int, ObservedWait] = {}

    def prefill_seconds(self, tokens: int) -> float:
        """Seconds to prefill this many tokens on an idle engine."""
        return PROMPT_OVERHEAD_SECONDS + tokens / self.rate

    def busy_seconds(self, tokens: int) -> float:
        """Seconds for which prefilling this many tokens delays others."""
        return ENGINE_OVERHEAD_SECONDS + tokens / self.rate

    def observe(
        self,
        tokens: int,
        expected: float,
        seconds: float,
        now: float,
        urgency: int = 0,
    ) -> None:
        """Updates the estimates from a completed prefill.

        Args:
            tokens: Tokens that the engine had to prefill.
            expected: Expected seconds to prefill them.
            seconds: Seconds from sending the prompt to its end.
            now: Current time.
            urgency: Urgency of its route; urgent prompts wait less.
        """
        excess = max(0.0, seconds - expected)
        seen = self.recent_wait(now, urgency)
        wait = (1 - WAIT_SMOOTHING) * seen + WAIT_SMOOTHING * excess
        self.waits[urgency] = ObservedWait(wait, now)
        if tokens < MIN_TOKENS or seconds <= PROMPT_OVERHEAD_SECONDS:
            return
        self.observations += 1
        rate = tokens / (seconds - PROMPT_OVERHEAD_SECONDS)
        if rate > self.rate:
            self.rate *= 1 + RATE_STEP_FRACTION * (1 - FAST_FRACTION)
        else:
            self.rate *= 1 - RATE_STEP_FRACTION * FAST_FRACTION

    def start_from(self, usual: "PrefillEstimator") -> None:
        """Takes over another rate until this engine's own one is known."""
        if self.observations < MIN_OBSERVATIONS:
            self.rate = usual.rate

    def recent_wait(self, now: float, urgency: int = 0) -> float:
        """Observed wait of prompts of one urgency, decayed by its age."""
        wait = self.waits.get(urgency)
        if wait is None:
            return 0.0
        age = max(0.0, now - wait.at)
        return wait.seconds * math.pow(0.5, age / WAIT_HALF_LIFE_SECONDS)
