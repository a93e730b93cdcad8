"""Steps on answers that never end."""

import asyncio
import contextlib
import time

import aiohttp
import behave
from features.support import fixed_leader

from gypsumfold import exceptions
from gypsumfold.decisions import types as decision_types
from gypsumfold.gateway import connection_pool
from gypsumfold.gateway import progress as progress_module
from gypsumfold.gateway import streams
from gypsumfold.gateway import types
from gypsumfold.gateway.peers import queries
from gypsumfold.gateway.peers import seals
from gypsumfold.platform import names
from gypsumfold.platform import operations as operations_module
from gypsumfold.platform import replicas
from gypsumfold.platform import store as store_module

HOST = "127.0.0.1"
PIECE = b"x" * 65536
TRICKLE = b"x"
# Seconds between two bytes of a trickle.
TRICKLE_PAUSE = 0.02
# Bytes that the sockets of both sides may take beyond what is read.
SOCKETS = 8 * 1024 * 1024
MB = 1024 * 1024
# Seconds until the caller of a request leaves.
DEADLINE = 2.5
ORDER = types.Order(decision_types.Role.DECODE, "edge-1", 1, 0)
STATUSES = {
    "a refused run": f"503 Service Unavailable\r\n{names.NOT_RUN}: 1",
    "a mismatched run": "421 Misdirected Request",
    "a failed stream": "500 Internal Server Error",
}
WHOLE = (
    f"HTTP/1.1 200 OK\r\n{names.SEAL}: s\r\nContent-Length: 2\r\n\r\nok"
).encode()
# Parts of an answer that come again and again, behind its begin.
POURED = {
    "in its body": (b"", PIECE),
    "in its head": (b"X-A: 1\r\nX-B: ", PIECE),
    "in heads of no answer": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 500),
    "in a chunk's extension": (
        b"Transfer-Encoding: chunked\r\n\r\n2;a=",
        PIECE,
    ),
    "after a whole answer": (b"", PIECE),
    "in one event": (b"", PIECE),
}


class Recorded:
    """Keeps the one answer of a request."""

    def __init__(self):
        self.size = 0
        self.events = 0
        self.is_complete = False

    async def send(self, status, reason, fields, body):
        self.size += len(body)

    async def start(self, status, reason, fields, length):
        pass

    async def write(self, data):
        self.size += len(data)
        self.events += data.count(b"\n\n")

    async def end(self):
        self.is_complete = True


class Listener:
    """Notices nothing."""

    def bytes_received(self):
        pass

    def output_received(self):
        pass

    def output_forwarded(self):
        pass


class Pouring:
    """A replica whose answers have no end.

    Attributes:
        sent: Bytes that the connections have taken.
    """

    def __init__(self, call, place, trickles=False):
        self.call = call
        self.place = place
        self.trickles = trickles
        self.sent = 0

    def begin(self):
        """The first bytes of the answer."""
        if self.place == "after a whole answer":
            return WHOLE
        if self.place == "in heads of no answer":
            return b""
        begin, _ = POURED[self.place]
        status = STATUSES.get(self.call, "200 OK")
        head = f"HTTP/1.1 {status}\r\n{names.SEAL}: s\r\n".encode()
        if self.place in ("in its body", "in one event"):
            begin = b"Content-Type: text/event-stream\r\n\r\n"
        return head + begin

    async def answer(self, reader, writer):
        """Answers one request."""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.begin())
            data = TRICKLE if self.trickles else POURED[self.place][1]
            while not writer.is_closing():
                writer.write(data)
                await writer.drain()
                self.sent += len(data)
                await asyncio.sleep(TRICKLE_PAUSE if self.trickles else 0)
        writer.close()


def make_call():
    """A request for a stream."""
    now = time.monotonic()
    return types.Call(
        id="a-1",
        method="POST",
        target="/x",
        host="h.example",
        fields=((b"Host", b"h.example"),),
        body=b"{}",
        arrival=now,
        deadline=now + DEADLINE,
    )


async def read_call(client, replica, call):
    """Sends a request and reads its whole answer."""
    answer = await client.send(replica, call, types.Instructions(DEADLINE))
    with contextlib.closing(answer):
        await answer.read()


async def refuse(client, replica, call):
    """Sends a request that is refused."""
    answer = await client.send(replica, call, types.Instructions(DEADLINE))
    with contextlib.closing(answer):
        assert answer.not_run
        await answer.drain()


async def forward(client, replica, call, reply=None):
    """Sends a request for a stream and forwards the answer."""
    answer = await client.send(replica, call, types.Instructions(DEADLINE))
    stream = streams.Stream(reply or Recorded(), resumable=True)
    with contextlib.closing(answer):
        await stream.forward(answer, progress_module.Progress(call), Listener())


