"""Decides when a second copy of a slow request is sent to another replica.

Load pattern: a few replicas are slow for a moment while the others are idle, so
that the slowest answers of a route take several times as long as nearly all
others. Without a copy such a request waits for its slow replica. Without limits
copies multiply the load just when all replicas are slow or full.

A request is slow once it has waited longer than `QUANTILE` of its route's
requests. An answer that was cut short by a copy had waited longer than that
already and counts as slower than the quantile, so that copies don't lower it.

The operators' limit belongs to the whole site. Counts of requests and copies
are exchanged with the other nodes. A node sends a copy out of the share of its
own requests, or, if that is less than one copy in a window, one in a window out
of what all nodes together leave. What others have sent is known a report late,
so in the second way only `POOLED_FRACTION` of the limit is used, less the
copies that others may have sent since.
"""

import base64
import collections
import functools
import hashlib
import math
from typing import NamedTuple

from gypsumfold.decisions import cluster_totals


class Policy(NamedTuple):
    """The operators' limit.

    Attributes:
        share: Copies as a share of the requests of a service in a window; 0
            sends none.
        window: Length of the window in seconds.
        prefills: Whether prefills are copied, beside idempotent calls.
    """

    share: float = 0.0
    window: float = 10.0
    prefills: bool = False


OFF = Policy()
# Share of the requests of a route that aren't slow.
QUANTILE = 0.95
# Answers of all nodes from which the quantile is first read: two of them are
# slower than it.
MIN_ANSWERS = 40
# Seconds for which an answer counts: long enough that an idempotent route with
# a few requests a second has enough answers.
ANSWERS_SECONDS = 30.0
# Shortest time that differs from others, in seconds, and ratio of the ends of a
# bucket of times: the quantile is at most this much too long. A report has a
# count for each bucket in use.
SHORTEST = 0.001
BUCKET_RATIO = 1.3
BUCKETS = 40
# Fraction of the limit that nodes use out of their own requests; the rest
# covers requests that are counted in another window than their copies.
USED_FRACTION = 0.85
# Fraction of the limit up to which nodes use what others leave: what they know
# of each other may be out of date when links break.
POOLED_FRACTION = 0.7
# Seconds after which all nodes know of a copy; a report takes about 0.25 s.
REPORT_SECONDS = 0.3
# Seconds of the recent requests that show that all are slow, or that replicas
# are full: about a spell of one slow replica, and longer than a report takes.
RECENT_SECONDS = 2.0
# Share of recent requests that are slow from which no copy is sent.
SLOW_SHARE = 0.5
# Recent requests that are assumed at least, so that one slow request of a quiet
# route isn't taken for most of them.
MIN_RECENT = 6.0
# Recent refusals by full replicas, as a share of the requests, from which no
# copy is sent: as many as there are slow requests anyway.
FULL_SHARE = 1 - QUANTILE
# Seconds for which a quantile is kept before it is read again.
QUANTILE_SECONDS = 0.2
# Parts into which a window is divided.
SLICES = 10
# Bytes of the digest that stands for a route's name in a report. If two routes
# have the same one, they share their quantile.
ROUTE_DIGEST_BYTES = 3
# Seconds between two reports of counts that change with each request. They
# cover 2 to 30 s, and too few known requests only permit fewer copies.
REPORT_INTERVAL_SECONDS = 1.0
# Kinds of counts that are reported at once, as they stop or limit copies.
IMMEDIATE_KINDS = frozenset({"copies", "slow", "late", "refused"})


@functools.lru_cache(maxsize=4096)
def digest(route: str) -> str:
    """Returns what stands for a route in reports."""
    found = hashlib.blake2b(route.encode(), digest_size=ROUTE_DIGEST_BYTES)
    return base64.urlsafe_b64encode(found.digest()).decode()


