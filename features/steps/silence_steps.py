"""Steps on silent connections and on engines and peers that are well."""

import threading

import behave
from features.support import deployments
from features.support import fleets

from gypsumfold_standins import tokens

# The engine's steps are slowed to this many times their length, so that a
# long answer takes several times the idle limit of 0.5 s.
SLOW = 100.0
LONG = 50
SHORT = 20
IDLE = {"poll": 0.1, "idle_timeout": 0.5}


def prompt(text: str, least: int, most: int) -> str:
    """Makes a prompt whose answer's length is within bounds."""
    while True:
        messages = deployments.messages(text)
        length = len(tokens.answer(deployments.MODEL, messages, 100))
        if least <= length <= most:
            return text
        text += "."


def ask_all(context, contents) -> None:
    """Asks for several answers at once and waits for all."""
    context.answers = []
    node = context.fleet["entry-1"]

    def ask(content):
        context.answers.append(deployments.complete(node, content))

    threads = [threading.Thread(target=ask, args=(c,)) for c in contents]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@behave.given("an engine that runs one sequence at a time, and a node")
def step_one_at_a_time(context):
    fleet = context.fleet = fleets.Fleet("silence")
    fleet.start_platform()
    # KV cache for one sequence only; more wait in the engine's own queue.
    fleet.start_engine("lm-1", kv=1).faults(slow=SLOW, load_lag=0.0)
    fleet.start_node("entry-1", endpoints=IDLE)
    deployments.declare(fleet)


@behave.when("two long answers and a short one are asked for at once")
def step_two(context):
    long, short = prompt("long", LONG, 99), prompt("short", 1, SHORT)
    ask_all(context, [long, short, prompt("third", LONG, 99)])


@behave.then("all answers are whole, each by its first dispatch")
def step_first_dispatch(context):
    for answer in context.answers:
        assert answer.right, answer
    records = context.fleet["lm-1"].test("dispatches")
    states = [record["state"] for record in records]
    assert states == ["done"] * 3, records


@behave.given("two engines, of which one is stuck, and a node")
def step_stuck(context):
    fleet = context.fleet = fleets.Fleet("silence")
    fleet.start_platform()
    for name in ("lm-1", "lm-2"):
        fleet.start_engine(name)
    fleet.start_node("entry-1", endpoints=IDLE)
    deployments.declare(fleet)
    fleet["lm-1"].faults(stuck=True)


@behave.when("{count:d} answers are asked for at once")
def step_answers(context, count):
    ask_all(context, [f"question {number}" for number in range(count)])


@behave.then("all answers are whole, from the engine that is not stuck")
def step_not_stuck(context):
    for answer in context.answers:
        assert answer.right, answer
    records = context.fleet["lm-2"].test("dispatches")
    done = [record for record in records if record["state"] == "done"]
    assert len(done) == len(context.answers), records


@behave.given("two nodes with a fault proxy between them")
def step_nodes(context):
    fleet = context.fleet = fleets.Fleet("silence")
    fleet.start_platform()
    first, second = fleet.start_nodes("entry-1", "entry-2")
    context.between = fleet.proxy(second)
    # The list names the proxy, so the first node speaks to the second
    # through it, as soon as the second's own address is not a seed.
    context.first, context.second = first, second
    fleet.vms["entry-2"]["address"] = context.between.host
    fleet.publish_vms()
    fleet.until(lambda: context.between.record()["connections"])
    fleet.until(lambda: hears(context, first, "entry-2"))


def hears(context, node, name: str) -> bool:
    """Whether a node has heard of a peer within the last second."""
    text = f'show nodes where name = "{name}" and heard < 0.5'
    answer = context.fleet.operate("/v1/queries", {"text": text}, node)
    return bool(answer.json()["rows"])


@behave.when("the open connections between the nodes go silent for good")
def step_silent(context):
    context.lost = [len(n.events(501)) for n in (context.first, context.second)]
    context.before = context.between.record()["connections"]
    context.between.silence()


@behave.then("each node hears of the other again, on fresh connections")
def step_heard(context):
    before = context.between.record()["bytes"]
    context.fleet.until(
        lambda: context.between.record()["bytes"] > before + 1000
    )
    context.fleet.until(lambda: hears(context, context.first, "entry-2"))
    context.fleet.until(lambda: hears(context, context.second, "entry-1"))


@behave.then("no node logs that it lost its peer")
def step_not_lost(context):
    lost = [len(n.events(501)) for n in (context.first, context.second)]
    assert lost == context.lost, context.first.events(501)


@behave.when('node "{name}" is paused')
def step_paused(context, name):
    context.lost = [len(n.events(501)) for n in (context.first, context.second)]
    context.fleet[name].freeze()


@behave.when('node "{name}" goes on')
def step_goes_on(context, name):
    context.fleet[name].thaw()


@behave.then('node "{name}" logs that it lost its peer')
def step_lost(context, name):
    node = context.fleet[name]
    context.fleet.until(lambda: len(node.events(501)) > context.lost[0])
