"""Keeps the rate limits that replicas name, over all nodes together.

A replica in need names the requests a second that it takes from all nodes, for
as long as it does. What nodes know of it may arrive in any order, so the newest
request that was answered counts.
"""

import math
from typing import NamedTuple


class Named(NamedTuple):
    """What a replica said of its limit.

    Attributes:
        rate: Requests a second from all nodes; None for no limit.
        sent_at: When the request was sent whose answer said so.
    """

    rate: float | None
    sent_at: float


NOTHING = Named(None, -math.inf)


class RateLimits:
    """The rate limits of replicas by instance.

    >>> rate_limits = RateLimits()
    >>> rate_limits.observe("i-1", 4.7, sent_at=0.0)
    True
    """

    def __init__(self):
        self.named: dict[str, Named] = {}

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
        before = self.named.get(instance, NOTHING)
        if sent_at <= before.sent_at:
            return False
        if rate is None and before is NOTHING:
            return False
        self.named[instance] = Named(rate, sent_at)
        return rate != before.rate

    def rate(self, instance: str) -> float | None:
        """Returns the limit of a replica; None if it has none."""
        return self.named.get(instance, NOTHING).rate

    def forget(self, instance: str) -> None:
        """Drops a replica that has ended."""
        self.named.pop(instance, None)
