"""How many engines the prompts that come would keep busy, served or not.

Load pattern: a burst in which most prompts are refused because the engines
that read are too few. What is refused never waits, so the queue shows fewer
engines to be missing the more of them are; counted as they come, prompts show
the lack.
"""

import math

from gypsumfold.decisions import cluster_totals

# Seconds over which arrivals are remembered: longer than the gap between two
# large prompts, shorter than a change of role takes.
MEMORY_SECONDS = 1.5
# Engines below which a rate is taken for none, so that idle services cost
# nothing in messages between nodes.
MIN_ENGINES = 0.001


class WorkRate:
    """An exponentially smoothed sum of seconds by second."""

    def __init__(self):
        self.value = 0.0
        self.updated = 0.0

    def add(self, seconds: float, now: float) -> None:
        """Counts seconds of work that came."""
        self.value = self.read(now) + seconds / MEMORY_SECONDS
        self.updated = now

    def read(self, now: float) -> float:
        """Seconds of work a second, which is engines kept busy."""
        passed = max(0.0, now - self.updated)
        return self.value * math.exp(-passed / MEMORY_SECONDS)


class PrefillDemand:
    """What comes to all nodes for each service.

    >>> demand = Demand()
    >>> demand.add("captions", 0.3, now=0.0)
    >>> round(demand.total("captions", now=0.0), 3)
    0.2
    """

    def __init__(self):
        self.rates: dict[str, WorkRate] = {}
        self.node_totals = cluster_totals.ClusterTotals()

    def add(self, service: str, seconds: float, now: float) -> None:
        """Counts a prompt that came to this node.

        Args:
            service: The service asked for.
            seconds: For which it would keep an engine busy.
            now: The time.
        """
        self.rates.setdefault(service, WorkRate()).add(seconds, now)

    def own(self, now: float) -> dict[str, float]:
        """Engines kept busy by what comes to this node, by service."""
        found = {}
        for service, rate in self.rates.items():
            engines = rate.read(now)
            if engines > MIN_ENGINES:
                found[service] = engines
        return found

    def set_remote(
        self, node: str, engines: dict[str, float], until: float
    ) -> None:
        """Replaces what comes to another node, until it no longer counts."""
        self.node_totals.set_remote(node, engines, until)

    def total(self, service: str, now: float) -> float:
        """Engines kept busy by what comes to all nodes for a service."""
        own = self.own(now).get(service, 0.0)
        return own + self.node_totals.total(service, now)
