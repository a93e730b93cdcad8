"""Which replicas to probe, and when."""

import asyncio
import random
import time

from gypsumfold.decisions import backoffs as backoffs_module
from gypsumfold.decisions import reachability as reachability_module
from gypsumfold.decisions import silence as silence_module
from gypsumfold.gateway import types

# Seconds between two probes of a silent replica, at first and at most. Without
# the backoff 73 nodes that probe 18 lost engines ten times a second make 13,000
# calls a second.
FIRST_INTERVAL_SECONDS = 0.1
MAX_INTERVAL_SECONDS = 1.0
# Maximum number of replicas probed in one check; the others follow in the next.
MAX_PROBES_PER_CHECK = 20


class ProbeSchedule:
    """Replicas to probe now or later.

    The replicas and suspects are the directory's, which alone changes them.

    Attributes:
        requests: Replicas to probe at the next check.
        fresh: Those to probe over a new connection.
        requested: Set when there are any requests.
        next_probes: When a suspect is probed next, and the interval after it.

    >>> directory.probes.request("i-1")
    >>> directory.probes.due(now=0.0)
    {'i-1'}
    """

    def __init__(
        self,
        replicas: dict[str, types.Replica],
        suspects: set[str],
        reachability: reachability_module.Reachability,
        silence: silence_module.SilenceDetector,
        backoffs: backoffs_module.Backoffs,
        rng: random.Random,
    ):
        self.replicas = replicas
        self.suspects = suspects
        self.reachability = reachability
        self.silence = silence
        self.backoffs = backoffs
        self.rng = rng
        self.requests: set[str] = set()
        self.fresh: set[str] = set()
        self.requested = asyncio.Event()
        self.next_probes: dict[str, tuple[float, float]] = {}

    def request(self, instance: str) -> None:
        """Has a replica probed at the next liveness check."""
        if instance in self.replicas:
            self.requests.add(instance)
            self.requested.set()

    def request_fresh(self, instance: str) -> None:
        """Has a replica probed over a new connection at the next check."""
        self.fresh.add(instance)
        self.request(instance)

    def reset_interval(self, instance: str) -> None:
        """Has the next probes of a replica start at the shortest interval."""
        self.next_probes.pop(instance, None)

    def forget(self, instance: str) -> None:
        """Drops all state kept for a replica."""
        self.requests.discard(instance)
        self.fresh.discard(instance)
        self.next_probes.pop(instance, None)

    def due(self, now: float) -> set[str]:
        """Returns the replicas to probe now.

        Suspects are probed less and less often. All are probed once it seems
        that this node has lost its links.
        """
        lost = self.suspects | self.reachability.unreachable
        asked = self.requests.union(self.silence.check(now)) - lost
        self.requests.clear()
        self.requested.clear()
        backing_off = {
            one for one in asked if self.backoffs.is_active(one, now)
        }
        self.requests |= backing_off
        asked -= backing_off
        if self.reachability.take_sweep(now):
            others = self.replicas.keys() - lost - backing_off
            self.fresh |= others
            asked |= others
        for instance in lost:
            if self.backoffs.is_active(instance, now):
                continue
            due, pause = self.next_probes.get(
                instance, (now, FIRST_INTERVAL_SECONDS)
            )
            if now >= due:
                asked.add(instance)
                longer = min(2 * pause, MAX_INTERVAL_SECONDS)
                self.next_probes[instance] = (now + pause, longer)
        if len(asked) <= MAX_PROBES_PER_CHECK:
            return asked
        chosen = set(self.rng.sample(sorted(asked), MAX_PROBES_PER_CHECK))
        left = asked - chosen
        self.requests |= left
        for instance in left & lost:
            self.next_probes.pop(instance, None)
        return chosen

    def needs_fresh(self, instance: str) -> bool:
        """Whether a replica is probed over a new connection this time."""
        requested = instance in self.fresh
        self.fresh.discard(instance)
        if requested or instance in self.suspects:
            return True
        return instance in self.reachability.unreachable

    def find_witness(self, instance: str) -> types.Replica | None:
        """Returns another replica that this node should be able to reach."""
        found = []
        for replica in self.replicas.values():
            if replica.instance == instance or replica.draining:
                continue
            if self.backoffs.is_active(replica.instance, time.monotonic()):
                continue
            if replica.instance in self.suspects:
                continue
            if replica.instance not in self.reachability.unreachable:
                found.append(replica)
        return self.rng.choice(found) if found else None
