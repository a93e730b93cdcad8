"""The four outcomes that a final answer can report for a request."""

import enum


class Outcome(enum.StrEnum):
    """What is known about the request when its final answer is sent.

    ``NOT_RUN`` is a guarantee about the request, not about one attempt: it
    is sent only if no attempt of any node has run or ever can. Anything less
    certain is ``UNDETERMINED``.
    """

    COMPLETE = "complete"
    NOT_RUN = "not-run"
    FAILED_AFTER_START = "failed-after-start"
    UNDETERMINED = "undetermined"


# The response header that carries the outcome of every final answer.
HEADER = "Gypsumfold-Outcome"
