"""Queues plain calls while all replicas are full by the site's totals."""

import asyncio
from collections.abc import Callable
import time

from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold import outcomes
from gypsumfold.decisions import call_queue
from gypsumfold.decisions import call_rates
from gypsumfold.decisions import plain_loads
from gypsumfold.decisions import plain_placement
from gypsumfold.decisions import routes
from gypsumfold.gateway import plain_replicas
from gypsumfold.gateway import plain_waiters
from gypsumfold.gateway import progress as progress_module
from gypsumfold.gateway import settings as settings_module

# Seconds between two looks at the totals while calls wait: a fifth of the
# shortest time of a call, and well below the 0.1 s between two reports.
TICK_SECONDS = 0.01
# Seconds between two checks for calls whose turn comes too late.
REVIEW_SECONDS = 0.1


class PlainQueue:
    """Has plain calls wait while all replicas are full.

    Attributes:
        waited: Calls that have waited since the start, by service.
        refused: Calls refused because of the backlog, by service.

    >>> refusal = await plain_queue.wait("app", route, progress)
    """

    def __init__(
        self,
        replicas: plain_replicas.PlainReplicas,
        section: settings_module.PlainCallsSection,
    ):
        self.replicas = replicas
        self.loads = replicas.loads
        self.section = section
        self.services: dict[str, plain_waiters.ServiceQueue] = {}
        self.waited: dict[str, int] = {}
        self.refused: dict[str, int] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.is_stopping = False

    def end(self, call: plain_loads.OpenCall) -> None:
        """Counts the end of a call; a waiting one may take its slot."""
        self.replicas.end(call)
        if call.service in self.services:
            self.dispatch(call.service)

    async def wait(
        self,
        service: str,
        route: routes.Route,
        progress: progress_module.Progress,
    ) -> exceptions.RequestError | None:
        """Waits for a call's turn.

        Args:
            service: Its service.
            route: Its route.
            progress: Its progress.

        Returns:
            The final answer if it is refused; None if it may be sent now.
        """
        now = time.monotonic()
        call = plain_waiters.waiting_call(
            route, progress, self.loads.usual_seconds(service), now
        )
        serving = self.replicas.responsive_with_loads(service, now)
        line = self.services.get(service)
        if line is None:
            line = self.services[service] = plain_waiters.ServiceQueue(
                self.replicas.rng
            )
        failed = progress.avoid - progress.refused_as_full
        if (
            not serving
            or not self.has_ready_replica(service, failed, now)
            or self.has_turn(service, line, progress, serving, now)
        ):
            # Without a replica the caller is refused for that reason. If none
            # is known to respond, nothing says when a turn would come.
            line.queue.charge(call.account, now)
            return None
        if self.is_stopping:
            return self.refuse(service, progress, serving, now)
        waiter = plain_waiters.Waiter(call, progress)
        outcome = "left"
        try:
            line.push(waiter, now)
            self.admit(service, line, waiter, serving, now)
            if not waiter.end.done():
                self.update(service, line)
                self.dispatch(service)
                self.schedule()
            refusal = await waiter.end
            if refusal is None:
                # Replicas that were full may have free slots by now.
                progress.avoid = failed
                progress.refused_as_full = frozenset()
            outcome = "sent" if refusal is None else "refused"
            return refusal
        finally:
            line.leave(waiter)
            self.update(service, line)
            self.waited[service] = self.waited.get(service, 0) + 1
            plain_waiters.log_wait(service, progress, now, outcome)

    def has_ready_replica(
        self, service: str, avoid: frozenset[str], now: float
    ) -> bool:
        """Whether any replica may be sent a call."""
        return bool(self.replicas.directory.eligible.ready(service, now, avoid))

    def has_turn(
        self,
        service: str,
        line: plain_waiters.ServiceQueue,
        progress: progress_module.Progress,
        candidates: list[plain_placement.Candidate],
        now: float,
    ) -> bool:
        """Whether a call needn't wait.

        It may not overtake calls that wait here or at other nodes. This holds
        as well for one that a full replica has refused: if it were sent to
        another one at once, that would often be full too, and the retries that
        urgent calls need would be used up.
        """
        if not self.has_ready_replica(service, progress.avoid, now):
            # All have refused it, so that the totals show free slots wrongly.
            line.paced_until = now + plain_loads.REPORT_SECONDS
            return False
        if line.waiters:
            return False
        if sum(self.others(service, candidates, now)) >= 0.5:
            return False
        return call_rates.has_room(candidates, line.granted)

    def others(
        self,
        service: str,
        candidates: list[plain_placement.Candidate],
        now: float,
    ) -> list[float]:
        """Returns the calls that wait at other nodes, by urgency."""
        reported = self.loads.waiting_elsewhere(service, now)
        return call_rates.credible_waiting(reported, candidates)

    def turns(
        self,
        service: str,
        line: plain_waiters.ServiceQueue,
        candidates: list[plain_placement.Candidate],
        now: float,
    ) -> Callable[[call_queue.WaitingCall], float]:
        """Returns the seconds between two calls that this node may send."""
        others = self.others(service, candidates, now)
        usual = self.loads.usual_seconds(service)
        rate = call_rates.service_rate(candidates, usual)
        own = list(line.queue.counts)
        return lambda call: call_rates.turn_seconds(
            call.level(now), own, others, rate
        )

    def admit(
        self,
        service: str,
        line: plain_waiters.ServiceQueue,
        waiter: plain_waiters.Waiter,
        candidates: list[plain_placement.Candidate],
        now: float,
    ) -> None:
        """Refuses a call whose turn can't come in time.

        If too many wait, the last one in order is refused.
        """
        ordered = line.queue.ordered(now)
        if len(ordered) > self.section.max_waiting:
            last = line.waiters[ordered.pop()]
            self.end_wait(service, line, last, candidates, now)
            if last is waiter:
                return
        turns = self.turns(service, line, candidates, now)
        position = ordered.index(waiter.call) + 1
        if now + position * turns(waiter.call) > waiter.call.due:
            self.end_wait(service, line, waiter, candidates, now)

    def end_wait(
        self,
        service: str,
        line: plain_waiters.ServiceQueue,
        waiter: plain_waiters.Waiter,
        candidates: list[plain_placement.Candidate],
        now: float,
    ) -> None:
        """Ends a call's wait with a refusal."""
        line.queue.remove(waiter.call)
        line.waiters.pop(waiter.call, None)
        if not waiter.end.done():
            waiter.end.set_result(
                self.refuse(service, waiter.progress, candidates, now)
            )

    def refuse(
        self,
        service: str,
        progress: progress_module.Progress,
        candidates: list[plain_placement.Candidate],
        now: float,
    ) -> exceptions.RequestError:
        """Makes the final answer of a call that isn't sent any more."""
        self.refused[service] = self.refused.get(service, 0) + 1
        seconds = self.backlog_seconds(service, candidates, now)
        events.log(
            events.CALL_NOT_QUEUED,
            request=progress.call.id,
            service=service,
            stopping=self.is_stopping,
            backlog=round(seconds, 3),
        )
        if progress.may_have_run or not candidates:
            return progress.final_error()
        return exceptions.Unavailable(
            "all replicas are busy", outcomes.Outcome.NOT_RUN, seconds
        )

    def final_error(
        self, service: str, progress: progress_module.Progress
    ) -> exceptions.RequestError | None:
        """Makes the final answer of a call that only full replicas refused.

        None if a replica may have run it, none was reached or all have asked
        for a pause.
        """
        if progress.may_have_run or not progress.arrived:
            return None
        if progress.backoff_end is not None:
            return None
        serving = self.replicas.responsive_with_loads(service, time.monotonic())
        if not serving:
            return None
        return self.refuse(service, progress, serving, time.monotonic())

    def backlog_seconds(
        self,
        service: str,
        candidates: list[plain_placement.Candidate],
        now: float,
    ) -> float:
        """Returns the seconds in which all waiting calls are sent."""
        waiting = sum(self.others(service, candidates, now))
        if service in self.services:
            waiting += len(self.services[service].queue)
        usual = self.loads.usual_seconds(service)
        return call_rates.backlog_seconds(waiting, candidates, usual)

    def dispatch(self, service: str) -> None:
        """Lets calls go whose turn it is, while there is room for them."""
        line = self.services[service]
        if not line.waiters:
            return
        now = time.monotonic()
        everywhere = self.replicas.responsive_with_loads(service, now)
        if not self.has_ready_replica(service, frozenset(), now):
            if self.replicas.directory.eligible.limited(service, None, now):
                # Permits for replicas that limit requests come by time.
                self.review(service, line, everywhere, now)
                return
            for waiter in list(line.waiters.values()):
                self.end_wait(service, line, waiter, [], now)
            return
        if not everywhere:
            while line.queue:
                line.grant(now)
            return
        others = self.others(service, everywhere, now)
        alone = (
            now >= line.paced_until
            and sum(others) < 0.5
            and call_rates.has_room(everywhere, line.granted)
        )
        usual = self.loads.usual_seconds(service)
        rate = call_rates.dispatch_rate(everywhere, usual)
        share = call_rates.own_share(line.queue.counts, others)
        line.pace.accrue(rate * share, now)
        while line.queue:
            if not alone and not line.pace.take():
                break
            alone = alone and call_rates.has_room(everywhere, line.granted + 1)
            line.grant(now)
        self.review(service, line, everywhere, now)

    def review(
        self,
        service: str,
        line: plain_waiters.ServiceQueue,
        candidates: list[plain_placement.Candidate],
        now: float,
    ) -> None:
        """Refuses the waiting calls whose turn comes too late by now."""
        if now - line.reviewed < REVIEW_SECONDS or not line.waiters:
            return
        line.reviewed = now
        turns = self.turns(service, line, candidates, now)
        for call in call_queue.hopeless(line.queue.ordered(now), turns, now):
            self.end_wait(service, line, line.waiters[call], candidates, now)

    def update(self, service: str, line: plain_waiters.ServiceQueue) -> None:
        """Reports how many calls wait here."""
        if self.loads.set_waiting(service, line.queue.counts):
            self.replicas.report_soon()

    def schedule(self) -> None:
        """Looks at the totals again soon, as long as calls wait."""
        if self.timer is None:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(TICK_SECONDS, self.tick)

    def tick(self) -> None:
        """Lets calls go whose turn has come by the totals."""
        self.timer = None
        if any(line.waiters for line in self.services.values()):
            self.schedule()
        for service, line in self.services.items():
            if line.waiters:
                self.dispatch(service)
                self.update(service, line)

    def stop(self) -> None:
        """Refuses all waiting calls; later ones don't wait."""
        self.is_stopping = True
        now = time.monotonic()
        for service, line in self.services.items():
            for waiter in list(line.waiters.values()):
                candidates = self.replicas.responsive_with_loads(service, now)
                self.end_wait(service, line, waiter, candidates, now)
            self.update(service, line)

    def count_waiting(self, service: str) -> int:
        """Counts the calls that wait for a service here."""
        return len(self.services[service].queue)
