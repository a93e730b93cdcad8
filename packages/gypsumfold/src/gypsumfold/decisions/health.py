"""Decides from the results of requests whether a replica may get work.

Load pattern: a replica that fails, hangs or has ended while its entry still
says ready. Its health check may be wrong either way, so only the results of
requests count. Without this such a replica gets its full share, and one that
fails fast even attracts work.
"""

import random

# Weight of one result in the failure rate. Three failures in a row move it from
# 0 past the limit.
SMOOTHING = 0.25
# Failure rate above which a replica is paused. Some services fail one request
# in seven in ordinary use.
MAX_FAILURE_RATE = 0.5
# Failures without any byte of an answer after which a replica is paused at
# once; a success resets the count.
MAX_SILENT_FAILURES = 2
# Length of the first pause, doubled for each further one.
FIRST_PAUSE_SECONDS = 0.7
MAX_PAUSE_SECONDS = 5.0
# Doublings of a pause; beyond a thousand a float overflows.
MAX_DOUBLINGS = 20


class Health:
    """The recent failures of each replica.

    >>> health = Health(random.Random(1))
    >>> health.failed("engine-1", silent=True, now=0.0)
    >>> health.failed("engine-1", silent=True, now=0.1)
    >>> health.is_allowed("engine-1", now=0.2)
    False
    """

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.failure_rates: dict[str, float] = {}
        self.silent_failures: dict[str, int] = {}
        self.pauses: dict[str, int] = {}
        self.paused_until: dict[str, float] = {}
        self.last_success: dict[str, float] = {}

    def succeeded(self, replica: str, now: float) -> None:
        """Records a usable answer."""
        self.last_success[replica] = now
        share = self.failure_rates.get(replica, 0.0)
        self.failure_rates[replica] = share * (1 - SMOOTHING)
        self.silent_failures.pop(replica, None)
        self.pauses.pop(replica, None)
        self.paused_until.pop(replica, None)

    def failed(self, replica: str, silent: bool, now: float) -> None:
        """Records a failure.

        Args:
            replica: The replica.
            silent: Whether it sent nothing, not even a refusal.
            now: The time.
        """
        share = self.failure_rates.get(replica, 0.0)
        self.failure_rates[replica] = share + SMOOTHING * (1 - share)
        if silent:
            self.silent_failures[replica] = (
                self.silent_failures.get(replica, 0) + 1
            )
        if (
            self.silent_failures.get(replica, 0) >= MAX_SILENT_FAILURES
            or share > MAX_FAILURE_RATE
        ):
            count = self.pauses.get(replica, 0)
            self.pauses[replica] = count + 1
            pause = min(
                MAX_PAUSE_SECONDS,
                FIRST_PAUSE_SECONDS * 2 ** min(count, MAX_DOUBLINGS),
            )
            self.paused_until[replica] = now + pause * self.rng.uniform(
                0.7, 1.0
            )

    def is_allowed(self, replica: str, now: float) -> bool:
        """Whether a replica may get work; after a pause requests try it."""
        return now >= self.paused_until.get(replica, now)

    def forget(self, replica: str) -> None:
        """Drops a replica that was removed."""
        for table in (
            self.failure_rates,
            self.silent_failures,
            self.pauses,
            self.paused_until,
            self.last_success,
        ):
            table.pop(replica, None)
