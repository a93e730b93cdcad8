"""The four things that a final answer may say about a request."""

import enum


class Outcome(enum.StrEnum):
    """What is known about the request when its final answer is sent.

    ``NOT_RUN`` is a promise about the request and not about one attempt: it
    is said only if no attempt by anyone has run or ever can. Anything less
    certain is ``UNDETERMINED``.
    """

    COMPLETE = "complete"
    NOT_RUN = "not-run"
    FAILED_AFTER_START = "failed-after-start"
    UNDETERMINED = "undetermined"


# The response header that carries the outcome of every final answer.
HEADER = "Gypsumfold-Outcome"
