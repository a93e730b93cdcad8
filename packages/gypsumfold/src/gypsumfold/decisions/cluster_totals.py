"""What all nodes together have at each engine.

Load pattern: many nodes before the same engines, none of which sees more
than its own part. Each node adds what the others told it last, as long as
that is fresh.
"""

import math

# Amounts below which nothing is left: what adding and taking away leaves over.
MIN_AMOUNT = 1e-9


class ClusterTotals:
    """Amounts by engine, this node's own and those of the others.

    >>> shares = Shares()
    >>> shares.add("engine-1", 0.3)
    >>> shares.remote("edge-2", {"engine-1": 0.2}, until=3.0)
    >>> shares.total("engine-1", now=1.0)
    0.5
    """

    def __init__(self):
        self.own: dict[str, float] = {}
        self.others: dict[str, tuple[dict[str, float], float]] = {}
        # What the others have together, so that asking costs the same however
        # many nodes there are.
        self.remote_totals: dict[str, float] = {}
        self.next_expiry = math.inf

    def add(self, engine: str, amount: float) -> None:
        """Adds to this node's own amount."""
        self.own[engine] = self.own.get(engine, 0.0) + amount

    def remove(self, engine: str, amount: float) -> None:
        """Takes from this node's own amount."""
        left = self.own.get(engine, 0.0) - amount
        if left > MIN_AMOUNT:
            self.own[engine] = left
        else:
            self.own.pop(engine, None)

    def set_remote(
        self, node: str, amounts: dict[str, float], until: float
    ) -> None:
        """Replaces what another node has, until it no longer counts."""
        self.drop_node(node)
        self.others[node] = (amounts, until)
        self.next_expiry = min(self.next_expiry, until)
        for engine, amount in amounts.items():
            self.remote_totals[engine] = (
                self.remote_totals.get(engine, 0.0) + amount
            )

    def total(self, engine: str, now: float) -> float:
        """What all nodes have at an engine."""
        if now >= self.next_expiry:
            self.expire(now)
        return self.own.get(engine, 0.0) + self.remote_totals.get(engine, 0.0)

    def totals(self, now: float) -> dict[str, float]:
        """What all nodes have, by engine."""
        if now >= self.next_expiry:
            self.expire(now)
        found = dict(self.remote_totals)
        for engine, amount in self.own.items():
            found[engine] = found.get(engine, 0.0) + amount
        return found

    def clear_others(self) -> None:
        """Drops what all other nodes have."""
        self.others.clear()
        self.remote_totals.clear()
        self.next_expiry = math.inf

    def expire(self, now: float) -> None:
        """Drops what no longer counts."""
        for node, (_, until) in list(self.others.items()):
            if now >= until:
                self.drop_node(node)
        ends = [until for _, until in self.others.values()]
        self.next_expiry = min(ends, default=math.inf)

    def drop_node(self, node: str) -> None:
        """Drops what one node has."""
        amounts, _ = self.others.pop(node, ({}, 0.0))
        for engine, amount in amounts.items():
            left = self.remote_totals.get(engine, 0.0) - amount
            if left > MIN_AMOUNT:
                self.remote_totals[engine] = left
            else:
                self.remote_totals.pop(engine, None)

    def forget(self, engine: str) -> None:
        """Drops an engine that is gone."""
        self.own.pop(engine, None)
        self.remote_totals.pop(engine, None)
        for amounts, _ in self.others.values():
            amounts.pop(engine, None)
