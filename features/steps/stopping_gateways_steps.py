"""Steps on gateways that are stopped while their callers go on."""

import contextlib
import re
import signal
import time
import uuid

import behave
from features.support import gateways
from features.support import kept_callers

REPLICAS = ("app-1", "app-2")
CALLERS = 12
# Seconds after the signal at which the first and the last caller sends its
# call, over all of the grace of 6 s.
FIRST_CALL = 0.3
LAST_CALL = 5.6
BODY = b"x" * 400
PIECES = 4
# Seconds of a call that a caller waits for, and of its route's timeout.
TIMEOUT_MS = 12_000


@behave.given(
    "two gateways that callers keep connections to, and calls of {seconds:g} s"
)
def step_gateways(context, seconds):
    fleet = context.fleet = gateways.GatewayFleet()
    fleet.routes = [
        {**gateways.PLAIN, "timeoutMs": TIMEOUT_MS},
        {**gateways.LOOKUP, "timeoutMs": TIMEOUT_MS},
    ]
    fleet.start_store()
    fleet.start_replicas([(name, "app", "") for name in REPLICAS])
    for name in ("edge-1", "edge-2"):
        fleet.store_proxy(name)
        fleet.start_gateway(name, first_start=True)
    for name in REPLICAS:
        fleet.until_known("edge-1", name)
    context.callers = []
    for _ in range(CALLERS):
        caller = kept_callers.Caller(fleet["edge-1"].host)
        attempt = new_attempt()
        head = kept_callers.head("GET", "/lookups/1", attempt)
        assert caller.exchange(attempt, head) == 200, caller.outcomes
        caller.outcomes.clear()
        context.callers.append(caller)
    for name in REPLICAS:
        fleet[name].faults(seconds=seconds)


@behave.given("the first gateway has served such calls")
def step_served(context):
    for number, caller in enumerate(context.callers[:4]):
        attempt = new_attempt()
        data = kept_callers.head("POST", f"/seats/{number}", attempt)
        caller.send_later(0.0, [(data, 0.0)], [attempt])
    for caller in context.callers[:4]:
        caller.thread.join()
        assert caller.outcomes.pop().status == 200
        caller.thread = None


def new_attempt() -> str:
    """Makes the id of a call."""
    return uuid.uuid4().hex[:16]


@behave.when("the first gateway is told to stop while {outage}")
def step_stop(context, outage):
    fleet = context.fleet
    store = fleet.store_proxies["edge-1"]
    gateway = fleet["edge-1"]
    if outage == "the store has been silent since its start":
        gateway.child.send_signal(signal.SIGKILL)
        gateway.child.wait()
        store.partition()
        gateway.restart()
        wait_until_listening(gateway.host)
        for caller in context.callers:
            caller.sock.close()
        context.callers = [kept_callers.Caller(gateway.host) for _ in range(4)]
    if outage.startswith("the store is silent"):
        store.partition()
        # A call of the gateway is on its way by then.
        time.sleep(1.0)
    if outage.startswith("each byte of the store"):
        store.delay(0.35)
    if outage == "the store is cut off":
        store.cut()
    if outage == "the store is killed":
        fleet["store"].kill()
        fleet.closing.set()
    if outage.endswith("frozen"):
        fleet["edge-2"].freeze()
    gateway.terminate()
    context.stopped_at = time.monotonic()
    after = re.search(r"falls silent after ([0-9.]+) s", outage)
    if after:
        time.sleep(float(after[1]))
        store.partition()
    if outage.endswith("told so again"):
        time.sleep(0.5)
        gateway.terminate()
    if outage.endswith("settings change"):
        time.sleep(0.5)
        gateway.child.send_signal(signal.SIGHUP)


def wait_until_listening(host: str) -> None:
    """Waits until a gateway accepts connections."""

    def is_open() -> bool:
        with contextlib.suppress(OSError):
            kept_callers.Caller(host).sock.close()
            return True
        return False

    gateways.until(is_open, "the gateway doesn't listen")


@behave.when(
    "callers send calls that may run once on their kept connections until it "
    "has ended"
)
def step_calls(context):
    step = (LAST_CALL - FIRST_CALL) / (len(context.callers) - 1)
    for number, caller in enumerate(context.callers):
        attempt = new_attempt()
        data = kept_callers.head("POST", f"/seats/{number}", attempt)
        at = context.stopped_at + FIRST_CALL + number * step
        caller.send_later(at, [(data, 0.0)], [attempt])
    finish(context)


@behave.when("callers send, {seconds:g} s later, {how}")
def step_send(context, seconds, how):
    for number, caller in enumerate(context.callers[:4]):
        attempts = [new_attempt()]
        path = f"/seats/{number}"
        pieces = [(kept_callers.head("POST", path, attempts[0]), 0.0)]
        if "two" in how or "another" in how:
            attempts.append(new_attempt())
            pause = 0.3 if "another" in how else 0.0
            second = kept_callers.head("POST", path, attempts[1])
            pieces.append((second, pause))
        whole = re.search(r"pieces over ([0-9.]+) s", how)
        if whole:
            head = kept_callers.head("POST", path, attempts[0], len(BODY))
            size = len(BODY) // PIECES
            pieces = [(head, 0.0)]
            for _ in range(PIECES):
                pieces.append((BODY[:size], float(whole[1]) / PIECES))
        caller.send_later(context.stopped_at + seconds, pieces, attempts)
    finish(context)


def finish(context) -> None:
    """Waits for all callers, and reads what the replicas have run."""
    context.outcomes = []
    for caller in context.callers:
        caller.join()
        context.outcomes += caller.outcomes
    context.runs = set()
    for name in REPLICAS:
        for run in context.fleet[name].test("record")["runs"]:
            context.runs.add(run["attempt"])
    if context.fleet["edge-2"].frozen:
        context.fleet["edge-2"].thaw()


@behave.then("none of these calls has run without an answer")
def step_answered(context):
    for outcome in context.outcomes:
        if outcome.status is None:
            assert outcome.attempt not in context.runs, context.outcomes


@behave.then("each of these calls has an answer")
def step_all_answered(context):
    assert context.outcomes
    for outcome in context.outcomes:
        assert outcome.status is not None, context.outcomes


@behave.then("each refusal among the answers is true")
def step_true(context):
    for outcome in context.outcomes:
        if outcome.status in (408, 421, 429, 503):
            assert outcome.attempt not in context.runs, context.outcomes


@behave.then("each of these calls was refused before it was passed on")
def step_refused(context):
    for outcome in context.outcomes:
        assert outcome.status == 503, context.outcomes
        assert outcome.attempt not in context.runs, context.outcomes


@behave.then("the first gateway has ended by itself")
def step_ended(context):
    gateway = context.fleet["edge-1"]
    gateways.until(lambda: not gateway.alive, "the gateway has not ended")
    assert gateway.child.returncode == 0, gateway.child.returncode
