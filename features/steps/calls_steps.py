"""Steps on keyed calls through real processes."""

import concurrent.futures
import json
import time
import uuid

import behave
from features.support import deployments
from features.support import fleets
from features.support import http
import uuid6

KEY = "Idempotency-Key"
NODES = ("entry-1", "entry-2", "entry-3")
CLAIMS = "claims"


def new_key() -> str:
    return str(uuid6.uuid7())


def key_of_age(seconds: float) -> str:
    stamp = int((time.time() - seconds) * 1000) << 80
    return str(uuid.UUID(int=stamp | 7 << 76 | 2 << 62 | 5))


def outcome(answer: http.Answer | None) -> str:
    return "" if answer is None else answer.headers["gypsumfold-outcome"]


def call(context, node: str, body: str, key: str = "") -> http.Answer | None:
    extra = {KEY: key} if key else {}
    found = deployments.call(context.fleet[node], body, **extra)
    context.told.append((body, outcome(found)))
    if outcome(found) == "complete":
        assert found.body == deployments.expected_call(body), found
    return found


def executions(context, body: str) -> int:
    found = 0
    for name in ("ramp-1", "ramp-2"):
        for record in context.fleet[name].test("dispatches"):
            found += record["body"] == body
    return found


def claim_records(context, kind: str) -> list:
    found = []
    streams = context.fleet["log"].test("records")["streams"]
    for entry in streams.get(CLAIMS, []):
        for name, fields in json.loads(entry["body"]):
            if name == kind:
                found.append(fields)
    return found


def until_recorded(context, kind: str, key: str) -> None:
    context.fleet.until(
        lambda: any(key in fields for fields in claim_records(context, kind)),
        message=f"no {kind} of {key}",
    )


@behave.given("a fleet for keyed calls")
def step_fleet(context):
    start_fleet(context)


@behave.given("a fleet for keyed calls whose log may take {seconds:d} seconds")
def step_fleet_patient(context, seconds):
    start_fleet(context, timeout=float(seconds))


def start_fleet(context, **platform: float) -> None:
    fleet = context.fleet = fleets.Fleet("calls")
    context.told = []
    fleet.start_platform()
    fleet.start_service("ramp-1", "north-apron")
    fleet.start_service("ramp-2", "north-apron")
    # entry-1 reaches the log and the services through proxies.
    context.log = fleet.proxy(fleet["log"])
    proxies = [fleet.proxy(fleet[name]) for name in ("ramp-1", "ramp-2")]
    context.services = proxies
    for name in NODES:
        fleet.add_vm(name, "north-apron", "entry")
    proxied = {**platform, "log": context.log.url}
    fleet.start_node("entry-1", wait=False, platform=proxied)
    fleet.start_node("entry-2", wait=False, platform=platform)
    fleet.start_node("entry-3", wait=False, platform=platform)
    for name in NODES:
        fleet[name].until_ready("/ready")
    deployments.declare(
        fleet, ramp_1=proxies[0].address, ramp_2=proxies[1].address
    )


@behave.when("a keyed call through entry-1 is answered and entry-1 is killed")
def step_answered(context):
    context.key = new_key()
    context.body = "tug once"
    context.answer = call(context, "entry-1", context.body, context.key)
    assert outcome(context.answer) == "complete", context.answer
    until_recorded(context, "claim-outcome", context.key)
    context.fleet["entry-1"].kill()


@behave.then("its repeat through entry-2 gets the same answer")
def step_repeat(context):
    found = call(context, "entry-2", context.body, context.key)
    assert found.body == context.answer.body, found
    assert outcome(found) == "complete", found


@behave.then("a node that starts afterwards gives the same answer")
def step_later(context):
    context.fleet["entry-1"].restart()
    context.fleet["entry-1"].until_ready("/ready")
    found = context.fleet.until(
        lambda: complete(call(context, "entry-1", context.body, context.key))
    )
    assert found.body == context.answer.body, found


def complete(answer: http.Answer | None) -> http.Answer | None:
    return answer if outcome(answer) == "complete" else None


@behave.then("the call ran once")
def step_once(context):
    bodies = {body for body, _ in context.told}
    for body in bodies:
        assert executions(context, body) == 1, body


