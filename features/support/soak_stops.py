"""Gateways of the soak that are stopped while the store is silent.

Their draws are their own, so that the faults of a seed stay as they were.
"""

from collections.abc import Callable
import random
import subprocess
import time
from typing import NamedTuple

from features.support import processes
from features.support import soak_callers

# Share of the soak's faults beside which one of these comes.
SHARE = 0.3
# Seconds for which the store is silent, and before the stop within them.
SILENT = (1.0, 5.0)
BEFORE = (0.0, 1.0)
# What replicas send in place of answers.
ANSWERS = ("endless", "odd_status")
COUNT = 2
PLAIN_PATHS = (soak_callers.HOLD, soak_callers.LOOK_UP)


class Stop(NamedTuple):
    """One stop of a gateway.

    Attributes:
        at: When it was told to stop, in monotonic seconds.
        process: The gateway.
        child: Its process then.
    """

    at: float
    process: processes.Process
    child: subprocess.Popen


class Stops:
    """Stops gateways in silences of the store, and spoils answers.

    >>> stops = Stops(soak)
    >>> pending += stops.strike()
    """

    def __init__(self, soak):
        self.soak = soak
        self.random = random.Random(f"stops {soak.seed}")
        self.stops: list[Stop] = []

    def strike(self) -> list[tuple[float, Callable[[], None]]]:
        """Injects faults, or none; returns when and how they end."""
        if self.random.random() > SHARE:
            return []
        name = self.random.choice(self.soak.replicas)
        self.soak.set_faults(name, **{self.random.choice(ANSWERS): COUNT})
        store = self.soak.fleet["store"]
        store.faults(silent=True)
        time.sleep(self.random.uniform(*BEFORE))
        _, revive = self.soak.end_gateway(self.stop)
        until = time.monotonic() + self.random.uniform(*SILENT)

        def undo() -> None:
            store.faults(silent=False)
            revive()

        return [(until, undo)]

    def stop(self, process: processes.Process) -> None:
        """Tells a gateway to stop."""
        process.terminate()
        self.stops.append(Stop(time.monotonic(), process, process.child))

    def broken(self) -> list[str]:
        """Lists calls that ran at a stopping gateway and got no answer."""
        found = []
        for stop in self.stops:
            if stop.child.poll() != 0 or self.was_disturbed(stop):
                continue
            for ask in self.soak.asks:
                if ask.gateway != stop.process.name or ask.status:
                    continue
                if ask.path not in PLAIN_PATHS or ask.at < stop.at:
                    continue
                if ask.at > stop.at + soak_callers.WAIT:
                    continue
                if self.soak.runs.get(ask.attempt, 0):
                    found.append(f"{ask}: ran at a stop and got no answer")
        return found

    def was_disturbed(self, stop: Stop) -> bool:
        """Whether the gateway was cut or frozen shortly before or meanwhile."""
        for moment in self.soak.disturbed.get(stop.process.name, ()):
            if -soak_callers.WAIT < moment - stop.at < 0.0:
                return True
        return any(
            stop.at < at < stop.at + 2 * soak_callers.WAIT
            for at in self.soak.frozen.get(stop.process.name, ())
        )
