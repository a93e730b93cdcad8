"""Tokens that the platform has refused; none of them is used again.

The platform answers 409 to a token below one that it has seen, and also while
it has no replicas to give. The two can't be told apart. A refused token is not
repeated, since another node may have used a higher one. The leadership is told
so that it begins a new tenure through the store: a node that is still the
holder goes on with a higher token, and another one doesn't.
"""

from collections.abc import Callable
from typing import NamedTuple

from gypsumfold import clocks

# Most seconds between two refused calls on one matter.
LONGEST_PAUSE_SECONDS = 16.0


class Pause(NamedTuple):
    """For how long a higher token isn't tried either.

    Attributes:
        seconds: How long the pause is; 0 after the first refusal.
        ends_at: When it ends, by `clocks.now`.
    """

    seconds: float
    ends_at: float


class RefusedTokens:
    """Decides which calls may be made after refusals.

    Attributes:
        pause_seconds: The first pause.
        listener: Told of each refused token. It must not wait: the call's act
            has not ended yet.

    >>> refused = RefusedTokens(4.0)
    >>> refused.record("lm", "north", 3)
    >>> refused.may_call("lm", "north", 3)
    False
    """

    def __init__(self, pause_seconds: float):
        self.pause_seconds = pause_seconds
        self.tokens: dict[str, int] = {}
        self.pauses: dict[tuple[str, str], Pause] = {}
        self.listener: Callable[[int], None] = lambda token: None

    def may_call(self, matter: str, part: str, token: int) -> bool:
        """Whether a token may be used.

        Args:
            matter: What the token is refused for as a whole.
            part: The part of it that another refusal concerns, such as a data
                centre that may have no replicas to give; empty if none does.
            token: The token.
        """
        if token <= self.tokens.get(matter, -1):
            return False
        pause = self.pauses.get((matter, part))
        return pause is None or clocks.now() >= pause.ends_at

    def record(self, matter: str, part: str, token: int) -> None:
        """Records that a token was refused.

        The next one is tried at once. From the second refusal in a row on,
        each pause is twice as long as the one before.
        """
        self.tokens[matter] = max(token, self.tokens.get(matter, -1))
        seconds = 0.0
        before = self.pauses.get((matter, part))
        if before is not None:
            seconds = max(self.pause_seconds, 2 * before.seconds)
            seconds = min(seconds, LONGEST_PAUSE_SECONDS)
        self.pauses[matter, part] = Pause(seconds, clocks.now() + seconds)
        self.listener(token)

    def record_accepted(self, matter: str, part: str) -> None:
        """Records that a call was accepted."""
        self.pauses.pop((matter, part), None)
