"""Replicas whose answers end at a chosen byte, and callers that notice.

A request says in its header `Cut` which answer its replica gives, after how
many bytes the answer ends and how, so that cases can run side by side.
"""

import asyncio
import http.client
import socket
import struct
import threading
from typing import NamedTuple
import uuid

from features.support import fleets
from gypsumfold.platform import names

PORT = 8080
CUT = "Cut"
# Closing resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Seconds before a reset, so that what was sent is read before it.
RESET_DELAY = 0.01
# Seconds; far above what any exchange takes.
LIMIT = 15.0
# Stands for the body of an answer that neither ends nor breaks off.
TIMED_OUT = b"timed out"
BODY = b'{"seat": 7, "row": [1, 2]}'
LARGE_BYTES = 6_000_000
# What the length of an answer that has one beside chunks differs by.
LENGTH_CHANGES = {
    "chunks and a longer length": 9,
    "chunks and a shorter length": -9,
}
# Bytes of a stream's chunks that end inside the second event.
FIRST_SIZE = 33
EVENTS = [f"id: {n}\ndata: t{n}\n\n".encode() for n in (1, 2, 3)]


class Cut(NamedTuple):
    """Where and how an answer ends.

    Attributes:
        kind: Name of the answer, as in `answer`.
        size: Bytes of it that are sent; None for all.
        ends: "closed", "reset", "kept" for no end, or "held" for an answer
            that stops while its connection stays.
        stage: Which of an engine's answers it is: "prefill", "decode",
            "resume" or "first", the first of several runs; empty for any.
    """

    kind: str
    size: int | None = None
    ends: str = "kept"
    stage: str = ""

    def encode(self) -> str:
        """The value of the header."""
        size = "" if self.size is None else self.size
        return f"{self.kind};{size};{self.ends};{self.stage}"


def decode(value: str) -> Cut:
    """Reads the value of the header."""
    kind, size, ends, stage = value.split(";")
    return Cut(kind, int(size) if size else None, ends, stage)


def framed(body: bytes, sizes: int = 7) -> bytes:
    """A body in chunks."""
    parts = []
    for start in range(0, len(body), sizes):
        part = body[start : start + sizes]
        parts.append(b"%x\r\n%b\r\n" % (len(part), part))
    return b"".join(parts) + b"0\r\n\r\n"


def answer(kind: str, attempt: str, body: bytes, content: str) -> bytes:
    """A whole answer of some kind."""
    lines = [
        "HTTP/1.1 200 OK",
        f"Content-Type: {content}",
        f"{names.SEAL}: s.{attempt}",
        f"{names.ATTEMPT}: {attempt}",
    ]
    if kind in ("204", "304", "206"):
        lines[0] = f"HTTP/1.1 {kind} X"
    if kind in ("204", "304"):
        body = b""
    elif kind in ("chunks", "extended", "trailers"):
        lines.append("Transfer-Encoding: chunked")
        body = framed(body)
        if kind == "extended":
            body = body.replace(b"7\r\n", b"7;n=v\r\n")
        if kind == "trailers":
            body = body[:-2] + b"Checked: 1\r\nBy: i-1\r\n\r\n"
    elif kind in LENGTH_CHANGES:
        lines.append("Transfer-Encoding: chunked")
        lines.append(f"Content-Length: {len(body) + LENGTH_CHANGES[kind]}")
        body = framed(body)
    elif kind == "large":
        body = b"x" * LARGE_BYTES
        lines.append(f"Content-Length: {len(body)}")
    elif kind == "unframed":
        lines.append("Connection: close")
    elif kind == "1.0":
        lines[0] = "HTTP/1.0 200 OK"
        lines.append(f"Content-Length: {len(body)}")
    else:
        lines.append(f"Content-Length: {len(body)}")
    head = "\r\n".join(lines) + "\r\n\r\n"
    if kind == "after 100":
        head = "HTTP/1.1 100 Continue\r\n\r\n" + head
    if kind == "bare LF":
        head = head.replace("\r\n", "\n")
    if kind == "HEAD":
        body = b""
    return head.encode() + body


class CutReplica:
    """One replica, served by the loop of `CutReplicas`."""

    def __init__(self, service: str, stage: str):
        self.service = service
        self.stage = stage
        self.instance = f"i-{uuid.uuid4().hex[:10]}"
        self.address = f"{fleets.new_host()}:{PORT}"
        # Sources whose connections are reset.
        self.refused: set[str] = set()

    def entry(self) -> dict:
        """Its registration."""
        return {
            "instance": self.instance,
            "service": self.service,
            "addr": self.address,
            "zone": "north-apron",
            "slots": 64,
            "state": "ready",
            "version": "1",
            "stage": self.stage,
            "born": 1_700_000_000_000,
        }


