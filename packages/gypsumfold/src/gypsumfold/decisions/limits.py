"""Limits how many requests one replica may hold, by their urgency.

Load pattern: more requests than the engines can run, and long ones among short
ones. Without limits, requests queue inside the engines, where they can no
longer be refused, reordered or sent elsewhere, and urgent requests wait behind
them. Without headroom, urgent requests wait for a batch full of long answers.
Six nodes that see the same free slots in the same report would fill them six
times over, so each node takes a share of them by its demand.
"""

import math
import random
from typing import NamedTuple
from typing import Protocol

from gypsumfold.decisions import loads
from gypsumfold.decisions import types

# Sequences sent beyond a full batch, so that a free slot is filled without
# waiting for a round trip and the next report.
SLOTS_AHEAD = 1
# Fraction of a replica reserved for urgency 0: one slot of a batch of eight, so
# six of the 48 slots of six engines, where a tenth of the work is urgent.
HEADROOM_FRACTION = 0.125
# Fraction of a replica that long requests may fill while short ones arrive;
# half leaves short requests slots that turn over quickly.
LONG_FRACTION = 0.5
# Fraction of the KV cache from which an engine may preempt sequences: vLLM's
# default watermark leaves 1 %, and a sequence grows while it runs.
KV_FULL_FRACTION = 0.95
# Seconds of prompts that may wait inside an engine for its next steps: beyond
# the report's age and a step or two, more only delays later urgent requests.
PREFILL_AHEAD_SECONDS = 0.6
# Own dispatches to a replica whose report is missing or stale: enough to notice
# that it works, too few to overload it.
UNKNOWN_LIMIT = 2
# Plain services report no batch size: their limit starts here and adapts (AIMD;
# Jacobson 1988).
INITIAL_LIMIT = 8.0
MIN_LIMIT = 1.0
MAX_LIMIT = 1024.0
DECREASE_FACTOR = 0.9
# A plain call that takes this many times the fast time shows that calls queue
# at the service; smaller factors are noise.
SLOW_FACTOR = 2.0
# Each sample raises the fast time by this fraction, so that the limit of a
# service that has become slower for good can grow again.
FAST_DRIFT_FRACTION = 0.01


class PlainLimit(NamedTuple):
    """The adaptive limit of a replica of a plain service.

    Attributes:
        limit: Own calls it may hold.
        fast_seconds: Seconds of a call that does not queue.
    """

    limit: float
    fast_seconds: float


class Limits(Protocol):
    """Decides whether a replica may take one more request."""

    def capacity(self, replica: types.Replica, load: loads.Load) -> int:
        """Requests of the most urgent kind that it may hold at once."""

    def has_capacity(
        self,
        replica: types.Replica,
        load: loads.Load,
        urgency: int,
        long: bool,
    ) -> bool:
        """Whether a replica may take one more request.

        Args:
            replica: The replica.
            load: Its estimated load.
            urgency: The urgency that the request is served with.
            long: Whether it is a long request that must leave capacity for
                short ones.
        """

    def set_node_share(self, share: float) -> None:
        """Sets this node's share of all nodes' demand, in (0, 1]."""

    def observe(
        self, entry: loads.InFlightRequest, result: types.Result, own: int
    ) -> None:
        """Adapts the limit to the result of a dispatch.

        Args:
            entry: The dispatch.
            result: Its result.
            own: Own dispatches at the replica before it ended.
        """


