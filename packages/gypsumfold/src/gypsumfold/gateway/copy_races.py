"""Runs a request on two replicas; the first usable answer wins."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import time
from typing import Any
from typing import NamedTuple

from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold.gateway import directory as directory_module
from gypsumfold.gateway import progress as progress_module

# Seconds for which both copies may run. A request that continues at another
# replica must not run at the previous one 400 ms later; the rest is the time
# that the end of a connection takes to reach the replica.
OVERLAP_SECONDS = 0.3


class Target(NamedTuple):
    """Where a copy may be sent.

    Attributes:
        instance: The replica.
        send: Sends it; calls its argument once the head of an answer that
            isn't a failure has come.
    """

    instance: str
    send: Callable[[Callable[[], None]], Awaitable[Any]]


class Kind(NamedTuple):
    """Requests whose times are compared.

    Attributes:
        key: Their name among the limits.
        service: The service that they call.
        unit: Seconds to which the time of this request is relative.
    """

    key: str
    service: str
    unit: float = 1.0


class Copy:
    """One of the copies of a request.

    Attributes:
        instance: The replica that it is sent to.
        started_at: When it was sent.
        has_head: Whether the head of an answer has come that isn't a failure.
        task: Ends with its answer or the reason why there is none.
    """

    def __init__(
        self,
        target: Target,
        notify_head: Callable[[], None] = lambda: None,
    ):
        self.instance = target.instance
        self.started_at = time.monotonic()
        self.has_head = False
        self.notify_head = notify_head
        self.task = asyncio.ensure_future(target.send(self.record_head))

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
    def has_answer(self) -> bool:
        """Whether it has an answer, which may be a failure."""
        return self.has_ended and self.error is None


class Race:
    """The copies of one request.

    Attributes:
        is_usable: Whether an answer ends the request.
        discard: Called with an answer that isn't used.

    >>> race = Race(directory, kind, progress)
    >>> answer = await race.run(target, choose_other)
    """

    def __init__(
        self,
        directory: directory_module.Directory,
        kind: Kind,
        progress: progress_module.Progress,
        is_usable: Callable[[Any], bool] = lambda answer: True,
        discard: Callable[[Any], None] = lambda answer: None,
    ):
        self.directory = directory
        self.limits = directory.second_copies
        self.kind = kind
        self.progress = progress
        self.is_usable = is_usable
        self.discard = discard
        self.first: Copy | None = None
        self.second: Copy | None = None
        self.used: Copy | None = None
        self.is_slow = False
        self.is_timed = False

    async def run(
        self, target: Target, choose_other: Callable[[], Target | None]
    ) -> Any:
        """Runs the race; every way out leaves no copy running.

        Failures are recorded in the progress except for the one that is raised
        or returned.

        Args:
            target: Gets the request.
            choose_other: Takes a copy out of all limits and returns where it
                is sent; None if there must be none.

        Raises:
            exceptions.EndpointNotStarted: Nothing of it has run.
            exceptions.AnswerBroken: It may have run.
        """
        threshold = self.limits.threshold(self.kind.key, time.monotonic())
        if threshold is not None:
            threshold *= self.kind.unit
        self.first = Copy(target, self.record_time)
        try:
            await asyncio.wait([self.first.task], timeout=threshold)
            if threshold is not None:
                self.check_speed()
            if self.is_slow:
                self.start_second(choose_other())
            self.used = await self.finish()
            return self.used.task.result()
        finally:
            await self.end()

    def check_speed(self) -> None:
        """Records whether the request is slow, unless it has failed."""
        has_head = self.first.has_head
        self.is_slow = not has_head and not self.first.task.done()
        if self.is_slow or has_head:
            self.limits.record_speed(
                self.kind.service,
                self.kind.key,
                self.is_slow,
                time.monotonic(),
            )

    def start_second(self, target: Target | None) -> None:
        """Starts the second copy if it may be."""
        if target is None:
            return
        waited = time.monotonic() - self.first.started_at
        events.log(
            events.COPY_STARTED,
            request=self.progress.call.id,
            kind=self.kind.key,
            instance=target.instance,
            slow=self.first.instance,
            waited=round(waited, 4),
            reason="no answer has begun in the time of nearly all others",
        )
        self.second = Copy(target)

    async def finish(self) -> Copy:
        """Waits for the first usable answer, or until no copy is left.

        Returns:
            The copy whose answer or failure counts.
        """
        if self.second is None:
            await asyncio.wait([self.first.task])
            return self.first
        overlap = OVERLAP_SECONDS
        waiting = {self.first.task, self.second.task}
        while waiting:
            done, waiting = await asyncio.wait(
                waiting,
                timeout=overlap,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for copy in (self.first, self.second):
                if copy.has_answer and self.is_usable(copy.task.result()):
                    self.record_end(copy)
                    return copy
            overlap = None
            if not done:
                waiting = {self.give_up_one().task}
        self.record_end(None)
        return self.conclude()

    def give_up_one(self) -> Copy:
        """Cancels a copy, as both have run for too long; returns the other."""
        kept = self.second
        if self.first.has_head and not self.second.has_head:
            kept = self.first
        given_up = self.first if kept is self.second else self.second
        given_up.task.cancel()
        return kept

    def conclude(self) -> Copy:
        """Returns the copy whose failure counts, and records the other's.

        A failure that was answered comes first, then one after which the
        request may have run: both only allow a retry as far as the route does.
        """
        best, other = sorted((self.first, self.second), key=rank)
        if isinstance(other.error, exceptions.EndpointNotStarted):
            self.progress.record_not_started(other.error)
        elif not isinstance(other.error, exceptions.RequestError):
            self.progress.record_arrival()
        return best

    def record_time(self) -> None:
        """Records the time to the first byte of the first copy."""
        if self.is_timed:
            return
        self.is_timed = True
        now = time.monotonic()
        seconds = (now - self.first.started_at) / self.kind.unit
        self.limits.record_answer(self.kind.key, seconds, now)

    def record_end(self, winner: Copy | None) -> None:
        """Logs and counts which copy has won."""
        won = "none"
        if winner is not None:
            won = "first" if winner is self.first else "second"
        if won == "second":
            self.limits.results[self.kind.service, "won"] += 1
        events.log(
            events.COPIES_ENDED,
            request=self.progress.call.id,
            kind=self.kind.key,
            won=won,
            instance=winner.instance if winner is not None else "",
        )

    async def end(self) -> None:
        """Cancels what still runs and waits until its records are closed."""
        if self.is_slow:
            # An answer that never came is slower than the quantile, too.
            self.record_time()
        if self.second is not None and not self.first.has_ended:
            # Its requests end too soon to show that a replica is silent.
            self.directory.probes.request(self.first.instance)
        copies = [self.first]
        if self.second is not None:
            copies.append(self.second)
        for copy in copies:
            copy.task.cancel()
        tasks = [copy.task for copy in copies]
        await asyncio.gather(*tasks, return_exceptions=True)
        for copy in copies:
            if copy.has_answer and copy is not self.used:
                self.discard(copy.task.result())


def rank(copy: Copy) -> int:
    """Orders results by how much they tell the caller."""
    if not copy.has_ended:
        return 4
    if copy.error is None:
        return 0
    if isinstance(copy.error, exceptions.RequestError):
        # This node has sent nothing.
        return 3
    return 2 if isinstance(copy.error, exceptions.EndpointNotStarted) else 1
