"""The clock for durations that include time spent suspended."""

import time


def now() -> float:
    """Returns seconds that advance while the process or VM is suspended.

    CLOCK_BOOTTIME (Linux clock_gettime(2)) includes suspended time, which
    CLOCK_MONOTONIC does not. The event loop's time is unsuitable: uvloop
    caches it at the start of an iteration, so it is stale after a suspension.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
