"""Keeps requests that crash replicas away from the replicas.

`decisions/crashes.py` decides which requests these are, `decisions/canaries.py`
where suspected requests may run. What this node observes is sent to the other
nodes; what has to survive a power failure of all nodes is written to the store.
"""

import asyncio
from collections.abc import Callable
import functools
import math
import random
import time

from gypsumfold import clocks
from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold import outcomes
from gypsumfold.decisions import canaries as canaries_module
from gypsumfold.decisions import crash_types
from gypsumfold.decisions import crashes as crashes_module
from gypsumfold.decisions import routes
from gypsumfold.decisions import subjects
from gypsumfold.gateway import crash_messages
from gypsumfold.gateway import fingerprints
from gypsumfold.gateway import progress as progress_module
from gypsumfold.gateway import runs as runs_module
from gypsumfold.gateway import suspect_events
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
# Seconds for which a run gives output until the parts of its prompt count as
# sound: a part that crashes replicas does so when an answer begins.
SOUND_AFTER_SECONDS = 1.0

# Chooses a replica among those for which a check holds.
Choose = Callable[[Callable[[types.Replica], bool]], types.Replica | None]


class Quarantine:
    """Decides whether and where a request may run, from its previous crashes.

    Attributes:
        notify_peers: Called if updates for other nodes are to be sent at once.
        is_relay: Whether this node forwards updates of other nodes.
        propagation_time: Seconds until an update has reached all nodes.
        store_crashes: Called with a subject whose crashes are to be written
            to the store.
        refused: Number of requests refused since the start.

    >>> quarantine = Quarantine(runs)
    >>> quarantine.admit(progress)
    >>> replica = await quarantine.place(progress, route, choose)
    """

    def __init__(self, runs: runs_module.InterruptedRuns):
        self.runs = runs
        self.crash_log = crashes_module.CrashLog()
        self.canaries = canaries_module.Canaries(random.getrandbits(32))
        self.refused = 0
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
        judgement = self.crash_log.judge(progress.subjects, now)
        if judgement.cause is None:
            return
        self.refused += 1
        events.log(
            events.REQUEST_QUARANTINED,
            request=progress.call.id,
            fingerprint=fingerprints.to_hex(progress.fingerprint),
            cause=fingerprints.to_hex(judgement.cause),
            part=subjects.is_part(judgement.cause),
            crashes=self.crash_log.count(judgement.cause),
            seconds=round(judgement.until - now, 3),
        )
        if progress.answer_started:
            raise exceptions.AnswerAbandoned("the request crashes replicas")
        if progress.may_have_run:
            raise progress.final_error()
        raise exceptions.RequestQuarantined(
            "the request has crashed the replicas that ran it",
            outcomes.Outcome.NOT_RUN,
            judgement.until - now,
        )

    async def place(
        self,
        progress: progress_module.Progress,
        route: routes.Route,
        choose: Choose,
    ) -> types.Replica | None:
        """Waits until a request may run on the replica that is chosen then.

        While another request with the same parts is the canary of a software
        version, the request runs on a replica of a version that has answered
        them.

        Args:
            progress: Progress of the request.
            route: Its route.
            choose: Chooses among the replicas that fit; returns None if there
                is none.

        Raises:
            exceptions.RequestError: It may not run soon enough.
            exceptions.AnswerAbandoned: It may not run soon enough, and its
                answer has started.
        """
        replica = choose(lambda replica: True)
        if replica is None or self.is_unsuspected(progress, replica):
            return replica
        started = time.monotonic()
        age = 0.0
        if not progress.answer_started:
            age = started - progress.call.arrival
        max_hold = MAX_HOLD_FRACTION * route.remaining_wait(
            progress.time_left(), age
        )
        while replica is not None:
            crashes = self.most_crashes(progress.subjects)
            if await self.reserve(progress, replica):
                held = time.monotonic() - started
                suspect_events.log_held(progress, crashes, held, True)
                return replica
            other = choose(functools.partial(self.is_unsuspected, progress))
            if other is not None:
                return other
            await asyncio.sleep(POLL_INTERVAL * random.uniform(0.5, 1.5))
            self.admit(progress)
            replica = choose(lambda replica: True)
            held = time.monotonic() - started
            if held >= max_hold:
                suspect_events.log_held(progress, crashes, held, False)
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
        suspicions = []
        for subject in progress.subjects:
            suspicions = max(
                suspicions, self.crash_log.suspicions(subject), key=len
            )
        if len(suspicions) < crashes_module.MAX_CRASHES - 1:
            return False
        crashed = {suspicion.instance for suspicion in suspicions}
        left = 0
        for engine in engines:
            left += engine.instance not in crashed | progress.avoid
        return left <= 1

    def most_crashes(self, subjects_held: tuple[int, ...]) -> int:
        """Counts the crashes of the most suspected of some subjects."""
        return max(self.crash_log.count(subject) for subject in subjects_held)

    def is_unsuspected(
        self,
        progress: progress_module.Progress,
        replica: types.Replica | None = None,
    ) -> bool:
        """Whether a request may be sent to a replica; to any one if None."""
        now = time.monotonic()
        version = fingerprints.version_of(replica)
        for subject in progress.subjects:
            if self.is_blocked(subject, now, version):
                return False
        judgement = self.crash_log.judge(progress.subjects, now, version)
        return judgement.decision == crash_types.Decision.FREE

    def is_blocked(self, subject: int, now: float, version: int) -> bool:
        """Whether a copy of a subject runs as a canary or may have crashed."""
        if self.crash_log.sound.is_sound(subject, version):
            return False
        known = self.crash_log.sound.is_known(subject)
        if known and not self.crash_log.suspicions(subject):
            return False
        if self.runs.is_undecided(subject, canaries_module.HOLD_SECONDS):
            return True
        return self.canaries.is_running(subject, now)

    async def reserve(
        self, progress: progress_module.Progress, replica: types.Replica
    ) -> bool:
        """Reserves a replica for a request; False if it may not run there now.

        No copy of a suspected part may run on another node at the same time,
        nor one of a request after two crashes, so the other nodes are notified
        first. If two nodes notify each other, one waits and tries again.

        Raises:
            exceptions.RequestError: As `admit`.
            exceptions.AnswerAbandoned: As `admit`.
        """
        if not self.can_run(progress, replica):
            return False
        now = time.monotonic()
        suspects = self.crash_log.judge(
            progress.subjects, now, fingerprints.version_of(replica)
        ).suspects
        if not self.needs_reservation(suspects):
            return True
        for subject in suspects:
            self.canaries.reserve(subject, replica.instance)
        self.notify_peers()
        # The others drop a reservation that is not renewed, as that of a node
        # which is frozen or suspended, and know of the run a moment later.
        propagation = self.propagation_time()
        expires_at = (
            clocks.now() + canaries_module.LIFETIME_SECONDS - propagation
        )
        alone = False
        try:
            await asyncio.sleep(propagation)
            now = time.monotonic()
            self.admit(progress)
            alone = (
                clocks.now() < expires_at
                and self.runs.directory.eligible.is_usable(replica.instance)
            )
            for subject in suspects:
                if self.canaries.must_yield(subject, now):
                    alone = False
        finally:
            if not alone:
                self.end_canaries(suspects, replica)
        return alone

    def needs_reservation(self, suspects: tuple[int, ...]) -> bool:
        """Whether no copy of a suspect may run anywhere else."""
        for subject in suspects:
            if subjects.is_part(subject):
                return True
            if self.crash_log.count(subject) >= crashes_module.MAX_CRASHES - 1:
                return True
        return False

    def can_run(
        self, progress: progress_module.Progress, replica: types.Replica
    ) -> bool:
        """Whether a request may run on a replica now."""
        now = time.monotonic()
        version = fingerprints.version_of(replica)
        for subject in progress.subjects:
            if self.is_blocked(subject, now, version):
                return False
        judgement = self.crash_log.judge(progress.subjects, now, version)
        if not judgement.suspects:
            return True
        return self.canaries.is_unused(replica.instance, now)

    def record_start(self, run: runs_module.Run) -> None:
        """Records that a request starts to run."""
        now = time.monotonic()
        run.suspects = self.crash_log.judge(
            run.subjects, now, fingerprints.version_of(run.replica)
        ).suspects
        for subject in run.subjects:
            if subject in run.suspects:
                self.canaries.start(subject, run.replica.instance)
                continue
            # It may have been cleared since it was reserved.
            self.canaries.end(subject, now, run.replica.instance)
        if run.suspects:
            self.notify_peers()

    def record_output(self, run: runs_module.Run) -> None:
        """Records that output of a run was sent to its caller.

        A canary suspected of a single crash gave no output before that crash;
        with output it has passed that point and is a canary no more. Parts
        count as sound once the run has gone on for a while.
        """
        now = time.monotonic()
        if run.output_at is not None:
            if run.output_at <= now - SOUND_AFTER_SECONDS:
                run.output_at = math.inf
                self.record_sound_parts(run)
            return
        run.output_at = now
        run.has_output = True
        if run.suspects and self.most_crashes(run.suspects) <= 1:
            self.end_canary(run)

    def record_sound_parts(self, run: runs_module.Run) -> None:
        """Records that a run has passed the point at which parts crash.

        It is no canary for these parts any more: nodes that have not seen them
        answered would wait for its end, however long its answer is.
        """
        version = fingerprints.version_of(run.replica)
        if not version:
            return
        self.end_canary(run, run.parts)
        for part in run.parts:
            crashes = self.crash_log.answered(part, version)
            if not crashes:
                continue
            if crashes > 1:
                self.store_crashes(part)
            suspect_events.log_cleared(part, run.replica)
            self.notify_peers()

    def record_completion(self, run: runs_module.Run) -> None:
        """Records that a run has completed."""
        if run.has_output:
            self.record_sound_parts(run)
        if self.crash_log.count(run.fingerprint) > 1:
            self.store_crashes(run.fingerprint)
        if self.crash_log.completed(run.fingerprint):
            suspect_events.log_cleared(run.fingerprint, run.replica)

    def end_canary(
        self, run: runs_module.Run, cleared: tuple[int, ...] | None = None
    ) -> None:
        """Records that a run is no canary any more.

        Args:
            run: The run.
            cleared: The subjects for which it is none; None for all.
        """
        ended = run.suspects
        if cleared is not None:
            ended = tuple(one for one in run.suspects if one in cleared)
        run.suspects = tuple(one for one in run.suspects if one not in ended)
        self.end_canaries(ended, run.replica)

    def end_canaries(
        self, suspects: tuple[int, ...], replica: types.Replica
    ) -> None:
        """Ends canaries and holds of this node at a replica.

        A request that was placed and isn't sent has to end its own, as other
        requests with the same parts wait for that.
        """
        now = time.monotonic()
        ended = False
        for subject in suspects:
            ended |= self.canaries.end(subject, now, replica.instance)
        if ended:
            self.notify_peers()

    def record_interruption(self, run: runs_module.Run) -> None:
        """Records that a run was interrupted; a crash may be the cause."""
        if not self.runs.add(run):
            return
        run.was_canary = bool(run.suspects)
        # A part that has become sound is not held below, and its canary would
        # run forever.
        self.end_canary(run)
        now = time.monotonic()
        version = fingerprints.version_of(run.replica)
        for subject in run.subjects:
            if self.crash_log.sound.is_sound(subject, version):
                continue
            if run.is_prefill and subjects.is_part(subject):
                continue
            self.canaries.hold(subject, run.replica.instance, now)
        self.notify_peers()

    def record_survival(self, interrupted: list[runs_module.Run]) -> None:
        """Records that a replica did not crash: its connections were reset."""
        for run in interrupted:
            self.end_canaries(run.subjects, run.replica)

    def record_crash(self, crash: runs_module.Crash) -> None:
        """Records a crash that interrupted runs of this node.

        What is most likely its cause goes first, as the number of suspects of a
        crash is bounded.
        """
        silent = []
        others = []
        for run in crash.runs:
            self.end_canaries(run.subjects, run.replica)
            later = run.has_output or run.is_prefill
            (others if later else silent).append(run)
        for run in silent + others:
            self.record_suspects(run)
        self.notify_peers()

    def record_suspects(self, run: runs_module.Run) -> None:
        """Records that the subjects of a run may have crashed its replica."""
        replica = crash_types.Incarnation(
            run.replica.instance, run.replica.started_at
        )
        version = fingerprints.version_of(run.replica)
        for subject in run.subjects:
            if run.is_prefill and subjects.is_part(subject):
                continue
            quarantined = self.crash_log.interrupted(
                replica,
                subject,
                run.has_output or run.is_prefill,
                time.monotonic(),
                run.was_canary,
                version,
            )
            if quarantined:
                suspect_events.log_quarantine(
                    subject, replica, self.crash_log.suspicions(subject)
                )
            if self.crash_log.count(subject) > 1:
                self.store_crashes(subject)

    def updates(self, limit: int) -> crash_updates.UpdateBatch:
        """Updates to send to other nodes next, canaries first.

        All nodes have to know a reservation before its request runs.

        Args:
            limit: Maximum number of entries.
        """
        now = time.monotonic()
        running = []
        for one in self.canaries.updates(self.is_relay(), now, limit):
            running.append(crash_messages.from_canary(one, now))
        interrupted = []
        for one in self.crash_log.updates(now, limit - len(running)):
            interrupted.append(crash_messages.from_suspicion(one))
        more = bool(self.crash_log.pending_sends or self.canaries.pending_sends)
        return crash_updates.UpdateBatch(interrupted, running, more)

    def merge_suspicions(
        self, suspicions: list[crash_types.Interrupted], forward: bool
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
            if not quarantined:
                continue
            quarantined_any = True
            suspect_events.log_quarantine(
                suspicion.fingerprint,
                suspicion.replica,
                self.crash_log.suspicions(suspicion.fingerprint),
            )
        return quarantined_any

    def merge_message(self, message: messages.CrashUpdate) -> None:
        """Merges the updates sent by another node."""
        suspicions = []
        for one in message.interrupted:
            suspicions.append(crash_messages.to_suspicion(one))
        changed = self.merge_suspicions(suspicions, self.is_relay())
        now = time.monotonic()
        for one in message.canaries:
            canary = crash_messages.to_canary(one, now)
            changed |= self.canaries.merge(canary, now)
        if changed and self.is_relay():
            self.notify_peers()
