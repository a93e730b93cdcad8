"""A fleet whose mix of prompt and output tokens swings, as a fluid.

Each second the fleet serves what share of the demand its roles allow; what
it does not serve is refused. Engines that change are away for some seconds.
"""

import collections
import random

from gypsumfold.decisions import roles
from gypsumfold.decisions import types

# Tokens a second of one stand-in engine by role, from
# gypsumfold_standins/service_time.py: chunk / step and batch / step.
RATES = {
    types.Role.MIXED: roles.Rates(7191.0, 1633.0),
    types.Role.PREFILL: roles.Rates(9534.0, 645.0),
    types.Role.DECODE: roles.Rates(2424.0, 2192.0),
}
AWAY, DRAIN = 3.0, 2.0
PROMPTS = types.Demand(48000.0, 1000.0, 0)
OUTPUTS = types.Demand(3000.0, 12000.0, 0)


def mix(kind, now, rng, stay, state):
    """The demand now: turns between prompts and outputs."""
    if now >= state["turn"]:
        state["prompts"] = not state["prompts"]
        length = stay if kind == "steady" else stay * rng.uniform(0.5, 1.5)
        state["turn"] = now + length
    demand = PROMPTS if state["prompts"] else OUTPUTS
    noise = rng.uniform(0.9, 1.1)
    return demand._replace(prompt_tokens=demand.prompt_tokens * noise)


def play(planner, stay, seconds=1200, seed=1, engines=6):
    """Returns the share of demand served and the number of changes."""
    rng = random.Random(seed)
    fleet = {f"engine-{n}": types.Role.MIXED for n in range(engines)}
    away = {}
    state = {"turn": stay, "prompts": True}
    served = changes = 0
    for now in range(seconds):
        demand = mix("random", now, rng, stay, state)
        for name in [one for one, until in away.items() if until <= now]:
            del away[name]
        view = []
        for name, role in fleet.items():
            ready = not away
            view.append(roles.Engine(name, role, now - 0.5, 1, ready))
        change = planner.plan(view, demand, now)
        if change is not None:
            fleet[change.engine] = change.role
            away[change.engine] = now + AWAY + DRAIN
            changes += 1
        counts = collections.Counter(
            role for name, role in fleet.items() if name not in away
        )
        meter = roles.GainPlanner(RATES, roles.Costs(0, 0, 0), 0.0)
        served += min(1.0, meter.served_fraction(counts, demand))
    return served / seconds, changes


def planner(weight):
    return roles.GainPlanner(RATES, roles.Costs(AWAY, DRAIN, weight), 0.0)


def following():
    return roles.GreedyPlanner(RATES, roles.Costs(AWAY, DRAIN, 0.0), 0.0)
