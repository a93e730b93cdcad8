"""Messages between gateways and their decoding.

Anybody who reaches a node's port may write to it, so a message that does not
match its type is refused entirely. Structs with `array_like=True` are encoded
by position.
"""

import ipaddress
from typing import Annotated

import msgspec

from gypsumfold import exceptions

# Maximum bytes of a datagram, so that it fits into one packet.
MAX_DATAGRAM_BYTES = 1400
# An amount that a peer may send; NaN would stay in all totals.
Amount = Annotated[float, msgspec.Meta(ge=0.0, le=1e6)]
# The same in thousandths, for the totals of many nodes: it takes a third of the
# bytes of a float.
Thousandths = Annotated[int, msgspec.Meta(ge=0, le=10**9)]
# A VM's processing power in cores. Ranking is weighted by it, so it can't be
# negative.
Power = Annotated[float, msgspec.Meta(ge=0.0, le=1e4)]
# An offset of the store's log or a count.
Count = Annotated[int, msgspec.Meta(ge=0, le=2**62)]


class Placement(msgspec.Struct, array_like=True):
    """A prompt sent to an engine.

    Attributes:
        engine: The engine's instance.
        prefix_hashes: Hash of the prompt up to the end of each block.
        tokens: Tokens in each block.
    """

    engine: str
    prefix_hashes: list[int]
    tokens: list[int]


class Contact(msgspec.Struct, array_like=True):
    """What other nodes need to reach and rank a node.

    Attributes:
        member: Identifies this incarnation of the node.
        node: The VM's name.
        data_centre: The VM's data centre.
        address: IP:PORT for datagrams; empty for the sender itself.
        power: Processing power in cores.
    """

    member: str
    node: str
    data_centre: str
    address: str = ""
    power: Power = 1.0


class EngineLoads(msgspec.Struct, array_like=True):
    """One node's work at engines.

    Attributes:
        prompts: Seconds of prefill still to do, by engine and urgency.
        streams: Running streams by engine, as fractions of its capacity.
        late: Seconds of prefill still to do for late prompts, by engine and
            urgency.
        demand: Number of engines that arriving prompts keep busy, by service.
        failures: Recent failed answers, by replica.
        answers: Recent answers of the replicas with failures. Also the counts
            of `decisions/second_copies.py`, whose keys hold a slash: a field
            of their own would take a byte of each report where it is empty.
        calls: Open calls by replica of a plain service, and waiting calls by
            service and urgency.
        call_seconds: Seconds of recent calls by slow replica, and their number.
        slow_taken: Seconds that recent prefills took, by engine that differs
            from the median, relative to the sender's median engine.
        slow_expected: Seconds that they should have taken.
    """

    prompts: dict[str, Amount] = {}
    streams: dict[str, Amount] = {}
    late: dict[str, Amount] = {}
    demand: dict[str, Amount] = {}
    failures: dict[str, Amount] = {}
    answers: dict[str, Amount] = {}
    calls: dict[str, Amount] = {}
    call_seconds: dict[str, Amount] = {}
    slow_taken: dict[str, Amount] = {}
    slow_expected: dict[str, Amount] = {}


class LoadDelta(msgspec.Struct, array_like=True):
    """Changes in many nodes' work at engines.

    The fields are those of `EngineLoads`, in thousandths. They hold what
    changed since the last message and, by turns, the rest; zero where nothing
    is left.
    """

    prompts: dict[str, Thousandths] = {}
    streams: dict[str, Thousandths] = {}
    late: dict[str, Thousandths] = {}
    demand: dict[str, Thousandths] = {}
    failures: dict[str, Thousandths] = {}
    answers: dict[str, Thousandths] = {}
    calls: dict[str, Thousandths] = {}
    call_seconds: dict[str, Thousandths] = {}
    slow_taken: dict[str, Thousandths] = {}
    slow_expected: dict[str, Thousandths] = {}


# The fields of `EngineLoads` and `LoadDelta`.
LOAD_KINDS = EngineLoads.__struct_fields__
# The first of them are always sent; the others, which settings ask for, only
# up to the last one that isn't empty.
ALWAYS_SENT_KINDS = 6


