"""Keeps requests that crash replicas from the replicas.

`decisions/crashes.py` says which requests these are, `decisions/canaries.py`
where suspects may run. What this node sees goes to the other nodes, and what
all must remember after a loss of power goes to the store.
"""

import asyncio
from collections.abc import Callable
import random
import time

from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold import outcomes
from gypsumfold.decisions import canaries as canaries_module
from gypsumfold.decisions import crashes as crashes_module
from gypsumfold.decisions import routes
from gypsumfold.gateway import fingerprints
from gypsumfold.gateway import progress as progress_module
from gypsumfold.gateway import runs as runs_module
from gypsumfold.gateway import types
from gypsumfold.gateway.peers import crash_news
from gypsumfold.gateway.peers import messages

# Seconds between two looks whether a suspect may run, about: longer than a
# message takes to the other nodes, so that two suspects seldom start together.
POLL_INTERVAL = 0.04
# Share of the time for which its caller still waits that a suspect is held.
MAX_HOLD_FRACTION = 0.5


class Quarantine:
    """Decides whether and where a request may run, by the crashes it was in.

    Attributes:
        notify_peers: Called where other nodes are to be sent something at once.
        is_relay: Whether this node passes on what others send.
        propagation_time: Seconds until all nodes have what was sent at once.
        store_crashes: Called with a request whose crashes the store is to keep.

    >>> quarantine = Quarantine(runs)
    >>> quarantine.admit(progress)
    >>> replica = await quarantine.place(progress, route, choose)
    """

    def __init__(self, runs: runs_module.InterruptedRuns):
        self.runs = runs
        self.crash_log = crashes_module.CrashLog()
        self.canaries = canaries_module.Canaries(random.getrandbits(32))
        self.notify_peers: Callable[[], None] = lambda: None
        self.is_relay: Callable[[], bool] = lambda: False
        self.propagation_time: Callable[[], float] = lambda: 0.0
        self.store_crashes: Callable[[int], None] = lambda fingerprint: None
        runs.crash_listeners.append(self.record_crash)
        runs.survival_listeners.append(self.record_survival)

    def admit(self, progress: progress_module.Progress) -> None:
        """Refuses a request in quarantine.

        Raises:
            exceptions.RequestError: It is in quarantine, and nothing has gone
                to its caller.
            exceptions.AnswerAbandoned: It is, and its answer has begun.
        """
        now = time.monotonic()
        verdict = self.crash_log.decide(progress.fingerprint, now)
        if verdict != crashes_module.Decision.QUARANTINED:
            return
        until = self.crash_log.quarantined[progress.fingerprint]
        events.log(
            events.REQUEST_QUARANTINED,
            request=progress.call.id,
            fingerprint=fingerprints.to_hex(progress.fingerprint),
            crashes=self.crash_log.count(progress.fingerprint),
            seconds=round(until - now, 3),
        )
        if progress.answer_started:
            raise exceptions.AnswerAbandoned("the request crashes replicas")
        if progress.may_have_run:
            raise progress.final_error()
        raise exceptions.RequestQuarantined(
            "the request has crashed the replicas that ran it",
            outcomes.Outcome.NOT_RUN,
            until - now,
        )

    async def place(
        self,
        progress: progress_module.Progress,
        route: routes.Route,
        choose: Callable[[], types.Replica | None],
    ) -> types.Replica | None:
        """Waits until a request may run at the replica that is chosen then.

        Args:
            progress: Of the request.
            route: Its route.
            choose: Chooses a replica; None where there is none.

        Raises:
            exceptions.RequestError: It may not run soon enough.
            exceptions.AnswerAbandoned: The same, and its answer has begun.
        """
        fingerprint = progress.fingerprint
        replica = choose()
        if replica is None or self.is_unsuspected(fingerprint):
            return replica
        started = time.monotonic()
        age = 0.0
        if not progress.answer_started:
            age = started - progress.call.arrival
        longest = MAX_HOLD_FRACTION * route.remaining_wait(
            progress.time_left(), age
        )
        while replica is not None:
            if await self.reserve(progress, replica):
                held = time.monotonic() - started
                self.log_held(progress, held, True)
                return replica
            await asyncio.sleep(POLL_INTERVAL * random.uniform(0.5, 1.5))
            self.admit(progress)
            replica = choose()
            held = time.monotonic() - started
            if held >= longest:
                self.log_held(progress, held, False)
                if progress.answer_started:
                    raise exceptions.AnswerAbandoned(
                        "no replica is free for it"
                    )
                raise progress.final_error()
        return None

    def log_held(
        self, progress: progress_module.Progress, held: float, placed: bool
    ) -> None:
        """Logs how long a suspect was held, and what became of it."""
        events.log(
            events.SUSPECT_HELD,
            request=progress.call.id,
            fingerprint=fingerprints.to_hex(progress.fingerprint),
            crashes=self.crash_log.count(progress.fingerprint),
            seconds=round(held, 3),
            placed=placed,
        )

    def is_unsuspected(self, fingerprint: int) -> bool:
        """Whether nothing speaks against sending a request anywhere."""
        now = time.monotonic()
        if self.is_blocked(fingerprint, now):
            return False
        verdict = self.crash_log.decide(fingerprint, now)
        return verdict == crashes_module.Decision.FREE

    def is_blocked(self, fingerprint: int, now: float) -> bool:
        """Whether a copy of a request runs as a canary, or may have crashed."""
        if self.runs.is_undecided(fingerprint, canaries_module.HOLD_SECONDS):
            return True
        return self.canaries.is_running(fingerprint, now)

    async def reserve(
        self, progress: progress_module.Progress, replica: types.Replica
    ) -> bool:
        """Whether a request may run at a replica, and no copy elsewhere.

        After two crashes a copy at another node would be one too many: the
        other nodes are notified first; where two of them notify each other,
        both wait and try again.

        Raises:
            exceptions.RequestError: As `admit`.
            exceptions.AnswerAbandoned: As `admit`.
        """
        fingerprint = progress.fingerprint
        if not self.can_run(fingerprint, replica):
            return False
        if self.crash_log.count(fingerprint) < crashes_module.MAX_CRASHES - 1:
            return True
        self.canaries.start(fingerprint, replica.instance)
        self.notify_peers()
        alone = False
        try:
            await asyncio.sleep(self.propagation_time())
            now = time.monotonic()
            self.admit(progress)
            alone = not self.canaries.is_running_elsewhere(fingerprint, now)
            alone = alone and self.runs.directory.is_usable(replica.instance)
        finally:
            if not alone:
                self.canaries.end(fingerprint, time.monotonic())
                self.notify_peers()
        return alone

    def can_run(self, fingerprint: int, replica: types.Replica) -> bool:
        """Whether a request may run at a replica now."""
        now = time.monotonic()
        if self.is_blocked(fingerprint, now):
            return False
        verdict = self.crash_log.decide(fingerprint, now)
        if verdict == crashes_module.Decision.FREE:
            return True
        return self.canaries.is_free(fingerprint, replica.instance, now)

    def record_start(self, run: runs_module.Run) -> None:
        """Notes that a request starts to run."""
        verdict = self.crash_log.decide(run.fingerprint, time.monotonic())
        if verdict != crashes_module.Decision.CANARY:
            self.canaries.end(run.fingerprint, time.monotonic())
            return
        run.is_canary = True
        self.canaries.start(run.fingerprint, run.replica.instance)
        self.notify_peers()

    def record_output(self, run: runs_module.Run) -> None:
        """Notes that a run's output goes to its caller.

        A canary suspected of one crash, which had given none before, has come
        further than then.
        """
        if run.has_output:
            return
        run.has_output = True
        if run.is_canary and self.crash_log.count(run.fingerprint) <= 1:
            self.end_canary(run)

    def record_completion(self, run: runs_module.Run) -> None:
        """Notes that a run came to its end."""
        if self.crash_log.count(run.fingerprint) > 1:
            self.store_crashes(run.fingerprint)
        if self.crash_log.completed(run.fingerprint):
            events.log(
                events.SUSPECT_CLEARED,
                fingerprint=fingerprints.to_hex(run.fingerprint),
                instance=run.replica.instance,
            )

    def end_canary(self, run: runs_module.Run) -> None:
        """Notes that a run is over, however it ended."""
        if not run.is_canary:
            return
        run.is_canary = False
        if self.canaries.end(run.fingerprint, time.monotonic()):
            self.notify_peers()

    def record_interruption(self, run: runs_module.Run) -> None:
        """Notes that a run's answer broke off; a crash may be the cause."""
        if not self.runs.add(run):
            return
        run.is_canary = False
        self.canaries.hold(
            run.fingerprint, run.replica.instance, time.monotonic()
        )
        self.notify_peers()

    def record_survival(self, interrupted: list[runs_module.Run]) -> None:
        """Takes in that a replica lives: its connections were reset."""
        for run in interrupted:
            self.canaries.end(run.fingerprint, time.monotonic())
        self.notify_peers()

    def record_crash(self, crash: runs_module.Crash) -> None:
        """Takes in a crash that interrupted runs of this node."""
        replica = crashes_module.Incarnation(
            crash.replica.instance, crash.replica.started_at
        )
        now = time.monotonic()
        for run in crash.runs:
            self.canaries.end(run.fingerprint, now)
            output = run.has_output or run.is_prefill
            quarantined = self.crash_log.interrupted(
                replica, run.fingerprint, output, now
            )
            self.log_quarantine(run.fingerprint, quarantined, replica)
            if self.crash_log.count(run.fingerprint) > 1:
                self.store_crashes(run.fingerprint)
        self.notify_peers()

    def log_quarantine(
        self,
        fingerprint: int,
        quarantined: bool,
        replica: crashes_module.Incarnation,
    ) -> None:
        """Logs a quarantine that begins."""
        if not quarantined:
            return
        crashes = []
        for suspicion in self.crash_log.suspicions(fingerprint):
            crashes.append(suspicion.instance)
        events.log(
            events.QUARANTINE_BEGUN,
            fingerprint=fingerprints.to_hex(fingerprint),
            instance=replica.instance,
            crashes=sorted(crashes),
        )

    def updates(self, most: int) -> crash_news.News:
        """What other nodes are sent next, canaries first.

        A reservation has to be known everywhere before its request runs.

        Args:
            most: Entries at most.
        """
        now = time.monotonic()
        running = []
        for one in self.canaries.updates(self.is_relay(), now, most):
            left = min(
                canaries_module.LIFETIME_SECONDS, max(0.0, one.until - now)
            )
            running.append(messages.Canary(*one[:-1], left))
        interrupted = []
        for one in self.crash_log.updates(now, most - len(running)):
            interrupted.append(
                messages.Interrupted(
                    one.replica.instance,
                    one.replica.started,
                    one.fingerprint,
                    one.output,
                    one.cleared,
                )
            )
        more = bool(self.crash_log.pending_sends or self.canaries.pending_sends)
        return crash_news.News(interrupted, running, more)

    def merge_suspicions(
        self, suspicions: list[crashes_module.Interrupted], forward: bool
    ) -> bool:
        """Takes in suspicions of another node, or from the store.

        Args:
            suspicions: Which request was in which crash.
            forward: Whether what is new is sent to other nodes.

        Returns:
            Whether a request was put into quarantine by them.
        """
        now = time.monotonic()
        news = False
        for suspicion in suspicions:
            quarantined = self.crash_log.merge(suspicion, forward, now)
            self.log_quarantine(
                suspicion.fingerprint, quarantined, suspicion.replica
            )
            news |= quarantined
        return news

    def merge_message(self, message: messages.Crashes) -> None:
        """Takes in what another node has sent."""
        suspicions = []
        for one in message.interrupted:
            replica = crashes_module.Incarnation(one.instance, one.started)
            suspicions.append(
                crashes_module.Interrupted(
                    replica, one.fingerprint, one.output, one.cleared
                )
            )
        news = self.merge_suspicions(suspicions, self.is_relay())
        now = time.monotonic()
        for one in message.canaries:
            canary = canaries_module.Canary(
                one.fingerprint,
                one.owner,
                one.number,
                one.instance,
                now + one.seconds,
            )
            news |= self.canaries.merge(canary, now)
        if news and self.is_relay():
            self.notify_peers()
