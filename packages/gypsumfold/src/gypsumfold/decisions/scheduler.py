"""Orders the decisions of one service: admit, wait, place, finish.

A `Scheduler` holds the queue of one service on one node. It is told of
requests, reports and ends, and answers with the actions to take now.
"""

import collections
from typing import Protocol

from gypsumfold.decisions import types


class Scheduler(Protocol):
    """Whom to serve, who waits, who is refused and where work is sent."""

    def offer(self, request: types.Request, now: float) -> list[types.Action]:
        """Takes a new request in and returns what to do now."""

    def withdraw(self, request_id: str, now: float) -> list[types.Action]:
        """Forgets a request that still waits: its caller has gone."""

    def finished(
        self, request_id: str, result: types.Result, now: float
    ) -> list[types.Action]:
        """Notes the end of a dispatch and returns what to do now."""

    def update(
        self, replicas: list[types.Replica], now: float
    ) -> list[types.Action]:
        """Replaces what is known of the replicas."""

    def tick(self, now: float) -> list[types.Action]:
        """Is called several times a second; refuses what is now too late."""

    def set_shares(self, shares: dict[str, types.Share]) -> None:
        """Replaces what accounts are entitled to."""

    def demand(self, now: float) -> types.Demand:
        """What callers ask of this node, for the digest to its peers."""

    def hottest_accounts(
        self, most: int, now: float
    ) -> list[types.AccountUsage]:
        """The accounts that use most here, for the digest to its peers."""

    def update_peers(
        self,
        demands: list[types.Demand],
        uses: list[types.AccountUsage],
        now: float,
    ) -> None:
        """Takes in what the other nodes say in their digests."""


class RoundRobin:
    """The plainest rule, kept as the baseline: FIFO and round robin.

    It sends at once to the next open replica and refuses only where none is
    open.

    >>> RoundRobin().offer(request, now=0.0)
    [Refuse(...)]
    """

    # Seconds; a replica that was silent is polled several times by then.
    RETRY_AFTER_SECONDS = 1.0

    def __init__(self):
        self.replicas: list[types.Replica] = []
        self.turn = collections.Counter()

    def offer(self, request: types.Request, now: float) -> list[types.Action]:
        """Dispatches to the next open replica in turn."""
        fitting = []
        for replica in self.replicas:
            if not replica.open:
                continue
            if request.model and request.model not in replica.models:
                continue
            fitting.append(replica)
        if not fitting:
            reason = "no replica is open for this request"
            return [types.Refuse(request, reason, self.RETRY_AFTER_SECONDS)]
        fresh = [r for r in fitting if r.name not in request.avoid]
        fitting = fresh or fitting
        chosen = fitting[self.turn[request.model] % len(fitting)]
        self.turn[request.model] += 1
        return [types.Dispatch(request, chosen.name)]

    def withdraw(self, request_id: str, now: float) -> list[types.Action]:
        """Nothing waits here."""
        return []

    def finished(
        self, request_id: str, result: types.Result, now: float
    ) -> list[types.Action]:
        """Nothing is learnt from an end."""
        return []

    def update(
        self, replicas: list[types.Replica], now: float
    ) -> list[types.Action]:
        """Replaces the replicas."""
        self.replicas = sorted(replicas)
        return []

    def tick(self, now: float) -> list[types.Action]:
        """Nothing waits here."""
        return []

    def set_shares(self, shares: dict[str, types.Share]) -> None:
        """All accounts are alike."""

    def demand(self, now: float) -> types.Demand:
        """Nothing is measured."""
        return types.Demand(0.0, 0.0, 0)

    def hottest_accounts(
        self, most: int, now: float
    ) -> list[types.AccountUsage]:
        """Nothing is measured."""
        return []

    def update_peers(
        self,
        demands: list[types.Demand],
        uses: list[types.AccountUsage],
        now: float,
    ) -> None:
        """The other nodes make no difference."""
