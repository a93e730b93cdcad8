"""Reads what the head of a replica's answer says of the replica itself.

The same fields mean the same in the answer to a run, a prefill, a report or
any other call, so this is the only place that decodes them.
"""

from collections.abc import Callable
import email.utils
import re
import time
from typing import TypeVar

from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold.gateway import types
from gypsumfold.platform import decoding
from gypsumfold.platform import names

# Status of an answer whose Retry-After concerns the replica, not the request.
BACKOFF_STATUS = 503
# Seconds as a decimal number.
SECONDS = re.compile(rb"[0-9]{1,18}(\.[0-9]{0,9})?")
# A longer time is heeded for this long; the replica may ask again.
MAX_BACKOFF_SECONDS = 86_400.0

Value = TypeVar("Value")


def read(
    instance: str, status: int, fields: types.Fields, sent_at: float
) -> types.Statement:
    """Reads a statement from the head of an answer.

    A field that can't be read changes nothing and is logged.

    Args:
        instance: The replica that answered.
        status: HTTP status.
        fields: Header fields.
        sent_at: When the answered request was sent, on the monotonic clock.
    """
    limits = find(fields, names.RATE_LIMIT)
    rates = decode_all(instance, limits, decoding.decode_rate)
    backoff = 0.0
    if status == BACKOFF_STATUS:
        values = find(fields, names.RETRY_AFTER)
        backoff = max(decode_all(instance, values, decode_backoff), default=0.0)
    leaving = b"1" in find(fields, names.LEAVING)
    return types.Statement(
        sent_at,
        rate=min(rates, default=None),
        names_rate=bool(limits),
        leaving=leaving,
        backoff=backoff,
    )


def find(fields: types.Fields, name: str) -> list[bytes]:
    """Returns the values of a header field."""
    wanted = name.lower().encode()
    return [value.strip() for key, value in fields if key.lower() == wanted]


def decode_all(
    instance: str, values: list[bytes], decode: Callable[[bytes], Value]
) -> list[Value]:
    """Decodes the readable ones of some values and logs the others."""
    found = []
    for value in values:
        try:
            found.append(decode(value))
        except exceptions.RecordInvalid as error:
            events.log(
                events.STATEMENT_REJECTED, instance=instance, reason=str(error)
            )
    return found


def decode_backoff(value: bytes) -> float:
    """Returns the seconds of a Retry-After field, given in seconds or a date.

    Raises:
        exceptions.RecordInvalid: It is neither.
    """
    if SECONDS.fullmatch(value):
        return min(float(value), MAX_BACKOFF_SECONDS)
    try:
        at = email.utils.parsedate_to_datetime(value.decode("ascii"))
        seconds = at.timestamp() - time.time()
    except (ValueError, OverflowError) as error:
        raise exceptions.RecordInvalid(
            f"no time to retry after: {value[:40]!r}"
        ) from error
    return min(max(0.0, seconds), MAX_BACKOFF_SECONDS)
