"""The work at engines that a node knows of: its own and that of others."""

from typing import NamedTuple

from gypsumfold.decisions import cluster_totals
from gypsumfold.decisions import load_deltas
from gypsumfold.decisions import prefix_routing as prefix_routing_module
from gypsumfold.gateway import directory as directory_module
from gypsumfold.gateway.peers import messages

# Seconds after which the loads reported by a silent node no longer count.
EXPIRY_SECONDS = 3.0


class LoadDeltaEncoder(NamedTuple):
    """Delta encoders, one for each kind of work."""

    prompts: load_deltas.DeltaEncoder
    streams: load_deltas.DeltaEncoder
    late: load_deltas.DeltaEncoder
    demand: load_deltas.DeltaEncoder

    def encode(self, loads: messages.EngineLoads) -> messages.LoadDelta:
        """Encodes what changed since the last call, and a part of the rest."""
        return messages.LoadDelta(
            self.prompts.encode(loads.prompts),
            self.streams.encode(loads.streams),
            self.late.encode(loads.late),
            self.demand.encode(loads.demand),
        )


class LoadDeltaDecoder(NamedTuple):
    """Delta decoders for one sender, one for each kind of work."""

    prompts: load_deltas.DeltaDecoder
    streams: load_deltas.DeltaDecoder
    late: load_deltas.DeltaDecoder
    demand: load_deltas.DeltaDecoder

    def receive(self, changed: messages.LoadDelta, now: float) -> None:
        """Applies a delta received from the sender."""
        self.prompts.receive(changed.prompts, now)
        self.streams.receive(changed.streams, now)
        self.late.receive(changed.late, now)
        self.demand.receive(changed.demand, now)

    def loads(self, now: float) -> messages.EngineLoads:
        """Returns the loads that have not expired."""
        return messages.EngineLoads(
            self.prompts.amounts(now),
            self.streams.amounts(now),
            self.late.amounts(now),
            self.demand.amounts(now),
        )


def new_encoder() -> LoadDeltaEncoder:
    """Creates an encoder that has sent nothing yet."""
    return LoadDeltaEncoder(
        load_deltas.DeltaEncoder(),
        load_deltas.DeltaEncoder(),
        load_deltas.DeltaEncoder(),
        load_deltas.DeltaEncoder(),
    )


def new_decoder() -> LoadDeltaDecoder:
    """Creates a decoder that has received nothing yet."""
    return LoadDeltaDecoder(
        load_deltas.DeltaDecoder(),
        load_deltas.DeltaDecoder(),
        load_deltas.DeltaDecoder(),
        load_deltas.DeltaDecoder(),
    )


class Loads:
    """This node's work at engines and the work that others report.

    >>> loads = Loads(prefix_router, directory)
    >>> loads.own(now=0.0)
    EngineLoads(...)
    """

    def __init__(
        self,
        prefix_router: prefix_routing_module.PrefixRouter,
        directory: directory_module.Directory,
    ):
        self.prefix_router = prefix_router
        self.directory = directory

    def totals_by_kind(self) -> tuple[cluster_totals.ClusterTotals, ...]:
        """The totals of each kind of work, in the order of `EngineLoads`."""
        return (
            self.prefix_router.waiting,
            self.directory.streams,
            self.prefix_router.late,
            self.prefix_router.demand.node_totals,
        )

    def own(self, now: float) -> messages.EngineLoads:
        """Returns the work of this node alone."""
        return messages.EngineLoads(
            rounded(self.prefix_router.waiting.own),
            rounded(self.directory.streams.own),
            rounded(self.prefix_router.late.own),
            rounded(self.prefix_router.demand.own(now)),
        )

    def site_totals(self, now: float) -> messages.EngineLoads:
        """Returns the work of all nodes of the site."""
        demand = self.prefix_router.demand.node_totals.totals(now)
        for service, engines in self.prefix_router.demand.own(now).items():
            demand[service] = demand.get(service, 0.0) + engines
        return messages.EngineLoads(
            self.prefix_router.waiting.totals(now),
            self.directory.streams.totals(now),
            self.prefix_router.late.totals(now),
            demand,
        )

    def set_remote(
        self, source: str, loads: messages.EngineLoads, until: float
    ) -> None:
        """Replaces the loads reported by a source, valid until a time."""
        self.prefix_router.waiting.set_remote(source, loads.prompts, until)
        self.directory.streams.set_remote(source, loads.streams, until)
        self.prefix_router.late.set_remote(source, loads.late, until)
        self.prefix_router.demand.set_remote(source, loads.demand, until)

    def drop(self, source: str) -> None:
        """Drops the loads reported by a source."""
        for known in self.totals_by_kind():
            known.drop_node(source)

    def clear_remote(self) -> None:
        """Drops the loads reported by all other nodes."""
        for known in self.totals_by_kind():
            known.clear_others()


def total(parts: list[messages.EngineLoads]) -> messages.EngineLoads:
    """Adds up the loads of some nodes."""
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
    """Subtracts a node's own loads from totals."""
    return messages.EngineLoads(
        load_deltas.subtract(loads.prompts, own.prompts),
        load_deltas.subtract(loads.streams, own.streams),
        load_deltas.subtract(loads.late, own.late),
        load_deltas.subtract(loads.demand, own.demand),
    )


def rounded(amounts: dict[str, float]) -> dict[str, float]:
    """Rounds amounts so that they take fewer bytes on the wire."""
    return {engine: round(amount, 4) for engine, amount in amounts.items()}
