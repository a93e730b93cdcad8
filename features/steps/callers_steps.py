"""Steps on what callers may ask for, and on clear errors."""

import http.client
import json

import behave
from features.support import deployments
from features.support import fleets
from features.support import http as http_support

PATH = "/v1/chat/completions"
# The names under which the stand-in engine can be asked.
NAMES = ("dispatch-lm", "dispatch-lm@2", "dispatch-lm:swaps@2")


@behave.given("callers of a node that takes {size:d} bytes in {limit:d} second")
def step_node(context, size, limit):
    fleet = context.fleet = fleets.Fleet("callers")
    fleet.start_platform()
    context.engine = fleet.start_engine("lm-0", models=",".join(NAMES))
    limits = {"body_limit": size, "read_timeout": float(limit)}
    context.node = fleet.start_node("entry-0", callers=limits)
    deployments.declare(fleet)


def ask(context, body, **extra):
    url = context.node.url + PATH
    return http_support.post(url, body, headers=deployments.headers(**extra))


def completion(model):
    return {
        "model": model,
        "messages": deployments.messages("what is it"),
        "max_tokens": 5,
    }


def check(answer, status, slug):
    assert answer.status == status, answer
    problem = answer.json()
    assert problem["type"].endswith(f":{slug}"), problem
    assert problem["outcome"] == "not-run", problem


@behave.then('a body of {size:d} bytes is answered with {status:d}, "{slug}"')
def step_large(context, size, status, slug):
    check(ask(context, b"x" * size), status, slug)


@behave.then('a body that does not come is answered with {status:d}, "{slug}"')
def step_slow(context, status, slug):
    connection = http.client.HTTPConnection(
        context.node.host, fleets.CALLERS_PORT, timeout=30
    )
    connection.putrequest("POST", PATH)
    for name, value in deployments.headers().items():
        connection.putheader(name, value)
    connection.putheader("Content-Length", "100")
    connection.endheaders()
    connection.send(b"{")
    response = connection.getresponse()
    found = http_support.Answer(response.status, {}, response.read())
    connection.close()
    check(found, status, slug)


@behave.then('a body "{body}" is answered with {status:d}, "{slug}"')
def step_wrong(context, body, status, slug):
    check(ask(context, body.encode()), status, slug)


@behave.then('an unknown model is answered with {status:d}, "{slug}"')
def step_unknown(context, status, slug):
    check(ask(context, completion("nobody")), status, slug)


@behave.then('an unknown kind is answered with {status:d}, "{slug}"')
def step_unknown_kind(context, status, slug):
    kind = {"Gypsumfold-Kind": "nothing"}
    check(ask(context, completion("dispatch-lm"), **kind), status, slug)


@behave.when(
    'the adapter "{adapter}" and the default version "{version}" are declared'
)
def step_declare(context, adapter, version):
    model = deployments.MODEL
    fields = {"model": model}
    text = deployments.create("adapter", f"{model}:{adapter}", fields)
    fields = {"model": model, "default": True}
    text += deployments.create("version", f"{model}@{version}", fields)
    context.fleet.apply(text)


@behave.then('asking for "{model}" has engines run "{name}"')
def step_runs(context, model, name):
    answer = ask(context, completion(model))
    assert answer.status == 200, answer
    ran = context.engine.test("dispatches")[-1]
    assert ran["model"] == name, ran


@behave.then('asking for "{model}" is answered with {status:d}')
def step_not_there(context, model, status):
    check(ask(context, completion(model)), status, "not-found")


@behave.given("slow engines")
def step_slow_engines(context):
    context.engine.faults(slow=50.0)


@behave.when("a caller leaves in the middle of its stream")
def step_leaves(context):
    body = {**completion("dispatch-lm"), "max_tokens": 60, "stream": True}
    connection, response = http_support.open_request(
        "POST", context.node.url + PATH, body, deployments.headers()
    )
    events = http_support.events(response)
    first = json.loads(next(events).data)
    assert first["choices"], first
    response.close()
    connection.close()


@behave.then("the engine's dispatch is cancelled")
def step_cancelled(context):
    def cancelled():
        (ran,) = context.engine.test("dispatches")
        return ran["state"] == "cancelled"

    context.fleet.until(cancelled, message="the dispatch goes on")
