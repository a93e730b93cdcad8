"""What callers send through a gateway, and what replicas recorded of it."""

from http import client

from features.support import gateways
from features.support import http
from gypsumfold.platform import names

PLAINS = ("app-1", "app-2")


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
        if name in ("store", "proxy") or name.startswith("edge"):
            continue
        for run in context.fleet[name].test("record")["runs"]:
            if run["attempt"] == attempt:
                found.append((name, run))
    return found


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


def stream(context, path, chain, wait=5.0, after="", **extra):
    """Asks for one stream; keeps its events and how it ended.

    Args:
        context: Behave's.
        path: Where.
        chain: The prompt's parts.
        wait: Seconds that the caller waits.
        after: The last event that the caller has; empty for none.
        **extra: More headers.
    """
    context.sent = {**gateways.headers(wait, chain, stream=True), **extra}
    if after:
        context.sent[names.LAST_EVENT] = after
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
