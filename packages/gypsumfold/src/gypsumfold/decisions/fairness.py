"""Orders requests by urgency, then by fair shares of tokens.

Load pattern: one account that sends far more than the others, through one node
or all of them, or that declares everything urgent. Without fair queueing, an
account's share is whatever it sends, and urgency means nothing once one account
claims it for everything.

Start-time fair queueing (Goyal et al. 1996): each account has a tag that
advances by tokens over weight whenever one of its requests is sent; the lowest
tag goes first. Usage through other nodes, known from the digests of the
heaviest accounts, counts as well. Urgency is honoured up to the account's fair
share of all tokens; urgent requests beyond that wait among the others' ordinary
requests.
"""

import bisect
import collections
from collections.abc import Iterator
import math

from gypsumfold.decisions import backlog
from gypsumfold.decisions import queues
from gypsumfold.decisions import types

# Time constant of an account's usage: a few answers and several digest rounds
# of half a second.
MEMORY_SECONDS = 10.0
# Requests of one account that are tried before the next account's, in case the
# first can't be placed (for example a long one).
MAX_TRIED_PER_ACCOUNT = 4
# Urgent requests that are always honoured within `MEMORY_SECONDS`: one or two
# are too few to compute a share from.
MIN_URGENT_REQUESTS = 2
# Relative urgency of a service's requests if all have the same urgency.
ORDINARY_URGENCY = 9
# Share of an account without a declared one.
DEFAULT_SHARE = types.Share()
# Interval between two computations of the fair share: short compared with
# `MEMORY_SECONDS`, and 3,800 accounts are then scanned twice per second instead
# of for each request.
MEASURE_INTERVAL_SECONDS = 0.5
# An account without waiting requests is dropped below this rate.
IDLE_TOKENS_PER_SECOND = 1e-3
# Upper bound of the factor by which usage through other nodes multiplies the
# cost here: 16 nodes with equal parts of one account's traffic.
MAX_REMOTE_FACTOR = 16.0


class Account:
    """Usage and waiting requests of one account on this node.

    >>> Account("north-air").rate(now=0.0)
    0.0
    """

    def __init__(self, name: str):
        self.name = name
        self.weight = 1.0
        self.tag = 0.0
        self.items: list[tuple[int, float, str]] = []
        self.used = 0.0
        self.used_urgent = 0.0
        self.updated = 0.0
        self.remote_rate = 0.0

    def decay(self, now: float) -> None:
        """Decays the usage with time constant `MEMORY_SECONDS`."""
        factor = math.exp(-max(0.0, now - self.updated) / MEMORY_SECONDS)
        self.used *= factor
        self.used_urgent *= factor
        self.updated = now

    def rate(self, now: float) -> float:
        """Tokens per second through this node."""
        self.decay(now)
        return self.used / MEMORY_SECONDS

    def remote_factor(self, now: float) -> float:
        """Usage through all nodes divided by usage through this one."""
        local = self.rate(now)
        if self.remote_rate <= 0 or local <= 0:
            return 1.0
        return min(MAX_REMOTE_FACTOR, 1.0 + self.remote_rate / local)


