"""Estimates the number of engines that arriving prompts would keep busy.

Load pattern: a burst in which most prompts are refused because there are too
few prefill engines. Refused prompts never wait, so the more engines are
missing, the less the queue shows it. Prompts are therefore counted on arrival,
whether they are served or not.
"""

import math

from gypsumfold.decisions import cluster_totals

# Time constant of the arrival rate: longer than the gap between two large
# prompts, shorter than a role change.
MEMORY_SECONDS = 1.5
# Rates below this count as zero, so that idle services take no space in
# messages between nodes.
MIN_ENGINES = 0.001


class WorkRate:
    """Exponentially smoothed rate of work, in seconds per second."""

    def __init__(self):
        self.value = 0.0
        self.updated = 0.0

    def add(self, seconds: float, now: float) -> None:
        """Counts seconds of work that arrived."""
        self.value = self.read(now) + seconds / MEMORY_SECONDS
        self.updated = now

    def read(self, now: float) -> float:
        """Seconds of work per second: the number of engines kept busy."""
        passed = max(0.0, now - self.updated)
        return self.value * math.exp(-passed / MEMORY_SECONDS)


class PrefillDemand:
    """Prefill demand per service, over all nodes.

    >>> demand = PrefillDemand()
    >>> demand.add("captions", 0.3, now=0.0)
    >>> round(demand.total("captions", now=0.0), 3)
    0.2
    """

    def __init__(self):
        self.rates: dict[str, WorkRate] = {}
        self.node_totals = cluster_totals.ClusterTotals()

    def add(self, service: str, seconds: float, now: float) -> None:
        """Counts a prompt that arrived at this node.

        Args:
            service: The requested service.
            seconds: Seconds for which it would keep an engine busy.
            now: Current time.
        """
        self.rates.setdefault(service, WorkRate()).add(seconds, now)

    def own(self, now: float) -> dict[str, float]:
        """Engines kept busy by this node's arrivals, by service."""
        found = {}
        for service, rate in self.rates.items():
            engines = rate.read(now)
            if engines > MIN_ENGINES:
                found[service] = engines
        return found

    def set_remote(
        self, node: str, engines: dict[str, float], until: float
    ) -> None:
        """Replaces another node's demand; it counts until `until`."""
        self.node_totals.set_remote(node, engines, until)

    def total(self, service: str, now: float) -> float:
        """Engines kept busy by all nodes' arrivals for a service."""
        own = self.own(now).get(service, 0.0)
        return own + self.node_totals.total(service, now)
