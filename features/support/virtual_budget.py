"""Judges the arrivals at all replicas of a site by its retry budget."""

import bisect
from typing import NamedTuple

from features.support import virtual_callers

# The site's budget: its share of the requests, and its window in seconds.
SHARE = 0.2
WINDOW = 10.0
SERVICES = ("lm", "app")


class Worst(NamedTuple):
    """The window in which a service came nearest to its budget.

    Attributes:
        service: The service.
        start: When the window began.
        extra: Arrivals beyond the first of their requests.
        allowed: How many are allowed.
    """

    service: str
    start: float
    extra: int
    allowed: float


def service_of(path):
    """The service of a route."""
    return "app" if path == virtual_callers.LOOKUP[0] else "lm"


def extra_arrivals(callers, service):
    """When requests for a service arrived beyond their first arrival.

    The first prefill of a request that a replica accepts is free.
    """
    arrived = set()
    prefilled = set()
    found = []
    for arrival in callers.fleet.arrivals:
        attempt = arrival.attempt
        if service_of(callers.paths[attempt]) != service:
            continue
        free = not arrival.ran and arrival.accepted
        if free and attempt not in prefilled:
            prefilled.add(attempt)
            continue
        if attempt in arrived:
            found.append(arrival.at)
        arrived.add(attempt)
    return found


def count(times, start):
    """Counts the times in a window."""
    first = bisect.bisect_left(times, start)
    return bisect.bisect_left(times, start + WINDOW) - first


def worst(site, callers, service):
    """The window in which a service came nearest to its budget."""
    extra = extra_arrivals(callers, service)
    sent = []
    for attempt, at in callers.sent.items():
        if service_of(callers.paths[attempt]) == service:
            sent.append(at)
    found = Worst(service, 0.0, 0, site.spare)
    for start in extra:
        requests = max(
            count(sent, start),
            count(sent, start - WINDOW / 2),
            count(sent, start - WINDOW),
        )
        allowed = SHARE * requests + site.spare
        number = count(extra, start)
        if number / allowed > found.extra / found.allowed:
            found = Worst(service, start, number, round(allowed, 1))
    return found
