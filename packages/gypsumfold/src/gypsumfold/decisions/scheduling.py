"""The scheduler that the real path uses: all decisions of one service.

It composes admission, fairness, placement, limits, outliers and recovery;
each of them states the load pattern that it answers. Work waits here, where
it can still be refused, reordered and sent elsewhere, and not in the
engines.
"""

import math
import random
from typing import NamedTuple

from gypsumfold.decisions import admission
from gypsumfold.decisions import estimates
from gypsumfold.decisions import fairness
from gypsumfold.decisions import limits
from gypsumfold.decisions import loads
from gypsumfold.decisions import outliers
from gypsumfold.decisions import placement
from gypsumfold.decisions import recovery
from gypsumfold.decisions import types

# Times the geometric mean length, which a few long ones move little, of the
LONG = 4.0
# Seconds within which a short request must have come for long ones to be
# held back.
SHORT_SEEN = 5.0
# Seconds for which work waits while no replica is open at all: a replica
# that restarts or changes its role is often back by then.
GRACE = 1.0
# Waiting requests that are tried in one go; more only matter where the first
# ones are for models that have no room.
SCAN = 64
# Seconds over which a node's demand is remembered: a few digests of half a
# second, so that shares follow a caller who moves to another node.
DEMAND_MEMORY = 2.0
# A node's share of free slots is at least this part of an equal one: a node
# without demand until now must be able to start.
LEAST_SHARE = 0.5


class Policy(NamedTuple):
    """What the decisions of one service on one node depend on.

    Attributes:
        data_centre: Where this node stands.
        most_waiting: Requests that may wait here at once. Each holds a
            caller's connection of about 50 KB; 512 are 25 MB.
    """

    data_centre: str = ""
    most_waiting: int = 512


class Parts(NamedTuple):
    """The decisions that a scheduler is composed of."""

    queue: fairness.Queue
    admission: admission.Admission
    placement: placement.Placement
    limits: limits.Limits
    outliers: outliers.Outliers
    reentry: recovery.Reentry
    loads: loads.Loads
    estimator: estimates.Estimator


def parts(policy: Policy, rng: random.Random) -> Parts:
    """The parts that the real path uses."""
    return Parts(
        queue=fairness.FairQueue(),
        admission=admission.DeadlineAdmission(policy.most_waiting, rng),
        placement=placement.TwoChoices(policy.data_centre, rng),
        limits=limits.AdaptiveLimits(rng),
        outliers=outliers.PeerOutliers(rng),
        reentry=recovery.ByArrival(),
        loads=loads.CorrectedLoads(),
        estimator=estimates.LearntEstimator(),
    )


