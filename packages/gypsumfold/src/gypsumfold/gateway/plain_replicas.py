"""Knows the replicas of plain services with the load of all gateways."""

import asyncio
from collections.abc import Callable
import math
import random
import time

from gypsumfold.decisions import plain_loads
from gypsumfold.decisions import plain_placement
from gypsumfold.gateway import directory as directory_module
from gypsumfold.gateway import types

# Seconds between two reports of changes: a report at each change would take
# several times as much of the link.
REPORT_INTERVAL_SECONDS = 0.1


class PlainReplicas:
    """Chooses replicas by the load of all gateways, and counts calls there.

    Attributes:
        notify_change: Called when other nodes should learn this node's loads.

    >>> replica = replicas.choose("app", frozenset())
    >>> call = replicas.begin(replica)
    >>> replicas.end(call)
    """

    def __init__(
        self,
        directory: directory_module.Directory,
        loads: plain_loads.PlainLoads,
        data_centre: str,
        rng: random.Random,
    ):
        self.directory = directory
        self.loads = loads
        self.data_centre = data_centre
        self.rng = rng
        self.notify_change: Callable[[], None] = lambda: None
        self.reported_at = -math.inf
        self.is_report_due = False

    def candidates(
        self, service: str, avoid: frozenset[str], now: float
    ) -> list[plain_placement.Candidate]:
        """Returns the replicas that may be sent a call, with their loads."""
        ready = self.directory.eligible.ready(service, now, avoid)
        return self.with_loads(service, ready, now)

    def responsive_with_loads(
        self, service: str, now: float
    ) -> list[plain_placement.Candidate]:
        """Returns the replicas that respond, with their loads.

        One that has just refused a call of this node is among them. There may
        be none although `directory.eligible.ready` returns some: where all are
        silent, it returns those that may still answer on a new connection.
        """
        return self.with_loads(
            service, self.directory.liveness.responsive(service), now
        )

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

    def choose_free(
        self, service: str, replicas: list[types.Replica]
    ) -> types.Replica | None:
        """Chooses one of some replicas with a free slot; None if none has."""
        free = []
        for one in self.with_loads(service, replicas, time.monotonic()):
            if one.free >= 1:
                free.append(one)
        chosen = plain_placement.choose(free, self.rng)
        if chosen is None:
            return None
        return self.directory.replicas[chosen.instance]

    def begin(self, replica: types.Replica) -> plain_loads.OpenCall:
        """Counts a call that is sent to a replica."""
        self.report_soon()
        return self.loads.begin(
            replica.instance, replica.service, time.monotonic()
        )

    def end(self, call: plain_loads.OpenCall) -> None:
        """Counts the end of a call."""
        self.loads.end(call, time.monotonic())
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
