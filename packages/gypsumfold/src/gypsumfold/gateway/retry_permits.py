"""Takes retries out of the site's retry budget, or borrows them."""

from collections.abc import Awaitable
from collections.abc import Callable
import time

from gypsumfold.decisions import retry_budget

# Kind of the allowances of which nodes lend each other parts.
KIND = "retries"


async def lend_nothing(kind: str, key: str) -> bool:
    """Says that no other node lends anything."""
    del kind, key
    return False


class RetryPermits:
    """Permits retries within the site's budget.

    Attributes:
        request_loan: Asks other nodes for a part of an allowance; returns
            whether one has lent some.

    >>> permits = RetryPermits(budget)
    >>> await permits.take("lm")
    True
    """

    def __init__(
        self,
        budget: retry_budget.RetryBudget,
        request_loan: Callable[[str, str], Awaitable[bool]] = lend_nothing,
    ):
        self.budget = budget
        self.request_loan = request_loan

    async def take(self, service: str) -> bool:
        """Takes a retry out of this node's share, or out of a loan."""
        if self.budget.allow(service, time.monotonic()):
            return True
        if await self.request_loan(KIND, service) and self.budget.allow(
            service, time.monotonic()
        ):
            return True
        self.budget.refused[service] += 1
        return False
