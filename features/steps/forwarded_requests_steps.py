"""Steps on requests that one real gateway passes on to another."""

import http.client
import threading
import time

import behave
from features.support import gateway_calls
from features.support import gateways
from features.support import made_up

from gypsumfold.decisions import client_keys
from gypsumfold.gateway.peers import forward_messages
from gypsumfold.gateway.peers import seals
from gypsumfold.platform import ingress
from gypsumfold.platform import names as wire_names


@behave.when(
    "a caller's request with a key is read and encoded to be passed on"
)
def step_encoded(context):
    context.key = "k-5f1c07aa93"
    fields = [
        (name.encode(), value.encode())
        for name, value in made_up.HEADERS.items()
    ]
    fields.append((wire_names.KEY.encode(), context.key.encode()))
    call = ingress.decode("POST", "/seats/7", tuple(fields), b"x", 0.0)
    assert call.key_digest == client_keys.digest(context.key)
    request = forward_messages.from_call(call, 0, 7, 0.0)
    context.frame = forward_messages.encode_request(request, seals.Sealer([]))


@behave.then("neither the key nor its digest is in the message")
def step_no_key(context):
    assert context.key.encode() not in context.frame
    digest = client_keys.digest(context.key)
    assert digest not in context.frame
    assert digest.hex().encode() not in context.frame


@behave.given("two gateways before replicas behind a fault proxy")
def step_two(context):
    context.fleet = gateways.GatewayFleet()
    context.fleet.start_store()
    context.fleet.take_authority()
    wanted = [(name, "app", "") for name in gateway_calls.PLAINS]
    for number in (1, 2, 3):
        wanted.append((f"reader-{number}", "lm", "prefill"))
    wanted += [("decoder-1", "lm", "decode"), ("decoder-2", "lm", "decode")]
    for name, _, stage in wanted:
        options = ["--stage", stage] if stage else []
        context.fleet.start_standin(name, "platform_replica", options)
    for name, service, _ in wanted:
        context.fleet[name].until_ready("/_test/record")
        context.fleet.proxy(name)
        context.fleet.register(name, service)
    for name in ("edge-1", "edge-2"):
        context.fleet.start_gateway(name)
        for replica in context.fleet.entries:
            context.fleet.until_known(name, replica)
    context.gateway = context.fleet["edge-1"]
    gateways.until(
        lambda: shares_retries(context), "the gateways don't know each other"
    )


def shares_retries(context):
    """Whether the first gateway shares the retries with the second."""
    return any(
        line["event"] == "retries-shared" and line["nodes"] == 2
        for line in context.gateway.log_lines()
    )


@behave.when("the first gateway is cut off from all replicas: {how}")
def step_cut(context, how):
    source = context.gateway.host
    for name in context.fleet.entries:
        proxy = context.fleet.proxies[name]
        if how == "all are reset":
            proxy.cut(source)
        else:
            proxy.partition(source)
    # What comes within the contact bound may fail.
    end = time.monotonic() + gateways.LIMIT
    while len(unreachable(context)) < len(context.fleet.entries):
        assert time.monotonic() < end, unreachable(context)
        gateway_calls.call(context, "GET", "/lookups/1", wait=1.0)


def unreachable(context):
    """The replicas that the first gateway found unreachable."""
    return {line["instance"] for line in context.gateway.events(319)}


@behave.then(
    "{calls:d} calls and {streams:d} streams at the first gateway are answered "
    "by replicas and run once"
)
def step_answered(context, calls, streams):
    for number in range(calls):
        path = ("/seats/7", "/lookups/7")[number % 2]
        method = ("POST", "GET")[number % 2]
        body = b"hold" if method == "POST" else None
        answer = gateway_calls.call(context, method, path, body)
        gateway_calls.sealed(context.sent, answer)
        attempt = context.sent[wire_names.ATTEMPT]
        assert len(gateway_calls.runs_of(context, attempt)) == 1
    for number in range(streams):
        path = ("/briefs/1", "/swaps/1")[number % 2]
        gateway_calls.stream(context, path, "aa:4000,bb:300")
        assert context.status == 200, context.status
        assert not context.cut
        assert [event_id for event_id, _ in context.events] == list("12345")
        attempt = context.sent[wire_names.ATTEMPT]
        assert len(gateway_calls.runs_of(context, attempt)) == 1


@behave.when(
    "a caller asks for a stream and the second gateway is told to stop "
    "meanwhile"
)
def step_stop_meanwhile(context):
    def stop():
        gateways.until(
            lambda: context.fleet["edge-2"].events(221), "nothing was placed"
        )
        context.fleet["edge-2"].terminate()

    thread = threading.Thread(target=stop)
    thread.start()
    gateway_calls.stream(context, "/briefs/1", "aa:4000,bb:300", wait=6.0)
    thread.join()


@behave.when(
    'a caller posts to "{path}" and the second gateway is killed when it runs'
)
def step_kill_meanwhile(context, path):
    def kill():
        attempt = context.sent[wire_names.ATTEMPT]
        gateways.until(
            lambda: gateway_calls.runs_of(context, attempt), "it does not run"
        )
        context.fleet["edge-2"].kill()

    context.sent = gateways.headers(5.0)
    thread = threading.Thread(target=kill)
    thread.start()
    connection = http.client.HTTPConnection(
        context.gateway.host, gateways.FRONT_PORT, timeout=10
    )
    connection.request("POST", path, b"hold", context.sent)
    response = connection.getresponse()
    headers = {name.lower(): value for name, value in response.getheaders()}
    context.answer = gateway_calls.http.Answer(
        response.status, headers, response.read()
    )
    connection.close()
    thread.join()


@behave.given("a site with a gateway whose messages are sealed")
def step_sealed_site(context):
    context.fleet = gateways.GatewayFleet()
    context.fleet.start_store()
    context.fleet.take_authority()
    context.fleet.start_replicas([("app-1", "app", "")])
    context.gateway = context.fleet.start_gateway("edge-1", keys=["secret"])
    context.fleet.until_known("edge-1", "app-1")


@behave.when(
    "a request that no gateway has sealed comes to the port for gateways"
)
def step_unsealed(context):
    request = forward_messages.Request(
        id="a1",
        method="POST",
        target="/seats/7",
        host=gateways.HOST,
        fields=[],
        body=b"hold",
        age=0.0,
        left=5.0,
        version=0,
        account="",
        runs=0,
        model="",
        chain=[],
        prompt_tokens=0,
        output_tokens=0,
    )
    context.answers = []
    for keys in ([], ["another"]):
        frame = forward_messages.encode_request(request, seals.Sealer(keys))
        answer = gateway_calls.http.post(
            f"http://{context.gateway.host}:{gateways.PEER_PORT}"
            f"{forward_messages.PATH}",
            frame,
        )
        reader = forward_messages.MessageReader(seals.Sealer(["secret"]))
        context.answers.append(list(reader.feed(answer.body)))


@behave.then("it is declined and no replica ran anything")
def step_declined(context):
    for messages in context.answers:
        kinds = [type(message) for message in messages]
        assert kinds == [forward_messages.Declined], messages
    for name, record in gateway_calls.records(context).items():
        assert not record["runs"], (name, record["runs"])
