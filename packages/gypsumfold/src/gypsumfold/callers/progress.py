"""Tracks the progress of a caller's request while it is served."""

import time

from aiohttp import web

from gypsumfold import outcomes
from gypsumfold.decisions import types


class Progress:
    """The progress of one request up to its final answer.

    Attributes:
        account: The caller's account; empty before it is known.
        request: Input of the scheduling decisions; None before it is known.
        time_to_first: Seconds from the request's arrival to the first token
            or the answer of a plain call; None before it.
        outcome: The outcome that the final answer states.
        started: Arrival of the request (monotonic time).
        cancelled: Whether the caller disconnected before the end.
        aborted: Whether the node ends the request because it shuts down.

    >>> request[progress.KEY].record_answer_start()
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
        """Records the time of the first part of the answer."""
        if self.time_to_first is None:
            self.time_to_first = time.monotonic() - self.started

    @property
    def elapsed(self) -> float:
        """Seconds since the request arrived."""
        return time.monotonic() - self.started


# Key of the progress in an aiohttp request.
KEY = web.RequestKey("progress", Progress)
