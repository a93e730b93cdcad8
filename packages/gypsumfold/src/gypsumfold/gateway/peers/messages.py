"""What gateways say to each other, and how it is read.

Anybody who reaches a node's port may write to it, so that every message is
decoded or refused as a whole.
"""

import ipaddress
from typing import Annotated

import msgspec

from gypsumfold import exceptions

# Bytes of a datagram: what fits into one packet.
MAX_DATAGRAM_BYTES = 1400
# An amount that a peer may say; one that is no number would stay in all sums.
Amount = Annotated[float, msgspec.Meta(ge=0.0, le=1e6)]
# The same in thousandths, as sums of many nodes are told: a third of the
# bytes of a float.
Thousandths = Annotated[int, msgspec.Meta(ge=0, le=10**9)]
# A VM's power in cores; at least some, since ranks divide by it.
Power = Annotated[float, msgspec.Meta(ge=0.0, le=1e4)]
# An offset of the store's log or a count.
Count = Annotated[int, msgspec.Meta(ge=0, le=2**62)]


class Placement(msgspec.Struct, array_like=True):
    """A prompt that was sent to an engine.

    Attributes:
        engine: Its instance.
        links: Hashes of the prompt up to each part.
        tokens: Length of each part.
    """

    engine: str
    prefix_hashes: list[int]
    tokens: list[int]


class Contact(msgspec.Struct, array_like=True):
    """A node as others may reach and rank it.

    Attributes:
        member: Names this start of the node.
        node: The VM's name.
        data_centre: Where it stands.
        address: IP:PORT of its datagrams; empty for the sender's own.
        power: Of its processor, in cores.
    """

    member: str
    node: str
    data_centre: str
    address: str = ""
    power: Power = 1.0


class EngineLoads(msgspec.Struct, array_like=True):
    """Work at engines, of one node.

    Attributes:
        prompts: Seconds of prompts by engine and urgency that are still to be
            read.
        streams: Running streams by engine, as shares of it.
        late: Seconds of late prompts that are still to be read, by engine and
            urgency.
        demand: Engines that the prompts which come would keep busy, by
            service.
    """

    prompts: dict[str, Amount] = {}
    streams: dict[str, Amount] = {}
    late: dict[str, Amount] = {}
    demand: dict[str, Amount] = {}


class LoadDelta(msgspec.Struct, array_like=True):
    """Work at engines, of many nodes; as `Amounts`, in thousandths.

    Only what changed since the last message, and by turns the rest; zero
    where nothing is left.
    """

    prompts: dict[str, Thousandths] = {}
    streams: dict[str, Thousandths] = {}
    late: dict[str, Thousandths] = {}
    demand: dict[str, Thousandths] = {}


class Updates(msgspec.Struct, array_like=True):
    """What happened.

    Attributes:
        placed: Prompts that were sent to engines.
        closed: Engines that were ordered to change their role, and for how
            many seconds from now they get no work.
        roles: New roles that engines have, and for how many seconds that is
            to be believed.
        unreachable: Replicas to which no connection could be opened.
        births: Starts of the engines of which something is said; a later
            start makes it void.
    """

    placements: list[Placement] = []
    closed: dict[str, Amount] = {}
    roles: dict[str, tuple[str, Amount]] = {}
    unreachable: list[str] = []
    start_times: dict[str, int] = {}


class ChangedRegistration(msgspec.Struct, array_like=True):
    """A registration that changed; an empty value where it is gone."""

    key: str
    offset: Count
    value: bytes


class Knowledge(msgspec.Struct, array_like=True):
    """What the sender knows from the store, and how old that is.

    Attributes:
        end: Offset up to which it has read the registrations.
        age: Seconds since it asked the store for them.
        digest: Of all of them.
        changed: Those that changed in the last moments.
        grace: Seconds for which one that went is still to be believed.
        version: Of its configuration; 0 for none.
        version_end: Offset up to which it has read the configuration.
        version_age: Seconds since it asked the store for that.
    """

    end: Count
    age: Amount
    digest: Annotated[int, msgspec.Meta(ge=0)]
    changed: list[ChangedRegistration]
    grace: Amount
    version: Count
    version_end: Count
    version_age: Amount


# A request's fingerprint.
Fingerprint = Annotated[int, msgspec.Meta(ge=0)]


class Interrupted(msgspec.Struct, array_like=True):
    """A request that a replica's crash interrupted.

    Attributes:
        instance: The replica.
        started: Unix milliseconds of its start; 0 if it does not say.
        fingerprint: The request.
        output: Whether its caller had got output.
        cleared: Whether it has run to its end since.
    """

    instance: str
    started: Count
    fingerprint: Fingerprint
    output: bool = False
    cleared: bool = False


