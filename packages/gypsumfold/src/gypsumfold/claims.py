"""Decides which attempt may run a call with an idempotency key.

The decision is a pure function of the records on the claims stream, in the
order of their offsets and by the log's own clock. It uses no network and no
local clock, so all nodes decide alike (docs/design/at-most-once.md).
"""

import enum
import re
from typing import NamedTuple
import uuid

from gypsumfold.logservice import records

# Fraction of the retention by which a key must be younger than the oldest
# record that the log keeps. It must exceed MAX_AHEAD_FRACTION: a claim logged
# as far before the key's own time as is allowed is then still kept when the
# last claim of the key is accepted.
AGE_MARGIN_FRACTION = 0.1
# Fraction of the retention, and maximum in seconds, by which a caller's clock
# may be ahead of the log's. NTP keeps VMs within a second; phones may be off
# by up to a minute without their owners noticing.
MAX_AHEAD_FRACTION = 0.01
MAX_AHEAD_SECONDS = 60.0

UUID_PATTERN = re.compile(
    r"[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}"
)


@records.register("claim")
class Claim(NamedTuple):
    """An attempt's claim to be the one that runs a key.

    Attributes:
        id: Incarnation of the node and a sequence number, joined by a
            slash; an append repeated after a lost answer keeps it.
        account: The client account that owns the key.
        key: The idempotency key, a UUIDv7 in its canonical form.
        digest: SHA-256 over the call and its body, in hex.
    """

    id: str
    account: str
    key: str
    digest: str


@records.register("claim-release")
class Release(NamedTuple):
    """An attempt has not dispatched and never will.

    Attributes:
        claim: The claim's id.
        account: The client account that owns the key.
        key: The idempotency key.
        closes: Whether it also closes the key, if the claim was the winning
            one: then no attempt with the key can run anymore.
    """

    claim: str
    account: str
    key: str
    closes: bool = False


@records.register("claim-outcome")
class Outcome(NamedTuple):
    """How the dispatch of the winning claim ended.

    Attributes:
        claim: The claim's id.
        account: The client account that owns the key.
        key: The idempotency key.
        result: A value of `outcomes.Outcome`.
        status: HTTP status of the service's answer; 0 where there is none.
        content_type: Of the answer.
        size: Bytes of the answer.
        digest: SHA-256 of the answer, in hex; empty where there is none.
        body: The answer, where it is small; None where it is not kept.
    """

    claim: str
    account: str
    key: str
    result: str
    status: int = 0
    content_type: str = ""
    size: int = 0
    digest: str = ""
    body: bytes | None = None


Record = Claim | Release | Outcome


class Step(enum.StrEnum):
    """What an attempt may do next.

    Attributes:
        CLAIM: Append its claim; no other attempt holds the key.
        WAIT: Another attempt holds the key and has not ended.
        DISPATCH: Its claim is the winning one and stays so.
        ANSWER: The key has an outcome.
        CONFLICT: The key was first used with another body.
        CLOSED: The key was refused and cannot run anymore.
        VOID: Its claim is invalid: released, or the key is too old or too
            far in the future by the log's clock.
    """

    CLAIM = "claim"
    WAIT = "wait"
    DISPATCH = "dispatch"
    ANSWER = "answer"
    CONFLICT = "conflict"
    CLOSED = "closed"
    VOID = "void"


class Age(enum.StrEnum):
    """Whether a key's time lies in the window that the log retains."""

    VALID = "valid"
    OLD = "old"
    FUTURE = "future"


class KeyState:
    """The state of one key, as read from the log.

    Attributes:
        account_key: The account and the key.
        time: When its first record was appended, by the log's clock.
        digest: Digest of the first valid claim; later claims must match it.
        claims: Ids of valid claims that are not released, in log order.
        released: Ids of released claims, including ones not seen yet.
        closed: Whether the winning claim closed the key without running it.
        outcome: How the dispatch ended.
    """

    # There is one instance for each key in the log's retention window.
    __slots__ = (
        "account_key",
        "claims",
        "closed",
        "digest",
        "outcome",
        "released",
        "time",
    )

    def __init__(self, account_key: tuple[str, str], time: float):
        self.account_key = account_key
        self.time = time
        self.digest = ""
        self.claims: list[str] = []
        self.released: frozenset[str] = frozenset()
        self.closed = False
        self.outcome: Outcome | None = None

    def add_claim(self, claim: Claim) -> None:
        """Applies a claim whose key's age is valid."""
        if claim.id in self.released or claim.id in self.claims:
            return
        if not self.digest:
            self.digest = claim.digest
        if claim.digest == self.digest:
            self.claims.append(claim.id)

    def add_release(self, release: Release) -> None:
        """Applies a release; only the winning claim's can close the key."""
        if release.closes and self.winner() == release.claim:
            self.closed = True
        self.released |= {release.claim}
        if release.claim in self.claims:
            self.claims.remove(release.claim)

    def add_outcome(self, outcome: Outcome) -> None:
        """Applies the winning claim's outcome; only the first one counts.

        It reuses the strings already held for the key, to save memory.
        """
        if self.outcome is None and self.winner() == outcome.claim:
            account, key = self.account_key
            self.outcome = outcome._replace(
                claim=self.claims[0], account=account, key=key
            )

    def winner(self) -> str:
        """Returns the id of the claim that may run; empty for none."""
        if self.closed or not self.claims:
            return ""
        return self.claims[0]


