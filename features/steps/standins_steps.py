"""Steps on the stand-ins themselves."""

import contextlib
import http.client
import json
import socket
import subprocess
import sys
import threading

import behave
from features.support import fleets
from features.support import http as http_support
import psutil

from gypsumfold_standins import tokens

MESSAGES = [{"role": "user", "content": "Which stand has tug 7? " * 40}]


def dispatch_body(dispatch: str, **changes) -> dict:
    body = {
        "id": dispatch,
        "model": "dispatch-lm",
        "messages": MESSAGES,
        "prior": [],
        "max_tokens": 100,
        "priority": 0,
        "prefill_from": "",
    }
    return {**body, **changes}


def read_stream(connection, response) -> list[dict]:
    """Reads an engine's events, the closing one included."""
    found = []
    with contextlib.closing(connection):
        for event in http_support.events(response):
            if event.data != "[DONE]":
                found.append(json.loads(event.data))
    return found


def run_dispatch(engine, body) -> list[dict]:
    url = f"{engine.url}/v1/dispatches"
    return read_stream(*http_support.open_request("POST", url, body))


def words(events) -> list[str]:
    return [event["token"] for event in events if "token" in event]


def append(log, text: str) -> int:
    url = f"{log.url}/streams/s/records"
    return http_support.post(url, text.encode()).status


def read_log(log) -> dict:
    return http_support.get(f"{log.url}/streams/s/records?from=0").json()


@behave.given("a stand-in platform")
def step_platform(context):
    context.fleet = fleets.Fleet("standins")
    context.fleet.start_platform()
    context.engines = []


@behave.when("the next append's answer is lost")
def step_lost_append(context):
    log = context.fleet["log"]
    log.faults(lost_answers=1)
    with contextlib.suppress(*http_support.Gone):
        append(log, "x")
        raise AssertionError("the answer came")


@behave.then("the log stand-in holds the record all the same")
def step_record_there(context):
    page = read_log(context.fleet["log"])
    assert [entry["body"] for entry in page["entries"]] == ["x"], page


@behave.then(
    "a stand-in log with 5 appends a second refuses some of 20 at once"
)
def step_rate(context):
    log = context.fleet["log"]
    log.faults(rate=5.0)
    statuses = {append(log, "x") for _ in range(20)}
    assert statuses == {200, 429}, statuses


@behave.then("a stand-in log in an outage answers 503 and appends nothing")
def step_outage(context):
    log = context.fleet["log"]
    end = read_log(log)["end"]
    log.faults(appends_down=True, rate=400.0)
    assert append(log, "x") == 503
    log.faults(appends_down=False)
    assert read_log(log)["end"] == end


@behave.then("a stand-in log that keeps 2 records forgets the first of 3")
def step_retention(context):
    log = context.fleet["log"]
    log.faults(keep=2)
    for text in "abc":
        context.fleet.until(lambda text=text: append(log, text) == 200)
    page = read_log(log)
    assert [each["body"] for each in page["entries"]] == ["b", "c"], page
    assert page["first"] == page["end"] - 2, page


@behave.given("a stand-in engine")
def step_engine(context):
    engine = context.fleet.start_engine("lm-1", speed=20.0)
    context.engines.append(engine)


@behave.given("a stand-in engine that checks no tokens")
def step_unchecking(context):
    engine = context.fleet.start_engine("lm-2", checks_tokens=False, speed=20.0)
    context.engines.append(engine)


@behave.when("a dispatch is streamed from the engine stand-in")
def step_dispatch(context):
    context.events = run_dispatch(context.engines[0], dispatch_body("d-1"))
    context.expected = tokens.answer("dispatch-lm", MESSAGES, 100)


@behave.then("its tokens are those of the pure function")
def step_expected(context):
    assert words(context.events) == context.expected
    assert [each["index"] for each in context.events[:-1]] == list(
        range(len(context.expected))
    )
    assert context.events[-1] == {
        "id": "d-1",
        "finish_reason": "stop",
        "tokens": len(context.expected),
    }


@behave.then("reading on from index 3 gives the rest of the same stream")
def step_resume(context):
    url = f"{context.engines[0].url}/v1/dispatches/d-1?from=3"
    events = read_stream(*http_support.open_request("GET", url))
    assert events == context.events[3:], events


@behave.then("a dispatch with 4 prior tokens gives the rest of the answer")
def step_prior(context):
    body = dispatch_body("d-2", prior=context.expected[:4])
    events = run_dispatch(context.engines[0], body)
    assert words(events) == context.expected[4:]
    assert events[0]["index"] == 4
    assert events[-1]["tokens"] == len(context.expected)


@behave.then("each stream fault of the engine stand-in shows in one stream")
def step_stream_faults(context):
    engine = context.engines[0]
    expected = tokens.answer("dispatch-lm", MESSAGES, 100)
    counts = {}
    for fault in ("truncated", "reset", "crossed", "skipped", "wrong_count"):
        engine.faults(at=5, **{fault: 1})
        events = []
        with contextlib.suppress(*http_support.Gone):
            events = run_dispatch(engine, dispatch_body(f"d-{fault}"))
        clean = run_dispatch(engine, dispatch_body(f"d-{fault}-after"))
        assert words(clean) == expected, fault
        assert words(events) != expected or fault == "wrong_count", fault
        counts[fault] = events
    assert counts["truncated"] and "tokens" not in counts["truncated"][-1]
    assert counts["crossed"][5]["id"] != "d-crossed"
    assert counts["wrong_count"][-1]["tokens"] == len(expected) + 1


