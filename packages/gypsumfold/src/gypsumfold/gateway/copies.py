"""Decides for each slow request whether and where a second copy is sent."""

from collections.abc import Awaitable
from collections.abc import Callable
import functools
import time

from gypsumfold import exceptions
from gypsumfold.decisions import routes
from gypsumfold.gateway import copy_races
from gypsumfold.gateway import directory as directory_module
from gypsumfold.gateway import plain_replicas
from gypsumfold.gateway import progress as progress_module
from gypsumfold.gateway import quarantine as quarantine_module
from gypsumfold.gateway import retry_permits as retry_permits_module
from gypsumfold.gateway import run_results
from gypsumfold.gateway import types

# Sends a request to a replica; calls the function once the head of an answer
# that isn't a failure has come.
Send = Callable[
    [types.Replica, Callable[[], None]], Awaitable[types.WholeAnswer]
]


class Copies:
    """Sends requests that may run twice, slow ones to two replicas.

    Attributes:
        limits: Decides when a copy may be sent, and counts copies.
        shared: Places copies by the load of all gateways; None if this node
            counts only its own calls.

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
        self.shared: plain_replicas.PlainReplicas | None = None

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
        race = copy_races.Race(
            self.directory,
            copy_races.Kind(route.name, replica.service),
            progress,
            lambda answer: not run_results.is_failure(answer.status),
        )

        def choose_other() -> copy_races.Target | None:
            reason = self.refusal(replica.service, route, progress)
            other = None
            if not reason:
                other = self.choose(replica, progress)
            if not self.take(replica.service, reason, other is not None):
                return None
            return target(other, send)

        return await race.run(target(replica, send), choose_other)

    def choose(
        self, first: types.Replica, progress: progress_module.Progress
    ) -> types.Replica | None:
        """Chooses the replica for a copy; None if none is fit."""
        now = time.monotonic()
        found = []
        for replica in self.directory.eligible.ready(
            first.service, now, avoid=progress.avoid | {first.instance}
        ):
            if self.is_fit(replica):
                found.append(replica)
        if self.shared is not None:
            return self.shared.choose_free(first.service, found)
        return self.directory.choice.least_busy(found, self.data_centre)

    def is_fit(self, replica: types.Replica) -> bool:
        """Whether a copy may be sent to a replica.

        Unlike a request, a copy gets none that is paused, fails, leaves or
        comes back from a backoff.
        """
        if not self.directory.eligible.is_healthy(
            replica.instance, time.monotonic()
        ):
            return False
        if not self.directory.eligible.is_usable(replica.instance):
            return False
        departure = self.directory.departures.find(
            replica.instance, replica.started_at
        )
        return departure is None

    def refusal(
        self,
        service: str,
        route: routes.Route,
        progress: progress_module.Progress,
    ) -> str:
        """Returns why a call gets no copy now; empty if it may have one."""
        now = time.monotonic()
        if progress.runs >= route.attempts:
            return "attempts"
        usual = self.limits.usual(route.name, now)
        if usual is None or progress.time_left() < usual:
            return "deadline"
        if not self.quarantine.is_unsuspected(progress):
            return "suspect"
        return self.limits.refusal(service, route.name, now)

    def take(self, service: str, reason: str, is_placed: bool) -> bool:
        """Takes a copy out of the site's limits and counts it.

        Args:
            service: The service that is called.
            reason: Why there must be no copy; empty if there may be one.
            is_placed: Whether a replica is fit for it.
        """
        now = time.monotonic()
        if not reason and not is_placed:
            reason = "replicas"
        # Without a loan: what others have left is kept for retries.
        if not reason and not self.retry_permits.budget.allow(service, now):
            reason = "retries"
        self.limits.results[service, reason or "started"] += 1
        if reason:
            return False
        self.limits.record_copy(service, now)
        return True


def target(replica: types.Replica, send: Send) -> copy_races.Target:
    """Makes the target of a copy at a replica."""
    return copy_races.Target(replica.instance, functools.partial(send, replica))