class PolicyScheduler:
    """Admits, queues and places the requests of one service.

    >>> scheduler = PolicyScheduler(Policy("north-apron"), random.Random(1))
    >>> scheduler.update(replicas, now=0.0)
    []
    >>> scheduler.offer(request, now=0.0)
    [Dispatch(...)]
    """

    def __init__(
        self,
        policy: Policy,
        rng: random.Random,
        composed: Parts | None = None,
    ):
        self.policy = policy
        self.parts = composed or parts(policy, rng)
        self.replicas: dict[str, types.Replica] = {}
        self.closed_since: float | None = None
        self.mean_length: float | None = None
        self.short_seen = float("-inf")
        self.offered = 0.0
        self.offered_at = 0.0

    def offer(self, request: types.Request, now: float) -> list[types.Action]:
        """Takes a new request in and returns what to do now."""
        item = self.item(request, now)
        self.learn_length(item, now)
        self.offered = self.demand(now) + item.cost / DEMAND_MEMORY
        self.parts.queue.push(item, now)
        actions = self.pump(now)
        if request.id not in self.parts.queue.waiting:
            return actions
        outlook = self.outlook(item, now)
        if not self.parts.admission.feasible(outlook):
            wait = (outlook.ahead + item.work) / max(1, outlook.slots)
            return [*actions, self.refuse(item, "its deadline", wait)]
        if self.parts.admission.full(len(self.parts.queue.waiting)):
            victim = self.parts.queue.victim(now)
            actions.append(self.refuse(victim, "too many wait", self.drain()))
        return actions

    def withdraw(self, request_id: str, now: float) -> list[types.Action]:
        """Forgets a request that still waits: its caller has gone."""
        self.parts.queue.remove(request_id)
        return []

    def finished(
        self, request_id: str, result: types.Result, now: float
    ) -> list[types.Action]:
        """Notes the end of a dispatch and returns what to do now."""
        flight = self.parts.loads.flights.get(request_id)
        if flight is None:
            return self.pump(now)
        replica = self.replicas.get(flight.replica)
        report = replica.report if replica else None
        own = self.own(flight.replica, now)
        self.parts.loads.finished(request_id, now)
        request = flight.request
        self.parts.limits.observe(flight, result, own)
        self.parts.outliers.observe(
            flight.replica, result, flight.expected, now
        )
        self.parts.estimator.observe(request, report, result, now)
        used = max(1.0, request.prompt_tokens + result.output_tokens)
        if result.finish == types.Finish.NOT_STARTED:
            used = 0.0
        self.parts.queue.settle(request, flight.cost, used)
        return self.pump(now)

    def update(
        self, replicas: list[types.Replica], now: float
    ) -> list[types.Action]:
        """Replaces what is known of the replicas."""
        self.replicas = {replica.name: replica for replica in replicas}
        if any(replica.open for replica in replicas):
            self.closed_since = None
        elif self.closed_since is None:
            self.closed_since = now
        return self.pump(now)

    def tick(self, now: float) -> list[types.Action]:
        """Refuses what is now too late and looks for overdue work."""
        self.look_for_overdue(now)
        actions = []
        for item in list(self.parts.queue.waiting.values()):
            if self.late(item, now):
                actions.append(self.refuse(item, "its deadline", self.drain()))
                continue
            if self.shut(now):
                actions.append(self.refuse(item, "no replica is open", GRACE))
        return actions + self.pump(now)

    def demand(self, now: float) -> float:
        """Tokens a second that callers ask of this node, served or not."""
        age = max(0.0, now - self.offered_at)
        self.offered *= math.exp(-age / DEMAND_MEMORY)
        self.offered_at = now
        return self.offered

    def peers(
        self,
        demands: list[float],
        hottest: list[tuple[str, float]],
        now: float,
    ) -> None:
        """Takes in what the other nodes say in their digests.

        Args:
            demands: For each other node its `demand` for this service.
            hottest: Their hottest accounts with tokens a second.
            now: The time.
        """
        self.parts.queue.remote(hottest)
        own = self.demand(now)
        total = own + sum(demands)
        equal = 1.0 / (1 + len(demands))
        share = own / total if total > 0 else equal
        self.parts.limits.divide(max(share, equal * LEAST_SHARE))

    def pump(self, now: float) -> list[types.Action]:
        """Sends as much waiting work as there is room for."""
        actions: list[types.Action] = []
        while self.parts.queue.waiting:
            action = self.next_action(now)
            if action is None:
                break
            actions.append(action)
        return actions

    def next_action(self, now: float) -> types.Action | None:
        """Sends or refuses the first waiting request that can be."""
        for tried, turn in enumerate(self.parts.queue.ordered(now)):
            if tried >= SCAN:
                break
            if self.late(turn.item, now):
                return self.refuse(turn.item, "its deadline", self.drain())
            candidates = self.candidates(turn, now)
            if candidates:
                return self.send(turn.item, candidates, now)
        return None

    def send(
        self,
        item: fairness.Waiting,
        candidates: list[placement.Candidate],
        now: float,
    ) -> types.Dispatch:
        """Takes a request out of the queue and sends it."""
        request = item.request
        chosen = self.parts.placement.choose(request, candidates)
        self.parts.queue.remove(request.id)
        self.parts.queue.charge(item, now)
        replica = chosen.replica
        expected = self.work(request, replica.report, now)
        cost = 0.0 if request.recovered else item.cost
        self.parts.loads.sent(
            loads.Flight(request, replica.name, now, expected, cost),
            self.long(item.work),
        )
        return types.Dispatch(request, replica.name, self.prefill(replica, now))

    def candidates(
        self, turn: fairness.Turn, now: float
    ) -> list[placement.Candidate]:
        """The replicas that may take the request now."""
        request = turn.item.request
        if self.long(turn.item.work) and not self.long_room(now):
            return []
        found = []
        for replica in self.fitting(request):
            load = self.parts.loads.view(replica, now)
            weight = self.parts.outliers.weight(replica.name)
            if not self.parts.outliers.allowed(replica.name, load.own, now):
                continue
            if not self.parts.limits.room(
                replica, scaled(load, weight), turn.urgency
            ):
                continue
            capacity = self.parts.limits.capacity(replica, load)
            found.append(placement.Candidate(replica, load, capacity, weight))
        return found

    def long_room(self, now: float) -> bool:
        """Whether one more long job may run beside the short ones."""
        if now - self.short_seen >= SHORT_SEEN:
            return True
        long = capacity = 0
        for replica in self.replicas.values():
            if not replica.open:
                continue
            load = self.parts.loads.view(replica, now)
            long += load.long
            capacity += self.parts.limits.capacity(replica, load)
        return self.parts.limits.long_room(long, capacity)

    def fitting(self, request: types.Request) -> list[types.Replica]:
        """The open replicas that serve the request's model and decode."""
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
        return found or prefill_only

    def prefill(self, chosen: types.Replica, now: float) -> str:
        """The engine that processes the prompt for a decode engine."""
        if chosen.role != types.Role.DECODE:
            return ""
        best = ""
        least = float("inf")
        for replica in self.replicas.values():
            if not replica.open or replica.role != types.Role.PREFILL:
                continue
            load = self.parts.loads.view(replica, now)
            if load.prefill_tokens < least:
                best, least = replica.name, load.prefill_tokens
        return best

    def item(self, request: types.Request, now: float) -> fairness.Waiting:
        """The request with its estimates, as it waits."""
        report = self.some_report(request)
        return fairness.Waiting(
            request=request,
            position=self.parts.reentry.position(request, now),
            cost=self.parts.estimator.tokens(request),
            work=self.work(request, report, now),
            since=now,
        )

    def some_report(self, request: types.Request) -> types.Report | None:
        """Any report of a replica that could serve the request."""
        for replica in self.fitting(request):
            if replica.report is not None:
                return replica.report
        return None

    def work(
        self, request: types.Request, report: types.Report | None, now: float
    ) -> float:
        """Seconds that the request is expected to take."""
        return self.parts.estimator.seconds(request, report, now)

    def learn_length(self, item: fairness.Waiting, now: float) -> None:
        """Keeps the mean length, and when a short request last came."""
        if item.work <= 0:
            return
        length = math.log(item.work)
        if self.mean_length is None:
            self.mean_length = length
        if not self.long(item.work):
            self.short_seen = now
        self.mean_length = estimates.blend(self.mean_length, length)

    def long(self, work: float) -> bool:
        """Whether this is much longer than the mean."""
        if self.mean_length is None or work <= 0:
            return False
        return math.log(work) > self.mean_length + math.log(LONG)

    def outlook(self, item: fairness.Waiting, now: float) -> admission.Outlook:
        """What a waiting request can expect."""
        return admission.Outlook(
            left=item.request.deadline - now,
            ahead=self.parts.queue.ahead(item, now),
            work=item.work,
            slots=len(self.parts.loads.flights),
            queued=len(self.parts.queue.waiting),
        )

    def refuse(
        self, item: fairness.Waiting, reason: str, wait: float
    ) -> types.Refuse:
        """Takes a request out of the queue and gives it up."""
        self.parts.queue.remove(item.request.id)
        retry_after = self.parts.admission.retry_after(wait)
        return types.Refuse(item.request, f"refused: {reason}", retry_after)

    def late(self, item: fairness.Waiting, now: float) -> bool:
        """Whether it can no longer be in time though it were sent now."""
        return not self.parts.admission.feasible(
            admission.Outlook(
                left=item.request.deadline - now,
                ahead=0.0,
                work=item.work,
                slots=1,
                queued=0,
            )
        )

    def drain(self) -> float:
        """Seconds until all that waits now will have been sent."""
        work = sum(item.work for item in self.parts.queue.waiting.values())
        return work / max(1, len(self.parts.loads.flights))

    def shut(self, now: float) -> bool:
        """Whether no replica has been open for longer than the grace."""
        return self.closed_since is not None and (
            now - self.closed_since >= GRACE
        )

    def own(self, replica: str, now: float) -> int:
        """Own dispatches in progress at a replica."""
        flights = self.parts.loads.flights.values()
        return sum(flight.replica == replica for flight in flights)

    def look_for_overdue(self, now: float) -> None:
        """Tells the outlier rule how late the work of each replica is."""
        ratios: dict[str, list[float]] = {name: [] for name in self.replicas}
        for flight in self.parts.loads.flights.values():
            if flight.expected > 0 and flight.replica in ratios:
                age = now - flight.sent
                ratios[flight.replica].append(age / flight.expected)
        for name, found in ratios.items():
            late = sum(found) / len(found) if found else 0.0
            self.parts.outliers.overdue(name, late)


def scaled(load: loads.Load, weight: float) -> loads.Load:
    """The load as it weighs on a replica that is slower than its peers."""
    return load._replace(
        occupied=int(load.occupied / weight), own=int(load.own / weight)
    )
