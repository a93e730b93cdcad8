"""Finds requests that crash the replicas that run them.

Load pattern: a request that crashes each replica that runs it (a query of
death) and is retried after each crash, at any node. Without this it takes down
one replica after the other, and each crash interrupts dozens of other requests,
whose retries run beside it again.

Every request that a crash interrupted is suspected of it. Three crashes put a
request into quarantine. A suspicion is dropped once the request completes, or
once the crash is attributed to a request in quarantine. Nodes exchange their
suspicions; records merged in any order, and more than once, give the same
state.
"""

import collections
import enum
import math
from typing import NamedTuple

# Crashes after which a request is sent to no replica. Two crashes may interrupt
# the same request by chance.
MAX_CRASHES = 3
# Length of the first quarantine. One run is tried after it, since a new version
# of the service may handle the request.
QUARANTINE_SECONDS = 600.0
# Factor by which each further quarantine of a request is longer, and the
# longest one.
QUARANTINE_FACTOR = 4.0
MAX_QUARANTINE_SECONDS = 86400.0
# Crashes that are remembered, and interrupted requests of each: an attacker who
# sends ever new requests must not fill the memory.
MAX_CRASH_RECORDS = 256
MAX_REQUESTS_PER_CRASH = 128
# How often a suspicion is sent, since datagrams may be lost.
SEND_TIMES = 3
# Minimum seconds between two rounds in which known suspicions are sent again.
REFRESH_SECONDS = 1.0
# Seconds after a crash for which requests suspected of this crash alone are
# sent again. A node that was cut off for longer learns only of requests
# suspected of more crashes.
RECENT_SECONDS = 60.0


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
    """A request that a crash interrupted, as nodes exchange it.

    Attributes:
        replica: The incarnation that crashed.
        fingerprint: The request's fingerprint.
        output: Whether its caller had received output of this run.
        cleared: Whether the request has completed since.
    """

    replica: Incarnation
    fingerprint: int
    output: bool
    cleared: bool


class Crash:
    """What is known of one crash.

    Attributes:
        at: When this node learned of it.
        requests: The interrupted requests, and whether each had given output.
        cleared: Requests that have completed since.
        cause: The request that the crash is attributed to; None if unknown.
        expired: Requests no longer suspected of it, because their quarantine
            is over.
    """

    def __init__(self, at: float):
        self.at = at
        self.requests: dict[int, bool] = {}
        self.cleared: set[int] = set()
        self.cause: int | None = None
        self.expired: set[int] = set()