class Claims:
    """All keys within the log's retention window.

    >>> claims = Claims(retention=86400.0)
    >>> tail.subscribe(claims.apply, claims.gap)
    >>> claims.step(claim, read_back=False)
    <Step.CLAIM: 'claim'>

    Attributes:
        key_states: State by account and key, oldest first.
        time: The latest time of the log's clock that was read.
        floor: Keys must be newer than this, because entries that the
            log dropped unread may hold claims of older ones.
    """

    def __init__(self, retention: float):
        self.retention = retention
        self.max_ahead = min(MAX_AHEAD_SECONDS, MAX_AHEAD_FRACTION * retention)
        self.max_key_age = retention * (1 - AGE_MARGIN_FRACTION)
        self.key_states: dict[tuple[str, str], KeyState] = {}
        self.time = 0.0
        self.floor = 0.0
        self.has_gap = False

    def apply(self, entry: records.Entry) -> None:
        """Applies the next entry of the stream.

        Args:
            entry: In order of offset, each once.
        """
        self.time = max(self.time, entry.time)
        if self.has_gap:
            self.floor = entry.time + self.max_ahead
            self.has_gap = False
        for record in entry.records:
            if isinstance(record, Record):
                self.apply_record(record, entry.time)
        self.prune()

    def apply_record(self, record: Record, time: float) -> None:
        """Applies one record with its time by the log's clock."""
        account_key = (record.account, record.key)
        valid = self.age(record.key, time) == Age.VALID
        if account_key not in self.key_states:
            if not valid or isinstance(record, Outcome):
                return
            self.key_states[account_key] = KeyState(account_key, time)
        key_state = self.key_states[account_key]
        if isinstance(record, Claim) and valid:
            key_state.add_claim(record)
        elif isinstance(record, Release):
            key_state.add_release(record)
        elif isinstance(record, Outcome):
            key_state.add_outcome(record)

    def gap(self, wanted: int, first: int) -> None:
        """Records that the log dropped entries before they were read.

        Args:
            wanted: The offset that was to be read next.
            first: The lowest offset that is kept.
        """
        del wanted, first
        self.has_gap = True

    def prune(self) -> None:
        """Drops keys of which the log keeps no claim."""
        while self.key_states:
            account_key = next(iter(self.key_states))
            if self.key_states[account_key].time > self.time - self.retention:
                break
            del self.key_states[account_key]

    def age(self, key: str, now: float) -> Age:
        """Checks a key's own time against the retention window.

        Args:
            key: A UUIDv7 in canonical form, see `canonical_key`.
            now: Seconds since the epoch, by the log's clock.

        Returns:
            Whether a claim appended now is valid.
        """
        made = key_time(key)
        if made > now + self.max_ahead:
            return Age.FUTURE
        if made <= max(now - self.max_key_age, self.floor):
            return Age.OLD
        return Age.VALID

    def step(self, claim: Claim, read_back: bool) -> Step:
        """Returns what an attempt may do next.

        Args:
            claim: The attempt's claim, appended or not.
            read_back: Whether the claim's own offset was read.

        Returns:
            The step; `Step.DISPATCH` stays true until the attempt itself
            appends a release or an outcome.
        """
        key_state = self.key_states.get((claim.account, claim.key))
        if key_state is None:
            return Step.VOID if read_back else Step.CLAIM
        if key_state.digest and key_state.digest != claim.digest:
            return Step.CONFLICT
        if key_state.outcome is not None:
            return Step.ANSWER
        if key_state.closed:
            return Step.CLOSED
        if claim.id in key_state.released:
            return Step.VOID
        if key_state.winner() == claim.id:
            return Step.DISPATCH
        if key_state.winner():
            return Step.WAIT
        return Step.VOID if read_back else Step.CLAIM

    def outcome(self, account: str, key: str) -> Outcome | None:
        """Returns the recorded outcome of a key, if any."""
        key_state = self.key_states.get((account, key))
        return None if key_state is None else key_state.outcome

    def winner(self, account: str, key: str) -> str:
        """Returns the id of the claim that may run a key; empty for none."""
        key_state = self.key_states.get((account, key))
        return "" if key_state is None else key_state.winner()


def canonical_key(key: str) -> str:
    """Returns the canonical form of a UUIDv7 (RFC 9562, section 5.7).

    Args:
        key: As the caller wrote it.

    Returns:
        Its lowercase form; empty if it is not a UUIDv7.
    """
    key = key.strip().strip('"').lower()
    return key if UUID_PATTERN.fullmatch(key) else ""


def key_time(key: str) -> float:
    """Returns the time of a canonical UUIDv7, in seconds since the epoch."""
    return (uuid.UUID(key).int >> 80) / 1000


def incarnation_of(claim_id: str) -> str:
    """Returns the incarnation of the node that made a claim."""
    return claim_id.rpartition("/")[0]
