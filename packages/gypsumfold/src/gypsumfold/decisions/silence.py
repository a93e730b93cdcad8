"""Which replicas have gone silent while they owe answers.

Load pattern: an engine that goes dark with dozens of streams on it. Its
entry stays for seconds, its connections are not reset, and everything sent
there waits until its deadline. A running engine gives a sign of life several
times a second on some stream, so that silence on all of them says more than
any health check.
"""

# Seconds without a byte on any connection with a request, after which a
# replica is asked for a sign of life. Engines send an event of each stream
# every 40 to 120 ms; a single request that waits for room is silent longer.
SILENCE_LIMIT_SECONDS = 0.4
# Seconds by which a look may be late before it says more about this node,
# which was suspended, than about the replicas.
LATE_CHECK_SECONDS = 0.3


class SilenceDetector:
    """Watches the last sign of life of each replica that owes an answer.

    >>> silence = Silence()
    >>> silence.started("engine-1", now=0.0)
    >>> silence.look(now=0.2), silence.look(now=0.45)
    ([], ['engine-1'])
    """

    def __init__(self):
        self.open_requests: dict[str, int] = {}
        self.last_byte_at: dict[str, float] = {}
        self.checked_at: float | None = None

    def started(self, replica: str, now: float) -> None:
        """Notes a request that is sent."""
        self.open_requests[replica] = self.open_requests.get(replica, 0) + 1
        self.last_byte_at.setdefault(replica, now)

    def received(self, replica: str, now: float) -> None:
        """Notes bytes from a replica."""
        if replica in self.last_byte_at:
            self.last_byte_at[replica] = now

    def ended(self, replica: str) -> None:
        """Notes the end of a request."""
        left = self.open_requests.get(replica, 0) - 1
        if left > 0:
            self.open_requests[replica] = left
            return
        self.open_requests.pop(replica, None)
        self.last_byte_at.pop(replica, None)

    def forget(self, replica: str) -> None:
        """Drops a replica that is gone; what it owed ends without it."""
        self.last_byte_at.pop(replica, None)

    def check(self, now: float) -> list[str]:
        """The replicas that are silent for too long.

        After a time in which this node itself stood still all count as
        heard of.
        """
        late = (
            self.checked_at is not None
            and now - self.checked_at > LATE_CHECK_SECONDS
        )
        self.checked_at = now
        if late:
            for replica in self.last_byte_at:
                self.last_byte_at[replica] = now
            return []
        found = []
        for replica, since in self.last_byte_at.items():
            if now - since > SILENCE_LIMIT_SECONDS:
                found.append(replica)
        return found
