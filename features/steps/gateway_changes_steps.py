"""Steps on gateways while replicas, store and settings change."""

import signal
import socket
import threading
import time

import behave
from features.support import gateway_calls as callers
from features.support import gateways
from features.support import http

from gypsumfold.platform import names


@behave.given("another writer's entry has {slots:d} slots")
def step_foreign_entry(context, slots):
    entry = {**context.fleet.entries["app-1"], "service": "other"}
    context.fleet.write(
        names.REGISTRATIONS_TOPIC, "i-other", {**entry, "slots": slots}
    )


@behave.then("a gateway that starts now gets ready")
def step_starts(context):
    context.fleet.start_gateway("edge-2")


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
    context.fleet.until_sharing("edge-1")
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
        answer = callers.call(context, "POST", path, b"hold")
        callers.sealed(context.sent, answer)


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
        return callers.call(context, "POST", "/added/1", b"hold").status == 200

    gateways.until(served, "the new route is not in force")


@behave.given("the store is silent")
def step_silent(context):
    context.fleet["store"].faults(silent=True)


@behave.when("another gateway starts")
def step_another(context):
    context.gateway = context.fleet.start_gateway("edge-2", ready=False)

    def listens() -> bool:
        try:
            callers.call(context, "POST", "/seats/7", b"hold")
        except http.Gone:
            return False
        return True

    gateways.until(listens, "it does not listen")


@behave.then("it answers 503 and is not ready")
def step_not_ready(context):
    assert context.answer.status == 503, context.answer
    assert not context.fleet.is_ready("edge-2")


@behave.given("a stream takes {seconds:f} seconds")
def step_long_stream(context, seconds):
    context.fleet["decoder-1"].faults(event_seconds=seconds / 5)


@behave.when(
    "the gateway is told to stop while a stream runs and a connection is idle"
)
def step_stop(context):
    host, port = context.gateway.host, gateways.FRONT_PORT
    idle = socket.create_connection((host, port), timeout=gateways.LIMIT)
    times = {}

    def wait_for_close() -> None:
        times["idle"] = (idle.recv(1), time.monotonic())

    def read_stream() -> None:
        # Longer than the stop may take: the stop must not cut the stream, and
        # the caller's own deadline is not to do it either.
        callers.stream(context, "/briefs/1", "aa:4000,bb:300", wait=8.0)
        times["stream"] = time.monotonic()

    threads = []
    for function in (wait_for_close, read_stream):
        threads.append(threading.Thread(target=function))
        threads[-1].start()
    gateways.until(
        lambda: context.fleet["decoder-1"].test("record")["runs"],
        "the stream does not run",
    )
    context.gateway.terminate()
    for thread in threads:
        thread.join()
    idle.close()
    context.times = times


@behave.then("the idle connection was closed while the stream still ran")
def step_idle_closed(context):
    data, closed = context.times["idle"]
    assert data == b"", data
    assert closed < context.times["stream"], context.times
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
    answer = callers.call(context, "POST", "/seats/7", b"hold")
    callers.sealed(context.sent, answer)