class CutReplicas:
    """Replicas in a thread of their own.

    Attributes:
        runs: Attempt and target of each run, with the replica's instance.
        bodies: Body of each run's request by attempt.
        held: Answers that stopped while their connection stayed.

    >>> replicas = CutReplicas()
    >>> replica = replicas.add("app")
    >>> replicas.close()
    """

    def __init__(self):
        self.runs: list[tuple[str, str, str]] = []
        self.bodies: dict[str, bytes] = {}
        self.held = 0
        self.servers: list[asyncio.Server] = []
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(
            target=self.loop.run_forever, daemon=True
        )
        self.thread.start()

    def add(self, service: str, stage: str = "") -> CutReplica:
        """Starts a replica."""
        replica = CutReplica(service, stage)
        host, _, port = replica.address.rpartition(":")

        async def serve(reader, writer):
            try:
                await self.serve(replica, reader, writer)
            except (OSError, asyncio.IncompleteReadError):
                pass
            finally:
                writer.close()

        starting = asyncio.start_server(serve, host, int(port))
        self.servers.append(
            asyncio.run_coroutine_threadsafe(starting, self.loop).result(LIMIT)
        )
        return replica

    def close(self) -> None:
        """Closes all connections and ends the loop."""

        async def end() -> None:
            for server in self.servers:
                server.close()
            tasks = asyncio.all_tasks() - {asyncio.current_task()}
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        asyncio.run_coroutine_threadsafe(end(), self.loop).result(LIMIT)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(LIMIT)

    def runs_of(self, attempt: str) -> int:
        """How often an attempt has run."""
        return sum(run[0] == attempt for run in list(self.runs))

    async def serve(self, replica, reader, writer) -> None:
        """Answers the requests of one connection."""
        if writer.get_extra_info("peername")[0] in replica.refused:
            reset(writer)
            return
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            line, *rest = head.strip().split("\r\n")
            method, target, _ = line.split(" ")
            found = dict(row.split(": ", 1) for row in rest)
            found = {name.lower(): value for name, value in found.items()}
            body = await reader.readexactly(
                int(found.get("content-length", "0"))
            )
            if found.get(names.EXPECTED_INSTANCE.lower()) is None:
                raise OSError("no gateway's request")
            if not await self.answer(
                replica, method, target, found, body, writer, reader
            ):
                return

    async def answer(
        self, replica, method, target, found, body, writer, reader
    ) -> bool:
        """Answers one request; returns whether the connection stays."""
        attempt = found.get(names.ATTEMPT.lower(), "")
        cut = decode(found.get(CUT.lower(), ";;kept;") or ";;kept;")
        stage = ""
        is_first = False
        content = "application/json"
        data = BODY
        if target == names.REPORT_PATH:
            data = (
                f'{{"stage": "{replica.stage}", "busy": false, "seq": 0, '
                '"queued": 0, "running": 0, "born": 1700000000000}'
            ).encode()
        elif target == names.CACHE_LIST_PATH:
            data = b'{"epoch": 1, "nextToken": 0, "held": []}'
        elif found.get(names.STAGE.lower()) == "prefill":
            stage = "prefill"
            data = b'{"handle": "h%b"}' % attempt.encode()
        elif attempt:
            self.runs.append((attempt, target, replica.instance))
            self.bodies[attempt] = body
            stage = "resume" if names.LAST_EVENT.lower() in found else "decode"
            if found.get("accept") == "text/event-stream":
                content = "text/event-stream"
                last = int(found.get(names.LAST_EVENT.lower(), "0"))
                stage = "resume" if last else "decode"
                data = b"".join(EVENTS[last:])
        if cut.stage == "first" and stage == "decode":
            is_cut = self.runs_of(attempt) == 1
            cut = cut._replace(stage=stage if is_cut else "none")
        kind = "HEAD" if method == "HEAD" else cut.kind
        if cut.stage not in ("", stage):
            # Before a resumed answer is cut, the first one is.
            is_first = cut.stage == "resume" and stage == "decode"
            kind = "chunks" if is_first else "length"
            cut = Cut(kind)
            if is_first:
                cut = Cut(kind, FIRST_SIZE, "closed")
        whole = answer(kind, attempt, data, content)
        if is_first:
            head = whole.index(b"\r\n\r\n") + 4
            cut = cut._replace(size=head + FIRST_SIZE)
        part = whole[: cut.size]
        # Two writes, so that the gateway may see a part of them first.
        middle = len(part) // 2
        for piece in (part[:middle], part[middle:]):
            if piece:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0)
        if cut.ends == "kept" and kind != "unframed":
            return True
        if cut.ends == "held":
            self.held += 1
            await reader.read()
            return False
        if cut.ends == "reset":
            await asyncio.sleep(RESET_DELAY)
            reset(writer)
        else:
            writer.close()
        return False


def reset(writer) -> None:
    """Resets a connection."""
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
    )
    writer.transport.abort()


class Reply(NamedTuple):
    """What a caller received.

    Attributes:
        status: HTTP status; 0 without a whole head.
        body: The body, or what came of it.
        is_whole: Whether it looks complete.
        seal: The seal in its head.
    """

    status: int
    body: bytes
    is_whole: bool
    seal: str = ""


class Caller:
    """A caller that sends requests over one connection while it is open.

    Attributes:
        opened: Connections that were opened.
    """

    def __init__(self, host: str, port: int):
        self.connection = http.client.HTTPConnection(host, port, timeout=LIMIT)
        self.opened = 0

    def ask(
        self, method: str, path: str, body: bytes | None, fields: dict[str, str]
    ) -> Reply:
        """Sends a request and reads its answer to its end."""
        if self.connection.sock is None:
            self.opened += 1
        try:
            self.connection.request(method, path, body, fields)
            response = self.connection.getresponse()
        except (http.client.HTTPException, OSError) as error:
            self.connection.close()
            return Reply(0, repr(error).encode(), False)
        seal = response.headers.get(names.SEAL, "")
        try:
            data = response.read()
            return Reply(response.status, data, True, seal)
        except http.client.IncompleteRead as error:
            self.connection.close()
            return Reply(response.status, error.partial, False, seal)
        except OSError as error:
            self.connection.close()
            data = TIMED_OUT if isinstance(error, TimeoutError) else b""
            return Reply(response.status, data, False, seal)

    def close(self) -> None:
        """Closes the connection."""
        self.connection.close()
