"""Sends second copies of slow requests; the first usable answer wins."""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import time

from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold.decisions import routes
from gypsumfold.gateway import directory as directory_module
from gypsumfold.gateway import progress as progress_module
from gypsumfold.gateway import quarantine as quarantine_module
from gypsumfold.gateway import retry_permits as retry_permits_module
from gypsumfold.gateway import run_results
from gypsumfold.gateway import types

# Seconds for which both copies may run. A request that continues at another
# replica must not run at the previous one 400 ms later; the rest is the time
# that the end of a connection takes to reach the replica.
OVERLAP_SECONDS = 0.3
# Sends a request to a replica; calls the function once the head of an answer
# that isn't a failure has come.
Send = Callable[
    [types.Replica, Callable[[], None]], Awaitable[types.WholeAnswer]
]


class Copy:
    """One of the copies of a request.

    Attributes:
        replica: The replica that it is sent to.
        started_at: When it was sent.
        has_head: Whether the head of an answer has come that isn't a failure.
        task: Ends with its answer or the reason why there is none.
    """

    def __init__(
        self,
        replica: types.Replica,
        send: Send,
        notify_head: Callable[[], None] = lambda: None,
    ):
        self.replica = replica
        self.started_at = time.monotonic()
        self.has_head = False
        self.notify_head = notify_head
        self.task = asyncio.ensure_future(send(replica, self.record_head))

    def record_head(self) -> None:
        """Records that the head of its answer has come."""
        self.has_head = True
        self.notify_head()

    @property
    def has_ended(self) -> bool:
        """Whether it has an answer or has failed."""
        return self.task.done() and not self.task.cancelled()

    @property
    def error(self) -> BaseException | None:
        """Why it has no answer; None if it has one or hasn't ended."""
        return self.task.exception() if self.has_ended else None

    @property
    def is_usable(self) -> bool:
        """Whether its answer ends the request."""
        if not self.has_ended or self.error is not None:
            return False
        return not run_results.is_failure(self.task.result().status)


class Copies:
    """Sends requests that may run twice, slow ones to two replicas.

    Attributes:
        limits: Decides when a copy may be sent.
        results: Numbers of copies since the start, by service and result:
            started, won, or what refused one.

    >>> answer = await copies.run(replica, route, progress, send)
    """

    def __init__(
        self,
        directory: directory_module.Directory,
        retry_permits: retry_permits_module.RetryPermits,
        quarantine: quarantine_module.Quarantine,
        data_centre: str,
    ):
        self.limits = directory.second_copies
        self.directory = directory
        self.retry_permits = retry_permits
        self.quarantine = quarantine
        self.data_centre = data_centre
        self.results: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    def record_failure(self, replica: types.Replica, error: Exception) -> None:
        """Counts a request that a replica refused as it is full."""
        if isinstance(error, exceptions.EndpointMismatch):
            return
        if isinstance(error, exceptions.EndpointRefused):
            self.limits.record_refusal(replica.service, time.monotonic())

    async def run(
        self,
        replica: types.Replica,
        route: routes.Route,
        progress: progress_module.Progress,
        send: Send,
    ) -> types.WholeAnswer:
        """Sends a request, and a copy of it if its answer takes too long.

        Failures are recorded in `progress` except for the one that is raised
        or returned.

        Args:
            replica: Gets the request.
            route: Its route.
            progress: Its progress.
            send: Sends it to a replica.

        Raises:
            exceptions.EndpointNotStarted: Nothing of it has run.
            exceptions.AnswerBroken: It may have run.
        """
        if self.limits.policy.share <= 0 or not route.repeatable:
            return await send(replica, lambda: None)
        race = Race(self, route, progress, send)
        return await race.run(replica)

    def choose(
        self, first: types.Replica, progress: progress_module.Progress
    ) -> types.Replica | None:
        """Chooses the replica for a copy; None if none is fit.

        Unlike a request, a copy gets no replica that is paused, fails, leaves
        or comes back from a backoff.
        """
        now = time.monotonic()
        found = []
        for replica in self.directory.ready(
            first.service, now, avoid=progress.avoid | {first.instance}
        ):
            if not self.directory.is_healthy(replica.instance, now):
                continue
            if not self.directory.is_usable(replica.instance):
                continue
            departure = self.directory.departures.find(
                replica.instance, replica.started_at
            )
            if departure is None:
                found.append(replica)
        return self.directory.least_busy(found, self.data_centre)

    def refusal(
        self,
        first: types.Replica,
        route: routes.Route,
        progress: progress_module.Progress,
    ) -> str:
        """Returns why a request gets no copy now; empty if it may have one."""
        now = time.monotonic()
        if progress.runs >= route.attempts:
            return "attempts"
        usual = self.limits.usual(route.name, now)
        if usual is None or progress.time_left() < usual:
            return "deadline"
        if not self.quarantine.is_unsuspected(progress):
            return "suspect"
        return self.limits.refusal(first.service, route.name, now)

    def place(
        self,
        first: types.Replica,
        route: routes.Route,
        progress: progress_module.Progress,
    ) -> types.Replica | None:
        """Takes a copy out of all limits; None if there must be none."""
        service = first.service
        reason = self.refusal(first, route, progress)
        replica = None
        if not reason:
            replica = self.choose(first, progress)
            reason = "" if replica is not None else "replicas"
        now = time.monotonic()
        # Without a loan: what others have left is kept for retries.
        if not reason and not self.retry_permits.budget.allow(service, now):
            reason = "retries"
        if reason:
            self.results[service, reason] += 1
            return None
        self.limits.record_copy(service, now)
        self.results[service, "started"] += 1
        return replica


