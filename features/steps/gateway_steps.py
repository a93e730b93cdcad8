"""Steps on gateways: what callers get and what replicas ran."""

import hashlib
from http import client
import signal
import socket
import threading

import behave
from features.support import gateways
from features.support import http

from gypsumfold.platform import names

FORBIDDEN = {
    names.STAGE: "prefill",
    names.CACHE_HANDLE: "10.0.0.1:1/abc",
    names.CACHE_PEER: "10.0.0.1:1",
    "Kv-Backup": "10.0.0.1:1",
    "Kv-Hold": "h",
    "Pin-Ms": "4000",
}
PLAINS = ("app-1", "app-2")


@behave.given('a store and two replicas of the service "app"')
def step_store(context):
    context.fleet = gateways.GatewayFleet()
    context.fleet.start_store()
    for name in PLAINS:
        context.fleet.start_replica(name, "app")


@behave.given("three engines that read prompts and one that generates")
def step_engines(context):
    for number in (1, 2, 3):
        context.fleet.start_replica(f"reader-{number}", "lm", "prefill")
    context.fleet.start_replica("decoder-1", "lm", "decode")


@behave.given("a ready gateway")
def step_gateway(context):
    context.gateway = context.fleet.start_gateway("edge-1")
    for name in context.fleet.entries:
        context.fleet.until_known("edge-1", name)


def call(context, method, path, body=None, wait=5.0, **extra):
    """Sends one request; keeps its headers, body and answer."""
    context.sent = {**gateways.headers(wait), **extra}
    context.body = body
    context.answer = http.request(
        method, context.gateway.url + path, body, context.sent
    )
    return context.answer


def header(answer, name):
    """Reads a header of an answer; empty where it is missing."""
    return answer.headers.get(name.lower(), "")


def sealed(sent, answer):
    """Checks that an answer is the replica's whole one to this attempt."""
    attempt = sent[names.ATTEMPT]
    assert answer.status == 200, answer
    seal = header(answer, names.SEAL)
    assert seal.endswith(f".{attempt}"), (attempt, answer)
    assert header(answer, names.ATTEMPT) == attempt, answer
    assert answer.body.decode() == seal, answer


def records(context, names_of=None):
    """What all replicas record, by name."""
    found = {}
    for name in names_of or context.fleet.entries:
        found[name] = context.fleet[name].test("record")
    return found


def runs_of(context, attempt):
    """The runs of an attempt, over all replicas that were started."""
    found = []
    for name in context.fleet.processes:
        if name == "store" or name.startswith("edge"):
            continue
        for run in context.fleet[name].test("record")["runs"]:
            if run["attempt"] == attempt:
                found.append((name, run))
    return found


@behave.when(
    'a caller posts "{body}" to "{path}" with headers that only nodes may set'
)
def step_post_forbidden(context, body, path):
    call(context, "POST", path, body.encode(), **FORBIDDEN)


@behave.when('a caller posts "{body}" to "{path}"')
def step_post(context, body, path):
    call_until_met(context, "POST", path, body.encode())


@behave.when('a caller that waits {wait:d} seconds posts "{body}" to "{path}"')
def step_post_waiting(context, wait, body, path):
    call(context, "POST", path, body.encode(), wait=wait)


@behave.when('a caller gets "{path}"')
def step_get(context, path):
    call_until_met(context, "GET", path)


@behave.when('{count:d} callers in turn post to "{path}"')
def step_post_many(context, count, path):
    context.exchanges = []
    for _ in range(count):
        answer = call(context, "POST", path, b"hold")
        context.exchanges.append((context.sent, answer))


@behave.then("the caller gets the whole sealed answer to its own attempt")
def step_sealed(context):
    sealed(context.sent, context.answer)


@behave.then("each of them got the sealed answer to its own attempt")
def step_all_sealed(context):
    for sent, answer in context.exchanges:
        sealed(sent, answer)


@behave.then(
    "the replica got the method, target, body and attempt id unchanged"
)
def step_unchanged(context):
    ((_, run),) = runs_of(context, context.sent[names.ATTEMPT])
    assert run["method"] == "POST", run
    assert run["target"] == "/seats/a%2Fb//c;d?x=%41&y=+", run
    assert run["body"] == hashlib.sha256(context.body).hexdigest(), run


