"""Clients of a soak that misbehave, and the memory that gateways took."""

import contextlib
import random
import threading

from features.support import crowd_clients
from features.support import crowds
from features.support import gateways
from features.support import processes

# Crowds whose requests are never complete, so that no replica runs them; the
# promises to ordinary callers are counted by what replicas ran.
KINDS = (
    crowds.stopped_bodies,
    crowds.trickled_bodies,
    crowds.chunked_bodies,
    crowds.tiny_chunks,
    crowds.unpacking_bodies,
    crowds.endless_heads,
    crowds.half_heads,
    crowds.silent_connections,
)
# Clients of a crowd, seconds for which it stays, and between two crowds.
CLIENTS = (10, 60)
STAYS = (0.5, 3.0)
BETWEEN = (0.2, 2.0)
# Memory of a gateway's VM, as fleets leave it at its default.
MEMORY_MB = 300


class Crowds:
    """Sends one crowd after the other to gateways, at all of their ports.

    >>> crowds = Crowds(fleet, seed=1, names=["edge-1"])
    >>> crowds.start()
    >>> crowds.stop()
    """

    def __init__(
        self, fleet: gateways.GatewayFleet, seed: int, names: list[str]
    ):
        self.fleet = fleet
        self.names = names
        # The faults of the soak are drawn from a sequence of their own.
        self.random = random.Random(f"crowds {seed}")
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.peaks: dict[str, int] = {}
        self.count = 0

    def start(self) -> None:
        """Begins to send crowds."""
        self.thread.start()

    def stop(self) -> None:
        """Ends the crowds."""
        self.ended.set()
        self.thread.join()

    def run(self) -> None:
        """Sends crowds until the soak ends."""
        while not self.ended.wait(self.random.uniform(*BETWEEN)):
            process = self.fleet[self.random.choice(self.names)]
            place = self.random.choice(list(crowds.PLACES.values()))
            clients = self.random.choice(KINDS)(place)
            clients = clients[: self.random.randint(*CLIENTS)]
            stays = self.random.uniform(*STAYS)
            with contextlib.closing(
                crowd_clients.Crowd(process.host, place.port, clients)
            ):
                self.ended.wait(stays)
            self.count += 1
            self.look(process)

    def look(self, process: processes.Process) -> None:
        """Keeps the largest memory of a gateway, if it lives."""
        with contextlib.suppress(OSError, crowds.Ended):
            peak = crowds.peak_memory(process.pid)
            self.peaks[process.name] = max(
                peak, self.peaks.get(process.name, 0)
            )

    def broken(self) -> list[str]:
        """Lists the gateways that took more memory than their VM has."""
        found = []
        for name, peak in self.peaks.items():
            if peak > MEMORY_MB * crowds.MIB:
                found.append(f"{name} took {peak // crowds.MIB} MB")
        return found
