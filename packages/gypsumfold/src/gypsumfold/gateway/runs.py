"""Runs of requests on replicas, and which of them a crash interrupted.

An answer that ends early does not prove a crash: the network may reset a
connection, and a replica may fail single requests. A replica has crashed if
nothing listens at its address any more, another process does, or its entry is
removed.
"""

from collections.abc import Callable
import time

from gypsumfold import events
from gypsumfold.gateway import directory as directory_module
from gypsumfold.gateway import fingerprints
from gypsumfold.gateway import types

# An interrupted run is dropped after this time if it is still not known whether
# its replica crashed: longer than the entry of a crashed replica is kept.
UNDECIDED_TIMEOUT_SECONDS = 8.0


class Run:
    """One request on one replica.

    Attributes:
        fingerprint: Fingerprint of the request.
        parts: Fingerprints of the parts of its prompt that others may share.
        replica: Replica that runs it.
        is_prefill: Whether only its prefill runs there.
        has_output: Whether output of this run was sent to the caller.
        output_at: Time of the first output; None before that.
        suspects: The subjects for which it runs as the only suspected request
            on its replica; empty if it does not.
        was_canary: Whether it did when it was interrupted.
        interrupted_at: Time when its answer was interrupted; None before
            that.
    """

    def __init__(
        self,
        fingerprint: int,
        parts: tuple[int, ...],
        replica: types.Replica,
        is_prefill: bool,
    ):
        self.fingerprint = fingerprint
        self.parts = parts
        self.replica = replica
        self.is_prefill = is_prefill
        self.has_output = False
        self.output_at: float | None = None
        self.suspects: tuple[int, ...] = ()
        self.was_canary = False
        self.interrupted_at: float | None = None

    @property
    def subjects(self) -> tuple[int, ...]:
        """What may be at fault if its replica crashes, the parts first."""
        return (*self.parts, self.fingerprint)


class Crash:
    """A crashed replica, with the runs of this node that it interrupted."""

    def __init__(self, replica: types.Replica, runs: list[Run]):
        self.replica = replica
        self.runs = runs


class InterruptedRuns:
    """Interrupted runs, until it is known whether their replica crashed.

    Attributes:
        crash_listeners: Called with each crash.
        survival_listeners: Called with the interrupted runs of a replica that
            did not crash.

    >>> runs = InterruptedRuns(directory)
    >>> run = Run(fingerprint, parts, replica, is_prefill=False)
    >>> runs.add(run)
    """

    def __init__(self, directory: directory_module.Directory):
        self.directory = directory
        self.undecided: dict[str, list[Run]] = {}
        self.crash_listeners: list[Callable[[Crash], None]] = []
        self.survival_listeners: list[Callable[[list[Run]], None]] = []
        directory.has_interrupted_runs = self.undecided.__contains__
        directory.crash_listeners.append(self.record_crash)
        directory.removal_listeners.append(self.record_crash)
        directory.alive_listeners.append(self.record_alive)

    def add(self, run: Run) -> bool:
        """Adds a run whose answer was interrupted.

        A draining replica closes its connections as planned, so its runs are
        not added.

        Returns:
            Whether a crash may have interrupted it.
        """
        instance = run.replica.instance
        known = self.directory.replicas.get(instance)
        if known is None or known.draining:
            return False
        run.interrupted_at = time.monotonic()
        self.undecided.setdefault(instance, []).append(run)
        return True

    def is_undecided(self, subject: int, max_age: float) -> bool:
        """Whether it is still unknown if a crash interrupted a request.

        Args:
            subject: The request's fingerprint, or that of a part of its prompt.
            max_age: Seconds after an interruption for which this counts.
        """
        start = time.monotonic() - max_age
        for runs in self.undecided.values():
            for run in runs:
                if subject in run.subjects and run.interrupted_at >= start:
                    return True
        return False

    def expire(self, instance: str) -> None:
        """Drops the runs of a replica that were interrupted too long ago."""
        start = time.monotonic() - UNDECIDED_TIMEOUT_SECONDS
        kept = []
        for run in self.undecided[instance]:
            if run.interrupted_at >= start:
                kept.append(run)
        self.undecided[instance] = kept
        if not kept:
            del self.undecided[instance]

    def record_alive(self, instance: str) -> None:
        """Records that a replica answers: only its connections were reset."""
        runs = self.undecided.pop(instance, None)
        if runs is None:
            return
        for listener in self.survival_listeners:
            listener(runs)

    def record_crash(self, replica: types.Replica) -> None:
        """Records that a replica has crashed or was removed."""
        instance = replica.instance
        if instance not in self.undecided:
            return
        self.expire(instance)
        runs = self.undecided.pop(instance, [])
        known = self.directory.replicas.get(instance, replica)
        if not runs or known.draining:
            return
        requests = []
        parts = set()
        for run in runs:
            requests.append(fingerprints.to_hex(run.fingerprint))
            if run.has_output or run.is_prefill:
                continue
            parts.update(fingerprints.to_hex(part) for part in run.parts)
        events.log(
            events.REPLICA_CRASHED,
            instance=instance,
            service=replica.service,
            seconds=round(time.monotonic() - runs[0].interrupted_at, 3),
            requests=requests,
            silent=sum(not run.has_output for run in runs),
            silent_parts=sorted(parts),
        )
        for listener in self.crash_listeners:
            listener(Crash(replica, runs))
