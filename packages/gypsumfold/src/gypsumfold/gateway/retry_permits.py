"""Takes retries out of the site's retry budget, or borrows them."""

from collections.abc import Awaitable
from collections.abc import Callable
import time

from gypsumfold import exceptions
from gypsumfold.decisions import retry_budget
from gypsumfold.gateway import progress as progress_module

# Kind of the allowances of which nodes lend each other parts.
KIND = "retries"
# Loans that a request waits for at most. Requests that need a retry at the same
# time wait for the same loan, which may be too small for all: a gateway with
# five streams on an engine that crashed refused one while others had retries.
MAX_LOANS = 4


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
        if not await self.is_available(service):
            return False
        return self.budget.allow(service, time.monotonic())

    async def is_available(self, service: str) -> bool:
        """Whether a retry is left; asks for loans if none is."""
        for _ in range(MAX_LOANS):
            if self.budget.has_left(service, time.monotonic()):
                return True
            if not await self.request_loan(KIND, service):
                break
        if self.budget.has_left(service, time.monotonic()):
            return True
        self.budget.refused[service] += 1
        return False

    async def may_attempt(
        self, service: str, progress: progress_module.Progress, take_later: bool
    ) -> bool:
        """Whether a request may make its next attempt.

        Args:
            service: The service.
            progress: Progress of the request.
            take_later: Whether a retry is taken by `take_for` only, as the
                attempt may end before a replica is chosen.
        """
        if not progress.needs_retry():
            return True
        if take_later:
            return await self.is_available(service)
        progress.has_retry = await self.take(service)
        return progress.has_retry

    async def take_for(
        self, service: str, progress: progress_module.Progress
    ) -> None:
        """Takes the retry of an attempt for which a replica was chosen.

        Raises:
            exceptions.RequestError: It needs one and none is left.
            exceptions.AnswerAbandoned: The same, and the answer has started.
        """
        if not progress.needs_retry():
            return
        progress.has_retry = await self.take(service)
        if progress.has_retry:
            return
        progress.log_retry_refused(service)
        if progress.answer_started:
            raise exceptions.AnswerAbandoned("no retry is left")
        raise progress.final_error()
