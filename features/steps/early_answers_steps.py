"""Steps on answers that come before their request has been sent."""

import asyncio
import contextlib
import socket
import struct
import threading
import time

import behave
import uvloop

from gypsumfold import exceptions
from gypsumfold.gateway import connection_pool
from gypsumfold.gateway import progress as progress_module
from gypsumfold.gateway import streams
from gypsumfold.gateway import types
from gypsumfold.platform import names
from gypsumfold.platform import replicas

HOST = "127.0.0.1"
# Seconds; far above what an exchange takes.
LIMIT = 20.0
# Seconds between the end of the answer and what follows.
PAUSE = 0.05
# Bytes that the replica's kernel takes before they are read.
RECEIVED = 32768
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
BODIES = {
    "a plain call": ("text/plain", b"part of a body"),
    "a keyed call": ("application/json", b"[1]"),
    "a stream": ("text/event-stream", b"id: 1\ndata: t1\n\n"),
    "a prefill": ("application/json", b'{"handle":"ab","tokens":4}'),
}


class Recorded:
    """Keeps whether the one answer of a request was ended."""

    def __init__(self):
        self.is_complete = False

    async def send(self, status, reason, fields, body):
        self.is_complete = True

    async def start(self, status, reason, fields, length):
        pass

    async def write(self, data):
        pass

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


def answer(listener: socket.socket, call: str, then: str) -> None:
    """Answers a request at once, in a thread of its own."""
    connection, _ = listener.accept()
    connection.settimeout(LIMIT)
    content, body = BODIES[call]
    head = f"HTTP/1.1 200 OK\r\n{names.SEAL}: s\r\nContent-Type: {content}\r\n"
    with contextlib.suppress(OSError):
        connection.recv(4096)
        connection.sendall(head.encode() + b"\r\n" + body)
        if "closes its side" in then:
            connection.shutdown(socket.SHUT_WR)
            time.sleep(PAUSE)
        while "reads on" in then and connection.recv(65536):
            pass
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    connection.close()


async def exchange(
    address: str, call: str, size: int, statements: list | None = None
) -> bool:
    """Makes a call; returns whether its answer counts as whole."""
    client = replicas.Replicas(connection_pool.Pool())
    if statements is not None:
        client.statement_listener = lambda _, found: statements.append(found)
    replica = types.Replica("i-1", "s", address, "dc", 4, False)
    now = time.monotonic()
    request = types.Call(
        id="a-1",
        method="POST",
        target="/x",
        host="h.example",
        fields=((b"Host", b"h.example"),),
        body=b"x" * size,
        arrival=now,
        deadline=now + LIMIT,
    )
    instructions = types.Instructions(LIMIT)
    try:
        if call == "a prefill":
            await client.prefill(replica, request, instructions)
            return True
        found = await client.send(replica, request, instructions)
        with contextlib.closing(found):
            if call in ("a plain call", "a keyed call"):
                await found.read()
                return True
            reply = Recorded()
            stream = streams.Stream(reply, resumable=False)
            progress = progress_module.Progress(request)
            await stream.forward(found, progress, Listener())
            return reply.is_complete
    except exceptions.EndpointError:
        return False
    finally:
        client.pool.close()


@behave.when("a replica answers {call} of {size:d} bytes at once{then}")
def step_answer(context, call, size, then):
    with socket.create_server((HOST, 0)) as listener:
        listener.settimeout(LIMIT)
        # The kernel would take some megabytes on a local connection.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVED)
        address = f"{HOST}:{listener.getsockname()[1]}"
        thread = threading.Thread(
            target=answer, args=(listener, call, then), daemon=True
        )
        thread.start()

        async def story():
            async with asyncio.timeout(LIMIT):
                return await exchange(address, call, size)

        # The gateway runs on this loop, whose sockets report errors otherwise
        # than those of the standard library's.
        context.is_whole = uvloop.run(story())
        thread.join()


def answer_with(listener: socket.socket, call: str, status: str) -> None:
    """Answers a request with a status, in a thread of its own."""
    connection, _ = listener.accept()
    connection.settimeout(LIMIT)
    content, body = BODIES[call]
    head = (
        f"HTTP/1.1 {status} X\r\n{names.SEAL}: s\r\nContent-Type: {content}"
        f"\r\n{names.RATE_LIMIT}: 1\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    with connection:
        connection.recv(4096)
        connection.sendall(head.encode() + body)
        connection.recv(4096)


@behave.when("a replica answers {call} with status {status}")
def step_status(context, call, status):
    context.statements = []
    with socket.create_server((HOST, 0)) as listener:
        listener.settimeout(LIMIT)
        address = f"{HOST}:{listener.getsockname()[1]}"
        thread = threading.Thread(
            target=answer_with, args=(listener, call, status), daemon=True
        )
        thread.start()

        async def story():
            async with asyncio.timeout(LIMIT):
                return await exchange(address, call, 20, context.statements)

        context.is_whole = uvloop.run(story())
        thread.join()


@behave.then("nothing of what it says of its replica is heeded")
def step_unheeded(context):
    assert not context.statements, context.statements


@behave.then("the answer has been broken off")
def step_broken(context):
    assert not context.is_whole


@behave.then("the answer is whole")
def step_whole(context):
    assert context.is_whole
