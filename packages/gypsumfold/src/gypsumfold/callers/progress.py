"""What is known of one caller's request while it is served."""

import time

from aiohttp import web

from gypsumfold import outcomes
from gypsumfold.decisions import types


class Progress:
    """Follows one request to its final answer.

    Attributes:
        account: The caller's account; empty before it is known.
        request: What decisions know of it; None before it is known.
        first: Seconds from its arrival to the first token or the answer of
            a plain call; None before it.
        outcome: What its final answer says.
        cancelled: Whether its caller went before its end.
        given_up: Whether the node ends it in a shutdown.

    >>> request[progress.KEY].answered()
    """

    def __init__(self):
        self.account = ""
        self.request: types.Request | None = None
        self.time_to_first: float | None = None
        self.outcome = outcomes.Outcome.UNDETERMINED
        self.started = time.monotonic()
        self.cancelled = False
        self.aborted = False

    def record_answer_start(self) -> None:
        """Notes that the first part of an answer is there."""
        if self.time_to_first is None:
            self.time_to_first = time.monotonic() - self.started

    @property
    def elapsed(self) -> float:
        """Seconds since the request arrived."""
        return time.monotonic() - self.started


# The key under which a request carries its progress.
KEY = web.RequestKey("progress", Progress)
