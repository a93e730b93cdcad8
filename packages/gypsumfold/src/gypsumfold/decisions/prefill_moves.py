"""Decides whether a waiting prompt is sent to another engine instead.

Load pattern: prompts queue at an engine that then turns slow for seconds or is
reclaimed, while other engines are idle. Without the decision each prompt that
is there when the spell begins is answered after the objective.
"""

# Ratio of taken to usual seconds from which an engine's prompts may be moved.
# Below it, prefilling the prompt again gains no time, and where engines are
# half busy, prompts that other nodes sent at the same moment look like this.
MOVE_FACTOR = 2.0
# Seconds that an overdue prompt is expected to still take, as a fraction of
# its age: nothing is known but that it has taken this long. With a half,
# prompts at an engine that takes 20 times as long waited 0.4 s and more.
OVERDUE_FRACTION = 0.5
# What completion elsewhere has to gain: a fraction of the estimated time, for
# its error, and at least the time of a usual prompt's prefill, as the move
# repeats work that was begun.
MARGIN_FRACTION = 0.25
MARGIN_SECONDS = 0.05


def remaining_seconds(expected: float, factor: float, age: float) -> float:
    """Seconds until a prompt's prefill completes where it is.

    Args:
        expected: Seconds expected at the engine's usual speed, from sending.
        factor: How many times as long the engine takes now.
        age: Seconds since it was sent.
    """
    left = expected * factor - age
    if left > 0:
        return left
    return OVERDUE_FRACTION * age


def may_move(leaving: bool, factor: float, runs: int, attempts: int) -> bool:
    """Whether a request's first prefill may be moved at all.

    Args:
        leaving: Whether its engine is leaving.
        factor: How many times as long the engine takes now.
        runs: Number of replicas that may have run the request.
        attempts: Number of replicas that the route allows. The second prefill
            takes one, and the decode that follows takes another.
    """
    if not leaving and factor < MOVE_FACTOR:
        return False
    return runs + 2 <= attempts


def can_gain(here: float) -> bool:
    """Whether a move can gain at all, wherever the prompt is sent.

    Args:
        here: Seconds until it completes where it is.
    """
    return here > MARGIN_SECONDS


def gains(here: float, elsewhere: float) -> bool:
    """Whether a prompt completes so much sooner elsewhere that it is moved.

    Args:
        here: Seconds until it completes where it is.
        elsewhere: Seconds until it completes at another engine, from now.
    """
    margin = max(MARGIN_SECONDS, MARGIN_FRACTION * elsewhere)
    return elsewhere + margin < here
