"""Keeps requests that crash replicas away from the replicas.

`decisions/crashes.py` decides which requests these are, `decisions/canaries.py`
where suspected requests may run. What this node observes is sent to the other
nodes; what has to survive a power failure of all nodes is written to the store.
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
from gypsumfold.gateway.peers import crash_updates
from gypsumfold.gateway.peers import messages

# Mean time between two checks whether a suspected request may run: longer than
# a message takes to reach the other nodes, so that two suspected requests
# seldom start together.
POLL_INTERVAL = 0.04
# Fraction of the time its caller still waits for which a suspected request is
# held.
MAX_HOLD_FRACTION = 0.5


class Quarantine:
    """Decides whether and where a request may run, from its previous crashes.

    Attributes:
        notify_peers: Called if updates for other nodes are to be sent at once.
        is_relay: Whether this node forwards updates of other nodes.
        propagation_time: Seconds until an update has reached all nodes.
        store_crashes: Called with the fingerprint of a request whose crashes
            are to be written to the store.

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
            exceptions.RequestError: It is in quarantine, and nothing was sent
                to its caller.
            exceptions.AnswerAbandoned: It is in quarantine, and its answer
                has started.
        """
        now = time.monotonic()
        decision = self.crash_log.decide(progress.fingerprint, now)
        if decision != crashes_module.Decision.QUARANTINED:
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
        """Waits until a request may run on the replica that is chosen then.

        Args:
            progress: Progress of the request.
            route: Its route.
            choose: Chooses a replica; returns None if there is none.

        Raises:
            exceptions.RequestError: It may not run soon enough.
            exceptions.AnswerAbandoned: It may not run soon enough, and its
                answer has started.
        """
        fingerprint = progress.fingerprint
        replica = choose()
        if replica is None or self.is_unsuspected(fingerprint):
            return replica
        started = time.monotonic()
        age = 0.0
        if not progress.answer_started:
            age = started - progress.call.arrival
        max_hold = MAX_HOLD_FRACTION * route.remaining_wait(
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
            if held >= max_hold:
                self.log_held(progress, held, False)
                if progress.answer_started:
                    raise exceptions.AnswerAbandoned(
                        "no replica is free for the request"
                    )
                raise progress.final_error()
        return None

    def is_last_engine(
        self,
        engines: list[types.Replica],
        progress: progress_module.Progress,
    ) -> bool:
        """Whether a request may crash the only engine that it can run on.

        One that is tied to a software version would otherwise take all engines
        of the version with it, and the streams that need them.
        """
        suspicions = self.crash_log.suspicions(progress.fingerprint)
        if len(suspicions) < crashes_module.MAX_CRASHES - 1:
            return False
        crashed = {suspicion.instance for suspicion in suspicions}
        left = 0
        for engine in engines:
            left += engine.instance not in crashed | progress.avoid
        return left <= 1

    def log_held(
        self, progress: progress_module.Progress, held: float, placed: bool
    ) -> None:
        """Logs how long a suspected request was held, and whether it runs."""
        events.log(
            events.SUSPECT_HELD,
            request=progress.call.id,
            fingerprint=fingerprints.to_hex(progress.fingerprint),
            crashes=self.crash_log.count(progress.fingerprint),
            seconds=round(held, 3),
            placed=placed,
        )

    def is_unsuspected(self, fingerprint: int) -> bool:
        """Whether a request may be sent to any replica."""
        now = time.monotonic()
        if self.is_blocked(fingerprint, now):
            return False
        decision = self.crash_log.decide(fingerprint, now)
        return decision == crashes_module.Decision.FREE

    def is_blocked(self, fingerprint: int, now: float) -> bool:
        """Whether a copy of a request runs as a canary or may have crashed."""
        if self.runs.is_undecided(fingerprint, canaries_module.HOLD_SECONDS):
            return True
        return self.canaries.is_running(fingerprint, now)

    async def reserve(
        self, progress: progress_module.Progress, replica: types.Replica
    ) -> bool:
        """Reserves a replica for a request; False if it may not run there now.

        After two crashes no copy may run on another node at the same time, so
        the other nodes are notified first. If two nodes notify each other,
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
        """Whether a request may run on a replica now."""
        now = time.monotonic()
        if self.is_blocked(fingerprint, now):
            return False
        decision = self.crash_log.decide(fingerprint, now)
        if decision == crashes_module.Decision.FREE:
            return True
        return self.canaries.is_free(fingerprint, replica.instance, now)

    def record_start(self, run: runs_module.Run) -> None:
        """Records that a request starts to run."""
        decision = self.crash_log.decide(run.fingerprint, time.monotonic())
        if decision != crashes_module.Decision.CANARY:
            self.canaries.end(run.fingerprint, time.monotonic())
            return
        run.is_canary = True
        self.canaries.start(run.fingerprint, run.replica.instance)
        self.notify_peers()

    def record_output(self, run: runs_module.Run) -> None:
        """Records that output of a run was sent to its caller.

        A canary suspected of a single crash gave no output before that crash;
        with output it has passed that point and is a canary no more.
        """
        if run.has_output:
            return
        run.has_output = True
        if run.is_canary and self.crash_log.count(run.fingerprint) <= 1:
            self.end_canary(run)

    def record_completion(self, run: runs_module.Run) -> None:
        """Records that a run has completed."""
        if self.crash_log.count(run.fingerprint) > 1:
            self.store_crashes(run.fingerprint)
        if self.crash_log.completed(run.fingerprint):
            events.log(
                events.SUSPECT_CLEARED,
                fingerprint=fingerprints.to_hex(run.fingerprint),
                instance=run.replica.instance,
            )

    def end_canary(self, run: runs_module.Run) -> None:
        """Records that a run has ended, completed or not."""
        if not run.is_canary:
            return
        run.is_canary = False
        if self.canaries.end(run.fingerprint, time.monotonic()):
            self.notify_peers()

    def record_interruption(self, run: runs_module.Run) -> None:
        """Records that a run was interrupted; a crash may be the cause."""
        if not self.runs.add(run):
            return
        run.is_canary = False
        self.canaries.hold(
            run.fingerprint, run.replica.instance, time.monotonic()
        )
        self.notify_peers()

    def record_survival(self, interrupted: list[runs_module.Run]) -> None:
        """Records that a replica did not crash: its connections were reset."""
        for run in interrupted:
            self.canaries.end(run.fingerprint, time.monotonic())
        self.notify_peers()

    def record_crash(self, crash: runs_module.Crash) -> None:
        """Records a crash that interrupted runs of this node."""
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
        """Logs that a quarantine starts, if it does."""
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

    def updates(self, limit: int) -> crash_updates.UpdateBatch:
        """Updates to send to other nodes next, canaries first.

        All nodes have to know a reservation before its request runs.

        Args:
            limit: Maximum number of entries.
        """
        now = time.monotonic()
        running = []
        for one in self.canaries.updates(self.is_relay(), now, limit):
            left = min(
                canaries_module.LIFETIME_SECONDS, max(0.0, one.until - now)
            )
            running.append(messages.Canary(*one[:-1], left))
        interrupted = []
        for one in self.crash_log.updates(now, limit - len(running)):
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
        return crash_updates.UpdateBatch(interrupted, running, more)

    def merge_suspicions(
        self, suspicions: list[crashes_module.Interrupted], forward: bool
    ) -> bool:
        """Merges suspicions of another node or from the store.

        Args:
            suspicions: Which crash interrupted which request.
            forward: Whether new suspicions are sent to other nodes.

        Returns:
            Whether they put a request into quarantine.
        """
        now = time.monotonic()
        quarantined_any = False
        for suspicion in suspicions:
            quarantined = self.crash_log.merge(suspicion, forward, now)
            self.log_quarantine(
                suspicion.fingerprint, quarantined, suspicion.replica
            )
            quarantined_any |= quarantined
        return quarantined_any

    def merge_message(self, message: messages.CrashUpdate) -> None:
        """Merges the updates sent by another node."""
        suspicions = []
        for one in message.interrupted:
            replica = crashes_module.Incarnation(one.instance, one.started)
            suspicions.append(
                crashes_module.Interrupted(
                    replica, one.fingerprint, one.output, one.cleared
                )
            )
        changed = self.merge_suspicions(suspicions, self.is_relay())
        now = time.monotonic()
        for one in message.canaries:
            canary = canaries_module.Canary(
                one.fingerprint,
                one.owner,
                one.number,
                one.instance,
                now + one.valid_seconds,
            )
            changed |= self.canaries.merge(canary, now)
        if changed and self.is_relay():
            self.notify_peers()
