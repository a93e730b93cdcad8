"""Steps on the rules of control, without network or clock."""

import behave
from features.support import control_model
from features.support import interleavings
from features.support import permission_model

from gypsumfold import objects
from gypsumfold.control import control_state
from gypsumfold.control import desired_orders
from gypsumfold.control import orders
from gypsumfold.control import records

ENGINE = "lm-1"
# Steps of one interleaving: enough for a takeover after a takeover.
STEPS = 40
CLOSING_STEPS = 20


@behave.then(
    "{count:d} random interleavings of three nodes keep every order in turn"
)
def step_interleavings(context, count):
    interleavings.run(control_model.Interleavings, count, STEPS)


@behave.then(
    "{count:d} random interleavings of a closing leave no permission behind"
)
def step_closings(context, count):
    interleavings.run(permission_model.Closings, count, CLOSING_STEPS)


def take(context, record):
    """Appends one record and lets the book read it."""
    noted = control_state.LoggedRecord(context.offset, 0.0, record)
    assert context.book.apply(noted, 0.0), record
    context.offset += 1


@behave.given("the control stream of one service with a holder")
def step_stream(context):
    context.offset = 0
    context.book = control_state.ServiceState("dispatch", 60.0, 0, True)
    claim = records.LeaseChanged(
        "dispatch",
        records.CLAIM,
        "entry-1-a",
        "entry-1",
        "127.0.0.1",
        1,
        -1,
        -1,
        context.book.snapshot(),
    )
    take(context, claim)


@behave.when('two operators order the roles "{first}" and then "{second}"')
def step_race(context, first, second):
    for operator, role in (("one", first), ("two", second)):
        take(
            context,
            records.OrderDesired(
                "dispatch", ENGINE, f"change-{operator}", operator, "role", role
            ),
        )


def choose(context, role, declared="mixed", planned=None):
    """Gives what an engine with a role should be ordered next."""
    endpoint = objects.Endpoint(
        service="dispatch",
        address="127.0.0.1:1",
        data_centre="north-apron",
        role=declared,
    )
    state = orders.EngineState("e-1", role, frozenset(), 0, False, "", True, -1)
    found = context.book.orders
    return desired_orders.choose(
        found.desired.get(ENGINE, []),
        found.pins.get(ENGINE),
        endpoint,
        planned,
        state,
    )


@behave.then(
    'the next order of an engine for which the planner wants "{planned}"'
    ' is "{role}"'
)
def step_next(context, planned, role):
    context.next = choose(context, "mixed", planned=planned)
    assert context.next.subject == role, context.next


@behave.then("once that is done nothing more is ordered")
def step_done(context):
    intent = records.OrderIntended(
        "dispatch",
        ENGINE,
        0,
        "entry-1-a",
        "order-1",
        context.next.verb,
        context.next.subject,
        context.next.desired_offset,
        "e-1",
        "mixed",
    )
    take(context, intent)
    take(context, records.OrderFinished("dispatch", ENGINE, "order-1", "done"))
    assert choose(context, "decode", planned="prefill") is None


@behave.then('once the declared role changes to "{role}" that is ordered')
def step_declared(context, role):
    found = choose(context, "decode", declared=role)
    assert (found.subject, found.origin) == (role, "declaration"), found
