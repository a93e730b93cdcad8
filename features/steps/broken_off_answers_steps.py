"""Steps on answers that are broken off at any byte."""

import asyncio
import socket
import struct

import behave
import hypothesis
from hypothesis import strategies

from gypsumfold import exceptions
from gypsumfold.decisions import event_boundaries
from gypsumfold.gateway import connection_pool
from gypsumfold.gateway import progress as progress_module
from gypsumfold.gateway import streams
from gypsumfold.gateway import types
from gypsumfold.platform import names
from gypsumfold.platform import replicas

HOST = "127.0.0.1"
LINE_ENDS = {"LF": "\n", "CRLF": "\r\n", "CR": "\r"}
EVENTS = 3
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
PIECES = strategies.lists(
    strategies.lists(
        strategies.sampled_from([b"\n", b"\r", b"\r\n", b"a", b":", b"id: 1"]),
        max_size=6,
    ).map(b"".join),
    max_size=8,
)
# Seconds, far above what any of the exchanges takes.
LIMIT = 20.0


@behave.given("a site with a gateway")
def step_site(context):
    context.execute_steps(
        'Given a store and two replicas of the service "app"\n'
        "And three engines that read prompts and one that generates\n"
        "And a ready gateway"
    )


@behave.given("the next stream has neither a length nor chunks")
def step_unframed(context):
    context.fleet["decoder-1"].faults(unframed=1)


@behave.given(
    "the next stream has neither a length nor chunks and ends inside an event"
)
def step_unframed_cut(context):
    context.fleet.until_sharing("edge-1")
    context.fleet["decoder-1"].faults(unframed=1, broken=1)


class RecordedReply:
    """What a caller receives."""

    def __init__(self):
        self.body = b""
        self.is_complete = False

    async def send(self, status, reason, fields, body):
        raise AssertionError(f"answered {status}")

    async def start(self, status, reason, fields, length):
        pass

    async def write(self, data):
        self.body += data

    async def end(self):
        self.is_complete = True

    def abort(self):
        pass


class Listener:
    """Notices nothing."""

    def bytes_received(self):
        pass

    def output_received(self):
        pass

    def output_forwarded(self):
        pass


