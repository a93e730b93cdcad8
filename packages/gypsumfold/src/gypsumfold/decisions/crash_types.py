"""What nodes record of crashes, and what they decide from it."""

import enum
from typing import NamedTuple


class Decision(enum.Enum):
    """What may be done with a request.

    Attributes:
        FREE: The request is sent like any other.
        CANARY: It runs as the only suspect on its replica, one copy at a time.
        QUARANTINED: It is sent to no replica.
    """

    FREE = "free"
    CANARY = "canary"
    QUARANTINED = "quarantined"


class Incarnation(NamedTuple):
    """One run of a replica, from a start to its end.

    Attributes:
        instance: The replica's instance.
        started: Unix milliseconds of its start; 0 if unknown.
    """

    instance: str
    started: int = 0


class Interrupted(NamedTuple):
    """A subject that a crash interrupted, as nodes exchange it.

    Attributes:
        replica: The incarnation that crashed.
        fingerprint: The subject's fingerprint.
        output: Whether its caller had received output of this run.
        cleared: Whether a request with it has completed since.
        alone: Whether it ran as a canary.
        version: Digest of the replica's software version; 0 if unknown.
        age: Seconds since the crash.
    """

    replica: Incarnation
    fingerprint: int
    output: bool
    cleared: bool
    alone: bool = False
    version: int = 0
    age: float = 0.0


class Judgement(NamedTuple):
    """What may be done with a request, from all its subjects.

    Attributes:
        decision: The decision.
        suspects: The subjects that a canary has to run alone with.
        cause: The subject in quarantine; None unless it is refused.
        until: End of that quarantine.
    """

    decision: Decision
    suspects: tuple[int, ...] = ()
    cause: int | None = None
    until: float = 0.0


class Crash:
    """What is known of one crash.

    Attributes:
        at: When it was, as far as this node knows.
        version: Digest of the replica's software version; 0 if unknown.
        requests: The interrupted subjects, and whether each had given output.
        alone: Subjects that ran as a canary.
        cleared: Subjects that have completed since.
        cause: The subject that the crash is attributed to; None if unknown.
        expired: Subjects no longer suspected of it, because their quarantine
            is over.
    """

    def __init__(self, at: float):
        self.at = at
        self.version = 0
        self.requests: dict[int, bool] = {}
        self.alone: set[int] = set()
        self.cleared: set[int] = set()
        self.cause: int | None = None
        self.expired: set[int] = set()
