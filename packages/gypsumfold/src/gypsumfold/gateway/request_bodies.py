"""Reads the bodies of requests, as long as there is room for them."""

import asyncio

from aiohttp import web

from gypsumfold import exceptions
from gypsumfold import outcomes
from gypsumfold.decisions import intake
from gypsumfold.gateway import intake as intake_module
from gypsumfold.gateway import refusals


async def read(
    request: web.BaseRequest, limit: int, room: intake_module.Intake
) -> bytes:
    """Reads a request's body.

    Args:
        request: The request.
        limit: Largest number of bytes.
        room: Where its bytes count.

    Raises:
        exceptions.BodyTooLarge: It has more bytes.
        exceptions.Unavailable: There is no room for it, or the node stops.
    """
    connection = request.protocol
    parts = []
    size = 0
    try:
        async with asyncio.timeout(None) as connection.reading:
            async for chunk in request.content.iter_any():
                parts.append(chunk)
                size += len(chunk)
                if size > limit:
                    raise too_large(limit)
    except TimeoutError as error:
        parts.clear()
        raise refusals.intake_refusal(connection.gave_way_for) from error
    except BaseException:
        # The exception refers to this frame until it has been handled.
        parts.clear()
        raise
    finally:
        connection.reading = None
    body = b"".join(parts)
    parts.clear()
    connection.read_whole(size)
    if not intake.may_stay(connection.held, room.held, room.callers_bytes):
        room.count(intake.Reason.NO_MEMORY, connection)
        raise refusals.intake_refusal(intake.Reason.NO_MEMORY)
    return body


def check_length(request: web.BaseRequest, limit: int) -> None:
    """Checks the length that a request names for its body.

    Raises:
        exceptions.BodyTooLarge: It exceeds the limit in bytes.
    """
    length = request.content_length
    if length is not None and length > limit:
        raise too_large(limit)


def too_large(limit: int) -> exceptions.BodyTooLarge:
    """Returns the error that answers a request whose body is too large."""
    return exceptions.BodyTooLarge(
        f"the body has more than {limit} bytes", outcomes.Outcome.NOT_RUN
    )
