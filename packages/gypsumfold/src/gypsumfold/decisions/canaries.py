"""Where requests run that may have crashed a replica: one for each replica.

Load pattern: a crash has interrupted dozens of requests, one of which may have
caused it, and all come again at once. Sent together, the next crash accuses all
of them again. A canary is the only suspect on its replica, so that a second
crash speaks against it alone, and one copy of it runs at a time.
"""

import math

# Seconds for which another node's canary is taken to run without being heard
# of again.
LIFE = 1.5
# Seconds for which an interrupted request waits until it is known whether its
# replica crashed: a question to the replica and a message to all nodes.
UNDECIDED = 0.5
# Seconds for which the end of a canary is told.
ENDED = 1.0


class Canaries:
    """The canaries of all nodes, as far as they are known here.

    >>> canaries = Canaries()
    >>> canaries.start(7, "engine-1", now=0.0)
    >>> canaries.free(8, "engine-1", now=0.1)
    False
    """

    def __init__(self):
        self.own: dict[int, tuple[str, float]] = {}
        self.others: dict[int, tuple[str, float]] = {}
        # By request and replica, so that what is still on its way of a canary
        # that has ended does not bring it back.
        self.ended: dict[tuple[int, str], float] = {}

    def start(self, fingerprint: int, instance: str) -> None:
        """Notes that a canary of this node runs until `end`."""
        self.own[fingerprint] = (instance, math.inf)

    def hold(self, fingerprint: int, instance: str, now: float) -> None:
        """Lets no copy of an interrupted request run for a moment."""
        self.own[fingerprint] = (instance, now + UNDECIDED)

    def end(self, fingerprint: int, now: float) -> bool:
        """Notes that a canary of this node has ended; whether there was one."""
        found = self.own.pop(fingerprint, None)
        if found is None:
            return False
        self.ended[fingerprint, found[0]] = now
        return True

    def heard(
        self, fingerprint: int, instance: str, seconds: float, now: float
    ) -> bool:
        """Takes in another node's canary.

        Args:
            fingerprint: The request.
            instance: Where it runs.
            seconds: How long it is taken to run; 0 where it has ended.
            now: The time.

        Returns:
            Whether that is news.
        """
        if (fingerprint, instance) in self.ended or fingerprint in self.own:
            return False
        known = self.others.get(fingerprint)
        if seconds > 0:
            self.others[fingerprint] = (instance, now + min(seconds, LIFE))
            return known is None
        self.ended[fingerprint, instance] = now
        if known is None or known[0] != instance:
            return False
        del self.others[fingerprint]
        return True

    def expire(self, now: float) -> None:
        """Drops what is over."""
        for table in (self.own, self.others):
            for fingerprint, (_, until) in list(table.items()):
                if until <= now:
                    del table[fingerprint]
        for place, at in list(self.ended.items()):
            if now - at > ENDED:
                del self.ended[place]

    def running(self, fingerprint: int, now: float) -> bool:
        """Whether a copy of a request runs as a canary, or is held."""
        self.expire(now)
        return fingerprint in self.own or fingerprint in self.others

    def free(self, fingerprint: int, instance: str, now: float) -> bool:
        """Whether a request may run as the canary of a replica."""
        if self.running(fingerprint, now):
            return False
        for table in (self.own, self.others):
            for where, _ in table.values():
                if where == instance:
                    return False
        return True

    def tell(self, relayed: bool, now: float) -> list[tuple[int, str, float]]:
        """Fingerprint, replica and seconds of what other nodes are to know.

        Args:
            relayed: Whether other nodes' canaries are passed on too.
            now: The time.
        """
        self.expire(now)
        found = []
        for fingerprint, (instance, until) in self.own.items():
            found.append((fingerprint, instance, min(LIFE, until - now)))
        if relayed:
            for fingerprint, (instance, until) in self.others.items():
                found.append((fingerprint, instance, until - now))
        for fingerprint, instance in self.ended:
            found.append((fingerprint, instance, 0.0))
        return found
