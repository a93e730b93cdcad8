"""What all nodes together have at each engine.

Load pattern: many nodes before the same engines, none of which sees more
than its own part. Each node adds what the others told it last, as long as
that is fresh.
"""


class Shares:
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

    def add(self, engine: str, amount: float) -> None:
        """Adds to this node's own amount."""
        self.own[engine] = self.own.get(engine, 0.0) + amount

    def remove(self, engine: str, amount: float) -> None:
        """Takes from this node's own amount."""
        left = self.own.get(engine, 0.0) - amount
        if left > 1e-9:
            self.own[engine] = left
        else:
            self.own.pop(engine, None)

    def remote(
        self, node: str, amounts: dict[str, float], until: float
    ) -> None:
        """Replaces what another node has, until it no longer counts."""
        self.others[node] = (amounts, until)

    def total(self, engine: str, now: float) -> float:
        """What all nodes have at an engine."""
        found = self.own.get(engine, 0.0)
        for node, (amounts, until) in list(self.others.items()):
            if now >= until:
                del self.others[node]
                continue
            found += amounts.get(engine, 0.0)
        return found

    def forget(self, engine: str) -> None:
        """Drops an engine that is gone."""
        self.own.pop(engine, None)
        for amounts, _ in self.others.values():
            amounts.pop(engine, None)
