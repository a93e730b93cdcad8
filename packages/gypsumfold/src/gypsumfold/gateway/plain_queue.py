"""Places plain calls by the site's totals and queues them if all are full."""

import asyncio
from collections.abc import Callable
import math
import random
import time

from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold import outcomes
from gypsumfold.decisions import call_queue
from gypsumfold.decisions import plain_placement
from gypsumfold.decisions import routes
from gypsumfold.gateway import directory as directory_module
from gypsumfold.gateway import progress as progress_module
from gypsumfold.gateway import settings as settings_module
from gypsumfold.gateway import types

# Seconds between two looks at the totals while calls wait: a fifth of the
# shortest time of a call, and well below the 0.1 s between two reports.
TICK_SECONDS = 0.01
# Seconds between two reports of changes: a report at each change would take
# several times as much of the link.
REPORT_INTERVAL_SECONDS = 0.1
# Seconds between two checks for calls whose turn comes too late.
REVIEW_SECONDS = 0.1
# Usual times of a call that must be left until its deadline when it is sent.
LEAST_TIMES_LEFT = 2.0
# The same until its objective: some calls take a little longer than usual.
OBJECTIVE_TIMES_LEFT = 1.25


class Waiter:
    """A waiting call and how its wait ends: sent, or with a refusal."""

    def __init__(
        self, call: call_queue.WaitingCall, progress: progress_module.Progress
    ):
        self.call = call
        self.progress = progress
        self.end: asyncio.Future[exceptions.RequestError | None] = (
            asyncio.get_running_loop().create_future()
        )


class ServiceQueue:
    """The waiting calls of one service.

    Attributes:
        granted: Calls that may be sent and whose tasks have not run since.
    """

    def __init__(self, rng: random.Random):
        self.queue = call_queue.CallQueue()
        # Nodes that begin to wait at the same time are not to send at the same
        # time.
        self.pace = call_queue.Pace(rng.random())
        self.waiters: dict[call_queue.WaitingCall, Waiter] = {}
        self.granted = 0
        self.reviewed = 0.0


