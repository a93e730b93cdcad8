"""Plans role changes of engines as the mix of tokens shifts.

Load pattern: the ratio of prompt to output tokens shifts within minutes on a
fixed fleet. With static roles the engines of one role queue while the others
idle; following every shift makes an engine unavailable each time, often just as
the mix shifts back. A change is made if its gain over the expected duration of
the mix exceeds its cost: the seconds in which the engine is unavailable and
drains, the same again and the work not served when the mix shifts back, and the
weight that the operators declare for each change.
"""

import collections
from typing import NamedTuple
from typing import Protocol

from gypsumfold.decisions import mix_duration as mix_duration_module
from gypsumfold.decisions import types

# A gain must exceed the cost by this factor: demand is measured over two
# seconds and fluctuates by about this much.
HYSTERESIS = 1.25
# Fraction of the current demand that the fleet should be able to serve; queues
# grow without bound as it falls towards 1.
MAX_SERVED_FRACTION = 1.1
# Seconds that a new mix must have lasted: twice the time constant of the demand
# meter.
SETTLE_SECONDS = 4.0
# Bisection steps when computing the served fraction; accurate to about 1/1000.
BISECTION_STEPS = 10


class Rates(NamedTuple):
    """Tokens a second of one engine that does only prefill or only decode.

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
        role: Its current role.
        reported_at: When its last report was made.
        running: Sequences that would have to be drained.
        ready: Whether it is open and no change is in progress or desired.
    """

    name: str
    role: types.Role
    reported_at: float
    running: int
    ready: bool


class Costs(NamedTuple):
    """The costs of a role change.

    Attributes:
        away: Seconds for which the change itself makes an engine unavailable.
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
        gain: Seconds of one engine's work gained while the mix is expected to
            last.
        loss: Seconds of one engine's work lost, the weight included.
    """

    engine: str
    role: types.Role
    gain: float
    loss: float


class Planner(Protocol):
    """Decides on role changes."""

    def plan(
        self, engines: list[Engine], demand: types.Demand, now: float
    ) -> Change | None:
        """Returns the one change to make now, or None.

        Args:
            engines: All engines of the service.
            demand: The demand on the whole fleet.
            now: The time.
        """


class GainPlanner:
    """Compares a change's gain while the mix lasts with its cost.

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
        """Returns the one change to make now, or None."""
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
        """Whether the mix has settled and all reports are about this mix."""
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
        """Computes the gain and loss of one change."""
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
        """Returns the cost of the change if the mix shifts back.

        The fleet then serves less until the shift is detected and the engines
        that changed have changed back, one after the other.

        Args:
            old: Engines by role now.
            new: Engines by role after the change.
            without: Engines by role while the engine is unavailable.
            away: Seconds until all changed engines have changed back.
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
        """Returns the fraction of the demand that these engines can serve."""
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
        """Whether a fraction of the demand can be served.

        Prefill and decode engines take what they can, mixed engines the rest.
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
    """Returns a change's gain minus its loss."""
    return change.gain - change.loss


class GreedyPlanner(GainPlanner):
    """A baseline: makes any change that serves more of the current demand."""

    def plan(
        self, engines: list[Engine], demand: types.Demand, now: float
    ) -> Change | None:
        """Returns the change that serves most of the current demand."""
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
    """The simplest baseline: keeps roles as declared."""

    def plan(
        self, engines: list[Engine], demand: types.Demand, now: float
    ) -> Change | None:
        """Returns no change."""
        return None
