"""Measures the demand of callers at one node, served or not.

Load pattern: callers that move from node to node, or that all use one node.
Nodes exchange their demand so that each takes its share of the free slots;
without this six nodes would fill the same free slot six times.
"""

import math

from gypsumfold.decisions import types

# Time constant of the measured demand: a few digests of half a second, so that
# shares follow a caller who moves to another node.
MEMORY_SECONDS = 2.0
# A node's share is at least this fraction of an equal one, so that a node
# without demand so far can start.
MIN_EQUAL_SHARE = 0.5


class DemandMeter:
    """Measures the demand at one node.

    >>> meter = DemandMeter()
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
        """Decays older demand exponentially over about `MEMORY_SECONDS`."""
        factor = math.exp(-max(0.0, now - self.updated) / MEMORY_SECONDS)
        self.prompt *= factor
        self.output *= factor
        self.updated = now

    def read(self, waiting: int, now: float) -> types.Demand:
        """Returns the demand in tokens a second."""
        self.decay(now)
        return types.Demand(self.prompt, self.output, waiting)


def share(own: types.Demand, others: list[types.Demand]) -> float:
    """Returns this node's share of the total demand, above 0 up to 1."""
    total = own.tokens + sum(other.tokens for other in others)
    equal = 1.0 / (1 + len(others))
    part = own.tokens / total if total > 0 else equal
    return max(part, equal * MIN_EQUAL_SHARE)
