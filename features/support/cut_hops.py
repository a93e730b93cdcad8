"""Forwards requests to nodes whose answers are cut at each byte."""

import asyncio
import random
from typing import NamedTuple

from features.support import cut_replicas
from gypsumfold import exceptions
from gypsumfold.decisions import members
from gypsumfold.decisions import peer_choice
from gypsumfold.decisions import routes
from gypsumfold.gateway import progress as progress_module
from gypsumfold.gateway import types
from gypsumfold.gateway.peers import forward_messages
from gypsumfold.gateway.peers import forwarding
from gypsumfold.gateway.peers import seals

HOST = "127.0.0.1"
# Seconds, far above what any of the exchanges takes.
LIMIT = 60.0
PIECES = (b"id: 1\n\n", b"id: 2\n\n")


class Received:
    """What a caller receives.

    Attributes:
        status: Of the head; 0 before it.
        body: What came of the body.
        is_complete: Whether its end came.
        error: What the node answers or breaks off with; None for nothing.
    """

    def __init__(self):
        self.status = 0
        self.body = b""
        self.is_complete = False
        self.error: Exception | None = None

    async def start(self, status, reason, fields, length):
        assert not self.status, "a second head"
        self.status = status

    async def write(self, data):
        self.body += data

    async def end(self):
        self.is_complete = True


class Permits:
    """Permits each retry."""

    async def take(self, service):
        return True


class Choice(peer_choice.PeerChoice):
    """Asks the nodes in the order of their names."""

    def candidates(self, service, members, now):
        return members


class Outcome(NamedTuple):
    """What came of one request.

    Attributes:
        size: Bytes of the first node's answer that were sent.
        received: What its caller received.
        asked: Requests that came at the nodes, in order.
    """

    size: int
    received: Received
    asked: list[str]


def whole_answer(framing: str, sealer: seals.Sealer) -> tuple[bytes, int]:
    """The bytes of a node's answer, and how many of them tell its end."""
    head = forward_messages.Head(200, "OK", [(b"Response-Seal", b"s")])
    found = [forward_messages.Alive(), head]
    found += [forward_messages.Data(piece) for piece in PIECES]
    found += [forward_messages.Alive(), forward_messages.End()]
    frames = [forward_messages.encode_message(each, sealer) for each in found]
    lines = b"HTTP/1.1 200 OK\r\nConnection: close\r\n"
    if framing == "unframed":
        data = lines + b"\r\n" + b"".join(frames)
        return data, len(data)
    if framing == "length":
        body = b"".join(frames)
        data = lines + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
        return data, len(data)
    data = lines + b"Transfer-Encoding: chunked\r\n\r\n"
    data += b"".join(b"%x\r\n%b\r\n" % (len(each), each) for each in frames)
    return data + b"0\r\n\r\n", len(data) - 2


class Nodes:
    """A node that cuts its answers, and one that doesn't."""

    def __init__(self, framing: str, ends: str, sealer: seals.Sealer):
        self.whole, self.end = whole_answer(framing, sealer)
        self.ends = ends
        self.sealer = sealer
        self.asked: dict[str, list[str]] = {}

    async def start(self) -> tuple[list[members.Member], list[asyncio.Server]]:
        """Starts both."""
        found = []
        servers = []
        for name in ("cutting", "sound"):

            async def serve(reader, writer, name=name):
                await self.serve(name, reader, writer)

            server = await asyncio.start_server(serve, HOST, 0)
            servers.append(server)
            address = server.sockets[0].getsockname()
            found.append(members.Member(name, name, "north", address))
        return found, servers

    async def serve(self, name, reader, writer) -> None:
        """Answers one request."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        length = int(head.split("content-length: ")[1].split("\r\n")[0])
        frame = await reader.readexactly(length)
        request = forward_messages.decode_request(frame, self.sealer)
        self.asked.setdefault(request.id, []).append(name)
        data = self.whole
        if name == "cutting":
            data = data[: int(request.id)]
        middle = len(data) // 2
        for piece in (data[:middle], data[middle:]):
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0)
        if name == "cutting" and self.ends == "reset":
            await asyncio.sleep(cut_replicas.RESET_DELAY)
            cut_replicas.reset(writer)
            return
        writer.close()


async def forward_all(
    framing: str, ends: str, kind: routes.Kind, key: str
) -> tuple[Nodes, list[Outcome]]:
    """Forwards a request for each byte at which an answer may be cut."""
    sealer = seals.Sealer([key] if key else [])
    nodes = Nodes(framing, ends, sealer)
    found, servers = await nodes.start()
    link = forwarding.HTTPLink()
    gate = asyncio.Semaphore(32)

    async def forward(size: int) -> Outcome:
        async with gate:
            received = await forward_one(link, sealer, found, kind, size)
        return Outcome(size, received, nodes.asked.get(str(size), []))

    try:
        async with asyncio.timeout(LIMIT):
            sizes = range(len(nodes.whole) + 1)
            outcomes = await asyncio.gather(*map(forward, sizes))
    finally:
        await link.close()
        for server in servers:
            server.close()
    return nodes, outcomes


async def forward_one(link, sealer, found, kind, size) -> Received:
    """Forwards one request, whose id is where its answer is cut."""
    forwarder = forwarding.Forwarder(
        link, sealer, Choice(random.Random(1)), Permits(), lambda: found
    )
    route = routes.Route(
        name="r",
        host="h",
        prefix="/",
        kind=kind,
        limit=LIMIT,
        objective=LIMIT,
        urgency=1,
        attempts=2,
        targets=(routes.Target("app", 1.0),),
    )
    now = asyncio.get_running_loop().time()
    call = types.Call(str(size), "GET", "/", "h", (), None, now, now + LIMIT)
    received = Received()
    progress = progress_module.Progress(call)
    try:
        if not await forwarder.forward(route, "app", 1, received, progress):
            received.error = AssertionError("not forwarded")
    except exceptions.GypsumfoldError as error:
        received.error = error
    return received
