"""Steps on answers that come a second time."""

import asyncio
import contextlib
import json

import behave
from features.support import fixed_leader

from gypsumfold import exceptions
from gypsumfold.decisions import types as decision_types
from gypsumfold.gateway import connection_pool
from gypsumfold.gateway import types
from gypsumfold.platform import names
from gypsumfold.platform import replicas

HOST = "127.0.0.1"
SETTLE_SECONDS = 0.01
SEAL = "seal"
# What the replica's first and second report say of its orders.
ORDERS = (1, 2)


def head(status, body, *fields):
    """One answer with a length."""
    lines = [f"HTTP/1.1 {status}", *fields, f"Content-Length: {len(body)}"]
    return "\r\n".join([*lines, "", ""]).encode() + body


class ScriptedReplica:
    """Answers each request, and some a second time before the next answer.

    Attributes:
        repeats: Whether the first answer of each connection is repeated.
        runs: Requests that it ran.
    """

    def __init__(self, repeats):
        self.repeats = repeats
        self.runs = 0
        self.reports = 0
        self.orders = 0
        self.rejected = set()
        self.has_repeated = False

    async def serve(self, reader, writer):
        """Serves one connection."""
        late = b""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                request = await reader.readuntil(b"\r\n\r\n")
                lines = request.decode().split("\r\n")
                found = dict(line.split(": ", 1) for line in lines[1:-2])
                fields = {name.lower(): text for name, text in found.items()}
                await reader.readexactly(int(fields.get("content-length", 0)))
                answer = self.answer(lines[0].split(" ")[1], fields)
                writer.write(late + answer)
                late = b""
                if self.repeats and not self.has_repeated:
                    self.has_repeated = True
                    late = answer
        writer.close()

    def answer(self, path, fields):
        """The answer to one request."""
        attempt = fields.get(names.ATTEMPT.lower(), "")
        echo = f"{names.ATTEMPT}: {attempt}"
        if path == names.REPORT_PATH:
            self.reports += 1
            orders = ORDERS[min(self.reports, 2) - 1]
            return head("200 OK", json.dumps({"seq": orders}).encode())
        if path == names.CACHE_LIST_PATH:
            return head("200 OK", b'{"held": []}')
        if path == names.ORDER_PATH:
            self.orders += 1
            return head("409 Conflict" if self.orders > 1 else "202 OK", b"")
        if fields.get(names.STAGE.lower()) == "prefill":
            return head("200 OK", b'{"handle": "h-1"}', echo)
        if path == "/silently-rejected":
            return head("503 Unavailable", b"", f"{names.NOT_RUN}: 1")
        if path == "/rejected" and attempt not in self.rejected:
            self.rejected.add(attempt)
            return head("503 Unavailable", b"", echo, f"{names.NOT_RUN}: 1")
        self.runs += 1
        fields = [f"{names.SEAL}: {SEAL}-{self.runs}"]
        if path != "/silent":
            fields.append(echo)
        return head("200 OK", f"run {self.runs}".encode(), *fields)


def call(path, attempt):
    """A caller's request."""
    return types.Call(
        id=attempt,
        method="POST",
        target=path,
        host=HOST,
        fields=((b"Host", b"a"), (names.ATTEMPT.encode(), attempt.encode())),
        body=b"x",
        arrival=0.0,
        deadline=1e9,
    )


class Node:
    """Sends requests to the replica over its pooled connections."""

    def __init__(self, port):
        self.pool = connection_pool.Pool()
        self.endpoints = replicas.Replicas(self.pool)
        self.replica = types.Replica(
            "i-1", "lm", f"{HOST}:{port}", "north", 8, False
        )

    async def attempt(self, path, attempt, prefill=False):
        """Sends one attempt; returns its status and body."""
        answer = await self.endpoints.send(
            self.replica,
            call(path, attempt),
            types.Instructions(1.0, prefill=prefill),
        )
        return answer.status, await answer.read()

    async def send(self, what, attempt):
        """Sends what a scenario names."""
        if what == "a report":
            return (await self.endpoints.state(self.replica)).orders
        if what == "a list":
            return len((await self.endpoints.cache_list(self.replica)).blocks)
        if what == "an order":
            role = decision_types.Role.PREFILL
            order = types.Order(role, "edge-1", 7, 1)
            try:
                return await self.endpoints.order(
                    self.replica, order, fixed_leader.grant(order.token)
                )
            except exceptions.OrderRefused:
                return "refused"
        if what == "an attempt without an echo":
            return await self.attempt("/silent", f"silent-{attempt}")
        if what == "an attempt it rejects without an echo":
            return await self.attempt("/silently-rejected", "a-3")
        if what == "an attempt to prefill":
            return await self.attempt("/rejected", "a-1", prefill=True)
        name = "a-2" if what == "another attempt" else "a-1"
        return await self.attempt("/rejected", name)


def own_answer(first, then):
    """What the replica answers to the second request itself."""
    if then == "an order":
        return "refused" if first == "an order" else True
    if then == "a report":
        return ORDERS[0]
    if then == "an attempt it rejects without an echo":
        return 503, b""
    if then == "an attempt without an echo":
        return 200, b"run 2"
    return (503, b"") if first.endswith("prefill") else (200, b"run 1")


@behave.given("a replica whose answer to {first} comes a second time")
def step_repeats(context, first):
    context.scripted = ScriptedReplica(repeats=True)


@behave.given("a replica that answers once")
def step_once(context):
    context.scripted = ScriptedReplica(repeats=False)


def play(context, story):
    """Runs a story of a node before the replica."""

    async def run():
        server = await asyncio.start_server(context.scripted.serve, HOST, 0)
        async with server:
            node = Node(server.sockets[0].getsockname()[1])
            try:
                await story(node)
            finally:
                node.pool.close()
                # Lets the replica see that its connections are closed.
                await asyncio.sleep(SETTLE_SECONDS)
            context.opened = node.pool.opened

    asyncio.run(run())


@behave.when("a node sends it {first} and then {then}")
def step_send(context, first, then):
    async def story(node):
        await node.send(first, 1)
        try:
            context.found = await node.send(then, 2)
        except exceptions.AnswerBroken:
            context.found = None

    context.own = own_answer(first, then)
    play(context, story)


@behave.then("the second one is rejected as not run")
@behave.then("the second one has its own answer")
def step_own(context):
    assert context.found == context.own, (context.found, context.own)


@behave.then("the second one has no answer")
def step_none(context):
    assert context.found is None, context.found


@behave.when(
    "a node sends it {attempts:d} attempts and {reports:d} reports in turn"
)
def step_many(context, attempts, reports):
    async def story(node):
        for number in range(attempts):
            await node.attempt("/", f"a-{number}")
            if number < reports:
                await node.send("a report", number)

    play(context, story)


@behave.then("it has opened {count:d} connection")
@behave.then("it has opened {count:d} connections")
def step_opened(context, count):
    assert context.opened == count, context.opened
