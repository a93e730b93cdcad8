"""A fleet for keyed calls, and what tests ask of it."""

import json
import time
import uuid

import uuid6

from features.support import deployments
from features.support import fleets
from features.support import http

KEY = "Idempotency-Key"
NODES = ("entry-1", "entry-2", "entry-3")
SERVICES = ("ramp-1", "ramp-2")
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


def complete(answer: http.Answer | None) -> http.Answer | None:
    return answer if outcome(answer) == "complete" else None


def answered(context, node: str, body: str, key: str = "") -> http.Answer:
    """Makes a call that has to be answered."""
    found = call(context, node, body, key)
    assert complete(found), found
    return found


def executions(context, body: str) -> int:
    found = 0
    for name in SERVICES:
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


def start_fleet(context, **platform: float) -> None:
    fleet = context.fleet = fleets.Fleet("calls")
    context.told = []
    fleet.start_platform()
    fleet.start_service("ramp-1", "north-apron")
    fleet.start_service("ramp-2", "north-apron")
    # entry-1 reaches the log and the services through proxies.
    context.log = fleet.proxy(fleet["log"])
    proxies = [fleet.proxy(fleet[name]) for name in SERVICES]
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


def all_leave(context, leaving: bool) -> None:
    for name in SERVICES:
        context.fleet[name].faults(leaving=leaving)
