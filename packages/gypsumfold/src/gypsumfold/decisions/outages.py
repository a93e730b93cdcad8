"""Decides what happens to requests while there is no decode engine.

Load pattern: the only decode engine is lost, and another one takes seconds to
change its role. If prompts were dispatched meanwhile, their prefill would be
wasted; if they were refused, callers would retry before the engine is back and
be refused again. So a request is held if an engine is expected back in time for
it, and refused at once if not.
"""

from typing import NamedTuple

# Seconds from the loss of an engine to the order that replaces it: the time to
# detect its silence and until the holder of authority checks next.
DETECTION_SECONDS = 1.0
# Seconds that the rest of a request takes once an engine is back: prefill and
# the first tokens, queued behind other held requests.
SERVICE_SECONDS = 0.5
# Largest fraction of the time left that Retry-After may ask a caller to wait;
# callers ignore longer waits.
RETRY_AFTER_FRACTION = 1 / 3


class Decision(NamedTuple):
    """What to do with a request.

    Attributes:
        hold: Whether it waits for an engine.
        retry_after: Seconds after which its caller may retry if it is refused.
    """

    hold: bool
    retry_after: float


def decide(
    since: float, role_change: float, timeout: float, left: float, now: float
) -> Decision:
    """Decides whether a request waits for a decode engine.

    Args:
        since: When there was last a decode engine.
        role_change: Seconds for which a role change makes an engine
            unavailable.
        timeout: Seconds for which the caller waits for a first event.
        left: Seconds until the request's deadline.
        now: The time.
    """
    back = max(0.0, since + DETECTION_SECONDS + role_change - now)
    retry_after = min(max(back, 0.2), max(0.0, left * RETRY_AFTER_FRACTION))
    overdue = now > since + 2 * (DETECTION_SECONDS + role_change)
    hold = back + SERVICE_SECONDS < timeout and not overdue
    return Decision(hold, retry_after)
