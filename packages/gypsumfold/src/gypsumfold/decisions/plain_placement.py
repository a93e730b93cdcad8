"""Chooses replicas for plain calls by the load of all gateways together.

Load pattern: dozens of gateways in front of a few replicas with a few slots
each, some of which take several times as long for half a second. A gateway that
counts only its own calls has none or one open at each replica, so that its
choice is random: calls meet full or slow replicas while others are idle.
Hundreds of gateways receive the same totals at the same time, so that they must
not all choose the replica that looks best.
"""

from collections.abc import Sequence
import math
import random
import statistics
from typing import NamedTuple

from gypsumfold.decisions import cluster_totals

# Time constant of the times of calls. A slow spell may be as short as 0.6 s,
# in which a replica of a small service ends about ten calls.
MEMORY_SECONDS = 0.5
# Calls of the usual time that are assumed beside those observed, so that one
# slow call alone doesn't make a replica slow.
PRIOR_CALLS = 1.0
# Multiple of the usual time from which a replica counts as slow. Only the times
# of slow replicas are reported to others.
SLOW_FACTOR = 1.5
# Upper bound of the factor, so that a replica is tried again soon.
MAX_SLOWNESS = 10.0
# Counts below this are not reported.
MIN_CALLS = 0.05
# Answers whose median is the usual time of a service.
USUAL_ANSWERS = 31
# Usual time of a service before its first answer.
DEFAULT_SECONDS = 0.1
# Expected times within this factor are near equal: what a gateway knows is
# about a quarter of a second old.
NEAR_EQUAL = 1.25
# Multiple of the least expected time from which a slow or failing replica is
# left out: a slot of another one becomes free sooner than it answers.
SLOW_LIMIT = 2.0
# What another data centre costs relative to the usual time of a call: 2 to 6 ms
# of 45 to 90 ms.
OTHER_DATA_CENTRE = 0.08
# Weight in the random choice of a replica without a free slot, in slots.
FULL_WEIGHT = 0.25
# Seconds until all gateways know that a slot was taken or became free.
REPORT_SECONDS = 0.25
# Share of the slots that have to be free for calls to be sent without waiting
# and without regard to the rate: those that other gateways have taken since.
RESERVE = 0.1
# Open calls beyond its slots up to which a replica is filled out of queues, so
# that its slots are in use although the totals are old and calls spend time on
# the way. In trials with 40 gateways and 4 replicas of 6 slots it ran 0.93 of
# what it could with 2 and 0.88 with none.
QUEUED = 2.0
# Least rate of waiting calls, as a share of what the replicas serve: stale
# totals may show all replicas full for 3 s.
MIN_RATE_SHARE = 0.1
# Share of free slots up to which the calls that other gateways report as
# waiting count in full, and share from which they are known to wait no more:
# they would have been sent.
BUSY_SHARE = 0.25
IDLE_SHARE = 0.75
# How many times as much a waiting call counts as one of the next urgency.
URGENCY_WEIGHT = 4.0
MAX_URGENCY = 9


class Candidate(NamedTuple):
    """A replica that may be sent a call.

    Attributes:
        instance: The replica.
        slots: Calls that it runs at the same time.
        calls: Open calls of all gateways there, in slots.
        slowness: Time of its calls relative to the usual time; at least 1.
        failing: What its failures count for, in usual times.
        is_local: Whether it is in the gateway's data centre.
    """

    instance: str
    slots: int
    calls: float
    slowness: float = 1.0
    failing: float = 0.0
    is_local: bool = True

    @property
    def free(self) -> float:
        """Free slots; negative if calls wait at the replica."""
        return self.slots - self.calls

    @property
    def expected(self) -> float:
        """Expected time of a further call, in usual times."""
        queued = max(0.0, self.calls + 1 - self.slots) / self.slots
        expected = self.slowness * (1 + queued) + self.failing
        return expected if self.is_local else expected + OTHER_DATA_CENTRE


