"""How many engines read prompts and how many generate tokens.

Load pattern: a mix that swings between long prompts and long answers, on
engines that do one of the two at a time. Right after a start nothing is
cached and prompts need nearly all engines; minutes later most beginnings are
cached, and the memory of the engines that generate fills first. A fixed
split queues at one side while the other idles.
"""

import math
from typing import NamedTuple

from gypsumfold.decisions import types

# Engines of a service for each one that generates, before there is any
# traffic: nothing is cached then.
ENGINES_PER_DECODER = 6
# Share of the generating engines' memory that streams may take before
# another engine is to generate: a full memory evicts streams midway.
FULL = 0.55
# Share to which more engines are to bring it, and below which one fewer
# would still be enough.
AIM = 0.45
# Seconds of prompts that wait at each reading engine, on average: below the
# first one an engine can be spared, above the second one is missing.
SPARE = 0.35
PRESSED = 0.5
# Seconds in which a load moves the estimate by two thirds: shorter than a
# swing of the mix, longer than the gap between two large prompts.
SMOOTHING = 0.8
# Seconds for which a load must ask for the same split: swings of a second are
# not followed, since a change takes an engine away for three.
LASTING = 1.2
# Seconds between two changes: an engine's change takes three, and its effect
# shows after that.
SETTLE = 5.0
# Seconds without any traffic after which the split is that of a start.
IDLE = 5.0


class EngineView(NamedTuple):
    """An engine as the planner sees it.

    Attributes:
        name: Its instance.
        data_centre: Where it stands.
        role: What it does, or is about to do where it changes.
    """

    name: str
    data_centre: str
    role: types.Role


class Load(NamedTuple):
    """What all nodes have at a service's engines.

    Attributes:
        prompts: Seconds of prompts that wait to be read, over all engines.
        streams: Tokens of prompts and answers of all streams that run.
        memory: Tokens that one engine's memory holds.
    """

    prompts: float
    streams: float
    memory: int


class Change(NamedTuple):
    """An engine that is to have another role."""

    engine: str
    role: types.Role


class Split:
    """Follows the load of one service and says which engines change.

    >>> split = Split()
    >>> split.plan(engines, Load(0.0, 0.0, 440_000), now=0.0)
    [Change(...)]
    """

    def __init__(self):
        self.prompts = 0.0
        self.streams = 0.0
        self.seen: float | None = None
        self.busy = -math.inf
        self.changed = -math.inf
        self.wish = 0
        self.wished = -math.inf

    def plan(
        self, engines: list[EngineView], load: Load, now: float
    ) -> list[Change]:
        """Says which engines are to change, as few as possible."""
        self.observe(load, now)
        if len(engines) < 2:
            return []
        current = 0
        for engine in engines:
            if engine.role != types.Role.PREFILL:
                current += 1
        wanted = self.wanted(len(engines), current, load.memory, now)
        if wanted != self.wish:
            self.wish = wanted
            self.wished = now
        if wanted == current:
            return []
        urgent = current < 1 or now - self.busy > IDLE
        if now - self.wished < LASTING and not urgent:
            return []
        self.changed = now
        return changes(engines, wanted)

    def observe(self, load: Load, now: float) -> None:
        """Takes the load in."""
        if load.prompts > 0 or load.streams > 0:
            self.busy = now
        passed = now - self.seen if self.seen is not None else math.inf
        self.seen = now
        weight = 1 - math.exp(-passed / SMOOTHING)
        self.prompts += weight * (load.prompts - self.prompts)
        self.streams += weight * (load.streams - self.streams)

    def wanted(
        self, engines: int, current: int, memory: int, now: float
    ) -> int:
        """How many engines are to generate."""
        if current < 1:
            return 1
        if current >= engines:
            return initial(engines)
        if now - self.busy > IDLE:
            return initial(engines)
        if now - self.changed < SETTLE or memory <= 0:
            return current
        needed = self.streams / memory
        readers = engines - current
        step = max(1, engines // 10)
        if needed > FULL * current:
            wanted = min(current + step, math.ceil(needed / AIM))
            left = engines - wanted
            if left >= 1 and self.prompts / left < SPARE:
                return wanted
        if self.prompts / readers > PRESSED and current > 1:
            wanted = max(1, current - step)
            if needed < AIM * wanted:
                return wanted
        return current


def initial(engines: int) -> int:
    """How many of so many engines generate before there is traffic."""
    return max(1, round(engines / ENGINES_PER_DECODER))


def changes(engines: list[EngineView], wanted: int) -> list[Change]:
    """Picks the engines to change.

    Engines that generate are spread over the data centres, so that a KV
    cache seldom has to leave its own.
    """
    decoders = []
    readers = []
    for engine in engines:
        if engine.role == types.Role.PREFILL:
            readers.append(engine)
        else:
            decoders.append(engine)
    found = []
    while len(decoders) > wanted:
        leaving = max(decoders, key=lambda one: crowd(one, decoders))
        decoders.remove(leaving)
        found.append(Change(leaving.name, types.Role.PREFILL))
    while len(decoders) < wanted and readers:
        joining = min(readers, key=lambda one: crowd(one, decoders))
        readers.remove(joining)
        decoders.append(joining)
        found.append(Change(joining.name, types.Role.DECODE))
    return found


def crowd(engine: EngineView, decoders: list[EngineView]) -> tuple[int, str]:
    """Sorts engines by how many decoders share their data centre."""
    near = 0
    for other in decoders:
        if other.data_centre == engine.data_centre:
            near += 1
    return near, engine.name
