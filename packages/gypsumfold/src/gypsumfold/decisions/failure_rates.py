"""Estimates what share of a replica's answers are failures, over all nodes.

Load pattern: one replica of a service answers every request with a failure, at
once, while its health check and its entry say that it is well. It looks idle,
so each node sends it most of its requests. With dozens of nodes none sees more
than a few of its answers a second, so a node that judges by its own answers
alone loses many requests before it stops, and each other node does the same.
"""

import math

from gypsumfold.decisions import cluster_totals

# Time constant after which an answer counts for little: a replica that is well
# again gets its share of the requests within a few seconds, and a node that
# reports each tenth of a second reports each answer many times.
MEMORY_SECONDS = 1.5
# Answers that are assumed to have been successes, so that the first failure
# alone doesn't count as a rate of one.
PRIOR_ANSWERS = 3.0
# Amounts below this are not reported to other nodes.
MIN_ANSWERS = 0.05
# Share of failures above which a replica is used only if there is no other.
FAILING_SHARE = 0.5
# Replicas whose load is compared by the share of their places in use: one that
# fails all requests counts as this many full replicas, as a failed request is
# lost to its caller and a request at a busy replica is merely slower.
FULL_REPLICAS = 2.0


class RecentCount:
    """A count that fades."""

    def __init__(self):
        self.value = 0.0
        self.updated = 0.0

    def add(self, now: float) -> None:
        """Counts one."""
        self.value = self.read(now) + 1.0
        self.updated = now

    def read(self, now: float) -> float:
        """Returns what is left of the count."""
        passed = max(0.0, now - self.updated)
        return self.value * math.exp(-passed / MEMORY_SECONDS)


class FailureRates:
    """Recent answers and failures of each replica, over all nodes.

    Attributes:
        failures: Failures that other nodes report, by replica.
        answers: All answers that they report, of replicas with failures.

    >>> rates = FailureRates()
    >>> for _ in range(9):
    ...     rates.record("engine-1", failed=True, now=0.0)
    >>> rates.share("engine-1", now=0.0)
    0.75
    """

    def __init__(self):
        self.own_failures: dict[str, RecentCount] = {}
        self.own_answers: dict[str, RecentCount] = {}
        self.failures = cluster_totals.ClusterTotals()
        self.answers = cluster_totals.ClusterTotals()

    def record(self, replica: str, failed: bool, now: float) -> None:
        """Counts an answer of a replica to a request of this node."""
        self.own_answers.setdefault(replica, RecentCount()).add(now)
        if failed:
            self.own_failures.setdefault(replica, RecentCount()).add(now)

    def own_failures_now(self, now: float) -> dict[str, float]:
        """Returns this node's recent failures, by replica."""
        return recent(self.own_failures, now)

    def own_answers_now(self, now: float) -> dict[str, float]:
        """Returns this node's recent answers of replicas that may be failing.

        Those of all others are of no use to any node.
        """
        found = {}
        for replica, count in recent(self.own_answers, now).items():
            if replica in self.own_failures or self.is_reported(replica, now):
                found[replica] = count
        return found

    def is_reported(self, replica: str, now: float) -> bool:
        """Whether other nodes report failures of a replica."""
        return self.failures.total(replica, now) > 0

    def share(self, replica: str, now: float) -> float:
        """Returns the share of a replica's recent answers that were failures.

        Args:
            replica: The replica.
            now: The time.

        Returns:
            0 for a replica without failures, less than 1 for any.
        """
        failed = self.failures.total(replica, now)
        if replica in self.own_failures:
            failed += self.own_failures[replica].read(now)
        if failed <= 0:
            return 0.0
        answered = self.answers.total(replica, now)
        if replica in self.own_answers:
            answered += self.own_answers[replica].read(now)
        return failed / (max(failed, answered) + PRIOR_ANSWERS)

    def is_failing(self, replica: str, now: float) -> bool:
        """Whether a replica fails most requests."""
        return self.share(replica, now) > FAILING_SHARE

    def load(self, replica: str, now: float) -> float:
        """Returns what a replica's failures count for beside its load."""
        return FULL_REPLICAS * self.share(replica, now)

    def forget(self, replica: str) -> None:
        """Drops a replica that was removed or has restarted."""
        self.own_failures.pop(replica, None)
        self.own_answers.pop(replica, None)
        self.failures.forget(replica)
        self.answers.forget(replica)


def recent(counts: dict[str, RecentCount], now: float) -> dict[str, float]:
    """Returns the counts that are large enough to report; drops the others."""
    found = {}
    for replica, count in list(counts.items()):
        value = count.read(now)
        if value < MIN_ANSWERS:
            del counts[replica]
            continue
        found[replica] = value
    return found
