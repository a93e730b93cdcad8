"""What callers ask of one node, served or not.

Load pattern: callers that move from node to node, or come through one. The
nodes tell each other, so that each takes its part of the free slots; without
it six nodes would fill the same free slot six times.
"""

import math

from gypsumfold.decisions import types

# Seconds over which demand is remembered: a few digests of half a second, so
# that shares follow a caller who moves to another node.
MEMORY_SECONDS = 2.0
# A node's share is at least this part of an equal one: a node without demand
# until now must be able to start.
MIN_EQUAL_SHARE = 0.5


class DemandMeter:
    """Measures the demand at one node.

    >>> meter = Meter()
    >>> meter.add(prompt=400, output=50.0, now=0.0)
    >>> meter.read(waiting=0, now=0.0).tokens
    225.0
    """

    def __init__(self):
        self.prompt = 0.0
        self.output = 0.0
        self.updated = 0.0

    def add(self, prompt: float, output: float, now: float) -> None:
        """Counts one request."""
        self.decay(now)
        self.prompt += prompt / MEMORY_SECONDS
        self.output += output / MEMORY_SECONDS

    def decay(self, now: float) -> None:
        """Forgets what lies more than about `MEMORY` seconds back."""
        factor = math.exp(-max(0.0, now - self.updated) / MEMORY_SECONDS)
        self.prompt *= factor
        self.output *= factor
        self.updated = now

    def read(self, waiting: int, now: float) -> types.Demand:
        """Tokens a second asked for."""
        self.decay(now)
        return types.Demand(self.prompt, self.output, waiting)


def share(own: types.Demand, others: list[types.Demand]) -> float:
    """This node's part of all that is asked for, above 0 up to 1."""
    total = own.tokens + sum(other.tokens for other in others)
    equal = 1.0 / (1 + len(others))
    part = own.tokens / total if total > 0 else equal
    return max(part, equal * MIN_EQUAL_SHARE)
