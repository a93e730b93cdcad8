"""The header fields that a node adds to a caller's request."""

from gypsumfold.gateway import types
from gypsumfold.platform import names


def remove_field(
    fields: list[tuple[bytes, bytes]], name: str
) -> list[tuple[bytes, bytes]]:
    """Returns the header fields except those of one name."""
    key = name.lower().encode()
    return [field for field in fields if field[0].lower() != key]


def instruction_fields(
    replica: types.Replica, instructions: types.Instructions
) -> list[tuple[bytes, bytes]]:
    """Returns the header fields that a node adds to a caller's request."""
    found = [
        (names.EXPECTED_INSTANCE, replica.instance),
        (names.TIME_LEFT, str(max(1, int(instructions.time_left * 1000)))),
    ]
    if instructions.urgency is not None:
        found.append((names.URGENCY, str(min(9, instructions.urgency))))
    if instructions.prefill:
        found.append((names.STAGE, "prefill"))
    if instructions.handle is not None:
        handle = instructions.handle
        found.append((names.CACHE_HANDLE, f"{handle.address}/{handle.id}"))
    if instructions.cache_peer:
        found.append((names.CACHE_PEER, instructions.cache_peer))
    if instructions.last_event:
        found.append((names.LAST_EVENT, instructions.last_event))
    return [(name.encode(), value.encode()) for name, value in found]
