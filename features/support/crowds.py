"""Crowds of clients that misbehave, on sockets of their own."""

from collections.abc import Callable
import functools
import pathlib
import selectors
import socket
import threading
import time
from typing import NamedTuple
import zlib

from features.support import gateways
from gypsumfold.gateway.peers import forward_messages
from gypsumfold.platform import names

METRICS_PORT = 8093
MIB = 1024 * 1024
# The operators' limits and the VM of these scenarios.
MAX_BODY = 1024 * 1024
MAX_HEADER = 16384
LIMITS = {
    "maxHeaderBytes": MAX_HEADER,
    "maxBodyBytes": MAX_BODY,
    "headerTimeoutMs": 1000,
    "idleTimeoutMs": 3000,
}
MEMORY_MB = 128
DESCRIPTORS = 256
# Seconds after which the crowd counts as there, whatever it has sent by then.
ARRIVAL = 6.0
# Seconds for a crowd whose requests are served in turn.
STAY = 8.0
# Seconds between two bytes of a client that trickles.
TRICKLE = 0.2
# Bytes that a client writes at once.
PIECE = 65536


class Ended(Exception):
    """The process whose memory was asked for has ended."""


class Place(NamedTuple):
    """Where requests go: a port and a path."""

    port: int
    path: str


PLACES = {
    "a route": Place(gateways.FRONT_PORT, "/lookups/1"),
    "no route": Place(gateways.FRONT_PORT, "/nowhere/1"),
    "ready": Place(gateways.READY_PORT, names.READY_PATH),
    "peers": Place(gateways.PEER_PORT, forward_messages.PATH),
    "metrics": Place(METRICS_PORT, "/metrics"),
}


class Client(NamedTuple):
    """What one client of a crowd sends.

    Attributes:
        parts: Sent at once, one after the other.
        rest: Sent byte by byte after that; the connection stays open.
        stays: Whether it takes effect only while its requests are served.
    """

    parts: tuple[bytes, ...]
    rest: bytes = b""
    stays: bool = False


def head(
    place: Place, number: int, method: str = "POST", *fields: str
) -> bytes:
    """A request's head."""
    lines = [
        f"{method} {place.path} HTTP/1.1",
        f"Host: {gateways.HOST}",
        f"{names.ATTEMPT}: crowd-{number}",
        f"{names.TIME_LEFT}: 600000",
        *fields,
    ]
    return "\r\n".join([*lines, "", ""]).encode()


def with_length(place: Place, number: int, size: int, *fields: str) -> bytes:
    """A head that names the length of its body."""
    return head(place, number, "POST", f"Content-Length: {size}", *fields)


def in_chunks(place: Place, number: int) -> bytes:
    """A head of a body in chunks."""
    return head(place, number, "POST", "Transfer-Encoding: chunked")


def stopped_bodies(place: Place) -> list[Client]:
    """Bodies of legal size that stop a byte short."""
    body = bytes(MAX_BODY - 1)
    found = []
    for number in range(120):
        begin = with_length(place, number, MAX_BODY)
        found.append(Client((begin, body)))
    return found


def trickled_bodies(place: Place) -> list[Client]:
    """Bodies whose last hundred bytes come very slowly."""
    body = bytes(MAX_BODY - 100)
    found = []
    for number in range(120):
        begin = with_length(place, number, MAX_BODY)
        found.append(Client((begin, body), bytes(99)))
    return found


