"""A leader whose token a test sets."""

import contextlib

from gypsumfold import clocks
from gypsumfold.gateway import grants


def grant(token):
    """A permission that lasts."""
    now = clocks.now()
    return grants.Grant(token, "edge-1-1", now, now + 60.0)


class FixedLeader:
    """Stands for a gateway that holds the authority with some token.

    Attributes:
        refused: The tokens of which it was told that they were refused.
    """

    def __init__(self, held):
        self.held = held
        self.refused = []

    def begin_anew(self, token):
        """Begins another tenure, as a token was refused."""
        self.refused.append(token)
        if token == self.held:
            self.held = token + 1

    def token(self, now):
        """The fencing token."""
        return self.held

    @contextlib.contextmanager
    def act(self):
        """Yields the permission for one call."""
        yield None if self.held is None else grant(self.held)
