"""Steps on all faults together; see `features.support.mixture`."""

import behave
from features.support import deployments
from features.support import fleets
from features.support import http
from features.support import mixture
import xxhash

# Event 700: a change of configuration is in force.
APPLIED = 700
# Event 100: a new incarnation listens.
STARTED = 100


# Data centres, and plain services: as many as each deployment has. Engines
# are three of its six, to keep the scenario short.
SHAPES = {
    "ramp-towage": (("north-apron", "cargo-ramp", "south-pen"), 3),
    "bimah": (("brum-a", "brum-b", "notts", "leic"), 4),
}


@behave.given('a combined fleet in the shape of "{deployment}"')
def step_fleet(context, deployment):
    fleet = context.fleet = fleets.Fleet("combined")
    fleet.start_platform()
    centres, count = SHAPES[deployment]
    for place, name in enumerate(mixture.ENGINES):
        fleet.start_engine(name, centres[place], checks_tokens=place > 0)
    context.plain = [f"plain-{number}" for number in range(count)]
    for place, name in enumerate(context.plain):
        centre = centres[place % len(centres)]
        fleet.start_service(name, centre, seconds=mixture.SERVICE)
    names = (*mixture.ENGINES, *context.plain, "log")
    context.proxies = {name: fleet.proxy(fleet[name]) for name in names}
    log = {"platform": {"log": context.proxies["log"].url}}
    fleet.start_nodes(*mixture.NODES, **log)
    addresses = {}
    for name in fleet.endpoints:
        addresses[name.replace("-", "_")] = context.proxies[name].address
    deployments.declare(fleet, **addresses)


@behave.when("callers and operators use it while faults come by seed {seed:d}")
def step_run(context, seed):
    context.mixture = mixture.Mixture(
        context.fleet, context.proxies, context.plain, seed
    )
    context.mixture.run()
    for proxy in context.proxies.values():
        proxy.heal()
    # One that crashed last has only just been started again.
    for name in mixture.ENGINES:
        context.fleet[name].until_ready(fleets.READY_PATHS["engine"])
    print(f"seed {seed}: {context.mixture.faults}")
    print(
        f"{len(context.mixture.completions)} completions, "
        f"{len(context.mixture.calls)} calls"
    )


@behave.then("every whole answer was exact and its caller's own")
def step_exact(context):
    found = context.mixture.completions
    assert any(each.right for each in found)
    for each in found:
        if each.outcome == "complete":
            assert each.right, each
        assert each.expected.startswith(each.text), each
    for call in context.mixture.calls:
        assert call.exact, call


def executions(context):
    """Counts how often each body ran, at all replicas together."""
    counts = {}
    for name in context.plain:
        bodies = context.fleet[name].test("counts")["bodies"]
        for body, count in bodies.items():
            counts[body] = counts.get(body, 0) + count
    assert counts
    return counts


def key_of(content):
    """Names a body as the plain service counts it."""
    digest = xxhash.xxh64_hexdigest(content.encode())
    return f"{deployments.CALL} {digest}"


@behave.then("every call that was said not to have run has not")
def step_not_run(context):
    counts = executions(context)
    for call in context.mixture.calls:
        if "not-run" not in call.outcomes:
            continue
        assert not counts.get(key_of(call.content)), call


@behave.then("no call ran more than once")
def step_once(context):
    counts = executions(context)
    assert max(counts.values()) == 1, [b for b, n in counts.items() if n > 1]
    for call in context.mixture.calls:
        if "complete" in call.outcomes:
            assert counts.get(key_of(call.content)) == 1, call


@behave.then("no engine took conflicting or stale orders")
def step_orders(context):
    for name in mixture.ENGINES:
        for record in context.mixture.all_orders(name):
            if record["verdict"] == "stale-token":
                continue
            assert not record["stale"] and not record["during"], record


@behave.then("no node's revision went back, and all nodes agree in the end")
def step_revisions(context):
    fleet = context.fleet
    for name in mixture.NODES:
        least = -1
        for line in fleet[name].log_lines():
            if line.get("number") == STARTED:
                least = -1
            if line.get("number") != APPLIED:
                continue
            assert line["revision"] >= least, line
            least = line["revision"]

    def level():
        try:
            states = [fleet.state(fleet[name]) for name in mixture.NODES]
        except http.Gone:
            return False
        ready = all(state["ready"] for state in states)
        return ready and len({state["revision"] for state in states}) == 1

    fleet.until(level, message="the nodes do not agree")
