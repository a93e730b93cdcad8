"""Datagrams from messages: encoded, sealed, and small enough."""

import msgspec

from gypsumfold.gateway.peers import messages
from gypsumfold.gateway.peers import seals

ENCODER = msgspec.msgpack.Encoder()


def encode(
    message: messages.Report | messages.Summary | messages.CrashUpdate,
    sealer: seals.Sealer,
) -> bytes:
    """Makes one datagram of a message."""
    return sealer.seal(ENCODER.encode(message))


def fits_datagram(
    message: messages.Report | messages.Summary, sealer: seals.Sealer
) -> bool:
    """Whether a message goes into one datagram."""
    size = len(ENCODER.encode(message)) + sealer.overhead
    return size <= messages.MAX_DATAGRAM_BYTES


def encode_report(report: messages.Report, sealer: seals.Sealer) -> bytes:
    """Makes one datagram of a report; it names only the newest prompts.

    What a node has at engines replaces what it said before, so that a report
    is not cut in two. Many registrations that changed at once are left out as
    well: who cannot read them asks for them, by their digest.
    """
    if report.knowledge is not None and not fits_datagram(report, sealer):
        knowledge = msgspec.structs.replace(report.knowledge, changed=[])
        report = msgspec.structs.replace(report, knowledge=knowledge)
    while not fits_datagram(report, sealer) and report.updates.placements:
        placements = report.updates.placements[
            len(report.updates.placements) // 2 + 1 :
        ]
        updates = msgspec.structs.replace(report.updates, placements=placements)
        report = msgspec.structs.replace(report, updates=updates)
    return encode(report, sealer)


def split_summary(
    summary: messages.Summary, sealer: seals.Sealer
) -> list[messages.Summary]:
    """Cuts a summary into as many as it takes to fit into datagrams.

    Each part stands for itself. The last one has all that is told only once.
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
    """Cuts a summary in two; gives nothing where there is little to cut."""
    load_delta = split_load_delta(summary.load_delta)
    updates = split_updates(summary.updates)
    knowledge = split_knowledge(summary.knowledge)
    halves = [
        msgspec.structs.replace(
            summary,
            load_delta=load_delta[0],
            updates=updates[0],
            knowledge=knowledge[0],
        ),
        msgspec.structs.replace(
            summary,
            load_delta=load_delta[1],
            updates=updates[1],
            knowledge=knowledge[1],
        ),
    ]
    halves[0].members = []
    whole = len(ENCODER.encode(summary))
    for half in halves:
        if len(ENCODER.encode(half)) >= whole:
            return []
    return halves


def split_updates(
    updates: messages.Updates,
) -> tuple[messages.Updates, messages.Updates]:
    """Cuts updates in two; each part names the starts that it speaks of."""
    halves = []
    placed = split_list(updates.placements)
    unreachable = split_list(updates.unreachable)
    closed = split_dict(updates.closed)
    roles = split_dict(updates.roles)
    for place in range(2):
        start_times = {}
        for engine in [*closed[place], *roles[place]]:
            if engine in updates.start_times:
                start_times[engine] = updates.start_times[engine]
        halves.append(
            messages.Updates(
                placed[place],
                closed[place],
                roles[place],
                unreachable[place],
                start_times,
            )
        )
    return halves[0], halves[1]


def split_list(items: list) -> tuple[list, list]:
    """Cuts a list in two."""
    middle = len(items) // 2
    return items[:middle], items[middle:]


def split_dict(items: dict) -> tuple[dict, dict]:
    """Cuts a map in two."""
    first, second = split_list(list(items.items()))
    return dict(first), dict(second)


def split_load_delta(
    load_delta: messages.LoadDelta,
) -> tuple[messages.LoadDelta, messages.LoadDelta]:
    """Cuts sums in two."""
    first = []
    second = []
    for amounts in (
        load_delta.prompts,
        load_delta.streams,
        load_delta.late,
        load_delta.demand,
    ):
        halves = split_dict(amounts)
        first.append(halves[0])
        second.append(halves[1])
    return messages.LoadDelta(*first), messages.LoadDelta(*second)


def split_knowledge(
    knowledge: messages.Knowledge | None,
) -> tuple[messages.Knowledge | None, messages.Knowledge | None]:
    """Cuts what is told of the store in two; both ends have the proof."""
    if knowledge is None or not knowledge.changed:
        return None, knowledge
    middle = (len(knowledge.changed) + 1) // 2
    return (
        msgspec.structs.replace(knowledge, changed=knowledge.changed[:middle]),
        msgspec.structs.replace(knowledge, changed=knowledge.changed[middle:]),
    )