class SlidingCount:
    """Counts events in a window that slides on by parts.

    >>> count = SlidingCount(10.0)
    >>> count.add(now=0.0)
    >>> count.read(now=9.0), count.read(now=11.0)
    (1, 0)
    """

    def __init__(self, window: float):
        self.length = window / SLICES
        self.slices: collections.deque[list[int]] = collections.deque()

    def add(self, now: float) -> None:
        """Counts one event."""
        number = math.floor(now / self.length)
        if self.slices and self.slices[-1][0] >= number:
            self.slices[-1][1] += 1
            return
        self.slices.append([number, 1])

    def read(self, now: float, extra: int = 0) -> int:
        """Returns the events of the window.

        Args:
            now: The time.
            extra: Further parts that are counted; with 1 no event of a full
                window is left out, with 0 none of before is included.
        """
        last = math.floor(now / self.length)
        while self.slices and self.slices[0][0] < last - SLICES:
            self.slices.popleft()
        total = 0
        for number, count in self.slices:
            if number > last - SLICES - extra:
                total += count
        return total


class SecondCopies:
    """Learns how long requests take and limits their copies.

    Attributes:
        others: What other nodes have counted, as `own` returns it.
        is_site_known: Whether the other nodes that share the limit are known
            and count this one.
        results: Numbers of copies since the start, by service and result:
            started, won, or what refused one.

    >>> copies = SecondCopies(Policy(share=0.05))
    >>> copies.record_request("app", now=0.0)
    >>> copies.record_answer("lookups", 0.03, now=0.03)
    >>> copies.threshold("lookups", now=0.1)
    """

    def __init__(self, policy: Policy = OFF):
        self.policy = policy
        self.others = cluster_totals.ClusterTotals()
        self.is_site_known = False
        self.results: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        # By kind of count and by service, route, or bucket and route.
        self.counts: dict[str, SlidingCount] = {}
        self.reported: dict[str, int] = {}
        self.reported_at = -math.inf
        self.quantiles: dict[tuple[str, float], tuple[float, float | None]] = {}

    def change(self, policy: Policy) -> None:
        """Changes the limit; counts begin anew, as after a restart."""
        if policy == self.policy:
            return
        self.policy = policy
        self.counts.clear()
        self.reported.clear()

    def record_request(self, service: str, now: float) -> None:
        """Counts a caller's request for a service."""
        self.count(f"requests/{service}", self.policy.window, now)

    def record_refusal(self, service: str, now: float) -> None:
        """Counts a request that a replica of a service refused as full."""
        self.count(f"refused/{service}", RECENT_SECONDS, now)

    def record_copy(self, service: str, now: float) -> None:
        """Counts a copy that is sent."""
        self.count(f"copies/{service}", self.policy.window, now)

    def record_answer(self, route: str, seconds: float, now: float) -> None:
        """Records the time to the first byte of an answer.

        It may be one that was cut short; it would have taken longer.
        """
        bucket = 0
        if seconds > SHORTEST:
            bucket = math.ceil(math.log(seconds / SHORTEST, BUCKET_RATIO))
        bucket = min(bucket, BUCKETS - 1)
        self.count(f"{bucket}/{digest(route)}", ANSWERS_SECONDS, now)

    def record_speed(
        self, service: str, route: str, is_slow: bool, now: float
    ) -> None:
        """Counts a recent request that was slow, or was answered in time."""
        self.count(f"recent/{digest(route)}", RECENT_SECONDS, now)
        if is_slow:
            self.count(f"slow/{digest(route)}", RECENT_SECONDS, now)
            self.count(f"late/{service}", RECENT_SECONDS, now)

    def count(self, key: str, window: float, now: float) -> None:
        """Counts one event if copies are sent at all."""
        if self.policy.share <= 0:
            return
        if key not in self.counts:
            self.counts[key] = SlidingCount(window)
        self.counts[key].add(now)

    def own(self, now: float) -> dict[str, int]:
        """Returns the counts of this node, which others need.

        Small integers take one byte of a report, floating-point numbers nine.
        """
        if now - self.reported_at >= REPORT_INTERVAL_SECONDS:
            self.reported_at = now
            self.reported = self.read_counts(now, immediate=False)
        return {**self.reported, **self.read_counts(now, immediate=True)}

    def read_counts(self, now: float, immediate: bool) -> dict[str, int]:
        """Returns the counts that are reported at once, or the others."""
        found = {}
        for key, count in list(self.counts.items()):
            kind, _, _ = key.partition("/")
            if (kind in IMMEDIATE_KINDS) != immediate:
                continue
            value = count.read(now, extra=int(kind == "copies"))
            if value:
                found[key] = value
            elif not count.slices:
                del self.counts[key]
        return found

    def own_count(self, key: str, now: float, extra: int = 0) -> int:
        """Returns one of this node's counts."""
        count = self.counts.get(key)
        return count.read(now, extra) if count is not None else 0

    def total(self, key: str, now: float, extra: int = 0) -> float:
        """Returns a count of all nodes."""
        own = self.own_count(key, now, extra)
        return own + self.others.total(key, now)

    def threshold(self, route: str, now: float) -> float | None:
        """Returns the seconds after which a request is slow; None if unknown.

        Args:
            route: Its route.
            now: The time.
        """
        return self.quantile(route, QUANTILE, now)

    def usual(self, route: str, now: float) -> float | None:
        """Returns the seconds that half of the requests take at most."""
        return self.quantile(route, 0.5, now)

    def quantile(self, route: str, share: float, now: float) -> float | None:
        """Returns a quantile of a route's times; None if too few are known."""
        read_at, found = self.quantiles.get((route, share), (-math.inf, None))
        if now - read_at < QUANTILE_SECONDS:
            return found
        found = self.read_quantile(route, share, now)
        self.quantiles[route, share] = (now, found)
        return found

    def read_quantile(
        self, route: str, share: float, now: float
    ) -> float | None:
        """Reads a quantile from the counts of all nodes."""
        name = digest(route)
        counts = []
        for bucket in range(BUCKETS):
            counts.append(self.total(f"{bucket}/{name}", now))
        total = sum(counts)
        if total < MIN_ANSWERS:
            return None
        bucket = 0
        below = counts[0]
        while below < share * total and bucket < BUCKETS - 1:
            bucket += 1
            below += counts[bucket]
        return SHORTEST * BUCKET_RATIO**bucket

    def refusal(self, service: str, route: str, now: float) -> str:
        """Returns why no copy may be sent now; empty if one may.

        Args:
            service: The service that is called.
            route: Route of the slow request.
            now: The time.
        """
        slow = self.total(f"slow/{digest(route)}", now)
        seen = max(MIN_RECENT, self.total(f"recent/{digest(route)}", now))
        if slow > SLOW_SHARE * seen:
            return "slow"
        requests = self.total(f"requests/{service}", now)
        recent = requests * RECENT_SECONDS / self.policy.window
        refused = self.total(f"refused/{service}", now)
        if refused >= max(1.0, FULL_SHARE * recent):
            return "full"
        return "" if self.is_within_share(service, now) else "share"

    def is_within_share(self, service: str, now: float) -> bool:
        """Whether one more copy keeps to the operators' limit."""
        share = self.policy.share
        requests = self.own_count(f"requests/{service}", now)
        copies = self.own_count(f"copies/{service}", now, extra=1)
        owned = copies + 1 <= USED_FRACTION * share * requests
        if not self.is_site_known:
            # Others may send copies that are unknown to this node, but none
            # out of this node's requests.
            return owned
        if not owned and copies:
            return False
        everything = self.total(f"requests/{service}", now)
        sent = self.total(f"copies/{service}", now, extra=1)
        if owned:
            return sent + 1 <= USED_FRACTION * share * everything
        slow_rate = self.total(f"late/{service}", now) / RECENT_SECONDS
        unknown = slow_rate * REPORT_SECONDS
        return sent + 1 + unknown <= POOLED_FRACTION * share * everything
