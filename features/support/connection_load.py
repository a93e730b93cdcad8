"""Hundreds of nodes that have tokens made: how many connections they open."""

import random
from typing import NamedTuple

from gypsumfold.gateway import directory as directory_module
from gypsumfold.gateway import types

NODES = 195
GENERATORS = 13
DATA_CENTRES = 5
# Short calls a second and for how many seconds.
RATE = 82
SECONDS = 20
# Seconds for which an idle connection is kept, and that a stream takes.
KEPT = 8.0
STREAM = 0.2
# Share of a generating engine that one stream takes.
SHARE = 1 / 64


class Count(NamedTuple):
    """What a replay came to.

    Attributes:
        opened: Connections opened for each stream.
        fullest: The fullest that a generating engine was, as a share.
    """

    opened: float
    fullest: float


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
        chosen = directory.choice.least_loaded(engines, near, connected)
        last = used.get((node, chosen.instance), -KEPT)
        opened += now - last >= KEPT
        used[node, chosen.instance] = now + STREAM
        directory.streams.add(chosen.instance, SHARE)
        running.append((now + STREAM, chosen.instance))
        fullest = max(fullest, directory.streams.own[chosen.instance])
    return Count(opened / count, fullest)
