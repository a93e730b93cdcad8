"""The times of a node's graceful stop, fixed when it begins.

None of them depends on an answer of the store, a peer, a replica or a client.
"""

from typing import NamedTuple

# Seconds for which a stopping node goes on listening: the balancer checks once
# a second and removes a node after two negative answers.
NOTICE_SECONDS = 2.9
# Seconds before the kill at which a stopping node gives its final answers, by
# which these have been written, and at which the process exits.
FINAL_ANSWER_SECONDS = 0.7
WRITTEN_SECONDS = 0.6
EXIT_SECONDS = 0.15
# Weight of the latest request in the usual time of a route's requests.
LATEST_WEIGHT = 0.2


class Schedule(NamedTuple):
    """When a stopping node does what, in seconds on the monotonic clock.

    Attributes:
        intake_ends_at: It stops listening. What was read whole by then is
            served, everything else is refused.
        answers_end_at: Requests in progress get their final answers.
        written_at: Connections that still send an answer are given up.
        exits_at: Calls that haven't been answered are given up.
    """

    intake_ends_at: float
    answers_end_at: float
    written_at: float
    exits_at: float


def schedule(stopped_at: float, grace: float) -> Schedule:
    """Returns the times of a stop.

    Args:
        stopped_at: When the node was told to stop.
        grace: Seconds from then until the process is killed.
    """
    half = stopped_at + grace / 2
    end = stopped_at + grace
    return Schedule(
        min(stopped_at + NOTICE_SECONDS, half),
        max(half, end - FINAL_ANSWER_SECONDS),
        max(half, end - WRITTEN_SECONDS),
        max(half, end - EXIT_SECONDS),
    )


def latest_start(
    stop: Schedule, objective: float, usual: float | None
) -> float:
    """Returns until when a request may be passed on to a replica.

    One that is passed on later could be cut off after it has run.

    Args:
        stop: The times of the stop.
        objective: Seconds within which its route wants it answered.
        usual: Seconds that requests of its route usually take; None if that
            isn't known.
    """
    if usual is not None:
        return stop.answers_end_at - usual
    return max(stop.intake_ends_at, stop.answers_end_at - objective)


def smooth(usual: float | None, seconds: float) -> float:
    """Returns the usual time of a route's requests after another one.

    Args:
        usual: What it was before; None if there was no request.
        seconds: Time that the latest request took.
    """
    if usual is None:
        return seconds
    return usual + LATEST_WEIGHT * (seconds - usual)
