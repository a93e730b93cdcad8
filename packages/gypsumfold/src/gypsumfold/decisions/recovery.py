"""Where work re-enters the queue after its engine failed.

Load pattern: an engine crashes with a full batch while others queue. The
rear of the queue makes such work wait twice; the head makes a crash of one
engine everybody's delay. The three places are options B, D and E of AuCoRe
(Tang et al., "Automatic and Coordinated Job Recovery for High Performance
Computing"), measured on both sides in docs/MEASUREMENTS.md.
"""

from typing import Protocol

from gypsumfold.decisions import types


class ReentryOrder(Protocol):
    """Orders the waiting requests of one account and urgency."""

    def position(self, request: types.Request, now: float) -> float:
        """Lower goes first."""


class BackOfQueue:
    """As if it had come just now (option B).

    >>> Rear().position(request, now=5.0)
    5.0
    """

    def position(self, request: types.Request, now: float) -> float:
        """The time of entry."""
        return now


class ByArrival:
    """Where it would have stood had it never been sent (option D).

    >>> ByArrival().position(request, now=5.0) == request.arrival
    True
    """

    def position(self, request: types.Request, now: float) -> float:
        """The time of its first arrival."""
        return request.arrival


class FrontOfQueue:
    """Before all that waits (option E).

    >>> Head().position(recovered, now=5.0) < 0
    True
    """

    def position(self, request: types.Request, now: float) -> float:
        """Recovered work goes first, the oldest of it before the rest."""
        if request.recovered:
            return request.arrival - FRONT_OFFSET_SECONDS
        return request.arrival


# Seconds; more than any clock here runs, so that recovered work sorts first.
FRONT_OFFSET_SECONDS = 1e12
