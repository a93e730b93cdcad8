"""Reads and writes HTTP/1.1 messages for the stand-ins of the cases."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
from typing import NamedTuple
import urllib.parse

REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Failed"}


class Request(NamedTuple):
    """One request, read whole."""

    method: str
    target: str
    fields: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """The parameters of the query."""
        return dict(urllib.parse.parse_qsl(self.target.partition("?")[2]))


class Answer(NamedTuple):
    """One answer, sent whole.

    Attributes:
        status: HTTP status.
        body: The body, or a part of it.
        fields: Header fields, without the length.
        repeats: How often the part is sent.
    """

    status: int = 200
    body: bytes = b""
    fields: tuple[tuple[str, str], ...] = ()
    repeats: int = 1


Handle = Callable[[Request], Awaitable[Answer]]


def parse_head(head: bytes) -> tuple[str, dict[str, str]]:
    """Splits a head into its first line and its fields."""
    first, *lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            fields[name.strip().lower()] = value.strip()
    return first, fields


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Reads one request."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, fields = parse_head(head)
    method, target, _ = first.split(" ", 2)
    if fields.get("transfer-encoding", "") == "chunked":
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            parts.append(await reader.readexactly(size))
            await reader.readline()
            if not size:
                break
        return Request(method, target, fields, b"".join(parts))
    size = int(fields.get("content-length", "0"))
    return Request(method, target, fields, await reader.readexactly(size))


def encode_head(answer: Answer) -> bytes:
    """Encodes the head of an answer with its length."""
    lines = [f"HTTP/1.1 {answer.status} {REASONS.get(answer.status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in answer.fields]
    lines.append(f"Content-Length: {len(answer.body) * answer.repeats}")
    return "\r\n".join([*lines, "", ""]).encode()


async def serve(handle: Handle, address: str, port: int) -> None:
    """Serves requests, one at a time on each connection, until it is ended."""

    async def connected(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        ended = (asyncio.IncompleteReadError, ConnectionError, ValueError)
        with contextlib.suppress(*ended):
            while True:
                answer = await handle(await read_request(reader))
                writer.write(encode_head(answer))
                for _ in range(answer.repeats):
                    writer.write(answer.body)
                    await writer.drain()
        writer.close()

    server = await asyncio.start_server(connected, address, port, limit=1 << 20)
    async with server:
        await server.serve_forever()
