"""Encodes messages as sealed datagrams that fit into one packet."""

import msgspec

from gypsumfold.decisions import second_copies
from gypsumfold.gateway.peers import messages
from gypsumfold.gateway.peers import seals

ENCODER = msgspec.msgpack.Encoder()


def pack(message: messages.Message) -> bytes:
    """Encodes a message, without load kinds that no setting asks for."""
    if isinstance(message, messages.Report):
        loads = without_empty_kinds(message.loads)
        message = msgspec.structs.replace(message, loads=loads)
    elif isinstance(message, messages.Summary):
        loads = without_empty_kinds(message.load_delta)
        message = msgspec.structs.replace(message, load_delta=loads)
    return ENCODER.encode(message)


def without_empty_kinds(
    loads: messages.EngineLoads | messages.LoadDelta,
) -> tuple[dict, ...]:
    """Returns the kinds of load up to the last that has to be sent."""
    kinds = msgspec.structs.astuple(loads)
    while len(kinds) > messages.ALWAYS_SENT_KINDS and not kinds[-1]:
        kinds = kinds[:-1]
    return kinds


def encode(
    message: messages.Message,
    sealer: seals.Sealer,
) -> bytes:
    """Encodes a message as one datagram."""
    return sealer.seal(pack(message))


def fits_datagram(
    message: messages.Report | messages.Summary, sealer: seals.Sealer
) -> bool:
    """Whether a message fits into one datagram."""
    size = len(pack(message)) + sealer.overhead
    return size <= messages.MAX_DATAGRAM_BYTES


def encode_report(report: messages.Report, sealer: seals.Sealer) -> bytes:
    """Encodes a report as one datagram, leaving out what does not fit.

    A report replaces the sender's previous one, so it cannot be split. Changed
    registrations are left out first: a receiver that cannot read them in the
    store sees that the digest differs and asks for them. Then the counts
    that permit second copies are left out: the others send fewer of them as
    long as they don't know these. At last the oldest prompts are left out.
    """
    if report.copy_state is not None and not fits_datagram(report, sealer):
        copy_state = msgspec.structs.replace(report.copy_state, changed=[])
        report = msgspec.structs.replace(report, copy_state=copy_state)
    if not fits_datagram(report, sealer):
        report = without_copy_counts(report)
    while not fits_datagram(report, sealer) and report.updates.placements:
        placements = report.updates.placements[
            len(report.updates.placements) // 2 + 1 :
        ]
        updates = msgspec.structs.replace(report.updates, placements=placements)
        report = msgspec.structs.replace(report, updates=updates)
    return encode(report, sealer)


def without_copy_counts(report: messages.Report) -> messages.Report:
    """Leaves out the counts that permit second copies, not those that limit."""
    answers = {}
    for key, value in report.loads.answers.items():
        kind, slash, _ = key.partition("/")
        if not slash or kind in second_copies.IMMEDIATE_KINDS:
            answers[key] = value
    loads = msgspec.structs.replace(report.loads, answers=answers)
    return msgspec.structs.replace(report, loads=loads)


def split_summary(
    summary: messages.Summary, sealer: seals.Sealer
) -> list[messages.Summary]:
    """Splits a summary into parts that each fit into a datagram.

    Each part is a valid summary. What is sent only once is in the last one.
    """
    waiting = [summary]
    found = []
    while waiting:
        part = waiting.pop(0)
        halves = [] if fits_datagram(part, sealer) else split_in_half(part)
        if halves:
            waiting[:0] = halves
        else:
            found.append(part)
    return found


def split_in_half(summary: messages.Summary) -> list[messages.Summary]:
    """Splits a summary in two; returns [] if a half would be no smaller."""
    load_delta = split_load_delta(summary.load_delta)
    updates = split_updates(summary.updates)
    copy_state = split_copy_state(summary.copy_state)
    halves = [
        msgspec.structs.replace(
            summary,
            load_delta=load_delta[0],
            updates=updates[0],
            copy_state=copy_state[0],
        ),
        msgspec.structs.replace(
            summary,
            load_delta=load_delta[1],
            updates=updates[1],
            copy_state=copy_state[1],
        ),
    ]
    halves[0].members = []
    whole = len(pack(summary))
    for half in halves:
        if len(pack(half)) >= whole:
            return []
    return halves


def split_updates(
    updates: messages.Updates,
) -> tuple[messages.Updates, messages.Updates]:
    """Splits updates in two, each with the start times of its engines."""
    halves = []
    placements = split_list(updates.placements)
    unreachable = split_list(updates.unreachable)
    closed = split_dict(updates.closed)
    roles = split_dict(updates.roles)
    rate_limits = split_dict(updates.rate_limits)
    for place in range(2):
        start_times = {}
        for engine in [*closed[place], *roles[place]]:
            if engine in updates.start_times:
                start_times[engine] = updates.start_times[engine]
        halves.append(
            messages.Updates(
                placements[place],
                closed[place],
                roles[place],
                unreachable[place],
                start_times,
                rate_limits[place],
            )
        )
    return halves[0], halves[1]


def split_list(items: list) -> tuple[list, list]:
    """Splits a list in two."""
    middle = len(items) // 2
    return items[:middle], items[middle:]


def split_dict(items: dict) -> tuple[dict, dict]:
    """Splits a dictionary in two."""
    first, second = split_list(list(items.items()))
    return dict(first), dict(second)


def split_load_delta(
    load_delta: messages.LoadDelta,
) -> tuple[messages.LoadDelta, messages.LoadDelta]:
    """Splits a load delta in two."""
    first = []
    second = []
    for kind in load_delta.__struct_fields__:
        halves = split_dict(getattr(load_delta, kind))
        first.append(halves[0])
        second.append(halves[1])
    return messages.LoadDelta(*first), messages.LoadDelta(*second)


def split_copy_state(
    copy_state: messages.CopyState | None,
) -> tuple[messages.CopyState | None, messages.CopyState | None]:
    """Splits the state of a store copy; both keep the offsets and digest."""
    if copy_state is None or not copy_state.changed:
        return None, copy_state
    middle = (len(copy_state.changed) + 1) // 2
    return (
        msgspec.structs.replace(
            copy_state, changed=copy_state.changed[:middle]
        ),
        msgspec.structs.replace(
            copy_state, changed=copy_state.changed[middle:]
        ),
    )
