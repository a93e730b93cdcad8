"""The scheduler used in production, composed of the decision modules.

It combines admission, fairness, placement, limits, outliers and recovery; each
module states the load pattern it handles. Requests wait here and not in the
engines, since here they can still be refused, reordered or sent elsewhere.
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

# Time for which requests wait while no replica is open: a replica that restarts
# or changes its role is often back within it.
CLOSED_GRACE_SECONDS = 1.0
# Waiting requests tried for one action; more matter only if the first ones are
# for models without free capacity.
MAX_TRIED = 64
# Interval between two reviews of all waiting requests; reports arrive as often.
REVIEW_INTERVAL_SECONDS = 0.25
# Refusal reasons sent to callers.
OVER_LIMIT = "the account uses more tokens a second than it may"
TOO_LATE = "the answer would come after its deadline"
TOO_MANY = "too many requests wait"
ALL_CLOSED = "no replica is open for this request"


class Policy(NamedTuple):
    """What the decisions of one service on one node depend on.

    Attributes:
        data_centre: Data centre of this node.
        max_waiting: Maximum number of waiting requests. Each holds a caller's
            connection of about 50 KB; 512 take 25 MB.
    """

    data_centre: str = ""
    max_waiting: int = 512


def default_components(
    policy: Policy, rng: random.Random
) -> selection.Components:
    """Creates the components used in production."""
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
        """Adds a new request and returns the actions to take now."""
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
        """Refuses a request that must wait and can't be on time.

        If it may wait but too many requests do, one of these is refused.
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
        """Refuses a waiting request that can't be on time.

        Args:
            item: The waiting request.
            ahead: Seconds of work queued ahead of it.
            urgency: Urgency that determines the margin; 0 leaves none.
            now: Current time.
        """
        estimate = self.wait_estimate(item, ahead, now)._replace(
            urgency=urgency
        )
        if self.components.admission.is_feasible(estimate):
            return []
        wait = (ahead + item.work) / max(1, estimate.slots)
        return [self.refuse(item, TOO_LATE, wait)]

    def review(self, now: float) -> list[types.Action]:
        """Checks all waiting requests again with current estimates.

        In a burst the engines slow down after the first requests were admitted.
        No margin is applied, so that a temporary slowdown doesn't cause
        refusals, which are final.
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
        """Drops a waiting request whose caller has disconnected."""
        self.components.queue.remove(request_id)
        return []

    def finished(
        self, request_id: str, result: types.Result, now: float
    ) -> list[types.Action]:
        """Records the end of a dispatch and returns the actions to take."""
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
        """Replaces the state of the replicas."""
        self.selection.replicas = {one.name: one for one in replicas}
        if any(replica.open for replica in replicas):
            self.closed_since = None
        elif self.closed_since is None:
            self.closed_since = now
        return self.dispatch_waiting(now)

    def tick(self, now: float) -> list[types.Action]:
        """Refuses requests that are now late and checks for overdue work."""
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
        """Replaces the accounts' declared shares."""
        self.components.queue.set_shares(shares)

    def hottest_accounts(
        self, max_accounts: int, now: float
    ) -> list[types.AccountUsage]:
        """The heaviest accounts on this node, for the digest to peers."""
        return self.components.queue.hottest_accounts(max_accounts, now)

    def demand(self, now: float) -> types.Demand:
        """Demand of this node's callers, for the digest to peers."""
        return self.meter.read(len(self.components.queue.waiting), now)

    def update_peers(
        self,
        demands: list[types.Demand],
        uses: list[types.AccountUsage],
        now: float,
    ) -> None:
        """Applies the demand and usage from the other nodes' digests.

        Args:
            demands: Demand of each other node.
            uses: Usage of their heaviest accounts.
            now: Current time.
        """
        self.components.queue.set_remote_usage(uses)
        share = demands_module.share(self.demand(now), demands)
        self.components.limits.set_node_share(share)

    def dispatch_waiting(self, now: float) -> list[types.Action]:
        """Sends as many waiting requests as there is free capacity for."""
        actions: list[types.Action] = []
        while self.components.queue.waiting:
            action = self.next_action(now)
            if action is None:
                break
            actions.append(action)
        return actions

    def next_action(self, now: float) -> types.Action | None:
        """Sends or refuses the first waiting request for which it can."""
        allow_long = self.selection.has_long_capacity(now)
        ordered = self.components.queue.ordered(now, allow_long)
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
        """Removes a request from the queue and sends it."""
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
        """Creates the queue item of a request, with its estimates."""
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
        """Estimates how long a waiting request will wait and run."""
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
        """Own dispatches whose ends free capacity for this request.

        A short request gains nothing from a long one that ends much later.
        """
        count = 0
        for entry in self.components.loads.in_flight.values():
            count += item.long or not entry.long
        return count

    def is_late(self, item: queues.WaitingRequest, now: float) -> bool:
        """Whether it can't be on time even if it is sent now."""
        left = item.request.deadline - now
        urgency = self.components.queue.relative_urgency(item.request.urgency)
        alone = admission.WaitEstimate(left, 0.0, item.work, 1, urgency)
        return not self.components.admission.is_feasible(alone)

    def refuse(
        self, item: queues.WaitingRequest, reason: str, wait: float
    ) -> types.Refuse:
        """Removes a request from the queue and refuses it."""
        self.components.queue.remove(item.request.id)
        retry_after = self.components.admission.retry_after(wait)
        return types.Refuse(item.request, reason, retry_after)

    def drain_seconds(self) -> float:
        """Seconds until all requests that wait now will have been sent."""
        work = sum(item.work for item in self.components.queue.waiting.values())
        return work / max(1, len(self.components.loads.in_flight))

    def is_closed(self, now: float) -> bool:
        """Whether no replica has been open for `CLOSED_GRACE_SECONDS`."""
        if self.closed_since is None:
            return False
        return now - self.closed_since >= CLOSED_GRACE_SECONDS

    def count_own(self, replica: str) -> int:
        """Own dispatches in progress at a replica."""
        entries = self.components.loads.in_flight.values()
        return sum(entry.replica == replica for entry in entries)