class PlainQueue:
    """Chooses the replicas of plain calls; has calls wait if all are full.

    Attributes:
        waited: Calls that have waited since the start, by service.
        refused: Calls refused because of the backlog, by service.
        notify_change: Called when other nodes should learn this node's loads.

    >>> refusal = await plain_queue.wait("app", route, progress)
    >>> replica = plain_queue.choose("app", frozenset())
    """

    def __init__(
        self,
        directory: directory_module.Directory,
        loads: plain_placement.PlainLoads,
        section: settings_module.PlainCallsSection,
        data_centre: str,
        rng: random.Random,
    ):
        self.directory = directory
        self.loads = loads
        self.section = section
        self.data_centre = data_centre
        self.rng = rng
        self.services: dict[str, ServiceQueue] = {}
        self.waited: dict[str, int] = {}
        self.refused: dict[str, int] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.is_stopping = False
        self.notify_change: Callable[[], None] = lambda: None
        self.reported_at = -math.inf
        self.is_report_due = False

    def candidates(
        self, service: str, avoid: frozenset[str], now: float
    ) -> list[plain_placement.Candidate]:
        """Returns the replicas that may be sent a call, with their loads."""
        ready = self.directory.ready(service, now, avoid)
        return self.with_loads(service, ready, now)

    def serving(
        self, service: str, now: float
    ) -> list[plain_placement.Candidate]:
        """Returns the replicas that serve calls, with their loads.

        One that has just refused a call of this node is among them.
        """
        return self.with_loads(service, self.directory.responsive(service), now)

    def with_loads(
        self, service: str, ready: list[types.Replica], now: float
    ) -> list[plain_placement.Candidate]:
        """Returns replicas with their loads, without slow ones."""
        directory = self.directory
        found = []
        estimated = self.loads.estimate(
            service, {one.instance: max(1, one.slots) for one in ready}, now
        )
        for replica in ready:
            slots = max(1, replica.slots)
            calls = estimated[replica.instance]
            found.append(
                plain_placement.Candidate(
                    replica.instance,
                    slots,
                    calls,
                    self.loads.slowness(replica.instance, service, now),
                    directory.failure_rates.load(replica.instance, now),
                    replica.data_centre == self.data_centre,
                )
            )
        return plain_placement.without_slow(found)

    def choose(
        self, service: str, avoid: frozenset[str]
    ) -> types.Replica | None:
        """Chooses the replica for a call; None if there is none."""
        now = time.monotonic()
        candidates = self.candidates(service, avoid, now)
        chosen = plain_placement.choose(candidates, self.rng)
        if chosen is None:
            return None
        return self.directory.replicas[chosen.instance]

    def begin(self, replica: types.Replica) -> plain_placement.OpenCall:
        """Counts a call that is sent to a replica."""
        self.report_soon()
        return self.loads.begin(
            replica.instance, replica.service, time.monotonic()
        )

    def end(self, call: plain_placement.OpenCall) -> None:
        """Counts the end of a call; a waiting one may take its slot."""
        self.loads.end(call, time.monotonic())
        self.report_soon()
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
        call = self.waiting_call(service, route, progress, now)
        serving = self.serving(service, now)
        line = self.services.get(service)
        if line is None:
            line = self.services[service] = ServiceQueue(self.rng)
        if not serving or self.has_turn(service, line, progress, serving, now):
            # Without a replica the caller is refused for that reason.
            line.queue.charge(call.account, now)
            return None
        if self.is_stopping:
            return self.refuse(service, progress, serving, now)
        waiter = Waiter(call, progress)
        if not line.waiters:
            line.pace.restart()
        line.queue.push(call, now)
        line.waiters[call] = waiter
        self.admit(service, line, waiter, serving, now)
        outcome = "left"
        try:
            if not waiter.end.done():
                self.update(service, line)
                self.dispatch(service)
                self.schedule()
            refusal = await waiter.end
            outcome = "sent" if refusal is None else "refused"
            return refusal
        finally:
            line.waiters.pop(call, None)
            line.queue.remove(call)
            if was_granted(waiter):
                # Either it is sent at once or its caller has left meanwhile.
                line.granted -= 1
            self.update(service, line)
            self.record_wait(service, progress, now, outcome)

    def waiting_call(
        self,
        service: str,
        route: routes.Route,
        progress: progress_module.Progress,
        now: float,
    ) -> call_queue.WaitingCall:
        """Returns when a call has to be sent.

        That is in time for its objective, or for its deadline if the objective
        is out of reach already: while replicas are full, a late answer takes
        the slot of one that would be in time.
        """
        call = progress.call
        usual = self.loads.usual_seconds(service)
        latest = call.deadline - LEAST_TIMES_LEFT * usual
        objective = call.arrival + route.objective
        due = objective - OBJECTIVE_TIMES_LEFT * usual
        if due <= now:
            due = latest
        return call_queue.WaitingCall(
            call.account, route.urgency, call.arrival, min(due, latest)
        )

    def has_turn(
        self,
        service: str,
        line: ServiceQueue,
        progress: progress_module.Progress,
        candidates: list[plain_placement.Candidate],
        now: float,
    ) -> bool:
        """Whether a call needn't wait.

        It may not overtake calls that wait here or at other nodes, unless a
        full replica has refused it on its turn: another one may have room.
        """
        if len(progress.avoid) == 1 and not progress.may_have_run:
            return True
        if line.waiters:
            return False
        if sum(self.others(service, candidates, now)) >= 0.5:
            return False
        return has_room(candidates, line.granted)

    def others(
        self,
        service: str,
        candidates: list[plain_placement.Candidate],
        now: float,
    ) -> list[float]:
        """Returns the calls that wait at other nodes, by urgency."""
        reported = self.loads.waiting_elsewhere(service, now)
        return plain_placement.credible_waiting(reported, candidates)

    def turns(
        self,
        service: str,
        line: ServiceQueue,
        candidates: list[plain_placement.Candidate],
        now: float,
    ) -> Callable[[call_queue.WaitingCall], float]:
        """Returns the seconds between two calls that this node may send."""
        others = self.others(service, candidates, now)
        usual = self.loads.usual_seconds(service)
        rate = plain_placement.service_rate(candidates, usual)
        own = len(line.queue)
        return lambda call: plain_placement.turn_seconds(
            call.level(now), own, others, rate
        )

    def admit(
        self,
        service: str,
        line: ServiceQueue,
        waiter: Waiter,
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
        line: ServiceQueue,
        waiter: Waiter,
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
        serving = self.serving(service, time.monotonic())
        if not serving:
            return None
        return self.refuse(service, progress, serving, time.monotonic())

    def backlog_seconds(
        self,
        service: str,
        candidates: list[plain_placement.Candidate],
        now: float,
    ) -> float:
        """Returns the seconds in which all calls that wait anywhere are sent.

        It is at least the time of one call, in which slots become free.
        """
        usual = self.loads.usual_seconds(service)
        rate = plain_placement.service_rate(candidates, usual)
        if not rate:
            return usual
        waiting = sum(self.others(service, candidates, now))
        if service in self.services:
            waiting += len(self.services[service].queue)
        return max(usual, waiting / rate)

    def dispatch(self, service: str) -> None:
        """Lets calls go whose turn it is, while there is room for them."""
        line = self.services[service]
        if not line.waiters:
            return
        now = time.monotonic()
        everywhere = self.serving(service, now)
        if not everywhere:
            for waiter in list(line.waiters.values()):
                self.end_wait(service, line, waiter, [], now)
            return
        others = self.others(service, everywhere, now)
        alone = sum(others) < 0.5 and has_room(everywhere, line.granted)
        usual = self.loads.usual_seconds(service)
        rate = plain_placement.dispatch_rate(everywhere, usual)
        share = plain_placement.own_share(line.queue.counts, others)
        line.pace.accrue(rate * share, now)
        while line.queue:
            if not alone and not line.pace.take():
                break
            alone = alone and has_room(everywhere, line.granted + 1)
            waiter = line.waiters.pop(line.queue.pop(now))
            if not waiter.end.done():
                line.granted += 1
                waiter.end.set_result(None)
        self.review(service, line, everywhere, now)

    def review(
        self,
        service: str,
        line: ServiceQueue,
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

    def update(self, service: str, line: ServiceQueue) -> None:
        """Reports how many calls wait here."""
        if self.loads.set_waiting(service, line.queue.counts):
            self.report_soon()

    def report_soon(self) -> None:
        """Has this node's loads reported, at most once in an interval."""
        if self.is_report_due:
            return
        wait = self.reported_at + REPORT_INTERVAL_SECONDS - time.monotonic()
        self.is_report_due = True
        loop = asyncio.get_running_loop()
        loop.call_later(max(0.0, wait), self.report)

    def report(self) -> None:
        """Has this node's loads reported now."""
        self.is_report_due = False
        self.reported_at = time.monotonic()
        self.notify_change()

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
                candidates = self.serving(service, now)
                self.end_wait(service, line, waiter, candidates, now)
            self.update(service, line)

    def count_waiting(self, service: str) -> int:
        """Counts the calls that wait for a service here."""
        return len(self.services[service].queue)

    def record_wait(
        self,
        service: str,
        progress: progress_module.Progress,
        since: float,
        outcome: str,
    ) -> None:
        """Records a call that has waited and was sent, refused or left."""
        seconds = time.monotonic() - since
        if outcome == "refused" and seconds <= 0:
            return
        self.waited[service] = self.waited.get(service, 0) + 1
        events.log(
            events.CALL_WAITED,
            request=progress.call.id,
            service=service,
            seconds=round(seconds, 4),
            outcome=outcome,
        )


def was_granted(waiter: Waiter) -> bool:
    """Whether a call's wait has ended with its turn."""
    if not waiter.end.done() or waiter.end.cancelled():
        return False
    return waiter.end.result() is None


def has_room(candidates: list[plain_placement.Candidate], granted: int) -> bool:
    """Whether more slots are free than the reserve and those about to be taken.

    Args:
        candidates: The replicas.
        granted: Calls about to be sent, each of which takes a slot.
    """
    slots = sum(one.slots for one in candidates)
    reserve = plain_placement.RESERVE * slots
    free = sum(max(0.0, one.free) for one in candidates)
    return free - granted >= max(1.0, reserve)
