"""What gateways say to each other, and how it is read.

Anybody who reaches a node's port may write to it, so that every message is
decoded or refused as a whole.
"""

import ipaddress
from typing import Annotated

import msgspec

from gypsumfold import exceptions

# Bytes of a datagram: what fits into one packet.
MOST_BYTES = 1400
# An amount that a peer may say; one that is no number would stay in all sums.
Amount = Annotated[float, msgspec.Meta(ge=0.0, le=1e6)]


class Placed(msgspec.Struct, array_like=True):
    """A prompt that was sent to an engine.

    Attributes:
        engine: Its instance.
        links: Hashes of the prompt up to each part.
        tokens: Length of each part.
    """

    engine: str
    links: list[int]
    tokens: list[int]


class Message(msgspec.Struct, array_like=True):
    """One datagram.

    Attributes:
        member: Who sends it.
        number: Increases with each one.
        prompts: Seconds of prompts by engine that are still to be read.
        streams: Tokens of running streams by engine.
        placed: Prompts sent since the last one.
        closed: Engines that were ordered to change their role, and for how
            many seconds from now they get no work.
        roles: New roles that engines have, and for how many seconds that is
            to be believed.
        unreachable: Replicas to which no connection could be opened.
        late: Seconds of late prompts that are still to be read, by engine and
            urgency.
        demand: Engines that the prompts which come would keep busy, by
            service.
        births: Starts of the engines of which something is said; a later
            start makes it void.
    """

    member: str
    number: int
    prompts: dict[str, Amount]
    streams: dict[str, Amount]
    placed: list[Placed]
    closed: dict[str, Amount] = {}
    roles: dict[str, tuple[str, Amount]] = {}
    late: dict[str, Amount] = {}
    unreachable: list[str] = []
    demand: dict[str, Amount] = {}
    births: dict[str, int] = {}


class Entry(msgspec.Struct):
    """A node's record in the store."""

    address: str


DECODER = msgspec.msgpack.Decoder(Message)
# What decoding raises for bytes that hold no message, or too deep a one.
UNREADABLE = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)


def message(data: bytes) -> Message:
    """Decodes a peer's datagram.

    Raises:
        exceptions.RecordInvalid: It holds no message.
    """
    if len(data) > MOST_BYTES:
        raise exceptions.RecordInvalid(f"{len(data)} bytes are too many")
    try:
        return DECODER.decode(data)
    except UNREADABLE as error:
        raise exceptions.RecordInvalid(str(error)) from error


def entry_address(value: bytes) -> tuple[str, int]:
    """Decodes a node's record in the store: where it takes datagrams.

    Sending to anything that is no address fails for all peers after it.

    Raises:
        exceptions.RecordInvalid: It names no address.
    """
    try:
        entry = msgspec.json.decode(value, type=Entry)
        host, _, port = entry.address.rpartition(":")
        ipaddress.ip_address(host)
        number = int(port)
    except (*UNREADABLE, ValueError) as error:
        raise exceptions.RecordInvalid(str(error)) from error
    if not 0 < number < 65536:
        raise exceptions.RecordInvalid(f"no port: {port}")
    return host, number
