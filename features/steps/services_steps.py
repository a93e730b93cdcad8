"""Steps on the client of plain services, against scripted replicas."""

import asyncio
import socket
import struct

import behave

from gypsumfold import exceptions
from gypsumfold import settings as settings_module
from gypsumfold.endpoints import connections
from gypsumfold.endpoints import services

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
# Seconds to wait for a 100, and for a whole call.
PATIENCE = 0.3
LIMIT = 1.0
SETTINGS = settings_module.parse(
    f"""
[node]
name = "entry-1"
data_centre = "north-apron"
address = "127.0.0.1"
[peers]
secret = "0123456789abcdef"
[platform]
log = "http://127.0.0.1:1"
vms = "http://127.0.0.1:1"
[endpoints]
connect_timeout = {PATIENCE}
"""
)


def answer(dispatch: bytes, status=b"200 OK", length=4, more=b"") -> bytes:
    head = b"HTTP/1.1 %s\r\nContent-Length: %d\r\n%s" % (status, length, more)
    return head + b"Gypsumfold-Dispatch: %s\r\n\r\ndone" % dispatch


class Replica:
    """A server of one behaviour; notes the bodies that reach it."""

    def __init__(self, behaviour):
        self.behaviour = behaviour
        self.bodies = []
        self.port = 0
        self.silent = False

    async def serve(self, reader, writer):
        try:
            await self.converse(reader, writer)
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            writer.close()

    async def converse(self, reader, writer):
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            if b"content-length: 0\r" in head.lower():
                self.bodies.append(b"whole with its head")
            if self.silent:
                self.silent = False
                await self.listen(reader)
                return
            dispatch = head.split(b"Dispatch: ")[1].split(b"\r\n")[0]
            chunked = b"chunked" in head
            if not await self.begin(writer, dispatch):
                await self.listen(reader)
                return
            await self.read_body(reader, head, chunked)
            if not await self.end(writer, dispatch):
                await self.listen(reader)
                return

    async def listen(self, reader):
        rest = await reader.read(1000)
        if rest:
            self.bodies.append(rest)

    async def read_body(self, reader, head, chunked):
        if chunked:
            self.bodies.append(await reader.readuntil(b"0\r\n\r\n"))
            return
        length = head.lower().split(b"content-length: ")[1].split(b"\r\n")[0]
        self.bodies.append(await reader.readexactly(int(length)))

    async def begin(self, writer, dispatch):
        if self.behaviour == "never answers":
            return False
        if self.behaviour == "closes the connection at the head":
            writer.close()
            return False
        if self.behaviour == "refuses with 503 instead of the 100":
            writer.write(answer(dispatch, b"503 Leaving"))
            return False
        if self.behaviour == "answers 200 instead of the 100":
            writer.write(answer(dispatch))
            return False
        if self.behaviour == "sends the 100 after the time limit":
            await asyncio.sleep(PATIENCE * 2)
        writer.write(CONTINUE)
        return True

    async def end(self, writer, dispatch):
        if self.behaviour == "closes the connection after the body":
            writer.close()
            return False
        if self.behaviour == "never answers after the body":
            return False
        if self.behaviour == "answers half":
            writer.write(answer(dispatch, length=100))
            writer.close()
            return False
        if self.behaviour.startswith("answers half without a length"):
            await self.answer_half(writer, dispatch)
            return False
        if self.behaviour == "answers another dispatch":
            dispatch = b"another"
        more = b""
        status = b"200 OK"
        if self.behaviour == "answers the body with a redirect to itself":
            status = b"307 Temporary Redirect"
            more = b"Location: http://127.0.0.1:%d/calls/x\r\n" % self.port
        writer.write(answer(dispatch, status, more=more))
        return True

    async def answer_half(self, writer, dispatch):
        """Answers without a length and ends the connection in the body."""
        writer.write(
            b"HTTP/1.1 200 OK\r\nConnection: close\r\n"
            b"Gypsumfold-Dispatch: %s\r\n\r\ndo" % dispatch
        )
        await writer.drain()
        if self.behaviour.endswith("resets"):
            # The half is read before the reset discards it.
            await asyncio.sleep(0.05)
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            writer.transport.abort()
            return
        writer.close()


async def converse(replica, sizes, permits):
    """Sends calls one after the other and gives the last one's end."""
    server = await asyncio.start_server(replica.serve, "127.0.0.1", 0)
    replica.port = server.sockets[0].getsockname()[1]
    sessions = connections.create_sessions(SETTINGS)
    client = services.ServiceClient(
        f"127.0.0.1:{replica.port}", sessions, SETTINGS.endpoints
    )
    found = None
    for number, size in enumerate(sizes):
        if size == "silence":
            replica.silent = True
            replica.bodies.clear()
            continue
        try:
            found = await client.call(
                "x", b"b" * size, f"dispatch-{number}", LIMIT, permits
            )
        except exceptions.EndpointError as error:
            found = error
    if "time limit" in replica.behaviour:
        await asyncio.sleep(PATIENCE * 2)
    await sessions.close()
    server.close()
    return found


@behave.given("a replica that {behaviour}")
def step_replica(context, behaviour):
    context.replica = Replica(behaviour)
    context.sizes = []


def end_of_call(context, permits=lambda: True):
    if not hasattr(context, "end"):
        context.end = asyncio.run(
            converse(context.replica, context.sizes, permits)
        )
    return context.end


@behave.when("a call with a body of {size:d} bytes is sent to it")
def step_call(context, size):
    context.sizes.append(size)


@behave.when("its open connections go silent")
def step_silence(context):
    context.sizes.append("silence")


@behave.when("a call is sent to it whose permission ends before the 100")
def step_forbidden(context):
    context.sizes.append(20)
    end_of_call(context, lambda: False)


@behave.then("the call is known not to have started")
def step_not_started(context):
    end = end_of_call(context)
    assert isinstance(end, exceptions.EndpointNotStarted), repr(end)


@behave.then("the call is undetermined")
def step_undetermined(context):
    end = end_of_call(context)
    assert isinstance(end, exceptions.EndpointUndetermined), repr(end)


@behave.then("the call is answered with {status:d}")
def step_answered(context, status):
    end = end_of_call(context)
    assert isinstance(end, services.Answer), repr(end)
    assert end.status == status, end


@behave.then("nothing of its body has reached the replica")
def step_no_body(context):
    assert context.replica.bodies == [], context.replica.bodies


@behave.then("its body has reached the replica {times}")
def step_body(context, times):
    expected = {"once": 1, "never": 0}[times]
    assert len(context.replica.bodies) == expected, context.replica.bodies
