"""Hundreds of nodes that send short prompts: how many connections they open."""

import random
from typing import NamedTuple

from gypsumfold.decisions import chains
from gypsumfold.decisions import homes as homes_module
from gypsumfold.gateway import directory as directory_module
from gypsumfold.gateway import types

NODES = 195
READERS = 65
GENERATORS = 13
DATA_CENTRES = 5
# Short calls a second and for how many seconds; tokens of their beginnings,
# of which there are so many, and of the rest.
RATE = 82
SECONDS = 20
SHARED = 350
BEGINNINGS = 1400
OWN = 1110
# Tokens a second that an engine reads, and tokens that its memory holds.
SPEED = 38_000
MEMORY = 415_000
# Seconds for which an idle connection is kept, and that a stream takes.
KEPT = 8.0
STREAM = 0.2
# Share of a generating engine that one stream takes.
SHARE = 1 / 64
# Seconds within which a prompt is to be read.
ON_TIME = 0.4


class Count(NamedTuple):
    """What a replay came to.

    Attributes:
        opened: Connections opened for each prompt.
        on_time: Share of prompts that were read in time.
        fullest: The fullest that a generating engine was, as a share.
    """

    opened: float
    on_time: float
    fullest: float


def readers(prefer: bool, seed: int) -> Count:
    """Has prompts read, with or without a preference for open connections."""
    rng = random.Random(seed)
    homes = homes_module.Homes()
    homes.memory = MEMORY
    free = {f"i-{place}": 0.0 for place in range(READERS)}
    used: dict[tuple[int, str], float] = {}
    waiting: list[tuple[float, homes_module.Choice, float]] = []
    opened = 0
    late = 0
    count = RATE * SECONDS
    for number in range(count):
        now = number / RATE
        while waiting and waiting[0][0] <= now:
            ended, choice, taken = waiting.pop(0)
            homes.done(choice, taken, ended)
        node = rng.randrange(NODES)
        engines = []
        for name in free:
            last = used.get((node, name), -KEPT)
            is_open = now - last < KEPT
            engines.append(
                homes_module.Engine(name, name, is_open or not prefer)
            )
        chain = (
            chains.Part(f"s{rng.randrange(BEGINNINGS)}", SHARED),
            chains.Part(f"o{number}", OWN),
        )
        prompt = homes_module.Prompt(chain, "m", SHARED + OWN, 0)
        choice = homes.choose(prompt, engines, engines, 0.0, now)
        opened += now - used.get((node, choice.engine), -KEPT) >= KEPT
        start = max(now, free[choice.engine])
        free[choice.engine] = start + choice.tokens / SPEED
        ended = free[choice.engine] + 0.02
        used[node, choice.engine] = ended
        late += ended - now > ON_TIME
        choice = homes.sent(choice, chain, "m", MEMORY, None)
        waiting.append((ended, choice, ended - now))
        waiting.sort(key=lambda one: one[0])
    return Count(opened / count, 1 - late / count, 0.0)


def generators(prefer: bool, seed: int) -> Count:
    """Has tokens made, with or without that preference."""
    rng = random.Random(seed)
    directory = directory_module.Directory(rng)
    engines = []
    for place in range(GENERATORS):
        engines.append(
            types.Replica(
                f"i-{place}",
                "lm",
                f"10.0.0.{place}:1",
                f"dc-{place % DATA_CENTRES}",
                64,
                False,
            )
        )
    used: dict[tuple[int, str], float] = {}
    running: list[tuple[float, str]] = []
    opened = 0
    fullest = 0.0
    count = RATE * SECONDS
    for number in range(count):
        now = number / RATE
        while running and running[0][0] <= now:
            _, name = running.pop(0)
            directory.streams.remove(name, SHARE)
        node = rng.randrange(NODES)

        def connected(engine, node=node, now=now):
            last = used.get((node, engine.instance), -KEPT)
            return now - last < KEPT or not prefer

        near = f"dc-{rng.randrange(DATA_CENTRES)}"
        chosen = directory.emptiest(engines, near, connected)
        last = used.get((node, chosen.instance), -KEPT)
        opened += now - last >= KEPT
        used[node, chosen.instance] = now + STREAM
        directory.streams.add(chosen.instance, SHARE)
        running.append((now + STREAM, chosen.instance))
        fullest = max(fullest, directory.streams.own[chosen.instance])
    return Count(opened / count, 1.0, fullest)
