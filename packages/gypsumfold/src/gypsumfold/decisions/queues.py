"""Interface of the queue of waiting requests of one service on one node.

`fairness` has the implementation that is used and its baseline.
"""

from collections.abc import Iterator
from typing import NamedTuple
from typing import Protocol

from gypsumfold.decisions import types


class WaitingRequest(NamedTuple):
    """A request in the queue.

    Attributes:
        request: The request.
        position: Sort key within its account and urgency; lowest first.
        cost: Tokens it is expected to use.
        work: Seconds it is expected to take.
        long: Whether it takes much longer than usual.
        since: Time when it entered the queue.
    """

    request: types.Request
    position: float
    cost: float
    work: float
    long: bool
    since: float


class Turn(NamedTuple):
    """A waiting request that is next to be tried.

    Attributes:
        item: The waiting request.
        urgency: The urgency to serve it with, relative to the service's most
            urgent kind, which is 0. It is less urgent than requested if its
            account has used up its share.
    """

    item: WaitingRequest
    urgency: int


class Queue(Protocol):
    """The waiting requests of one service on one node."""

    waiting: dict[str, WaitingRequest]

    def push(self, item: WaitingRequest, now: float) -> None:
        """Adds a request."""

    def remove(self, request_id: str) -> WaitingRequest | None:
        """Removes and returns a request; None if it isn't in the queue."""

    def ordered(self, now: float, allow_long: bool) -> Iterator[Turn]:
        """Yields the next requests to try, best first.

        Args:
            now: Current time.
            allow_long: Whether long requests may be sent. If not, they are
                skipped and delay nothing behind them.
        """

    def charge(self, item: WaitingRequest, now: float) -> None:
        """Charges an account for a request that is being sent."""

    def settle(self, request: types.Request, charged: float, used: float):
        """Corrects a charge to the tokens used."""

    def queued_ahead(
        self, now: float
    ) -> Iterator[tuple[WaitingRequest, float]]:
        """Yields each request with the seconds of work queued ahead of it."""

    def relative_urgency(self, urgency: int) -> int:
        """Urgency relative to the service's most urgent kind, which is 0."""

    def refresh(self, item: WaitingRequest) -> None:
        """Replaces the estimates of a waiting request."""

    def victim(self, now: float) -> WaitingRequest | None:
        """The request to refuse first if too many wait."""

    def set_remote_usage(self, uses: list[types.AccountUsage]) -> None:
        """Replaces the accounts' usage through other nodes."""

    def set_shares(self, shares: dict[str, types.Share]) -> None:
        """Replaces the accounts' declared shares."""

    def is_over_limit(self, name: str, now: float) -> bool:
        """Whether an account exceeds its declared limit."""

    def hottest_accounts(
        self, max_accounts: int, now: float
    ) -> list[types.AccountUsage]:
        """The heaviest accounts on this node, for the digest to peers."""
