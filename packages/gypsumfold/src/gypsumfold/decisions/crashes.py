"""Finds requests, and parts of prompts, that crash the replicas that run them.

Load pattern: a request that crashes each replica that runs it (a query of
death) and is retried after each crash, at any node, or requests that share a
part which does so. Without this they take down one replica after the other,
and each crash interrupts dozens of other requests, whose retries run beside
them again.

Suspects are subjects: a request as a whole, and each part of its prompt that
other requests may hold. Every subject that a crash interrupted is suspected of
it. Three crashes put a subject into quarantine. A suspicion is dropped once a
request with the subject completes, or once the crash is attributed to another
subject in quarantine. Nodes exchange their suspicions; records merged in any
order, and more than once, give the same state.

A part in many prompts runs on many replicas at once. Crashes at about the same
time count once for it, unless it ran alone.
"""

import collections
from collections.abc import Iterable
import math

from gypsumfold.decisions import crash_counts
from gypsumfold.decisions import crash_types
from gypsumfold.decisions import sound_parts
from gypsumfold.decisions import subjects as subjects_module

# Crashes after which a request is sent to no replica. Two crashes may interrupt
# the same request by chance.
MAX_CRASHES = 3
# Crashes more that it takes for a part while replicas crash without it too.
CHANCE_CRASHES = 1
# Seconds for which a crash without a part counts for that.
CHANCE_SECONDS = 60.0
# Crashes of a part that was the only suspect of its request, after which all
# requests with it are refused.
SOLE_CRASHES = 2
# Crashes after which that is so without any of them.
CERTAIN_CRASHES = 5
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


