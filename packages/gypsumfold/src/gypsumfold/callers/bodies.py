"""Reads request bodies within the size and time limits of the settings."""

import asyncio

from aiohttp import web

from gypsumfold import exceptions
from gypsumfold import outcomes
from gypsumfold import settings as settings_module

# Seconds after which a caller whose body was too slow may retry.
RETRY_AFTER = 1.0


async def read(
    request: web.Request, settings: settings_module.CallersSection
) -> bytes:
    """Reads a request's entire body.

    Args:
        request: The caller's HTTP request.
        settings: Contains the size and time limits.

    Returns:
        The body.

    Raises:
        exceptions.BodyTooLarge: The body exceeds the size limit.
        exceptions.BodyTooSlow: The body did not arrive in time.
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
