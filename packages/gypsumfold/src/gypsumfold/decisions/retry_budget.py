"""How many repeats of requests a node may send to a service.

Load pattern: an outage in which every attempt fails. The budget belongs to
the whole site; a node keeps to a share of it that still holds when callers
spread unevenly over the nodes, since what it adds follows from its own
requests. A process that starts again in the outage has forgotten what it sent
before, and at first keeps to what is left beside the shares of all nodes.
"""

import collections
import math
from typing import NamedTuple


class Policy(NamedTuple):
    """The site's budget.

    Attributes:
        share: Repeats as a share of the requests of a window.
        window: Seconds of a window.
        slack: Repeats of the whole site in a window beyond the share.
    """

    share: float
    window: float
    slack: float


# The share of the budget that nodes use; the rest covers requests that are
# counted in another window than their repeats.
USED_FRACTION = 0.85
# Spare repeats of a node in a window until it is known how many nodes share
# them; sites have more for each node.
SPARE_IF_NODES_UNKNOWN = 2.0
# The part of its share that a node uses while others may use the rest: in the
# first window after a start, as it may have used the whole share just before,
# and while the others may count without it. All nodes together then stay within
# what USED leaves.
RESTRICTED_FRACTION = 0.15


class RetryBudget:
    """Counts requests and repeats of each service in a sliding window.

    Attributes:
        nodes: Nodes that share the budget; 0 while that is not known. Nodes
            that start at the same time and count just themselves would each
            take all spare repeats.
        started: When this node started again; none where the whole system
            starts for the first time.
        apart: Whether other nodes may share the spare repeats without this
            one: cut off from all, it is forgotten by them.
        chance: From 0 to 1, drawn evenly by each node: in the first window a
            node may have less than one repeat, and hundreds of nodes are to
            have together what they have as a sum.

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
        self.repeats: dict[str, collections.deque[float]] = {}

    def record_request(self, service: str, now: float) -> None:
        """Notes a caller's request for a service."""
        seen = self.requests.setdefault(service, collections.deque())
        seen.append(now)

    def spare_repeats(self) -> float:
        """Spare repeats that this node may use in a window."""
        whole = USED_FRACTION * self.policy.slack
        if not self.nodes:
            return min(SPARE_IF_NODES_UNKNOWN, whole)
        if self.partitioned:
            whole *= RESTRICTED_FRACTION
        return whole / self.nodes

    def allow(self, service: str, now: float) -> bool:
        """Takes one repeat out of the budget, if there is one left.

        Args:
            service: Where the repeat goes.
            now: The time.
        """
        start = now - self.policy.window
        requests = trim_and_count(self.requests.get(service), start)
        repeats = self.repeats.setdefault(service, collections.deque())
        trim_and_count(repeats, start)
        most = (
            USED_FRACTION * self.policy.share * requests + self.spare_repeats()
        )
        enough = 1.0
        if self.nodes and now - self.started_at < self.policy.window:
            most *= RESTRICTED_FRACTION
            enough = self.chance
        if len(repeats) + enough > most:
            return False
        repeats.append(now)
        return True


def trim_and_count(times: collections.deque[float] | None, start: float) -> int:
    """Drops the times before a start and counts the rest."""
    if times is None:
        return 0
    while times and times[0] < start:
        times.popleft()
    return len(times)
