"""The work at engines that a node knows of: its own, and what others tell."""

from typing import NamedTuple

from gypsumfold.decisions import cluster_totals
from gypsumfold.decisions import load_deltas
from gypsumfold.decisions import prefix_routing as prefix_routing_module
from gypsumfold.gateway import directory as directory_module
from gypsumfold.gateway.peers import messages

# Seconds after which what a silent node said no longer counts.
EXPIRY_SECONDS = 3.0


class LoadDeltaEncoder(NamedTuple):
    """What is to be told of each sort of work."""

    prompts: load_deltas.DeltaEncoder
    streams: load_deltas.DeltaEncoder
    late: load_deltas.DeltaEncoder
    demand: load_deltas.DeltaEncoder

    def encode(self, loads: messages.EngineLoads) -> messages.LoadDelta:
        """What is new since the last time, and a part of the rest."""
        return messages.LoadDelta(
            self.prompts.encode(loads.prompts),
            self.streams.encode(loads.streams),
            self.late.encode(loads.late),
            self.demand.encode(loads.demand),
        )


class LoadDeltaDecoder(NamedTuple):
    """What one teller has told of each sort of work."""

    prompts: load_deltas.DeltaDecoder
    streams: load_deltas.DeltaDecoder
    late: load_deltas.DeltaDecoder
    demand: load_deltas.DeltaDecoder

    def receive(self, changed: messages.LoadDelta, now: float) -> None:
        """Takes in what the teller told."""
        self.prompts.receive(changed.prompts, now)
        self.streams.receive(changed.streams, now)
        self.late.receive(changed.late, now)
        self.demand.receive(changed.demand, now)

    def loads(self, now: float) -> messages.EngineLoads:
        """The amounts that still count."""
        return messages.EngineLoads(
            self.prompts.amounts(now),
            self.streams.amounts(now),
            self.late.amounts(now),
            self.demand.amounts(now),
        )


def new_encoder() -> LoadDeltaEncoder:
    """Makes one that has told nothing."""
    return LoadDeltaEncoder(
        load_deltas.DeltaEncoder(),
        load_deltas.DeltaEncoder(),
        load_deltas.DeltaEncoder(),
        load_deltas.DeltaEncoder(),
    )


def new_decoder() -> LoadDeltaDecoder:
    """Makes one that has heard nothing."""
    return LoadDeltaDecoder(
        load_deltas.DeltaDecoder(),
        load_deltas.DeltaDecoder(),
        load_deltas.DeltaDecoder(),
        load_deltas.DeltaDecoder(),
    )


class Loads:
    """This node's work at engines and what it is told of the others'.

    >>> loads = Loads(homes, directory)
    >>> loads.own(now=0.0)
    Amounts(...)
    """

    def __init__(
        self,
        homes: prefix_routing_module.PrefixRouter,
        directory: directory_module.Directory,
    ):
        self.homes = homes
        self.directory = directory

    def totals_by_kind(self) -> tuple[cluster_totals.ClusterTotals, ...]:
        """The sums of each sort of work, in the order of `Amounts`."""
        return (
            self.homes.waiting,
            self.directory.streams,
            self.homes.late,
            self.homes.demand.node_totals,
        )

    def own(self, now: float) -> messages.EngineLoads:
        """What this node itself has."""
        return messages.EngineLoads(
            rounded(self.homes.waiting.own),
            rounded(self.directory.streams.own),
            rounded(self.homes.late.own),
            rounded(self.homes.demand.own(now)),
        )

    def site_totals(self, now: float) -> messages.EngineLoads:
        """What all nodes have."""
        demand = self.homes.demand.node_totals.totals(now)
        for service, engines in self.homes.demand.own(now).items():
            demand[service] = demand.get(service, 0.0) + engines
        return messages.EngineLoads(
            self.homes.waiting.totals(now),
            self.directory.streams.totals(now),
            self.homes.late.totals(now),
            demand,
        )

    def set_remote(
        self, source: str, loads: messages.EngineLoads, until: float
    ) -> None:
        """Replaces what a source said, until it no longer counts."""
        self.homes.waiting.set_remote(source, loads.prompts, until)
        self.directory.streams.set_remote(source, loads.streams, until)
        self.homes.late.set_remote(source, loads.late, until)
        self.homes.demand.set_remote(source, loads.demand, until)

    def drop(self, source: str) -> None:
        """Drops what a source said."""
        for known in self.totals_by_kind():
            known.drop_node(source)

    def clear_remote(self) -> None:
        """Drops what all others said."""
        for known in self.totals_by_kind():
            known.clear_others()


def total(parts: list[messages.EngineLoads]) -> messages.EngineLoads:
    """Adds up the work of some nodes."""
    found = messages.EngineLoads({}, {}, {}, {})
    for part in parts:
        add_to(found.prompts, part.prompts)
        add_to(found.streams, part.streams)
        add_to(found.late, part.late)
        add_to(found.demand, part.demand)
    return found


def add_to(total: dict[str, float], part: dict[str, float]) -> None:
    """Adds amounts to a total."""
    for key, amount in part.items():
        total[key] = total.get(key, 0.0) + amount


def subtract(
    loads: messages.EngineLoads, own: messages.EngineLoads
) -> messages.EngineLoads:
    """What is left of sums without a node's own part of them."""
    return messages.EngineLoads(
        load_deltas.subtract(loads.prompts, own.prompts),
        load_deltas.subtract(loads.streams, own.streams),
        load_deltas.subtract(loads.late, own.late),
        load_deltas.subtract(loads.demand, own.demand),
    )


def rounded(amounts: dict[str, float]) -> dict[str, float]:
    """Shortens amounts for the wire."""
    return {engine: round(amount, 4) for engine, amount in amounts.items()}
