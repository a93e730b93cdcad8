"""Counts how many of a subject's crashes speak against it independently.

Load pattern: all replicas of a data centre are lost at once, and a part that
most prompts share was running on each of them. Without this they would count
as that many crashes of the part.
"""

import math

# Crashes within this time may have one cause, such as a data centre's loss.
TOGETHER_SECONDS = 1.0


def count_independent(runs: list[tuple[float, bool]]) -> int:
    """Counts crashes, those at about the same time once.

    Args:
        runs: When each crash was, and whether its suspect ran alone. Those
            that ran alone all count: only one copy was running.
    """
    count = 0
    together_until = -math.inf
    for at, alone in sorted(runs):
        if alone:
            count += 1
            continue
        if at >= together_until:
            together_until = at + TOGETHER_SECONDS
            count += 1
    return count
