"""Computes the work queued ahead of each request under fair queueing."""

import collections
from collections.abc import Iterator
from typing import NamedTuple

from gypsumfold.decisions import queues


class RankedRequest(NamedTuple):
    """A waiting request with what determines its turn.

    Attributes:
        item: The waiting request.
        rank: The urgency that it is served with.
        account: Name of its account.
        weight: Weight of its account.
    """

    item: queues.WaitingRequest
    rank: int
    account: str
    weight: float


class Backlog:
    """Sums waiting work once, for all waiting requests.

    An account is served no faster than its share: from each other account, at
    most as much work goes ahead of a request as its own account has ahead of
    it. Short requests overtake long ones.

    >>> dict(Backlog(ranked).queued_ahead())
    {'call-1': 0.0, 'call-2': 1.5}
    """

    def __init__(self, ranked: list[RankedRequest]):
        """Sums the work by rank and account.

        Args:
            ranked: All waiting requests, in order within each account.
        """
        self.ranked = ranked
        self.short_work: dict[int, collections.Counter] = {}
        self.total_work: dict[int, collections.Counter] = {}
        for one in ranked:
            self.count(self.total_work, one)
            if not one.item.long:
                self.count(self.short_work, one)

    def count(
        self, totals: dict[int, collections.Counter], one: RankedRequest
    ) -> None:
        """Adds one request to the work of its account and rank."""
        work = totals.setdefault(one.rank, collections.Counter())
        work[one.account] += one.item.work / one.weight

    def queued_ahead(self) -> Iterator[tuple[queues.WaitingRequest, float]]:
        """Yields each request with the seconds of work queued ahead of it."""
        own: dict[tuple[str, bool], float] = collections.defaultdict(float)
        for one in self.ranked:
            before = own[one.account, False]
            if one.item.long:
                before += own[one.account, True]
            yield one.item, before + self.others_ahead(one, before)
            own[one.account, one.item.long] += one.item.work

    def others_ahead(self, one: RankedRequest, before: float) -> float:
        """Seconds of other accounts' work queued ahead of a request."""
        totals = self.total_work if one.item.long else self.short_work
        share = (before + one.item.work) / one.weight
        total = 0.0
        for rank, work in totals.items():
            if rank > one.rank:
                continue
            for account, seconds in work.items():
                if account == one.account:
                    continue
                bound = seconds if rank < one.rank else min(seconds, share)
                total += bound
        return total
