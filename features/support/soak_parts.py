"""Parts of prompts that crash the engines of a soak."""

import random
import threading
import time
from typing import NamedTuple

from features.support import soak_arrivals
from features.support import soak_callers

# How the id of such a part begins, as engines of a soak know it.
PREFIX = "badbad"
# Seconds between two requests with such a part, and from a crash until its
# engine starts again.
PAUSE = 0.25
DOWN = 1.5
# Seconds between two looks at which engines have ended.
WATCH = 0.05
# Crashes after which the rule counts, and requests that it allows from then on.
FATAL = 5
MOST_LATE = 3
# What names the refusal of a request that crashes replicas.
REFUSED = b"request-quarantined"


class Crash(NamedTuple):
    """An engine that a part has ended."""

    at: float
    engine: str
    part: str


class CrashingParts:
    """Sends requests with crashing parts, one part at a time, and counts.

    Attributes:
        part: The part that comes now; empty if none does.
        newest: The part that came last.
        attempts: The part of each request, by its attempt.
        crashes: The engines that ended.
        down: Since when engines are down that a part has ended.

    >>> parts = CrashingParts(soak)
    >>> stop = parts.begin()
    """

    def __init__(self, soak):
        self.soak = soak
        self.number = 0
        self.part = ""
        self.newest = ""
        self.attempts: dict[str, str] = {}
        self.crashes: list[Crash] = []
        self.down: dict[str, float] = {}
        self.threads: list[threading.Thread] = []

    def spawn(self, target, *values) -> None:
        """Starts a thread that ends with the soak."""
        thread = threading.Thread(target=target, args=values)
        self.threads.append(thread)
        thread.start()

    def begin(self) -> str:
        """Lets requests with a new part come; returns the part.

        The one before it comes no more.
        """
        self.number += 1
        self.part = self.newest = f"{PREFIX}{self.number:02x}"
        self.spawn(self.send, self.part)
        return self.part

    def stop(self) -> None:
        """Lets no more requests with such parts come."""
        self.part = ""

    def send(self, part: str) -> None:
        """Sends requests with a part, no two alike, until another one comes."""
        rng = random.Random(f"{self.soak.seed} {part}")
        while self.part == part and not self.soak.ended.is_set():
            self.spawn(self.ask, part, rng.randrange(1 << 30))
            time.sleep(PAUSE)

    def ask(self, part: str, seed: int) -> None:
        """Sends one request with a part."""
        rng = random.Random(seed)
        caller = soak_callers.Caller(self.soak.fleet, rng)
        path = rng.choice((soak_callers.BRIEF, soak_callers.SWAP))
        ask = caller.ask(rng.choice(self.soak.gateways), path, part=part)
        caller.close()
        with self.soak.lock:
            self.soak.asks.append(ask)
            self.attempts[ask.attempt] = part

    def watch(self) -> None:
        """Notes which engines a part has ended."""
        while not self.soak.ended.is_set():
            time.sleep(WATCH)
            for name in self.soak.engines:
                known = name in self.down or name not in self.soak.fleet.entries
                if known or self.soak.fleet[name].alive:
                    continue
                now = time.monotonic()
                self.down[name] = now
                self.crashes.append(Crash(now, name, self.newest))

    def ended(self) -> dict[str, int]:
        """How many engines each part has ended."""
        found: dict[str, int] = {}
        for crash in self.crashes:
            found[crash.part] = found.get(crash.part, 0) + 1
        return found

    def due(self, now: float) -> list[str]:
        """Engines that start again now."""
        found = []
        for name, since in self.down.items():
            if now >= since + DOWN:
                found.append(name)
        return found

    def join(self) -> None:
        """Waits until all that was started has ended."""
        for thread in list(self.threads):
            thread.join()

    def broken(self) -> list[str]:
        """Lists the parts of which too many requests reached engines."""
        found = []
        for number in range(1, self.number + 1):
            part = f"{PREFIX}{number:02x}"
            crashes = [one.at for one in self.crashes if one.part == part]
            if len(crashes) < FATAL:
                continue
            settled = sorted(crashes)[FATAL - 1] + soak_arrivals.CONTACT
            late = sum(at > settled for at in crashes)
            late += len(self.arrived(part, settled))
            if late > MOST_LATE:
                found.append(f"{part}: {late} requests after {FATAL} crashes")
        for ask in self.soak.asks:
            if REFUSED in ask.body and ask.attempt not in self.attempts:
                found.append(f"{ask}: refused for crashes of others")
        return found

    def arrived(self, part: str, start: float) -> set[str]:
        """Requests with a part that reached engines which are still there."""
        gateways = {ask.attempt: ask.gateway for ask in self.soak.asks}
        found = set()
        for arrivals in self.soak.arrivals.values():
            for arrival in arrivals:
                if self.attempts.get(arrival.attempt) != part:
                    continue
                gateway = gateways.get(arrival.attempt)
                if arrival.at <= start:
                    continue
                if not self.soak.is_excused(gateway, arrival.at):
                    found.add(arrival.attempt)
        return found
