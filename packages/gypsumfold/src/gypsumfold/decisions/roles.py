"""Which engine should change its role as the mix of tokens swings.

Load pattern: the ratio of prompt to output tokens swings within minutes on
a fixed fleet. With static roles the engines of one side queue while the
others idle; following every swing takes an engine away each time, often just
as the mix turns back. A change is made where what it gains over the expected
stay of the mix exceeds what it costs: the seconds that the engine is away
and drains, the same again and the work not served when the mix turns back,
and the weight that the operators declare for each change.
"""

import collections
from typing import NamedTuple
from typing import Protocol

from gypsumfold.decisions import mix_duration as mix_duration_module
from gypsumfold.decisions import types

# A gain must exceed the cost by this factor: demand is measured over two
# seconds and wavers by about this much (hysteresis).
HYSTERESIS = 1.25
# Share of the present demand that the fleet should be able to serve; queues
# grow without bound on the way to 1.
MAX_SERVED_FRACTION = 1.1
# Seconds a new mix must have lasted: twice the memory of the demand meter.
SETTLE_SECONDS = 4.0
# Halvings of the interval when the served share is worked out; 1/1000.
BISECTION_STEPS = 10


class Rates(NamedTuple):
    """Tokens a second of one engine that does only one thing.

    Attributes:
        prefill: Prompt tokens a second.
        decode: Output tokens a second, over its whole batch.
    """

    prefill: float
    decode: float


class Engine(NamedTuple):
    """One engine as the planner sees it.

    Attributes:
        name: The endpoint's name.
        role: At present.
        taken: When its last report was taken.
        running: Sequences that would have to be drained.
        ready: Whether it is open and no change is in progress or wished.
    """

    name: str
    role: types.Role
    reported_at: float
    running: int
    ready: bool


class Costs(NamedTuple):
    """What a change of role costs.

    Attributes:
        away: Seconds that an engine is away for the change itself.
        drain: Seconds until an engine's running sequences have ended.
        weight: Seconds of one engine's work that a change must gain beyond
            that, as declared for the service.
    """

    away: float
    drain: float
    weight: float


class Change(NamedTuple):
    """An engine that should change its role.

    Attributes:
        engine: Its name.
        role: The new role.
        gain: Seconds of one engine's work gained over the expected stay.
        loss: Seconds of one engine's work lost, the weight included.
    """

    engine: str
    role: types.Role
    gain: float
    loss: float


class Planner(Protocol):
    """Decides on changes of roles."""

    def plan(
        self, engines: list[Engine], demand: types.Demand, now: float
    ) -> Change | None:
        """The change to make now, at most one; None for none.

        Args:
            engines: All engines of the service.
            demand: What callers ask of the whole fleet.
            now: The time.
        """


