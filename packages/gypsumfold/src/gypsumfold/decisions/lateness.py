"""Ranks requests by whether they can still meet their latency objective.

Load pattern: a burst or an outage leaves more prompts than the engines can
prefill within their objectives. Served in order of arrival, all of them are
late, including new ones. So a request that will miss its objective is queued
behind all that can meet theirs, and one whose caller will have left by then is
refused at once. A late request must count the late ones queued ahead of it;
otherwise many wait until their callers have left.
"""

from typing import NamedTuple

# Time from the end of prefill to the caller's first event: KV cache transfer
# and the first decode step.
FIRST_EVENT_SECONDS = 0.06
# Urgency of the most urgent deferred request: behind all requests that are on
# time and those without a declared urgency (5).
DEFERRED_URGENCY = 6
# A late request that delays others for at most this fraction of its objective
# isn't deferred: it stays ahead of less urgent requests, behind those of its
# own urgency that are on time. Behind prompts that take ten times as long, few
# small ones would be served.
SMALL_LOAD_FRACTION = 0.1
# Engine urgencies for each route urgency: one for requests on time, one for
# small late ones.
LEVELS_PER_URGENCY = 2
# Lowest urgency that engines accept.
MAX_ENGINE_URGENCY = 9
# A late request takes this times its expected seconds, since later arrivals
# that can still be on time overtake it: engines that spend a third of their
# time on those take half as long again.
OVERTAKING_FACTOR = 1.5
# Fraction of the caller's remaining timeout that the expected time may use:
# most estimates of 0.1 s and more are off by less than a third.
TIMEOUT_FRACTION = 0.9


class Rank(NamedTuple):
    """Urgency and prospects of a request.

    Attributes:
        urgency: Urgency for the engine; 0 is the most urgent.
        late: Whether it will miss its objective.
        deferred: Whether it is queued behind all requests that are on time.
        hopeless: Whether its caller will have left before its first event.
    """

    urgency: int
    late: bool
    deferred: bool
    hopeless: bool


def rank(
    urgency: int,
    age: float,
    expected: float,
    objective: float,
    abandon_timeout: float,
    deferred_ahead: float = 0.0,
    load: float = 0.0,
) -> Rank:
    """Ranks a request by when its first event is expected.

    Args:
        urgency: Urgency of the route.
        age: Seconds since it arrived.
        expected: Expected seconds until prefill is complete.
        objective: Seconds from arrival to the first event that the route
            aims at.
        abandon_timeout: Seconds for which its caller still waits.
        deferred_ahead: Seconds of deferred prompts queued ahead of it if it is
            deferred itself.
        load: Seconds for which it delays others.

    Returns:
        The rank of the request.
    """
    remaining = expected + FIRST_EVENT_SECONDS
    late = age + remaining > objective
    deferred = late and load > SMALL_LOAD_FRACTION * objective
    if late:
        before = deferred_ahead if deferred else 0.0
        remaining = (
            OVERTAKING_FACTOR * (expected + before) + FIRST_EVENT_SECONDS
        )
    hopeless = remaining > TIMEOUT_FRACTION * abandon_timeout
    if deferred:
        level = min(MAX_ENGINE_URGENCY, DEFERRED_URGENCY + urgency)
    else:
        level = min(
            DEFERRED_URGENCY - 1, LEVELS_PER_URGENCY * urgency + int(late)
        )
    return Rank(level, late, deferred, hopeless)
