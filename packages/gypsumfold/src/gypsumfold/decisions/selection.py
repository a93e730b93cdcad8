"""Which replicas may take a request now, of those that are declared."""

import math
from typing import NamedTuple

from gypsumfold.decisions import admission
from gypsumfold.decisions import estimates
from gypsumfold.decisions import limits
from gypsumfold.decisions import loads
from gypsumfold.decisions import outliers
from gypsumfold.decisions import placement
from gypsumfold.decisions import queues
from gypsumfold.decisions import recovery
from gypsumfold.decisions import types

# Times the geometric mean length, which a few long ones move little, above
# which a request is long.
LONG_FACTOR = 4.0
# Seconds within which a short request must have come for long ones to be
# held back.
SHORT_SEEN_SECONDS = 5.0


class Components(NamedTuple):
    """The decisions that a scheduler is composed of."""

    queue: queues.Queue
    admission: admission.Admission
    placement: placement.Placement
    limits: limits.Limits
    outliers: outliers.Outliers
    reentry: recovery.ReentryOrder
    loads: loads.Loads
    estimator: estimates.Estimator


class RequestLengths:
    """Tells the long requests of a service from the short ones.

    >>> lengths = Lengths()
    >>> lengths.add(1.0)
    >>> lengths.long(10.0)
    True
    """

    def __init__(self):
        self.log_mean: float | None = None
        self.last_short = -math.inf

    def add(self, work: float) -> None:
        """Learns from a request that takes so many seconds."""
        if work <= 0:
            return
        length = math.log(work)
        if self.log_mean is None:
            self.log_mean = length
        self.log_mean = estimates.smooth(self.log_mean, length)

    def is_long(self, work: float) -> bool:
        """Whether this is much longer than the mean."""
        if self.log_mean is None or work <= 0:
            return False
        return math.log(work) > self.log_mean + math.log(LONG_FACTOR)

    def has_recent_short(self, now: float) -> bool:
        """Whether short requests come at the moment."""
        return now - self.last_short < SHORT_SEEN_SECONDS


class Selection:
    """The replicas of a service, and which of them have room.

    >>> Selection(parts).candidates(turn, now=0.0)
    []
    """

    def __init__(self, components: Components):
        self.components = components
        self.replicas: dict[str, types.Replica] = {}
        self.lengths = RequestLengths()

    def candidates(
        self, turn: queues.Turn, now: float
    ) -> list[placement.Candidate]:
        """The replicas that serve the request, with room for it or not."""
        request = turn.item.request
        long = turn.item.long and self.is_long_held_back(now)
        found = []
        for replica in self.matching(request):
            load = self.components.loads.view(replica, now)
            weight = self.components.outliers.weight(replica.name)
            if not self.components.outliers.allowed(
                replica.name, load.own, now
            ):
                continue
            room = self.components.limits.has_capacity(
                replica, scaled_load(load, weight), turn.urgency, long
            )
            capacity = self.components.limits.capacity(replica, load)
            found.append(
                placement.Candidate(replica, load, capacity, weight, room)
            )
        return found

    def is_long_held_back(self, now: float) -> bool:
        """Whether long requests must leave room for short ones.

        A node may always have one of them running, however busy the short
        ones keep the replicas.
        """
        if not self.lengths.has_recent_short(now):
            return False
        loads_now = self.components.loads
        return any(
            loads_now.view(replica, now).long
            for replica in self.replicas.values()
        )

    def has_long_capacity(self, now: float) -> bool:
        """Whether any replica has room for a long request."""
        if not self.is_long_held_back(now):
            return True
        for replica in self.replicas.values():
            load = self.components.loads.view(replica, now)
            if replica.open and self.components.limits.has_capacity(
                replica, load, urgency=0, long=True
            ):
                return True
        return False

    def matching(self, request: types.Request) -> list[types.Replica]:
        """The open replicas that serve the request's model and decode.

        Those that failed it before are left out while there are others.
        """
        found = []
        prefill_only = []
        for replica in self.replicas.values():
            if not replica.open:
                continue
            if request.model and request.model not in replica.models:
                continue
            if replica.role == types.Role.PREFILL:
                prefill_only.append(replica)
                continue
            found.append(replica)
        found = found or prefill_only
        fresh = [one for one in found if one.name not in request.avoid]
        return fresh or found

    def choose_prefill(
        self, request: types.Request, chosen: types.Replica, now: float
    ) -> str:
        """The engine that processes the prompt for the chosen one, if any.

        For a decode engine the prefill engine with the least to do; for a
        mixed one only if that has less to do than the chosen one itself.
        """
        least = math.inf
        if chosen.role == types.Role.MIXED:
            least = self.prefill_backlog(chosen, now)
        best = ""
        for replica in self.replicas.values():
            if not replica.open or replica.role != types.Role.PREFILL:
                continue
            if request.model not in replica.models or replica == chosen:
                continue
            backlog = self.prefill_backlog(replica, now)
            if backlog < least:
                best, least = replica.name, backlog
        if best:
            self.components.loads.prefill_sent(best, request.prompt_tokens, now)
        return best

    def prefill_backlog(self, replica: types.Replica, now: float) -> float:
        """Seconds of prompts that wait at an engine; infinite if unknown."""
        if replica.report is None:
            return math.inf
        load = self.components.loads.view(replica, now)
        if not load.fresh:
            return math.inf
        return load.prefill_tokens / max(1.0, replica.report.prefill_rate)

    def any_report(self, request: types.Request) -> types.Report | None:
        """Any report of a replica that could serve the request."""
        for replica in self.matching(request):
            if replica.report is not None:
                return replica.report
        return None

    def report_overdue(self, now: float) -> None:
        """Tells the outlier rule how late the work of each replica is."""
        ratios: dict[str, list[float]] = {name: [] for name in self.replicas}
        for entry in self.components.loads.in_flight.values():
            if entry.expected > 0 and entry.replica in ratios:
                age = now - entry.sent
                ratios[entry.replica].append(age / entry.expected)
        for name, found in ratios.items():
            late = sum(found) / len(found) if found else 0.0
            self.components.outliers.overdue(name, late)


def scaled_load(load: loads.Load, weight: float) -> loads.Load:
    """The load as it weighs on a replica that is slower than its peers."""
    return load._replace(
        occupied=int(load.occupied / weight), own=int(load.own / weight)
    )