async def ask_elsewhere(address, name):
    """Asks the store, another gateway or the platform."""
    host, _, port = address.rpartition(":")
    if name == "a store read":
        store = store_module.Store(address)
        with contextlib.suppress(exceptions.PlatformError):
            await store.read("keyed.op", 0, 0.0)
        await store.close()
    elif name == "a usage report":
        operations = operations_module.Operations(address)
        with contextlib.suppress(exceptions.OperationsUnavailable):
            await operations.report_usage(
                b"{}", "edge-1", fixed_leader.grant(1)
            )
        await operations.close()
    else:
        async with aiohttp.ClientSession() as session:
            asking = queries.QueryClient(session, seals.Sealer([]))
            with contextlib.suppress(exceptions.PeerError):
                await asking.fetch((host, int(port)), queries.CACHES)


async def make(client, replica, name):
    """Makes one kind of call, as the parts of a gateway do."""
    call = make_call()
    if name == "a prefill":
        await client.prefill(replica, call, types.Instructions(DEADLINE))
    elif name == "a report":
        await client.state(replica)
    elif name == "a cache list":
        await client.cache_list(replica)
    elif name == "an order":
        await client.order(replica, ORDER, fixed_leader.grant(1))
    elif name == "a refused run":
        await refuse(client, replica, call)
    elif name in ("a store read", "a question", "a usage report"):
        await ask_elsewhere(replica.address, name)
    elif name in ("a failed stream", "a stream"):
        await forward(client, replica, call)
    else:
        await read_call(client, replica, call)


async def serve(pouring):
    """Starts a replica; returns its server and what knows of it."""
    server = await asyncio.start_server(pouring.answer, HOST, 0)
    address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
    return server, types.Replica("i-1", "s", address, "dc", 4, False)


async def measure(pouring):
    """Makes a call; returns its seconds."""
    server, replica = await serve(pouring)
    client = replicas.Replicas(connection_pool.Pool())
    begin = time.monotonic()
    with contextlib.suppress(exceptions.EndpointError, TimeoutError):
        # The handler ends each request at its deadline, and each call of the
        # gateway's own has a limit that is shorter.
        async with asyncio.timeout(DEADLINE):
            await make(client, replica, pouring.call)
    seconds = time.monotonic() - begin
    client.pool.close()
    server.close()
    return seconds


@behave.then(
    "{call} that gets {what} without end {place} ends within {seconds:g} "
    "seconds after at most {size:d} MB"
)
def step_ends(context, call, what, place, seconds, size):
    pouring = Pouring(call, place, what == "a trickle")
    took = asyncio.run(measure(pouring))
    assert took <= seconds, took
    assert pouring.sent <= size * MB + SOCKETS, pouring.sent


@behave.then(
    "{count:d} plain calls that get bytes without end hold at most {size:d} "
    "MB together"
)
def step_together(context, count, size):
    held = []

    async def story():
        pouring = Pouring("a plain call", "in its body")
        server, replica = await serve(pouring)
        client = replicas.Replicas(connection_pool.Pool())
        tasks = []
        for _ in range(count):
            tasks.append(
                asyncio.create_task(make(client, replica, pouring.call))
            )
        while not all(task.done() for task in tasks):
            held.append(client.pool.held_bytes)
            await asyncio.sleep(0.01)
        results = await asyncio.gather(*tasks, return_exceptions=True)
        for result in results:
            assert isinstance(result, exceptions.AnswerBroken), result
        assert client.pool.held_bytes == 0
        server.close()

    asyncio.run(story())
    assert max(held) <= size * MB, max(held)


@behave.then("a stream of {count:d} chunks of one event each arrives whole")
def step_small_chunks(context, count):
    reply = Recorded()

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(
            f"HTTP/1.1 200 OK\r\n{names.SEAL}: s\r\nContent-Type: "
            "text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
        )
        event = b"b\r\ndata: abc\n\n\r\n"
        for begin in range(0, count, 100):
            writer.write(event * min(100, count - begin))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        writer.close()

    async def story():
        server = await asyncio.start_server(answer, HOST, 0)
        address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
        replica = types.Replica("i-1", "s", address, "dc", 4, False)
        client = replicas.Replicas(connection_pool.Pool())
        async with asyncio.timeout(60.0):
            await forward(client, replica, make_call(), reply)
        server.close()

    asyncio.run(story())
    assert reply.is_complete
    assert reply.events == count, reply.events
