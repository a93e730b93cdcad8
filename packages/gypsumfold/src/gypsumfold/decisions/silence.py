"""Detects replicas that send nothing while requests to them are open.

Load pattern: an engine that stops responding with dozens of streams on it. Its
entry stays for seconds, its connections aren't reset, and everything sent there
waits until its deadline. A running engine sends bytes several times a second on
some stream, so silence on all of them is stronger evidence than any health
check.
"""

# Seconds without a byte on any connection with an open request after which a
# replica is probed. Engines send an event of each stream every 40 to 120 ms; a
# single request that waits for free capacity is silent longer.
SILENCE_LIMIT_SECONDS = 0.4
# Seconds since the last check after which silence says more about this node,
# which was suspended, than about the replicas.
LATE_CHECK_SECONDS = 0.3


class SilenceDetector:
    """Tracks the last byte from each replica with open requests.

    >>> silence = SilenceDetector()
    >>> silence.started("engine-1", now=0.0)
    >>> silence.check(now=0.2), silence.check(now=0.45)
    ([], ['engine-1'])
    """

    def __init__(self):
        self.open_requests: dict[str, int] = {}
        self.last_byte_at: dict[str, float] = {}
        self.checked_at: float | None = None

    def started(self, replica: str, now: float) -> None:
        """Records that a request is sent."""
        self.open_requests[replica] = self.open_requests.get(replica, 0) + 1
        self.last_byte_at.setdefault(replica, now)

    def received(self, replica: str, now: float) -> None:
        """Records bytes from a replica."""
        if replica in self.last_byte_at:
            self.last_byte_at[replica] = now

    def ended(self, replica: str) -> None:
        """Records the end of a request."""
        left = self.open_requests.get(replica, 0) - 1
        if left > 0:
            self.open_requests[replica] = left
            return
        self.open_requests.pop(replica, None)
        self.last_byte_at.pop(replica, None)

    def is_active(self, replica: str, now: float) -> bool:
        """Whether a replica sends data on open requests, or just got one."""
        since = self.last_byte_at.get(replica)
        return since is not None and now - since <= SILENCE_LIMIT_SECONDS

    def forget(self, replica: str) -> None:
        """Stops watching a removed replica; its open requests end later."""
        self.last_byte_at.pop(replica, None)

    def check(self, now: float) -> list[str]:
        """Returns the replicas that have been silent for too long.

        If this node itself was suspended, all replicas count as just seen.
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