class Updates(msgspec.Struct, array_like=True):
    """Events at engines and replicas.

    Attributes:
        placements: Prompts sent to engines.
        closed: Engines ordered to change their role, with the number of
            seconds from now for which they get no work.
        roles: New roles of engines, with the number of seconds for which they
            are valid.
        unreachable: Replicas to which no connection could be opened.
        start_times: Start times of the engines in `closed` and `roles`; what is
            reported about an engine is void once it has started again.
        rate_limits: What replicas said of their rate limits: requests a
            second, None for no limit, and how many seconds ago.
        departures: Replicas that have said that they leave: their start time,
            0 if unknown, and for how many seconds that is to be passed on.
    """

    placements: list[Placement] = []
    closed: dict[str, Amount] = {}
    roles: dict[str, tuple[str, Amount]] = {}
    unreachable: list[str] = []
    start_times: dict[str, int] = {}
    rate_limits: dict[str, tuple[Amount | None, Amount]] = {}
    departures: dict[str, tuple[Count, Amount]] = {}


class ChangedRegistration(msgspec.Struct, array_like=True):
    """A registration that changed; the value is empty if it was removed."""

    key: str
    offset: Count
    value: bytes


class CopyState(msgspec.Struct, array_like=True):
    """State of the sender's copy of the store, and how old that is.

    Attributes:
        end: Offset up to which it has read the registrations.
        age: Seconds since it requested them from the store.
        digest: Digest of all registrations.
        changed: Registrations that changed recently.
        grace: Seconds for which a removed registration remains valid.
        version: Version of its configuration; 0 for none.
        version_end: Offset up to which it has read the configuration.
        version_age: Seconds since it requested that from the store.
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
    """A request that a replica's crash interrupted, or a part of its prompt.

    Attributes:
        instance: The replica.
        started: The replica's start in Unix milliseconds; 0 if unknown.
        fingerprint: The request or the part.
        output: Whether its caller had received output.
        cleared: Whether a request with it has since run to completion.
        alone: Whether it ran as the only suspect on the replica.
        version: Digest of the replica's software version; 0 if unknown.
        age: Seconds since the crash.
    """

    instance: str
    started: Count
    fingerprint: Fingerprint
    output: bool = False
    cleared: bool = False
    alone: bool = False
    version: Count = 0
    age: Amount = 0.0


class Canary(msgspec.Struct, array_like=True):
    """A request that runs as the only suspect on its replica.

    Attributes:
        fingerprint: The request.
        owner: The node that runs it.
        number: Increases with each canary of its owner.
        instance: The replica.
        valid_seconds: For how long this is valid; 0 if the canary has ended.
        reserved: Whether it has not started yet.
    """

    fingerprint: Fingerprint
    owner: Count
    number: Count
    instance: str
    valid_seconds: Amount
    reserved: bool = False


class Report(msgspec.Struct, array_like=True, tag=1):
    """One node's work at engines, sent to its relay or to every node.

    Attributes:
        sender: The sending node.
        sequence: Increases with each message of the sender.
        subscription_level: What the sender asks its receiver to send, one of
            the `SUBSCRIBE_` constants.
        loads: The sender's own work at engines.
        updates: Events at the sender since its last report.
        copy_state: State of the sender's copy of the store. Sent in a mesh
            only, once a second and when it changes.
    """

    sender: Contact
    sequence: int
    subscription_level: int
    loads: EngineLoads
    updates: Updates
    copy_state: CopyState | None = None


class Summary(msgspec.Struct, array_like=True, tag=2):
    """What a relay sends to the nodes that report to it, or to other relays.

    Attributes:
        sender: The sending node.
        sequence: Increases with each message of the sender.
        node_count: Number of nodes in the load totals.
        between_relays: Whether it goes to relays of other data centres, with
            the totals of the sender's data centre; otherwise it has those of
            the whole site.
        load_delta: Changes in the work at engines.
        updates: Events at those nodes since the last summary.
        copy_state: State of the sender's copy of the store.
        members: Highest ranked nodes of the sender's data centre.
        partitioned: Whether the rest of the site may count without these
            nodes.
    """

    sender: Contact
    sequence: int
    node_count: Count
    between_relays: bool
    load_delta: LoadDelta
    updates: Updates
    copy_state: CopyState | None = None
    members: list[Contact] = []
    partitioned: bool = False


class CrashUpdate(msgspec.Struct, array_like=True, tag=3):
    """What one node knows of requests that may crash replicas.

    Attributes:
        sender: The sending node.
        sequence: Increases with each message of the sender.
        interrupted: Requests that crashes interrupted.
        canaries: Requests that run as the only suspect on their replica.
    """

    sender: Contact
    sequence: int
    interrupted: list[Interrupted] = []
    canaries: list[Canary] = []


class UsageUpdate(msgspec.Struct, array_like=True, tag=4):
    """The requests of each account that began through the sender.

    Attributes:
        sender: The sending node.
        sequence: Increases with each message of the sender.
        window: Number of the window.
        counts: Requests by account.
    """

    sender: Contact
    sequence: int
    window: Count
    counts: dict[str, Count]


class UsageStored(msgspec.Struct, array_like=True, tag=5):
    """Which counts of a window the sender has stored.

    Attributes:
        sender: The sending node.
        sequence: Increases with each message of the sender.
        window: Number of the window.
        versions: Sum of the stored counts, by incarnation of a node.
    """

    sender: Contact
    sequence: int
    window: Count
    versions: dict[str, Count]


class StreamGroup(msgspec.Struct, array_like=True):
    """Streams that one software version of a service began.

    Attributes:
        service: The service.
        version: The version.
        keys: The streams.
    """

    service: str
    version: str
    keys: list[Fingerprint]


class OriginUpdate(msgspec.Struct, array_like=True, tag=6):
    """Streams that began through the sender, or through nodes of its relay.

    Attributes:
        sender: The sending node.
        sequence: Increases with each message of the sender.
        groups: The streams by their origin.
    """

    sender: Contact
    sequence: int
    groups: list[StreamGroup]


# Any message between nodes.
Message = (
    Report | Summary | CrashUpdate | UsageUpdate | UsageStored | OriginUpdate
)


# What a report asks its receiver for: nothing, since its sender reports to
# every node; only to note the sender; a heartbeat once a second; or all
# summaries.
SUBSCRIBE_NONE = 0
SUBSCRIBE_PRESENCE = 1
SUBSCRIBE_HEARTBEATS = 2
SUBSCRIBE_ALL = 3


class Entry(msgspec.Struct):
    """A node's record in the store, under its VM's name.

    Attributes:
        address: IP:PORT for datagrams.
        member: Identifies this incarnation of the node.
        data_centre: The VM's data centre.
        power: Processing power in cores.
        suspected: Whether a node that receives nothing from this one has
            marked the entry; it is removed unless it is renewed.
    """

    address: str
    member: str = ""
    data_centre: str = ""
    power: Power = 1.0
    suspected: bool = False


DECODER = msgspec.msgpack.Decoder(Message)
# Raised by decoding for invalid bytes and for messages nested too deeply.
DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)


def decode_message(data: bytes) -> Message:
    """Decodes a peer's message.

    Raises:
        exceptions.RecordInvalid: It is not a valid message.
    """
    try:
        return DECODER.decode(data)
    except DECODE_ERRORS as error:
        raise exceptions.RecordInvalid(str(error)) from error


def decode_entry(value: bytes) -> Entry:
    """Decodes a node's record in the store.

    The address is checked, since sending to an invalid one would fail for all
    peers after it.

    Raises:
        exceptions.RecordInvalid: It is not a valid entry, or its address is
            invalid.
    """
    try:
        found = msgspec.json.decode(value, type=Entry)
    except DECODE_ERRORS as error:
        raise exceptions.RecordInvalid(str(error)) from error
    parse_socket_address(found.address)
    return found


def parse_socket_address(text: str) -> tuple[str, int]:
    """Parses IP:PORT.

    Raises:
        exceptions.RecordInvalid: It is not an address.
    """
    try:
        host, _, port = text.rpartition(":")
        ipaddress.ip_address(host)
        number = int(port)
    except ValueError as error:
        raise exceptions.RecordInvalid(str(error)) from error
    if not 0 < number < 65536:
        raise exceptions.RecordInvalid(f"invalid port: {port}")
    return host, number
