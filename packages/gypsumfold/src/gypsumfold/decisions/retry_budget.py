"""Limits how many retries of requests a node sends to a service.

Load pattern: an outage in which every attempt fails. The budget belongs to
the whole site, and each node uses a share of it. The share stays valid when
callers spread unevenly over the nodes, since it grows with the node's own
requests. A process that restarts during the outage doesn't know what it sent
before, so at first it uses only what the shares of all nodes leave over, and
that in proportion to its uptime: however often nodes restart within a window,
their uptimes add up to no more than the window.

Nodes lend each other what they have left. A loan counts at the lender before
it is sent and for as long as the borrower may use it, so a lost answer, a
restart or a partition can only leave retries unused.
"""

import collections
import math
from typing import NamedTuple


class Policy(NamedTuple):
    """The site's budget.

    Attributes:
        share: Retries as a share of the requests in a window.
        window: Length of a window in seconds.
        slack: Retries of the whole site in a window beyond the share.
    """

    share: float
    window: float
    slack: float


# Fraction of the budget that nodes use; the rest covers requests that are
# counted in another window than their retries.
USED_FRACTION = 0.85
# Spare retries of a node in a window until the number of nodes that share them
# is known, if the whole system starts for the first time; sites have more per
# node.
SPARE_IF_NODES_UNKNOWN = 2.0
# Fraction of its share that a node uses while the rest may already be used: in
# the first window after a restart, since it may have used its whole share just
# before, and while other nodes may not count it. All nodes together then stay
# within what USED_FRACTION leaves.
RESTRICTED_FRACTION = 0.15
# Fraction of what it has left that a node lends at once, but at least one; it
# may need the rest itself a moment later.
LENDABLE_FRACTION = 0.5
# Seconds for which a loan may be used.
LOAN_SECONDS = 2.0


class RetryBudget:
    """Counts requests and retries of each service in a sliding window.

    Attributes:
        nodes: Nodes that share the budget; 0 while unknown. Nodes that start
            at the same time and count only themselves would each take all
            spare retries.
        started_at: When this node restarted; minus infinity if the whole
            system starts for the first time.
        partitioned: Whether other nodes may share the spare retries without
            counting this one, since it was cut off from all of them.
        chance: From 0 to 1, drawn uniformly by each node. In the first window
            a node's share may be less than one retry; the chance decides
            which nodes send one, so that hundreds of nodes together use the
            sum of their shares.
        taken: Number of retries taken since the start, by service.
        refused: Number of retries refused since the start, by service.
        lent: Number of retries lent to other nodes since the start.
        loans: Borrowed retries by service: until when each may be used.

    >>> budget = RetryBudget(Policy(0.2, 10.0, 52.0))
    >>> budget.nodes = 6
    >>> budget.allow("seats", now=0.0)
    True
    """

    def __init__(self, policy: Policy, chance: float = 1.0):
        self.policy = policy
        self.chance = chance
        self.started_at = -math.inf
        self.partitioned = False
        self.nodes = 0
        self.requests: dict[str, collections.deque[float]] = {}
        self.retries: dict[str, collections.deque[float]] = {}
        self.taken: collections.Counter[str] = collections.Counter()
        self.refused: collections.Counter[str] = collections.Counter()
        self.lent = 0
        self.loans: dict[str, collections.deque[float]] = {}

    def record_request(self, service: str, now: float) -> None:
        """Counts a caller's request for a service."""
        seen = self.requests.setdefault(service, collections.deque())
        seen.append(now)

    def is_recently_restarted(self, now: float) -> bool:
        """Whether a previous process may have sent retries in this window."""
        return now - self.started_at < self.policy.window

    def spare_retries(self, now: float) -> float:
        """Returns the spare retries that this node may use in a window."""
        whole = USED_FRACTION * self.policy.slack
        restarted = self.is_recently_restarted(now)
        if not self.nodes:
            return 0.0 if restarted else min(SPARE_IF_NODES_UNKNOWN, whole)
        share = whole / self.nodes
        if restarted:
            uptime = now - self.started_at
            return RESTRICTED_FRACTION * share * uptime / self.policy.window
        if self.partitioned:
            return RESTRICTED_FRACTION * share
        return share

    def limit(self, service: str, now: float) -> float:
        """Returns the retries that this node may use in the current window."""
        start = now - self.policy.window
        requests = trim_and_count(self.requests.get(service), start)
        share = USED_FRACTION * self.policy.share * requests
        if self.is_recently_restarted(now):
            share *= RESTRICTED_FRACTION
        return share + self.spare_retries(now)

    def allow(self, service: str, now: float) -> bool:
        """Takes one retry out of this node's share or a loan, if one is left.

        Args:
            service: The service that is called again.
            now: The time.
        """
        if self.has_share_left(service, now):
            self.retries[service].append(now)
            self.taken[service] += 1
            return True
        loans = self.loans.get(service)
        if trim_and_count(loans, now):
            loans.popleft()
            self.taken[service] += 1
            return True
        return False

    def has_left(self, service: str, now: float) -> bool:
        """Whether `allow` would permit a retry."""
        if self.has_share_left(service, now):
            return True
        return trim_and_count(self.loans.get(service), now) > 0

    def has_share_left(self, service: str, now: float) -> bool:
        """Whether a retry is left of this node's own share."""
        enough = self.chance if self.is_recently_restarted(now) else 1.0
        return self.remaining(service, now) >= enough

    def remaining(self, service: str, now: float) -> float:
        """Returns what is left of this node's share, without loans."""
        retries = self.retries.setdefault(service, collections.deque())
        used = trim_and_count(retries, now - self.policy.window)
        return self.limit(service, now) - used

    def lend(self, service: str, wanted: int, now: float) -> int:
        """Lends retries to another node.

        Args:
            service: The service that it calls.
            wanted: How many it asks for.
            now: The time.

        Returns:
            How many it may use within `LOAN_SECONDS` of its request.
        """
        if self.is_recently_restarted(now):
            return 0
        left = self.remaining(service, now)
        lendable = max(min(left, 1.0), left * LENDABLE_FRACTION)
        count = max(0, min(wanted, math.floor(lendable)))
        self.retries[service].extend([now + LOAN_SECONDS] * count)
        self.lent += count
        return count

    def borrow(self, service: str, count: int, asked_at: float) -> None:
        """Adds retries that another node lends to this one.

        Args:
            service: The service.
            count: How many.
            asked_at: When this node asked for them.
        """
        loans = self.loans.setdefault(service, collections.deque())
        loans.extend([asked_at + LOAN_SECONDS] * count)


def trim_and_count(times: collections.deque[float] | None, start: float) -> int:
    """Drops the times before `start` and counts the rest."""
    if times is None:
        return 0
    while times and times[0] < start:
        times.popleft()
    return len(times)
