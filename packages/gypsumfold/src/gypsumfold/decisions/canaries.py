"""Runs requests that may have crashed a replica one at a time per replica.

Load pattern: a crash has interrupted dozens of requests, one of which may have
caused it, and callers retry all of them at once. If they run together, the next
crash leaves all of them suspected again. A canary is the only suspect on its
replica, so a second crash identifies it, and only one copy of it runs at a
time.
"""

import math
from typing import NamedTuple

# Seconds after which another node's canary counts as ended without an update.
LIFETIME_SECONDS = 1.5
# Seconds for which an interrupted request is held until it is known whether its
# replica crashed: the time of a query to the replica and a message to all
# nodes.
HOLD_SECONDS = 0.5
# Seconds for which an ended canary is kept and its end sent to other nodes.
ENDED_SECONDS = 1.0
# How often a change is sent, since datagrams may be lost.
SEND_TIMES = 3
# Seconds after which a canary that is still running is sent again.
REPEAT_SECONDS = LIFETIME_SECONDS / 3


class Canary(NamedTuple):
    """One canary of one node.

    Attributes:
        fingerprint: The request's fingerprint.
        owner: The node that runs it.
        number: Increases with each canary of its owner, so that late messages
            about an earlier canary are ignored.
        instance: The replica that runs it.
        until: When it counts as ended.
        reserved: Whether it has not started: its owner waits until all nodes
            know of it.
    """

    fingerprint: int
    owner: int
    number: int
    instance: str
    until: float
    reserved: bool = False


class Canaries:
    """The canaries of all nodes, as far as this node knows them.

    >>> canaries = Canaries(owner=1)
    >>> canaries.start(7, "engine-1")
    >>> canaries.is_free(8, "engine-1", now=0.1)
    False
    """

    def __init__(self, owner: int):
        self.owner = owner
        self.number = 0
        self.known: dict[tuple[int, int], Canary] = {}
        # How many more times each is sent, and when it was last sent.
        self.pending_sends: dict[tuple[int, int], int] = {}
        self.sent_at: dict[tuple[int, int], float] = {}

    def start(self, fingerprint: int, instance: str) -> None:
        """Records that a canary of this node runs until `end` is called."""
        self.record(fingerprint, instance, math.inf)

    def reserve(self, fingerprint: int, instance: str) -> None:
        """Records that a canary of this node is about to run."""
        self.record(fingerprint, instance, math.inf, reserved=True)

    def hold(self, fingerprint: int, instance: str, now: float) -> None:
        """Keeps all copies of an interrupted request from running briefly."""
        self.record(fingerprint, instance, now + HOLD_SECONDS)

    def record(
        self,
        fingerprint: int,
        instance: str,
        until: float,
        reserved: bool = False,
    ) -> None:
        """Records a canary of this node."""
        self.number += 1
        place = fingerprint, self.owner
        self.known[place] = Canary(
            fingerprint, self.owner, self.number, instance, until, reserved
        )
        self.pending_sends[place] = SEND_TIMES

    def end(
        self, fingerprint: int, now: float, instance: str | None = None
    ) -> bool:
        """Records the end of a canary of this node.

        Args:
            fingerprint: The request's fingerprint.
            now: The time.
            instance: The only replica at which a canary is ended, since runs
                at replicas of other versions may end meanwhile; None for any.

        Returns:
            Whether one was running.
        """
        found = self.known.get((fingerprint, self.owner))
        if found is None or found.until <= now:
            return False
        if instance is not None and found.instance != instance:
            return False
        self.known[fingerprint, self.owner] = found._replace(until=now)
        self.pending_sends[fingerprint, self.owner] = SEND_TIMES
        return True

    def merge(self, canary: Canary, now: float) -> bool:
        """Merges another node's canary.

        Returns:
            Whether it changed what is known here.
        """
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
        """Drops canaries that ended more than `ENDED_SECONDS` ago."""
        for place, canary in list(self.known.items()):
            if now - canary.until > ENDED_SECONDS:
                del self.known[place]
                self.pending_sends.pop(place, None)
                self.sent_at.pop(place, None)

    def is_running(self, fingerprint: int, now: float) -> bool:
        """Whether a copy of a request runs as a canary or is held."""
        for canary in self.known.values():
            if canary.fingerprint == fingerprint and canary.until > now:
                return True
        return False

    def must_yield(self, fingerprint: int, now: float) -> bool:
        """Whether a reservation of this node has to be given up.

        Of nodes that reserve at the same time the one with the lowest number
        goes on; otherwise many waiting requests would all give way.
        """
        for canary in self.known.values():
            if canary.fingerprint != fingerprint or canary.until <= now:
                continue
            if canary.owner < self.owner:
                return True
            if canary.owner != self.owner and not canary.reserved:
                return True
        return False

    def is_free(self, fingerprint: int, instance: str, now: float) -> bool:
        """Whether a request may run as a replica's canary."""
        if self.is_running(fingerprint, now):
            return False
        return self.is_unused(instance, now)

    def is_unused(self, instance: str, now: float) -> bool:
        """Whether no canary runs on a replica."""
        for canary in self.known.values():
            if canary.instance == instance and canary.until > now:
                return False
        return True

    def updates(self, forward: bool, now: float, limit: int) -> list[Canary]:
        """Returns the canaries to send to other nodes.

        Args:
            forward: Whether to include other nodes' canaries.
            now: The time.
            limit: Maximum number of canaries.

        Returns:
            The least recently sent ones first.
        """
        self.expire(now)
        due = []
        for place, canary in self.known.items():
            if canary.owner != self.owner and not forward:
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
