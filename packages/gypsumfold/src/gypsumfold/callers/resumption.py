"""Signed stream positions, with which any node can resume a stream."""

from typing import NamedTuple

import itsdangerous

from gypsumfold import exceptions
from gypsumfold import outcomes
from gypsumfold import settings as settings_module

SALT = "stream-position"


class Position(NamedTuple):
    """A position in a stream.

    Attributes:
        account: The account that owns the stream.
        endpoint: The engine that generates the stream.
        dispatch: ID of the dispatch on that engine.
        index: Index of the last token that the caller received.
    """

    account: str
    endpoint: str
    dispatch: str
    index: int


class PositionSigner:
    """Signs and verifies the ``id:`` of streamed events.

    The signature covers everything but the index, so that it is computed
    only once per dispatch. A caller that changes the index can only reread
    its own stream.

    >>> positions = PositionSigner(settings.peers)
    >>> prefix = positions.sign("a", "na-1", "d-1")
    >>> positions.verify(prefix + ".7", "a").index
    7
    """

    def __init__(self, settings: settings_module.PeersSection):
        self.serializer = itsdangerous.URLSafeSerializer(
            settings.secret, salt=SALT
        )

    def sign(self, account: str, endpoint: str, dispatch: str) -> str:
        """Returns the signed part of the ID, which is constant per dispatch."""
        return self.serializer.dumps([account, endpoint, dispatch])

    def verify(self, text: str, account: str) -> Position:
        """Verifies and parses a caller's ``Last-Event-ID``.

        Args:
            text: Value of the header.
            account: The caller's account, which must own the stream.

        Raises:
            exceptions.RequestInvalid: The signature is invalid or the stream
                belongs to another account.
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
