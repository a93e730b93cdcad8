"""How long the present mix of prompt and output tokens will stay.

Load pattern: a mix that swings within minutes. A role change pays only if
the mix stays for longer than the change costs, so the planner must know how
long mixes have stayed until now.
"""

import math

from gypsumfold.decisions import types

# Seconds that a mix is expected to stay before any swing was seen: "within
# minutes" in the users' words, taken at its shortest.
INITIAL_SECONDS = 60.0
# Weight of the last stay; about the last three count.
SMOOTHING = 0.3
# Factor by which the ratio of prompt to output tokens must move away from
# where the present stay began before that counts as a swing.
SHIFT_FACTOR = 2.0


class MixDuration:
    """Follows the ratio of prompt to output tokens.

    Attributes:
        began: When the present stay began.
        stay: Seconds that a stay lasts on average.
        before: The demand in the stay before; None before the first swing.

    >>> swings = Swings(now=0.0)
    >>> swings.note(types.Demand(4000.0, 100.0, 0), now=1.0)
    >>> swings.stay
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
        """Takes the present demand in."""
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
        """Seconds that the present mix will stay from now on.

        What is left of the average stay; a stay that outlasts the average
        is expected to go on for half as long as it has lasted.
        """
        lasted = now - self.started_at
        return max(self.average_seconds - lasted, lasted / 2)