class Canary(msgspec.Struct, array_like=True):
    """A request that runs as the only suspect on its replica.

    Attributes:
        fingerprint: The request.
        owner: The node that runs it.
        number: Increases with each canary of its owner.
        instance: The replica.
        seconds: For how long that is taken for true; 0 where it has ended.
    """

    fingerprint: Fingerprint
    owner: Count
    number: Count
    instance: str
    valid_seconds: Amount


class Report(msgspec.Struct, array_like=True, tag=1):
    """What one node has at the engines, to its relay or to every node.

    Attributes:
        sender: Who sends it.
        number: Increases with each one.
        wants: What it asks its receiver for, of `WANTS_NOTHING` and on.
        amounts: Its own work at engines.
        updates: What it did since the last one.
        knowledge: What it has read in the store, where each node tells every
            other: once a second and where that changes.
    """

    sender: Contact
    sequence: int
    subscription_level: int
    loads: EngineLoads
    updates: Updates
    knowledge: Knowledge | None = None


class Summary(msgspec.Struct, array_like=True, tag=2):
    """What a relay tells the nodes that report to it, or other relays.

    Attributes:
        sender: Who sends it.
        number: Increases with each one.
        nodes: How many nodes the sums are of.
        between: Whether it goes to relays of other data centres, with the
            sums of the sender's own; else with those of the whole site.
        sums: Work at engines that changed.
        updates: What happened there since the last one.
        knowledge: What the sender knows from the store.
        members: Nodes that rank high in its data centre.
        apart: Whether the rest of the site may count without these nodes.
    """

    sender: Contact
    sequence: int
    node_count: Count
    to_relays: bool
    load_delta: LoadDelta
    updates: Updates
    knowledge: Knowledge | None = None
    members: list[Contact] = []
    partitioned: bool = False


class CrashUpdate(msgspec.Struct, array_like=True, tag=3):
    """What one node knows of requests that may crash replicas.

    Attributes:
        sender: Who sends it.
        number: Increases with each message of the sender.
        interrupted: Requests that crashes interrupted.
        canaries: Requests that run as the only suspect on their replica.
    """

    sender: Contact
    sequence: int
    interrupted: list[Interrupted] = []
    canaries: list[Canary] = []


# What a report asks for: nothing (its sender tells everybody), nothing but to
# be known, a sign of life once a second, or all that there is.
SUBSCRIBE_NONE = 0
SUBSCRIBE_PRESENCE = 1
SUBSCRIBE_HEARTBEATS = 2
SUBSCRIBE_ALL = 3


class Entry(msgspec.Struct):
    """A node's record in the store, under its VM's name.

    Attributes:
        address: IP:PORT of its datagrams.
        member: Names this start of the node.
        data_centre: Where the VM stands.
        power: Of its processor, in cores.
        suspected: Whether another node, which does not hear it, has marked
            it; it is removed unless it is renewed.
    """

    address: str
    member: str = ""
    data_centre: str = ""
    power: Power = 1.0
    suspected: bool = False


DECODER = msgspec.msgpack.Decoder(Report | Summary | CrashUpdate)
# What decoding raises for bytes that hold no message, or too deep a one.
DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)


def decode_message(data: bytes) -> Report | Summary | CrashUpdate:
    """Decodes a peer's message.

    Raises:
        exceptions.RecordInvalid: It holds no message.
    """
    try:
        return DECODER.decode(data)
    except DECODE_ERRORS as error:
        raise exceptions.RecordInvalid(str(error)) from error


def decode_entry(value: bytes) -> Entry:
    """Decodes a node's record in the store.

    Sending to anything that is no address fails for all peers after it.

    Raises:
        exceptions.RecordInvalid: It names no node that could be reached.
    """
    try:
        found = msgspec.json.decode(value, type=Entry)
    except DECODE_ERRORS as error:
        raise exceptions.RecordInvalid(str(error)) from error
    parse_socket_address(found.address)
    return found


def parse_socket_address(text: str) -> tuple[str, int]:
    """Decodes IP:PORT.

    Raises:
        exceptions.RecordInvalid: It is no address.
    """
    try:
        host, _, port = text.rpartition(":")
        ipaddress.ip_address(host)
        number = int(port)
    except ValueError as error:
        raise exceptions.RecordInvalid(str(error)) from error
    if not 0 < number < 65536:
        raise exceptions.RecordInvalid(f"no port: {port}")
    return host, number
