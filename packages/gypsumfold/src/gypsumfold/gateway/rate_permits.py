"""Borrows permits for replicas that name a rate limit."""

from collections.abc import Awaitable
from collections.abc import Callable
import random

from gypsumfold.gateway import types

# Kind of the allowances of which nodes lend each other parts.
KIND = "rates"
# Replicas for which permits are asked before one request is refused.
MAX_ASKED = 2


class RatePermits:
    """Borrows permits where this node has none left.

    Attributes:
        request_loan: Asks other nodes for a part of an allowance; returns
            whether one has lent some.

    >>> permits = RatePermits(loans.request, random.Random(1))
    >>> await permits.borrow([replica])
    True
    """

    def __init__(
        self,
        request_loan: Callable[[str, str], Awaitable[bool]],
        rng: random.Random,
    ):
        self.request_loan = request_loan
        self.rng = rng

    async def borrow(self, replicas: list[types.Replica]) -> bool:
        """Borrows a permit for one of some replicas."""
        number = min(len(replicas), MAX_ASKED)
        for replica in self.rng.sample(replicas, number):
            if await self.request_loan(KIND, replica.instance):
                return True
        return False
