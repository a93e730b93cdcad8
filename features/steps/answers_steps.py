"""Steps on whole answers under failing streams."""

import collections
from concurrent import futures
import json

import behave
from features.support import deployments
from features.support import fleets
from features.support import http

from gypsumfold_standins import tokens

MAX_TOKENS = 40


def start(context, engines, nodes, speed):
    fleet = context.fleet = fleets.Fleet("answers")
    fleet.start_platform()
    for number in range(engines):
        fleet.start_engine(f"lm-{number}", speed=speed)
    names = [f"entry-{number}" for number in range(nodes)]
    fleet.start_nodes(*names)
    deployments.declare(fleet)


def engines_of(fleet):
    return [fleet[name] for name in sorted(fleet.endpoints)]


@behave.given("answers from {engines:d} engines through {nodes:d} node")
def step_start(context, engines, nodes):
    start(context, engines, nodes, speed=10.0)


@behave.given("answers from {engines:d} slow engines through {nodes:d} nodes")
def step_start_slow(context, engines, nodes):
    start(context, engines, nodes, speed=0.5)


@behave.given("the next {count:d} streams of each engine are {fault}")
def step_fault(context, count, fault):
    for engine in engines_of(context.fleet):
        engine.faults(**{fault: count})


@behave.given("each engine's events are late by {seconds:f} seconds")
def step_late(context, seconds):
    for engine in engines_of(context.fleet):
        engine.faults(late=seconds, load_lag=1.0)


@behave.given('the engine "{name}" crashes at token {index:d}')
def step_crash(context, name, index):
    context.fleet[name].faults(at=index, crash_at=True)


@behave.given('the kind "{kind}" may not be repeated')
def step_kind(context, kind):
    fields = {
        "service": deployments.ENGINES,
        "urgency": 1,
        "repeatable": False,
    }
    context.fleet.apply(deployments.create("kind", kind, fields))


@behave.when("{count:d} callers ask for streamed answers at once")
def step_ask(context, count):
    ask(context, count, {})


@behave.when(
    '{count:d} callers ask for streamed answers of kind "{kind}" at once'
)
def step_ask_kind(context, count, kind):
    ask(context, count, {"Gypsumfold-Kind": kind})


def ask(context, count, extra):
    node = next(iter(context.fleet.nodes.values()))

    def one(number):
        prompt = f"caller {number} asks"
        return deployments.complete(node, prompt, MAX_TOKENS, **extra)

    with futures.ThreadPoolExecutor(count) as pool:
        context.answers = list(pool.map(one, range(count)))


@behave.then(
    "each of the {count:d} answers is whole, exact and its caller's own"
)
def step_exact(context, count):
    assert len(context.answers) == count
    for found in context.answers:
        assert found.right and found.outcome == "complete", found


@behave.then('each answer is whole and exact or its outcome is not "{word}"')
def step_honest(context, word):
    for found in context.answers:
        if found.right:
            continue
        assert found.outcome and found.outcome != word, found


def dispatches(fleet):
    """All dispatches of the engines that still run."""
    found = []
    for engine in engines_of(fleet):
        if engine.alive:
            found.extend(engine.test("dispatches"))
    return found


@behave.then("each engine ran each dispatch once")
def step_once(context):
    ids = collections.Counter(d["id"] for d in dispatches(context.fleet))
    assert max(ids.values()) == 1, ids


@behave.then("no prompt was dispatched twice")
def step_not_twice(context):
    ran = len(dispatches(context.fleet))
    whole = sum(found.right for found in context.answers)
    # Those of the crashed engine are not whole; the other ran the whole ones.
    assert ran <= whole + sum(
        found.status == 200 and not found.whole for found in context.answers
    ), (ran, whole)
    for found in context.answers:
        assert (
            found.right
            or found.text == ""
            or found.expected.startswith(found.text)
        ), found


@behave.when("a caller's node is killed after {count:d} events")
def step_kill_node(context, count):
    fleet = context.fleet
    first, context.other = fleet.nodes.values()
    context.body = {
        "model": deployments.MODEL,
        "messages": deployments.messages("resume me"),
        "max_tokens": MAX_TOKENS,
        "stream": True,
    }
    url = f"{first.url}/v1/chat/completions"
    connection, response = http.open_request(
        "POST", url, context.body, deployments.headers(), timeout=60.0
    )
    assert response.status == 200
    context.received = ""
    seen = 0
    try:
        for event in http.events(response):
            context.last = event.id
            context.received += content_of(event)
            seen += 1
            if seen == count:
                first.kill()
    except http.Gone:
        pass
    connection.close()
    assert seen >= count


def content_of(event):
    """The text that one event adds."""
    if event.data == "[DONE]":
        return ""
    choices = json.loads(event.data).get("choices", [])
    return "".join(c["delta"].get("content", "") for c in choices)


def resume(context, node, last):
    extra = {"Last-Event-ID": last}
    return http.open_request(
        "POST",
        f"{node.url}/v1/chat/completions",
        context.body,
        deployments.headers(**extra),
        timeout=60.0,
    )


@behave.when("the caller sends its last event's id to the other node")
def step_resume(context):
    connection, response = resume(context, context.other, context.last)
    assert response.status == 200, response.status
    context.done = False
    for event in http.events(response):
        context.received += content_of(event)
        context.done = context.done or event.data == "[DONE]"
    connection.close()


@behave.then("both parts together are the whole and exact answer")
def step_joined(context):
    expected = deployments.expected_text("resume me", MAX_TOKENS)
    assert context.done
    assert context.received == expected, (context.received, expected)


@behave.when('a caller sends "{text}" as its last event\'s id')
def step_forged(context, text):
    node = next(iter(context.fleet.nodes.values()))
    context.body = {
        "model": deployments.MODEL,
        "messages": deployments.messages("forged"),
        "stream": True,
    }
    _, context.response = resume(context, node, text)


@behave.then('it gets status {status:d} and the outcome "{word}"')
def step_status(context, status, word):
    found = context.response
    assert found.status == status, found.status
    assert found.getheader("Gypsumfold-Outcome") == word


@behave.given("briefings are worth nothing after a second")
def step_short(context):
    context.fleet.apply('alter kind "briefing" set deadline = 1;')


@behave.given("both engines refuse all dispatches")
def step_refuse(context):
    context.fleet.apply('alter kind "briefing" set deadline = 3;')
    for engine in engines_of(context.fleet):
        engine.faults(refused=10000)


@behave.given("one engine refuses, the other is frozen")
def step_refuse_and_freeze(context):
    context.fleet.apply('alter kind "briefing" set deadline = 3;')
    first, second = engines_of(context.fleet)
    first.faults(refused=10000)
    second.freeze()


@behave.then('some answers say "{word}" and no engine has a dispatch of those')
def step_none_ran(context, word):
    for engine in engines_of(context.fleet):
        if engine.frozen:
            engine.thaw()
    # What was sent to a frozen engine arrives before this request.
    ran = {record["seed"] for record in dispatches(context.fleet)}
    said = 0
    for number, found in enumerate(context.answers):
        if found.outcome != word:
            continue
        said += 1
        prompt = deployments.messages(f"caller {number} asks")
        assert tokens.seed(deployments.MODEL, prompt) not in ran, found
    assert said, [found.outcome for found in context.answers]
