"""Steps that hold a node between two steps of a keyed call and strike it."""

import concurrent.futures
import time

import behave
from features.support import calling
from features.support import deployments
from features.support import http


class Place:
    """A point between two steps of a keyed call, where it can be held.

    Attributes:
        hold: Arranges that entry-1 stops there.
        reached: Whether it is there.
        let_go: Ends what `hold` did.
    """

    def __init__(self, hold, reached, let_go):
        self.hold = hold
        self.reached = reached
        self.let_go = let_go


def places(context) -> dict[str, Place]:
    """Lists the places by what entry-1 is doing there."""
    host = context.fleet["entry-1"].host
    log = context.log
    first, second = context.services

    def log_holds(match: str) -> Place:
        before = log.record()["held"]
        return Place(
            lambda: log.hold(match, host),
            lambda: log.record()["held"] > before,
            lambda: log.release(host),
        )

    def hold_reads() -> None:
        before = log.record()["held"]
        log.hold("GET /streams/claims", host)
        context.fleet.until(lambda: log.record()["held"] > before, 20.0)

    def held_bodies() -> int:
        return first.record()["held"] + second.record()["held"]

    def hold_services(match: str) -> None:
        first.hold(match, host)
        second.hold(match, host)

    def release_services() -> None:
        first.release(host)
        second.release(host)

    def all_services(**faults) -> None:
        for name in calling.SERVICES:
            context.fleet[name].faults(**faults)

    heads = held_bodies()
    return {
        "appending the claim": log_holds(f'"{context.key}"'),
        "reading it back": Place(
            hold_reads,
            lambda: any(
                context.key in fields
                for fields in calling.claim_records(context, "claim")
            ),
            lambda: log.release(host),
        ),
        "sending the head": Place(
            lambda: hold_services("POST /calls/"),
            lambda: held_bodies() > heads,
            release_services,
        ),
        "sending the body": Place(
            lambda: hold_services(context.body),
            lambda: held_bodies() > heads,
            release_services,
        ),
        "waiting for the answer": Place(
            lambda: all_services(seconds=1.0),
            lambda: calling.executions(context, context.body),
            lambda: all_services(seconds=0.0),
        ),
        "appending the outcome": log_holds(f'"{context.key}","complete"'),
    }


def strike(context, fault: str) -> None:
    host = context.fleet["entry-1"].host
    node = context.fleet["entry-1"]
    if fault == "killed":
        node.kill()
    if fault.startswith("frozen"):
        node.freeze()
    if fault == "cut off":
        context.log.cut(host)
        for proxy in context.services:
            proxy.cut(host)
    if fault == "delayed":
        context.log.delay(0.2, host)
        for proxy in context.services:
            proxy.delay(0.2, host)


def recover(context, fault: str) -> None:
    node = context.fleet["entry-1"]
    if fault == "killed":
        node.restart()
        node.until_ready("/ready")
    if fault.startswith("frozen"):
        node.thaw()
    context.log.heal()
    for proxy in context.services:
        proxy.heal()
    context.fleet.until(lambda: well(context))


def well(context) -> bool:
    """Whether entry-1 serves keyed calls again."""
    key = calling.new_key()
    found = calling.call(context, "entry-1", f"probe {key}", key)
    return bool(calling.complete(found))


@behave.when(
    "entry-1 is {fault} at each step of a keyed call and it is repeated"
)
def step_strike(context, fault):
    context.fleet.apply('alter kind "tug" set deadline = 6;')
    context.ends = {}
    for name in PLACES_OF.get(fault, PLACES):
        context.body = f"{fault} {name}"
        context.key = calling.new_key()
        with concurrent.futures.ThreadPoolExecutor(2) as pool:
            answers = strike_at(context, fault, name, pool)
        last = calling.call(context, "entry-3", context.body, context.key)
        answers.append(last)
        said = [calling.outcome(answer) for answer in answers]
        context.ends[name] = (*said, calling.executions(context, context.body))


def strike_at(context, fault, name, pool) -> list[http.Answer | None]:
    place = places(context)[name]
    place.hold()
    ask = (calling.call, context, "entry-1", context.body, context.key)
    first = pool.submit(*ask)
    context.fleet.until(place.reached, 20.0, f"never {name}")
    strike(context, fault)
    second = pool.submit(calling.call, context, "entry-2", *ask[3:])
    if fault != "delayed":
        second.result()
    if fault == "frozen past the deadline":
        time.sleep(6.5)
    place.let_go()
    recover(context, fault)
    return [first.result(), second.result()]


