"""How many engines read prompts and how many generate tokens.

Load pattern: long prompts that share beginnings, with short answers, on
engines that do one of the two at a time. Prompts wait for engines, tokens
hardly: one engine generates for dozens of requests at once, at a step that
grows by a few hundredths for each. Left as they start, most engines generate
and the prompts queue.
"""

from typing import NamedTuple

from gypsumfold.decisions import types

# Engines of a service for each one that generates. With 17,000 prompt tokens
# and 130 output tokens a request, one generates about 2,700 tokens a second
# while five read.
ENGINES_PER_DECODER = 6
# Fewest engines that generate while there are this many engines or more: one
# that crashes must not take all answers with it.
FEWEST_DECODERS = 1


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


class Change(NamedTuple):
    """An engine that is to have another role."""

    engine: str
    role: types.Role


def decoders_wanted(engines: int) -> int:
    """How many of so many engines are to generate."""
    return max(FEWEST_DECODERS, round(engines / ENGINES_PER_DECODER))


def plan(engines: list[EngineView]) -> list[Change]:
    """Says which engines are to change, as few as possible.

    Engines that generate are spread over the data centres, so that a KV
    cache seldom has to leave its own.
    """
    if len(engines) < 2:
        return []
    wanted = decoders_wanted(len(engines))
    decoders = [one for one in engines if one.role == types.Role.DECODE]
    readers = [one for one in engines if one.role != types.Role.DECODE]
    changes = []
    while len(decoders) > wanted:
        leaving = max(decoders, key=lambda one: crowd(one, decoders))
        decoders.remove(leaving)
        changes.append(Change(leaving.name, types.Role.PREFILL))
    while len(decoders) < wanted and readers:
        joining = min(readers, key=lambda one: crowd(one, decoders))
        readers.remove(joining)
        decoders.append(joining)
        changes.append(Change(joining.name, types.Role.DECODE))
    return changes


def crowd(engine: EngineView, decoders: list[EngineView]) -> tuple[int, str]:
    """Sorts engines by how many decoders share their data centre."""
    near = 0
    for other in decoders:
        if other.data_centre == engine.data_centre:
            near += 1
    return near, engine.name
