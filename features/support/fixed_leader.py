"""A leader whose token a test sets."""

import contextlib


class FixedLeader:
    """Stands for a gateway that holds the authority with some token."""

    def __init__(self, held):
        self.held = held

    def token(self, now):
        """The fencing token."""
        return self.held

    @contextlib.contextmanager
    def act(self):
        """Yields the token for one call."""
        yield self.held
