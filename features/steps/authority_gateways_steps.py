"""Steps on the authority over engines and on engines that go silent."""

import threading

import behave
from features.support import gateway_calls as callers
from features.support import gateways
from features.support import http

from gypsumfold.platform import names

ENGINES = tuple(f"engine-{number}" for number in range(1, 7))


@behave.given("a store and six engines of which four generate")
def step_six(context):
    start_six(context, 0.5)


@behave.given(
    "a store and six engines of which four generate, whose change takes "
    "{seconds:d} seconds"
)
def step_six_slow(context, seconds):
    start_six(context, seconds)


def start_six(context, switch):
    """Starts the store and the engines; a change of role takes so long."""
    context.fleet = gateways.GatewayFleet()
    context.fleet.start_store()
    wanted = [("app-1", "app", "")]
    for number, name in enumerate(ENGINES):
        wanted.append((name, "lm", "prefill" if number < 2 else "decode"))
    context.fleet.start_replicas(wanted, switch)


@behave.given("each engine loses the answer to its next order")
def step_lost_orders(context):
    for name in ENGINES:
        context.fleet[name].faults(orders_lost=1)


@behave.given("two ready gateways")
def step_two(context):
    for name in ("edge-1", "edge-2"):
        context.fleet.start_gateway(name, first_start=True)


def decoders(context):
    """The engines that generate by now and are not silent."""
    found = []
    for name, stage in context.fleet.stages().items():
        if stage == "decode" and name != getattr(context, "silent", ""):
            found.append(name)
    return found


@behave.given("in the end one engine generates and five read prompts")
@behave.then("in the end one engine generates and five read prompts")
def step_split(context):
    gateways.until(
        lambda: len(decoders(context)) == 1, "the split is not reached"
    )


@behave.when("callers ask for streams until one engine generates")
def step_ask_meanwhile(context):
    context.gateway = context.fleet["edge-1"]

    def is_split():
        callers.stream(context, "/briefs/1", "aa:4000,bb:300")
        return len(decoders(context)) == 1

    gateways.until(is_split, "the split is not reached under streams")


@behave.then("no engine got a request while it changed its role")
def step_none_while_busy(context):
    for name in ENGINES:
        record = context.fleet[name].test("record")
        assert record["orders"] or not record["while_busy"], record
        assert not record["while_busy"], (name, record["while_busy"])


@behave.then("every order bears a token, the earlier orders and one holder")
def step_orders(context):
    holders = set()
    for name in ENGINES:
        for order in context.fleet[name].test("record")["orders"]:
            assert order["fence"] > 0, order
            assert order["expected"] == 0, order
            holders.add(order["holder"])
    assert len(holders) == 1, holders


@behave.then("no engine carried out more than one order")
def step_one_order(context):
    for name in ENGINES:
        orders = context.fleet[name].test("record")["orders"]
        assert len({order["expected"] for order in orders}) <= 1, orders


def holder(context):
    """The gateway that the store names."""
    member = context.fleet["store"].test("record")["members"][0]
    return member.rpartition("-")[0]


@behave.when(
    "the holder is frozen until the other may give orders, and the "
    "generating engine goes silent"
)
def step_freeze(context):
    context.frozen = holder(context)
    context.fleet[context.frozen].freeze()
    (other,) = {"edge-1", "edge-2"} - {context.frozen}
    gateways.until(
        lambda: context.fleet[other].events(610),
        "the other does not take over",
    )
    context.gateway = context.fleet[other]
    silence_decoder(context)
    ask_beside(context)
    gateways.until(lambda: len(decoders(context)) == 1, "no engine takes over")


@behave.when("the holder wakes")
def step_wake(context):
    process = context.fleet[context.frozen]
    before = len(process.events(611))
    process.thaw()
    gateways.until(
        lambda: len(process.events(611)) > before, "it does not step down"
    )


@behave.then("no engine got a lower token after a higher one")
def step_tokens(context):
    for name in ENGINES:
        orders = context.fleet[name].test("record")["orders"]
        tokens = [order["fence"] for order in orders]
        assert tokens == sorted(tokens), (name, tokens)


def silence_decoder(context):
    """Makes the generating engine silent; its entry stays."""
    (name,) = decoders(context)
    context.silent = name
    context.fleet[name].faults(silent=True)


def ask_beside(context):
    """Asks for streams in turn, beside the scenario, and keeps the ends."""
    ends = context.ends = []
    base = context.gateway.url

    def ask() -> None:
        for number in range(12):
            sent = gateways.headers(4.0, f"aa:4000,b{number:x}:300", True)
            try:
                answer = http.request("POST", base + "/briefs/1", b"p", sent)
            except http.Gone:
                ends.append((0, {}))
                continue
            ends.append((answer.status, answer.headers))

    context.thread = threading.Thread(target=ask, daemon=True)
    context.thread.start()


@behave.when("the generating engine goes silent under a request")
def step_silent(context):
    context.gateway = context.fleet["edge-1"]
    silence_decoder(context)
    ask_beside(context)


@behave.when("the generating engine is killed under requests")
def step_killed(context):
    context.gateway = context.fleet["edge-1"]
    (name,) = decoders(context)
    context.fleet.crash(name)
    ask_beside(context)


@behave.then("another engine generates in the end")
def step_other(context):
    gateways.until(lambda: len(decoders(context)) == 1, "no engine takes over")


@behave.then(
    "a caller that came meanwhile was served or told when to come back"
)
def step_ends(context):
    context.thread.join()
    statuses = [status for status, _ in context.ends]
    # The first one was on the engine when it went silent.
    for status, headers in context.ends[1:]:
        assert status in (200, 503), statuses
        if status == 503:
            assert names.RETRY_AFTER.lower() in headers, headers
    assert 200 in statuses, statuses


@behave.when("all gateways are killed and started again")
def step_restart(context):
    for name in ("edge-1", "edge-2"):
        context.fleet[name].kill()
    for name in ("edge-1", "edge-2"):
        context.fleet[name].restart()
    for name in ("edge-1", "edge-2"):
        context.fleet.until_ready(name)


@behave.then("callers of streams and plain calls are served")
def step_all_served(context):
    for name in ("edge-1", "edge-2"):
        context.gateway = context.fleet[name]
        answer = callers.call(context, "POST", "/seats/7", b"hold")
        callers.sealed(context.sent, answer)
        callers.stream(context, "/briefs/1", "aa:4000,bb:300")
        assert len(context.events) == 5 and not context.cut, context.events
