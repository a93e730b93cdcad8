"""A TCP proxy that injects faults between two ends.

One process carries many forwards; each listens on one address for one
target. Faults hold for all connections of a forward, or for those from one
source address, so that one node of many can be cut off.
"""

import asyncio
import collections
import contextlib
import socket
import struct

from aiohttp import web
import click
import msgspec

from gypsumfold_standins import serving

CHUNK = 64 * 1024
INTERIM = b"HTTP/1.1 100"


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Switches for tests, of one forward and one source.

    Attributes:
        cut: Connections are reset, and new ones too.
        partitioned: Nothing passes; nothing is closed.
        delay: Seconds by which each chunk is late, either way.
        rate: Bytes a second either way; 0 for no limit.
        swallow: Next requests whose answers are dropped and whose
            connections are then closed.
        hold: Requests are held back, also when their sender has gone.
        match: Swallowed and held are only requests that contain this text.
    """

    cut: bool = False
    partitioned: bool = False
    delay: float = 0.0
    rate: float = 0.0
    swallow: int = 0
    hold: bool = False
    match: str = ""


class Connection:
    """One connection through a forward, with its two directions."""

    def __init__(self, forward: "Forward", source: str):
        self.forward = forward
        self.source = source
        self.silent = False
        self.swallowing = False
        self.writers: list[asyncio.StreamWriter] = []

    @property
    def faults(self) -> Faults:
        """Those of its source, or else those of the forward."""
        return self.forward.faults_of(self.source)

    def reset(self) -> None:
        """Ends both sides with a reset."""
        for writer in self.writers:
            sock = writer.get_extra_info("socket")
            if sock is None or sock.fileno() < 0:
                continue
            with contextlib.suppress(OSError):
                linger = struct.pack("ii", 1, 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

    async def run(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Carries the connection until both directions have ended."""
        self.writers.append(writer)
        if self.faults.cut:
            self.reset()
            return
        await serving.while_true(lambda: self.faults.partitioned)
        host, _, port = self.forward.target.rpartition(":")
        try:
            back, forth = await asyncio.open_connection(
                host, int(port), limit=CHUNK
            )
        except OSError:
            self.reset()
            return
        self.writers.append(forth)
        # A reset of one direction ends both.
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self.carry(reader, forth, self.ask))
                group.create_task(self.carry(back, writer, self.answer))
        except* (OSError, asyncio.IncompleteReadError):
            self.reset()

    async def carry(self, reader, writer, look) -> None:
        """Carries one direction: reads at once, writes when due."""
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(256)
        async with asyncio.TaskGroup() as group:
            group.create_task(self.pull(reader, queue))
            group.create_task(self.push(queue, writer, look))

    async def pull(self, reader, queue) -> None:
        """Reads one direction to its end."""
        loop = asyncio.get_running_loop()
        while True:
            chunk = await reader.read(CHUNK)
            await queue.put((loop.time() + self.faults.delay, chunk))
            if not chunk:
                return

    async def push(self, queue, writer, look) -> None:
        """Writes one direction to its end."""
        loop = asyncio.get_running_loop()
        while True:
            due, chunk = await queue.get()
            await asyncio.sleep(max(due - loop.time(), 0))
            await serving.while_true(
                lambda: self.silent or self.faults.partitioned
            )
            if not chunk:
                # uvloop: RuntimeError where the other direction closed it.
                with contextlib.suppress(OSError, RuntimeError):
                    writer.write_eof()
                return
            if not await look(chunk):
                return
            await self.pace(len(chunk))
            if writer.transport.is_closing():
                return
            self.forward.bytes += len(chunk)
            writer.write(chunk)
            await writer.drain()

    async def pace(self, size: int) -> None:
        """Waits as the limit on the rate says."""
        if self.faults.rate:
            await asyncio.sleep(size / self.faults.rate)

    async def ask(self, chunk: bytes) -> bool:
        """Looks at a chunk on its way to the target; may hold it back."""
        matches = self.faults.match.encode() in chunk
        if self.faults.swallow and matches:
            self.faults.swallow -= 1
            self.swallowing = True
        if self.faults.hold and matches:
            self.forward.held += 1
            await serving.while_true(lambda: self.faults.hold)
        return True

    async def answer(self, chunk: bytes) -> bool:
        """Looks at a chunk on its way back; says whether it may pass."""
        if not self.swallowing or chunk.startswith(INTERIM):
            return True
        self.forward.swallowed += 1
        self.reset()
        return False


