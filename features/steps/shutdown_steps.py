"""Steps on the graceful shutdown of a node."""

import contextlib
import http.client
import socket
import threading
import time

import behave
from features.support import deployments
from features.support import fleets
from features.support import http as http_support

from gypsumfold_standins import tokens

NODES = ("entry-1", "entry-2")
# Seconds that the requests in progress take: far more than a notice time.
CALL_SECONDS = 2.0
# Of the engine's steps: an answer of 40 tokens then takes about 3 s.
SLOW = 75.0
# The fewest tokens of a stream in progress.
LONG = 40
# Seconds of the balancer's look at readiness; below the notice time.
BALANCER_LOOK = 0.05
CALLERS = 4


class Caller(threading.Thread):
    """One request in the background, and whether its answer came whole."""

    def __init__(self, kind: str, node, content: str):
        super().__init__(daemon=True)
        self.kind = kind
        self.node = node
        self.content = content
        self.right = False
        self.seen: object = None

    def run(self):
        if self.kind == "stream":
            self.seen = deployments.complete(self.node, self.content)
            self.right = self.seen.right
            return
        self.seen = deployments.call(self.node, self.content)
        if self.seen is not None:
            wanted = deployments.expected_call(self.content)
            self.right = self.seen.body == wanted


@behave.given("a fleet to stop nodes of, with slow answers")
def step_fleet(context):
    fleet = context.fleet = fleets.Fleet("shutdown")
    fleet.start_platform()
    fleet.start_engine("lm-1").faults(slow=SLOW)
    fleet.start_service("app-1", seconds=CALL_SECONDS)
    fleet.start_nodes(NODES[0], shutdown={"notice": 0.8, "limit": 60.0})
    fleet.start_nodes(NODES[1], shutdown={"notice": 0.8, "limit": 1.0})
    deployments.declare(fleet)
    context.callers = []


def long_content(text: str) -> str:
    """Makes a prompt whose answer is long."""
    while True:
        messages = deployments.messages(text)
        if len(tokens.answer(deployments.MODEL, messages, 100)) >= LONG:
            return text
        text += "."


def start_callers(context, node) -> None:
    """Starts requests and waits until the endpoints run them."""
    for kind in ("stream", "call", "stream", "call"):
        content = long_content(f"{kind} {len(context.callers)}")
        caller = Caller(kind, node, content)
        caller.start()
        context.callers.append(caller)
    engine, plain = context.fleet["lm-1"], context.fleet["app-1"]
    context.fleet.until(lambda: len(engine.test("dispatches")) == 2)
    context.fleet.until(lambda: len(plain.test("dispatches")) == 2)


@behave.given("the engine is stuck")
def step_stuck(context):
    context.fleet["lm-1"].faults(stuck=True)


@behave.when('node "{name}" is told to stop, with requests in progress')
def step_stop(context, name):
    node = context.fleet[name]
    start_callers(context, node)
    node.terminate()


def readiness(node) -> int:
    """The status of the balancer's question; 0 if nobody listens."""
    with contextlib.suppress(*http_support.Gone):
        return http_support.get(f"{node.url}/ready", timeout=5.0).status
    return 0


@behave.then('node "{name}" is not ready but serves new requests whole')
def step_notice(context, name):
    node = context.fleet[name]
    context.fleet.until(lambda: readiness(node) == 503)
    context.late = [
        Caller("stream", node, "late stream"),
        Caller("call", node, "late call"),
    ]
    for caller in context.late:
        caller.start()
    for caller in context.late:
        caller.join()
        assert caller.right, caller.seen


@behave.then("these answers close their connections")
def step_closing(context):
    for caller in context.late:
        assert caller.seen.headers.get("connection") == "close", caller.seen


@behave.then("all requests in progress end whole")
def step_whole(context):
    for caller in context.callers:
        caller.join()
        assert caller.right, (caller.kind, caller.seen)


@behave.then('node "{name}" ends by itself with exit code {code:d}')
def step_ends(context, name, code):
    node = context.fleet[name]
    context.fleet.until(lambda: not node.alive)
    assert node.child.returncode == code, node.child.returncode


