"""What becomes of requests while no engine generates.

Load pattern: the only engine that generates is lost, and another one takes
seconds to change its role. Sent on, the prompts are read for nothing;
refused, callers come back before the engine does and are refused again. So a
request is held if the engine is expected back in time for it, and refused at
once if not.
"""

from typing import NamedTuple

# Seconds from the loss of an engine to the order that replaces it: noticing
# that it is silent, and the holder of authority's next look.
DETECTION_SECONDS = 1.0
# Seconds that the rest of a request takes once an engine is back: the prompt
# and the first tokens, behind those that were held as well.
SERVICE_SECONDS = 0.5
# Most of the time left that Retry-After may ask a caller to wait; callers
# disregard more.
RETRY_AFTER_FRACTION = 1 / 3


class Decision(NamedTuple):
    """What to do with a request.

    Attributes:
        hold: Whether it waits for an engine.
        retry_after: Seconds after which its caller may come back, if not.
    """

    hold: bool
    retry_after: float


def decide(
    since: float, role_change: float, timeout: float, left: float, now: float
) -> Decision:
    """Says whether a request waits for an engine to come back.

    Args:
        since: When there was an engine last.
        role_change: Seconds for which a change of role takes an engine away.
        timeout: Seconds for which the caller waits for a first event.
        left: Seconds until the request's deadline.
        now: The time.
    """
    back = max(0.0, since + DETECTION_SECONDS + role_change - now)
    retry_after = min(max(back, 0.2), max(0.0, left * RETRY_AFTER_FRACTION))
    overdue = now > since + 2 * (DETECTION_SECONDS + role_change)
    hold = back + SERVICE_SECONDS < timeout and not overdue
    return Decision(hold, retry_after)
