"""Records on the log: typed, encoded as ``["kind", [fields...]]`` in JSON.

Each module that keeps records registers its own `NamedTuple` types. A field
may be added at the end with a default; older records then still decode.
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

# One append carries one batch. The log service refuses larger ones; it is
# declared in the platform's interface (docs/PROTOCOLS.md).
MAX_BATCH_BYTES = 256 * 1024

Record = TypeVar("Record", bound=type[tuple])

TYPES_BY_KIND: dict[str, type] = {}
KINDS_BY_TYPE: dict[type, str] = {}


class Entry(NamedTuple):
    """One batch of records as the log holds it.

    Attributes:
        offset: Its place in the stream, from 0, without gaps.
        time: When the log took it, in seconds since the epoch by the log's
            own clock.
        records: Its records; a kind that this version does not know is
            left out.
    """

    offset: int
    time: float
    records: tuple[Any, ...]


def register(kind: str):
    """Names a `NamedTuple` type on the log.

    Args:
        kind: The name; never used again for another type.

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
        body: What `encode` gave, perhaps by another version.

    Returns:
        The records whose kinds are known here.

    Raises:
        exceptions.RecordInvalid: It is no batch of records.
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
