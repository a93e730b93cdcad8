"""Who may run a call under an idempotency key: a state machine over the log.

A pure function of the records on the claims stream, in the order of their
offsets and by the log's own clock; no network and no clock of its own, so
that all nodes come to the same verdict (docs/design/at-most-once.md).
"""

import enum
import re
from typing import NamedTuple
import uuid

from gypsumfold.logservice import records

# Share of the retention by which a key must be younger than the oldest
# record that the log keeps. It has to exceed FUTURE_SHARE: a claim made as
# far before the key's own time as is allowed is then still kept when the
# last claim of the key is accepted.
AGE_MARGIN_FRACTION = 0.1
# Share of the retention, and seconds at the most, by which the clock of a
# caller may be ahead of the log's. NTP keeps VMs within a second; phones
# may be off by up to a minute without their owners noticing.
MAX_AHEAD_FRACTION = 0.01
MAX_AHEAD_SECONDS = 60.0

UUID_PATTERN = re.compile(
    r"[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}"
)


@records.register("claim")
class Claim(NamedTuple):
    """One attempt asks to be the one that runs a key.

    Attributes:
        id: Incarnation of the node and a sequence number, joined by a
            slash; an append repeated after a lost answer keeps it.
        account: Whose key it is.
        key: The idempotency key, a UUIDv7 in its canonical form.
        digest: SHA-256 over the call and its body, in hex.
    """

    id: str
    account: str
    key: str
    digest: str


@records.register("claim-release")
class Release(NamedTuple):
    """An attempt that has not dispatched and never will.

    Attributes:
        claim: The claim's id.
        account: Whose key it is.
        key: The idempotency key.
        closes: Whether the key ends with it, if the claim was the winning
            one: then no attempt under it can run any more.
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
        account: Whose key it is.
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
        CLAIM: Append its claim; nobody else holds the key.
        WAIT: Another attempt holds the key and has not ended.
        DISPATCH: Its claim is the winning one, for good.
        ANSWER: The key has an outcome.
        CONFLICT: The key belongs to another body.
        CLOSED: The key was refused and cannot run any more.
        VOID: Its claim counts for nothing: released, or the key is too old
            or too far in the future by the log's clock.
    """

    CLAIM = "claim"
    WAIT = "wait"
    DISPATCH = "dispatch"
    ANSWER = "answer"
    CONFLICT = "conflict"
    CLOSED = "closed"
    VOID = "void"


class Age(enum.StrEnum):
    """Whether a key's time lies in the window that the log remembers."""

    VALID = "valid"
    OLD = "old"
    FUTURE = "future"


class KeyState:
    """What the log says of one key.

    Attributes:
        account_key: The account and the key.
        time: By the log's clock, when its first record was taken.
        digest: Of the first valid claim; fixes the body for good.
        claims: Ids of valid claims that are not released, in log order.
        released: Ids of claims that are void, also ones not seen yet.
        closed: Whether the winning claim ended the key unrun.
        outcome: How the dispatch ended.
    """

    # One stands for each key of the log's whole window.
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
        """Notes a claim whose key's age is valid."""
        if claim.id in self.released or claim.id in self.claims:
            return
        if not self.digest:
            self.digest = claim.digest
        if claim.digest == self.digest:
            self.claims.append(claim.id)

    def add_release(self, release: Release) -> None:
        """Notes a release; it closes the key only from the winning claim."""
        if release.closes and self.winner() == release.claim:
            self.closed = True
        self.released |= {release.claim}
        if release.claim in self.claims:
            self.claims.remove(release.claim)

    def add_outcome(self, outcome: Outcome) -> None:
        """Notes the winning claim's outcome; the first one counts.

        It is kept with the strings that are here already.
        """
        if self.outcome is None and self.winner() == outcome.claim:
            account, key = self.account_key
            self.outcome = outcome._replace(
                claim=self.claims[0], account=account, key=key
            )

    def winner(self) -> str:
        """The claim that may run; empty where none may."""
        if self.closed or not self.claims:
            return ""
        return self.claims[0]


