"""Selects the replicas that may take a request now."""

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

# A request is long above this multiple of the geometric mean length, which a
# few long requests change little.
LONG_FACTOR = 4.0
# Long requests are held back for this time after the last short one.
SHORT_SEEN_SECONDS = 5.0


class Components(NamedTuple):
    """The decision components of a scheduler."""

    queue: queues.Queue
    admission: admission.Admission
    placement: placement.Placement
    limits: limits.Limits
    outliers: outliers.Outliers
    reentry: recovery.ReentryOrder
    loads: loads.Loads
    estimator: estimates.Estimator


class RequestLengths:
    """Classifies the requests of a service as long or short.

    >>> lengths = RequestLengths()
    >>> lengths.add(1.0)
    >>> lengths.is_long(10.0)
    True
    """

    def __init__(self):
        self.log_mean: float | None = None
        self.last_short = -math.inf

    def add(self, work: float) -> None:
        """Updates the mean with a request that takes this many seconds."""
        if work <= 0:
            return
        length = math.log(work)
        if self.log_mean is None:
            self.log_mean = length
        self.log_mean = estimates.smooth(self.log_mean, length)

    def is_long(self, work: float) -> bool:
        """Whether a request is much longer than the mean."""
        if self.log_mean is None or work <= 0:
            return False
        return math.log(work) > self.log_mean + math.log(LONG_FACTOR)

    def has_recent_short(self, now: float) -> bool:
        """Whether a short request arrived recently."""
        return now - self.last_short < SHORT_SEEN_SECONDS


class Selection:
    """The replicas of a service, and which of them have free capacity.

    >>> Selection(components).candidates(turn, now=0.0)
    []
    """

    def __init__(self, components: Components):
        self.components = components
        self.replicas: dict[str, types.Replica] = {}
        self.lengths = RequestLengths()

    def candidates(
        self, turn: queues.Turn, now: float
    ) -> list[placement.Candidate]:
        """Replicas that can serve the request, with or without capacity."""
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
            has_capacity = self.components.limits.has_capacity(
                replica, scaled_load(load, weight), turn.urgency, long
            )
            capacity = self.components.limits.capacity(replica, load)
            found.append(
                placement.Candidate(
                    replica, load, capacity, weight, has_capacity
                )
            )
        return found

    def is_long_held_back(self, now: float) -> bool:
        """Whether long requests must leave capacity for short ones.

        A node may always run one long request, however busy short ones keep
        the replicas.
        """
        if not self.lengths.has_recent_short(now):
            return False
        loads_now = self.components.loads
        return any(
            loads_now.view(replica, now).long
            for replica in self.replicas.values()
        )

    def has_long_capacity(self, now: float) -> bool:
        """Whether any replica has capacity for a long request."""
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
        """The open replicas that serve the request's model.

        Prefill engines are returned only if there are no others, and so are
        replicas on which the request failed before.
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
        """Chooses the engine that prefills for the chosen one; empty for none.

        For a decode engine this is the prefill engine with the shortest prompt
        backlog; for a mixed one, only if that is shorter than its own.
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
        """Seconds of prompts waiting at an engine; infinite if unknown."""
        if replica.report is None:
            return math.inf
        load = self.components.loads.view(replica, now)
        if not load.fresh:
            return math.inf
        return load.prefill_tokens / max(1.0, replica.report.prefill_rate)

    def any_report(self, request: types.Request) -> types.Report | None:
        """Report of some replica that can serve the request, if any."""
        for replica in self.matching(request):
            if replica.report is not None:
                return replica.report
        return None

    def report_overdue(self, now: float) -> None:
        """Reports to outlier detection how overdue each replica's work is."""
        ratios: dict[str, list[float]] = {name: [] for name in self.replicas}
        for entry in self.components.loads.in_flight.values():
            if entry.expected > 0 and entry.replica in ratios:
                age = now - entry.sent
                ratios[entry.replica].append(age / entry.expected)
        for name, found in ratios.items():
            late = sum(found) / len(found) if found else 0.0
            self.components.outliers.overdue(name, late)


def scaled_load(load: loads.Load, weight: float) -> loads.Load:
    """Load relative to the capacity of a replica slower than its peers."""
    return load._replace(
        occupied=int(load.occupied / weight), own=int(load.own / weight)
    )
