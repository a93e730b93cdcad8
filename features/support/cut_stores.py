"""Calls to the store and the operations API whose answers are cut."""

import asyncio
import base64
from collections.abc import Awaitable
from collections.abc import Callable
import json
from typing import Any
from typing import NamedTuple

from features.support import cut_replicas
from features.support import fixed_leader
from gypsumfold import exceptions
from gypsumfold.platform import operations
from gypsumfold.platform import store

HOST = "127.0.0.1"
# Seconds, far above what all calls take.
LIMIT = 60.0
TOPIC = "keyed.op"
VALUES = [("a", b"one"), ("b", b""), ("c", b"three")]


class Call(NamedTuple):
    """One call and its whole answer.

    Attributes:
        make: Makes the call on a client.
        body: The body of its answer.
        is_told_by_body: Whether its result is in the body.
    """

    make: Callable[[Any], Awaitable[Any]]
    body: bytes
    is_told_by_body: bool = True


class Outcome(NamedTuple):
    """What came of a call.

    Attributes:
        size: Bytes of the answer that were sent.
        result: What the call gave; an error if it failed.
        requests: How often it came at the server.
    """

    size: int
    result: Any
    requests: int


def newest_body() -> bytes:
    """A page of newest records."""
    items = [
        {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "offset": number,
        }
        for number, (key, value) in enumerate(VALUES)
    ]
    return json.dumps({"items": items, "end": 3, "morePages": False}).encode()


def read_body() -> bytes:
    """A page of the log."""
    body = store.PAGE_HEADER.pack(len(VALUES), 0)
    for key, value in VALUES:
        record = bytes([len(key)]) + key.encode() + value
        body += store.RECORD_LENGTH.pack(len(record)) + record
    return body


STORE_CALLS = {
    "newest": Call(lambda client: client.newest(TOPIC), newest_body()),
    "read": Call(lambda client: client.read(TOPIC, 0, 0.0), read_body()),
    "put": Call(
        lambda client: client.put(TOPIC, "a", b"x"), b'{"end": 4}', False
    ),
    "put at": Call(
        lambda client: client.put_at(TOPIC, "a", b"x", 3), b'{"end": 4}'
    ),
    "join": Call(
        lambda client: client.join("g", "m", TOPIC, 3.0, 0),
        b'{"generation": 5, "parts": [["keyed.op", 0, 0]]}',
    ),
    "leave": Call(lambda client: client.leave("g", "m"), b"{}", False),
}
OPERATION_CALLS = {
    "usage": Call(
        lambda client: client.report_usage(
            b"{}", "edge-1", fixed_leader.grant(7)
        ),
        b'{"accepted": true}',
        False,
    )
}


def whole_answer(framing: str, body: bytes, status: int = 200) -> bytes:
    """The bytes of an answer."""
    lines = [f"HTTP/1.1 {status} X", "Content-Type: application/json"]
    if framing == "chunks":
        lines.append("Transfer-Encoding: chunked")
        body = cut_replicas.framed(body)
    elif framing == "length":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


class Server:
    """Answers a call whole and then the next one cut, if it is asked to."""

    def __init__(self, call: Call, framing: str, ends: str, is_kept: bool):
        self.whole = whole_answer(framing, call.body)
        self.first = whole_answer("length", call.body) if is_kept else b""
        self.size = 0
        self.ends = ends
        self.requests = 0

    async def serve(self, reader, writer) -> None:
        """Answers the requests of one connection."""
        try:
            if self.first:
                await read_request(reader)
                writer.write(self.first)
            await read_request(reader)
            self.requests += 1
            writer.write(self.whole[: self.size])
            await writer.drain()
            if self.ends == "reset":
                await asyncio.sleep(cut_replicas.RESET_DELAY)
                cut_replicas.reset(writer)
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()


async def read_request(reader) -> None:
    """Reads one request."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
    if "content-length: " in head:
        length = head.split("content-length: ")[1].split("\r\n")[0]
        await reader.readexactly(int(length))


async def cut_all(
    call: Call,
    framing: str,
    ends: str,
    make_client: Callable[[str], Any],
    is_kept: bool = False,
) -> list[Outcome]:
    """Makes a call for each byte after which its answer is cut.

    Args:
        call: The call.
        framing: How the answer's end is marked.
        ends: How its connection ends.
        make_client: Makes a client for an address.
        is_kept: Whether the call is the second one on its connection.
    """
    found = []
    async with asyncio.timeout(LIMIT):
        size = 0
        while True:
            server = Server(call, framing, ends, is_kept)
            server.size = size
            listener = await asyncio.start_server(server.serve, HOST, 0)
            host, port = listener.sockets[0].getsockname()
            client = make_client(f"{host}:{port}")
            try:
                if is_kept:
                    await call.make(client)
                result = await call.make(client)
            except exceptions.GypsumfoldError as error:
                result = error
            found.append(Outcome(size, result, server.requests))
            await client.close()
            listener.close()
            size += 1
            if size > len(server.whole):
                return found


def cut_store(call: Call, framing: str, ends: str, is_kept: bool):
    """Cuts the answers of the store; see `cut_all`."""
    return asyncio.run(cut_all(call, framing, ends, store.Store, is_kept))


def cut_operations(call: Call, framing: str, ends: str):
    """Cuts the answers of the operations API; see `cut_all`."""
    return asyncio.run(cut_all(call, framing, ends, operations.Operations))
