"""Permission to dispatch to an engine, checked when the body is sent."""

from collections.abc import AsyncIterator
import contextlib
from typing import Protocol

from gypsumfold import exceptions


class Permit(Protocol):
    """The permission of this node to dispatch to one engine."""

    def allows(self) -> bool:
        """Whether the node may dispatch at this instant."""

    def check(self) -> None:
        """Checks that the node may dispatch at this instant.

        Raises:
            exceptions.EndpointNotStarted: The node may not dispatch.
        """

    def dispatch(self) -> contextlib.AbstractContextManager[None]:
        """Counts a dispatch while it is in progress."""


class AlwaysAllowed:
    """A permit that always allows dispatches and counts none."""

    def allows(self) -> bool:
        """Returns True."""
        return True

    def check(self) -> None:
        """Does nothing."""

    def dispatch(self) -> contextlib.AbstractContextManager[None]:
        """Returns a context manager that does nothing."""
        return contextlib.nullcontext()


class DispatchBody:
    """The body of a dispatch, sent only if the permit still allows it.

    Attributes:
        refused: Whether the permit refused the body.
    """

    def __init__(self, permit: Permit, content: bytes):
        self.permit = permit
        self.content = content
        self.refused = False

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as one chunk.

        Raises:
            exceptions.EndpointNotStarted: The permit does not allow it.
        """
        try:
            self.permit.check()
        except exceptions.EndpointNotStarted:
            self.refused = True
            raise
        yield self.content
