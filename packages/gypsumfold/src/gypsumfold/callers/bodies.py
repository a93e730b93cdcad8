"""Reads callers' request bodies within the limits of the settings."""

import asyncio

from aiohttp import web

from gypsumfold import exceptions
from gypsumfold import outcomes
from gypsumfold import settings as settings_module

# Seconds after which a caller that was too slow may try again.
RETRY_AFTER = 1.0


async def read(
    request: web.Request, settings: settings_module.CallersSection
) -> bytes:
    """Reads a request's whole body.

    Args:
        request: Of a caller.
        settings: With the limits.

    Returns:
        The body.

    Raises:
        exceptions.BodyTooLarge: It has more bytes than are taken.
        exceptions.BodyTooSlow: It did not come in time.
    """
    try:
        async with asyncio.timeout(settings.read_timeout):
            return await request.read()
    except web.HTTPRequestEntityTooLarge as error:
        raise exceptions.BodyTooLarge(
            f"the body has more than {settings.body_limit} bytes",
            outcomes.Outcome.NOT_RUN,
        ) from error
    except TimeoutError as error:
        raise exceptions.BodyTooSlow(
            f"the body took more than {settings.read_timeout:g} s",
            outcomes.Outcome.NOT_RUN,
            RETRY_AFTER,
        ) from error
