"""Whose request is next: urgency first, then fair shares by tokens.

Load pattern: one account that sends far more than the others, through one
node or all of them, or that calls everything urgent. Without it the share of
an account is whatever it sends, and urgency is worth nothing as soon as one
account claims it for everything.

Start-time fair queueing (Goyal et al. 1996): each account has a tag that
moves on by tokens over weight whenever one of its requests is sent; the
lowest tag goes first. What an account uses through other nodes, known from
the digest of the hottest accounts, counts as well. Urgency is honoured up to
the account's fair share of all tokens; what it calls urgent beyond that
waits among the others' ordinary work.
"""

import bisect
import collections
from collections.abc import Iterator
import math

from gypsumfold.decisions import backlog
from gypsumfold.decisions import queues
from gypsumfold.decisions import types

# Seconds over which an account's use is remembered; a few answers long, and
# several digest rounds of half a second.
MEMORY_SECONDS = 10.0
# Requests of one account that are tried before the next account's, where the
# first cannot be placed (for example a long one).
MAX_TRIED_PER_ACCOUNT = 4
# Urgent requests that are always honoured within `MEMORY`: a share cannot be
# told from one or two of them.
MIN_URGENT_REQUESTS = 2
# The urgency of a service's requests where all are alike.
ORDINARY_URGENCY = 9
# What an account without a declaration is entitled to.
DEFAULT_SHARE = types.Share()
# Seconds between two measurements of the fair share: short against `MEMORY`,
# and 3,800 accounts are then looked at twice a second, not per request.
MEASURE_INTERVAL_SECONDS = 0.5
# Tokens a second below which an account without waiting work is forgotten.
IDLE_TOKENS_PER_SECOND = 1e-3
# Most that the use through other nodes may multiply the cost here: 16 nodes
# with equal parts of one account's traffic.
MAX_REMOTE_FACTOR = 16.0


class Account:
    """What is known of one account on this node.

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
        """Forgets what lies more than about `MEMORY` seconds back."""
        factor = math.exp(-max(0.0, now - self.updated) / MEMORY_SECONDS)
        self.used *= factor
        self.used_urgent *= factor
        self.updated = now

    def rate(self, now: float) -> float:
        """Tokens a second through this node."""
        self.decay(now)
        return self.used / MEMORY_SECONDS

    def remote_factor(self, now: float) -> float:
        """Use through all nodes over use through this one."""
        local = self.rate(now)
        if self.remote_rate <= 0 or local <= 0:
            return 1.0
        return min(MAX_REMOTE_FACTOR, 1.0 + self.remote_rate / local)


class FairQueue:
    """Urgency first, then the account that is furthest behind its share.

    >>> queue = FairQueue()
    >>> queue.push(item, now=0.0)
    >>> next(queue.ordered(now=0.0, long_room=True)).item == item
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
        """Takes a request in."""
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
        """The account, made on its first request."""
        account = self.accounts.get(name)
        if account is None:
            account = self.accounts[name] = Account(name)
            account.weight = self.shares.get(name, DEFAULT_SHARE).weight
        return account

    def remove(self, request_id: str) -> queues.WaitingRequest | None:
        """Takes a request out; None if it is not there."""
        item = self.waiting.pop(request_id, None)
        if item is None:
            return None
        request = item.request
        key = (request.urgency, item.position, request.id)
        self.accounts[request.account].items.remove(key)
        return item

    def ordered(self, now: float, allow_long: bool) -> Iterator[queues.Turn]:
        """The next requests to try, best first."""
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
        """The first requests of an account that may be sent."""
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
        """The accounts with a request that waits."""
        names = {item.request.account for item in self.waiting.values()}
        return [self.accounts[name] for name in sorted(names)]

    def update_fair_share(self, now: float) -> None:
        """Works out what `rank` compares an account with.

        These are the fair share of tokens a second per unit of weight, and
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
        others = self.least_urgent_other(account)
        if urgency >= others:
            return urgency
        spread = account.remote_factor(now)
        if account.used_urgent * spread <= MIN_URGENT_REQUESTS * item.cost:
            return urgency
        if (
            account.used_urgent / MEMORY_SECONDS * spread
            <= self.fair_share * account.weight
        ):
            return urgency
        return others

    def least_urgent_other(self, but: Account) -> int:
        """The least urgent request that is next in another account."""
        for urgency, name in reversed(self.least_urgent_next):
            if name != but.name:
                return urgency
        return 0

    def charge(self, item: queues.WaitingRequest, now: float) -> None:
        """Charges the account of a request that is sent now."""
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
        """Corrects a charge by what was used."""
        account = self.accounts.get(request.account)
        if account is None:
            return
        account.tag += (used - charged) / account.weight
        account.used = max(0.0, account.used + used - charged)

    def queued_ahead(
        self, now: float
    ) -> Iterator[tuple[queues.WaitingRequest, float]]:
        """Yields each request with the seconds of work that go before it."""
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
        """The urgency against the service's most urgent kind, which is 0.

        Where all are of one urgency, none is urgent.
        """
        if self.least_urgent <= self.most_urgent:
            return ORDINARY_URGENCY
        return urgency - self.most_urgent

    def refresh(self, item: queues.WaitingRequest) -> None:
        """Replaces the estimates of a request that waits."""
        self.waiting[item.request.id] = item

    def victim(self, now: float) -> queues.WaitingRequest | None:
        """The last request of the heaviest account in the lowest class."""
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
        """Replaces what accounts use through other nodes."""
        for account in self.accounts.values():
            account.remote_rate = 0.0
        for use in uses:
            self.account(use.account).remote_rate += use.tokens_per_second

    def set_shares(self, shares: dict[str, types.Share]) -> None:
        """Replaces what accounts are entitled to."""
        self.shares = shares
        for account in self.accounts.values():
            account.weight = shares.get(account.name, DEFAULT_SHARE).weight

    def is_over_limit(self, name: str, now: float) -> bool:
        """Whether an account uses more than its declared limit."""
        limit = self.shares.get(name, DEFAULT_SHARE).tokens_per_second
        if limit <= 0 or name not in self.accounts:
            return False
        account = self.accounts[name]
        return account.rate(now) + account.remote_rate > limit

    def hottest_accounts(
        self, most: int, now: float
    ) -> list[types.AccountUsage]:
        """The accounts that use most here, for the digest to peers."""
        uses = []
        for account in self.accounts.values():
            rate = account.rate(now)
            if rate >= IDLE_TOKENS_PER_SECOND:
                uses.append(types.AccountUsage(account.name, rate))
        uses.sort(key=lambda use: -use.tokens_per_second)
        return uses[:most]


class FIFOQueue(FairQueue):
    """The baseline: strictly by time of entry, whoever sends."""

    def ordered(self, now: float, allow_long: bool) -> Iterator[queues.Turn]:
        """In order of entry."""
        for item in sorted(self.waiting.values(), key=lambda one: one.since):
            yield queues.Turn(item, self.relative_urgency(item.request.urgency))

    def queued_ahead(
        self, now: float
    ) -> Iterator[tuple[queues.WaitingRequest, float]]:
        """All that entered before goes before."""
        total = 0.0
        for turn in self.ordered(now, allow_long=True):
            yield turn.item, total
            total += turn.item.work

    def victim(self, now: float) -> queues.WaitingRequest | None:
        """The last one."""
        return max(self.waiting.values(), key=lambda item: item.since)
