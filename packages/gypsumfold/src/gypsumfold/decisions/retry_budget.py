"""Limits how many retries of requests a node sends to a service.

Load pattern: an outage in which every attempt fails. The budget belongs to
the whole site, and each node uses a share of it. The share stays valid when
callers spread unevenly over the nodes, since it grows with the node's own
requests. A process that restarts during the outage doesn't know what it sent
before, so at first it uses only what the shares of all nodes leave over, and
that in proportion to its uptime: however often nodes restart within a window,
their uptimes add up to no more than the window.
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
        """Takes one retry out of the budget, if one is left.

        Args:
            service: The service that is called again.
            now: The time.
        """
        retries = self.retries.setdefault(service, collections.deque())
        trim_and_count(retries, now - self.policy.window)
        enough = self.chance if self.is_recently_restarted(now) else 1.0
        if len(retries) + enough > self.limit(service, now):
            self.refused[service] += 1
            return False
        retries.append(now)
        self.taken[service] += 1
        return True


def trim_and_count(times: collections.deque[float] | None, start: float) -> int:
    """Drops the times before `start` and counts the rest."""
    if times is None:
        return 0
    while times and times[0] < start:
        times.popleft()
    return len(times)