# What is told at once by entry-1 and entry-2, then by entry-3 when all is
# well again, and how often the call ran. None: depends on timing.
NOTHING_RAN = ("", "undetermined", "undetermined", 0)
RAN_UNHEARD = ("", "undetermined", "undetermined", 1)
WOKE = ("complete", "undetermined", "complete", 1)
ALL = ("complete", "complete", "complete", 1)
# On waking, the claim's time limit and its reading come in either order:
# given up and run by the repeat, or won, too late, and closed.
EITHER = (
    ("undetermined", "undetermined", "complete", 1),
    ("not-run", "undetermined", "not-run", 0),
)
ENDS = {
    "killed": {
        "appending the claim": ("", "complete", "complete", 1),
        "reading it back": NOTHING_RAN,
        "sending the head": NOTHING_RAN,
        "sending the body": RAN_UNHEARD,
        "waiting for the answer": RAN_UNHEARD,
        "appending the outcome": ("complete", "undetermined", "complete", 1),
    },
    "frozen": {
        "appending the claim": ALL,
        "reading it back": WOKE,
        "sending the head": WOKE,
        "sending the body": WOKE,
        "waiting for the answer": WOKE,
        "appending the outcome": WOKE,
    },
    "frozen past the deadline": {
        "reading it back": EITHER,
        "sending the head": ("not-run", "undetermined", "not-run", 0),
    },
}
PLACES = tuple(ENDS["killed"])
PLACES_OF = {
    "frozen past the deadline": ("reading it back", "sending the head"),
}


@behave.then("the repeats have ended as they should when a node is {fault}")
def step_ends(context, fault):
    print(context.ends)
    for name, end in ENDS.get(fault, {}).items():
        ends = EITHER if end is EITHER else (end,)
        assert context.ends[name] in ends, (name, context.ends[name], end)


@behave.then("no keyed call ran twice and none ran that was said not to have")
def step_promises(context):
    assert context.told
    for body, said in context.told:
        ran = calling.executions(context, body)
        assert ran <= 1, (body, said, ran)
        assert ran == 0 or said != "not-run", (body, said, ran)


@behave.when("entry-1 freezes before its claim and entry-2 refuses the call")
def step_sleeper(context):
    node = context.fleet["entry-1"]
    context.key = calling.new_key()
    context.body = "slept through"
    place = places(context)["appending the claim"]
    place.hold()
    context.pool = concurrent.futures.ThreadPoolExecutor(1)
    ask = (calling.call, context, "entry-1", context.body, context.key)
    context.first = context.pool.submit(*ask)
    context.fleet.until(place.reached, 20.0, "no claim is held")
    node.freeze()
    calling.all_leave(context, True)
    context.fleet.apply(
        'alter kind "tug" set deadline = 1;', context.fleet["entry-2"]
    )
    context.second = calling.call(context, "entry-2", *ask[3:])
    calling.all_leave(context, False)
    # The proxy lets the claim go to the log, which was held on its way.
    place.let_go()
    until_recorded_from(context, "entry-1", context.key)
    node.thaw()


def until_recorded_from(context, node: str, key: str) -> None:
    def found() -> bool:
        claims = calling.claim_records(context, "claim")
        return any(c[0].startswith(node) and key in c for c in claims)

    context.fleet.until(found, message=f"no claim of {node}")


@behave.then('entry-2 has told "{word}"')
def step_second_told(context, word):
    assert calling.outcome(context.second) == word, context.second


@behave.then('entry-1 wakes to a service that is back and tells "{word}"')
def step_sleeper_told(context, word):
    found = context.first.result()
    context.pool.shutdown()
    assert calling.outcome(found) == word, found


@behave.then("nothing of the call ran")
def step_nothing_ran(context):
    assert calling.executions(context, context.body) == 0


@behave.when(
    "{count:d} keyed calls of two seconds come at once with a deadline of 3"
)
def step_overload(context, count):
    context.fleet.apply('alter kind "tug" set deadline = 3;')
    # One replica: a first wave is answered, a second begins too late.
    context.fleet["ramp-2"].faults(leaving=True)
    context.fleet["ramp-1"].faults(seconds=2.0)
    deployments.until_closed(context.fleet, "ramp-2", 20.0)
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        for number in range(count):
            node = calling.NODES[number % 3]
            ask = (context, node, f"overload {number}", calling.new_key())
            pool.submit(calling.call, *ask)
    # What the service has begun ends, whatever its caller was told.
    for name in calling.SERVICES:
        context.fleet.until(
            lambda name=name: (
                not http.get(f"{context.fleet[name].url}/health").json()[
                    "running"
                ]
            )
        )


@behave.then('some were answered and some were told "{word}"')
def step_overload_told(context, word):
    words = {said for _, said in context.told}
    assert {"complete", word} <= words, words
