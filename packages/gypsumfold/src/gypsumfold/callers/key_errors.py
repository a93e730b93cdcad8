"""Errors of calls with an idempotency key, each with its safe outcome."""

from gypsumfold import claims
from gypsumfold import exceptions
from gypsumfold import outcomes

# Seconds after which a caller should retry with the same key.
RETRY_AFTER = 1.0


def conflict() -> exceptions.KeyConflict:
    """Returns the error of a key that was used with another call or body."""
    return exceptions.KeyConflict(
        "this key was used before with another call or body; this one has "
        "not run and cannot",
        outcomes.Outcome.NOT_RUN,
    )


def cannot_run(step: claims.Step) -> exceptions.RequestError:
    """Returns the error of a key with which no call can run any more."""
    if step == claims.Step.CONFLICT:
        return conflict()
    if step == claims.Step.CLOSED:
        return exceptions.KeyClosed(
            "the call under this key was refused before it ran and cannot "
            "run any more; send it with a new key",
            outcomes.Outcome.NOT_RUN,
        )
    return out_of_window(claims.Age.OLD)


def out_of_window(age: claims.Age) -> exceptions.KeyExpired:
    """Returns the error of a key whose timestamp is outside the window."""
    words = "old" if age == claims.Age.OLD else "far in the future"
    return exceptions.KeyExpired(
        f"this key is too {words} to tell whether it has run",
        outcomes.Outcome.UNDETERMINED,
    )


def holder_unreachable() -> exceptions.AnswerUndetermined:
    """Returns the error of a key whose holder does not answer."""
    return exceptions.AnswerUndetermined(
        "another node holds this key and cannot be asked",
        outcomes.Outcome.UNDETERMINED,
        RETRY_AFTER,
    )


def claim_failed(reason: str) -> exceptions.Unavailable:
    """Returns the error of a key that could not be claimed."""
    return exceptions.Unavailable(
        f"{reason}; repeat with the same key, or use a key from /v1/keys",
        outcomes.Outcome.UNDETERMINED,
        RETRY_AFTER,
    )


def as_undetermined(error: exceptions.RequestError) -> exceptions.RequestError:
    """Changes the outcome of an error from not-run to undetermined.

    Args:
        error: The error of one attempt.

    Returns:
        The error for a request of which other attempts may run; the same
        error if its outcome is not not-run.
    """
    if error.outcome != outcomes.Outcome.NOT_RUN:
        return error
    return type(error)(
        f"{error.detail}; another attempt under the same key may run",
        outcomes.Outcome.UNDETERMINED,
        error.retry_after,
    )
