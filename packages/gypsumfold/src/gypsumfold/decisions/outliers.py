"""Detects replicas that are slow or failing compared with their peers.

Load pattern: one endpoint that is slow or fails while it still reports.
Without this it gets its full share, and every caller sent there waits. One that
fails fast even attracts work, since the failures empty its queue.
"""

import bisect
import random
from typing import Protocol

from gypsumfold.decisions import types

# A replica whose ratio of actual to expected time exceeds the peers' median by
# this factor is slow. Batches of mixed lengths differ by less than this
# (bench/, slow endpoint).
SLOW_RATIO = 2.0
# Smallest share of work that a slow replica keeps, so that its recovery is
# noticed.
MIN_WEIGHT = 0.1
# Weight of one observation: five slow answers move the ratio past `SLOW_RATIO`.
SMOOTHING = 0.25
# Failures in a row after which a replica gets only probes; one or two happen
# whenever a connection is cut.
FAILURES_BEFORE_PAUSE = 3
# Doublings of a pause; beyond a thousand a float overflows.
MAX_DOUBLINGS = 20
# Seconds until the first probe, doubled by each failed one.
FIRST_PAUSE_SECONDS = 2.0
MAX_PAUSE_SECONDS = 30.0
# Fraction of the replicas that may be paused at once. If all look bad the cause
# lies elsewhere, and sending nothing would turn it into an outage.
MAX_PAUSED_FRACTION = 0.5


class Outliers(Protocol):
    """Rates replicas by the results of their dispatches."""

    def observe(
        self, replica: str, result: types.Result, expected: float, now: float
    ) -> None:
        """Learns from the end of a dispatch with this expected time."""

    def overdue(self, replica: str, ratio: float) -> None:
        """Records how late work on a replica is: age over expected time."""

    def weight(self, replica: str) -> float:
        """Returns the share of its usual work to send, above 0 up to 1."""

    def allowed(self, replica: str, own: int, now: float) -> bool:
        """Whether it may get work, or a probe, with `own` dispatches there."""


class PeerOutliers:
    """Compares each replica with the median of its peers.

    >>> PeerOutliers(random.Random(1)).weight("engine-1")
    1.0
    """

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.ratios: dict[str, float] = {}
        self.overdue_ratios: dict[str, float] = {}
        self.sorted_ratios: list[float] | None = None
        self.failures: dict[str, int] = {}
        self.paused_until: dict[str, float] = {}

    def observe(
        self, replica: str, result: types.Result, expected: float, now: float
    ) -> None:
        """Learns from the end of a dispatch with this expected time."""
        self.sorted_ratios = None
        if result.finish == types.Finish.CANCELLED:
            self.cancelled(replica, result, expected)
            return
        if result.finish != types.Finish.DONE:
            self.failed(replica, now)
            return
        self.failures.pop(replica, None)
        self.paused_until.pop(replica, None)
        if expected <= 0:
            return
        ratio = result.seconds / expected
        old = self.ratios.get(replica, ratio)
        self.ratios[replica] = old + SMOOTHING * (ratio - old)

    def cancelled(
        self, replica: str, result: types.Result, expected: float
    ) -> None:
        """Learns from a cancelled dispatch, which would have taken even longer.

        At a slow replica callers leave at their deadline, so no dispatch
        completes that could show how slow it is.
        """
        if expected <= 0:
            return
        ratio = result.seconds / expected
        if ratio > self.ratios.get(replica, 1.0):
            self.ratios[replica] = ratio

    def failed(self, replica: str, now: float) -> None:
        """Counts a failure and pauses the replica after a few."""
        count = self.failures.get(replica, 0) + 1
        self.failures[replica] = count
        if count < FAILURES_BEFORE_PAUSE:
            return
        pause = min(
            MAX_PAUSE_SECONDS,
            FIRST_PAUSE_SECONDS
            * 2 ** min(count - FAILURES_BEFORE_PAUSE, MAX_DOUBLINGS),
        )
        self.paused_until[replica] = now + pause * self.rng.uniform(0.5, 1.0)

    def overdue(self, replica: str, ratio: float) -> None:
        """Records how late work on a replica is: age over expected time."""
        if self.overdue_ratios.get(replica) != ratio:
            self.overdue_ratios[replica] = ratio
            self.sorted_ratios = None

    def weight(self, replica: str) -> float:
        """Returns the share of its usual work to send, above 0 up to 1."""
        ratio = self.ratio(replica)
        if self.sorted_ratios is None:
            self.sorted_ratios = sorted(
                self.ratio(name) for name in self.ratios
            )
        peers = self.sorted_ratios
        if replica in self.ratios:
            own = bisect.bisect_left(peers, ratio)
            peers = peers[:own] + peers[own + 1 :]
        if not peers:
            return 1.0
        middle = len(peers) // 2
        median = (peers[middle] + peers[-1 - middle]) / 2
        median = max(1e-6, median)
        if ratio <= SLOW_RATIO * median:
            return 1.0
        return max(MIN_WEIGHT, median / ratio)

    def ratio(self, replica: str) -> float:
        """Returns the worse ratio of completed and of overdue work."""
        late = self.overdue_ratios.get(replica, 0.0)
        return max(self.ratios.get(replica, 0.0), late)

    def allowed(self, replica: str, own: int, now: float) -> bool:
        """Whether it may get work, or a probe, with `own` dispatches there."""
        until = self.paused_until.get(replica)
        if until is None:
            return True
        seen = len(self.ratios.keys() | self.paused_until.keys())
        if len(self.paused_until) > max(1.0, MAX_PAUSED_FRACTION * seen):
            return True
        return now >= until and own == 0


class NoOutliers:
    """The baseline: treats all replicas alike."""

    def observe(
        self, replica: str, result: types.Result, expected: float, now: float
    ) -> None:
        """Ignores the result."""

    def overdue(self, replica: str, ratio: float) -> None:
        """Ignores overdue work."""

    def weight(self, replica: str) -> float:
        """Returns the full share."""
        return 1.0

    def allowed(self, replica: str, own: int, now: float) -> bool:
        """Always allows work."""
        return True