@behave.then("no endpoint saw a cancelled or repeated dispatch")
def step_records(context):
    for record in context.fleet["lm-1"].test("dispatches"):
        assert record["state"] == "done", record
        assert not record["prior"], record
    counts = context.fleet["app-1"].test("counts")["bodies"]
    assert set(counts.values()) == {1}, counts


@behave.then('node "{name}" refuses connections while its stream goes on')
def step_refuses(context, name):
    node = context.fleet[name]
    context.fleet.until(lambda: readiness(node) == 0)
    assert context.callers[0].is_alive()
    assert node.alive


@behave.given('an idle kept-alive connection to node "{name}"')
def step_idle(context, name):
    node = context.fleet[name]
    context.idle = http.client.HTTPConnection(node.address, timeout=30.0)
    context.idle.request("GET", "/v1/models", headers=deployments.headers())
    context.idle.getresponse().read()
    assert context.idle.sock is not None


@behave.then(
    "the kept-alive connection ends without a reset, before the stream"
)
def step_idle_ends(context):
    assert context.idle.sock.recv(1) == b""
    # It ends at the notice's end and not with the process.
    assert context.callers[0].is_alive()
    context.idle.sock.shutdown(socket.SHUT_WR)
    context.idle.close()


@behave.then('node "{one}" sees that node "{other}" is stopping')
def step_told(context, one, other):
    fleet = context.fleet
    text = f'show nodes where name = "{other}" and stopping = true'

    def told() -> bool:
        answer = fleet.operate("/v1/queries", {"text": text}, fleet[one])
        assert answer.status == 200, answer
        return bool(answer.json()["rows"])

    fleet.until(told)


@behave.then('node "{name}" logs that it gave a request up')
def step_gave_up(context, name):
    node = context.fleet[name]
    context.fleet.until(lambda: node.events(107))


@behave.then("each request given up got a final answer with a time to return")
def step_final(context):
    assert any(caller.kind == "stream" for caller in context.callers)
    for caller in context.callers:
        caller.join()
        if caller.right:
            continue
        found = caller.seen
        assert found is not None and found.status in (502, 504), found
        said = found.headers.get("gypsumfold-outcome")
        assert said in ("undetermined", "failed-after-start"), found
        assert "retry-after" in found.headers, found


def load_nodes(context, number: int, over: threading.Event) -> None:
    """Sends one request after another to nodes that the balancer trusts."""
    turn = number
    while not over.is_set():
        ready = list(context.trusted)
        if not ready:
            time.sleep(BALANCER_LOOK)
            continue
        turn += 1
        kind = ("stream", "call")[turn % 2]
        node = context.fleet[ready[turn % len(ready)]]
        caller = Caller(kind, node, f"load {number} {turn}")
        context.callers.append(caller)
        caller.run()


def balance(context, over: threading.Event) -> None:
    """Trusts the nodes that said they are ready a look ago."""
    while not over.is_set():
        ready = [n for n in NODES if readiness(context.fleet[n]) == 200]
        context.trusted = ready
        time.sleep(BALANCER_LOOK)


@behave.when("callers load all ready nodes while each is stopped and replaced")
def step_rolling(context):
    fleet = context.fleet
    fleet["lm-1"].faults(slow=3.0)
    fleet["app-1"].faults(seconds=0.2)
    over = threading.Event()
    context.trusted = list(NODES)
    threads = [threading.Thread(target=balance, args=(context, over))]
    for number in range(CALLERS):
        threads.append(
            threading.Thread(target=load_nodes, args=(context, number, over))
        )
    for thread in threads:
        thread.start()
    try:
        for name in NODES:
            seen = len(context.callers)
            fleet.until(lambda seen=seen: len(context.callers) > seen + CALLERS)
            assert fleet[name].stop() == 0
            fleet[name].restart()
            fleet.until(lambda name=name: name in context.trusted)
    finally:
        over.set()
        for thread in threads:
            thread.join()


@behave.then("every one of their answers came whole")
def step_all_whole(context):
    wrong = [c.seen for c in context.callers if not c.right]
    assert not wrong, (len(wrong), len(context.callers), wrong[0])
    assert len(context.callers) > 4 * CALLERS, len(context.callers)
