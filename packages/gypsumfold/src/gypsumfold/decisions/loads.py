"""Estimates replica loads from reports and this node's later dispatches.

Load pattern: load reports that lag, so that a busy engine looks idle. Without
the correction, a node sends every request of the next second to the replica
whose old report looks best, and overloads it.
"""

import collections
from typing import NamedTuple
from typing import Protocol

from gypsumfold.decisions import types

# Age from which a report is ignored: eight polls at the default interval of
# 0.25 s, after which an endpoint also counts as silent.
STALE_AFTER_SECONDS = 2.0


class InFlightRequest(NamedTuple):
    """A request that this node has dispatched and that has not ended.

    Attributes:
        request: The request.
        replica: The replica it was sent to.
        sent: Time when it was sent.
        expected: Seconds it is expected to take.
        cost: Tokens that its account was charged.
        long: Whether it is expected to take much longer than usual.
    """

    request: types.Request
    replica: str
    sent: float
    expected: float
    cost: float
    long: bool


class Load(NamedTuple):
    """The estimated load of one replica; "own" means sent by this node.

    Attributes:
        fresh: Whether the report is recent; if not, ``occupied`` counts own
            dispatches only and the rest is unknown.
        occupied: Sequences running and waiting there.
        prefill_tokens: Prompt tokens waiting for prefill there.
        own: Own dispatches in progress there.
        unseen: Own dispatches in progress, sent after the report was taken.
        ended: Own dispatches that the report includes and that have ended.
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
    """An own dispatch that ended; the last report may still include it."""

    sent: float
    ended: float


class Loads(Protocol):
    """Tracks dispatches in progress and estimates the load of replicas."""

    in_flight: dict[str, InFlightRequest]

    def sent(self, entry: InFlightRequest) -> None:
        """Records a dispatch."""

    def prefill_sent(self, replica: str, tokens: int, now: float) -> None:
        """Records a prompt that an engine prefills for another one."""

    def finished(self, request_id: str, now: float) -> InFlightRequest | None:
        """Records the end of a dispatch; returns None if it is unknown."""

    def view(self, replica: types.Replica, now: float) -> Load:
        """Estimates the load of a replica."""


class CorrectedLoads:
    """Adds to each report the own dispatches sent since it was taken.

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
        """Records a dispatch."""
        self.in_flight[entry.request.id] = entry
        self.by_replica[entry.replica][entry.request.id] = entry.long

    def prefill_sent(self, replica: str, tokens: int, now: float) -> None:
        """Records a prompt that an engine prefills for another one."""
        sent = self.prefills.setdefault(replica, collections.deque())
        sent.append((now, tokens))
        while sent[0][0] < now - STALE_AFTER_SECONDS:
            sent.popleft()

    def finished(self, request_id: str, now: float) -> InFlightRequest | None:
        """Records the end of a dispatch; returns None if it is unknown."""
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
        """Estimates the load of a replica."""
        dispatches = self.by_replica.get(replica.name, {})
        own = len(dispatches)
        long = sum(dispatches.values())
        report = replica.report
        if report is None or now - report.taken > STALE_AFTER_SECONDS:
            return Load(
                False, own, self.prompt_tokens_since(dispatches, 0.0), own, long
            )
        unseen = self.count_unseen(dispatches, report.taken)
        ended = self.count_ended(replica.name, report.taken)
        occupied = max(own, report.running + report.waiting + unseen - ended)
        prefill = report.prefill_tokens + self.prompt_tokens_since(
            dispatches, report.taken
        )
        for sent, tokens in self.prefills.get(replica.name, ()):
            prefill += tokens * (sent > report.taken)
        age = now - report.taken
        return Load(True, occupied, prefill, own, long, unseen, ended, age)

    def count_unseen(self, dispatches: dict[str, bool], taken: float) -> int:
        """Counts own dispatches in progress sent after ``taken``."""
        return sum(self.in_flight[name].sent > taken for name in dispatches)

    def count_ended(self, replica: str, taken: float) -> int:
        """Counts own dispatches that ended after a report including them."""
        ended = self.ended.get(replica, ())
        return sum(end.sent <= taken < end.ended for end in ended)

    def prompt_tokens_since(
        self, dispatches: dict[str, bool], taken: float
    ) -> float:
        """Prompt tokens of own dispatches sent after ``taken``."""
        total = 0.0
        for name in dispatches:
            entry = self.in_flight[name]
            if entry.sent > taken:
                total += entry.request.prompt_tokens
        return total


class ReportedLoads(CorrectedLoads):
    """The baseline: uses the last report, however old it is."""

    def view(self, replica: types.Replica, now: float) -> Load:
        """Load as reported; idle if there is no report."""
        own = len(self.by_replica.get(replica.name, {}))
        report = replica.report
        if report is None:
            return Load(True, 0, 0.0, own, 0)
        occupied = report.running + report.waiting
        return Load(True, occupied, report.prefill_tokens, own, 0)
