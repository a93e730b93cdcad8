"""Steps on crowds of misbehaving clients and what a gateway bears."""

import pathlib
import resource

import behave
from features.support import crowd_clients
from features.support import crowds
from features.support import gateway_calls as callers
from features.support import gateways
from features.support import http

# Attempts of an ordinary caller and seconds for each wait on its socket.
ATTEMPTS = 3
PATIENCE = 10.0
# Events: orders may be sent, and may no longer be sent.
GAINED = 610
LOST = 611


@behave.given("a gateway on a small VM, before two replicas")
def step_gateway(context):
    start(context, crowds.DESCRIPTORS)


@behave.given("a gateway on a small VM with {descriptors:d} descriptors")
def step_descriptors(context, descriptors):
    context.fleet.close()
    start(context, descriptors)


def start(context, descriptors):
    context.descriptors = descriptors
    fleet = gateways.GatewayFleet()
    context.fleet = fleet
    fleet.limits = crowds.LIMITS
    fleet.routes = [{**gateways.LOOKUP, "timeoutMs": 20_000}]
    for route in (gateways.BRIEF, gateways.SWAP):
        fleet.routes.append({**route, "timeoutMs": 20_000})
    fleet.sections["process"] = {
        "memory_mb": crowds.MEMORY_MB,
        "descriptors": descriptors,
    }
    fleet.start_store()
    fleet.start_replicas([(name, "app", "") for name in callers.PLAINS])
    context.gateway = fleet.start_gateway("edge-1")
    for name in fleet.entries:
        fleet.until_known("edge-1", name)
    limits = (descriptors, descriptors)
    resource.prlimit(context.gateway.pid, resource.RLIMIT_NOFILE, limits)
    context.crowds = []


@behave.given("replicas that take {seconds:g} s for each request")
def step_slow(context, seconds):
    for name in context.fleet.entries:
        context.fleet[name].faults(seconds=seconds)


@behave.given("replicas whose answers have {size:d} KiB")
def step_large(context, size):
    for name in context.fleet.entries:
        context.fleet[name].faults(padding=size * 1024)


@behave.given("engines that pour {what} without end")
def step_pour(context, what):
    fault = "endless" if what == "one event" else "endless_events"
    engines = ("lm-1", "lm-2", "lm-3", "lm-4")
    context.fleet.start_replicas([(name, "lm", "decode") for name in engines])
    for name in engines:
        context.fleet[name].faults(**{fault: 1_000_000})
        context.fleet.until_known("edge-1", name)


@behave.when('a crowd of "{crowd}" comes to "{place}"')
def step_crowd(context, crowd, place):
    found = crowds.PLACES[place]
    clients = crowds.CROWDS[crowd](found)
    context.crowds.append(
        crowd_clients.Crowd(context.gateway.host, found.port, clients)
    )
    context.add_cleanup(context.crowds[-1].close)
    context.crowds[-1].wait_until_there()


@behave.when("replicas answer as before")
def step_usual(context):
    for name in context.fleet.entries:
        context.fleet[name].faults(seconds=0.02, padding=0)


@behave.when("the crowd has gone")
def step_gone(context):
    for crowd in context.crowds:
        crowd.close()


@behave.then("the gateway lives within its memory and descriptors")
def step_bounds(context):
    gateway = context.gateway
    assert gateway.alive, gateway.tail()
    peak = crowds.peak_memory(gateway.pid)
    count = len(list(pathlib.Path(f"/proc/{gateway.pid}/fd").iterdir()))
    most = crowds.MEMORY_MB * crowds.MIB
    assert peak <= most, f"{peak / crowds.MIB:.0f} MB at its peak"
    assert count < context.descriptors, f"{count} descriptors"


@behave.then("an ordinary caller is served")
def step_ordinary(context):
    for _ in range(ATTEMPTS):
        sent = gateways.headers(PATIENCE)
        url = context.gateway.url + "/lookups/1"
        try:
            answer = http.get(url, headers=sent, timeout=PATIENCE)
        except http.Gone as error:
            found = repr(error)
            continue
        if answer.status == 200:
            callers.sealed(sent, answer)
            return
        found = str(answer)
    raise AssertionError(found)


@behave.given("the gateway holds the authority")
def step_holder(context):
    context.fleet.give_authority()
    gateways.until(
        lambda: context.gateway.events(GAINED), "nobody has the authority"
    )


@behave.then("the gateway has kept the authority")
def step_kept(context):
    assert not context.gateway.events(LOST), context.gateway.events(LOST)


@behave.then("the gateway ends by itself once it is told to stop")
def step_stop(context):
    assert context.gateway.stop() == 0, context.gateway.tail()


@behave.then("the gateway says that it is ready")
def step_ready(context):
    context.fleet.until_ready("edge-1")