class Forward:
    """One listening address and its target."""

    def __init__(self, listen: str, target: str):
        self.listen = listen
        self.target = target
        self.faults: dict[str, Faults] = collections.defaultdict(Faults)
        self.server: asyncio.Server | None = None
        self.connections: set[Connection] = set()
        self.held = 0
        self.swallowed = 0
        self.bytes = 0
        self.tasks: set[asyncio.Task] = set()

    def faults_of(self, source: str) -> Faults:
        """Gives the faults that hold for a source address."""
        if source in self.faults:
            return self.faults[source]
        return self.faults[""]

    async def open(self) -> None:
        """Starts to listen."""
        host, _, port = self.listen.rpartition(":")
        self.server = await asyncio.start_server(
            self.accept, host, int(port), limit=CHUNK
        )

    async def accept(self, reader, writer) -> None:
        """Carries one connection."""
        source = writer.get_extra_info("peername")[0]
        connection = Connection(self, source)
        self.connections.add(connection)
        try:
            await connection.run(reader, writer)
        finally:
            self.connections.discard(connection)
            for each in connection.writers:
                each.close()

    async def change(self, source: str, changes: dict) -> None:
        """Changes the faults of a source; the empty one means all."""
        merged = msgspec.to_builtins(self.faults[source])
        merged.update(changes)
        checked = msgspec.convert(merged, Faults, strict=True)
        self.faults[source] = checked
        for connection in list(self.connections):
            if connection.faults.cut:
                connection.reset()
        if self.server is None:
            return
        if not source and checked.cut:
            self.server.close()
            self.server = None

    async def heal(self) -> None:
        """Ends all faults; what went silent stays silent."""
        self.faults.clear()
        if self.server is None:
            await self.open()

    def silence(self, source: str) -> None:
        """Lets the open connections of a source go silent for good."""
        for connection in self.connections:
            if source in ("", connection.source):
                connection.silent = True

    def record(self) -> dict:
        """What tests are told."""
        return {
            "connections": len(self.connections),
            "sources": sorted(each.source for each in self.connections),
            "held": self.held,
            "swallowed": self.swallowed,
            "bytes": self.bytes,
        }


class Proxy:
    """The forwards of this process and the handlers for tests."""

    def __init__(self):
        self.forwards: dict[str, Forward] = {}

    def find(self, request: web.Request) -> Forward:
        """Gives the forward that a request names."""
        return self.forwards[request.match_info["listen"]]

    async def listing(self, request: web.Request) -> web.Response:
        """``GET /_test/forwards``."""
        return serving.answer(
            [
                {"listen": each.listen, "target": each.target}
                for each in self.forwards.values()
            ]
        )

    async def add(self, request: web.Request) -> web.Response:
        """``POST /_test/forwards`` `{"listen", "target"}`."""
        wanted = msgspec.json.decode(await request.read())
        forward = Forward(wanted["listen"], wanted["target"])
        await forward.open()
        self.forwards[forward.listen] = forward
        return serving.answer({})

    async def change(self, request: web.Request) -> web.Response:
        """``POST /_test/forwards/{listen}/faults?source=...``."""
        changes = msgspec.json.decode(await request.read())
        source = request.query.get("source", "")
        try:
            await self.find(request).change(source, changes)
        except msgspec.ValidationError as error:
            return serving.answer({"reason": str(error)}, status=400)
        return serving.answer({})

    async def heal(self, request: web.Request) -> web.Response:
        """``POST /_test/forwards/{listen}/heal``."""
        await self.find(request).heal()
        return serving.answer({})

    async def silence(self, request: web.Request) -> web.Response:
        """``POST /_test/forwards/{listen}/silence?source=...``."""
        self.find(request).silence(request.query.get("source", ""))
        return serving.answer({})

    async def record(self, request: web.Request) -> web.Response:
        """``GET /_test/forwards/{listen}``."""
        return serving.answer(self.find(request).record())


def application(proxy: Proxy) -> web.Application:
    """Makes the application that controls a proxy."""
    app = serving.new_application()
    app.router.add_get("/_test/forwards", proxy.listing)
    app.router.add_post("/_test/forwards", proxy.add)
    app.router.add_get("/_test/forwards/{listen}", proxy.record)
    app.router.add_post("/_test/forwards/{listen}/faults", proxy.change)
    app.router.add_post("/_test/forwards/{listen}/heal", proxy.heal)
    app.router.add_post("/_test/forwards/{listen}/silence", proxy.silence)
    return app


@click.command()
@serving.ADDRESS
@serving.PORT
def main(address: str, port: int) -> None:
    """Run a fault-injecting proxy; ADDRESS and PORT are for its control."""
    serving.run(serving.serve(application(Proxy()), address, port))


if __name__ == "__main__":
    main()
