"""Decides what a process holds for its callers, and who has to go.

Bytes count as they are received, whatever listener they came to. While there is
room nobody is refused or closed for what it holds. Once there is none, the
connection whose unfinished business is largest and oldest goes first: an
ordinary caller has sent its request within moments, and one that stops short
or trickles grows older with all that it has sent.
"""

from collections.abc import Iterable
import enum
import heapq
from typing import NamedTuple

MIB = 1024 * 1024
# Parts of the VM's memory for what is held for callers, and for the whole
# answers of replicas; the process itself needs most of the rest.
CALLERS_SHARE = 0.25
ANSWERS_SHARE = 0.08
# Part of the room that large requests can't take: whoever sends little is
# served beside them.
RESERVE_SHARE = 0.25
# Bytes of a small request, head and body.
SMALL_BYTES = 65536
# Memory of an open connection beside the bytes that came on it.
CONNECTION_BYTES = 16384
# Memory of a parsed header field beside its bytes, in the library's and our own
# tables; the first ones of a head count with their connection.
FIELD_BYTES = 512
FREE_FIELDS = 64
# Least bytes of a field: a name, a colon and a line end.
MIN_FIELD_BYTES = 4
# Parts of the descriptors for callers' connections, and for idle ones to
# replicas. Each request in progress needs one to a replica besides.
CALLERS_DESCRIPTORS = 0.375
IDLE_DESCRIPTORS = 0.125
# Times that a request's body is held once it is read whole: itself, and the
# bytes that wait to be sent to a replica or to another node.
WHOLE_COPIES = 2
# Seconds beyond a limit after which a connection is overdue.
MARGIN_SECONDS = 0.5
# Seconds for which a client may go on sending after its final answer.
DRAIN_SECONDS = 2.0
# Seconds without progress after which an answer may be cut for want of room.
STALL_SECONDS = 5.0
# Part of the connections that go at once, so that a crowd that connects again
# and again doesn't have all connections compared each time.
BATCH_SHARE = 1 / 64
# Rank of an idle connection among those that may have to go.
IDLE_RANK = 1


class State(enum.Enum):
    """What a connection is doing.

    Attributes:
        IDLE: No byte of a request has come.
        HEAD: A part of a head has come.
        BODY: A head has come, and not the entire body.
        SERVING: The request was read whole and has no complete answer.
        ANSWERING: A whole answer is being sent, or the client has taken
            nothing of an answer for some time.
        DRAINING: The final answer came before the request was read whole.
    """

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    SERVING = "serving"
    ANSWERING = "answering"
    DRAINING = "draining"


class Reason(enum.StrEnum):
    """Why a caller was refused or its connection closed."""

    NO_MEMORY = "no-memory"
    NO_DESCRIPTORS = "no-descriptors"
    HEAD_TOO_LARGE = "head-too-large"
    HEAD_TOO_SLOW = "head-too-slow"
    IDLE = "idle"
    NOT_DRAINED = "not-drained"
    STOPPING = "stopping"


class Room(NamedTuple):
    """What a process may hold.

    Attributes:
        callers_bytes: Bytes held for callers.
        answers_bytes: Bytes of replicas' answers that are being read whole.
        connections: Connections of callers.
        idle_replica_connections: Idle connections to replicas.
    """

    callers_bytes: int
    answers_bytes: int
    connections: int
    idle_replica_connections: int


class Load(NamedTuple):
    """What one connection holds.

    Attributes:
        state: What it is doing.
        held: Bytes that are held for it.
        ahead: Bytes among them that came behind a request in progress and are
            not parsed yet.
        since: When the present state began, in seconds.
        requests: Requests that were read whole on it.
    """

    state: State
    held: int
    ahead: int
    since: float
    requests: int


class Times(NamedTuple):
    """Limits of the operators' configuration in seconds.

    Attributes:
        head: From the first byte of a head to its end.
        idle: Without a request.
    """

    head: float
    idle: float


