"""Steps on leases and orders through real processes."""

import behave
from features.support import deployments
from features.support import fleets
from features.support import http

LEASE = {
    "duration": 1.5,
    "renewal": 0.3,
    "drift": 0.3,
    "permission": 1.0,
    "quarantine": 1.5,
}
NODES = ("entry-1", "entry-2", "entry-3")


def orders(context, engine):
    return context.fleet[engine].test("orders")


def state(context, engine):
    return http.get(f"{context.fleet[engine].url}/v1/state").json()


def show(context, source, node=None):
    """Reads one source of operators' queries as dictionaries."""
    answer = context.fleet.operate(
        "/v1/queries", {"text": f"show {source}"}, node
    )
    assert answer.status == 200, answer
    table = answer.json()
    return [
        dict(zip(table["columns"], row, strict=True)) for row in table["rows"]
    ]


@behave.given('controlled engines "{kind}" and {count:d} nodes')
def step_fleet(context, kind, count):
    fleet = context.fleet = fleets.Fleet("control")
    fleet.start_platform()
    for name in ("lm-1", "lm-2"):
        fleet.start_engine(name, checks_tokens=kind == "checking", speed=5.0)
    fleet.start_service("ramp-1")
    fleet.start_nodes(*NODES[:count], control=LEASE)
    deployments.declare(fleet)


def order(context, engine, role, node=None):
    text = f'order endpoint "{engine}" role {role}'
    context.fleet.apply(text, node)


@behave.when('an operator orders the role "{role}" of "{engine}"')
def step_order(context, role, engine):
    order(context, engine, role)


@behave.then('"{engine}" has the role "{role}" and took {count:d} order')
def step_role(context, engine, role, count):
    context.fleet.until(
        lambda: state(context, engine)["role"] == role,
        message=f"{state(context, engine)}",
    )
    done = [r for r in orders(context, engine) if r["verdict"] == "done"]
    assert len(done) == count, done


@behave.then("no engine took an order that was stale, overlapping or cutting")
def step_clean(context):
    for name, endpoint in context.fleet.endpoints.items():
        if endpoint.protocol != "engine":
            continue
        for record in orders(context, name):
            taken = record["verdict"] in ("started", "done", "failed")
            assert not record["cut"], record
            if taken:
                assert not record["stale"] and not record["during"], record
