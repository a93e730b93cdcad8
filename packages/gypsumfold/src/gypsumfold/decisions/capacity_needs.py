"""Decides how many engines the callers of a model service need.

Load pattern: engines that are paid by the second, most of them idle, under a
mix that swings for 2.8 s inside a phase of 14 s. If the number of engines
followed the present load, it would fall in each pause of the mix, and what is
missing when the load returns would serve only 4 s later, with nothing cached.
If it stayed at the number of the start, most of the engines would be paid for
nothing. So the largest load of a recent period counts.

Engines have one of two roles, and each role has its own need. Prefill needs
time for what arrives, time for what waits, and room for the prefixes that
prompts share. Decode needs memory and slots for the running streams.
"""

import collections
import math
from typing import NamedTuple

from gypsumfold.decisions import spreads

# Engines of each role that a service has at least, so that one of each is left
# when another one is lost: a role change takes 3 s.
MIN_ENGINES_PER_ROLE = 2
# Fraction of an engine that running streams fill when they keep it busy, as
# the role split aims at.
STREAMS_FRACTION = 0.5
# Fraction of an engine's KV cache that shared prefixes may fill. The rest is
# for the last blocks of prompts, which nothing shares, and for prefixes that
# are cached twice or spread unevenly.
CACHE_FRACTION = 0.5
# Seconds within which the remaining engines prefill again what a lost data
# centre had cached; no replacement is available for as long.
REFILL_SECONDS = 10.0
# Least seconds within which waiting prompts are to be prefilled.
MIN_CLEARING_SECONDS = 1.0
# The total is reduced by at most one in so many in each period.
REDUCTION_DIVISOR = 4
# Seconds between the reductions of two data centres. The platform chooses the
# engines that leave, possibly all of a data centre's decode engines; a role
# change takes 3 s.
REDUCTION_GAP_SECONDS = 4.0
# Periods without any traffic after which a service counts as idle. Until then
# it may be about to receive its first prompts, with nothing cached.
IDLE_PERIODS = 3
# Periods for which replicas that differ from what was ordered hold up a
# reduction. Beyond that, the difference is taken for permanent.
UNSETTLED_PERIODS = 3


class Load(NamedTuple):
    """What the callers of a service need at a moment, over all nodes.

    Attributes:
        demand: Number of engines that arriving prompts keep busy.
        streams: Number of engines that all running streams would fill.
        prompts: Seconds of prompts that wait for prefill, over all engines.
        prefix_tokens: Tokens of the prefixes that recent prompts share.
    """

    demand: float = 0.0
    streams: float = 0.0
    prompts: float = 0.0
    prefix_tokens: float = 0.0

    @property
    def is_idle(self) -> bool:
        """Whether there is no traffic."""
        return not (self.demand or self.streams or self.prompts)


class Engine(NamedTuple):
    """What an engine of a service can do.

    Attributes:
        cache_tokens: Capacity of its KV cache in tokens.
        prefill_rate: Tokens that it prefills per second.
        start_seconds: Seconds until a new one serves.
    """

    cache_tokens: int
    prefill_rate: float
    start_seconds: float


class Policy(NamedTuple):
    """How the need follows from the load.

    Attributes:
        headroom: Number of engines relative to what the load keeps busy.
        period_seconds: Seconds of which the largest need counts.
        data_centres: Number of data centres that have engines.
        limit: Largest number of engines.
    """

    headroom: float
    period_seconds: float
    data_centres: int
    limit: int


class Need(NamedTuple):
    """Engines that are needed in each role."""

    prefill: int
    decode: int

    @property
    def total(self) -> int:
        """Engines of both roles."""
        return self.prefill + self.decode


class Progress(NamedTuple):
    """What limits a reduction at a moment.

    Attributes:
        is_complete: Whether this node knows the load of nearly all nodes.
        is_settled: Whether the replicas are those that were ordered.
    """

    is_complete: bool = True
    is_settled: bool = True


def engines_needed(load: Load, engine: Engine, policy: Policy) -> Need:
    """Returns the engines that must be left after the loss of others.

    Args:
        load: The load.
        engine: What an engine can do.
        policy: How the need follows from the load.
    """
    clearing = max(MIN_CLEARING_SECONDS, engine.start_seconds)
    lost_tokens = load.prefix_tokens / max(1, policy.data_centres)
    refill = lost_tokens / max(1.0, engine.prefill_rate) / REFILL_SECONDS
    working = policy.headroom * load.demand + load.prompts / clearing + refill
    room = CACHE_FRACTION * max(1, engine.cache_tokens)
    caching = load.prefix_tokens / room
    decoding = policy.headroom * load.streams / STREAMS_FRACTION
    return Need(
        max(MIN_ENGINES_PER_ROLE, math.ceil(max(working, caching))),
        max(MIN_ENGINES_PER_ROLE, math.ceil(decoding)),
    )


