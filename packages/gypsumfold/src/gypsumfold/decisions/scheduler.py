"""Interface of the scheduler of one service on one node, and a baseline.

A `Scheduler` holds the service's queue. It receives requests, load reports and
results of dispatches, and returns the actions to take now.
"""

import collections
from typing import Protocol

from gypsumfold.decisions import types


class Scheduler(Protocol):
    """Decides which requests to send, and where, and which to refuse."""

    def offer(self, request: types.Request, now: float) -> list[types.Action]:
        """Adds a new request and returns the actions to take now."""

    def withdraw(self, request_id: str, now: float) -> list[types.Action]:
        """Drops a waiting request whose caller has disconnected."""

    def finished(
        self, request_id: str, result: types.Result, now: float
    ) -> list[types.Action]:
        """Records the end of a dispatch and returns the actions to take."""

    def update(
        self, replicas: list[types.Replica], now: float
    ) -> list[types.Action]:
        """Replaces the state of the replicas."""

    def tick(self, now: float) -> list[types.Action]:
        """Refuses late requests; called several times per second."""

    def set_shares(self, shares: dict[str, types.Share]) -> None:
        """Replaces the accounts' declared shares."""

    def demand(self, now: float) -> types.Demand:
        """Demand of this node's callers, for the digest to peers."""

    def hottest_accounts(
        self, max_accounts: int, now: float
    ) -> list[types.AccountUsage]:
        """The heaviest accounts on this node, for the digest to peers."""

    def update_peers(
        self,
        demands: list[types.Demand],
        uses: list[types.AccountUsage],
        now: float,
    ) -> None:
        """Applies the demand and usage from the other nodes' digests."""


class RoundRobin:
    """The baseline: FIFO and round robin.

    It sends each request at once to the next open replica and refuses only if
    none is open.

    >>> RoundRobin().offer(request, now=0.0)
    [Refuse(...)]
    """

    # A silent replica is polled several times within this time.
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
        """Does nothing: no request waits here."""
        return []

    def finished(
        self, request_id: str, result: types.Result, now: float
    ) -> list[types.Action]:
        """Does nothing: results are not used."""
        return []

    def update(
        self, replicas: list[types.Replica], now: float
    ) -> list[types.Action]:
        """Replaces the replicas."""
        self.replicas = sorted(replicas)
        return []

    def tick(self, now: float) -> list[types.Action]:
        """Does nothing: no request waits here."""
        return []

    def set_shares(self, shares: dict[str, types.Share]) -> None:
        """Does nothing: all accounts are treated alike."""

    def demand(self, now: float) -> types.Demand:
        """Returns nothing: no demand is measured."""
        return types.Demand(0.0, 0.0, 0)

    def hottest_accounts(
        self, max_accounts: int, now: float
    ) -> list[types.AccountUsage]:
        """Returns nothing: no demand is measured."""
        return []

    def update_peers(
        self,
        demands: list[types.Demand],
        uses: list[types.AccountUsage],
        now: float,
    ) -> None:
        """Does nothing: other nodes are not considered."""
