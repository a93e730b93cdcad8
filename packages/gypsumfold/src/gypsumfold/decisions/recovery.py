"""Decides where requests re-enter the queue after their engine failed.

Load pattern: an engine crashes with a full batch while other requests wait.
At the back of the queue, recovered requests wait twice; at the front, the
crash of one engine delays all others. The three positions are options B, D and
E of AuCoRe (Tang et al., "Automatic and Coordinated Job Recovery for High
Performance Computing"); docs/MEASUREMENTS.md compares them for recovered and
for other requests.
"""

from typing import Protocol

from gypsumfold.decisions import types


class ReentryOrder(Protocol):
    """Orders the waiting requests of one account and urgency."""

    def position(self, request: types.Request, now: float) -> float:
        """Sort key of a request; lower is served first."""


class BackOfQueue:
    """At the back, as if the request had just arrived (option B).

    >>> BackOfQueue().position(request, now=5.0)
    5.0
    """

    def position(self, request: types.Request, now: float) -> float:
        """Time of entry into the queue."""
        return now


class ByArrival:
    """Where the request would be if it had never been sent (option D).

    >>> ByArrival().position(request, now=5.0) == request.arrival
    True
    """

    def position(self, request: types.Request, now: float) -> float:
        """Time of its first arrival."""
        return request.arrival


class FrontOfQueue:
    """At the front, before all waiting requests (option E).

    >>> FrontOfQueue().position(recovered, now=5.0) < 0
    True
    """

    def position(self, request: types.Request, now: float) -> float:
        """Recovered requests first, in order of arrival."""
        if request.recovered:
            return request.arrival - FRONT_OFFSET_SECONDS
        return request.arrival


# More than any clock here reaches, so that recovered requests sort first.
FRONT_OFFSET_SECONDS = 1e12