class FairQueue:
    """Serves by urgency, then the account that is furthest below its share.

    >>> queue = FairQueue()
    >>> queue.push(item, now=0.0)
    >>> next(queue.ordered(now=0.0, allow_long=True)).item == item
    True
    """

    def __init__(self):
        self.waiting: dict[str, queues.WaitingRequest] = {}
        self.accounts: dict[str, Account] = {}
        self.virtual_time = 0.0
        self.fair_share = math.inf
        self.last_measured = -math.inf
        self.least_urgent = 0
        self.most_urgent = 9
        self.least_urgent_next: list[tuple[int, str]] = []
        self.shares: dict[str, types.Share] = {}

    def push(self, item: queues.WaitingRequest, now: float) -> None:
        """Adds a request."""
        request = item.request
        account = self.account(request.account)
        if not account.items:
            account.tag = max(account.tag, self.virtual_time)
        key = (request.urgency, item.position, request.id)
        bisect.insort(account.items, key)
        self.waiting[request.id] = item
        self.least_urgent = max(self.least_urgent, request.urgency)
        self.most_urgent = min(self.most_urgent, request.urgency)

    def account(self, name: str) -> Account:
        """Returns an account, creating it on its first request."""
        account = self.accounts.get(name)
        if account is None:
            account = self.accounts[name] = Account(name)
            account.weight = self.shares.get(name, DEFAULT_SHARE).weight
        return account

    def remove(self, request_id: str) -> queues.WaitingRequest | None:
        """Removes and returns a request; None if it isn't in the queue."""
        item = self.waiting.pop(request_id, None)
        if item is None:
            return None
        request = item.request
        key = (request.urgency, item.position, request.id)
        self.accounts[request.account].items.remove(key)
        return item

    def ordered(self, now: float, allow_long: bool) -> Iterator[queues.Turn]:
        """Yields the next requests to try, best first."""
        self.update_fair_share(now)
        ranked = []
        for account in self.backlogged_accounts():
            for index, item in enumerate(self.sendable(account, allow_long)):
                rank = self.effective_urgency(account, item, now)
                order = (rank, account.tag, account.name, index)
                ranked.append((order, item))
        ranked.sort(key=lambda entry: entry[0])
        for order, item in ranked:
            yield queues.Turn(item, self.relative_urgency(order[0]))

    def sendable(
        self, account: Account, allow_long: bool
    ) -> list[queues.WaitingRequest]:
        """The first requests of an account that may be sent now."""
        found = []
        for key in account.items:
            item = self.waiting[key[2]]
            if item.long and not allow_long:
                continue
            found.append(item)
            if len(found) == MAX_TRIED_PER_ACCOUNT:
                break
        return found

    def backlogged_accounts(self) -> list[Account]:
        """The accounts with waiting requests, by name."""
        names = {item.request.account for item in self.waiting.values()}
        return [self.accounts[name] for name in sorted(names)]

    def update_fair_share(self, now: float) -> None:
        """Computes what `effective_urgency` compares an account with.

        These are the fair share of tokens per second per unit of weight, and
        the two least urgent requests that are next in their accounts.
        """
        self.least_urgent_next = sorted(
            (account.items[0][0], account.name)
            for account in self.backlogged_accounts()
        )[-2:]
        if 0 <= now - self.last_measured < MEASURE_INTERVAL_SECONDS:
            return
        self.last_measured = now
        total = weights = 0.0
        for name, account in list(self.accounts.items()):
            rate = account.rate(now) + account.remote_rate
            if rate < IDLE_TOKENS_PER_SECOND and not account.items:
                del self.accounts[name]
                continue
            total += rate
            weights += account.weight
        self.fair_share = total / weights if weights else math.inf

    def effective_urgency(
        self, account: Account, item: queues.WaitingRequest, now: float
    ) -> int:
        """The urgency that a request is served with."""
        urgency = item.request.urgency
        ordinary = self.least_urgent_other(account)
        if urgency >= ordinary:
            return urgency
        factor = account.remote_factor(now)
        if account.used_urgent * factor <= MIN_URGENT_REQUESTS * item.cost:
            return urgency
        if (
            account.used_urgent / MEMORY_SECONDS * factor
            <= self.fair_share * account.weight
        ):
            return urgency
        return ordinary

    def least_urgent_other(self, excluded: Account) -> int:
        """Urgency of the least urgent request next in another account."""
        for urgency, name in reversed(self.least_urgent_next):
            if name != excluded.name:
                return urgency
        return 0

    def charge(self, item: queues.WaitingRequest, now: float) -> None:
        """Charges an account for a request that is being sent."""
        request = item.request
        account = self.account(request.account)
        self.virtual_time = max(self.virtual_time, account.tag)
        cost = 0.0 if request.recovered else item.cost
        account.decay(now)
        account.used += cost
        account.tag += cost * account.remote_factor(now) / account.weight
        if request.urgency < self.least_urgent:
            account.used_urgent += cost

    def settle(self, request: types.Request, charged: float, used: float):
        """Corrects a charge to the tokens used."""
        account = self.accounts.get(request.account)
        if account is None:
            return
        account.tag += (used - charged) / account.weight
        account.used = max(0.0, account.used + used - charged)

    def queued_ahead(
        self, now: float
    ) -> Iterator[tuple[queues.WaitingRequest, float]]:
        """Yields each request with the seconds of work queued ahead of it."""
        self.update_fair_share(now)
        ranked = []
        for account in self.backlogged_accounts():
            for key in account.items:
                item = self.waiting[key[2]]
                rank = self.effective_urgency(account, item, now)
                ranked.append(
                    backlog.RankedRequest(
                        item, rank, account.name, account.weight
                    )
                )
        yield from backlog.Backlog(ranked).queued_ahead()

    def relative_urgency(self, urgency: int) -> int:
        """Urgency relative to the service's most urgent kind, which is 0.

        If all requests have the same urgency, none is urgent.
        """
        if self.least_urgent <= self.most_urgent:
            return ORDINARY_URGENCY
        return urgency - self.most_urgent

    def refresh(self, item: queues.WaitingRequest) -> None:
        """Replaces the estimates of a waiting request."""
        self.waiting[item.request.id] = item

    def victim(self, now: float) -> queues.WaitingRequest | None:
        """The last request of the heaviest account at the lowest urgency."""
        self.update_fair_share(now)
        work: dict[str, float] = collections.Counter()
        for item in self.waiting.values():
            work[item.request.account] += item.cost
        worst = None
        worst_key = None
        for item in self.waiting.values():
            account = self.accounts[item.request.account]
            rank = self.effective_urgency(account, item, now)
            load = (
                work[account.name] * account.remote_factor(now) / account.weight
            )
            key = (rank, load, item.position, item.request.id)
            if worst_key is None or key > worst_key:
                worst, worst_key = item, key
        return worst

    def set_remote_usage(self, uses: list[types.AccountUsage]) -> None:
        """Replaces the accounts' usage through other nodes."""
        for account in self.accounts.values():
            account.remote_rate = 0.0
        for use in uses:
            self.account(use.account).remote_rate += use.tokens_per_second

    def set_shares(self, shares: dict[str, types.Share]) -> None:
        """Replaces the accounts' declared shares."""
        self.shares = shares
        for account in self.accounts.values():
            account.weight = shares.get(account.name, DEFAULT_SHARE).weight

    def is_over_limit(self, name: str, now: float) -> bool:
        """Whether an account exceeds its declared limit."""
        limit = self.shares.get(name, DEFAULT_SHARE).tokens_per_second
        if limit <= 0 or name not in self.accounts:
            return False
        account = self.accounts[name]
        return account.rate(now) + account.remote_rate > limit

    def hottest_accounts(
        self, max_accounts: int, now: float
    ) -> list[types.AccountUsage]:
        """The heaviest accounts on this node, for the digest to peers."""
        uses = []
        for account in self.accounts.values():
            rate = account.rate(now)
            if rate >= IDLE_TOKENS_PER_SECOND:
                uses.append(types.AccountUsage(account.name, rate))
        uses.sort(key=lambda use: -use.tokens_per_second)
        return uses[:max_accounts]


class FIFOQueue(FairQueue):
    """The baseline: strictly by time of entry, regardless of the account."""

    def ordered(self, now: float, allow_long: bool) -> Iterator[queues.Turn]:
        """Yields the requests in order of entry."""
        for item in sorted(self.waiting.values(), key=lambda one: one.since):
            yield queues.Turn(item, self.relative_urgency(item.request.urgency))

    def queued_ahead(
        self, now: float
    ) -> Iterator[tuple[queues.WaitingRequest, float]]:
        """Yields each request with the work that entered before it."""
        total = 0.0
        for turn in self.ordered(now, allow_long=True):
            yield turn.item, total
            total += turn.item.work

    def victim(self, now: float) -> queues.WaitingRequest | None:
        """The request that entered last."""
        return max(self.waiting.values(), key=lambda item: item.since)
