"""The caller's side of a request: how its answer goes out."""

from typing import Protocol

from gypsumfold.gateway import types


class Reply(Protocol):
    """Takes the one answer of a request."""

    async def send(
        self, status: int, reason: str, fields: types.Fields, body: bytes
    ) -> None:
        """Sends a whole answer."""

    async def start(
        self,
        status: int,
        reason: str,
        fields: types.Fields,
        length: int | None,
    ) -> None:
        """Sends the head of an answer whose body follows."""

    async def write(self, data: bytes) -> None:
        """Sends a piece of the body."""

    async def end(self) -> None:
        """Ends the body; the answer is complete."""

    def abort(self) -> None:
        """Cuts the connection, so that the answer looks broken."""
