"""Judges the arrivals at replicas that name a rate limit."""

import bisect
from typing import NamedTuple

# Seconds from the first answer with a limit until the limit is judged; length
# of a window in seconds; share of the limit and further requests allowed in it;
# seconds after a process's first such answer from which its requests count.
CONTACT = 3.0
WINDOW = 4.0
SHARE = 1.5
SLACK = 5
TOLD = 0.5


class Span(NamedTuple):
    """A time in which a replica names the same limit.

    Attributes:
        instance: The replica.
        rate: Its limit, in requests a second.
        begin: When it named it first.
        end: When it named another one or none.
    """

    instance: str
    rate: float
    begin: float
    end: float


class Worst(NamedTuple):
    """The window in which a replica came nearest to its limit.

    Attributes:
        arrivals: Requests that count.
        allowed: How many are allowed.
        used: Share of the limit that was used in the whole span.
    """

    arrivals: int
    allowed: float
    used: float


def judge(fleet, span):
    """The worst window of a span."""
    counted = []
    every = 0
    for arrival in fleet.arrivals:
        if arrival.instance != span.instance:
            continue
        if not span.begin + CONTACT <= arrival.at < span.end:
            continue
        every += 1
        told = fleet.told.get((arrival.process, span.instance))
        if told is not None and told + TOLD <= arrival.at:
            counted.append(arrival.at)
    worst = 0
    for place, at in enumerate(counted):
        last = bisect.bisect_left(counted, at + WINDOW)
        worst = max(worst, last - place)
    seconds = span.end - span.begin - CONTACT
    allowed = SHARE * span.rate * WINDOW + SLACK
    return Worst(worst, allowed, round(every / (span.rate * seconds), 2))
