"""Decides how many replicas of each kind to order, and where.

Load pattern: replicas that are paid by the second, most of them idle between
bursts, and a cheaper kind that the platform takes back, all of a data centre at
once and at seconds' notice. A new replica serves after seconds and has nothing
cached, so what a burst needs has to be there before it, and what is left when a
data centre's are taken back must be enough.
"""

import math
from typing import NamedTuple

from gypsumfold.decisions import capacity_needs
from gypsumfold.decisions import delayed_reductions
from gypsumfold.decisions import spreads

# Seconds for which an order may stay without visible effect, beyond the time
# that a replica takes to start: entries are renewed each second, and a call
# without an answer may be carried out seconds later.
EFFECT_SECONDS = 8.0
# Seconds after its start within which a new replica is known to serve.
ARRIVAL_SECONDS = 2.5
# Seconds until replicas of a kind are ordered again where there were none.
UNAVAILABLE_SECONDS = 4.0


class Offer(NamedTuple):
    """What the operators declare of a service's replicas.

    Attributes:
        least: Minimum number in a data centre, both kinds together.
        most: Maximum number in a data centre, both kinds together.
        start_seconds: Seconds until a new replica serves.
        spot_price: Price of a reclaimable replica relative to another.
        prices: Price of a replica-second by data centre.
    """

    least: int = 0
    most: int = 0
    start_seconds: float = 0.0
    spot_price: float = 1.0
    prices: dict[str, float] = {}


class Policy(NamedTuple):
    """How much capacity is kept.

    Attributes:
        steady_share: Share of the replicas that are not reclaimable.
        headroom: Number of replicas relative to what the load keeps busy.
        least_share: Share of the replicas present at first that is always
            needed; the reserve comes on top.
        follows_load: Whether engines are counted by what callers need instead,
            and reclaimable ones spread by price.
        period_seconds: Seconds of which the largest need counts then.
    """

    steady_share: float = 0.1
    headroom: float = 1.5
    least_share: float = 1.0
    follows_load: bool = False
    period_seconds: float = 20.0


class Count(NamedTuple):
    """Replicas of one data centre.

    Attributes:
        steady: Those that are not reclaimable.
        spot: Reclaimable ones.
    """

    steady: int = 0
    spot: int = 0


class Order(NamedTuple):
    """The number of replicas of a kind that a data centre shall have."""

    data_centre: str
    spot: bool
    count: int


def wanted_total(first: int, busy: float, offer: Offer, policy: Policy) -> int:
    """Returns the number of replicas that a service needs.

    Args:
        first: Number of replicas present at first.
        busy: Number of replicas that the load keeps busy.
        offer: What can be ordered.
        policy: How much capacity is kept.
    """
    least = math.ceil(policy.least_share * first)
    limit = offer.most * max(1, len(offer.prices))
    return min(limit, max(least, math.ceil(policy.headroom * busy)))


def replaces_steady(offer: Offer) -> bool:
    """Whether reclaimable replicas with their reserve cost less than others."""
    factor = spreads.reserve_factor(len(offer.prices))
    return offer.spot_price * factor < 1.0


