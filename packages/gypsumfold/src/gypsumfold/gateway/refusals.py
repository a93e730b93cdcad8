"""Refusals of requests that can't be served in time."""

from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold import outcomes
from gypsumfold.decisions import prompts as prompts_module
from gypsumfold.gateway import progress as progress_module


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
