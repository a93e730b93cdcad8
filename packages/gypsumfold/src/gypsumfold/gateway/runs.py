"""Requests in progress at replicas, and those that a crash interrupted.

An answer that breaks off says little of its replica: a connection may be
reset on the way, and a replica may fail single requests. It crashed if
nothing listens at its address any more, another process does, or its entry
goes.
"""

from collections.abc import Callable
import time

from gypsumfold import events
from gypsumfold.gateway import directory as directory_module
from gypsumfold.gateway import fingerprints
from gypsumfold.gateway import types

# Seconds after which an interrupted run whose replica's fate is not known is
# forgotten: longer than the entry of a crashed replica stays.
UNDECIDED_TIMEOUT_SECONDS = 8.0


class Run:
    """One request at one replica.

    Attributes:
        fingerprint: The request's identity.
        replica: Where it runs.
        reading: Whether just its prompt is read there.
        output: Whether output of it went to the caller.
        canary: Whether it runs as the only suspect on its replica.
        broken_at: When its answer broke off; None before that.
    """

    def __init__(
        self, fingerprint: int, replica: types.Replica, is_prefill: bool
    ):
        self.fingerprint = fingerprint
        self.replica = replica
        self.is_prefill = is_prefill
        self.has_output = False
        self.is_canary = False
        self.interrupted_at: float | None = None


class Crash:
    """A replica that ended, with this node's runs that it interrupted."""

    def __init__(self, replica: types.Replica, runs: list[Run]):
        self.replica = replica
        self.runs = runs


class InterruptedRuns:
    """Decides which interrupted runs a crash of their replica interrupted.

    Attributes:
        listeners: Called with each crash.
        survived: Called with the interrupted runs of a replica that lives.

    >>> runs = Runs(directory)
    >>> run = Run(fingerprint, replica, is_prefill=False)
    >>> runs.interrupted(run)
    """

    def __init__(self, directory: directory_module.Directory):
        self.directory = directory
        self.undecided: dict[str, list[Run]] = {}
        self.crash_listeners: list[Callable[[Crash], None]] = []
        self.survival_listeners: list[Callable[[list[Run]], None]] = []
        directory.crash_listeners.append(self.record_crash)
        directory.removal_listeners.append(self.record_crash)
        directory.alive_listeners.append(self.record_alive)

    def add(self, run: Run) -> bool:
        """Takes in a run whose answer broke off.

        A replica that leaves ends its connections by plan.

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

    def is_undecided(self, fingerprint: int, max_age: float) -> bool:
        """Whether it is open if a crash has just interrupted a request.

        Args:
            fingerprint: The request.
            max_age: Seconds after an interruption for which this counts.
        """
        start = time.monotonic() - max_age
        for runs in self.undecided.values():
            for run in runs:
                if (
                    run.fingerprint == fingerprint
                    and run.interrupted_at >= start
                ):
                    return True
        return False

    def expire(self, instance: str) -> None:
        """Forgets the runs of a replica that were interrupted long ago."""
        start = time.monotonic() - UNDECIDED_TIMEOUT_SECONDS
        kept = []
        for run in self.undecided[instance]:
            if run.interrupted_at >= start:
                kept.append(run)
        self.undecided[instance] = kept
        if not kept:
            del self.undecided[instance]

    def record_alive(self, instance: str) -> None:
        """Notes that a replica answers: its connections were reset."""
        runs = self.undecided.pop(instance, None)
        if runs is None:
            return
        for listener in self.survival_listeners:
            listener(runs)

    def record_crash(self, replica: types.Replica) -> None:
        """Notes that a replica has ended."""
        instance = replica.instance
        if instance not in self.undecided:
            return
        self.expire(instance)
        runs = self.undecided.pop(instance, [])
        known = self.directory.replicas.get(instance, replica)
        if not runs or known.draining:
            return
        requests = []
        for run in runs:
            requests.append(fingerprints.to_hex(run.fingerprint))
        events.log(
            events.REPLICA_CRASHED,
            instance=instance,
            service=replica.service,
            seconds=round(time.monotonic() - runs[0].interrupted_at, 3),
            requests=requests,
            silent=sum(not run.has_output for run in runs),
        )
        for listener in self.crash_listeners:
            listener(Crash(replica, runs))
