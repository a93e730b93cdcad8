"""The waiting requests of one service on one node: the interface.

`fairness` has the queue that is used and its baseline.
"""

from collections.abc import Iterator
from typing import NamedTuple
from typing import Protocol

from gypsumfold.decisions import types


class WaitingRequest(NamedTuple):
    """A request in the queue.

    Attributes:
        request: It.
        position: Where it stands in its account and urgency; lower first.
        cost: Tokens it is expected to use.
        work: Seconds it is expected to take.
        long: Whether that is much more than usual.
        since: When it was taken in.
    """

    request: types.Request
    position: float
    cost: float
    work: float
    long: bool
    since: float


class Turn(NamedTuple):
    """A waiting request whose turn it is.

    Attributes:
        item: It.
        urgency: The urgency to serve it with, against the service's most
            urgent kind, which is 0; less than what it asks for where its
            account has used up its share.
    """

    item: WaitingRequest
    urgency: int


class Queue(Protocol):
    """The waiting requests of one service on one node."""

    waiting: dict[str, WaitingRequest]

    def push(self, item: WaitingRequest, now: float) -> None:
        """Takes a request in."""

    def remove(self, request_id: str) -> WaitingRequest | None:
        """Takes a request out; None if it is not there."""

    def ordered(self, now: float, allow_long: bool) -> Iterator[Turn]:
        """The next requests to try, best first.

        Args:
            now: The time.
            allow_long: Whether long requests may be sent; else they are left
                out, and hold up nothing behind them.
        """

    def charge(self, item: WaitingRequest, now: float) -> None:
        """Charges the account of a request that is sent now."""

    def settle(self, request: types.Request, charged: float, used: float):
        """Corrects a charge by what was used."""

    def queued_ahead(
        self, now: float
    ) -> Iterator[tuple[WaitingRequest, float]]:
        """Yields each request with the seconds of work that go before it."""

    def relative_urgency(self, urgency: int) -> int:
        """The urgency against the service's most urgent kind, which is 0."""

    def refresh(self, item: WaitingRequest) -> None:
        """Replaces the estimates of a request that waits."""

    def victim(self, now: float) -> WaitingRequest | None:
        """The request to give up first where there are too many."""

    def set_remote_usage(self, uses: list[types.AccountUsage]) -> None:
        """Replaces what accounts use through other nodes."""

    def set_shares(self, shares: dict[str, types.Share]) -> None:
        """Replaces what accounts are entitled to."""

    def is_over_limit(self, name: str, now: float) -> bool:
        """Whether an account uses more than its declared limit."""

    def hottest_accounts(
        self, most: int, now: float
    ) -> list[types.AccountUsage]:
        """The accounts that use most here, for the digest to peers."""