class Claims:
    """All keys within the log's window.

    >>> claims = Claims(retention=86400.0)
    >>> tail.subscribe(claims.apply, claims.gap)
    >>> claims.step(claim, read_back=False)
    <Step.CLAIM: 'claim'>

    Attributes:
        slots: By account and key, the oldest first.
        time: The latest time of the log's clock that was seen.
        floor: Keys must be younger than this: what the log dropped unread
            may hold claims of older ones.
    """

    def __init__(self, retention: float):
        self.retention = retention
        self.max_ahead = min(MAX_AHEAD_SECONDS, MAX_AHEAD_FRACTION * retention)
        self.max_key_age = retention * (1 - AGE_MARGIN_FRACTION)
        self.key_states: dict[tuple[str, str], KeyState] = {}
        self.time = 0.0
        self.min_key_time = 0.0
        self.has_gap = False

    def apply(self, entry: records.Entry) -> None:
        """Takes the next entry of the stream.

        Args:
            entry: In order of offset, each once.
        """
        self.time = max(self.time, entry.time)
        if self.has_gap:
            self.min_key_time = entry.time + self.max_ahead
            self.has_gap = False
        for record in entry.records:
            if isinstance(record, Record):
                self.apply_record(record, entry.time)
        self.prune()

    def apply_record(self, record: Record, time: float) -> None:
        """Takes one record that the log took at a time by its clock."""
        account_key = (record.account, record.key)
        valid = self.age(record.key, time) == Age.VALID
        if account_key not in self.key_states:
            if not valid or isinstance(record, Outcome):
                return
            self.key_states[account_key] = KeyState(account_key, time)
        slot = self.key_states[account_key]
        if isinstance(record, Claim) and valid:
            slot.add_claim(record)
        elif isinstance(record, Release):
            slot.add_release(record)
        elif isinstance(record, Outcome):
            slot.add_outcome(record)

    def gap(self, wanted: int, first: int) -> None:
        """Notes that the log dropped entries before they were read.

        Args:
            wanted: The offset that was to be read next.
            first: The lowest that is kept.
        """
        del wanted, first
        self.has_gap = True

    def prune(self) -> None:
        """Forgets keys of which the log keeps no claim."""
        while self.key_states:
            account_key = next(iter(self.key_states))
            if self.key_states[account_key].time > self.time - self.retention:
                break
            del self.key_states[account_key]

    def age(self, key: str, now: float) -> Age:
        """Judges a key's own time.

        Args:
            key: A UUIDv7 in canonical form, see `canonical`.
            now: Seconds since the epoch, by the log's clock.

        Returns:
            Whether a claim that the log takes now counts.
        """
        made = key_time(key)
        if made > now + self.max_ahead:
            return Age.FUTURE
        if made <= max(now - self.max_key_age, self.min_key_time):
            return Age.OLD
        return Age.VALID

    def step(self, claim: Claim, read_back: bool) -> Step:
        """Says what an attempt may do next.

        Args:
            claim: The attempt's claim, appended or not.
            read_back: Whether the claim's own offset was read.

        Returns:
            The step; `Step.DISPATCH` stays true until the attempt itself
            appends a release or an outcome.
        """
        slot = self.key_states.get((claim.account, claim.key))
        if slot is None:
            return Step.VOID if read_back else Step.CLAIM
        if slot.digest and slot.digest != claim.digest:
            return Step.CONFLICT
        if slot.outcome is not None:
            return Step.ANSWER
        if slot.closed:
            return Step.CLOSED
        if claim.id in slot.released:
            return Step.VOID
        if slot.winner() == claim.id:
            return Step.DISPATCH
        if slot.winner():
            return Step.WAIT
        return Step.VOID if read_back else Step.CLAIM

    def outcome(self, account: str, key: str) -> Outcome | None:
        """The recorded outcome of a key, where there is one."""
        slot = self.key_states.get((account, key))
        return None if slot is None else slot.outcome

    def winner(self, account: str, key: str) -> str:
        """The id of the claim that may run a key; empty for none."""
        slot = self.key_states.get((account, key))
        return "" if slot is None else slot.winner()


def canonical_key(key: str) -> str:
    """Gives the one spelling of a UUIDv7 (RFC 9562, section 5.7).

    Args:
        key: As the caller wrote it.

    Returns:
        Its lowercase form; empty where it is no UUIDv7.
    """
    key = key.strip().strip('"').lower()
    return key if UUID_PATTERN.fullmatch(key) else ""


def key_time(key: str) -> float:
    """Seconds since the epoch at which a canonical UUIDv7 was made."""
    return (uuid.UUID(key).int >> 80) / 1000


def incarnation_of(claim_id: str) -> str:
    """The incarnation of the node that made a claim."""
    return claim_id.rpartition("/")[0]