class Race:
    """The copies of one request."""

    def __init__(
        self,
        copies: Copies,
        route: routes.Route,
        progress: progress_module.Progress,
        send: Send,
    ):
        self.copies = copies
        self.limits = copies.limits
        self.route = route
        self.progress = progress
        self.send = send
        self.first: Copy | None = None
        self.second: Copy | None = None
        self.is_slow = False
        self.is_timed = False

    async def run(self, replica: types.Replica) -> types.WholeAnswer:
        """Runs the race; every way out leaves no copy running."""
        now = time.monotonic()
        threshold = self.limits.threshold(self.route.name, now)
        self.first = Copy(replica, self.send, self.record_time)
        try:
            await asyncio.wait([self.first.task], timeout=threshold)
            if threshold is not None:
                self.check_speed()
            if self.is_slow:
                self.start_second(replica)
            return await self.finish()
        finally:
            await self.end()

    def check_speed(self) -> None:
        """Records whether the request is slow, unless it has failed."""
        has_head = self.first.has_head
        self.is_slow = not has_head and not self.first.task.done()
        if self.is_slow or has_head:
            self.limits.record_speed(
                self.first.replica.service,
                self.route.name,
                self.is_slow,
                time.monotonic(),
            )

    def start_second(self, replica: types.Replica) -> None:
        """Starts the second copy if it may be."""
        other = self.copies.place(replica, self.route, self.progress)
        if other is None:
            return
        waited = time.monotonic() - self.first.started_at
        events.log(
            events.COPY_STARTED,
            request=self.progress.call.id,
            instance=other.instance,
            slow=replica.instance,
            waited=round(waited, 4),
            reason="no answer has begun in the time of nearly all others",
        )
        self.second = Copy(other, self.send)

    async def finish(self) -> types.WholeAnswer:
        """Waits for the first usable answer, or until no copy is left."""
        if self.second is None:
            return await self.first.task
        overlap = OVERLAP_SECONDS
        waiting = {self.first.task, self.second.task}
        while waiting:
            done, waiting = await asyncio.wait(
                waiting,
                timeout=overlap,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for copy in (self.first, self.second):
                if copy.is_usable:
                    self.log_end(copy)
                    return copy.task.result()
            overlap = None
            if not done:
                waiting = {self.give_up_one().task}
        self.log_end(None)
        return self.conclude()

    def give_up_one(self) -> Copy:
        """Cancels a copy, as both have run for too long; returns the other."""
        kept = self.second
        if self.first.has_head and not self.second.has_head:
            kept = self.first
        given_up = self.first if kept is self.second else self.second
        given_up.task.cancel()
        return kept

    def conclude(self) -> types.WholeAnswer:
        """Returns or raises the result of copies without a usable answer.

        A failure that was answered comes first, then one after which the
        request may have run: both only allow a retry as far as the route does.
        """
        best, other = sorted((self.first, self.second), key=rank)
        if isinstance(other.error, exceptions.EndpointNotStarted):
            self.progress.record_not_started(other.error)
        else:
            self.progress.record_arrival()
        return best.task.result()

    def record_time(self) -> None:
        """Records the time to the first byte of the first copy."""
        if self.is_timed:
            return
        self.is_timed = True
        now = time.monotonic()
        seconds = now - self.first.started_at
        self.limits.record_answer(self.route.name, seconds, now)

    def log_end(self, winner: Copy | None) -> None:
        """Logs and counts which copy has won."""
        won = "none"
        if winner is not None:
            won = "first" if winner is self.first else "second"
        if won == "second":
            self.copies.results[self.first.replica.service, "won"] += 1
        events.log(
            events.COPIES_ENDED,
            request=self.progress.call.id,
            won=won,
            instance=winner.replica.instance if winner is not None else "",
        )

    async def end(self) -> None:
        """Cancels what still runs and waits until its records are closed."""
        if self.is_slow:
            # An answer that never came is slower than the quantile, too.
            self.record_time()
        if self.second is not None and not self.first.has_ended:
            # Its requests end too soon to show that a replica is silent.
            self.copies.directory.request_probe(self.first.replica.instance)
        tasks = []
        for copy in (self.first, self.second):
            if copy is not None:
                copy.task.cancel()
                tasks.append(copy.task)
        await asyncio.gather(*tasks, return_exceptions=True)


def rank(copy: Copy) -> int:
    """Orders results by how much they tell the caller."""
    if not copy.has_ended:
        return 3
    if copy.error is None:
        return 0
    return 2 if isinstance(copy.error, exceptions.EndpointNotStarted) else 1