@behave.when(
    "{keys:d} keyed calls are made {times:d} times each through all nodes "
    "at once"
)
def step_at_once(context, keys, times):
    jobs = []
    for number in range(keys):
        key = new_key()
        for turn in range(times):
            jobs.append((NODES[turn % 3], f"at once {number}", key))
    with concurrent.futures.ThreadPoolExecutor(len(jobs)) as pool:
        waiting = [pool.submit(call, context, *job) for job in jobs]
        context.answers = [each.result() for each in waiting]


@behave.then("all of their answers are exact and each call ran once")
def step_exact(context):
    assert all(complete(each) for each in context.answers), context.told
    step_once(context)


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
        for name in ("ramp-1", "ramp-2"):
            context.fleet[name].faults(**faults)

    heads = held_bodies()
    return {
        "appending the claim": log_holds(f'"{context.key}"'),
        "reading it back": Place(
            hold_reads,
            lambda: any(
                context.key in fields
                for fields in claim_records(context, "claim")
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
            lambda: executions(context, context.body),
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
    key = new_key()
    return bool(complete(call(context, "entry-1", f"probe {key}", key)))


@behave.when(
    "entry-1 is {fault} at each step of a keyed call and it is repeated"
)
def step_strike(context, fault):
    context.fleet.apply('alter kind "tug" set deadline = 6;')
    context.ends = {}
    for name in PLACES_OF.get(fault, PLACES):
        context.body = f"{fault} {name}"
        context.key = new_key()
        with concurrent.futures.ThreadPoolExecutor(2) as pool:
            answers = strike_at(context, fault, name, pool)
        answers.append(call(context, "entry-3", context.body, context.key))
        said = [outcome(answer) for answer in answers]
        context.ends[name] = (*said, executions(context, context.body))


def strike_at(context, fault, name, pool) -> list[http.Answer | None]:
    place = places(context)[name]
    place.hold()
    ask = (call, context, "entry-1", context.body, context.key)
    first = pool.submit(*ask)
    context.fleet.until(place.reached, 20.0, f"never {name}")
    strike(context, fault)
    second = pool.submit(call, context, "entry-2", *ask[3:])
    if fault != "delayed":
        second.result()
    if fault == "frozen past the deadline":
        time.sleep(6.5)
    place.let_go()
    recover(context, fault)
    return [first.result(), second.result()]


@behave.then("no keyed call ran twice and none ran that was said not to have")
def step_promises(context):
    assert context.told
    for body, said in context.told:
        ran = executions(context, body)
        assert ran <= 1, (body, said, ran)
        assert ran == 0 or said != "not-run", (body, said, ran)


# What is told at once by entry-1 and entry-2, then by entry-3 when all is
# well again, and how often the call ran. None: depends on timing.
NOTHING_RAN = ("", "undetermined", "undetermined", 0)
RAN_UNHEARD = ("", "undetermined", "undetermined", 1)
WOKE = ("complete", "undetermined", "complete", 1)
ALL = ("complete", "complete", "complete", 1)
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
        "reading it back": ("undetermined", "undetermined", "complete", 1),
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
        assert context.ends[name] == end, (name, context.ends[name], end)


@behave.when("the service loses the answers of calls with and without a key")
def step_lost(context):
    for name in ("ramp-1", "ramp-2"):
        context.fleet[name].faults(lost=100)


@behave.then('the callers are told "{word}" and so is each repeat')
def step_lost_told(context, word):
    found = call(context, "entry-1", "lost without a key")
    assert outcome(found) == word, found
    key = new_key()
    for node in NODES:
        found = call(context, node, "lost with a key", key)
        assert outcome(found) == word, found


@behave.when("a key is used with another body, too old, too new and malformed")
def step_misfits(context):
    # 24 hours of retention less a tenth; a minute ahead of the log's clock.
    key = new_key()
    old = key_of_age(86400 * 0.9 + 60)
    new = key_of_age(-120)
    context.found = [
        call(context, "entry-1", "first body", key),
        call(context, "entry-2", "another body", key),
        call(context, "entry-1", "another body here", key),
        call(context, "entry-3", "malformed", str(uuid.uuid4())),
        call(context, "entry-1", "old", old),
        call(context, "entry-2", "new", new),
    ]


@behave.then('the other body and the malformed key are told "{word}"')
def step_misfits_not_run(context, word):
    assert [outcome(found) for found in context.found[1:4]] == [word] * 3
    assert [f.status for f in context.found[1:4]] == [422, 422, 400]


@behave.then('the old and the new key are told "{word}"')
def step_misfits_unknown(context, word):
    assert [outcome(found) for found in context.found[4:]] == [word] * 2
    assert [found.status for found in context.found[4:]] == [422, 422]


@behave.then("only the first body ran")
def step_first_body(context):
    for body, _ in context.told:
        assert executions(context, body) == (body == "first body"), body


def all_leave(context, leaving: bool) -> None:
    for name in ("ramp-1", "ramp-2"):
        context.fleet[name].faults(leaving=leaving)


@behave.when("a keyed call is refused because the service is leaving")
def step_leaving(context):
    context.fleet.apply('alter kind "tug" set deadline = 2;')
    all_leave(context, True)
    context.key = new_key()
    context.found = call(context, "entry-1", "refused", context.key)


@behave.then('it is told "{word}" with a time to return')
def step_refused(context, word):
    assert outcome(context.found) == word, context.found
    assert int(context.found.headers["retry-after"]) >= 1, context.found


@behave.then('its repeat through each node is told "{word}" and runs nothing')
def step_closed(context, word):
    all_leave(context, False)
    deployments.until_open(context.fleet, "ramp-1", "ramp-2")
    for node in NODES:
        found = call(context, node, "refused", context.key)
        assert outcome(found) == word, found
        assert found.status == 409, found
    assert executions(context, "refused") == 0


@behave.then("a call with a new key runs when the service is back")
def step_back(context):
    found = call(context, "entry-2", "refused", new_key())
    assert complete(found), found
    assert executions(context, "refused") == 1


@behave.when("the log loses the answers to the next {count:d} claims")
def step_answers_lost(context, count):
    context.fleet["log"].faults(lost_answers=count, match='"claim"')


@behave.then("a keyed call is answered and its claim stands on the log twice")
def step_doubled(context):
    key = new_key()
    assert complete(call(context, "entry-1", "doubled", key))
    claims = [c for c in claim_records(context, "claim") if key in c]
    assert len(claims) >= 2, claims
    assert len({claim[0] for claim in claims}) == 1, claims


@behave.when("the log is down")
def step_down(context):
    context.fleet["log"].faults(appends_down=True, reads_down=True)


@behave.then("a call without a key is answered")
def step_unkeyed(context):
    assert complete(call(context, "entry-1", "without a key"))
    assert executions(context, "without a key") == 1


@behave.then('a call with a caller\'s key is told "{word}" and runs nothing')
def step_unclaimed(context, word):
    found = call(context, "entry-1", "unclaimed", new_key())
    assert outcome(found) == word, found
    assert int(found.headers["retry-after"]) >= 1, found
    assert executions(context, "unclaimed") == 0


@behave.then("a call with a bound key is answered once through every node")
def step_bound(context):
    url = context.fleet["entry-2"].url
    found = http.post(f"{url}/v1/keys", headers=deployments.headers())
    assert found.status == 201, found
    context.key = found.json()["key"]
    for node in NODES:
        assert complete(call(context, node, "bound", context.key))
    assert executions(context, "bound") == 1


@behave.then('a bound key with another body is told "{word}"')
def step_bound_conflict(context, word):
    for node in NODES:
        found = call(context, node, "bound elsewhere", context.key)
        assert outcome(found) == word, found
        assert found.status == 422, found
    assert executions(context, "bound elsewhere") == 0


@behave.then('a bound key is told "{word}" once its node was restarted')
def step_bound_gone(context, word):
    node = context.fleet["entry-2"]
    node.kill()
    found = call(context, "entry-1", "bound", context.key)
    assert outcome(found) == word, found
    node.restart()
    context.fleet["log"].faults(appends_down=False, reads_down=False)
    node.until_ready("/ready")
    found = call(context, "entry-3", "bound", context.key)
    assert outcome(found) == word, found
    found = call(context, "entry-2", "bound", context.key)
    assert outcome(found) == word, found
    assert executions(context, "bound") == 1


@behave.when("the service withholds the 100 from some calls")
def step_withheld(context):
    # The pooled connection and a fresh one of the same replica.
    context.fleet["ramp-1"].faults(withheld=2)


@behave.then("calls without a key are answered by the other replica")
def step_other_replica(context):
    for number in range(6):
        assert complete(call(context, "entry-1", f"withheld {number}"))
    assert context.fleet["ramp-1"].test("faults")["withheld"] == 0


@behave.when("entry-1 freezes before its claim and entry-2 refuses the call")
def step_sleeper(context):
    node = context.fleet["entry-1"]
    context.key = new_key()
    context.body = "slept through"
    place = places(context)["appending the claim"]
    place.hold()
    context.pool = concurrent.futures.ThreadPoolExecutor(1)
    ask = (call, context, "entry-1", context.body, context.key)
    context.first = context.pool.submit(*ask)
    context.fleet.until(place.reached, 20.0, "no claim is held")
    node.freeze()
    all_leave(context, True)
    context.fleet.apply(
        'alter kind "tug" set deadline = 1;', context.fleet["entry-2"]
    )
    context.second = call(context, "entry-2", *ask[3:])
    all_leave(context, False)
    # The proxy lets the claim go to the log, which was held on its way.
    place.let_go()
    until_recorded_from(context, "entry-1", context.key)
    node.thaw()


def until_recorded_from(context, node: str, key: str) -> None:
    def found() -> bool:
        claims = claim_records(context, "claim")
        return any(c[0].startswith(node) and key in c for c in claims)

    context.fleet.until(found, message=f"no claim of {node}")


@behave.then('entry-2 has told "{word}"')
def step_second_told(context, word):
    assert outcome(context.second) == word, context.second


@behave.then('entry-1 wakes to a service that is back and tells "{word}"')
def step_sleeper_told(context, word):
    found = context.first.result()
    context.pool.shutdown()
    assert outcome(found) == word, found


@behave.then("nothing of the call ran")
def step_nothing_ran(context):
    assert executions(context, context.body) == 0


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
            ask = (NODES[number % 3], f"overload {number}", new_key())
            pool.submit(call, context, *ask)
    # What the service has begun ends, whatever its caller was told.
    for name in ("ramp-1", "ramp-2"):
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


@behave.given("a fleet for keyed calls whose log keeps {seconds:d} seconds")
def step_fleet_forgetting(context, seconds):
    start_fleet(context, retention=float(seconds))
    context.fleet["log"].faults(retention=float(seconds))
    context.seconds = seconds


@behave.when("a keyed call is answered and the log has forgotten it")
def step_forgotten(context):
    context.key = new_key()
    assert complete(call(context, "entry-2", "forgotten", context.key))
    until_recorded(context, "claim-outcome", context.key)

    def forgotten() -> bool:
        # Each claim moves the log's clock as the nodes see it.
        call(context, "entry-1", f"later {time.monotonic()}", new_key())
        claims = claim_records(context, "claim")
        return not any(context.key in claim for claim in claims)

    context.fleet.until(forgotten)


@behave.then('its repeat through every node is told "{word}"')
def step_forgotten_told(context, word):
    for node in NODES:
        found = call(context, node, "forgotten", context.key)
        assert outcome(found) == word, found


@behave.then('a node that started afterwards tells it "{word}"')
def step_forgotten_later(context, word):
    node = context.fleet["entry-3"]
    node.kill()
    node.restart()
    node.until_ready("/ready")
    found = call(context, "entry-3", "forgotten", context.key)
    assert outcome(found) == word, found


@behave.when("all open connections from the nodes to the services go silent")
def step_silent(context):
    for number in range(6):
        for node in NODES:
            assert complete(call(context, node, f"warm {node} {number}"))
    for proxy in context.services:
        proxy.silence()


@behave.then("a call through each node is answered with and without a key")
def step_not_silent(context):
    for node in NODES:
        assert complete(call(context, node, f"silent {node}"))
        assert complete(call(context, node, f"keyed {node}", new_key()))