@behave.then(
    "the replica got no header that only nodes may set from the caller"
)
def step_no_forbidden(context):
    ((_, run),) = runs_of(context, context.sent[names.ATTEMPT])
    for name in FORBIDDEN:
        assert name not in run["headers"], run["headers"]


@behave.when('a caller asks "{path}" for a stream with the prompt "{chain}"')
def step_stream(context, path, chain):
    stream(context, path, chain)
    while not met(context):
        stream(context, path, chain)


def stream(context, path, chain):
    """Asks for one stream; keeps its events and how it ended."""
    context.sent = gateways.headers(5.0, chain, stream=True)
    context.cut = False
    connection, response = http.open_request(
        "POST", context.gateway.url + path, b"prompt", context.sent
    )
    context.status = response.status
    context.seal = response.headers.get(names.SEAL, "")
    try:
        body = response.read()
    except client.IncompleteRead as error:
        body = error.partial
        context.cut = True
    except OSError:
        body = b""
        context.cut = True
    finally:
        connection.close()
    context.events = []
    for event in body.decode().split("\n\n")[:-1]:
        lines = dict(line.split(": ", 1) for line in event.splitlines())
        context.events.append((lines["id"], lines["data"]))


@behave.then("the caller gets all events of one engine in order")
def step_events(context):
    assert context.status == 200, context.status
    assert not context.cut
    found = context.events
    assert found == [(str(n), f"token-{n}") for n in range(1, 6)], found
    assert context.seal.endswith(f".{context.sent[names.ATTEMPT]}")


@behave.then("the answer is cut off")
def step_cut(context):
    assert context.cut, context.events


@behave.then(
    "one engine read the prompt and the generating engine took its cache"
)
def step_split(context):
    attempt = context.sent[names.ATTEMPT]
    readers = []
    for name, record in records(context).items():
        for prompt in record["prompts"]:
            if prompt["attempt"] == attempt:
                readers.append((name, record))
    assert len(readers) == 1, readers
    ((name, run),) = runs_of(context, attempt)
    assert name == "decoder-1", name
    address, _, handle = run["handle"].partition("/")
    assert address == context.fleet[readers[0][0]].address, run
    assert handle in readers[0][1]["handles"], run


@behave.when(
    '{count:d} callers in turn ask "{path}" with the beginning "{part}"'
)
def step_beginning(context, count, path, part):
    for number in range(count):
        stream(context, path, f"{part},own{number:x}:200")


@behave.then("one engine read all of the prompts")
def step_one_reader(context):
    counts = {}
    for name, record in records(context).items():
        if record["prompts"]:
            counts[name] = len(record["prompts"])
    assert list(counts.values()) == [12], counts


@behave.given('the replicas\' next {count:d} answers are "{fault}"')
def step_fault(context, count, fault):
    if count > 1:
        for name in PLAINS:
            context.fleet[name].faults(**{fault: count})
        return
    context.fault = ("app-1", fault)
    context.fleet["app-1"].faults(**{fault: 1})


def met(context):
    """Whether the fault that a scenario set has struck, or none is set."""
    if getattr(context, "fault", None) is None:
        return True
    name, fault = context.fault
    return context.fleet[name].test("faults")[fault] == 0


def call_until_met(context, method, path, body=None):
    """Calls until one meets the scenario's fault; that one is kept."""
    while True:
        answer = call(context, method, path, body)
        if met(context):
            return answer
        sealed(context.sent, answer)


@behave.then("the caller gets {status:d} without a seal")
def step_status(context, status):
    assert context.answer.status == status, context.answer
    assert not header(context.answer, names.SEAL), context.answer


@behave.then(
    "the caller gets {status:d} with a Retry-After within a third of its time"
)
def step_retry_after(context, status):
    assert context.answer.status == status, context.answer
    seconds = float(header(context.answer, names.RETRY_AFTER))
    assert 0 < seconds <= 5.0 / 3, seconds


@behave.then("the attempt has run once in all")
def step_once(context):
    runs = runs_of(context, context.sent[names.ATTEMPT])
    assert len(runs) == 1, runs


