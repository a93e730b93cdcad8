"""Estimates how long the current mix of prompt and output tokens will last.

Load pattern: a mix that shifts within minutes. A role change pays off only if
the mix lasts for longer than the change costs, so the planner must know how
long mixes have lasted so far.
"""

import math

from gypsumfold.decisions import types

# Expected duration of a mix before any shift was seen: the shortest reading of
# the requirement "within minutes".
INITIAL_SECONDS = 60.0
# Weight of the last duration; about the last three count.
SMOOTHING = 0.3
# Factor by which the ratio of prompt to output tokens must differ from the one
# at the start of the mix to count as a shift.
SHIFT_FACTOR = 2.0


class MixDuration:
    """Tracks shifts of the ratio of prompt to output tokens.

    Attributes:
        started_at: When the current mix started.
        average_seconds: How long a mix lasts on average.
        previous_demand: The demand in the previous mix; None before the first
            shift.

    >>> duration = MixDuration(now=0.0)
    >>> duration.observe(types.Demand(4000.0, 100.0, 0), now=1.0)
    >>> duration.average_seconds
    60.0
    """

    def __init__(self, now: float):
        self.started_at = now
        self.average_seconds = INITIAL_SECONDS
        self.ratio: float | None = None
        self.shift_count = 0
        self.previous_demand: types.Demand | None = None
        self.current_demand: types.Demand | None = None

    def observe(self, demand: types.Demand, now: float) -> None:
        """Records the current demand."""
        if demand.prompt_tokens <= 0 or demand.output_tokens <= 0:
            return
        ratio = math.log(demand.prompt_tokens / demand.output_tokens)
        if self.ratio is None:
            self.ratio = ratio
            return
        if abs(ratio - self.ratio) < math.log(SHIFT_FACTOR):
            self.current_demand = demand
            return
        self.previous_demand = self.current_demand
        lasted = now - self.started_at
        if self.shift_count:
            self.average_seconds += SMOOTHING * (lasted - self.average_seconds)
        self.shift_count += 1
        self.ratio = ratio
        self.started_at = now

    def remaining_seconds(self, now: float) -> float:
        """Returns how many more seconds the current mix is expected to last.

        This is what is left of the average duration; a mix that outlasts the
        average is expected to last half as long again as it has so far.
        """
        lasted = now - self.started_at
        return max(self.average_seconds - lasted, lasted / 2)