class Capacity:
    """Tracks one service's orders and decides the next ones.

    Attributes:
        total: Number of replicas needed at present, without the reserve.
        sizer: Follows the load with `total`; None if `plan` does.
        ordered: The last order of each data centre and kind, and when it was
            given.
        steady_minimum: Data centres whose minimum is met by replicas that are
            not reclaimable, as the platform has refused fewer of them.

    >>> capacity = Capacity(first=70, policy=Policy())
    >>> capacity.plan(present, busy=12.0, offer=offer, now=0.0)
    [Order(...)]
    """

    def __init__(self, first: int, policy: Policy):
        self.first = first
        self.policy = policy
        self.total = math.ceil(policy.least_share * first)
        self.sizer: capacity_needs.Sizer | None = None
        self.reduction = delayed_reductions.DelayedReduction()
        self.ordered: dict[tuple[str, bool], tuple[int, float]] = {}
        self.unavailable_until: dict[str, float] = {}
        self.steady_minimum: set[str] = set()

    def record_first(self, count: int) -> None:
        """Records the number of replicas that were there at first."""
        self.first = count
        least = math.ceil(self.policy.least_share * count)
        self.total = max(self.total, least)

    def plan(
        self,
        present: dict[str, Count],
        busy: float,
        offer: Offer,
        now: float,
    ) -> list[Order]:
        """Returns the orders to give now.

        Args:
            present: Replicas that serve, by data centre.
            busy: Number of replicas that the load keeps busy.
            offer: What can be ordered.
            now: Seconds of a monotonic clock.
        """
        if self.sizer is None:
            needed = wanted_total(self.first, busy, offer, self.policy)
            self.total = self.reduction.update(self.total, needed, now)
        # More go to where they cost less.
        names = sorted(
            offer.prices, key=lambda name: (offer.prices[name], name)
        )
        floor = math.ceil(self.policy.steady_share * self.total)
        # Following the load, both kinds meet the minimum of a data centre.
        least = offer.least if self.sizer is None else 0
        floors = spreads.spread(floor, names, least, offer.most)
        is_kept = self.sizer is not None and not self.sizer.is_watched
        kept = [0] * len(names)
        if is_kept:
            kept = self.kept_steady(names, present, floor)
        for place, name in enumerate(names):
            if name in self.steady_minimum:
                floors[place] = max(floors[place], offer.least)
            if is_kept and not self.sizer.may_replace(self.total):
                floors[place] = max(floors[place], kept[place])
        spots = self.spread_spots(names, floors, present, offer)
        floors = [max(pair) for pair in zip(floors, kept, strict=True)]
        is_growing = False
        for name, count in zip(names, spots, strict=True):
            is_growing |= count > present.get(name, Count()).spot
        spot_orders = {}
        for name, count in zip(names, spots, strict=True):
            if now < self.unavailable_until.get(name, -math.inf):
                continue
            have = present.get(name, Count()).spot
            if count < have and not self.may_reduce(name, is_growing, now):
                continue
            order = Order(name, True, count)
            spot_orders[name] = self.plan_kind(order, have, offer, now)
        all_present = Count(
            sum(count.steady for count in present.values()),
            sum(count.spot for count in present.values()),
        )
        expected = self.expected_spots(present, spot_orders, offer, now)
        remaining = spreads.remaining(expected)
        steady = spreads.wanted_steady(
            self.total, *all_present, remaining, busy, floor
        )
        steadies = spreads.spread(steady, names, least, offer.most)
        if is_kept and steady <= sum(floors):
            steadies = floors
        found = []
        for place, name in enumerate(names):
            found += spot_orders.get(name, [])
            have = present.get(name, Count())
            count = min(steadies[place], offer.most - spots[place])
            count = max(count, offer.least - have.spot)
            if self.sizer is not None:
                # An order of fewer reclaimable ones may have to wait.
                spot = max(spots[place], have.spot)
                count = min(max(count, floors[place]), offer.most - spot)
                count = max(kept[place], count)
            order = Order(name, False, count)
            found += self.plan_kind(order, have.steady, offer, now)
        return found

    def kept_steady(
        self, names: list[str], present: dict[str, Count], floor: int
    ) -> list[int]:
        """Divides the steady engines to keep until the load was watched."""
        counts = [present.get(name, Count()).steady for name in names]
        spots = {name: count.spot for name, count in present.items()}
        left = spreads.remaining(spots)
        ordered = []
        for name, count in zip(names, counts, strict=True):
            ordered.append(self.ordered.get((name, False), (count, 0.0))[0])
        return self.sizer.kept_steady(self.total, counts, ordered, left, floor)

    def spread_spots(
        self,
        names: list[str],
        floors: list[int],
        present: dict[str, Count],
        offer: Offer,
    ) -> list[int]:
        """Divides reclaimable replicas over data centres, cheapest first."""
        limit = max(0, offer.most - max(floors, default=0))
        if not replaces_steady(offer):
            return [0] * len(names)
        if self.sizer is None:
            floor = math.ceil(self.policy.steady_share * self.total)
            return spreads.spread_reserved(self.total - floor, names, limit)
        found = spreads.spread_by_price(
            self.total - sum(floors), names, offer.prices, limit
        )
        for place, name in enumerate(names):
            # Others meet the minimum or stay until enough of these serve.
            have = present.get(name, Count())
            others = max(0, offer.least - have.spot)
            if not self.sizer.is_watched:
                others = max(others, min(offer.most, have.steady))
            found[place] = min(found[place], offer.most - others)
        return found

    def may_reduce(self, name: str, growing: bool, now: float) -> bool:
        """Whether a data centre may lose reclaimable replicas by an order."""
        return self.sizer is None or self.sizer.may_reduce(name, growing, now)

    def is_settled(self, present: dict[str, Count], now: float) -> bool:
        """Whether the replicas that serve are those that were ordered."""
        for (name, spot), (count, _) in self.ordered.items():
            have = present.get(name, Count())
            if count != (have.spot if spot else have.steady):
                return False
        until = max(self.unavailable_until.values(), default=-math.inf)
        # A refused order that is still wanted is repeated by then.
        return now >= until + UNAVAILABLE_SECONDS

    def is_awaiting_first(
        self, present: dict[str, Count], offer: Offer, now: float
    ) -> bool:
        """Whether the first reclaimable replicas are still on their way."""
        if any(count.spot for count in present.values()):
            return False
        expected = self.expected_spots(present, {}, offer, now)
        return any(expected.values())

    def expected_spots(
        self,
        present: dict[str, Count],
        new: dict[str, list[Order]],
        offer: Offer,
        now: float,
    ) -> dict[str, int]:
        """Counts the reclaimable replicas that serve or may come.

        Those of a first or a larger order that is about to be given count as
        well; a new leader doesn't know what its predecessor has ordered. Those
        that are ordered again do not, as there may be none.

        Args:
            present: Replicas that serve, by data centre.
            new: Orders of reclaimable replicas to give now, by data centre.
            offer: What can be ordered.
            now: Seconds of a monotonic clock.

        Returns:
            Their number by data centre.
        """
        found = {name: count.spot for name, count in present.items()}
        for (name, spot), (count, given_at) in self.ordered.items():
            late = now - given_at > offer.start_seconds + ARRIVAL_SECONDS
            if spot and not late:
                found[name] = max(count, found.get(name, 0))
        for name, orders in new.items():
            before, _ = self.ordered.get((name, True), (0, 0.0))
            for order in orders:
                if order.count > before and name not in self.unavailable_until:
                    found[name] = max(order.count, found.get(name, 0))
        return found

    def plan_kind(
        self, order: Order, have: int, offer: Offer, now: float
    ) -> list[Order]:
        """Returns an order if it is new, or if the last had no effect."""
        last = self.ordered.get((order.data_centre, order.spot))
        if last is None:
            return [] if have == order.count else [order]
        count, given_at = last
        if count != order.count:
            return [order]
        effect_at = given_at + offer.start_seconds + EFFECT_SECONDS
        if have != order.count and now >= effect_at:
            return [order]
        return []

    def record_order(self, order: Order, now: float) -> None:
        """Records an order that was accepted or that may have been."""
        key = (order.data_centre, order.spot)
        self.ordered[key] = (order.count, now)
        if order.spot:
            self.unavailable_until.pop(order.data_centre, None)

    def record_unavailable(self, order: Order, now: float) -> None:
        """Records that a data centre has no such replicas at present."""
        self.ordered.pop((order.data_centre, order.spot), None)
        if order.spot:
            until = now + UNAVAILABLE_SECONDS
            self.unavailable_until[order.data_centre] = until

    def record_refused(self, order: Order, have: int, now: float) -> bool:
        """Records that an order of not reclaimable replicas was refused.

        Returns:
            Whether its number may be the reason. Otherwise only a higher token
            can be.
        """
        if self.sizer is None or order.count >= have:
            self.record_unavailable(order, now)
            return False
        self.steady_minimum.add(order.data_centre)
        # The same number is not ordered again at once.
        self.record_order(order, now)
        return True
