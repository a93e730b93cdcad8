"""Typed records on the log, encoded as ``["kind", [fields...]]`` in JSON.

Modules that keep records register their own `NamedTuple` types. A field may be
added at the end with a default, so that older records still decode.
"""

from typing import Any
from typing import NamedTuple
from typing import TypeVar

import msgspec

from gypsumfold import exceptions

CONFIG = "config"
CONTROL = "control"
CLAIMS = "claims"
BURN = "burn"

# One append carries one batch, and the log service refuses larger ones
# (the platform's interface, docs/PROTOCOLS.md).
MAX_BATCH_BYTES = 256 * 1024

Record = TypeVar("Record", bound=type[tuple])

TYPES_BY_KIND: dict[str, type] = {}
KINDS_BY_TYPE: dict[type, str] = {}


class Entry(NamedTuple):
    """One batch of records on the log.

    Attributes:
        offset: Its position in the stream, from 0, without gaps.
        time: When the log appended it, in seconds since the epoch by the
            log's own clock.
        records: Its records, without those of kinds that this version does
            not know.
    """

    offset: int
    time: float
    records: tuple[Any, ...]


def register(kind: str):
    """Registers a `NamedTuple` type under its name on the log.

    Args:
        kind: The name; it must never be reused for another type.

    Returns:
        A class decorator.
    """

    def decorate(record: Record) -> Record:
        assert kind not in TYPES_BY_KIND, kind
        TYPES_BY_KIND[kind] = record
        KINDS_BY_TYPE[record] = kind
        return record

    return decorate


def encode(records: list[tuple]) -> bytes:
    """Encodes one batch.

    Args:
        records: Instances of registered types.

    Returns:
        JSON.
    """
    return msgspec.json.encode([(KINDS_BY_TYPE[type(r)], r) for r in records])


def decode(body: bytes) -> tuple[Any, ...]:
    """Decodes one batch.

    Args:
        body: Output of `encode`, possibly of another version.

    Returns:
        The records of registered kinds.

    Raises:
        exceptions.RecordInvalid: It is not a batch of records.
    """
    found = []
    try:
        for kind, raw in msgspec.json.decode(
            body, type=list[tuple[str, msgspec.Raw]]
        ):
            if kind not in TYPES_BY_KIND:
                continue
            found.append(msgspec.json.decode(raw, type=TYPES_BY_KIND[kind]))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise exceptions.RecordInvalid(str(error)) from error
    return tuple(found)
