"""Judges what reached the replicas of a soak by what all gateways may send."""

import bisect
from typing import NamedTuple

# The site's retry budget: share of the requests, seconds, and spare retries.
SHARE = 0.2
WINDOW = 10.0
SPARE = 6
# The rule on rate limits: from so many seconds after the naming on, so many
# seconds, times the limit, and some more.
CONTACT = 3.0
LIMIT_WINDOW = 4.0
LIMIT_SHARE = 1.5
LIMIT_SLACK = 5


class Arrival(NamedTuple):
    """A request that reached a replica.

    Attributes:
        at: When.
        attempt: Its id.
        prefilled: Whether only its prefill was accepted.
        rate_limit: What the replica named; 0 for nothing.
    """

    at: float
    attempt: str
    prefilled: bool
    rate_limit: float


def over_budget(
    service: str, arrivals: list[Arrival], sent: list[float]
) -> list[str]:
    """Lists the worst window in which a service got too many retries."""
    seen = set()
    prefilled = set()
    extra = []
    for arrival in sorted(arrivals):
        if arrival.prefilled and arrival.attempt not in prefilled:
            prefilled.add(arrival.attempt)
            continue
        if arrival.attempt in seen:
            extra.append(arrival.at)
        seen.add(arrival.attempt)
    sent = sorted(sent)
    for start in extra:
        requests = 0
        for begin in (start, start - WINDOW / 2, start - WINDOW):
            requests = max(requests, count(sent, begin, WINDOW))
        number = count(extra, start, WINDOW)
        if number > SHARE * requests + SPARE:
            return [f"{service}: {number} retries for {requests} requests"]
    return []


def over_limit(instance: str, arrivals: list[Arrival]) -> list[str]:
    """Lists the first window in which a replica got more than its limit.

    Args:
        instance: The replica.
        arrivals: What it got, without what is excused.
    """
    named_at = 0.0
    before = 0.0
    counted = []
    for arrival in sorted(arrivals):
        if arrival.rate_limit != before:
            before, named_at, counted = arrival.rate_limit, arrival.at, []
        if not before or arrival.at < named_at + CONTACT:
            continue
        counted.append(arrival.at)
        number = len(counted) - bisect.bisect_right(
            counted, arrival.at - LIMIT_WINDOW
        )
        if number > LIMIT_SHARE * before * LIMIT_WINDOW + LIMIT_SLACK:
            return [f"{instance}: {number} requests at a limit of {before}"]
    return []


def count(times: list[float], start: float, seconds: float) -> int:
    """Counts the times in a window."""
    first = bisect.bisect_left(times, start)
    return bisect.bisect_left(times, start + seconds) - first
