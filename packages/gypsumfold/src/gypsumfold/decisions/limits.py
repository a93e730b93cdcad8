"""How much work one replica may hold, by the urgency of the work.

Load pattern: more work than the engines can run, long jobs among short
ones. Without limits the work queues inside the engines, where it can no
longer be refused, reordered or sent elsewhere, and urgent work waits behind
it; without headroom a batch full of long answers makes it wait for one of
them to end. Six nodes that each see the same free slots in the same report
would fill them six times over, so each takes its share of them by demand.
"""

import math
import random
from typing import NamedTuple
from typing import Protocol

from gypsumfold.decisions import loads
from gypsumfold.decisions import types

# Sequences sent ahead of a full batch, so that a slot that falls free is
# filled without waiting for a round trip and the next report.
SLOTS_AHEAD = 1
# Share of a replica kept for urgency 0. One slot of a batch of eight: six
# engines then hold six slots, against urgent work of a tenth of all.
HEADROOM_FRACTION = 0.125
# Share of a replica up to which long jobs may fill it while short ones come
# too; half leaves every short job a slot that turns over quickly.
LONG_FRACTION = 0.5
# Share of the KV cache above which an engine would preempt sequences;
# vLLM's default watermark leaves 1 % and a sequence grows while it runs.
KV_FULL_FRACTION = 0.95
# Seconds of prompts that may wait inside an engine for its next steps; beyond
# the report's age and a step or two, more only makes later urgent work wait.
PREFILL_AHEAD_SECONDS = 0.6
# Own dispatches to a replica whose report is missing or stale: enough to
# notice that it works, too few to flood it.
UNKNOWN_LIMIT = 2
# Plain services report no batch: start here and adapt (AIMD; Jacobson 1988).
INITIAL_LIMIT = 8.0
MIN_LIMIT = 1.0
MAX_LIMIT = 1024.0
DECREASE_FACTOR = 0.9
# A plain call that takes this many times the usual fast one says that calls
# queue at the service; below it is noise.
SLOW_FACTOR = 2.0
# Each sample moves the fast time up by this share, so that a service that
# has become slower for good is not held down for ever.
FAST_DRIFT_FRACTION = 0.01


class PlainLimit(NamedTuple):
    """What was learnt of a replica of a plain service.

    Attributes:
        limit: Own calls it may hold.
        fast: Seconds of a call that does not queue.
    """

    limit: float
    fast_seconds: float


class Limits(Protocol):
    """Says whether one replica may take one more request."""

    def capacity(self, replica: types.Replica, load: loads.Load) -> int:
        """Requests that it may hold at once, of the most urgent kind."""

    def has_capacity(
        self,
        replica: types.Replica,
        load: loads.Load,
        urgency: int,
        long: bool,
    ) -> bool:
        """Whether it may take one more.

        Args:
            replica: The replica.
            load: What is believed of it.
            urgency: That the request is served with.
            long: Whether it is a long one that must leave room for short
                ones.
        """

    def set_node_share(self, share: float) -> None:
        """Sets this node's share of what all nodes send, above 0 to 1."""

    def observe(
        self, entry: loads.InFlightRequest, result: types.Result, own: int
    ) -> None:
        """Learns from the end of a dispatch.

        Args:
            entry: The dispatch.
            result: Its end.
            own: Own dispatches at the replica before it ended.
        """


class AdaptiveLimits:
    """The batch of an engine; an adaptive limit for a plain service.

    >>> limits = AdaptiveLimits(random.Random(1))
    >>> limits.room(replica, load, urgency=0, long=False)
    True
    """

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.node_share = 1.0
        self.plain_limits: dict[str, PlainLimit] = {}
        self.draws: dict[str, tuple[float, float]] = {}

    def set_node_share(self, share: float) -> None:
        """Sets this node's share of what all nodes send, above 0 to 1."""
        self.node_share = share

    def capacity(self, replica: types.Replica, load: loads.Load) -> int:
        """Requests that it may hold at once, of the most urgent kind."""
        report = replica.report
        if report is None or report.batch <= 0:
            learnt = self.plain_limits.get(replica.name)
            return int(learnt.limit if learnt else INITIAL_LIMIT)
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
        """Whether it may take one more."""
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

        It has worked on them since the report was taken; of what it can
        take by now this node sends its share.
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

        A share of less than a slot becomes one at random, once for each
        report, so that the nodes' shares add up to what is free.
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
        """Learns from the end of a dispatch."""
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
    """The baseline: a replica may always take one more."""

    def capacity(self, replica: types.Replica, load: loads.Load) -> int:
        """More than anything here sends."""
        return int(MAX_LIMIT)

    def has_capacity(
        self,
        replica: types.Replica,
        load: loads.Load,
        urgency: int,
        long: bool,
    ) -> bool:
        """Always."""
        return True

    def set_node_share(self, share: float) -> None:
        """Changes nothing."""

    def observe(
        self, entry: loads.InFlightRequest, result: types.Result, own: int
    ) -> None:
        """Learns nothing."""
