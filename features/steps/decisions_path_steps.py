"""Steps on the decisions, through real processes."""

import threading
import time

import behave
from features.support import deployments
from features.support import fleets
from features.support import http

PROMPT = "a long briefing " * 100


@behave.given("a node before an engine for prefill and one for decoding")
def step_fleet(context):
    fleet = context.fleet = fleets.Fleet("decisions", seed=1)
    fleet.start_platform()
    for role in ("prefill", "decode"):
        fleet.start_engine(role, speed=10.0, role=role)
    context.node = fleet.start_node("entry-1")
    create = deployments.create
    text = create("service", deployments.ENGINES, {"protocol": "engine"})
    text += create("model", deployments.MODEL, {"service": deployments.ENGINES})
    digest = fleets.sha256(deployments.TOKEN)
    text += create("account", deployments.ACCOUNT, {"token_sha256": digest})
    for role in ("prefill", "decode"):
        fields = {
            "service": deployments.ENGINES,
            "address": fleet[role].address,
            "data_centre": "north-apron",
            "role": role,
        }
        text += create("endpoint", role, fields)
    fleet.apply(text)
    deployments.until_open(fleet, "prefill", "decode")


@behave.given("the engine for prefill refuses to export")
def step_refuse(context):
    url = f"{context.fleet['prefill'].url}/_test/faults"
    assert http.post(url, {"refuse_exports": True}).status == 200


@behave.given("the account may use {rate:d} tokens a second")
def step_limit(context, rate):
    context.fleet.apply(
        f'alter account "{deployments.ACCOUNT}" set tokens_per_second = {rate};'
    )


@behave.when("a caller asks it for a long streamed answer")
def step_ask(context):
    context.answer = deployments.complete(context.node, PROMPT)


@behave.then("the answer is whole and exact")
def step_exact(context):
    assert context.answer.right, context.answer


@behave.then("the decoding engine took the KV cache over from the other")
def step_moved(context):
    fleet = context.fleet
    url = f"{fleet['decode'].url}/_test/dispatches"
    (record,) = http.get(url).json()
    assert record["prefill_from"] == fleet["prefill"].address, record
    assert record["prior"] == 1, record
    first = http.get(f"{fleet['prefill'].url}/_test/dispatches").json()
    assert [one["id"] for one in first] == [record["id"]], first


@behave.when("the caller sends {count:d} requests one after the other")
def step_many(context, count):
    context.answers = []
    for number in range(count):
        content = f"{number} {PROMPT}"
        context.answers.append(deployments.complete(context.node, content))


@behave.then(
    "some are whole and the rest refused as not run, with when to come back"
)
def step_refused(context):
    right = [one for one in context.answers if one.right]
    refused = [one for one in context.answers if one.status == 429]
    assert right and refused, context.answers
    assert len(right) + len(refused) == len(context.answers), context.answers
    for one in refused:
        assert one.outcome == "not-run", one
        assert int(one.headers["retry-after"]) >= 1, one


@behave.given("a planning node before two slow mixed engines")
def step_planning(context):
    fleet = context.fleet = fleets.Fleet("planning", seed=1)
    fleet.start_platform()
    for name in ("lm-1", "lm-2"):
        fleet.start_engine(name, speed=0.2)
    context.node = fleet.start_node("entry-1")
    deployments.declare(fleet)
    fleet.apply(
        f'alter service "{deployments.ENGINES}"'
        " set planner = true, change_weight = 0.0;"
    )


@behave.when("callers keep asking for more prompt tokens than both can process")
def step_ask_much(context):
    fleet = context.fleet

    def ordered():
        orders = []
        for name in ("lm-1", "lm-2"):
            orders += http.get(f"{fleet[name].url}/_test/orders").json()
        return orders

    def ask(number):
        content = f"{number} " + PROMPT * 6
        deployments.complete(context.node, content, max_tokens=12)

    callers = []
    limit = time.monotonic() + fleets.LIMIT
    while not ordered() and time.monotonic() < limit:
        caller = threading.Thread(target=ask, args=(len(callers),))
        caller.start()
        callers.append(caller)
        time.sleep(0.4)
    context.orders = ordered()
    fleet["entry-1"].kill()
    for caller in callers:
        caller.join()


@behave.then("one engine alone is ordered into the prefill role")
def step_ordered(context):
    (order,) = context.orders
    assert order["verb"] == "role", order
    assert order["arguments"]["role"] == "prefill", order