class Server:
    """Answers each request with a stream that is cut at one byte.

    The request's path names the number of bytes of the body that are sent.
    """

    def __init__(self, body, framing, ends):
        self.body = body
        self.framing = framing
        self.ends = ends

    async def answer(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        size = int(head.split(b" ")[1].lstrip(b"/"))
        writer.write(self.head(size))
        data = self.body[:size]
        # Two writes, so that the cut may come in either of them.
        for part in (data[: size // 2], data[size // 2 :]):
            if part:
                writer.write(self.framed(part))
                await writer.drain()
                await asyncio.sleep(0)
        if self.framing == "in whole chunks":
            writer.write(b"0\r\n\r\n")
        if self.ends == "reset":
            # What was sent is read before the reset discards it.
            await asyncio.sleep(0.05)
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
            writer.transport.abort()
            return
        writer.close()

    def head(self, size):
        lines = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            f"{names.SEAL}: s",
        ]
        if self.framing in ("in chunks", "in whole chunks"):
            lines.append("Transfer-Encoding: chunked")
        elif self.framing == "with a longer length":
            lines.append(f"Content-Length: {len(self.body)}")
        elif self.framing == "with its own length":
            lines.append(f"Content-Length: {size}")
        else:
            lines.append("Connection: close")
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def framed(self, part):
        if self.framing in ("in chunks", "in whole chunks"):
            return b"%x\r\n%b\r\n" % (len(part), part)
        return part


def make_body(line_end):
    """A stream of whole events."""
    parts = []
    for number in range(1, EVENTS + 1):
        lines = [f"id: {number}", f"data: t{number}", "", ""]
        parts.append(line_end.join(lines))
    return "".join(parts).encode()


async def forward(address, size, resumable):
    """Forwards one stream; returns what its caller has received."""
    endpoints = replicas.Replicas(connection_pool.Pool())
    replica = types.Replica("i-1", "lm", address, "north", 64, False)
    fields = ((b"Host", HOST.encode()),)
    call = types.Call("a", "GET", f"/{size}", HOST, fields, None, 0.0, LIMIT)
    answer = await endpoints.send(replica, call, types.Instructions(LIMIT))
    reply = RecordedReply()
    stream = streams.Stream(reply, resumable)
    try:
        await stream.forward(answer, progress_module.Progress(call), Listener())
    except exceptions.AnswerBroken:
        assert not reply.is_complete, size
    finally:
        answer.close()
    return reply


async def forward_all(body, framing, ends, resumable):
    server = Server(body, framing, ends)
    listener = await asyncio.start_server(server.answer, HOST, 0)
    host, port = listener.sockets[0].getsockname()
    try:
        async with asyncio.timeout(LIMIT):
            return await asyncio.gather(
                *(
                    forward(f"{host}:{port}", size, resumable)
                    for size in range(len(body) + 1)
                )
            )
    finally:
        listener.close()


@behave.when(
    "streams {framing} that are {ends} after each of their bytes are forwarded "
    "on a {route} route with lines that end in {lines}"
)
def step_forward(context, framing, ends, route, lines):
    line_end = LINE_ENDS[lines]
    context.body = make_body(line_end)
    context.event_size = len(context.body) // EVENTS
    context.framing = framing
    context.ends = ends
    context.resumable = route == "resumable"
    context.replies = asyncio.run(
        forward_all(context.body, framing, ends, context.resumable)
    )


@behave.then("each of them was forwarded whole or left visibly broken")
def step_whole_or_broken(context):
    for size, reply in enumerate(context.replies):
        at_event_end = size > 0 and size % context.event_size == 0
        expected = False
        if context.framing == "with a longer length":
            expected = size == len(context.body)
        elif context.ends == "ended":
            expected = at_event_end or size == 0
        elif context.framing == "without framing" and context.ends == "closed":
            # The end of an event may be the end of the stream.
            expected = at_event_end
        assert reply.is_complete == expected, (size, reply.body)
        sent = context.body[:size]
        if reply.is_complete:
            assert reply.body == sent, (size, reply.body)
        elif context.resumable:
            assert len(reply.body) % context.event_size == 0, reply.body
        assert sent.startswith(reply.body), (size, reply.body)


@behave.when("made-up event streams arrive in made-up pieces")
def step_made_up(context):
    context.differences = {"tail": [], "is_whole": []}

    @hypothesis.given(PIECES)
    @hypothesis.settings(
        max_examples=600,
        derandomize=True,
        database=None,
        # Compares wall time, which depends on what else the machine does.
        suppress_health_check=[hypothesis.HealthCheck.too_slow],
    )
    def compare(pieces):
        cut = event_boundaries.EventBoundaries()
        for piece in pieces:
            cut.feed(piece)
        body = b"".join(pieces)
        if cut.is_whole() != is_whole(body):
            context.differences["is_whole"].append(pieces)
        # A CR at the end is held back until the byte after it is known.
        cut.feed(b"x")
        if cut.tail != len(body) + 1 - last_event_end(body + b"x"):
            context.differences["tail"].append(pieces)

    compare()


@behave.then(
    "the end of the last event is that of the whole stream read at once"
)
def step_same_tail(context):
    assert not context.differences["tail"], context.differences["tail"][:3]


@behave.then(
    "whether the stream is whole is that of the whole stream read at once"
)
def step_same_verdict(context):
    found = context.differences["is_whole"]
    assert not found, found[:3]


def last_event_end(body):
    """The offset after the last event or comment of a body read at once."""
    end = 0
    position = 0
    in_event = False
    for line in body.splitlines(keepends=True):
        position += len(line)
        text = line.rstrip(b"\r\n")
        if text == line:
            break
        if not text:
            in_event = False
        elif not text.startswith(b":"):
            in_event = True
        if not in_event:
            end = position
    return end


def is_whole(body):
    """Whether a body read at once ends after a whole event."""
    if last_event_end(body) != len(body):
        return False
    lines = body.splitlines(keepends=True)
    lacks_lf = (
        len(lines) > 1
        and lines[-1].endswith(b"\r")
        and lines[-2].endswith(b"\r\n")
    )
    return not lacks_lf
