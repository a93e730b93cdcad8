"""Crowds of clients that misbehave, on sockets of their own."""

from collections.abc import Callable
import functools
import pathlib
from typing import NamedTuple
import zlib

from features.support import crowd_clients
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


class Ended(Exception):
    """The process whose memory was asked for has ended."""


class Place(NamedTuple):
    """Where requests go: a port and a path."""

    port: int
    path: str


PLACES = {
    "a route": Place(gateways.FRONT_PORT, "/lookups/1"),
    "a stream route": Place(gateways.FRONT_PORT, "/briefs/1"),
    "a resumable route": Place(gateways.FRONT_PORT, "/swaps/1"),
    "no route": Place(gateways.FRONT_PORT, "/nowhere/1"),
    "ready": Place(gateways.READY_PORT, names.READY_PATH),
    "peers": Place(gateways.PEER_PORT, forward_messages.PATH),
    "metrics": Place(METRICS_PORT, "/metrics"),
}


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


def stopped_bodies(place: Place) -> list[crowd_clients.Client]:
    """Bodies of legal size that stop a byte short."""
    body = bytes(MAX_BODY - 1)
    found = []
    for number in range(120):
        begin = with_length(place, number, MAX_BODY)
        found.append(crowd_clients.Client((begin, body)))
    return found


def trickled_bodies(place: Place) -> list[crowd_clients.Client]:
    """Bodies whose last hundred bytes come very slowly."""
    body = bytes(MAX_BODY - 100)
    found = []
    for number in range(120):
        begin = with_length(place, number, MAX_BODY)
        found.append(crowd_clients.Client((begin, body), bytes(99)))
    return found


def chunked_bodies(place: Place) -> list[crowd_clients.Client]:
    """Bodies in chunks of 16 KiB that don't end."""
    chunk = b"4000\r\n" + bytes(0x4000) + b"\r\n"
    body = chunk * (MAX_BODY // 0x4000)
    found = []
    for number in range(120):
        found.append(crowd_clients.Client((in_chunks(place, number), body)))
    return found


def tiny_chunks(place: Place) -> list[crowd_clients.Client]:
    """Bodies in chunks of one byte that don't end."""
    body = b"1\r\nx\r\n" * (MAX_BODY - 1)
    found = []
    for number in range(40):
        found.append(crowd_clients.Client((in_chunks(place, number), body)))
    return found


def compressed_bodies(place: Place) -> list[crowd_clients.Client]:
    """Bodies of a few bytes that unpack to legal size."""
    body = packed(MAX_BODY)
    found = []
    for number in range(120):
        begin = with_length(
            place, number, len(body), "Content-Encoding: deflate"
        )
        found.append(crowd_clients.Client((begin, body[:-1])))
    return found


def unpacking_bodies(place: Place) -> list[crowd_clients.Client]:
    """Bodies of legal size that unpack to a thousand times that."""
    body = packed(600 * MAX_BODY)
    found = []
    for number in range(20):
        begin = with_length(
            place, number, len(body), "Content-Encoding: deflate"
        )
        found.append(crowd_clients.Client((begin, body[:-1])))
    return found


@functools.cache
def packed(size: int) -> bytes:
    """Zeros, compressed."""
    packer = zlib.compressobj(9)
    parts = []
    for _ in range(size // MAX_BODY):
        parts.append(packer.compress(bytes(MAX_BODY)))
    return b"".join([*parts, packer.flush()])


def bodies_behind_a_get(place: Place) -> list[crowd_clients.Client]:
    """A request, and behind it a body that stops a byte short."""
    body = bytes(MAX_BODY - 1)
    found = []
    for number in range(120):
        first = head(place, number, "GET")
        second = with_length(place, 1000 + number, MAX_BODY)
        found.append(crowd_clients.Client((first, second, body)))
    return found


def whole_bodies(place: Place) -> list[crowd_clients.Client]:
    """Whole bodies of legal size, many at once."""
    body = bytes(MAX_BODY)
    found = []
    for number in range(150):
        begin = with_length(place, number, MAX_BODY)
        found.append(crowd_clients.Client((begin, body)))
    return found


def oversized_bodies(place: Place) -> list[crowd_clients.Client]:
    """Bodies far over the limit."""
    body = bytes(8 * MAX_BODY)
    found = []
    for number in range(20):
        begin = with_length(place, number, 64 * MAX_BODY)
        found.append(crowd_clients.Client((begin, *[body] * 8)))
    return found


def endless_heads(place: Place) -> list[crowd_clients.Client]:
    """Heads far over the limit that don't end."""
    fields = ["x" * 99 + ": " + "y" * 499] * 100
    data = head(place, 1, "GET", *fields).removesuffix(b"\r\n")
    return [crowd_clients.Client((data,)) for _ in range(300)]


def half_heads(place: Place) -> list[crowd_clients.Client]:
    """Connections with half a head."""
    data = head(place, 1, "GET")[:20]
    return [crowd_clients.Client((data,)) for _ in range(300)]


def silent_connections(place: Place) -> list[crowd_clients.Client]:
    """Connections without a byte."""
    return [crowd_clients.Client(()) for _ in range(300)]


def many_fields(place: Place) -> list[crowd_clients.Client]:
    """Requests of legal size with thousands of fields, several in a row."""
    fields = ["a:b"] * 3000
    found = []
    for number in range(40):
        data = head(place, number, "GET", *fields)
        found.append(crowd_clients.Client((data * 10,)))
    return found


def unfinished_fields(place: Place) -> list[crowd_clients.Client]:
    """Heads of legal size with thousands of fields that don't end."""
    data = head(place, 1, "GET", *["a:b"] * 3000).removesuffix(b"\r\n")
    return [crowd_clients.Client((data,)) for _ in range(350)]


def requests_ahead(place: Place) -> list[crowd_clients.Client]:
    """Requests sent ahead under one id; their answers aren't read."""
    found = []
    for number in range(12):
        data = head(place, number, "GET")
        found.append(crowd_clients.Client((data * 1000,), stays=True))
    return found


def unread_answers(place: Place) -> list[crowd_clients.Client]:
    """Requests whose answers aren't read."""
    found = []
    for number in range(120):
        found.append(crowd_clients.Client((head(place, number, "GET"),)))
    return found


def unread_streams(place: Place) -> list[crowd_clients.Client]:
    """Requests for streams, which aren't read."""
    found = []
    for number in range(200):
        data = head(
            place,
            number,
            "GET",
            f"{names.MODEL}: m",
            f"{names.TOKEN_COUNTS}: 20,4000",
            f"{names.CHAIN}: {number:x}:20",
        )
        found.append(crowd_clients.Client((data,), stays=True))
    return found


CROWDS: dict[str, Callable[[Place], list[crowd_clients.Client]]] = {
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
    "unread streams": unread_streams,
}


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