class Sizer:
    """Follows the load of one service with the number of engines it needs.

    Attributes:
        need: The largest need of the period, by role.
        watching_since: Since when the load is known without a gap; None if it
            isn't known.
        traffic_since: When there was traffic first; None if there was none.
        is_watched: Whether the load was known for long enough to order fewer
            engines, and has not become unknown since. A new leader doesn't know
            what its predecessor kept engines for.
        is_stuck: Whether the replicas have differed from what was ordered for
            so long that the difference counts as permanent.
        survivors_at_takeover: Engines that the loss of a data centre's
            reclaimable ones would have left when the leader took over; 0 once
            the load was watched.

    >>> sizer = Sizer()
    >>> sizer.update(45, Load(1.6), engine, policy, 0.0, Progress())
    45
    """

    def __init__(self):
        self.need = Need(MIN_ENGINES_PER_ROLE, MIN_ENGINES_PER_ROLE)
        self.watching_since: float | None = None
        self.traffic_since: float | None = None
        self.is_watched = False
        self.is_stuck = False
        self.survivors_at_takeover = 0
        self.unsettled_since: float | None = None
        self.reduced_at = -math.inf
        self.reducing = ""
        # A new leader doesn't know when its predecessor gave the last order.
        self.reducing_since: float | None = None
        self.recent: collections.deque[tuple[float, Need]] = collections.deque()

    def update(
        self,
        total: int,
        load: Load,
        engine: Engine,
        policy: Policy,
        now: float,
        progress: Progress,
    ) -> int:
        """Returns the number of engines that are needed from now on.

        It rises at once with the need, and falls by a quarter at most in each
        period.

        Args:
            total: The number that was needed until now.
            load: The present load.
            engine: What an engine can do.
            policy: How the need follows from the load.
            now: Seconds of a monotonic clock.
            progress: What limits a reduction.
        """
        period = policy.period_seconds
        self.observe(load, engine, policy, now)
        reducible = self.has_watched(period, now, progress.is_complete)
        # Traffic after an idle time starts the period again for the total only.
        kept = self.is_watched and progress.is_complete
        self.is_watched = reducible or kept
        if self.is_watched:
            self.survivors_at_takeover = 0
        settled = self.has_settled(period, now, progress.is_settled)
        self.is_stuck = settled and not progress.is_settled
        wanted = min(policy.limit, self.need.total)
        if wanted > total:
            return wanted
        if wanted == total or not reducible or not settled:
            return total
        if now - self.reduced_at < period:
            return total
        self.reduced_at = now
        return max(wanted, total - max(1, total // REDUCTION_DIVISOR))

    def may_reduce(
        self, data_centre: str, is_growing: bool, now: float
    ) -> bool:
        """Whether a data centre may get fewer reclaimable engines now.

        None may before the load is known, nor before the engines serve that
        others get: a division of more engines may have fewer in one. Then one
        data centre follows another, so that decode engines in the others take
        the streams of those that leave.

        Args:
            data_centre: The data centre.
            is_growing: Whether a data centre has fewer than it shall have.
            now: Seconds of a monotonic clock.
        """
        if not self.is_watched or (is_growing and not self.is_stuck):
            return False
        if data_centre == self.reducing:
            return True
        if self.reducing_since is None:
            self.reducing_since = now
        if now - self.reducing_since < REDUCTION_GAP_SECONDS:
            return False
        self.reducing = data_centre
        self.reducing_since = now
        return True

    def kept_steady(
        self,
        total: int,
        counts: list[int],
        ordered: list[int],
        remaining: int,
        floor: int,
    ) -> list[int]:
        """Returns how many steady engines each data centre keeps.

        This holds until the load has been watched for a period. It also records
        what the leader found at its takeover.

        Reclaimable engines that serve take the place of the others. Those that
        are only ordered don't count, as there may be none. Steady engines that
        an order will take away don't count either: others would be given up
        for them.

        Args:
            total: The number that is needed.
            counts: Steady engines that serve, by data centre.
            ordered: The last orders of steady engines.
            remaining: Reclaimable engines that serve and remain if any one data
                centre's are reclaimed.
            floor: The least number.
        """
        if not self.survivors_at_takeover:
            self.survivors_at_takeover = sum(counts) + remaining
        # Steady engines that register late were there as well.
        self.survivors_at_takeover = max(
            self.survivors_at_takeover, sum(counts)
        )
        if not self.may_replace(total):
            return counts
        lasting = [min(pair) for pair in zip(counts, ordered, strict=True)]
        return spreads.reduce_evenly(lasting, max(floor, total - remaining))

    def may_replace(self, total: int) -> bool:
        """Whether reclaimable engines may replace steady ones unwatched.

        If fewer are needed than were found, the predecessor was reducing them,
        and its orders may still be carried out.

        Args:
            total: The number that is needed.
        """
        return total >= self.survivors_at_takeover

    def observe(
        self, load: Load, engine: Engine, policy: Policy, now: float
    ) -> None:
        """Updates the largest need of the period.

        Roles are counted separately: with a mix that swings, prefill and decode
        have their largest needs at different moments.
        """
        if self.traffic_since is None and not load.is_idle:
            self.traffic_since = now
        self.recent.append((now, engines_needed(load, engine, policy)))
        while now - self.recent[0][0] > policy.period_seconds:
            self.recent.popleft()
        self.need = Need(
            max(need.prefill for _, need in self.recent),
            max(need.decode for _, need in self.recent),
        )

    def has_watched(self, period: float, now: float, is_complete: bool) -> bool:
        """Whether the load is known for long enough to need fewer engines.

        Without traffic it takes longer: right after a start nothing is cached,
        and the first prompts need more engines than later ones. A node that has
        lost contact with the others sees a load that is too small.
        """
        if not is_complete:
            self.watching_since = None
            return False
        if self.watching_since is None:
            self.watching_since = now
        if self.traffic_since is None:
            return now - self.watching_since >= IDLE_PERIODS * period
        return now - max(self.watching_since, self.traffic_since) >= period

    def has_settled(self, period: float, now: float, is_settled: bool) -> bool:
        """Whether the replicas follow the orders, or won't for long."""
        if is_settled:
            self.unsettled_since = None
            return True
        if self.unsettled_since is None:
            self.unsettled_since = now
        return now - self.unsettled_since >= UNSETTLED_PERIODS * period
