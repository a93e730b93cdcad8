"""What each replica is doing now: its report and own dispatches since.

Load pattern: load reports that lag, so that a busy engine looks idle.
Without it every request of the next second goes to the replica whose old
report looks best, and the node floods it.
"""

import collections
from typing import NamedTuple
from typing import Protocol

from gypsumfold.decisions import types

# Seconds after which a report says nothing: eight polls at the default of
# 0.25 s, the time after which an endpoint counts as silent too.
STALE_AFTER_SECONDS = 2.0


class InFlightRequest(NamedTuple):
    """One own dispatch in progress.

    Attributes:
        request: What was dispatched.
        replica: Where it went.
        sent: When.
        expected: Seconds it was expected to take.
        cost: Tokens that its account was charged.
        long: Whether it takes much longer than usual.
    """

    request: types.Request
    replica: str
    sent: float
    expected: float
    cost: float
    long: bool


class Load(NamedTuple):
    """What is believed of one replica now.

    Attributes:
        fresh: Whether the report is recent; if not, ``occupied`` counts own
            dispatches alone and the rest is unknown.
        occupied: Sequences running and waiting there.
        prefill_tokens: Prompt tokens that still wait there.
        own: Own dispatches in progress there.
        unseen: Those of them that the report cannot contain.
        gone: Own dispatches that the report contains and that have ended.
        age: Seconds since the report was taken.
        long: Own dispatches in progress there that are long.
    """

    fresh: bool
    occupied: int
    prefill_tokens: float
    own: int
    long: int
    unseen: int = 0
    ended: int = 0
    age: float = 0.0


class EndedDispatch(NamedTuple):
    """An own dispatch that ended; it may still be in the last report."""

    sent: float
    ended: float


class Loads(Protocol):
    """Keeps the dispatches in progress and says how loaded a replica is."""

    in_flight: dict[str, InFlightRequest]

    def sent(self, entry: InFlightRequest) -> None:
        """Notes a dispatch."""

    def prefill_sent(self, replica: str, tokens: int, now: float) -> None:
        """Notes a prompt that an engine processes for another one."""

    def finished(self, request_id: str, now: float) -> InFlightRequest | None:
        """Notes its end and returns it; None if it is not known."""

    def view(self, replica: types.Replica, now: float) -> Load:
        """What is believed of the replica."""


class CorrectedLoads:
    """Adds own dispatches since the report was taken on top of it.

    >>> loads.sent(entry)
    >>> loads.view(replica, now=1.0).occupied
    1
    """

    def __init__(self):
        self.in_flight: dict[str, InFlightRequest] = {}
        self.by_replica: dict[str, dict[str, bool]] = collections.defaultdict(
            dict
        )
        self.ended: dict[str, collections.deque[EndedDispatch]] = {}
        self.prefills: dict[str, collections.deque[tuple[float, int]]] = {}

    def sent(self, entry: InFlightRequest) -> None:
        """Notes a dispatch."""
        self.in_flight[entry.request.id] = entry
        self.by_replica[entry.replica][entry.request.id] = entry.long

    def prefill_sent(self, replica: str, tokens: int, now: float) -> None:
        """Notes a prompt that an engine processes for another one."""
        sent = self.prefills.setdefault(replica, collections.deque())
        sent.append((now, tokens))
        while sent[0][0] < now - STALE_AFTER_SECONDS:
            sent.popleft()

    def finished(self, request_id: str, now: float) -> InFlightRequest | None:
        """Notes its end and returns it; None if it is not known."""
        entry = self.in_flight.pop(request_id, None)
        if entry is None:
            return None
        self.by_replica[entry.replica].pop(request_id, None)
        ended = self.ended.setdefault(entry.replica, collections.deque())
        ended.append(EndedDispatch(entry.sent, now))
        while ended and ended[0].ended < now - STALE_AFTER_SECONDS:
            ended.popleft()
        return entry

    def view(self, replica: types.Replica, now: float) -> Load:
        """What is believed of the replica."""
        at = self.by_replica.get(replica.name, {})
        own = len(at)
        long = sum(at.values())
        report = replica.report
        if report is None or now - report.taken > STALE_AFTER_SECONDS:
            return Load(
                False, own, self.prompt_tokens_since(at, 0.0), own, long
            )
        unseen = self.count_unseen(at, report.taken)
        gone = self.count_ended(replica.name, report.taken)
        occupied = max(own, report.running + report.waiting + unseen - gone)
        prefill = report.prefill_tokens + self.prompt_tokens_since(
            at, report.taken
        )
        for sent, tokens in self.prefills.get(replica.name, ()):
            prefill += tokens * (sent > report.taken)
        age = now - report.taken
        return Load(True, occupied, prefill, own, long, unseen, gone, age)

    def count_unseen(self, at: dict[str, bool], taken: float) -> int:
        """Own dispatches that the report cannot contain."""
        return sum(self.in_flight[name].sent > taken for name in at)

    def count_ended(self, replica: str, taken: float) -> int:
        """Own dispatches that the report contains and that have ended."""
        ended = self.ended.get(replica, ())
        return sum(end.sent <= taken < end.ended for end in ended)

    def prompt_tokens_since(self, at: dict[str, bool], taken: float) -> float:
        """Prompt tokens of own dispatches since ``taken``."""
        total = 0.0
        for name in at:
            entry = self.in_flight[name]
            if entry.sent > taken:
                total += entry.request.prompt_tokens
        return total


class ReportedLoads(CorrectedLoads):
    """The baseline: believes the last report, however old it is."""

    def view(self, replica: types.Replica, now: float) -> Load:
        """What the report says; an idle replica where there is none."""
        own = len(self.by_replica.get(replica.name, {}))
        report = replica.report
        if report is None:
            return Load(True, 0, 0.0, own, 0)
        occupied = report.running + report.waiting
        return Load(True, occupied, report.prefill_tokens, own, 0)
