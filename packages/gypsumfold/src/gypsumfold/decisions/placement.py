"""Chooses the replica for a request.

Load pattern: uneven engines and hot prompt prefixes, seen through reports that
lag. Round robin ignores what a replica is doing; choosing the least loaded one
sends all nodes to the same replica until its next report. Two random choices
avoid both (Mitzenmacher 2001). A prefix goes to the same few replicas, which
have it cached, but only while they are not much busier than the rest
(consistent hashing with bounded loads, Mirrokni et al. 2018); without the bound
a hot prefix overloads one engine. A request waits for the engine that has its
prefix for at most the time that prefill would take elsewhere.
"""

import random
from typing import NamedTuple
from typing import Protocol

import xxhash

from gypsumfold.decisions import loads
from gypsumfold.decisions import types

# A replica takes requests for its cached prefixes while its load is at most
# this multiple of the mean plus one request; 1.25 is the paper's value.
LOAD_BOUND_FACTOR = 1.25
# Load from which replicas in other data centres are used too. The network path
# costs half a millisecond; waiting for a slot costs seconds.
NEAR_FULL_FRACTION = 0.75
# Shorter prompts gain less from a cached prefix than from a second choice: 64
# tokens take 16 ms of prefill at 4,000 tokens per second.
SHORT_PROMPT_TOKENS = 64


class Candidate(NamedTuple):
    """A replica that can serve the request.

    Attributes:
        replica: The replica.
        load: Its estimated load.
        capacity: Requests that it may hold.
        weight: Fraction of its usual work that it should get.
        has_capacity: Whether it may take the request now.
    """

    replica: types.Replica
    load: loads.Load
    capacity: int
    weight: float
    has_capacity: bool = True


class Placement(Protocol):
    """Chooses among candidate replicas."""

    def choose(
        self,
        request: types.Request,
        candidates: list[Candidate],
        waited: float,
    ) -> Candidate | None:
        """Chooses a candidate with capacity; None to wait for a better one.

        Args:
            request: The request to send.
            candidates: Replicas that can serve it.
            waited: Seconds that it has waited already.

        Returns:
            The candidate, or None if the request has to wait.
        """


class TwoChoices:
    """Prefix affinity with bounded load, else the better of two random choices.

    >>> rng = random.Random(1)
    >>> TwoChoices("north-apron", rng).choose(request, found, waited=0.0)
    Candidate(...)
    """

    def __init__(self, data_centre: str, rng: random.Random):
        self.data_centre = data_centre
        self.rng = rng

    def choose(
        self,
        request: types.Request,
        candidates: list[Candidate],
        waited: float,
    ) -> Candidate | None:
        """Chooses a candidate with capacity; None to wait for a better one."""
        if request.prefix and request.prompt_tokens >= SHORT_PROMPT_TOKENS:
            preferred = self.preferred(request, candidates)
            if preferred is not None and preferred.has_capacity:
                return preferred
            if preferred is not None and waited < saved_seconds(
                request, preferred
            ):
                return None
        pool = self.prefer_local(candidates)
        if len(pool) > 2:
            pool = self.rng.sample(pool, 2)
        return min(pool, key=lambda one: cost(request, one), default=None)

    def preferred(
        self, request: types.Request, candidates: list[Candidate]
    ) -> Candidate | None:
        """The first replica within the load bound, in rendezvous order."""
        if not candidates:
            return None
        mean = sum(occupancy(one) for one in candidates) / len(candidates)
        ranked = sorted(
            candidates,
            key=lambda one: (
                -rendezvous_weight(request.prefix, one.replica.name)
            ),
        )
        for one in ranked:
            bound = LOAD_BOUND_FACTOR * mean + 1.0 / max(1, one.capacity)
            if occupancy(one) <= bound and one.weight >= 1.0:
                return one
        return None

    def prefer_local(self, candidates: list[Candidate]) -> list[Candidate]:
        """Candidates with capacity; local ones if any is not nearly full."""
        open_ones = [one for one in candidates if one.has_capacity]
        near = []
        for one in open_ones:
            if one.replica.data_centre != self.data_centre:
                continue
            if occupancy(one) < NEAR_FULL_FRACTION and one.weight >= 1.0:
                near.append(one)
        return near or open_ones


def saved_seconds(request: types.Request, preferred: Candidate) -> float:
    """Seconds of prefill that a cached prompt saves."""
    report = preferred.replica.report
    if report is None or report.prefill_rate <= 0:
        return 0.0
    return request.prompt_tokens / report.prefill_rate


def occupancy(candidate: Candidate) -> float:
    """Load as a fraction of capacity; a stale report counts as full."""
    if not candidate.load.fresh:
        return 1.0
    return candidate.load.occupied / max(1, candidate.capacity)


def cost(request: types.Request, candidate: Candidate) -> float:
    """Expected seconds of prefill and decode there, divided by the weight."""
    report = candidate.replica.report
    load = occupancy(candidate)
    if report is None or report.decode_rate <= 0:
        return (load + 1.0 / max(1, candidate.capacity)) / candidate.weight
    prompts = candidate.load.prefill_tokens + request.prompt_tokens
    prefill = prompts / max(1.0, report.prefill_rate)
    decode = request.output_tokens / report.decode_rate
    return (prefill + (1.0 + load) * decode) / candidate.weight


def rendezvous_weight(key: int, name: str) -> int:
    """Weight of a replica name for a key in rendezvous hashing."""
    return xxhash.xxh3_64_intdigest(f"{key}\n{name}".encode())


class LeastLoaded:
    """A baseline: the replica that looks least loaded."""

    def choose(
        self,
        request: types.Request,
        candidates: list[Candidate],
        waited: float,
    ) -> Candidate | None:
        """Chooses the least loaded candidate; ties are broken by name."""
        return min(
            (one for one in candidates if one.has_capacity),
            key=lambda one: (one.load.occupied, one.replica.name),
            default=None,
        )


class RoundRobin:
    """The simplest baseline: round robin."""

    def __init__(self):
        self.turn = 0

    def choose(
        self,
        request: types.Request,
        candidates: list[Candidate],
        waited: float,
    ) -> Candidate | None:
        """Chooses the next candidate in turn."""
        ordered = sorted(
            (one for one in candidates if one.has_capacity),
            key=lambda one: one.replica.name,
        )
        if not ordered:
            return None
        self.turn += 1
        return ordered[self.turn % len(ordered)]
