"""Steps on a request that ends the processes which run it."""

import behave
from features.support import gateway_calls as callers
from features.support import gateways

from gypsumfold import events
from gypsumfold.platform import names

MORE = ("app-3", "app-4", "app-5")
GATEWAYS = ("edge-1", "edge-2")
# Processes that may end by one request.
MOST_CRASHES = 3
# Attempts of its caller; some may be refused while it is held.
MOST_ATTEMPTS = 12


@behave.given(
    'three more replicas of the service "app", all of which crash on "{text}"'
)
def step_replicas(context, text):
    context.fleet.start_replicas([(name, "app", "") for name in MORE])
    for name in callers.PLAINS + MORE:
        context.fleet[name].faults(crashing=text)


@behave.given("a second gateway that knows the others")
def step_second(context):
    context.fleet.start_gateway("edge-2")
    for gateway in GATEWAYS:
        for name in context.fleet.entries:
            context.fleet.until_known(gateway, name)


def ended(context):
    """The replicas whose processes have ended."""
    found = []
    for name in callers.PLAINS + MORE:
        if not context.fleet[name].alive:
            found.append(name)
    return found


def post(context, gateway, body, path):
    """Posts a body at one gateway."""
    context.gateway = context.fleet[gateway]
    return callers.call(context, "POST", path, body.encode())


@behave.when(
    'a caller posts "{body}" to "{path}" at both gateways by turns until three '
    "replicas have crashed"
)
def step_post(context, body, path):
    for number in range(MOST_ATTEMPTS):
        answer = post(context, GATEWAYS[number % 2], body, path)
        assert answer.status in (502, 503), answer
        if len(ended(context)) >= MOST_CRASHES:
            return
    raise AssertionError(f"only {ended(context)} have ended")


@behave.then('both gateways refuse "{body}" to "{path}" at once, as not run')
def step_refuse(context, body, path):
    number = events.QUARANTINE_BEGUN.number
    for gateway in GATEWAYS:
        gateways.until(
            lambda gateway=gateway: context.fleet[gateway].events(number),
            f"{gateway} does not know that the request crashes replicas",
        )
        answer = post(context, gateway, body, path)
        assert answer.status == 503, answer
        assert b"request-quarantined" in answer.body, answer
        assert b"not-run" in answer.body, answer
        assert float(callers.header(answer, names.RETRY_AFTER)) > 1.0, answer
    assert len(ended(context)) == MOST_CRASHES, ended(context)


@behave.then(
    'both gateways pass "{body}" to "{path}" on to a replica that is left'
)
def step_others(context, body, path):
    for gateway in GATEWAYS:
        post(context, gateway, body, path)
        callers.sealed(context.sent, context.answer)
