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
# Seconds beyond its announced end for which a role change still counts as under
# way: its engine first ends what it runs, and is asked every 0.15 s.
LATE_SECONDS = 1.0
# Seconds until all nodes have the notice that an engine changes its role.
NOTICE_SECONDS = 0.25
# Seconds that the rest of a request takes once an engine is back: prefill and
# the first tokens, queued behind other held requests.
SERVICE_SECONDS = 0.5
# Largest fraction of the time left that Retry-After may ask a caller to wait;
# callers ignore longer waits.
RETRY_AFTER_FRACTION = 1 / 3
# Smallest Retry-After in seconds.
MIN_RETRY_AFTER = 0.2


class Decision(NamedTuple):
    """What to do with a request.

    Attributes:
        hold: Whether it waits for an engine.
        retry_after: Seconds after which its caller may retry if it is refused.
    """

    hold: bool
    retry_after: float


class Return(NamedTuple):
    """When a decode engine is expected.

    Attributes:
        at: The time.
        is_known: Whether a role change that ends then is under way.
    """

    at: float
    is_known: bool


def expect_return(
    since: float, role_change: float, change_ends: list[float], now: float
) -> Return:
    """Returns when a decode engine is expected, from what is known.

    The order that replaces a lost engine may be late, or its engine may not
    carry it out. While no engine changes its role, none can have changed it
    before a whole role change has passed.

    Args:
        since: When there was last a decode engine.
        role_change: Seconds for which a role change makes an engine
            unavailable.
        change_ends: When the engines that are changing to decode should be
            done.
        now: The time.
    """
    usual = since + DETECTION_SECONDS + role_change
    for end in sorted(change_ends):
        if now < end + LATE_SECONDS:
            return Return(end, True)
    if now < since + DETECTION_SECONDS + NOTICE_SECONDS:
        return Return(usual, False)
    return Return(now + role_change, False)


def decide(
    since: float,
    role_change: float,
    timeout: float,
    left: float,
    now: float,
    expected: Return | None = None,
) -> Decision:
    """Decides whether a request waits for a decode engine.

    Args:
        since: When there was last a decode engine.
        role_change: Seconds for which a role change makes an engine
            unavailable.
        timeout: Seconds for which the caller waits for a first event.
        left: Seconds until the request's deadline.
        now: The time.
        expected: When an engine is expected, if more is known than the time of
            the loss. Retry-After then says when, however late that is.
    """
    is_overdue = now > since + 2 * (DETECTION_SECONDS + role_change)
    if expected is not None:
        back = max(0.0, expected.at - now)
        hold = back + SERVICE_SECONDS < timeout
        hold = hold and (expected.is_known or not is_overdue)
        return Decision(hold, max(back, MIN_RETRY_AFTER))
    back = max(0.0, since + DETECTION_SECONDS + role_change - now)
    retry_after = min(
        max(back, MIN_RETRY_AFTER), max(0.0, left * RETRY_AFTER_FRACTION)
    )
    hold = back + SERVICE_SECONDS < timeout and not is_overdue
    return Decision(hold, retry_after)
