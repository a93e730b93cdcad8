"""Where requests run that may have crashed a replica: one for each replica.

Load pattern: a crash has interrupted dozens of requests, one of which may have
caused it, and all come again at once. Sent together, the next crash leaves all
of them suspected again. A canary is the only suspect on its replica, so that a
second crash points at it alone, and one copy of it runs at a time.
"""

import math
from typing import NamedTuple

# Seconds for which another node's canary is taken to run without news of it.
LIFETIME_SECONDS = 1.5
# Seconds for which an interrupted request waits until it is known whether its
# replica crashed: a question to the replica and a message to all nodes.
HOLD_SECONDS = 0.5
# Seconds for which the end of a canary is sent to other nodes.
ENDED_SECONDS = 1.0
# How often what changes is sent, as datagrams may be lost, and seconds until a
# canary that runs on is sent again.
SEND_TIMES = 3
REPEAT_SECONDS = LIFETIME_SECONDS / 3


class Canary(NamedTuple):
    """One canary of one node.

    Attributes:
        fingerprint: The request.
        owner: The node that runs it.
        number: Increases with each canary of its owner; what is still on its
            way of an earlier one does not bring that back.
        instance: Where it runs.
        until: When it is taken to have ended.
    """

    fingerprint: int
    owner: int
    number: int
    instance: str
    until: float


class Canaries:
    """The canaries of all nodes, as far as they are known here.

    >>> canaries = Canaries(owner=1)
    >>> canaries.start(7, "engine-1")
    >>> canaries.is_free(8, "engine-1", now=0.1)
    False
    """

    def __init__(self, owner: int):
        self.owner = owner
        self.number = 0
        self.known: dict[tuple[int, int], Canary] = {}
        # How often each is still to be sent, and when it was sent last.
        self.pending_sends: dict[tuple[int, int], int] = {}
        self.sent_at: dict[tuple[int, int], float] = {}

    def start(self, fingerprint: int, instance: str) -> None:
        """Notes that a canary of this node runs until `end`."""
        self.record(fingerprint, instance, math.inf)

    def hold(self, fingerprint: int, instance: str, now: float) -> None:
        """Lets no copy of an interrupted request run for a moment."""
        self.record(fingerprint, instance, now + HOLD_SECONDS)

    def record(self, fingerprint: int, instance: str, until: float) -> None:
        """Takes in a canary of this node."""
        self.number += 1
        place = fingerprint, self.owner
        self.known[place] = Canary(
            fingerprint, self.owner, self.number, instance, until
        )
        self.pending_sends[place] = SEND_TIMES

    def end(self, fingerprint: int, now: float) -> bool:
        """Notes that a canary of this node has ended; whether there was one."""
        found = self.known.get((fingerprint, self.owner))
        if found is None or found.until <= now:
            return False
        self.known[fingerprint, self.owner] = found._replace(until=now)
        self.pending_sends[fingerprint, self.owner] = SEND_TIMES
        return True

    def merge(self, canary: Canary, now: float) -> bool:
        """Takes in another node's canary; whether that is news."""
        if canary.owner == self.owner:
            return False
        place = canary.fingerprint, canary.owner
        known = self.known.get(place)
        if known is not None and known.number > canary.number:
            return False
        canary = canary._replace(
            until=min(canary.until, now + LIFETIME_SECONDS)
        )
        if known is None or known.number < canary.number:
            self.known[place] = canary
            self.pending_sends[place] = SEND_TIMES
            return True
        if known.until <= now:
            return False
        self.known[place] = canary
        ended = canary.until <= now
        if ended:
            self.pending_sends[place] = SEND_TIMES
        return ended

    def expire(self, now: float) -> None:
        """Drops what has ended long ago."""
        for place, canary in list(self.known.items()):
            if now - canary.until > ENDED_SECONDS:
                del self.known[place]
                self.pending_sends.pop(place, None)
                self.sent_at.pop(place, None)

    def is_running(self, fingerprint: int, now: float) -> bool:
        """Whether a copy of a request runs as a canary, or is held."""
        for canary in self.known.values():
            if canary.fingerprint == fingerprint and canary.until > now:
                return True
        return False

    def is_running_elsewhere(self, fingerprint: int, now: float) -> bool:
        """Whether another node runs a copy of a request as a canary."""
        for canary in self.known.values():
            if canary.owner == self.owner or canary.until <= now:
                continue
            if canary.fingerprint == fingerprint:
                return True
        return False

    def is_free(self, fingerprint: int, instance: str, now: float) -> bool:
        """Whether a request may run as the canary of a replica."""
        if self.is_running(fingerprint, now):
            return False
        for canary in self.known.values():
            if canary.instance == instance and canary.until > now:
                return False
        return True

    def updates(self, relayed: bool, now: float, limit: int) -> list[Canary]:
        """What other nodes are to know; what was not sent for longest first.

        Args:
            relayed: Whether other nodes' canaries are passed on too.
            now: The time.
            limit: Canaries at most.
        """
        self.expire(now)
        due = []
        for place, canary in self.known.items():
            if canary.owner != self.owner and not relayed:
                self.pending_sends.pop(place, None)
                continue
            sent = self.sent_at.get(place, -math.inf)
            runs = canary.until > now
            if place in self.pending_sends or (
                runs and now - sent >= REPEAT_SECONDS
            ):
                due.append((sent, place))
        due.sort()
        found = []
        for _, place in due[:limit]:
            self.sent_at[place] = now
            left = self.pending_sends.pop(place, 1)
            if left > 1:
                self.pending_sends[place] = left - 1
            found.append(self.known[place])
        return found
