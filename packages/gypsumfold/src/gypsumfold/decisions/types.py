"""What the decisions are about: requests, replicas, reports and actions.

Times are seconds of one monotonic clock that the caller of a decision passes
in; tokens are counts. Nothing here reads a clock, a socket or a random
source of its own.
"""

import enum
from typing import NamedTuple


class Role(enum.StrEnum):
    """What an engine does."""

    MIXED = "mixed"
    PREFILL = "prefill"
    DECODE = "decode"


class Request(NamedTuple):
    """One request of a caller, as far as decisions need it.

    Attributes:
        id: The dispatch id, unique for the life of the node.
        account: Who pays for it.
        model: Model, adapter and version asked for; empty for plain calls.
        kind: The declared kind of request.
        urgency: 0 is the most urgent; larger may wait longer.
        arrival: When the node had read it.
        deadline: When its answer is worth nothing any more.
        prompt_tokens: Length of the prompt.
        output_tokens: Most tokens that the answer may have.
        prefix: Hash of the prompt's beginning; 0 where there is none.
        repeatable: Whether it may be run more than once.
        recovered: Whether an engine failed while running it; ``arrival`` is
            then still the first one.
        service: The service that it is for.
        avoid: Replicas that failed it before; not to be chosen while there
            is another.
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
    """What an engine last said about its load.

    Attributes:
        taken: When the engine took the figures (not when they arrived).
        running: Sequences in the batch.
        waiting: Sequences in the engine's own queue.
        prefill_tokens: Prompt tokens that still wait to be processed.
        kv_used: Share of the KV cache in use, 0 to 1.
        batch: Most sequences that the engine runs at once.
        prefill_rate: Prompt tokens a second of the engine, alone.
        decode_rate: Output tokens a second of one sequence, alone.
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
    """One endpoint that could take work.

    Attributes:
        name: The endpoint's name.
        data_centre: Where it stands.
        role: Of an engine; `Role.MIXED` for plain services.
        open: Whether new work may go there at all (not drained, leaving,
            silent or closed for a planned change).
        report: The last report; None where there is none.
        models: Model names that it can serve; empty for plain services.
    """

    name: str
    data_centre: str
    role: Role
    open: bool
    report: Report | None
    models: frozenset[str] = frozenset()


class Dispatch(NamedTuple):
    """Send this request to this replica now.

    Attributes:
        request: The request.
        replica: The replica that runs it.
        prefill: The replica that processes its prompt first and hands the KV
            cache over; empty where ``replica`` does all.
    """

    request: Request
    replica: str
    prefill: str = ""


class Refuse(NamedTuple):
    """Give this request its final answer now.

    Attributes:
        request: It was not dispatched.
        reason: One sentence for the caller.
        retry_after: Seconds after which a repeat makes sense.
    """

    request: Request
    reason: str
    retry_after: float


Action = Dispatch | Refuse


class Demand(NamedTuple):
    """What callers ask of one service on one node, served or not.

    Attributes:
        prompt_tokens: Tokens a second; a plain call counts as one.
        output_tokens: Tokens a second that the answers are expected to have.
        waiting: Requests in the queue.
    """

    prompt_tokens: float
    output_tokens: float
    waiting: int

    @property
    def tokens(self) -> float:
        """Prompt and output tokens a second."""
        return self.prompt_tokens + self.output_tokens


class Share(NamedTuple):
    """What an account is entitled to at a service.

    Attributes:
        weight: Its share against other accounts.
        tokens_per_second: Most that it may use; 0 for no limit.
    """

    weight: float = 1.0
    tokens_per_second: float = 0.0


class AccountUsage(NamedTuple):
    """What one account uses of one service through one node."""

    account: str
    tokens_per_second: float


class Finish(enum.StrEnum):
    """How a dispatch ended, as its replica is to be judged by it."""

    DONE = "done"
    CANCELLED = "cancelled"
    FAILED = "failed"
    TIMED_OUT = "timed-out"
    NOT_STARTED = "not-started"


class Result(NamedTuple):
    """The end of a dispatch.

    Attributes:
        finish: How it ended.
        first_token: Seconds from dispatch to the first token; None where
            there was none.
        seconds: From dispatch to the end.
        output_tokens: Tokens that came.
    """

    finish: Finish
    first_token: float | None
    seconds: float
    output_tokens: int
