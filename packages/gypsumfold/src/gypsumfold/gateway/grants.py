"""Permissions for single calls under the authority."""

from gypsumfold import clocks
from gypsumfold import events


class Grant:
    """The permission for one call of the node that holds the authority.

    Whoever makes the call confirms it as the bytes are handed to the socket,
    since a connection may take long to open. All times are those of
    `clocks.now`.

    Attributes:
        token: Fencing token of the call.
        member: This node's incarnation.
        renewed_at: When the renewal was sent on which the authority rests.
        checked_at: When it was given.

    >>> with leadership.act() as grant:
    ...     grant.confirm("/usage")
    """

    def __init__(self, token: int, member: str, renewed_at: float):
        self.token = token
        self.member = member
        self.renewed_at = renewed_at
        self.checked_at = clocks.now()

    def confirm(self, subject: str) -> None:
        """Logs that the call is being sent, with the age of its permission.

        Args:
            subject: What the call is about: tokens are compared for each one.
        """
        now = clocks.now()
        events.log(
            events.AUTHORITY_USED,
            subject=subject,
            token=self.token,
            member=self.member,
            renewal_age=round(self.checked_at - self.renewed_at, 4),
            held=round(now - self.checked_at, 4),
        )
