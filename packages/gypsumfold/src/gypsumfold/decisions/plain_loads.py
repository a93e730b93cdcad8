"""Adds up the plain calls of all gateways, and the times that they take.

Load pattern: dozens of gateways in front of a few replicas with a few slots
each, some of which take several times as long for half a second. A gateway that
counts only its own calls has none or one open at each replica and one answer a
second, so that it knows neither which replica is full nor which is slow.
"""

from collections.abc import Sequence
import math
import statistics

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
# Upper bound of the factor, so that a replica gets calls again soon after.
MAX_SLOWNESS = 10.0
# Counts below this are not reported.
MIN_CALLS = 0.05
# Answers whose median is the usual time of a service.
USUAL_ANSWERS = 31
# Usual time of a service before its first answer.
DEFAULT_SECONDS = 0.1
# Seconds until all gateways know that a slot was taken or became free.
REPORT_SECONDS = 0.25
MAX_URGENCY = 9


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