class OpenCall:
    """A call that was sent to a replica and has not ended."""

    def __init__(self, instance: str, service: str, since: float):
        self.instance = instance
        self.service = service
        self.since = since
        self.is_answered = False


class FadingSum:
    """Seconds and number of recent calls."""

    def __init__(self):
        self.seconds = 0.0
        self.count = 0.0
        self.updated = 0.0

    def add(self, seconds: float, now: float) -> None:
        """Adds a call."""
        self.seconds, self.count = self.read(now)
        self.seconds += seconds
        self.count += 1.0
        self.updated = now

    def read(self, now: float) -> tuple[float, float]:
        """Returns what is left of the seconds and of the number."""
        passed = max(0.0, now - self.updated)
        factor = math.exp(-passed / MEMORY_SECONDS)
        return self.seconds * factor, self.count * factor


class PlainLoads:
    """Open and waiting plain calls of all gateways, and their times.

    Attributes:
        calls: Open calls by replica, and waiting calls by service and urgency.
        call_seconds: Seconds of recent calls by slow replica, and their
            number under `count_key`.

    >>> loads = PlainLoads()
    >>> call = loads.begin("app-1", "app", now=0.0)
    >>> loads.open_calls("app-1", now=0.1)
    1.0
    >>> loads.end(call, now=0.1)
    >>> loads.open_calls("app-1", now=0.1)
    0.0
    """

    def __init__(self):
        self.calls = cluster_totals.ClusterTotals()
        self.call_seconds = cluster_totals.ClusterTotals()
        self.open: dict[str, list[OpenCall]] = {}
        self.times: dict[str, FadingSum] = {}
        self.services: dict[str, str] = {}
        self.answered: dict[str, list[float]] = {}
        self.usual: dict[str, float] = {}

    def begin(self, instance: str, service: str, now: float) -> OpenCall:
        """Counts a call that is sent to a replica."""
        call = OpenCall(instance, service, now)
        self.services[instance] = service
        self.open.setdefault(instance, []).append(call)
        self.calls.add(instance, 1.0)
        return call

    def end(self, call: OpenCall, now: float) -> None:
        """Counts the end of a call.

        A call without an answer that took longer than usual counts as slow; a
        refusal or a failure says nothing of the replica's speed.
        """
        calls = self.open[call.instance]
        calls.remove(call)
        if not calls:
            del self.open[call.instance]
        self.calls.own.pop(call.instance, None)
        if calls:
            self.calls.own[call.instance] = float(len(calls))
        seconds = now - call.since
        if not call.is_answered and not self.is_slow(call.service, seconds):
            return
        self.times.setdefault(call.instance, FadingSum()).add(seconds, now)
        if call.is_answered:
            self.record_answer(call.service, seconds)

    def record_answer(self, service: str, seconds: float) -> None:
        """Updates the usual time of a service."""
        answered = self.answered.setdefault(service, [])
        answered.append(seconds)
        del answered[:-USUAL_ANSWERS]
        self.usual[service] = max(1e-3, statistics.median(answered))

    def usual_seconds(self, service: str) -> float:
        """Returns the median time of a service's recent calls here."""
        return self.usual.get(service, DEFAULT_SECONDS)

    def is_slow(self, service: str, seconds: float) -> bool:
        """Whether a call of a service takes longer than usual."""
        if service not in self.usual:
            return False
        return seconds > SLOW_FACTOR * self.usual[service]

    def own_times(self, instance: str, now: float) -> tuple[float, float]:
        """Returns seconds and number of this node's recent calls at a replica.

        Open calls count once they take longer than usual, so that a slow
        replica is known before it has answered.
        """
        seconds = count = 0.0
        if instance in self.times:
            seconds, count = self.times[instance].read(now)
        for call in self.open.get(instance, ()):
            if self.is_slow(call.service, now - call.since):
                seconds += now - call.since
                count += 1.0
        return seconds, count

    def own_seconds(self, now: float) -> dict[str, float]:
        """Returns the times to report: those of replicas that seem slow.

        Times that other nodes don't need are left out, unless another node
        reports the replica as slow.
        """
        remote = self.call_seconds.remote(now)
        found = {}
        for instance in list(self.times.keys() | self.open.keys()):
            seconds, count = self.own_times(instance, now)
            if count < MIN_CALLS:
                if instance not in self.open:
                    self.times.pop(instance, None)
                    self.services.pop(instance, None)
                continue
            service = self.services[instance]
            if instance not in remote and not self.is_slow(
                service, seconds / count
            ):
                continue
            found[instance] = seconds
            found[count_key(instance)] = count
        return found

    def slowness(self, instance: str, service: str, now: float) -> float:
        """Returns the time of a replica's calls relative to the usual time."""
        if service not in self.usual:
            return 1.0
        usual = self.usual[service]
        seconds, count = self.own_times(instance, now)
        remote = self.call_seconds.remote(now)
        seconds += remote.get(instance, 0.0) + PRIOR_CALLS * usual
        count += remote.get(count_key(instance), 0.0) + PRIOR_CALLS
        return min(MAX_SLOWNESS, max(1.0, seconds / (count * usual)))

    def open_calls(self, instance: str, now: float) -> float:
        """Returns the open calls of all nodes at a replica."""
        return self.calls.total(instance, now)

    def estimate(
        self, service: str, slots: dict[str, int], now: float
    ) -> dict[str, float]:
        """Estimates the open calls of all nodes at replicas by now.

        Calls reported by others have ended since with a probability that
        follows from their usual time, and others have begun, as many at each
        slot. So short calls are spread evenly, long ones by the reports. If
        all nodes took reports of short calls for the present state, they would
        all send to the replica that was least busy a quarter of a second ago.

        Args:
            service: The service.
            slots: Slots by replica.
            now: The time.
        """
        remote = self.calls.remote(now)
        total = sum(remote.get(instance, 0.0) for instance in slots)
        mean = total / max(1, sum(slots.values()))
        left = math.exp(-REPORT_SECONDS / self.usual_seconds(service))
        found = {}
        for instance, count in slots.items():
            average = mean * count
            reported = remote.get(instance, 0.0)
            estimated = average + left * (reported - average)
            found[instance] = estimated + self.calls.own.get(instance, 0.0)
        return found

    def set_waiting(self, service: str, counts: Sequence[int]) -> bool:
        """Replaces the number of calls that wait here, by urgency.

        Returns:
            Whether any has changed.
        """
        has_changed = False
        for urgency, count in enumerate(counts):
            key = waiting_key(service, urgency)
            has_changed |= self.calls.own.pop(key, 0.0) != count
            if count:
                self.calls.own[key] = float(count)
        return has_changed

    def waiting_elsewhere(self, service: str, now: float) -> list[float]:
        """Returns how many calls wait at other nodes, by urgency."""
        remote = self.calls.remote(now)
        found = []
        for urgency in range(MAX_URGENCY + 1):
            found.append(remote.get(waiting_key(service, urgency), 0.0))
        return found

    def forget(self, instance: str) -> None:
        """Drops what is known of a removed replica; open calls end later."""
        self.times.pop(instance, None)
        if instance not in self.open:
            self.services.pop(instance, None)
        self.call_seconds.forget(instance)
        self.call_seconds.forget(count_key(instance))
        own = self.calls.own.get(instance)
        self.calls.forget(instance)
        if own is not None:
            self.calls.own[instance] = own