class CrashLog:
    """Records crashes and the subjects suspected of them.

    Attributes:
        sound: Parts that this node has seen answered. They are not suspected
            here, whatever others report.

    >>> log = CrashLog()
    >>> for name in ("engine-1", "engine-2", "engine-3"):
    ...     replica = crash_types.Incarnation(name)
    ...     log.interrupted(replica, 7, output=False, now=0.0)
    >>> log.decide(7, now=1.0)
    <Decision.QUARANTINED: 'quarantined'>
    """

    def __init__(self):
        self.sound = sound_parts.SoundParts()
        self.crashes: collections.OrderedDict[
            crash_types.Incarnation, crash_types.Crash
        ] = collections.OrderedDict()
        self.suspected: dict[int, set[crash_types.Incarnation]] = {}
        self.quarantined: dict[int, float] = {}
        self.quarantines: dict[int, int] = {}
        self.pending_sends: dict[tuple[crash_types.Incarnation, int], int] = {}
        self.repeats: collections.deque[tuple[crash_types.Incarnation, int]] = (
            collections.deque()
        )
        self.refreshed = -math.inf

    def interrupted(
        self,
        replica: crash_types.Incarnation,
        fingerprint: int,
        output: bool,
        now: float,
        alone: bool = False,
        version: int = 0,
    ) -> bool:
        """Records that a crash interrupted a request of this node.

        Args:
            replica: The incarnation that crashed.
            fingerprint: The request, or a part of its prompt.
            output: Whether its caller had received output of this run.
            now: The time.
            alone: Whether it ran as a canary.
            version: Digest of the replica's software version.

        Returns:
            Whether that puts the subject into quarantine.
        """
        if self.sound.is_sound(fingerprint, version):
            return False
        report = crash_types.Interrupted(
            replica, fingerprint, output, False, alone, version
        )
        return self.merge(report, True, now)

    def merge(
        self, report: crash_types.Interrupted, forward: bool, now: float
    ) -> bool:
        """Merges one suspicion, of this node or another one.

        Args:
            report: The suspicion.
            forward: Whether to send it to other nodes if it is new here.
            now: The time.

        Returns:
            Whether that puts the subject into quarantine.
        """
        crash = self.crash_record(report.replica, now)
        crash.at = min(crash.at, now - report.age)
        crash.version = crash.version or report.version
        fingerprint = report.fingerprint
        known = fingerprint in crash.requests
        if not known and len(crash.requests) >= MAX_REQUESTS_PER_CRASH:
            return False
        output = crash.requests.get(fingerprint, True) and report.output
        changed = not known or output != crash.requests[fingerprint]
        crash.requests[fingerprint] = output
        if report.alone and fingerprint not in crash.alone:
            crash.alone.add(fingerprint)
            changed = True
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

    def crash_record(
        self, replica: crash_types.Incarnation, now: float
    ) -> crash_types.Crash:
        """Returns the record of a crash, creating it if needed."""
        found = self.crashes.get(replica)
        if found is not None:
            return found
        found = self.crashes[replica] = crash_types.Crash(now)
        if len(self.crashes) > MAX_CRASH_RECORDS:
            self.forget(next(iter(self.crashes)))
        return found

    def forget(self, replica: crash_types.Incarnation) -> None:
        """Drops the record of a crash."""
        crash = self.crashes.pop(replica)
        for fingerprint in crash.requests:
            self.pending_sends.pop((replica, fingerprint), None)
            self.withdraw(fingerprint, replica)

    def withdraw(
        self, fingerprint: int, replica: crash_types.Incarnation
    ) -> None:
        """Drops a suspicion."""
        suspected = self.suspected.get(fingerprint)
        if suspected is None:
            return
        suspected.discard(replica)
        if not suspected:
            del self.suspected[fingerprint]

    def update_quarantine(self, fingerprint: int, now: float) -> bool:
        """Quarantines a subject after enough crashes.

        Returns:
            Whether that starts a quarantine.
        """
        if fingerprint in self.quarantined:
            self.attribute_crashes(fingerprint)
            return False
        if self.evidence(fingerprint) < self.max_crashes(fingerprint, now):
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

    def evidence(self, fingerprint: int) -> int:
        """Counts the crashes that speak against a subject independently."""
        if not subjects_module.is_part(fingerprint):
            return max(
                self.count(fingerprint), self.count_before_output(fingerprint)
            )
        runs = []
        for replica in self.suspicions(fingerprint):
            crash = self.crashes[replica]
            runs.append((crash.at, fingerprint in crash.alone))
        return crash_counts.count_independent(runs)

    def max_crashes(self, fingerprint: int, now: float) -> int:
        """Returns after how many crashes a subject goes into quarantine.

        The refusal of a part concerns many requests, so it takes more while
        replicas crash that no request with it ran on.
        """
        if not subjects_module.is_part(fingerprint):
            return MAX_CRASHES
        for crash in self.crashes.values():
            if fingerprint in crash.requests or crash.cause is not None:
                continue
            if now - crash.at < CHANCE_SECONDS:
                return MAX_CRASHES + CHANCE_CRASHES
        return MAX_CRASHES

    def attribute_crashes(self, fingerprint: int) -> None:
        """Attributes to a quarantined subject all crashes it is suspected of.

        Crashes that are already attributed stay so.
        """
        is_part = subjects_module.is_part(fingerprint)
        alone = frozenset((fingerprint,))
        if is_part and not self.is_conclusive(fingerprint, alone):
            return
        for replica in self.suspected.get(fingerprint, ()):
            crash = self.crashes[replica]
            if crash.cause is None:
                crash.cause = fingerprint

    def answered(self, part: int, version: int) -> int:
        """Clears a part with which a replica has given an answer.

        Args:
            part: The part.
            version: Digest of the replica's software version.

        Returns:
            Of how many crashes any node suspected it; 0 if none is cleared.
        """
        crashes = len(self.suspected.get(part, ()))
        self.sound.answered(part, version)
        return crashes if self.completed(part, version) else 0

    def completed(self, fingerprint: int, version: int = 0) -> bool:
        """Clears a subject that has completed.

        Args:
            fingerprint: The subject.
            version: Clears it only of crashes of this software version, and of
                those of unknown version; 0 for all.

        Returns:
            Whether it was suspected.
        """
        cleared = False
        for replica in list(self.suspected.get(fingerprint, ())):
            crash = self.crashes[replica]
            if version and crash.version not in (0, version):
                continue
            crash.cleared.add(fingerprint)
            if crash.cause == fingerprint:
                crash.cause = None
            self.pending_sends[replica, fingerprint] = SEND_TIMES
            self.withdraw(fingerprint, replica)
            cleared = True
        if fingerprint not in self.suspected:
            self.quarantined.pop(fingerprint, None)
        return cleared

    def suspicions(self, fingerprint: int) -> list[crash_types.Incarnation]:
        """Returns the crashes of which a subject is suspected."""
        found = []
        for replica in self.suspected.get(fingerprint, ()):
            crash = self.crashes[replica]
            if fingerprint in crash.expired:
                continue
            if self.sound.is_sound(fingerprint, crash.version):
                continue
            if not self.is_explained(crash, fingerprint):
                found.append(replica)
        return found

    def is_explained(self, crash: crash_types.Crash, fingerprint: int) -> bool:
        """Whether another subject in quarantine explains a crash.

        A request doesn't explain the crashes of a part, and nothing explains
        that of a part which had given no output. Nor does a subject that was
        interrupted by no other crashes than this one: either may be the cause.
        """
        cause = crash.cause
        if cause is None or cause == fingerprint:
            return False
        if not subjects_module.is_part(fingerprint):
            return True
        if not subjects_module.is_part(cause):
            return False
        if not crash.requests[fingerprint]:
            return False
        others = self.suspected.get(cause, set())
        return not others <= self.suspected.get(fingerprint, set())

    def is_conclusive(self, part: int, held: frozenset[int]) -> bool:
        """Whether a part's crashes speak against all requests with some others.

        They don't if other subjects, which a request doesn't hold, explain them
        as well: several parts that crash replicas may come with one beginning.
        Nor do they if the part was hardly ever a request's only suspect, or if
        too few are left without those that are attributed to another part:
        replicas may end by themselves while the part runs on them.

        Args:
            part: The part.
            held: The subjects of the request, this part included.
        """
        sole = 0
        runs = []
        for replica in self.suspicions(part):
            crash = self.crashes[replica]
            sole += self.is_sole_suspect(crash, part)
            cause = crash.cause
            if (
                cause is None
                or cause in held
                or not subjects_module.is_part(cause)
            ):
                runs.append((crash.at, part in crash.alone))
        if crash_counts.count_independent(runs) < MAX_CRASHES:
            return False
        certain = self.evidence(part) >= CERTAIN_CRASHES
        if sole < SOLE_CRASHES and not certain:
            return False
        for replica in self.suspicions(part):
            crash = self.crashes[replica]
            if not self.has_other_cause(crash, part, held):
                return True
        return False

    def is_sole_suspect(self, crash: crash_types.Crash, part: int) -> bool:
        """Whether a canary that a crash interrupted held no other such part."""
        if part not in crash.alone:
            return False
        for other in crash.alone - crash.cleared - {part}:
            if not subjects_module.is_part(other):
                continue
            if not self.sound.is_known(other):
                return False
        return True

    def has_other_cause(
        self, crash: crash_types.Crash, part: int, held: frozenset[int]
    ) -> bool:
        """Whether a subject that a request doesn't hold may explain a crash."""
        ran_alone = part in crash.alone
        for other in crash.requests:
            if other in held or other in crash.cleared:
                continue
            if self.sound.is_known(other):
                continue
            # Requests beside a canary had not crashed anything before.
            is_beside = ran_alone and other not in crash.alone
            if is_beside and not subjects_module.is_part(other):
                continue
            if self.is_recurring(other):
                return True
        return False

    def is_recurring(self, subject: int) -> bool:
        """Whether a subject was in several crashes that are independent."""
        suspected = self.suspected.get(subject, set())
        if not subjects_module.is_part(subject):
            return len(suspected) > 1
        runs = []
        for replica in suspected:
            crash = self.crashes[replica]
            runs.append((crash.at, subject in crash.alone))
        return crash_counts.count_independent(runs) > 1

    def count(self, fingerprint: int) -> int:
        """Counts the crashes of which a subject is suspected."""
        return len(self.suspicions(fingerprint))

    def has_repeated_crashes(self, parts: Iterable[int]) -> bool:
        """Whether requests with one of some parts have crashed replicas.

        Once is no reason: each crash interrupts many requests.
        """
        return any(self.count(part) >= MAX_CRASHES - 1 for part in parts)

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

    def decide(self, fingerprint: int, now: float) -> crash_types.Decision:
        """Decides how a request with a subject may be sent."""
        until = self.quarantined.get(fingerprint)
        suspicions = self.suspicions(fingerprint)
        if until is not None and now < until:
            if suspicions or not subjects_module.is_part(fingerprint):
                return crash_types.Decision.QUARANTINED
            return crash_types.Decision.FREE
        if until is not None:
            self.release(fingerprint)
            suspicions = self.suspicions(fingerprint)
        if not suspicions:
            return crash_types.Decision.FREE
        output = self.crashes[suspicions[0]].requests[fingerprint]
        # A request that crashes replicas usually does so soon after it starts,
        # so a single crash is weak evidence against one with output.
        if len(suspicions) == 1 and output:
            return crash_types.Decision.FREE
        return crash_types.Decision.CANARY

    def judge(
        self, subjects: Iterable[int], now: float, version: int = 0
    ) -> crash_types.Judgement:
        """Decides how a request may be sent, from all its subjects.

        It is refused for a part only if it holds all that may have caused the
        part's crashes. Otherwise it runs as a canary, which tells them apart.

        Args:
            subjects: The subjects.
            now: The time.
            version: Digest of the software version that would run it; 0 for
                any. Parts that are sound with it are no reason for a canary.
        """
        subjects = frozenset(subjects)
        suspects = []
        for subject in sorted(subjects):
            decision = self.decide(subject, now)
            if decision == crash_types.Decision.FREE:
                continue
            if decision == crash_types.Decision.QUARANTINED:
                is_part = subjects_module.is_part(subject)
                if not is_part or self.is_conclusive(subject, subjects):
                    until = self.quarantined[subject]
                    return crash_types.Judgement(decision, (), subject, until)
            if not self.sound.is_sound(subject, version):
                suspects.append(subject)
        if suspects:
            return crash_types.Judgement(
                crash_types.Decision.CANARY, tuple(suspects)
            )
        return crash_types.Judgement(crash_types.Decision.FREE)

    def release(self, fingerprint: int) -> None:
        """Ends a quarantine; one more crash starts the next one."""
        del self.quarantined[fingerprint]
        for replica in sorted(self.suspected.get(fingerprint, ())):
            if self.evidence(fingerprint) < MAX_CRASHES:
                return
            self.crashes[replica].expired.add(fingerprint)

    def updates(self, now: float, limit: int) -> list[crash_types.Interrupted]:
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
            updates.append(self.known(*place, now))
        while self.repeats and len(updates) < limit:
            replica, fingerprint = self.repeats.popleft()
            if fingerprint in self.suspicions_of(replica):
                updates.append(self.known(replica, fingerprint, now))
        return updates

    def suspicions_of(
        self, replica: crash_types.Incarnation
    ) -> dict[int, bool]:
        """Returns the requests that a crash interrupted.

        Empty if the crash is no longer recorded.
        """
        crash = self.crashes.get(replica)
        return crash.requests if crash is not None else {}

    def known(
        self, replica: crash_types.Incarnation, fingerprint: int, now: float
    ) -> crash_types.Interrupted:
        """Returns the suspicion of one subject for one crash."""
        crash = self.crashes[replica]
        return crash_types.Interrupted(
            replica,
            fingerprint,
            crash.requests[fingerprint],
            fingerprint in crash.cleared,
            fingerprint in crash.alone,
            crash.version,
            max(0.0, now - crash.at),
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
                if self.is_explained(crash, fingerprint):
                    continue
                if self.count(fingerprint) > 1:
                    self.repeats.append((replica, fingerprint))
                elif now - crash.at < RECENT_SECONDS:
                    single.append((replica, fingerprint))
        self.repeats.extend(single)
