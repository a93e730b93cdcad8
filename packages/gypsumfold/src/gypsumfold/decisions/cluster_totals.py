"""Sums amounts per engine over all nodes.

Load pattern: many nodes in front of the same engines, each of which sees only
its own part of the load. Each node adds the amounts that the others last
reported until these expire.
"""

import math

# Smaller amounts count as zero: they are rounding errors of adding and
# subtracting.
MIN_AMOUNT = 1e-9


class ClusterTotals:
    """Amounts by key (an engine or a service): this node's and the others'.

    >>> totals = ClusterTotals()
    >>> totals.add("engine-1", 0.3)
    >>> totals.set_remote("edge-2", {"engine-1": 0.2}, until=3.0)
    >>> totals.total("engine-1", now=1.0)
    0.5
    """

    def __init__(self):
        self.own: dict[str, float] = {}
        self.others: dict[str, tuple[dict[str, float], float]] = {}
        # Sum over the other nodes, so that a lookup costs the same for any
        # number of nodes.
        self.remote_totals: dict[str, float] = {}
        self.next_expiry = math.inf

    def add(self, engine: str, amount: float) -> None:
        """Adds to this node's own amount."""
        self.own[engine] = self.own.get(engine, 0.0) + amount

    def remove(self, engine: str, amount: float) -> None:
        """Subtracts from this node's own amount."""
        left = self.own.get(engine, 0.0) - amount
        if left > MIN_AMOUNT:
            self.own[engine] = left
        else:
            self.own.pop(engine, None)

    def set_remote(
        self, node: str, amounts: dict[str, float], until: float
    ) -> None:
        """Replaces another node's amounts; they count until `until`."""
        self.drop_node(node)
        self.others[node] = (amounts, until)
        self.next_expiry = min(self.next_expiry, until)
        for engine, amount in amounts.items():
            self.remote_totals[engine] = (
                self.remote_totals.get(engine, 0.0) + amount
            )

    def total(self, engine: str, now: float) -> float:
        """Amount of all nodes at an engine."""
        if now >= self.next_expiry:
            self.expire(now)
        return self.own.get(engine, 0.0) + self.remote_totals.get(engine, 0.0)

    def remote(self, now: float) -> dict[str, float]:
        """Amounts of all other nodes, by engine."""
        if now >= self.next_expiry:
            self.expire(now)
        return self.remote_totals

    def clear_others(self) -> None:
        """Drops the amounts of all other nodes."""
        self.others.clear()
        self.remote_totals.clear()
        self.next_expiry = math.inf

    def expire(self, now: float) -> None:
        """Drops expired amounts."""
        for node, (_, until) in list(self.others.items()):
            if now >= until:
                self.drop_node(node)
        ends = [until for _, until in self.others.values()]
        self.next_expiry = min(ends, default=math.inf)

    def drop_node(self, node: str) -> None:
        """Drops another node's amounts."""
        amounts, _ = self.others.pop(node, ({}, 0.0))
        for engine, amount in amounts.items():
            left = self.remote_totals.get(engine, 0.0) - amount
            if left > MIN_AMOUNT:
                self.remote_totals[engine] = left
            else:
                self.remote_totals.pop(engine, None)

    def forget(self, engine: str) -> None:
        """Drops an engine that was removed."""
        self.own.pop(engine, None)
        self.remote_totals.pop(engine, None)
        for amounts, _ in self.others.values():
            amounts.pop(engine, None)
