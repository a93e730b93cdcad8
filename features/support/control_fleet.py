"""Orders on a fleet: given by operators, read from the engines' records."""

from features.support import deployments
from features.support import http

LEASE = {
    "duration": 1.5,
    "renewal": 0.3,
    "drift": 0.3,
    "permission": 1.0,
    "quarantine": 1.5,
}
NODES = ("entry-1", "entry-2", "entry-3")
ENGINES = ("lm-1", "lm-2")
SERVICE = deployments.ENGINES
TAKEN = ("started", "done", "failed")


def orders(context, engine):
    """Lists all orders that came to an engine."""
    return context.fleet[engine].test("orders")


def taken(context, engine):
    """Lists the orders that an engine carried out."""
    return [r for r in orders(context, engine) if r["verdict"] in TAKEN]


def state(context, engine):
    return http.get(f"{context.fleet[engine].url}/v1/state").json()


def show(context, source, node=None):
    """Reads one source of operators' queries as dictionaries."""
    query = {"text": f"show {source}"}
    answer = context.fleet.operate("/v1/queries", query, node)
    assert answer.status == 200, answer
    table = answer.json()
    found = []
    for row in table["rows"]:
        found.append(dict(zip(table["columns"], row, strict=True)))
    return found


def order(context, engine, role, node=None):
    context.fleet.apply(f'order endpoint "{engine}" role {role}', node)


def until_role(context, engine, role):
    def there():
        now = state(context, engine)
        return now["role"] == role and not now["changing"]

    context.fleet.until(there, message=f"{engine} is no {role}")
