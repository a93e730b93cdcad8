"""The work at engines that a node knows of: its own and that of others."""

from gypsumfold.decisions import cluster_totals
from gypsumfold.decisions import load_deltas
from gypsumfold.decisions import plain_loads
from gypsumfold.decisions import prefix_routing as prefix_routing_module
from gypsumfold.gateway import directory as directory_module
from gypsumfold.gateway.peers import messages

# Seconds after which the loads reported by a silent node no longer count.
EXPIRY_SECONDS = 3.0
# The same for the kinds that say which engines are slow at the moment: a spell
# may last 0.6 s, and the report of a node that was killed must not outlast it.
# Relays report each 0.1 s. A node of a mesh reports each change, and the times
# of calls that it last reported fade within 0.5 s if there is none.
SLOW_EXPIRY_SECONDS = 0.6
SLOW_KINDS = ("slow_taken", "slow_expected", "call_seconds")


class LoadDeltaEncoder:
    """Encodes each kind of work by itself."""

    def __init__(self):
        self.encoders = {
            kind: load_deltas.DeltaEncoder() for kind in messages.LOAD_KINDS
        }

    def encode(self, loads: messages.EngineLoads) -> messages.LoadDelta:
        """Encodes what changed since the last call, and a part of the rest."""
        found = messages.LoadDelta()
        for kind, encoder in self.encoders.items():
            setattr(found, kind, encoder.encode(getattr(loads, kind)))
        return found


class LoadDeltaDecoder:
    """Decodes each kind of work of one sender."""

    def __init__(self):
        self.decoders = {
            kind: load_deltas.DeltaDecoder() for kind in messages.LOAD_KINDS
        }

    def receive(self, changed: messages.LoadDelta, now: float) -> None:
        """Applies a delta received from the sender."""
        for kind, decoder in self.decoders.items():
            decoder.receive(getattr(changed, kind), now)

    def loads(self, now: float) -> messages.EngineLoads:
        """Returns the loads that have not expired."""
        found = messages.EngineLoads()
        for kind, decoder in self.decoders.items():
            setattr(found, kind, decoder.amounts(now))
        return found


class Loads:
    """This node's work at engines and the work that others report.

    Attributes:
        plain: Calls at the replicas of plain services.

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
        self.plain = plain_loads.PlainLoads()

    def totals_by_kind(self) -> dict[str, cluster_totals.ClusterTotals]:
        """The totals of each kind of work."""
        return {
            "prompts": self.prefix_router.waiting,
            "streams": self.directory.streams,
            "late": self.prefix_router.late,
            "demand": self.prefix_router.demand.node_totals,
            "failures": self.directory.failure_rates.failures,
            "answers": self.directory.failure_rates.answers,
            "calls": self.plain.calls,
            "call_seconds": self.plain.call_seconds,
            "slow_taken": self.prefix_router.slow_engines.taken,
            "slow_expected": self.prefix_router.slow_engines.expected,
        }

    def own(self, now: float) -> messages.EngineLoads:
        """Returns the work of this node alone."""
        failure_rates = self.directory.failure_rates
        slow_engines = self.prefix_router.slow_engines
        return messages.EngineLoads(
            rounded(self.prefix_router.waiting.own),
            rounded(self.directory.streams.own),
            rounded(self.prefix_router.late.own),
            rounded(self.prefix_router.demand.own(now)),
            rounded(failure_rates.own_failures_now(now)),
            {
                **rounded(failure_rates.own_answers_now(now)),
                **self.directory.second_copies.own(now),
            },
            rounded(self.plain.calls.own),
            rounded(self.plain.own_seconds(now)),
            rounded(slow_engines.own_taken_now(now)),
            rounded(slow_engines.own_expected_now(now)),
        )

    def site_totals(self, now: float) -> messages.EngineLoads:
        """Returns the work of all nodes of the site."""
        found = self.own(now)
        for kind, totals in self.totals_by_kind().items():
            amounts = getattr(found, kind)
            add_to(amounts, totals.remote(now))
        return found

    def set_remote(
        self, source: str, loads: messages.EngineLoads, until: float
    ) -> None:
        """Replaces the loads reported by a source, valid until a time."""
        for kind, totals in self.totals_by_kind().items():
            end = until
            if kind in SLOW_KINDS:
                end = until - EXPIRY_SECONDS + SLOW_EXPIRY_SECONDS
            totals.set_remote(source, getattr(loads, kind), end)

    def drop(self, source: str) -> None:
        """Drops the loads reported by a source."""
        for known in self.totals_by_kind().values():
            known.drop_node(source)

    def clear_remote(self) -> None:
        """Drops the loads reported by all other nodes."""
        for known in self.totals_by_kind().values():
            known.clear_others()


def total(parts: list[messages.EngineLoads]) -> messages.EngineLoads:
    """Adds up the loads of some nodes."""
    found = messages.EngineLoads()
    for part in parts:
        for kind in messages.LOAD_KINDS:
            add_to(getattr(found, kind), getattr(part, kind))
    return found


def add_to(total: dict[str, float], part: dict[str, float]) -> None:
    """Adds amounts to a total."""
    for key, amount in part.items():
        total[key] = total.get(key, 0.0) + amount


def subtract(
    loads: messages.EngineLoads, own: messages.EngineLoads
) -> messages.EngineLoads:
    """Subtracts a node's own loads from totals."""
    found = messages.EngineLoads()
    for kind in messages.LOAD_KINDS:
        left = load_deltas.subtract(getattr(loads, kind), getattr(own, kind))
        setattr(found, kind, left)
    return found


def rounded(amounts: dict[str, float]) -> dict[str, float]:
    """Rounds amounts so that they take fewer bytes on the wire."""
    return {engine: round(amount, 4) for engine, amount in amounts.items()}
