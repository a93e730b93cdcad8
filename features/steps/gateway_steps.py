"""Steps on gateways: what callers get and what replicas ran."""

import hashlib
from http import client

import behave
from features.support import gateway_calls as callers
from features.support import gateways

from gypsumfold.platform import names

FORBIDDEN = {
    names.STAGE: "prefill",
    names.CACHE_HANDLE: "10.0.0.1:1/abc",
    names.CACHE_PEER: "10.0.0.1:1",
    "Kv-Backup": "10.0.0.1:1",
    "Kv-Hold": "h",
    "Pin-Ms": "4000",
}


@behave.given('a store and two replicas of the service "app"')
def step_store(context):
    context.fleet = gateways.GatewayFleet()
    context.fleet.start_store()
    context.fleet.take_authority()
    context.fleet.start_replicas([(name, "app", "") for name in callers.PLAINS])


@behave.given("three engines that read prompts and one that generates")
def step_engines(context):
    wanted = []
    for number in (1, 2, 3):
        wanted.append((f"reader-{number}", "lm", "prefill"))
    context.fleet.start_replicas([*wanted, ("decoder-1", "lm", "decode")])


@behave.given("a ready gateway")
def step_gateway(context):
    context.gateway = context.fleet.start_gateway("edge-1")
    for name in context.fleet.entries:
        context.fleet.until_known("edge-1", name)


@behave.when(
    'a caller posts "{body}" to "{path}" with headers that only nodes may set'
)
def step_post_forbidden(context, body, path):
    callers.call(context, "POST", path, body.encode(), **FORBIDDEN)


@behave.when('a caller posts "{body}" to "{path}"')
def step_post(context, body, path):
    callers.call_until_met(context, "POST", path, body.encode())


@behave.when('a caller that waits {wait:d} seconds posts "{body}" to "{path}"')
def step_post_waiting(context, wait, body, path):
    callers.call(context, "POST", path, body.encode(), wait=wait)


@behave.when('a caller gets "{path}"')
def step_get(context, path):
    callers.call_until_met(context, "GET", path)


@behave.when('{count:d} callers in turn post to "{path}"')
def step_post_many(context, count, path):
    context.exchanges = []
    for _ in range(count):
        answer = callers.call(context, "POST", path, b"hold")
        context.exchanges.append((context.sent, answer))


@behave.when(
    '{count:d} callers in turn post to "{path}", each after the stray bytes '
    "are there"
)
def step_post_after_strays(context, count, path):
    context.exchanges = []
    for _ in range(count):
        answer = callers.call(context, "POST", path, b"hold")
        context.exchanges.append((context.sent, answer))
        # Bytes that cross the next request are another scenario's.
        gateways.until(
            lambda: (
                not any(
                    record["strays_open"]
                    for record in callers.records(
                        context, callers.PLAINS
                    ).values()
                )
            ),
            "a connection with stray bytes stays open",
        )


@behave.then("the caller gets the whole sealed answer to its own attempt")
def step_sealed(context):
    callers.sealed(context.sent, context.answer)


@behave.then("each of them got the sealed answer to its own attempt")
def step_all_sealed(context):
    for sent, answer in context.exchanges:
        callers.sealed(sent, answer)


@behave.then(
    "the replica got the method, target, body and attempt id unchanged"
)
def step_unchanged(context):
    ((_, run),) = callers.runs_of(context, context.sent[names.ATTEMPT])
    assert run["method"] == "POST", run
    assert run["target"] == "/seats/a%2Fb//c;d?x=%41&y=+", run
    assert run["body"] == hashlib.sha256(context.body).hexdigest(), run


@behave.then(
    "the replica got no header that only nodes may set from the caller"
)
def step_no_forbidden(context):
    ((_, run),) = callers.runs_of(context, context.sent[names.ATTEMPT])
    for name in FORBIDDEN:
        assert name not in run["headers"], run["headers"]


@behave.when('a caller asks "{path}" for a stream with the prompt "{chain}"')
def step_stream(context, path, chain):
    callers.stream(context, path, chain)
    while not callers.met(context):
        callers.stream(context, path, chain)


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
    for name, record in callers.records(context).items():
        for prompt in record["prompts"]:
            if prompt["attempt"] == attempt:
                readers.append((name, record))
    assert len(readers) == 1, readers
    ((name, run),) = callers.runs_of(context, attempt)
    assert name == "decoder-1", name
    address, _, handle = run["handle"].partition("/")
    assert address == context.fleet[readers[0][0]].address, run
    assert handle in readers[0][1]["handles"], run


@behave.when(
    '{count:d} callers in turn ask "{path}" with the beginning "{part}"'
)
def step_beginning(context, count, path, part):
    for number in range(count):
        callers.stream(context, path, f"{part},own{number:x}:200")


@behave.then("one engine read all of the prompts")
def step_one_reader(context):
    counts = {}
    for name, record in callers.records(context).items():
        if record["prompts"]:
            counts[name] = len(record["prompts"])
    assert list(counts.values()) == [12], counts


