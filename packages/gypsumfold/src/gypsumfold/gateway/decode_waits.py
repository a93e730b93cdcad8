"""Holds requests while a service has no decode engine."""

import asyncio
import time

from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold import outcomes
from gypsumfold.decisions import outages
from gypsumfold.decisions import routes
from gypsumfold.gateway import directory as directory_module
from gypsumfold.gateway import progress as progress_module
from gypsumfold.gateway import role_planning
from gypsumfold.gateway import types

# Seconds between two checks for a decode engine.
POLL_INTERVAL = 0.03


class DecodeWaits:
    """Has requests wait for a decode engine, or refuses them.

    Attributes:
        refuse_early: Whether the role changes under way decide when a decode
            engine is expected, not only the time of the loss.

    >>> waits = DecodeWaits(directory)
    >>> await waits.wait(route, service, progress)
    """

    def __init__(self, directory: directory_module.Directory):
        self.directory = directory
        self.refuse_early = False
        # By service and engine, when a role change should be done as first
        # announced; the notices of one that takes longer are renewed.
        self.change_ends: dict[str, dict[str, float]] = {}

    async def wait(
        self,
        route: routes.Route,
        service: types.Service,
        progress: progress_module.Progress,
    ) -> None:
        """Waits until there is a decode engine, if one is expected in time.

        Raises:
            exceptions.RequestError: None is.
            exceptions.AnswerBroken: None is, and an engine may have run it.
        """
        held = False
        while True:
            now = time.monotonic()
            if self.directory.eligible.engines(service.name, False, now):
                return
            since = self.directory.eligible.decode_available_at.setdefault(
                service.name, now
            )
            age = now - progress.call.arrival
            decision = outages.decide(
                since,
                service.switch_time,
                route.remaining_wait(progress.time_left(), age),
                progress.time_left(),
                now,
                self.find_return(service, since, now),
            )
            if not decision.hold:
                raise self.refusal(progress, decision)
            if not held:
                held = True
                events.log(
                    events.CALL_HELD,
                    request=progress.call.id,
                    since=round(now - since, 3),
                    left=round(progress.time_left(), 3),
                )
            await asyncio.sleep(POLL_INTERVAL)

    def refusal(
        self, progress: progress_module.Progress, decision: outages.Decision
    ) -> exceptions.GypsumfoldError:
        """Makes the error that ends a wait.

        With `refuse_early` it also ends a request that may have run: a further
        attempt would find no engine either.
        """
        if not progress.may_have_run:
            return exceptions.Unavailable(
                "no engine generates",
                outcomes.Outcome.NOT_RUN,
                decision.retry_after,
            )
        if not self.refuse_early:
            return exceptions.AnswerBroken("no decode engine is available")
        if progress.answer_started:
            return exceptions.AnswerAbandoned("no decode engine is available")
        return progress.final_error()

    def find_return(
        self, service: types.Service, since: float, now: float
    ) -> outages.Return | None:
        """Returns when a decode engine is expected; None to assume the usual.

        A prefill engine that is closed changes its role; all nodes have the
        notice of it within 0.25 s of the order.
        """
        if not self.refuse_early:
            return None
        before = self.change_ends.get(service.name, {})
        ends = {}
        roles = self.directory.roles
        for replica in self.directory.liveness.responsive(service.name):
            until = roles.changing_until.get(replica.instance, 0.0)
            if until <= now or not roles.is_prefill(replica, now):
                continue
            end = until - role_planning.CLOSED_SECONDS
            first = before.get(replica.instance, end)
            ends[replica.instance] = first if first > since else end
        self.change_ends[service.name] = ends
        return outages.expect_return(
            since, service.switch_time, list(ends.values()), now
        )