def room(memory_mb: float, descriptors: int) -> Room:
    """Divides a VM's memory and descriptors.

    Args:
        memory_mb: Memory of the process in megabytes (2**20 bytes).
        descriptors: Descriptors of the process.
    """
    memory = memory_mb * MIB
    return Room(
        callers_bytes=int(memory * CALLERS_SHARE),
        answers_bytes=int(memory * ANSWERS_SHARE),
        connections=max(1, int(descriptors * CALLERS_DESCRIPTORS)),
        idle_replica_connections=max(1, int(descriptors * IDLE_DESCRIPTORS)),
    )


def callers_bytes(room: Room, body_bytes: int, header_bytes: int) -> int:
    """Bytes that may be held; the largest legal request always fits."""
    largest = WHOLE_COPIES * body_bytes
    largest += header_bytes // MIN_FIELD_BYTES * FIELD_BYTES
    return max(room.callers_bytes, largest + MIB)


def fields_bytes(count: int) -> int:
    """Memory of header fields beside their bytes."""
    return max(0, count - FREE_FIELDS) * FIELD_BYTES


def may_stay(held: int, total: int, limit: int) -> bool:
    """Whether a request may be held though nobody else can go.

    Args:
        held: Bytes of the connection.
        total: Bytes of all connections.
        limit: Bytes that may be held.
    """
    if total <= limit:
        return True
    small = held <= SMALL_BYTES + CONNECTION_BYTES
    return small and total <= limit * (1 + RESERVE_SHARE)


def freed(load: Load) -> int:
    """Bytes that are freed if a connection yields what it can.

    A request that was read whole stays, and is answered; only what its client
    has sent behind it goes.
    """
    if load.state is State.SERVING:
        return load.ahead
    return load.held


def choose_for_memory(loads: Iterable[Load], now: float) -> int | None:
    """Chooses the connection that has to yield memory.

    Returns:
        Its place in the list; None if none can.
    """
    chosen = None
    heaviest = 0.0
    for place, load in enumerate(loads):
        age = now - load.since
        if load.state is not State.ANSWERING:
            # What is being sent now may still be taken at once; of the rest,
            # the largest goes where all are new.
            age += MARGIN_SECONDS
        weight = freed(load) * age
        if weight > heaviest:
            chosen = place
            heaviest = weight
    return chosen


def choose_for_descriptors(
    loads: Iterable[Load], now: float, most: int
) -> list[int]:
    """Chooses connections that have to yield their descriptors.

    Those that have been answered go first, then those on which no request was
    ever complete, then other unfinished requests, then idle ones, then answers
    that nobody takes; the oldest of each first. Only unfinished requests go
    several at once.

    Args:
        loads: What each connection holds.
        now: In seconds.
        most: Largest number that goes at once.

    Returns:
        Their places in the list; none if all serve a request.
    """
    orders = []
    for place, load in enumerate(loads):
        if load.state is State.SERVING:
            continue
        orders.append((_rank(load), now - load.since, place))
    chosen = []
    for rank, _, place in heapq.nlargest(most, orders):
        if chosen and rank <= IDLE_RANK:
            break
        chosen.append(place)
    return chosen


def _rank(load: Load) -> int:
    if load.state is State.ANSWERING:
        return IDLE_RANK - 1
    if load.state is State.DRAINING:
        return IDLE_RANK + 3
    if not load.requests:
        return IDLE_RANK + 2
    return IDLE_RANK if load.state is State.IDLE else IDLE_RANK + 1


def overdue(load: Load, times: Times, now: float) -> Reason | None:
    """Why a connection has had its time; None if it hasn't.

    A body and an answer have no limit of time: their connections are closed
    only for want of room.
    """
    age = now - load.since - MARGIN_SECONDS
    if load.state is State.HEAD and age > times.head:
        return Reason.HEAD_TOO_SLOW
    if load.state is State.IDLE and age > times.idle:
        return Reason.IDLE
    if load.state is State.DRAINING and age > DRAIN_SECONDS:
        return Reason.NOT_DRAINED
    return None