@behave.given('the replicas\' next {count:d} answers are "{fault}"')
def step_fault(context, count, fault):
    context.fleet.until_sharing("edge-1")
    if count > 1:
        for name in callers.PLAINS:
            context.fleet[name].faults(**{fault: count})
        return
    context.fault = ("app-1", fault)
    context.fleet["app-1"].faults(**{fault: 1})


@behave.then("the caller gets {status:d} without a seal")
def step_status(context, status):
    assert context.answer.status == status, context.answer
    assert not callers.header(context.answer, names.SEAL), context.answer


@behave.then(
    "the caller gets {status:d} with a Retry-After within a third of its time"
)
def step_retry_after(context, status):
    assert context.answer.status == status, context.answer
    seconds = float(callers.header(context.answer, names.RETRY_AFTER))
    assert 0 < seconds <= 5.0 / 3, seconds


@behave.then("the attempt has run once in all")
def step_once(context):
    runs = callers.runs_of(context, context.sent[names.ATTEMPT])
    assert len(runs) == 1, runs


@behave.then("the attempt has run {count:d} times in all")
def step_count(context, count):
    runs = callers.runs_of(context, context.sent[names.ATTEMPT])
    assert len(runs) == count, runs


@behave.then("every attempt has run once in all")
def step_each_once(context):
    for sent, _ in context.exchanges:
        runs = callers.runs_of(context, sent[names.ATTEMPT])
        assert len(runs) == 1, runs


@behave.then("every run was meant for the replica that ran it")
def step_meant(context):
    for name, record in callers.records(context, callers.PLAINS).items():
        for run in record["runs"]:
            meant = run["headers"].get(names.EXPECTED_INSTANCE)
            assert meant == record["instance"], (name, run)


@behave.given(
    "the engine that generates rejects the next stream and repeats that answer "
    "late"
)
def step_late_rejection(context):
    context.fleet.until_sharing("edge-1")
    context.fault = ("decoder-1", "late")
    context.fleet["decoder-1"].faults(refused=1, late=1)


@behave.given("a second engine generates")
def step_second_decoder(context):
    context.fleet.start_replica("decoder-2", "lm", "decode")
    context.fleet.until_known("edge-1", "decoder-2")


@behave.given("the first engine that generates crashes while its entry stays")
def step_crash_decoder(context):
    context.fleet.crash("decoder-1")


@behave.then("each run took the cache of a prompt that was read once")
def step_caches_taken(context):
    prompts = []
    for record in callers.records(context).values():
        prompts += [prompt["attempt"] for prompt in record["prompts"]]
    runs = context.fleet["decoder-2"].test("record")["runs"]
    assert len(runs) == 6 and all(run["handle"] for run in runs), runs
    attempts = sorted(run["attempt"] for run in runs)
    assert sorted(prompts) == attempts, (prompts, attempts)


@behave.when(
    'a caller that has event {after:d} asks "{path}" for the rest of a stream '
    'with the prompt "{chain}"'
)
def step_resume(context, after, path, chain):
    callers.stream(context, path, chain, after=str(after))
    while not callers.met(context):
        callers.stream(context, path, chain, after=str(after))


@behave.then("the caller gets the events from {first:d} on, none twice")
def step_rest(context, first):
    assert context.status == 200, context.status
    assert not context.cut
    expected = [(str(n), f"token-{n}") for n in range(first, 6)]
    assert context.events == expected, context.events


@behave.given("the next stream breaks off in the middle of an event")
def step_breaks(context):
    context.fleet.until_sharing("edge-1")
    context.fault = ("decoder-1", "broken")
    context.fleet["decoder-1"].faults(broken=1)


@behave.then("the stream ran on two engines")
def step_two_engines(context):
    runs = callers.runs_of(context, context.sent[names.ATTEMPT])
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
    for name, record in callers.records(context).items():
        assert not record["runs"], (name, record["runs"])


@behave.given("each plain call takes {seconds:d} second")
@behave.given("each plain call takes {seconds:d} seconds")
def step_seconds(context, seconds):
    for name in callers.PLAINS:
        context.fleet[name].faults(seconds=float(seconds))


@behave.then("the replica was told to take no longer than the route's time")
def step_told(context):
    ((_, run),) = callers.runs_of(context, context.sent[names.ATTEMPT])
    told = int(run["headers"][names.TIME_LEFT])
    assert told <= gateways.PLAIN["timeoutMs"], told


@behave.when('a caller posts to "{path}" and leaves when it runs')
def step_leave(context, path):
    context.sent = gateways.headers(10.0)
    host, port = context.gateway.host, gateways.FRONT_PORT
    connection = client.HTTPConnection(host, port, timeout=10)
    connection.request("POST", path, b"hold", context.sent)
    attempt = context.sent[names.ATTEMPT]
    gateways.until(lambda: callers.runs_of(context, attempt), "it does not run")
    connection.close()


@behave.then("the replica's run ends as left")
def step_left(context):
    attempt = context.sent[names.ATTEMPT]
    gateways.until(
        lambda: any(
            attempt in record["left"]
            for record in callers.records(context, callers.PLAINS).values()
        ),
        "the run goes on",
    )
    # At the route's time the run would end as well, with another outcome.
    ends = [
        line
        for line in context.gateway.events(224)
        if line["request"] == attempt
    ]
    assert [line["outcome"] for line in ends] == ["cancelled"], ends