@behave.then("the attempt has run {count:d} times in all")
def step_count(context, count):
    runs = runs_of(context, context.sent[names.ATTEMPT])
    assert len(runs) == count, runs


@behave.then("every attempt has run once in all")
def step_each_once(context):
    for sent, _ in context.exchanges:
        runs = runs_of(context, sent[names.ATTEMPT])
        assert len(runs) == 1, runs


@behave.given("a second engine generates")
def step_second_decoder(context):
    context.fleet.start_replica("decoder-2", "lm", "decode")
    context.fleet.until_known("edge-1", "decoder-2")


@behave.given("the next stream breaks off in the middle of an event")
def step_breaks(context):
    context.fault = ("decoder-1", "broken")
    context.fleet["decoder-1"].faults(broken=1)


@behave.then("the stream ran on two engines")
def step_two_engines(context):
    runs = runs_of(context, context.sent[names.ATTEMPT])
    assert {name for name, _ in runs} == {"decoder-1", "decoder-2"}, runs


@behave.when("bytes with two framings and a second request inside are sent")
def step_smuggle(context):
    inner = (
        f"POST /seats/2 HTTP/1.1\r\nHost: {gateways.HOST}\r\n"
        f"{names.ATTEMPT}: hidden\r\nContent-Length: 0\r\n\r\n"
    )
    outer = (
        f"POST /seats/1 HTTP/1.1\r\nHost: {gateways.HOST}\r\n"
        f"{names.ATTEMPT}: outer\r\nContent-Length: {len(inner)}\r\n"
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
    )
    data = (outer + inner).encode()
    context.bytes = gateways.exchange(context.gateway, data)


@behave.then("they are answered 400 and no replica ran anything")
def step_smuggled(context):
    status = context.bytes.split(b"\r\n")[0].split(b" ")[1]
    assert status == b"400", context.bytes
    assert context.bytes.count(b"HTTP/1.") == 1, context.bytes
    for name, record in records(context).items():
        assert not record["runs"], (name, record["runs"])


@behave.given("each plain call takes {seconds:d} second")
@behave.given("each plain call takes {seconds:d} seconds")
def step_seconds(context, seconds):
    for name in PLAINS:
        context.fleet[name].faults(seconds=float(seconds))


@behave.then("the replica was told to take no longer than the route's time")
def step_told(context):
    ((_, run),) = runs_of(context, context.sent[names.ATTEMPT])
    told = int(run["headers"][names.TIME_LEFT])
    assert told <= gateways.PLAIN["timeoutMs"], told


@behave.when('a caller posts to "{path}" and leaves when it runs')
def step_leave(context, path):
    context.sent = gateways.headers(10.0)
    host, port = context.gateway.host, gateways.FRONT_PORT
    connection = client.HTTPConnection(host, port, timeout=10)
    connection.request("POST", path, b"hold", context.sent)
    attempt = context.sent[names.ATTEMPT]
    gateways.until(lambda: runs_of(context, attempt), "it does not run")
    connection.close()


@behave.then("the replica's run ends as left")
def step_left(context):
    attempt = context.sent[names.ATTEMPT]
    gateways.until(
        lambda: any(
            attempt in record["left"]
            for record in records(context, PLAINS).values()
        ),
        "the run goes on",
    )


@behave.when('"{name}" is marked as leaving and the gateway knows')
def step_draining(context, name):
    context.fleet.register(name, "app", state="draining")
    context.fleet.until_known("edge-1", name)
    context.before = context.fleet[name].test("record")["arrivals"]


@behave.when('"{name}" is removed and the gateway knows')
def step_removed(context, name):
    instance = context.fleet.entries[name]["instance"]
    context.fleet.unregister(name)
    gateways.until(
        lambda: any(
            line["instance"] == instance for line in context.gateway.events(311)
        ),
        "the removal is not known",
    )
    context.before = context.fleet[name].test("record")["arrivals"]


@behave.then('"{name}" got none of them')
def step_none(context, name):
    arrivals = context.fleet[name].test("record")["arrivals"]
    assert arrivals == context.before, (arrivals, context.before)