class GainPlanner:
    """Weighs the gain over the expected stay against the cost.

    >>> planner = GainPlanner(rates, Costs(3.0, 2.0, 10.0), now=0.0)
    >>> planner.plan(engines, demand, now=60.0)
    Change(engine='north-1', role=<Role.PREFILL: 'prefill'>, ...)
    """

    def __init__(
        self, rates: dict[types.Role, Rates], costs: Costs, now: float
    ):
        self.rates = rates
        self.costs = costs
        self.mix_duration = mix_duration_module.MixDuration(now)

    def plan(
        self, engines: list[Engine], demand: types.Demand, now: float
    ) -> Change | None:
        """The change to make now, at most one; None for none."""
        self.mix_duration.observe(demand, now)
        if not self.is_ready(engines, now):
            return None
        best = None
        for engine in engines:
            for role in types.Role:
                change = self.evaluate(engines, engine, role, demand, now)
                if change is None or change.gain <= change.loss * HYSTERESIS:
                    continue
                if best is None or net_gain(change) > net_gain(best):
                    best = change
        return best

    def is_ready(self, engines: list[Engine], now: float) -> bool:
        """Whether the mix has settled and all reports are of this mix."""
        if not engines or now - self.mix_duration.started_at < SETTLE_SECONDS:
            return False
        for engine in engines:
            if (
                not engine.ready
                or engine.reported_at <= self.mix_duration.started_at
            ):
                return False
        return True

    def evaluate(
        self,
        engines: list[Engine],
        engine: Engine,
        role: types.Role,
        demand: types.Demand,
        now: float,
    ) -> Change | None:
        """Works out gain and loss of one change."""
        if role == engine.role:
            return None
        old = collections.Counter(one.role for one in engines)
        without = old - collections.Counter([engine.role])
        new = without + collections.Counter([role])
        before = self.served_fraction(old, demand)
        away = self.costs.away + self.costs.drain * bool(engine.running)
        expected_seconds = max(
            0.0, self.mix_duration.remaining_seconds(now) - away
        )
        gain = (
            (self.served_fraction(new, demand) - before)
            * len(engines)
            * expected_seconds
        )
        loss = max(0.0, before - self.served_fraction(without, demand)) * away
        loss += self.revert_cost(old, new, without, away * new[role])
        return Change(
            engine.name, role, gain, loss * len(engines) + self.costs.weight
        )

    def revert_cost(
        self,
        old: collections.Counter,
        new: collections.Counter,
        without: collections.Counter,
        away: float,
    ) -> float:
        """What the change costs once the mix is as before the last swing.

        The fleet then serves less until the swing is noticed and the engines
        that changed have changed back, one after the other.

        Args:
            old: Engines by role now.
            new: After the change.
            without: While the engine is away.
            away: Seconds until all that changed have changed back.
        """
        former = self.mix_duration.previous_demand
        if former is None:
            return 0.0
        best = self.served_fraction(old, former)
        wrong = max(0.0, best - self.served_fraction(new, former))
        missing = max(0.0, best - self.served_fraction(without, former))
        return wrong * (SETTLE_SECONDS + away) + missing * self.costs.away

    def served_fraction(
        self, counts: collections.Counter, demand: types.Demand
    ) -> float:
        """The share of the demand that engines in these roles can serve."""
        low, high = 0.0, MAX_SERVED_FRACTION
        if self.can_serve(counts, demand, high):
            return high
        for _ in range(BISECTION_STEPS):
            middle = (low + high) / 2
            if self.can_serve(counts, demand, middle):
                low = middle
            else:
                high = middle
        return low

    def can_serve(
        self, counts: collections.Counter, demand: types.Demand, fraction: float
    ) -> bool:
        """Whether a share of the demand can be served.

        Prefill and decode engines take what they can, mixed ones the rest.
        """
        mixed = self.rates[types.Role.MIXED]
        prefill = self.rates[types.Role.PREFILL].prefill
        decode = self.rates[types.Role.DECODE].decode
        prompt = fraction * demand.prompt_tokens
        prompt -= counts[types.Role.PREFILL] * prefill
        output = fraction * demand.output_tokens
        output -= counts[types.Role.DECODE] * decode
        needed = max(0.0, prompt) / mixed.prefill
        needed += max(0.0, output) / mixed.decode
        return needed <= counts[types.Role.MIXED]


def net_gain(change: Change) -> float:
    """What a change gains beyond its cost."""
    return change.gain - change.loss


class GreedyPlanner(GainPlanner):
    """A baseline: makes any change that serves more right now."""

    def plan(
        self, engines: list[Engine], demand: types.Demand, now: float
    ) -> Change | None:
        """The change that serves most of the present demand."""
        best = None
        for engine in engines:
            if not engine.ready:
                return None
            for role in types.Role:
                change = self.evaluate(engines, engine, role, demand, now)
                if change is None or change.gain <= 0:
                    continue
                if best is None or change.gain > best.gain:
                    best = change
        return best


class StaticRoles:
    """The plainest baseline: roles stay as they were declared."""

    def plan(
        self, engines: list[Engine], demand: types.Demand, now: float
    ) -> Change | None:
        """No change."""
        return None
