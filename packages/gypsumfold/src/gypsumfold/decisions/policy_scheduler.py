"""The scheduler that the real path uses: all decisions of one service.

It composes admission, fairness, placement, limits, outliers and recovery;
each of them states the load pattern that it answers. Work waits here, where
it can still be refused, reordered and sent elsewhere, and not in the
engines.
"""

import random
from typing import NamedTuple

from gypsumfold.decisions import admission
from gypsumfold.decisions import demands as demands_module
from gypsumfold.decisions import estimates
from gypsumfold.decisions import fairness
from gypsumfold.decisions import limits
from gypsumfold.decisions import loads
from gypsumfold.decisions import outliers
from gypsumfold.decisions import placement
from gypsumfold.decisions import queues
from gypsumfold.decisions import recovery
from gypsumfold.decisions import selection
from gypsumfold.decisions import types

# Seconds for which work waits while no replica is open at all: a replica
# that restarts or changes its role is often back by then.
CLOSED_GRACE_SECONDS = 1.0
# Waiting requests that are tried in one go; more only matter where the first
# ones are for models that have no room.
MAX_TRIED = 64
# Seconds between two reviews of all that wait; reports come as often.
REVIEW_INTERVAL_SECONDS = 0.25
# Reasons of refusals, for callers.
OVER_LIMIT = "the account uses more tokens a second than it may"
TOO_LATE = "the answer would come after its deadline"
TOO_MANY = "too many requests wait"
ALL_CLOSED = "no replica is open for this request"


class Policy(NamedTuple):
    """What the decisions of one service on one node depend on.

    Attributes:
        data_centre: Where this node stands.
        most_waiting: Requests that may wait here at once. Each holds a
            caller's connection of about 50 KB; 512 are 25 MB.
    """

    data_centre: str = ""
    max_waiting: int = 512


