"""How fast waiting work is sent, as measured while some waits.

Load pattern: a burst, in which engines slow down as they fill. The number of
own dispatches over their expected time promises more than the engines then
do, and requests are let in that must be refused seconds later.
"""

import math

# Seconds over which the rate is measured: several reports, and a fraction of
# the deadlines that it is held against.
MEMORY = 2.0


class Drain:
    """Measures the work sent per second while work waits.

    >>> drain = Drain()
    >>> drain.busy(now=0.0)
    >>> drain.sent(work=1.0, now=0.5)
    >>> drain.rate(now=1.0) is None
    True
    """

    def __init__(self):
        self.since: float | None = None
        self.work = 0.0
        self.updated = 0.0

    def busy(self, now: float) -> None:
        """Notes that work waits."""
        if self.since is None:
            self.since = self.updated = now
            self.work = 0.0

    def idle(self) -> None:
        """Notes that nothing waits: whatever comes is sent at once."""
        self.since = None

    def sent(self, work: float, now: float) -> None:
        """Notes that a request of so many seconds was sent."""
        if self.since is None:
            return
        self.decay(now)
        self.work += work

    def decay(self, now: float) -> None:
        """Forgets what lies more than about `MEMORY` seconds back."""
        self.work *= math.exp(-max(0.0, now - self.updated) / MEMORY)
        self.updated = now

    def rate(self, now: float) -> float | None:
        """Seconds of work sent a second; None until it is measured."""
        if self.since is None or now - self.since < MEMORY:
            return None
        self.decay(now)
        full = 1.0 - math.exp(-(now - self.since) / MEMORY)
        return self.work / (MEMORY * full)
