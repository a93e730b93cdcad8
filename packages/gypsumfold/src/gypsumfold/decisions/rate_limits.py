"""Keeps to the rate limits that replicas name, over all nodes together.

A replica in need names the requests a second that it takes from all nodes, for
as long as it does. A few holders, the same in the view of every node, divide
the limit; the others borrow from them. What nodes know of a limit arrives in
any order, so what was said in answer to the newest request counts.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import math
from typing import NamedTuple

import xxhash

# Holders of a limit beyond its requests a second. Each may send one request at
# once, and the replica bears a few more than its limit.
EXTRA_HOLDERS = 3
# Seconds at a holder's rate that it may save up, but at least one request.
BURST_SECONDS = 0.25
# Seconds for which a loan may be used.
LOAN_SECONDS = 0.5
# Seconds after which a limit that nobody has renewed ends: this many and those
# in which the replica takes so many requests.
EXPIRY_SECONDS = 10.0
EXPIRY_REQUESTS = 6.0


class Named(NamedTuple):
    """What a replica said of its limit.

    Attributes:
        rate: Requests a second from all nodes; None for no limit.
        sent_at: When the request was sent whose answer said so.
    """

    rate: float | None
    sent_at: float


class Permits:
    """Requests that this node may send to one replica.

    Attributes:
        tokens: Saved up from this node's share.
        filled_at: When they were last counted.
        loans: Until when each borrowed request may be sent.
    """

    def __init__(self, now: float):
        self.tokens = 0.0
        self.filled_at = now
        self.loans: collections.deque[float] = collections.deque()

    def fill(self, rate: float, now: float) -> None:
        """Adds what this node's share gives since the last call."""
        most = max(1.0, rate * BURST_SECONDS)
        self.tokens += rate * (now - self.filled_at)
        self.tokens = min(self.tokens, most)
        self.filled_at = now
        while self.loans and self.loans[0] < now:
            self.loans.popleft()


class RateLimits:
    """The rate limits of replicas by instance.

    Attributes:
        named: What each replica said last.
        permits: This node's permits at replicas with a limit.
        share: Returns the fraction of a replica's limit that is this node's.
        unheard_seconds: Returns the seconds for which this node was paused just
            before, so that nobody could renew a limit here.

    >>> rate_limits = RateLimits()
    >>> rate_limits.observe("i-1", 4.7, sent_at=0.0)
    True
    >>> rate_limits.take("i-1", now=0.1)
    False
    """

    def __init__(self):
        self.named: dict[str, Named] = {}
        self.permits: dict[str, Permits] = {}
        self.share: Callable[[str, float], float] = lambda instance, rate: 1.0
        self.unheard_seconds: Callable[[], float] = lambda: 0.0

    def observe(
        self, instance: str, rate: float | None, sent_at: float
    ) -> bool:
        """Records what a replica has said.

        Args:
            instance: The replica.
            rate: Requests a second; None for no limit.
            sent_at: When the request was sent whose answer said so.

        Returns:
            Whether the limit is another one now.
        """
        before = self.named.get(instance)
        if before is not None and sent_at <= before.sent_at:
            return False
        if before is None and rate is None:
            return False
        if before is not None and before.rate is None and rate is None:
            if sent_at - before.sent_at > EXPIRY_SECONDS:
                self.forget(instance)
            return False
        self.named[instance] = Named(rate, sent_at)
        return before is None or rate != before.rate

    def rate(self, instance: str, now: float) -> float | None:
        """Returns the limit of a replica; None if it has none."""
        named = self.named.get(instance)
        if named is None or named.rate is None:
            return None
        age = now - named.sent_at
        if age > EXPIRY_SECONDS:
            age -= self.unheard_seconds()
        if age > EXPIRY_SECONDS and (
            (age - EXPIRY_SECONDS) * named.rate > EXPIRY_REQUESTS
        ):
            return None
        return named.rate

    def find_permits(self, instance: str, now: float) -> Permits | None:
        """Returns the permits at a replica; None if it has no limit."""
        rate = self.rate(instance, now)
        if rate is None:
            self.permits.pop(instance, None)
            return None
        found = self.permits.get(instance)
        if found is None:
            found = self.permits[instance] = Permits(now)
        found.fill(rate * self.share(instance, rate), now)
        return found

    def is_open(self, instance: str, now: float) -> bool:
        """Whether this node may send a request to a replica now."""
        if instance not in self.named:
            return True
        permits = self.find_permits(instance, now)
        if permits is None:
            return True
        return permits.tokens >= 1.0 or bool(permits.loans)

    def take(self, instance: str, now: float) -> bool:
        """Takes a permit for one request, if there is one."""
        if not self.is_open(instance, now):
            return False
        permits = self.permits.get(instance)
        if permits is None:
            return True
        if permits.loans:
            permits.loans.popleft()
        else:
            permits.tokens -= 1.0
        return True

    def lend(self, key: str, wanted: int, now: float) -> int:
        """Lends permits at the replica `key` to another node."""
        if key not in self.named:
            return 0
        permits = self.find_permits(key, now)
        if permits is None:
            return 0
        count = min(wanted, math.floor(permits.tokens))
        permits.tokens -= count
        return count

    def borrow(self, key: str, count: int, asked_at: float) -> None:
        """Adds permits at the replica `key` that another node has lent."""
        permits = self.permits.get(key)
        if permits is not None:
            permits.loans.extend([asked_at + LOAN_SECONDS] * count)

    def forget(self, instance: str) -> None:
        """Drops a replica that has ended."""
        self.named.pop(instance, None)
        self.permits.pop(instance, None)


def holder_share(
    own: str, names: Iterable[str], instance: str, rate: float
) -> float:
    """Returns the fraction of a limit that a node holds.

    Args:
        own: The node, or its data centre.
        names: All nodes, or all data centres, the own one included.
        instance: The replica that names the limit.
        rate: Its requests a second.
    """

    def rank(name: str) -> int:
        return xxhash.xxh3_64_intdigest(f"{instance}\n{name}".encode())

    ranked = sorted(names, key=rank)
    holders = ranked[: math.floor(rate) + EXTRA_HOLDERS]
    return 1.0 / len(holders) if own in holders else 0.0
