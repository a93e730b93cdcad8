"""Measures for how long spare decode engines have been missing lately.

Load pattern: running streams near a limit, so that a service alternates every
few seconds between enough decode engines and one too few. A time that restarts
whenever there are enough would never confirm the need, and the loss of an
engine would find no spare.
"""

import collections
from typing import NamedTuple

# Length of the window in seconds: two phases of 14 s in which the mix swings.
WINDOW_SECONDS = 30.0
# Seconds in the window for which spares must have been missing. A need that is
# there half of the time, for less than five seconds each, reaches at most 16;
# a few crashes, after each of which an engine is back after four, less.
CONFIRMING_SECONDS = 18.0
# Largest part of the time between two updates that counts: the leader updates
# every 0.15 s, and one that didn't for longer knows nothing of that time.
MAX_GAP_SECONDS = 1.0


class Span(NamedTuple):
    """A time in which spares were missing.

    Attributes:
        end: When it ended.
        seconds: Its length.
        missing: Number of spares that were missing.
    """

    end: float
    seconds: float
    missing: int


class RecentShortages:
    """The shortages of spares in the window.

    >>> shortages = RecentShortages()
    >>> shortages.record(1, now=0.0)
    >>> shortages.confirmed()
    0
    """

    def __init__(self):
        self.spans: collections.deque[Span] = collections.deque()
        self.recorded_at: float | None = None

    def record(self, missing: int, now: float) -> None:
        """Records how many spares are missing now."""
        before, self.recorded_at = self.recorded_at, now
        while self.spans and self.spans[0].end <= now - WINDOW_SECONDS:
            self.spans.popleft()
        if before is None or missing <= 0:
            return
        seconds = min(now - before, MAX_GAP_SECONDS)
        self.spans.append(Span(now, seconds, missing))

    def confirmed(self) -> int:
        """Returns how many spares were missing for long enough in all."""
        total = 0.0
        for span in sorted(self.spans, key=lambda one: -one.missing):
            total += span.seconds
            if total >= CONFIRMING_SECONDS:
                return span.missing
        return 0

    def clear(self) -> None:
        """Starts a new window, as the number of spares has changed."""
        self.spans.clear()
