"""Load patterns, each judged by one figure of what callers receive."""

import random

from features.support import replicas
from gypsumfold.decisions import types

URGENT, ORDINARY = 0, 2
NODES = 6


def request(name, at, **fields):
    """A short ordinary request, unless fields say otherwise."""
    patience = fields.pop("patience", 6.0)
    plain = types.Request(
        id=name,
        account="north-air",
        model=replicas.MODEL,
        kind="briefing",
        urgency=ORDINARY,
        arrival=at,
        deadline=at + patience,
        prompt_tokens=400,
        output_tokens=50,
    )
    return plain._replace(**fields)


def stream(rng, name, rate, start, end, node=None, **fields):
    """Poisson arrivals of one sort of request, at any or one node."""
    found = []
    at = start + rng.expovariate(rate)
    while at < end:
        where = rng.randrange(NODES) if node is None else node
        made = request(f"{name}-{len(found)}@{at:.3f}", at, **fields)
        found.append((at, where, made))
        at += rng.expovariate(rate)
    return found


def fleet(make, count=6, lag=0.5, retries=False, nodes=NODES):
    """Six engines before as many nodes as the brief has."""
    engines = []
    for number in range(1, count + 1):
        engines.append(replicas.Engine(f"engine-{number}", lag=lag))
    schedulers = [make(random.Random(seed)) for seed in range(nodes)]
    return replicas.Fleet(engines, schedulers, retries)


def on_time(answers, wanted):
    """Share on time and whole of the answers that are wanted."""
    found = [one for one in answers if wanted(one.request)]
    assert len(found) > 10, len(found)
    return sum(one.on_time() for one in found) / len(found)


def is_urgent(one):
    return one.urgency == URGENT


def burst(make):
    """80 briefings within half a second; tug calls go on."""
    rng = random.Random(1)
    calls = stream(rng, "tug", 2, 0, 20, urgency=URGENT, patience=4.5)
    calls += stream(rng, "briefing", 6, 0, 20)
    calls += stream(rng, "burst", 160, 5, 5.5)
    return on_time(fleet(make).run(calls, 30), is_urgent)


def hot_caller(make):
    """One account sends five times what one node's share can carry."""
    rng = random.Random(2)
    calls = stream(rng, "hot", 40, 0, 20, node=0, account="hot")
    for name in ("a", "b", "c"):
        calls += stream(rng, name, 1, 0, 20, node=0, account=name)
    answers = fleet(make).run(calls, 30)
    return on_time(answers, lambda one: one.account != "hot")


def spread_caller(make):
    """The same account through all nodes, the others on one each."""
    rng = random.Random(3)
    calls = stream(rng, "hot", 40, 0, 20, account="hot")
    for node in range(NODES):
        name = f"caller-{node}"
        calls += stream(rng, name, 2, 0, 20, node=node, account=name)
    answers = fleet(make).run(calls, 30)
    return on_time(answers, lambda one: one.account != "hot")


def hot_prefix(make):
    """Long prompts with few beginnings, half of them the same one."""
    rng = random.Random(4)
    calls = []
    for at, node, one in stream(rng, "p", 14, 0, 20, prompt_tokens=2000):
        prefix = 1 if rng.random() < 0.5 else rng.randrange(2, 10)
        calls.append((at, node, one._replace(prefix=prefix)))
    return on_time(fleet(make).run(calls, 30), lambda one: True)


def slow_endpoint(make):
    """One engine runs at an eighth of its speed and says nothing of it."""
    rng = random.Random(5)
    served = fleet(make)
    served.engines["engine-1"].speed = 0.125
    calls = stream(rng, "call", 9, 0, 30)
    return on_time(served.run(calls, 40), lambda one: one.arrival > 5)


def failing_endpoint(make):
    """One engine fails whatever it is sent, at once, and looks idle."""
    rng = random.Random(11)
    served = fleet(make)
    served.engines["engine-1"].failing = True
    calls = stream(rng, "call", 9, 0, 40)
    return on_time(served.run(calls, 50), lambda one: True)


def lagging_report(make):
    """Reports are a second old, and two engines get others' work at 5 s."""
    rng = random.Random(6)
    served = fleet(make, lag=1.0)

    def fill():
        for name in ("engine-1", "engine-2"):
            engine = served.engines[name]
            for number in range(8):
                foreign = request(f"foreign-{number}", 5.0, output_tokens=200)
                engine.start(0, foreign, 5.0)
                served.answers[foreign.id] = replicas.Answer(foreign)

    calls = stream(rng, "call", 10, 0, 20, patience=4.0)
    answers = served.run(calls, 30, [(5.0, fill)])
    return on_time(answers, lambda one: one.id.startswith("call"))


def long_jobs(make):
    """Seating plans of twenty seconds among short questions."""
    rng = random.Random(7)
    calls = stream(rng, "short", 6, 0, 50, patience=4.5)
    calls += stream(
        rng, "plan", 1.6, 0, 50, kind="plan", output_tokens=800, patience=120.0
    )
    answers = fleet(make).run(calls, 55)
    return on_time(answers, lambda one: one.kind == "briefing")


def overload(make, see=lambda fleet: None):
    """Twice what the fleet can do; twice the share that is on time."""
    rng = random.Random(8)
    calls = stream(rng, "call", 34, 0, 30)
    served = fleet(make)
    see(served)
    return on_time(served.run(calls, 40), lambda one: True) * 2


def all_urgent(make):
    """One account calls everything urgent; three say it of a fifth."""
    rng = random.Random(9)
    calls = stream(rng, "liar", 30, 0, 20, urgency=URGENT, account="liar")
    for name in ("a", "b", "c"):
        calls += stream(rng, name, 2, 0, 20, account=name)
        calls += stream(
            rng, f"{name}-u", 0.5, 0, 20, account=name, urgency=URGENT
        )
    answers = fleet(make).run(calls, 30)
    return on_time(answers, lambda one: one.account != "liar")


def retry_storm(make):
    """All engines are away for 10 s; the refused come back as advised.

    The figure is the share of tug calls after it that are on time at once.
    """
    rng = random.Random(10)
    served = fleet(make, retries=True)

    def set_open(value):
        for engine in served.engines.values():
            engine.open = value

    changes = [(5.0, lambda: set_open(False)), (15.0, lambda: set_open(True))]
    calls = stream(rng, "call", 14, 0, 40, patience=8.0)
    calls += stream(rng, "tug", 1, 0, 40, urgency=URGENT, patience=4.5)
    answers = served.run(calls, 45, changes)
    found = []
    for answer in answers:
        if is_urgent(answer.request) and 15 < first_try(answer) < 40:
            found.append(answer.on_time() and answer.attempts == 1)
    return sum(found) / len(found)


def first_try(answer):
    return float(answer.request.id.partition("@")[2].partition("#")[0])


PATTERNS = {
    "a burst": burst,
    "a hot caller on one node": hot_caller,
    "a hot caller on all nodes": spread_caller,
    "a hot prefix": hot_prefix,
    "a slow endpoint": slow_endpoint,
    "an endpoint that fails at once": failing_endpoint,
    "a busy engine that looks idle": lagging_report,
    "long jobs among short ones": long_jobs,
    "overload at twice the capacity": overload,
    "an account that calls everything urgent": all_urgent,
    "a retry storm after an outage": retry_storm,
}
