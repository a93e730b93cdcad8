"""Prompts to prefill, the engines for them and the choice among these."""

from typing import NamedTuple
from typing import Protocol

from gypsumfold.decisions import chains

# Urgencies from 0 to this are counted separately; larger ones count as this.
MAX_URGENCY = 3


class Engine(NamedTuple):
    """An engine that can prefill the prompt or has blocks of it to copy.

    Attributes:
        name: Its instance ID.
        address: IP:PORT.
    """

    name: str
    address: str


class Prompt(NamedTuple):
    """A prompt to prefill.

    Attributes:
        chain: Its prefix chain.
        model: The requested model.
        tokens: Length in tokens.
        urgency: Urgency of its route; 0 is the most urgent.
    """

    chain: chains.Chain
    model: str
    tokens: int
    urgency: int = 0


class Holder(NamedTuple):
    """An engine that caches a prompt prefix, and how many tokens of it."""

    name: str
    address: str
    tokens: int


class Choice(NamedTuple):
    """The engine chosen for a prompt, with time estimates.

    Attributes:
        engine: The engine's instance ID.
        peer: Address of the engine to copy cached blocks from; empty for
            none.
        tokens: Tokens left to prefill.
        prefill_seconds: Seconds to prefill them.
        total_seconds: Seconds until prefill is complete, including the wait.
        load: Seconds for which the prompt delays later prompts.
        late_ahead: Seconds of late prompts queued ahead if this one is late.
        late_key: Key under which it counts among late prompts; empty if it
            is on time.
        late_load: Seconds for which it delays late prompts behind it.
        urgency: Urgency under which it counts as waiting.
        expected: Seconds until prefill is complete if the engine has its usual
            speed, including the wait.
        sent_at: When the prompt was sent; None where that isn't recorded.
    """

    engine: str
    peer: str
    tokens: int
    prefill_seconds: float
    total_seconds: float
    load: float
    late_ahead: float = 0.0
    late_key: str = ""
    late_load: float = 0.0
    urgency: int = 0
    expected: float = 0.0
    sent_at: float | None = None


class LoadListener(Protocol):
    """Receives changes of this node's load, to send them to other nodes."""

    def sent(
        self, engine: str, prefix_hashes: list[int], tokens: list[int]
    ) -> None:
        """A prompt was sent to an engine."""

    def done(self) -> None:
        """A prompt or stream at an engine has ended."""


def urgency_key(engine: str, urgency: int) -> str:
    """Key of an engine's prompts of one urgency."""
    return f"{engine}/{min(urgency, MAX_URGENCY)}"