def default_components(
    policy: Policy, rng: random.Random
) -> selection.Components:
    """The parts that the real path uses."""
    return selection.Components(
        queue=fairness.FairQueue(),
        admission=admission.DeadlineAdmission(policy.max_waiting, rng),
        placement=placement.TwoChoices(policy.data_centre, rng),
        limits=limits.AdaptiveLimits(rng),
        outliers=outliers.PeerOutliers(rng),
        reentry=recovery.ByArrival(),
        loads=loads.CorrectedLoads(),
        estimator=estimates.LearnedEstimator(),
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
        components: selection.Components | None = None,
    ):
        self.policy = policy
        self.components = components or default_components(policy, rng)
        self.selection = selection.Selection(self.components)
        self.meter = demands_module.DemandMeter()
        self.closed_since: float | None = None
        self.last_review = float("-inf")

    def offer(self, request: types.Request, now: float) -> list[types.Action]:
        """Takes a new request in and returns what to do now."""
        item = self.new_item(request, now)
        if not item.long:
            self.selection.lengths.last_short = now
        self.selection.lengths.add(item.work)
        prompt = max(1, request.prompt_tokens)
        self.meter.add(prompt, max(0.0, item.cost - prompt), now)
        if self.components.queue.is_over_limit(request.account, now):
            retry_after = self.components.admission.retry_after(
                fairness.MEMORY_SECONDS
            )
            return [types.Refuse(request, OVER_LIMIT, retry_after)]
        self.components.queue.push(item, now)
        actions = self.dispatch_waiting(now)
        if request.id not in self.components.queue.waiting:
            return actions
        return actions + self.refuse_if_unservable(item, now)

    def refuse_if_unservable(
        self, item: queues.WaitingRequest, now: float
    ) -> list[types.Action]:
        """Refuses a request that must wait, if it cannot be in time.

        If too many wait then, one of them is given up for it.
        """
        ahead = 0.0
        for other, before in self.components.queue.queued_ahead(now):
            if other is item:
                ahead = before
        urgency = self.components.queue.relative_urgency(item.request.urgency)
        refused = self.refuse_if_late(item, ahead, urgency, now)
        if refused or not self.components.admission.is_full(
            len(self.components.queue.waiting)
        ):
            return refused
        victim = self.components.queue.victim(now)
        return [self.refuse(victim, TOO_MANY, self.drain_seconds())]

    def refuse_if_late(
        self,
        item: queues.WaitingRequest,
        ahead: float,
        urgency: int,
        now: float,
    ) -> list[types.Action]:
        """Refuses a waiting request that cannot be in time.

        Args:
            item: It.
            ahead: Seconds of work that go before it.
            urgency: To judge it by; 0 leaves no margin.
            now: The time.
        """
        estimate = self.wait_estimate(item, ahead, now)._replace(
            urgency=urgency
        )
        if self.components.admission.is_feasible(estimate):
            return []
        wait = (ahead + item.work) / max(1, estimate.slots)
        return [self.refuse(item, TOO_LATE, wait)]

    def review(self, now: float) -> list[types.Action]:
        """Judges all that wait again, by what is known by now.

        In a burst the engines slow down after the first ones were let in.
        Without a margin, since a passing state must not be made final.
        """
        if now - self.last_review < REVIEW_INTERVAL_SECONDS:
            return []
        self.last_review = now
        for item in list(self.components.queue.waiting.values()):
            report = self.selection.any_report(item.request)
            work = self.expected_seconds(item.request, report, now)
            self.components.queue.refresh(item._replace(work=work))
        actions = []
        for item, ahead in list(self.components.queue.queued_ahead(now)):
            actions += self.refuse_if_late(item, ahead, 0, now)
        return actions

    def withdraw(self, request_id: str, now: float) -> list[types.Action]:
        """Forgets a request that still waits: its caller has gone."""
        self.components.queue.remove(request_id)
        return []

    def finished(
        self, request_id: str, result: types.Result, now: float
    ) -> list[types.Action]:
        """Notes the end of a dispatch and returns what to do now."""
        entry = self.components.loads.in_flight.get(request_id)
        if entry is None:
            return self.dispatch_waiting(now)
        replica = self.selection.replicas.get(entry.replica)
        report = replica.report if replica else None
        own = self.count_own(entry.replica)
        self.components.loads.finished(request_id, now)
        request = entry.request
        self.components.limits.observe(entry, result, own)
        self.components.outliers.observe(
            entry.replica, result, entry.expected, now
        )
        self.components.estimator.observe(request, report, result, now)
        used = max(1.0, request.prompt_tokens + result.output_tokens)
        if result.finish == types.Finish.NOT_STARTED:
            used = 0.0
        self.components.queue.settle(request, entry.cost, used)
        return self.dispatch_waiting(now)

    def update(
        self, replicas: list[types.Replica], now: float
    ) -> list[types.Action]:
        """Replaces what is known of the replicas."""
        self.selection.replicas = {one.name: one for one in replicas}
        if any(replica.open for replica in replicas):
            self.closed_since = None
        elif self.closed_since is None:
            self.closed_since = now
        return self.dispatch_waiting(now)

    def tick(self, now: float) -> list[types.Action]:
        """Refuses what is now too late and looks for overdue work."""
        self.selection.report_overdue(now)
        actions = self.review(now)
        for item in list(self.components.queue.waiting.values()):
            if self.is_late(item, now):
                actions.append(
                    self.refuse(item, TOO_LATE, self.drain_seconds())
                )
                continue
            if self.is_closed(now):
                actions.append(
                    self.refuse(item, ALL_CLOSED, CLOSED_GRACE_SECONDS)
                )
        return actions + self.dispatch_waiting(now)

    def set_shares(self, shares: dict[str, types.Share]) -> None:
        """Replaces what accounts are entitled to."""
        self.components.queue.set_shares(shares)

    def hottest_accounts(
        self, most: int, now: float
    ) -> list[types.AccountUsage]:
        """The accounts that use most here, for the digest to its peers."""
        return self.components.queue.hottest_accounts(most, now)

    def demand(self, now: float) -> types.Demand:
        """What callers ask of this node, for the digest to its peers."""
        return self.meter.read(len(self.components.queue.waiting), now)

    def update_peers(
        self,
        demands: list[types.Demand],
        uses: list[types.AccountUsage],
        now: float,
    ) -> None:
        """Takes in what the other nodes say in their digests.

        Args:
            demands: One for each other node.
            uses: Their hottest accounts.
            now: The time.
        """
        self.components.queue.set_remote_usage(uses)
        share = demands_module.share(self.demand(now), demands)
        self.components.limits.set_node_share(share)

    def dispatch_waiting(self, now: float) -> list[types.Action]:
        """Sends as much waiting work as there is room for."""
        actions: list[types.Action] = []
        while self.components.queue.waiting:
            action = self.next_action(now)
            if action is None:
                break
            actions.append(action)
        return actions

    def next_action(self, now: float) -> types.Action | None:
        """Sends or refuses the first waiting request that can be."""
        long_room = self.selection.has_long_capacity(now)
        ordered = self.components.queue.ordered(now, long_room)
        for tried, turn in enumerate(ordered):
            if tried >= MAX_TRIED:
                break
            if self.is_late(turn.item, now):
                return self.refuse(turn.item, TOO_LATE, self.drain_seconds())
            candidates = self.selection.candidates(turn, now)
            chosen = self.components.placement.choose(
                turn.item.request, candidates, now - turn.item.since
            )
            if chosen is not None:
                return self.send(turn.item, chosen.replica, now)
        return None

    def send(
        self, item: queues.WaitingRequest, replica: types.Replica, now: float
    ) -> types.Dispatch:
        """Takes a request out of the queue and sends it."""
        request = item.request
        self.components.queue.remove(request.id)
        self.components.queue.charge(item, now)
        expected = self.expected_seconds(request, replica.report, now)
        cost = 0.0 if request.recovered else item.cost
        entry = loads.InFlightRequest(
            request, replica.name, now, expected, cost, item.long
        )
        self.components.loads.sent(entry)
        prefill = self.selection.choose_prefill(request, replica, now)
        return types.Dispatch(request, replica.name, prefill)

    def new_item(
        self, request: types.Request, now: float
    ) -> queues.WaitingRequest:
        """The request with its estimates, as it waits."""
        report = self.selection.any_report(request)
        work = self.expected_seconds(request, report, now)
        return queues.WaitingRequest(
            request=request,
            position=self.components.reentry.position(request, now),
            cost=self.components.estimator.tokens(request),
            work=work,
            long=self.selection.lengths.is_long(work),
            since=now,
        )

    def expected_seconds(
        self, request: types.Request, report: types.Report | None, now: float
    ) -> float:
        """Seconds that the request is expected to take."""
        return self.components.estimator.seconds(request, report, now)

    def wait_estimate(
        self, item: queues.WaitingRequest, ahead: float, now: float
    ) -> admission.WaitEstimate:
        """What a waiting request can expect."""
        return admission.WaitEstimate(
            time_left=item.request.deadline - now,
            queued_ahead=ahead,
            work=item.work,
            slots=self.slots(item),
            urgency=self.components.queue.relative_urgency(
                item.request.urgency
            ),
        )

    def slots(self, item: queues.WaitingRequest) -> int:
        """Own dispatches whose ends make room for this request.

        A short one gains nothing from a long one that ends much later.
        """
        count = 0
        for entry in self.components.loads.in_flight.values():
            count += item.long or not entry.long
        return count

    def is_late(self, item: queues.WaitingRequest, now: float) -> bool:
        """Whether it can no longer be in time though it were sent now."""
        left = item.request.deadline - now
        urgency = self.components.queue.relative_urgency(item.request.urgency)
        alone = admission.WaitEstimate(left, 0.0, item.work, 1, urgency)
        return not self.components.admission.is_feasible(alone)

    def refuse(
        self, item: queues.WaitingRequest, reason: str, wait: float
    ) -> types.Refuse:
        """Takes a request out of the queue and gives it up."""
        self.components.queue.remove(item.request.id)
        retry_after = self.components.admission.retry_after(wait)
        return types.Refuse(item.request, reason, retry_after)

    def drain_seconds(self) -> float:
        """Seconds until all that waits now will have been sent."""
        work = sum(item.work for item in self.components.queue.waiting.values())
        return work / max(1, len(self.components.loads.in_flight))

    def is_closed(self, now: float) -> bool:
        """Whether no replica has been open for longer than the grace."""
        if self.closed_since is None:
            return False
        return now - self.closed_since >= CLOSED_GRACE_SECONDS

    def count_own(self, replica: str) -> int:
        """Own dispatches in progress at a replica."""
        entries = self.components.loads.in_flight.values()
        return sum(entry.replica == replica for entry in entries)
