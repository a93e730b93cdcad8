"""Which engine reads a prompt, and where it copies what was read before.

Load pattern: hot prompt beginnings that together are larger than one
engine's memory. Sent anywhere, each beginning is read by every engine and
pushes others out; each has a home instead, chosen by rendezvous hashing so
that all nodes agree without talking. A home whose queue is longer than
reading elsewhere would take is passed over, and the other engine copies the
beginning from the home over the engines' links, which takes milliseconds
where reading it again takes tenths of a second.
"""

import math
from typing import NamedTuple

import xxhash

from gypsumfold.decisions import chains
from gypsumfold.decisions import paces

# Engines in a beginning's order that are weighed: all of a small fleet, and
# of a large one enough that one of them is free (with 70 engines the chance
# that all of eight are the busiest tenth is 1e-8).
CONSIDERED = 8
# Times the reading of a prompt's shared parts by which another engine must be
# quicker than the home: each engine that reads a beginning of its own pushes
# others out of its memory. A prompt that shares little goes to the shortest
# queue.
HOME_WEIGHT = 1.0
# Seconds that copying cached parts takes beside their bytes.
COPY_OVERHEAD = 0.008


class Engine(NamedTuple):
    """An engine that could read the prompt.

    Attributes:
        name: Its instance.
        address: IP:PORT.
        memory: Tokens that it can keep.
    """

    name: str
    address: str
    memory: int


class Choice(NamedTuple):
    """Where a prompt is read.

    Attributes:
        engine: The engine's instance.
        peer: Address of the engine to copy cached parts from; empty for
            none.
        tokens: Those that are left to be read.
        reading: Seconds that reading them takes.
        total: Seconds until they are read, with the wait.
    """

    engine: str
    peer: str
    tokens: int
    reading: float
    total: float


class Homes:
    """Chooses by home, wait and what is believed to be cached.

    >>> homes = Homes()
    >>> homes.choose(chain, "m", 17_000, engines, 0.0, now=0.0)
    Choice(...)
    """

    def __init__(self):
        self.caches = chains.Caches()
        self.paces: dict[str, paces.Pace] = {}

    def pace(self, engine: str) -> paces.Pace:
        """What is known of an engine's speed."""
        return self.paces.setdefault(engine, paces.Pace())

    def choose(
        self,
        chain: chains.Chain,
        model: str,
        prompt_tokens: int,
        engines: list[Engine],
        copy_rate: float,
        now: float,
    ) -> Choice | None:
        """Picks the engine that has the prompt read first.

        Args:
            chain: The prompt's parts.
            model: The model asked for.
            prompt_tokens: The prompt's length.
            engines: Those that could read it.
            copy_rate: Tokens a second over a link; 0 where parts cannot be
                copied.
            now: The time.

        Returns:
            None where there is no engine.
        """
        key = chains.shared_key(chain, model)
        shared = sum(part.tokens for part in chain[:-1])
        ranked = order(key or hash(chain), engines)
        best = None
        best_cost = math.inf
        for place, engine in enumerate(ranked[:CONSIDERED]):
            choice = self.weigh(
                engine, ranked[0], chain, model, prompt_tokens, copy_rate, now
            )
            cost = choice.total
            if place > 0:
                rate = self.pace(ranked[0].name).rate
                cost += HOME_WEIGHT * shared / rate
            if cost < best_cost:
                best, best_cost = choice, cost
        return best

    def weigh(
        self,
        engine: Engine,
        home: Engine,
        chain: chains.Chain,
        model: str,
        prompt_tokens: int,
        copy_rate: float,
        now: float,
    ) -> Choice:
        """Works out how long a prompt takes at one engine."""
        cached = self.caches.cached(engine.name, chain, model)
        peer = ""
        copying = 0.0
        if engine is not home and copy_rate > 0:
            shared = self.caches.cached(home.name, chain, model)
            if shared > cached:
                peer = home.address
                copying = COPY_OVERHEAD + (shared - cached) / copy_rate
                cached = shared
        tokens = max(0, prompt_tokens - cached)
        pace = self.pace(engine.name)
        reading = pace.expected(tokens)
        total = pace.delay(now) + copying + reading
        return Choice(engine.name, peer, tokens, reading, total)

    def read(
        self, engine: str, chain: chains.Chain, model: str, memory: int
    ) -> None:
        """Notes that an engine has a prompt in its memory now."""
        self.caches.add(engine, chain, model, memory)

    def forget(self, engine: str) -> None:
        """Drops an engine that is gone."""
        self.caches.forget(engine)
        self.paces.pop(engine, None)


def order(key: int, engines: list[Engine]) -> list[Engine]:
    """Ranks engines for a beginning; the first is its home."""
    return sorted(engines, key=lambda one: -rank(key, one.name))


def rank(key: int, name: str) -> int:
    """The weight of an engine for a beginning in rendezvous hashing."""
    return xxhash.xxh3_64_intdigest(f"{key}\n{name}".encode())
