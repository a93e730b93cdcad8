"""Converts errors into RFC 9457 problem documents for callers."""

import math

from aiohttp import web
import msgspec

from gypsumfold import exceptions
from gypsumfold import outcomes

CONTENT_TYPE = "application/problem+json"


def document(error: exceptions.RequestError) -> dict:
    """Makes the problem document of an error.

    Args:
        error: The reason why the request has no answer.

    Returns:
        The document's members; ``outcome`` and ``retry_after`` (seconds) are
        extensions of this project.
    """
    members = {
        "type": f"urn:gypsumfold:problem:{error.slug}",
        "title": error.slug.replace("-", " ").capitalize(),
        "status": error.status,
        "detail": error.detail,
        "outcome": error.outcome,
    }
    if error.retry_after is not None:
        members["retry_after"] = error.retry_after
    return members


def response(error: exceptions.RequestError) -> web.Response:
    """Makes the HTTP response of an error."""
    headers = {outcomes.HEADER: error.outcome}
    if error.retry_after is not None:
        # RFC 9110 allows whole seconds only; rounding up avoids an early retry.
        headers["Retry-After"] = str(math.ceil(error.retry_after))
    return web.Response(
        status=error.status,
        body=msgspec.json.encode(document(error)),
        content_type=CONTENT_TYPE,
        headers=headers,
    )
