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
# The rule on leaving: seconds after an answer that says so; what a request may
# take from its caller to the replica besides.
LEAVING = 2.0
TRAVEL = 1.0
# The rule on rest: seconds after which it holds, and requests allowed in it.
REST_BEGIN = 0.5
REST_SLACK = 2


class Arrival(NamedTuple):
    """A request that reached a replica.

    Attributes:
        at: When.
        attempt: Its id.
        prefilled: Whether only its prefill was accepted.
        rate_limit: What the replica named; 0 for nothing.
        leaving: Whether its answer said that the replica leaves.
        rest: Seconds of rest that its answer asked for; 0 for none.
    """

    at: float
    attempt: str
    prefilled: bool
    rate_limit: float
    leaving: bool = False
    rest: float = 0.0


def after_leaving(
    instance: str, arrivals: list[Arrival], senders: dict[str, str]
) -> list[str]:
    """Lists requests sent too late to a replica that had said it leaves.

    Args:
        instance: The replica.
        arrivals: What it got, without what is excused.
        senders: The gateway that took each attempt.
    """
    told: dict[str, float] = {}
    for arrival in sorted(arrivals):
        gateway = senders.get(arrival.attempt)
        if gateway is None:
            continue
        since = told.get(gateway)
        if since is not None and arrival.at - since > LEAVING + TRAVEL:
            late = arrival.at - since
            return [f"{instance}: from {gateway} {late:.2f} s after leaving"]
        if arrival.leaving:
            told.setdefault(gateway, arrival.at)
    return []


def in_rest(
    instance: str, arrivals: list[Arrival], senders: dict[str, str]
) -> list[str]:
    """Lists a rest in which a gateway sent a replica too many requests."""
    asked: list[tuple[float, float, str | None]] = []
    for arrival in sorted(arrivals):
        gateway = senders.get(arrival.attempt)
        if arrival.rest and gateway is not None:
            asked.append((arrival.at, arrival.rest, gateway))
    for at, seconds, gateway in asked:
        number = 0
        for arrival in arrivals:
            if senders.get(arrival.attempt) == gateway:
                number += at + REST_BEGIN <= arrival.at < at + seconds
        if number > REST_SLACK:
            return [f"{instance}: {number} from {gateway} in {seconds} s rest"]
    return []


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
