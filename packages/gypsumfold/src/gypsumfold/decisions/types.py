"""Types that the decisions use: requests, replicas, reports and actions.

Times are in seconds of one monotonic clock, whose value the caller of a
decision passes in. Decisions read no clock, socket or random source of their
own.
"""

import enum
from typing import NamedTuple


class Role(enum.StrEnum):
    """Role of an engine."""

    MIXED = "mixed"
    PREFILL = "prefill"
    DECODE = "decode"


class Request(NamedTuple):
    """The properties of a caller's request that decisions need.

    Attributes:
        id: The dispatch ID, unique for the lifetime of the node.
        account: The client account it is charged to.
        model: Requested model, adapter and version; empty for plain calls.
        kind: The declared kind of request.
        urgency: 0 is the most urgent; larger values may wait longer.
        arrival: Time when the node had received it.
        deadline: Time after which its answer is useless.
        prompt_tokens: Length of the prompt.
        output_tokens: Maximum length of the answer.
        prefix: Hash of the prompt prefix; 0 if there is none.
        repeatable: Whether it may be run more than once.
        recovered: Whether an engine failed while running it; ``arrival`` is
            still its first arrival.
        service: The service it is for.
        avoid: Replicas on which it failed before; chosen only if there is no
            other.
    """

    id: str
    account: str
    model: str
    kind: str
    urgency: int
    arrival: float
    deadline: float
    prompt_tokens: int
    output_tokens: int
    prefix: int = 0
    repeatable: bool = True
    recovered: bool = False
    service: str = ""
    avoid: frozenset[str] = frozenset()


class Report(NamedTuple):
    """The last load report of an engine.

    Attributes:
        taken: Time when the engine measured it (not when it arrived).
        running: Sequences in the batch.
        waiting: Sequences in the engine's own queue.
        prefill_tokens: Prompt tokens waiting for prefill.
        kv_used: Fraction of the KV cache in use, 0 to 1.
        batch: Maximum number of sequences that the engine runs at once.
        prefill_rate: Prompt tokens per second of the idle engine.
        decode_rate: Output tokens per second of a sequence that runs alone.
    """

    taken: float
    running: int
    waiting: int
    prefill_tokens: int
    kv_used: float
    batch: int
    prefill_rate: float
    decode_rate: float


class Replica(NamedTuple):
    """An endpoint that may take requests.

    Attributes:
        name: The endpoint's name.
        data_centre: Its data centre.
        role: Role of an engine; `Role.MIXED` for plain services.
        open: Whether it accepts new requests (it isn't drained, leaving,
            silent or closed for a planned change).
        report: The last load report; None if there is none.
        models: Names of the models it can serve; empty for plain services.
    """

    name: str
    data_centre: str
    role: Role
    open: bool
    report: Report | None
    models: frozenset[str] = frozenset()


class Dispatch(NamedTuple):
    """The action of sending a request to a replica.

    Attributes:
        request: The request.
        replica: The replica that runs it.
        prefill: The replica that prefills its prompt first and transfers the
            KV cache; empty if ``replica`` does both.
    """

    request: Request
    replica: str
    prefill: str = ""


class Refuse(NamedTuple):
    """The action of refusing a request that was not dispatched.

    Attributes:
        request: The request.
        reason: One sentence for the caller.
        retry_after: Seconds after which the caller should retry.
    """

    request: Request
    reason: str
    retry_after: float


Action = Dispatch | Refuse


class Demand(NamedTuple):
    """Demand for one service on one node, whether served or not.

    Attributes:
        prompt_tokens: Prompt tokens per second; a plain call counts as one.
        output_tokens: Expected output tokens per second.
        waiting: Requests in the queue.
    """

    prompt_tokens: float
    output_tokens: float
    waiting: int

    @property
    def tokens(self) -> float:
        """Prompt and output tokens per second."""
        return self.prompt_tokens + self.output_tokens


class Share(NamedTuple):
    """An account's declared share of a service.

    Attributes:
        weight: Its weight relative to other accounts.
        tokens_per_second: Its rate limit; 0 for no limit.
    """

    weight: float = 1.0
    tokens_per_second: float = 0.0


class AccountUsage(NamedTuple):
    """Rate at which an account uses one service through one node."""

    account: str
    tokens_per_second: float


class Finish(enum.StrEnum):
    """How a dispatch ended, from which its replica's health is derived."""

    DONE = "done"
    CANCELLED = "cancelled"
    FAILED = "failed"
    TIMED_OUT = "timed-out"
    NOT_STARTED = "not-started"


class Result(NamedTuple):
    """The result of a dispatch.

    Attributes:
        finish: How it ended.
        first_token: Seconds from dispatch to the first token; None if there
            was none.
        seconds: Seconds from dispatch to the end.
        output_tokens: Tokens received.
    """

    finish: Finish
    first_token: float | None
    seconds: float
    output_tokens: int