def chunked_bodies(place: Place) -> list[Client]:
    """Bodies in chunks of 16 KiB that don't end."""
    chunk = b"4000\r\n" + bytes(0x4000) + b"\r\n"
    body = chunk * (MAX_BODY // 0x4000)
    found = []
    for number in range(120):
        found.append(Client((in_chunks(place, number), body)))
    return found


def tiny_chunks(place: Place) -> list[Client]:
    """Bodies in chunks of one byte that don't end."""
    body = b"1\r\nx\r\n" * (MAX_BODY - 1)
    found = []
    for number in range(40):
        found.append(Client((in_chunks(place, number), body)))
    return found


def compressed_bodies(place: Place) -> list[Client]:
    """Bodies of a few bytes that unpack to legal size."""
    body = packed(MAX_BODY)
    found = []
    for number in range(120):
        begin = with_length(
            place, number, len(body), "Content-Encoding: deflate"
        )
        found.append(Client((begin, body[:-1])))
    return found


def unpacking_bodies(place: Place) -> list[Client]:
    """Bodies of legal size that unpack to a thousand times that."""
    body = packed(600 * MAX_BODY)
    found = []
    for number in range(20):
        begin = with_length(
            place, number, len(body), "Content-Encoding: deflate"
        )
        found.append(Client((begin, body[:-1])))
    return found


@functools.cache
def packed(size: int) -> bytes:
    """Zeros, compressed."""
    packer = zlib.compressobj(9)
    parts = []
    for _ in range(size // MAX_BODY):
        parts.append(packer.compress(bytes(MAX_BODY)))
    return b"".join([*parts, packer.flush()])


def bodies_behind_a_get(place: Place) -> list[Client]:
    """A request, and behind it a body that stops a byte short."""
    body = bytes(MAX_BODY - 1)
    found = []
    for number in range(120):
        first = head(place, number, "GET")
        second = with_length(place, 1000 + number, MAX_BODY)
        found.append(Client((first, second, body)))
    return found


def whole_bodies(place: Place) -> list[Client]:
    """Whole bodies of legal size, many at once."""
    body = bytes(MAX_BODY)
    found = []
    for number in range(150):
        begin = with_length(place, number, MAX_BODY)
        found.append(Client((begin, body)))
    return found


def oversized_bodies(place: Place) -> list[Client]:
    """Bodies far over the limit."""
    body = bytes(8 * MAX_BODY)
    found = []
    for number in range(20):
        begin = with_length(place, number, 64 * MAX_BODY)
        found.append(Client((begin, *[body] * 8)))
    return found


def endless_heads(place: Place) -> list[Client]:
    """Heads far over the limit that don't end."""
    fields = ["x" * 99 + ": " + "y" * 499] * 100
    data = head(place, 1, "GET", *fields).removesuffix(b"\r\n")
    return [Client((data,)) for _ in range(300)]


def half_heads(place: Place) -> list[Client]:
    """Connections with half a head."""
    data = head(place, 1, "GET")[:20]
    return [Client((data,)) for _ in range(300)]


def silent_connections(place: Place) -> list[Client]:
    """Connections without a byte."""
    return [Client(()) for _ in range(300)]


def many_fields(place: Place) -> list[Client]:
    """Requests of legal size with thousands of fields, several in a row."""
    fields = ["a:b"] * 3000
    found = []
    for number in range(40):
        data = head(place, number, "GET", *fields)
        found.append(Client((data * 10,)))
    return found


def unfinished_fields(place: Place) -> list[Client]:
    """Heads of legal size with thousands of fields that don't end."""
    data = head(place, 1, "GET", *["a:b"] * 3000).removesuffix(b"\r\n")
    return [Client((data,)) for _ in range(350)]


def requests_ahead(place: Place) -> list[Client]:
    """Requests sent ahead under one id; their answers aren't read."""
    found = []
    for number in range(12):
        data = head(place, number, "GET")
        found.append(Client((data * 1000,), stays=True))
    return found


def unread_answers(place: Place) -> list[Client]:
    """Requests whose answers aren't read."""
    found = []
    for number in range(120):
        found.append(Client((head(place, number, "GET"),)))
    return found


CROWDS: dict[str, Callable[[Place], list[Client]]] = {
    "stopped bodies": stopped_bodies,
    "trickled bodies": trickled_bodies,
    "chunked bodies": chunked_bodies,
    "tiny chunks": tiny_chunks,
    "compressed bodies": compressed_bodies,
    "unpacking bodies": unpacking_bodies,
    "bodies behind a GET": bodies_behind_a_get,
    "whole bodies": whole_bodies,
    "oversized bodies": oversized_bodies,
    "endless heads": endless_heads,
    "half heads": half_heads,
    "silent connections": silent_connections,
    "many fields": many_fields,
    "unfinished fields": unfinished_fields,
    "requests ahead": requests_ahead,
    "unread answers": unread_answers,
}


class Sender:
    """The connection of one client."""

    def __init__(self, client: Client, sock: socket.socket):
        self.sock = sock
        self.rest = client.rest
        self.views = []
        for part in client.parts:
            self.views.append(memoryview(part))

    def send(self) -> bool:
        """Writes what the socket takes; returns whether more is to come."""
        while self.views:
            try:
                sent = self.sock.send(self.views[0][:PIECE])
            except BlockingIOError:
                return True
            except OSError:
                self.end()
                return False
            self.views[0] = self.views[0][sent:]
            if not self.views[0]:
                self.views.pop(0)
        return False

    def trickle(self) -> None:
        """Writes the next byte of the rest."""
        if self.views or not self.rest:
            return
        try:
            self.sock.send(self.rest[:1])
        except BlockingIOError:
            return
        except OSError:
            self.end()
            return
        self.rest = self.rest[1:]

    def end(self) -> None:
        """Sends nothing more."""
        self.views = []
        self.rest = b""


class Crowd:
    """Clients that are connected until `close`, and read nothing.

    >>> crowd = Crowd("127.16.1.2", PLACES["a route"].port, stopped_bodies(...))
    >>> crowd.wait_until_there()
    >>> crowd.close()
    """

    def __init__(self, host: str, port: int, clients: list[Client]):
        self.address = (host, port)
        self.clients = clients
        self.senders: list[Sender] = []
        self.there = threading.Event()
        self.closing = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self) -> None:
        """Connects all clients and sends until the crowd is closed."""
        with selectors.DefaultSelector() as selector:
            for client in self.clients:
                self.connect(client, selector)
            next_byte = time.monotonic()
            while not self.closing.is_set():
                for key, _ in selector.select(TRICKLE / 4):
                    if not key.data.send():
                        selector.unregister(key.data.sock)
                if not selector.get_map():
                    self.there.set()
                    self.closing.wait(TRICKLE / 4)
                if time.monotonic() < next_byte:
                    continue
                next_byte = time.monotonic() + TRICKLE
                for sender in self.senders:
                    sender.trickle()

    def connect(self, client: Client, selector: selectors.BaseSelector) -> None:
        """Opens one client's connection, if that is possible."""
        sock = socket.socket()
        # Small enough that an answer of a few kilobytes isn't taken whole.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.settimeout(2.0)
        try:
            sock.connect(self.address)
        except OSError:
            sock.close()
            return
        sock.setblocking(False)
        sender = Sender(client, sock)
        self.senders.append(sender)
        selector.register(sock, selectors.EVENT_WRITE, sender)

    def wait_until_there(self) -> None:
        """Waits until all is sent, or the process takes no more."""
        if self.clients[0].stays:
            self.closing.wait(STAY)
        self.there.wait(ARRIVAL)

    def close(self) -> None:
        """Closes all connections."""
        self.closing.set()
        self.thread.join()
        for sender in self.senders:
            sender.sock.close()


def peak_memory(pid: int) -> int:
    """Largest resident memory of a process so far, in bytes.

    Raises:
        Ended: The process has ended.
    """
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    for line in status.splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024
    raise Ended(pid)
