"""What becomes of requests that cannot be in time any more.

Load pattern: a burst or an outage leaves more prompts than the engines read
within their objectives. Served in order of arrival all of them are late, the
fresh ones too. So a request that will miss its objective goes behind all that
can keep theirs, and one whose caller will have left is refused at once. Of 160
new long prompts within a second 29 to 51 wait behind others until their callers
leave if a late one does not count the late ones before it, and 0 to 2 if it
does (replayed without processes, five seeds).
"""

from typing import NamedTuple

# Seconds from a read prompt to the first event at the caller: handing the KV
# cache over and the first step (45 ms, median of a quiet minute).
FIRST_EVENT_SECONDS = 0.06
# Urgency of the most urgent deferred request: behind every request that is on
# time and behind those of which nothing is said (5).
DEFERRED_URGENCY = 6
# Share of its objective for which a late request may hold up others and yet
# keep its place before less urgent ones, behind fresh ones of its own urgency.
# Behind all of them, prompts of 6 ms waited 0.4 s for prompts of 60 to 300 ms
# for as long as 300 a second came, and were served less than these.
SMALL_LOAD_FRACTION = 0.1
# Levels of urgency that engines know for each one of routes: one for requests
# on time, one for small late ones.
LEVELS_PER_URGENCY = 2
# The least urgent that engines know.
MAX_URGENCY = 9
# Times its expected seconds that a late request takes, since those that come
# after it go before it as long as they can be in time: engines that are a
# third busy with these take half as long again.
OVERTAKING_FACTOR = 1.5
# Share of the time a caller still waits that the expected one must leave:
# expectations of 0.1 s and more are right within a third for most.
TIMEOUT_FRACTION = 0.9


class Rank(NamedTuple):
    """How a request goes on.

    Attributes:
        urgency: For the engine; 0 is the most urgent.
        late: Whether it will miss its objective.
        deferred: Whether it goes behind all that is on time.
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
        urgency: The route's.
        age: Seconds since it came.
        expected: Seconds until its prompt is read.
        objective: Seconds from its coming within which it is worth most.
        abandon_timeout: Seconds for which its caller still waits.
        deferred_ahead: Seconds of deferred prompts that wait before it if it is
            deferred.
        load: Seconds for which it holds up others.
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
        level = min(MAX_URGENCY, DEFERRED_URGENCY + urgency)
    else:
        level = min(
            DEFERRED_URGENCY - 1, LEVELS_PER_URGENCY * urgency + int(late)
        )
    return Rank(level, late, deferred, hopeless)
