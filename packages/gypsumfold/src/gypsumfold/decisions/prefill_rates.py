"""How fast engines read prompts, and how long a prompt waits there.

Load pattern: engines whose speed nobody declares, and queues that no report
shows in time. Without the estimate a prompt is sent to a queue that already
holds more than its objective.
"""

import math
from typing import NamedTuple

# Prompt tokens a second that an engine is taken to read before any prompt
# was seen: two accelerators with a large mixture-of-experts model.
INITIAL_RATE = 40_000.0
# Seconds that reading any prompt takes beside its tokens, as taken at first:
# connecting the batch, the first step, the way there and back.
PROMPT_OVERHEAD_SECONDS = 0.03
# Seconds of an engine's time that reading a prompt takes beside its tokens: a
# busy engine reads several short prompts in one step of 4 to 7 ms, and takes
# the next ones while an answer is on its way. Taken for 30 ms each, 27 prompts
# of 290 tokens that waited counted as 1 s, and callers with 2 s left were
# refused.
ENGINE_OVERHEAD_SECONDS = 0.002
# Share of the observations that are to be faster than the estimate: a prompt
# that waited says nothing of the engine's speed, one that did not does.
FAST_FRACTION = 0.25
# Relative step of the rate estimate per observation; 20 observations move it
# by a third.
RATE_STEP_FRACTION = 0.03
# Tokens below which a prompt says little about the rate: their reading takes
# less than the overhead.
MIN_TOKENS = 1500
# Seconds after which half of a wait that was seen is forgotten: the queue of
# an engine that reads 40,000 tokens a second turns over in less.
WAIT_HALF_LIFE_SECONDS = 0.6
# Weight of one observed wait.
WAIT_SMOOTHING = 0.5


class ObservedWait(NamedTuple):
    """Seconds that prompts waited, and when that was seen last."""

    seconds: float
    at: float


class PrefillEstimator:
    """What one engine's prompts took.

    >>> pace = Pace()
    >>> round(pace.expected(4000), 2)
    0.13
    """

    def __init__(self):
        self.rate = INITIAL_RATE
        self.waits: dict[int, ObservedWait] = {}

    def prefill_seconds(self, tokens: int) -> float:
        """Seconds to read so many tokens on an idle engine."""
        return PROMPT_OVERHEAD_SECONDS + tokens / self.rate

    def busy_seconds(self, tokens: int) -> float:
        """Seconds for which reading so many tokens keeps others waiting."""
        return ENGINE_OVERHEAD_SECONDS + tokens / self.rate

    def observe(
        self,
        tokens: int,
        expected: float,
        seconds: float,
        now: float,
        urgency: int = 0,
    ) -> None:
        """Learns from a prompt that was read.

        Args:
            tokens: Those that the engine had to read.
            expected: Seconds that reading them was to take.
            seconds: From sending it to its end.
            now: The time.
            urgency: Of its route: the urgent wait for less.
        """
        excess = max(0.0, seconds - expected)
        seen = self.recent_wait(now, urgency)
        wait = (1 - WAIT_SMOOTHING) * seen + WAIT_SMOOTHING * excess
        self.waits[urgency] = ObservedWait(wait, now)
        if tokens < MIN_TOKENS or seconds <= PROMPT_OVERHEAD_SECONDS:
            return
        rate = tokens / (seconds - PROMPT_OVERHEAD_SECONDS)
        if rate > self.rate:
            self.rate *= 1 + RATE_STEP_FRACTION * (1 - FAST_FRACTION)
        else:
            self.rate *= 1 - RATE_STEP_FRACTION * FAST_FRACTION

    def recent_wait(self, now: float, urgency: int = 0) -> float:
        """The waits that prompts of one urgency had, with age."""
        wait = self.waits.get(urgency)
        if wait is None:
            return 0.0
        age = max(0.0, now - wait.at)
        return wait.seconds * math.pow(0.5, age / WAIT_HALF_LIFE_SECONDS)
