"""Refusals of requests that can't be read, or not be served in time."""

import msgspec

from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold import outcomes
from gypsumfold.callers import problems
from gypsumfold.decisions import intake
from gypsumfold.decisions import prompts as prompts_module
from gypsumfold.gateway import open_requests
from gypsumfold.gateway import progress as progress_module

# Retry-After of a request for which the node has no room, in seconds.
NO_ROOM_RETRY_SECONDS = 0.5


def deadline_refusal(
    choice: prompts_module.Choice,
    progress: progress_module.Progress,
    deferred_ahead: float,
) -> exceptions.Unavailable:
    """Makes the refusal of a request that cannot start before its deadline.

    The caller may retry once the prompts queued now have been processed.

    Args:
        choice: The engine that would have completed the prefill first.
        progress: Progress of the request.
        deferred_ahead: Seconds of deferred prefills queued ahead.
    """
    left = progress.time_left()
    events.log(
        events.CALL_HOPELESS,
        request=progress.call.id,
        instance=choice.engine,
        expected=round(choice.total_seconds, 3),
        behind=round(deferred_ahead, 3),
        left=round(left, 3),
    )
    return exceptions.Unavailable(
        "the engines have too much to read",
        outcomes.Outcome.NOT_RUN,
        min(choice.total_seconds + deferred_ahead, max(0.0, left / 3)),
    )


def intake_refusal(reason: intake.Reason) -> exceptions.RequestError:
    """Returns the error that answers a request which has not been read."""
    if reason is intake.Reason.HEAD_TOO_LARGE:
        return exceptions.HeadTooLarge(
            "the head is too large", outcomes.Outcome.NOT_RUN
        )
    if reason is intake.Reason.HEAD_TOO_SLOW:
        return exceptions.HeadTooSlow(
            "the head did not come in time", outcomes.Outcome.NOT_RUN
        )
    if reason is intake.Reason.STOPPING:
        return open_requests.refusal()
    return exceptions.Unavailable(
        "the node has no room for the request",
        outcomes.Outcome.NOT_RUN,
        NO_ROOM_RETRY_SECONDS,
    )


def encode(error: exceptions.RequestError) -> bytes:
    """Encodes an answer after which the connection is closed."""
    body = msgspec.json.encode(problems.document(error))
    lines = [
        f"HTTP/1.1 {error.status} {error.slug}",
        f"Content-Type: {problems.CONTENT_TYPE}",
        f"Content-Length: {len(body)}",
        f"{outcomes.HEADER}: {error.outcome}",
        "Connection: close",
    ]
    if error.retry_after is not None:
        lines.append(f"Retry-After: {error.retry_after:.3f}")
    return "\r\n".join([*lines, "", ""]).encode() + body