def give_order(engine, order: str, token: int):
    body = {
        "id": order,
        "token": token,
        "verb": "role",
        "arguments": {"role": "decode"},
    }
    return http_support.post(f"{engine.url}/v1/orders", body)


@behave.then(
    "an order with an old token is refused by the first engine stand-in"
)
def step_checked(context):
    for engine in context.engines:
        assert give_order(engine, "o-1", 7).status == 200
    answer = give_order(context.engines[0], "o-2", 6)
    assert (answer.status, answer.json()) == (409, {"reason": "stale-token"})


@behave.then("it is carried out by the second, and recorded as stale")
def step_unchecked(context):
    engine = context.engines[1]
    assert give_order(engine, "o-2", 6).status == 200
    records = engine.test("orders")
    assert [each["stale"] for each in records] == [False, True], records
    state = http_support.get(f"{engine.url}/v1/state").json()
    assert state["role"] == "decode" and state["last_order"]["id"] == "o-2"


@behave.then(
    "a prompt run on the first is decoded by the second without prefill"
)
def step_kv(context):
    first, second = context.engines
    events = run_dispatch(first, dispatch_body("d-kv", max_tokens=1))
    second.faults(stuck=True)
    body = dispatch_body(
        "d-kv", prior=words(events), prefill_from=first.address
    )
    url = f"{second.url}/v1/dispatches"
    stream = http_support.open_request("POST", url, body)
    load = http_support.get(f"{second.url}/v1/load").json()
    assert load["prefill_tokens"] == 0, load
    second.faults(stuck=False)
    rest = read_stream(*stream)
    expected = tokens.answer("dispatch-lm", MESSAGES, 100)
    assert words(events) + words(rest) == expected


@behave.given("a stand-in plain service")
def step_plain(context):
    context.plain = context.fleet.start_service("app-1")


def call(base: str, body: bytes, **options) -> http_support.Answer:
    headers = {"Gypsumfold-Dispatch": f"d-{body.decode()}"}
    url = f"{base}/calls/hold"
    return http_support.post(url, body, headers=headers, **options)


def runs(context, body: str) -> int:
    records = context.plain.test("dispatches")
    return [record["body"] for record in records].count(body)


@behave.when("a call is made whose answer is dropped")
def step_dropped(context):
    context.plain.faults(lost=1)
    with contextlib.suppress(*http_support.Gone):
        call(context.plain.url, b"seat 4")
        raise AssertionError("the answer came")


@behave.then("the plain stand-in has run it once")
def step_counted(context):
    assert runs(context, "seat 4") == 1
    counts = context.plain.test("counts")
    assert counts["dispatches"] == {"d-seat 4": 1}, counts


@behave.given("a fault proxy before it")
def step_proxy(context):
    context.proxy = context.fleet.proxy(context.plain)
    answer = call(context.proxy.url, b"first")
    assert answer.body == tokens.call_answer("hold", b"first")


@behave.then("a swallowed answer leaves one execution behind the proxy")
def step_swallowed(context):
    context.proxy.swallow_answers(1, match="seat 5")
    with contextlib.suppress(*http_support.Gone):
        call(context.proxy.url, b"seat 5")
        raise AssertionError("the answer came")
    assert runs(context, "seat 5") == 1


@behave.then("a held request runs when released, though its sender has gone")
def step_held(context):
    context.proxy.hold(match="seat 6")
    with contextlib.suppress(*http_support.Gone):
        call(context.proxy.url, b"seat 6", timeout=0.3)
        raise AssertionError("the answer came")
    assert runs(context, "seat 6") == 0
    context.proxy.release()
    context.fleet.until(lambda: runs(context, "seat 6") == 1)


@behave.then("a silenced connection stays silent while a new one works")
def step_silenced(context):
    connection = http.client.HTTPConnection(context.proxy.address, timeout=0.3)
    connection.request("GET", "/health")
    connection.getresponse().read()
    context.proxy.silence()
    connection.request("GET", "/health")
    with contextlib.suppress(socket.timeout):
        connection.getresponse()
        raise AssertionError("the connection was not silent")
    connection.close()
    assert call(context.proxy.url, b"seat 8").status == 200


@behave.then("a cut proxy refuses and a healed one works")
def step_cut(context):
    context.proxy.cut()
    with contextlib.suppress(*http_support.Gone):
        call(context.proxy.url, b"seat 9")
        raise AssertionError("the answer came")
    context.proxy.heal()
    assert call(context.proxy.url, b"seat 9").status == 200


@behave.when("it is asked to stop during a call of 1 second")
def step_leave(context):
    context.plain.faults(seconds=1.0)
    context.answers = []

    def make_call():
        context.answers.append(call(context.plain.url, b"seat 10"))

    context.caller = threading.Thread(target=make_call)
    context.caller.start()
    context.fleet.until(lambda: runs(context, "seat 10") == 1)
    context.plain.terminate()


@behave.then("the call ends whole, and the process after it")
def step_left(context):
    context.caller.join()
    expected = tokens.call_answer("hold", b"seat 10")
    assert context.answers[0].body == expected
    context.fleet.until(lambda: not context.plain.alive)
    assert context.plain.child.returncode == 0


@behave.then("the demo ends with exit code 0 and a table of what ran")
def step_demo(context):
    command = [sys.executable, "-m", "gypsumfold_standins.demo"]
    result = subprocess.run(command, capture_output=True, text=True)
    assert result.returncode == 0, result
    table = result.stdout.rpartition("process ")[2].splitlines()[1:]
    assert len(table) == 9, result.stdout
    for line in table:
        assert line.endswith("exit code 0"), result.stdout
        assert not psutil.pid_exists(int(line.split()[3])), line