def count_key(instance: str) -> str:
    """Returns the key of the number of a replica's recent calls."""
    return f"{instance}#"


def waiting_key(service: str, urgency: int) -> str:
    """Returns the key of the calls of an urgency that wait for a service."""
    return f"{service}~{urgency}"


def without_slow(candidates: Sequence[Candidate]) -> list[Candidate]:
    """Leaves out the replicas that take much longer than the fastest one."""
    times = [one.slowness + one.failing for one in candidates]
    limit = SLOW_LIMIT * min(times, default=0.0)
    found = []
    for one, seconds in zip(candidates, times, strict=True):
        if seconds <= limit:
            found.append(one)
    return found


def choose(
    candidates: Sequence[Candidate], rng: random.Random
) -> Candidate | None:
    """Chooses a replica at random among those with the least expected time.

    Replicas with more free slots are chosen more often, so that the nodes that
    know the same totals fill all of them at the same rate.
    """
    if not candidates:
        return None
    free = [one for one in candidates if one.free >= 1]
    candidates = free or candidates
    limit = NEAR_EQUAL * min(one.expected for one in candidates)
    near = [one for one in candidates if one.expected <= limit]
    weights = []
    for one in near:
        weights.append(max(FULL_WEIGHT, one.free) / one.expected**2)
    return rng.choices(near, weights)[0]


