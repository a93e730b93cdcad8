"""Decides whether all living streams of a route began at one version.

While a route has led to one service, and that service has had replicas of one
software version, since before any living stream could begin, every stream began
there, also one that nobody remembers.
"""

import collections
from collections.abc import Callable
from typing import NamedTuple

# Seconds after its begin within which a stream that nobody remembers may still
# be taken up by its caller.
STREAM_LIFE_SECONDS = 30.0
# Maximum age of the known registrations. A replica of another version that
# registered later may have begun a stream that broke off already.
MAX_AGE_SECONDS = 2.0


class Steady(NamedTuple):
    """A value, and since when it has been the same."""

    value: frozenset[str | None]
    since: float


class SteadyValues:
    """Remembers since when each key has had the same set of values.

    Attributes:
        found: The values of each key.
        on_change: Called with each key whose values change.
        first_age: Seconds for which a key that is new has had its values; over
            0 where no stream can have begun before this node.

    >>> values = SteadyValues()
    >>> values.observe("swaps", frozenset(["lm"]), now=0.0)
    >>> values.sole("swaps", now=40.0)
    'lm'
    """

    def __init__(self):
        self.found: dict[str, Steady] = {}
        self.on_change: Callable[[str], None] = lambda key: None
        self.first_age = 0.0

    def observe(
        self, key: str, value: frozenset[str | None], now: float
    ) -> None:
        """Records the values that a key has now."""
        before = self.found.get(key)
        if before is None:
            self.found[key] = Steady(value, now - self.first_age)
        elif before.value != value:
            self.found[key] = Steady(value, now)
        else:
            return
        self.on_change(key)

    def adopt(
        self, key: str, value: frozenset[str | None], since: float
    ) -> bool:
        """Takes over since when a key has had its values, from other nodes.

        Returns:
            Whether it has these values.
        """
        known = self.found.get(key)
        if known is None or known.value != value:
            return False
        if since < known.since:
            self.found[key] = Steady(value, since)
        return True

    def retain(self, keys: set[str]) -> None:
        """Drops all other keys."""
        self.found = {
            key: steady for key, steady in self.found.items() if key in keys
        }

    def sole(self, key: str, now: float) -> str | None:
        """Returns the only value that a key had while any stream has lived.

        Returns:
            The value; None if there may have been another.
        """
        steady = self.found.get(key)
        if steady is None or now - steady.since < STREAM_LIFE_SECONDS:
            return None
        if len(steady.value) != 1:
            return None
        return next(iter(steady.value))


class SoftwareVersions:
    """Counts the replicas of each service by software version.

    >>> versions = SoftwareVersions()
    >>> versions.add("lm", "v1", now=0.0)
    >>> versions.steady.sole("lm", now=40.0)
    'v1'
    """

    def __init__(self):
        self.counts: dict[str, collections.Counter[str | None]] = {}
        self.steady = SteadyValues()

    def add(self, service: str, version: str | None, now: float) -> None:
        """Counts a replica."""
        counts = self.counts.setdefault(service, collections.Counter())
        counts[version] += 1
        self.steady.observe(service, frozenset(counts), now)

    def remove(self, service: str, version: str | None, now: float) -> None:
        """Counts a replica no more."""
        counts = self.counts[service]
        counts[version] -= 1
        if counts[version] <= 0:
            del counts[version]
        self.steady.observe(service, frozenset(counts), now)

    def current(self, service: str) -> frozenset[str | None]:
        """Returns the versions of a service's replicas."""
        return frozenset(self.counts.get(service, ()))
