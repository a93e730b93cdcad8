"""Permissions for single calls under the authority."""

from collections.abc import Callable

from gypsumfold import clocks
from gypsumfold import events
from gypsumfold import exceptions

# Failures of a call after which nothing of it can arrive any more.
UNSENT_OR_ANSWERED = (
    exceptions.AuthorityEnded,
    exceptions.EndpointNotStarted,
    exceptions.OrderRefused,
    exceptions.OperationsUnreachable,
    exceptions.OperationsFailed,
)


class Grant:
    """The permission for one call of the node that holds the authority.

    Whoever makes the call confirms it as the bytes are handed to the socket,
    since a connection may take long to open, and sees to it that nothing of
    the call arrives after `ends_at`. All times are those of `clocks.now`.

    Attributes:
        token: Fencing token of the call.
        member: This node's incarnation.
        renewed_at: When the renewal was sent on which the authority rests.
        ends_at: When the permission ends.
        is_current: Whether the node is still permitted to begin such calls.
        checked_at: When the permission was given.

    >>> with leadership.act() as grant:
    ...     grant.confirm("/usage")
    """

    def __init__(
        self,
        token: int,
        member: str,
        renewed_at: float,
        ends_at: float,
        is_current: Callable[[], bool] = lambda: True,
    ):
        self.token = token
        self.member = member
        self.renewed_at = renewed_at
        self.ends_at = ends_at
        self.is_current = is_current
        self.checked_at = clocks.now()

    def remaining(self) -> float:
        """Returns the seconds until the permission ends; 0 once it has."""
        return max(0.0, self.ends_at - clocks.now())

    def confirm(self, subject: str) -> None:
        """Confirms the permission just before the call's bytes are sent.

        Args:
            subject: What the call is about: tokens are compared for each one.

        Raises:
            exceptions.AuthorityEnded: It has ended; nothing may be sent.
        """
        now = clocks.now()
        if now >= self.ends_at or not self.is_current():
            age = now - self.renewed_at
            raise exceptions.AuthorityEnded(
                f"{subject}: token {self.token}, {age:.3f} s after a renewal"
            )
        events.log(
            events.AUTHORITY_USED,
            subject=subject,
            token=self.token,
            member=self.member,
            renewal_age=round(self.checked_at - self.renewed_at, 4),
            held=round(now - self.checked_at, 4),
        )