class AdaptiveLimits:
    """The batch size of an engine; an adaptive limit for a plain service.

    >>> limits = AdaptiveLimits(random.Random(1))
    >>> limits.has_capacity(replica, load, urgency=0, long=False)
    True
    """

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.node_share = 1.0
        self.plain_limits: dict[str, PlainLimit] = {}
        self.draws: dict[str, tuple[float, float]] = {}

    def set_node_share(self, share: float) -> None:
        """Sets this node's share of all nodes' demand, in (0, 1]."""
        self.node_share = share

    def capacity(self, replica: types.Replica, load: loads.Load) -> int:
        """Requests of the most urgent kind that it may hold at once."""
        report = replica.report
        if report is None or report.batch <= 0:
            learned = self.plain_limits.get(replica.name)
            return int(learned.limit if learned else INITIAL_LIMIT)
        if not load.fresh:
            return UNKNOWN_LIMIT
        if report.kv_used >= KV_FULL_FRACTION:
            return 0
        return report.batch + SLOTS_AHEAD

    def has_capacity(
        self,
        replica: types.Replica,
        load: loads.Load,
        urgency: int,
        long: bool,
    ) -> bool:
        """Whether a replica may take one more request."""
        capacity = self.capacity(replica, load)
        plain = replica.report is None or replica.report.batch <= 0
        held = load.own if plain else load.occupied
        if held >= capacity:
            return False
        if urgency > 0 and capacity > 1:
            capacity -= math.ceil(capacity * HEADROOM_FRACTION)
        if long:
            capacity = max(1, int(capacity * LONG_FRACTION))
        if held >= capacity:
            return False
        if plain or not load.fresh:
            return True
        if urgency > 0 and not self.has_prefill_capacity(replica, load):
            return False
        return self.has_own_slot(replica, load, capacity)

    def has_prefill_capacity(
        self, replica: types.Replica, load: loads.Load
    ) -> bool:
        """Whether few enough prompts wait inside the engine.

        The engine has worked on them since the report was taken; this node
        uses its share of what the engine can take by now.
        """
        report = replica.report
        seconds = PREFILL_AHEAD_SECONDS + load.age
        free = seconds * report.prefill_rate - report.prefill_tokens
        unseen = load.prefill_tokens - report.prefill_tokens
        return unseen <= max(0.0, self.node_share * free) and free > 0

    def has_own_slot(
        self, replica: types.Replica, load: loads.Load, capacity: int
    ) -> bool:
        """Whether this node's share of the free slots has one left.

        A fractional slot is rounded at random, once per report, so that the
        nodes' shares add up to the free slots.
        """
        report = replica.report
        taken, draw = self.draws.get(replica.name, (-math.inf, 0.0))
        if taken != report.taken:
            draw = self.rng.random()
            self.draws[replica.name] = (report.taken, draw)
        free = max(0, capacity - report.running - report.waiting)
        return (
            load.unseen < math.floor(self.node_share * free + draw) + load.ended
        )

    def observe(
        self, entry: loads.InFlightRequest, result: types.Result, own: int
    ) -> None:
        """Adapts the limit of a plain service to the result of a dispatch."""
        if result.finish == types.Finish.CANCELLED:
            return
        old = self.plain_limits.get(
            entry.replica, PlainLimit(INITIAL_LIMIT, math.inf)
        )
        if result.finish != types.Finish.DONE:
            limit = max(MIN_LIMIT, old.limit * DECREASE_FACTOR)
            self.plain_limits[entry.replica] = PlainLimit(
                limit, old.fast_seconds
            )
            return
        fast = min(old.fast_seconds * (1 + FAST_DRIFT_FRACTION), result.seconds)
        limit = old.limit
        if result.seconds > SLOW_FACTOR * fast:
            limit = max(MIN_LIMIT, limit * DECREASE_FACTOR)
        elif own >= limit / 2:
            limit = min(MAX_LIMIT, limit + 1 / limit)
        self.plain_limits[entry.replica] = PlainLimit(limit, fast)


class NoLimits:
    """The baseline: a replica may always take one more request."""

    def capacity(self, replica: types.Replica, load: loads.Load) -> int:
        """A limit that is never reached."""
        return int(MAX_LIMIT)

    def has_capacity(
        self,
        replica: types.Replica,
        load: loads.Load,
        urgency: int,
        long: bool,
    ) -> bool:
        """Returns True."""
        return True

    def set_node_share(self, share: float) -> None:
        """Does nothing."""

    def observe(
        self, entry: loads.InFlightRequest, result: types.Result, own: int
    ) -> None:
        """Does nothing."""