@behave.given('"{name}" is registered under the address of "{other}"')
def step_address(context, name, other):
    before = len(context.gateway.events(310))
    address = context.fleet[other].address
    context.fleet.register(name, "app", addr=address)
    gateways.until(
        lambda: len(context.gateway.events(310)) > before,
        "the address is not known",
    )


@behave.when(
    'a route "{prefix}" comes in a newer version and is missing in an older '
    "one after it"
)
def step_versions(context, prefix):
    routes = list(context.fleet.routes)
    added = {**gateways.PLAIN, "name": "added", "pathPrefix": prefix}
    context.fleet.routes = [*routes, added]
    newer = context.fleet.configure()
    context.fleet.routes = routes
    context.fleet.configure(newer - 1)
    # A change of the replicas after it shows that the older one was read.
    context.fleet.routes = [*routes, added]
    gateways.until(
        lambda: any(
            line["version"] == newer for line in context.gateway.events(710)
        ),
        "the newer version is not in force",
    )


@behave.then('a caller of "{path}" is served')
def step_served(context, path):
    for _ in range(6):
        answer = call(context, "POST", path, b"hold")
        sealed(context.sent, answer)


@behave.when("the store is busy and then forgets its history")
def step_store_away(context):
    context.fleet["store"].faults(busy=True)
    gateways.until(lambda: context.gateway.events(410), "it is not noticed")


@behave.then("a new route is in force once the store is back")
def step_store_back(context):
    count = context.fleet["store"].test("record")["records"]
    forgotten = count[names.CONFIGURATION_TOPIC]
    added = {**gateways.PLAIN, "name": "added", "pathPrefix": "/added/"}
    context.fleet.routes.append(added)
    context.fleet.configure()
    context.fleet["store"].faults(busy=False, forgotten=forgotten)

    def served() -> bool:
        return call(context, "POST", "/added/1", b"hold").status == 200

    gateways.until(served, "the new route is not in force")


@behave.given("the store is silent")
def step_silent(context):
    context.fleet["store"].faults(silent=True)


@behave.when("another gateway starts")
def step_another(context):
    context.gateway = context.fleet.start_gateway("edge-2", ready=False)

    def listens() -> bool:
        try:
            call(context, "POST", "/seats/7", b"hold")
        except http.Gone:
            return False
        return True

    gateways.until(listens, "it does not listen")


@behave.then("it answers 503 and is not ready")
def step_not_ready(context):
    assert context.answer.status == 503, context.answer
    assert not context.fleet.is_ready("edge-2")


@behave.when(
    "the gateway is told to stop while a call runs and a connection is idle"
)
def step_stop(context):
    host, port = context.gateway.host, gateways.FRONT_PORT
    context.idle = socket.create_connection((host, port), timeout=20)
    found = {}
    context.sent = gateways.headers(5.0)

    def post() -> None:
        found["answer"] = http.request(
            "POST", context.gateway.url + "/seats/7", b"hold", context.sent
        )

    thread = threading.Thread(target=post)
    thread.start()
    attempt = context.sent[names.ATTEMPT]
    gateways.until(lambda: runs_of(context, attempt), "it does not run")
    context.gateway.terminate()
    thread.join()
    context.answer = found["answer"]


@behave.then("the call is answered whole")
def step_answered(context):
    sealed(context.sent, context.answer)


@behave.then("the idle connection is closed before the process ends")
def step_idle_closed(context):
    # The stop ends with the last line; the close must come before it.
    assert context.idle.recv(1) == b""
    assert not context.gateway.events(104), context.gateway.tail()
    context.idle.close()
    assert context.gateway.child.wait(gateways.LIMIT) == 0


@behave.when("the settings file is spoilt and SIGHUP comes")
def step_spoil(context):
    path = context.fleet.folder / "edge-1.toml"
    path.write_text(path.read_text() + "[unknown]\nkey = 1\n")
    context.gateway.child.send_signal(signal.SIGHUP)


@behave.then("the gateway logs that the file was rejected")
def step_rejected(context):
    gateways.until(lambda: context.gateway.events(109), "it is not logged")


@behave.then("a caller posts and is served")
def step_posts(context):
    answer = call(context, "POST", "/seats/7", b"hold")
    sealed(context.sent, answer)
