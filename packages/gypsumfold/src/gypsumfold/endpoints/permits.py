"""Permission to dispatch to an engine, asked for as the bytes go out."""

from collections.abc import AsyncIterator
import contextlib
from typing import Protocol

from gypsumfold import exceptions


class Permit(Protocol):
    """Whether this node may dispatch to one engine."""

    def allows(self) -> bool:
        """Whether it may at this instant."""

    def check(self) -> None:
        """Insists on it.

        Raises:
            exceptions.EndpointNotStarted: It may not.
        """

    def dispatch(self) -> contextlib.AbstractContextManager[None]:
        """Counts a dispatch for as long as it is in progress."""


class AlwaysAllowed:
    """Where nothing is ever closed."""

    def allows(self) -> bool:
        """Always."""
        return True

    def check(self) -> None:
        """Always passes."""

    def dispatch(self) -> contextlib.AbstractContextManager[None]:
        """Counts nothing."""
        return contextlib.nullcontext()


class DispatchBody:
    """A dispatch's bytes, given out if the permit holds as they are sent."""

    def __init__(self, permit: Permit, content: bytes):
        self.permit = permit
        self.content = content
        self.refused = False

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the bytes at once, or raises what the permit raises."""
        try:
            self.permit.check()
        except exceptions.EndpointNotStarted:
            self.refused = True
            raise
        yield self.content