def free_share(candidates: Sequence[Candidate]) -> float:
    """Returns the share of all slots that is free; negative if none is."""
    slots = sum(one.slots for one in candidates)
    return sum(one.free for one in candidates) / max(1, slots)


def service_rate(candidates: Sequence[Candidate], usual: float) -> float:
    """Returns the calls a second that replicas serve if all slots are used."""
    return sum(one.slots / (usual * one.slowness) for one in candidates)


def dispatch_rate(candidates: Sequence[Candidate], usual: float) -> float:
    """Returns the waiting calls a second that all nodes together may send.

    This is what the replicas serve, and the room that is left there within the
    time in which all nodes learn that it is taken.

    Args:
        candidates: The replicas.
        usual: Usual seconds of a call.
    """
    served = service_rate(candidates, usual)
    slots = sum(one.slots for one in candidates)
    surplus = free_share(candidates) * slots + QUEUED * len(candidates)
    return max(MIN_RATE_SHARE * served, served + surplus / REPORT_SECONDS)


def credible_waiting(
    waiting: Sequence[float], candidates: Sequence[Candidate]
) -> list[float]:
    """Returns the calls that still wait at other nodes, by urgency.

    Reports of a node that has ended or has sent its calls are counted less the
    more slots are free.
    """
    idle = (free_share(candidates) - BUSY_SHARE) / (IDLE_SHARE - BUSY_SHARE)
    share = min(1.0, max(0.0, 1 - idle))
    return [share * count for count in waiting]


def own_share(own: Sequence[float], others: Sequence[float]) -> float:
    """Returns a node's share of the calls to send, by what waits where.

    Urgent calls count more, and no urgency counts nothing.

    Args:
        own: Calls that wait at this node, by urgency.
        others: Calls that wait at the other nodes.
    """
    mine = weigh(own)
    total = mine + weigh(others)
    return mine / total if total else 1.0


def turn_seconds(
    urgency: int, own: int, others: Sequence[float], rate: float
) -> float:
    """Returns the seconds between two calls that a node may send.

    Urgent calls that wait elsewhere go first but are gone soon, so each counts
    as one call. Less urgent ones count for their part of the share.

    Args:
        urgency: Urgency of the calls that the node sends.
        own: Calls that wait at this node.
        others: Calls that wait at the other nodes, by urgency.
        rate: Calls a second that the replicas serve.
    """
    ahead = 0.0
    for level, count in enumerate(others):
        ahead += count * min(1.0, URGENCY_WEIGHT ** (urgency - level))
    return (1 + ahead / max(1, own)) / rate


def weigh(counts: Sequence[float]) -> float:
    """Adds up waiting calls, weighted by urgency."""
    total = 0.0
    for urgency, count in enumerate(counts):
        total += count * URGENCY_WEIGHT**-urgency
    return total
