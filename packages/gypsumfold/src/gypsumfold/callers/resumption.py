"""Signed positions in a stream, so that any node can resume it."""

from typing import NamedTuple

import itsdangerous

from gypsumfold import exceptions
from gypsumfold import outcomes
from gypsumfold import settings as settings_module

SALT = "stream-position"


class Position(NamedTuple):
    """Where a stream is.

    Attributes:
        account: Whose it is.
        endpoint: The engine that generates it.
        dispatch: Its id there.
        index: The last token that the caller has.
    """

    account: str
    endpoint: str
    dispatch: str
    index: int


class PositionSigner:
    """Writes and reads the ``id:`` of streamed events.

    The signature covers all but the index and is made once for a dispatch:
    whoever changes the index can only reread a stream of its own.

    >>> positions = Positions(settings.peers)
    >>> positions.read(positions.prefix("a", "na-1", "d-1") + ".7").index
    7
    """

    def __init__(self, settings: settings_module.PeersSection):
        self.serializer = itsdangerous.URLSafeSerializer(
            settings.secret, salt=SALT
        )

    def sign(self, account: str, endpoint: str, dispatch: str) -> str:
        """Makes the part of the id that is the same for a dispatch."""
        return self.serializer.dumps([account, endpoint, dispatch])

    def verify(self, text: str, account: str) -> Position:
        """Reads the ``Last-Event-ID`` of a caller.

        Args:
            text: The header.
            account: The caller's, which the stream must be of.

        Raises:
            exceptions.RequestInvalid: It is not one of ours, or not this
                account's.
        """
        signed, _, index = text.rpartition(".")
        try:
            parts = self.serializer.loads(signed)
            position = Position(*parts, int(index))
        except (itsdangerous.BadData, TypeError, ValueError) as error:
            raise exceptions.RequestInvalid(
                "Last-Event-ID is not one of this system",
                outcomes.Outcome.NOT_RUN,
            ) from error
        if position.account != account:
            raise exceptions.RequestInvalid(
                "Last-Event-ID is of another account",
                outcomes.Outcome.NOT_RUN,
            )
        return position
