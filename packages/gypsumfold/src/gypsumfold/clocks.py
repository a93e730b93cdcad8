"""The clock for durations that must hold through a suspension."""

import time


def now() -> float:
    """Seconds that go on while the process or the VM is suspended.

    CLOCK_BOOTTIME (Linux clock_gettime(2)) counts suspension, which
    CLOCK_MONOTONIC does not. The event loop's own time will not do: uvloop
    keeps it from the start of the iteration, so after a freeze it is old.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
