"""The interface through which the answer is sent to the caller."""

from typing import Protocol

from gypsumfold.gateway import types


class Reply(Protocol):
    """Sends the one answer of a request."""

    async def send(
        self, status: int, reason: str, fields: types.Fields, body: bytes
    ) -> None:
        """Sends a complete answer."""

    async def start(
        self,
        status: int,
        reason: str,
        fields: types.Fields,
        length: int | None,
    ) -> None:
        """Sends the head of an answer whose body follows."""

    async def write(self, data: bytes) -> None:
        """Sends a chunk of the body."""

    async def end(self) -> None:
        """Ends the body; the answer is complete."""

    def abort(self) -> None:
        """Aborts the connection; the caller sees an incomplete answer."""
