"""Decodes callers' requests and encodes the nodes' own answers."""

import math

from gypsumfold import exceptions
from gypsumfold import outcomes
from gypsumfold.decisions import chains
from gypsumfold.decisions import client_keys
from gypsumfold.gateway import types
from gypsumfold.platform import names

# Digits of a token count; model contexts hold a few million tokens.
MAX_COUNT_DIGITS = 9
# Characters of an id that are kept, as it is logged.
MAX_ID_CHARACTERS = 128
# Time left for a request whose caller states none; longer than the limit of
# any route.
DEFAULT_TIME_LEFT_SECONDS = 3600.0


def decode(
    method: str,
    target: str,
    fields: types.Fields,
    body: bytes | None,
    arrival: float,
) -> types.Call:
    """Decodes a caller's request.

    Args:
        method: HTTP method.
        target: Path and query as received.
        fields: Header fields as received.
        body: The complete body, or None.
        arrival: When the request's head was read.

    Raises:
        exceptions.RequestInvalid: A header is malformed.
    """
    found = {name.lower(): value for name, value in fields}
    counts = parse_counts(get_header(found, names.TOKEN_COUNTS))
    return types.Call(
        id=get_header(found, names.ATTEMPT),
        method=method,
        target=target,
        host=get_header(found, "Host"),
        fields=forwarded_fields(fields),
        body=body,
        arrival=arrival,
        deadline=arrival + parse_time_left(get_header(found, names.TIME_LEFT)),
        model=get_header(found, names.MODEL),
        chain=parse_chain(get_header(found, names.CHAIN)),
        prompt_tokens=counts[0] if counts else 0,
        output_tokens=counts[1] if len(counts) > 1 else 0,
        key_digest=client_keys.digest(get_header(found, names.KEY)),
        resumes=get_header(found, names.RESUMES)[:MAX_ID_CHARACTERS],
        last_event=get_header(found, names.LAST_EVENT)[:MAX_ID_CHARACTERS],
    )


def call_id(fields: types.Fields) -> str:
    """Returns the id of a caller's attempt, or an empty string."""
    return get_header(
        {name.lower(): value for name, value in fields}, names.ATTEMPT
    )


def forwarded_fields(fields: types.Fields) -> types.Fields:
    """Selects the header fields that are forwarded to a replica.

    Fields that the Connection header names concern this connection only.
    Fields that only nodes may set are removed, since a caller could use them
    to name another caller's KV cache.
    """
    connection_fields = set()
    for name, value in fields:
        if name.lower() == b"connection":
            connection_fields.update(
                part.strip().lower() for part in value.split(b",")
            )
    kept = []
    for name, value in fields:
        key = name.lower()
        if (
            key in names.HOP_BY_HOP
            or key in names.NODE_ONLY
            or key in connection_fields
        ):
            continue
        if key in (b"content-length", b"expect"):
            continue
        if key == names.TIME_LEFT.lower().encode():
            continue
        kept.append((name, value))
    return tuple(kept)


def get_header(headers: dict[bytes, bytes], name: str) -> str:
    """Returns one header, or an empty string if it is missing."""
    return headers.get(name.lower().encode(), b"").decode("latin-1").strip()


def is_count(value: str) -> bool:
    """Whether a text is a plausible number of tokens.

    The length is limited because Python refuses to convert more than 4,300
    digits and a float holds at most 308.
    """
    return value.isdecimal() and len(value) <= MAX_COUNT_DIGITS


def parse_counts(value: str) -> list[int]:
    """Parses comma-separated counts.

    Raises:
        exceptions.RequestInvalid: An entry is not a count.
    """
    if not value:
        return []
    found = []
    for part in value.split(","):
        part = part.strip()
        if not is_count(part):
            raise exceptions.RequestInvalid(
                f"{names.TOKEN_COUNTS} is not a list of counts",
                outcomes.Outcome.NOT_RUN,
            )
        found.append(int(part))
    return found


def parse_time_left(value: str) -> float:
    """Parses the milliseconds that a caller waits; returns seconds.

    Raises:
        exceptions.RequestInvalid: It is not a finite number.
    """
    if not value:
        return DEFAULT_TIME_LEFT_SECONDS
    try:
        milliseconds = float(value)
    except ValueError:
        milliseconds = math.nan
    if not math.isfinite(milliseconds):
        raise exceptions.RequestInvalid(
            f"{names.TIME_LEFT} is not a number",
            outcomes.Outcome.NOT_RUN,
        )
    return max(0.0, milliseconds / 1000)


def parse_chain(value: str) -> chains.Chain:
    """Parses the prefix blocks of a prompt: comma-separated ID:TOKENS.

    Raises:
        exceptions.RequestInvalid: It is not such a list.
    """
    if not value:
        return ()
    blocks = []
    for entry in value.split(","):
        block_id, _, tokens = entry.strip().partition(":")
        if not block_id or not is_count(tokens):
            raise exceptions.RequestInvalid(
                f"{names.CHAIN} is not a list of ID:TOKENS",
                outcomes.Outcome.NOT_RUN,
            )
        blocks.append(chains.Block(block_id, int(tokens)))
    return tuple(blocks)


def failure_fields(call_id: str, retry_after: float | None) -> dict[str, str]:
    """Returns the header fields of an answer that the node makes itself.

    Args:
        call_id: The id of the caller's attempt; empty if unknown.
        retry_after: Seconds until a retry makes sense, or None.
    """
    found = {}
    if call_id:
        found[names.ATTEMPT] = call_id
    if retry_after is not None:
        found[names.RETRY_AFTER] = f"{max(0.0, retry_after):.3f}"
    return found