class CrashLog:
    """Records crashes and the requests suspected of them.

    >>> log = CrashLog()
    >>> for replica in ("engine-1", "engine-2", "engine-3"):
    ...     log.interrupted(Incarnation(replica), 7, output=False, now=0.0)
    >>> log.decide(7, now=1.0)
    <Decision.QUARANTINED: 'quarantined'>
    """

    def __init__(self):
        self.crashes: collections.OrderedDict[Incarnation, Crash] = (
            collections.OrderedDict()
        )
        self.suspected: dict[int, set[Incarnation]] = {}
        self.quarantined: dict[int, float] = {}
        self.quarantines: dict[int, int] = {}
        self.pending_sends: dict[tuple[Incarnation, int], int] = {}
        self.repeats: collections.deque[tuple[Incarnation, int]] = (
            collections.deque()
        )
        self.refreshed = -math.inf

    def interrupted(
        self, replica: Incarnation, fingerprint: int, output: bool, now: float
    ) -> bool:
        """Records that a crash interrupted a request of this node.

        Returns:
            Whether that puts the request into quarantine.
        """
        report = Interrupted(replica, fingerprint, output, False)
        return self.merge(report, True, now)

    def merge(self, report: Interrupted, forward: bool, now: float) -> bool:
        """Merges one suspicion, of this node or another one.

        Args:
            report: The suspicion.
            forward: Whether to send it to other nodes if it is new here.
            now: The time.

        Returns:
            Whether that puts the request into quarantine.
        """
        crash = self.crash_record(report.replica, now)
        fingerprint = report.fingerprint
        known = fingerprint in crash.requests
        if not known and len(crash.requests) >= MAX_REQUESTS_PER_CRASH:
            return False
        output = crash.requests.get(fingerprint, True) and report.output
        changed = not known or output != crash.requests[fingerprint]
        crash.requests[fingerprint] = output
        if report.cleared and fingerprint not in crash.cleared:
            crash.cleared.add(fingerprint)
            changed = True
        if changed and forward:
            self.pending_sends[report.replica, fingerprint] = SEND_TIMES
        if fingerprint in crash.cleared:
            self.withdraw(fingerprint, report.replica)
            if fingerprint not in self.suspected:
                self.quarantined.pop(fingerprint, None)
            return False
        self.suspected.setdefault(fingerprint, set()).add(report.replica)
        return self.update_quarantine(fingerprint, now)

    def crash_record(self, replica: Incarnation, now: float) -> Crash:
        """Returns the record of a crash, creating it if needed."""
        found = self.crashes.get(replica)
        if found is not None:
            return found
        found = self.crashes[replica] = Crash(now)
        if len(self.crashes) > MAX_CRASH_RECORDS:
            self.forget(next(iter(self.crashes)))
        return found

    def forget(self, replica: Incarnation) -> None:
        """Drops the record of a crash."""
        crash = self.crashes.pop(replica)
        for fingerprint in crash.requests:
            self.pending_sends.pop((replica, fingerprint), None)
            self.withdraw(fingerprint, replica)

    def withdraw(self, fingerprint: int, replica: Incarnation) -> None:
        """Drops a suspicion."""
        suspected = self.suspected.get(fingerprint)
        if suspected is None:
            return
        suspected.discard(replica)
        if not suspected:
            del self.suspected[fingerprint]

    def update_quarantine(self, fingerprint: int, now: float) -> bool:
        """Quarantines a request after `MAX_CRASHES` crashes.

        Returns:
            Whether that starts a quarantine.
        """
        if fingerprint in self.quarantined:
            self.attribute_crashes(fingerprint)
            return False
        crashes = max(
            self.count(fingerprint), self.count_before_output(fingerprint)
        )
        if crashes < MAX_CRASHES:
            return False
        before = self.quarantines.get(fingerprint, 0)
        self.quarantines[fingerprint] = before + 1
        seconds = min(
            MAX_QUARANTINE_SECONDS,
            QUARANTINE_SECONDS * QUARANTINE_FACTOR**before,
        )
        self.quarantined[fingerprint] = now + seconds
        self.attribute_crashes(fingerprint)
        return True

    def attribute_crashes(self, fingerprint: int) -> None:
        """Attributes to a quarantined request all crashes it is suspected of.

        Crashes that are already attributed stay so.
        """
        for replica in self.suspected.get(fingerprint, ()):
            crash = self.crashes[replica]
            if crash.cause is None:
                crash.cause = fingerprint

    def completed(self, fingerprint: int) -> bool:
        """Clears a request that has completed.

        Returns:
            Whether it was suspected.
        """
        suspected = self.suspected.pop(fingerprint, None)
        if suspected is None:
            return False
        for replica in suspected:
            crash = self.crashes[replica]
            crash.cleared.add(fingerprint)
            if crash.cause == fingerprint:
                crash.cause = None
            self.pending_sends[replica, fingerprint] = SEND_TIMES
        self.quarantined.pop(fingerprint, None)
        return True

    def suspicions(self, fingerprint: int) -> list[Incarnation]:
        """Returns the crashes of which a request is suspected."""
        found = []
        for replica in self.suspected.get(fingerprint, ()):
            crash = self.crashes[replica]
            if fingerprint in crash.expired:
                continue
            if crash.cause in (None, fingerprint):
                found.append(replica)
        return found

    def count(self, fingerprint: int) -> int:
        """Counts the crashes of which a request is suspected."""
        return len(self.suspicions(fingerprint))

    def count_before_output(self, fingerprint: int) -> int:
        """Counts the crashes that interrupted a request before it gave output.

        Crashes attributed to another request count too: two requests that both
        crash replicas may have started together.
        """
        count = 0
        for replica in self.suspected.get(fingerprint, ()):
            crash = self.crashes[replica]
            if fingerprint in crash.expired:
                continue
            count += not crash.requests[fingerprint]
        return count

    def decide(self, fingerprint: int, now: float) -> Decision:
        """Decides how a request may be sent."""
        until = self.quarantined.get(fingerprint)
        if until is not None and now < until:
            return Decision.QUARANTINED
        if until is not None:
            self.release(fingerprint)
        suspicions = self.suspicions(fingerprint)
        if not suspicions:
            return Decision.FREE
        output = self.crashes[suspicions[0]].requests[fingerprint]
        # A request that crashes replicas usually does so soon after it starts,
        # so a single crash is weak evidence against one with output.
        if len(suspicions) == 1 and output:
            return Decision.FREE
        return Decision.CANARY

    def release(self, fingerprint: int) -> None:
        """Ends a quarantine; one more crash starts the next one."""
        del self.quarantined[fingerprint]
        suspected = sorted(self.suspected.get(fingerprint, ()))
        for replica in suspected[: 1 + len(suspected) - MAX_CRASHES]:
            self.crashes[replica].expired.add(fingerprint)

    def updates(self, now: float, limit: int) -> list[Interrupted]:
        """Returns the suspicions to send next: new ones, then repeated ones.

        Args:
            now: The time.
            limit: Maximum number of suspicions.
        """
        if not self.repeats and now - self.refreshed >= REFRESH_SECONDS:
            self.refreshed = now
            self.refresh(now)
        updates = []
        for place, left in list(self.pending_sends.items())[:limit]:
            del self.pending_sends[place]
            # Suspicions already sent go behind those that aren't.
            if left > 1:
                self.pending_sends[place] = left - 1
            updates.append(self.known(*place))
        while self.repeats and len(updates) < limit:
            replica, fingerprint = self.repeats.popleft()
            if fingerprint in self.suspicions_of(replica):
                updates.append(self.known(replica, fingerprint))
        return updates

    def suspicions_of(self, replica: Incarnation) -> dict[int, bool]:
        """Returns the requests that a crash interrupted.

        Empty if the crash is no longer recorded.
        """
        crash = self.crashes.get(replica)
        return crash.requests if crash is not None else {}

    def known(self, replica: Incarnation, fingerprint: int) -> Interrupted:
        """Returns the suspicion of one request for one crash."""
        crash = self.crashes[replica]
        return Interrupted(
            replica,
            fingerprint,
            crash.requests[fingerprint],
            fingerprint in crash.cleared,
        )

    def refresh(self, now: float) -> None:
        """Queues the suspicions that still matter to be sent again.

        Requests suspected of several crashes go first. Nodes that were cut off
        catch up this way.
        """
        single = []
        for replica, crash in self.crashes.items():
            for fingerprint in crash.requests:
                if fingerprint in crash.cleared:
                    continue
                if crash.cause not in (None, fingerprint):
                    continue
                if self.count(fingerprint) > 1:
                    self.repeats.append((replica, fingerprint))
                elif now - crash.at < RECENT_SECONDS:
                    single.append((replica, fingerprint))
        self.repeats.extend(single)
