"""The requests in progress, and their limits while the node stops."""

import asyncio
from collections.abc import Iterator
import contextlib
import time

from gypsumfold import exceptions
from gypsumfold import outcomes
from gypsumfold.decisions import routes
from gypsumfold.decisions import stopping
from gypsumfold.gateway import progress as progress_module

# Routes whose usual times are kept; routes come and go with configurations.
MAX_ROUTES = 4096


class OpenRequest:
    """One request in progress.

    Attributes:
        route: Its route.
        progress: Its progress.
        timeout: Ends it at its deadline.
    """

    def __init__(
        self,
        route: routes.Route,
        progress: progress_module.Progress,
        timeout: asyncio.Timeout,
    ):
        self.route = route
        self.progress = progress
        self.timeout = timeout
        self.timer: asyncio.TimerHandle | None = None

    def end_by(self, end: float, latest_start: float) -> None:
        """Limits the request.

        Args:
            end: When it gets its final answer at the latest.
            latest_start: When it is refused if it wasn't passed on by then.
        """
        call = self.progress.call
        now = time.monotonic()
        loop_now = asyncio.get_running_loop().time()
        if end < call.deadline and not self.timeout.expired():
            # Replicas receive this deadline with the request.
            self.progress.call = call._replace(deadline=end)
            self.timeout.reschedule(loop_now + end - now)
        self.timer = asyncio.get_running_loop().call_at(
            loop_now + max(0.0, latest_start - now), self.refuse_unsent
        )

    def refuse_unsent(self) -> None:
        """Ends the request unless it may have run."""
        progress = self.progress
        if progress.may_have_run or progress.answer_started:
            return
        if not self.timeout.expired():
            self.timeout.reschedule(0.0)

    def close(self) -> None:
        """Drops its limits, as it has ended."""
        if self.timer is not None:
            self.timer.cancel()


class OpenRequests:
    """Follows the requests in progress and ends them in time if it stops.

    Attributes:
        stop: The times of the stop; None before it.
        usual: Seconds that requests of a route usually take, by its name.

    >>> async with asyncio.timeout(progress.time_left()) as timeout:
    ...     with open_requests.follow(route, progress, timeout):
    ...         ...
    """

    def __init__(self):
        self.stop: stopping.Schedule | None = None
        self.usual: dict[str, float] = {}
        self.requests: dict[OpenRequest, None] = {}

    @contextlib.contextmanager
    def follow(
        self,
        route: routes.Route,
        progress: progress_module.Progress,
        timeout: asyncio.Timeout,
    ) -> Iterator[None]:
        """Follows a request until its end.

        Raises:
            exceptions.Unavailable: The node stops before it can be served.
        """
        request = OpenRequest(route, progress, timeout)
        if self.stop is not None:
            self.check_start(request)
            self.limit(request)
        self.requests[request] = None
        began = time.monotonic()
        try:
            yield
            self.record_time(route, time.monotonic() - began)
        finally:
            del self.requests[request]
            request.close()

    def record_time(self, route: routes.Route, seconds: float) -> None:
        """Records the time that a request of a route has taken."""
        usual = self.usual.pop(route.name, None)
        self.usual[route.name] = stopping.smooth(usual, seconds)
        if len(self.usual) > MAX_ROUTES:
            del self.usual[next(iter(self.usual))]

    def check_start(self, request: OpenRequest) -> None:
        """Checks that a request can be served in time.

        Raises:
            exceptions.Unavailable: It can't be.
        """
        if time.monotonic() > self.latest_start(request):
            raise refusal()

    def latest_start(self, request: OpenRequest) -> float:
        """Returns until when a request may be passed on."""
        route = request.route
        usual = self.usual.get(route.name)
        return stopping.latest_start(self.stop, route.objective, usual)

    def limit(self, request: OpenRequest) -> None:
        """Ends a request before the process ends."""
        request.end_by(self.stop.answers_end_at, self.latest_start(request))

    def end_by(self, stop: stopping.Schedule) -> None:
        """Ends all requests before the process ends."""
        self.stop = stop
        for request in self.requests:
            self.limit(request)

    def timeout_error(
        self, progress: progress_module.Progress
    ) -> exceptions.GypsumfoldError:
        """Makes the error of a request whose time has passed."""
        if progress.answer_started:
            return exceptions.AnswerBroken("the deadline passed")
        if progress.may_have_run:
            return exceptions.AnswerUndetermined(
                "no answer came before the deadline",
                outcomes.Outcome.UNDETERMINED,
            )
        if self.stop is not None:
            return refusal()
        return exceptions.Unavailable(
            "the deadline passed", outcomes.Outcome.NOT_RUN, 0.0
        )


def refusal() -> exceptions.Unavailable:
    """Makes the refusal of a request that another node can serve at once."""
    return exceptions.Unavailable(
        "the node is stopping", outcomes.Outcome.NOT_RUN, 0.0
    )
