"""Picks the engines that change their roles.

Load pattern: engines crash, are replaced and come back while requests use
them. If any engines were picked, decode engines would gather in one data
centre or in one software version, and the loss of that would interrupt all
streams at once.
"""

import collections
from typing import NamedTuple

from gypsumfold.decisions import types

# The split may be off its target by one engine for each so many engines of a
# service while the load permits it: none of six, seven of 70.
ENGINES_PER_DEVIATION = 10


class EngineView(NamedTuple):
    """An engine as the planner sees it.

    Attributes:
        name: Its instance.
        data_centre: Its data centre.
        role: Its role, or its next role while it changes.
        waiting: Seconds of prompts that it has to prefill first.
        changing: Whether it is changing its role, on any node's order.
        version: Version of its software; a stream goes on at its own only.
        backing_off: Whether it takes no orders for a while, but will serve on.
    """

    name: str
    data_centre: str
    role: types.Role
    waiting: float = 0.0
    changing: bool = False
    version: str | None = ""
    backing_off: bool = False


class Change(NamedTuple):
    """An engine and its new role."""

    engine: str
    role: types.Role


class Spread:
    """How many engines of a set each data centre and version has.

    Counted once and updated with each pick: a scan of all engines for each
    candidate would take seconds with 2,900 engines.
    """

    def __init__(self, engines: list[EngineView]):
        self.count = 0
        self.data_centres: collections.Counter[str] = collections.Counter()
        self.versions: collections.Counter[str | None] = collections.Counter()
        for engine in engines:
            self.add(engine)

    def add(self, engine: EngineView, number: int = 1) -> None:
        """Adds an engine, or with -1 removes it."""
        self.count += number
        self.data_centres[engine.data_centre] += number
        self.versions[engine.version] += number

    def is_sole(self, engine: EngineView) -> bool:
        """Whether an engine is the only one of its data centre or version."""
        return (
            self.data_centres[engine.data_centre] == 1
            or self.versions[engine.version] == 1
        )


class RoleHistory:
    """The roles that engines had at the last look, and who was ordered."""

    def __init__(self):
        self.roles: dict[str, types.Role] = {}
        self.ordered: set[str] = set()

    def count_foreign_changes(self, engines: list[EngineView]) -> int:
        """Returns the net number of decode engines added by other nodes.

        A change that a holder of authority ordered before it froze is carried
        out under its successor, which must not take it for an error of the
        split: undoing it and ordering it again makes the engine unavailable for
        several role changes.
        """
        found = 0
        for engine in engines:
            before = self.roles.get(engine.name, engine.role)
            if before == engine.role or engine.name in self.ordered:
                continue
            found += -1 if engine.role == types.Role.PREFILL else 1
        return found

    def record(
        self,
        engines: list[EngineView],
        ordered: list[Change],
    ) -> None:
        """Records the current roles and which engines got an order."""
        self.ordered.update(change.engine for change in ordered)
        self.roles = {engine.name: engine.role for engine in engines}
        self.ordered &= self.roles.keys()


def count_decoders(engines: list[EngineView]) -> int:
    """Counts the engines that decode."""
    found = 0
    for engine in engines:
        if engine.role != types.Role.PREFILL:
            found += 1
    return found


def plan_changes(
    engines: list[EngineView], desired: int, spread: bool = False
) -> list[Change]:
    """Picks the engines to change.

    Each version that decodes should have two decode engines, so that streams
    go on if one of them is lost. Decode engines are also spread over the data
    centres, so that a KV cache rarely has to leave its own.

    Args:
        engines: The engines of a service.
        desired: The number of decode engines.
        spread: Whether the last prefill engine of a data centre or version
            changes its role only if all others are such, too.
    """
    decoders = []
    prefill_engines = []
    for engine in engines:
        if engine.role != types.Role.PREFILL:
            decoders.append(engine)
        elif not engine.backing_off:
            prefill_engines.append(engine)
    decoding = Spread(decoders)
    prefilling = Spread(prefill_engines)
    found = []
    while len(decoders) > desired:
        candidates = removable(decoders)
        if not candidates:
            break
        leaving = max(candidates, key=lambda one: leave_order(one, decoding))
        decoders.remove(leaving)
        decoding.add(leaving, -1)
        found.append(Change(leaving.name, types.Role.PREFILL))
    while len(decoders) < desired and prefill_engines:
        joining = min(
            prefill_engines,
            key=lambda one: (
                spread and bool(decoders) and prefilling.is_sole(one),
                *join_order(one, decoding),
            ),
        )
        prefill_engines.remove(joining)
        prefilling.add(joining, -1)
        decoders.append(joining)
        decoding.add(joining)
        found.append(Change(joining.name, types.Role.DECODE))
    return found


def removable(decoders: list[EngineView]) -> list[EngineView]:
    """Returns the engines of which one may stop decoding.

    The last decode engine that serves stays: one that is changing may have
    crashed, or may carry out its order seconds later, and until then there
    would be none. Engines that back off take no orders.
    """
    able = [engine for engine in decoders if not engine.backing_off]
    changing = [engine for engine in able if engine.changing]
    if len(able) - len(changing) > 1:
        return able
    return changing


def limit_changes(
    found: list[Change], engines: list[EngineView]
) -> list[Change]:
    """Postpones all but a few changes from decode to prefill.

    Engines that crash come back as decode engines. If all of them were ordered
    to prefill at once, most engines of a small fleet would be unavailable for a
    role change, and streams refused. A lost decode engine is still replaced at
    once.
    """
    limit = max(1, len(engines) // ENGINES_PER_DEVIATION)
    for engine in engines:
        if engine.changing:
            limit -= 1
    kept = []
    for change in found:
        if change.role == types.Role.PREFILL:
            limit -= 1
            if limit < 0:
                continue
        kept.append(change)
    return kept


def leave_order(engine: EngineView, decoding: Spread) -> tuple[bool, int, str]:
    """Returns the sort key for picking the engine that stops decoding.

    One of two engines of a version is picked last.
    """
    is_pair = decoding.versions[engine.version] == 2
    return not is_pair, *crowding(engine, decoding)


def join_order(
    engine: EngineView, decoding: Spread
) -> tuple[float, int, int, str]:
    """Returns the sort key for picking the next decode engine.

    If there is none, the engine with the least to prefill comes first, since
    it changes its role only after that.
    """
    waiting = 0.0 if decoding.count else round(engine.waiting, 1)
    # A second engine of a version comes first, the only one of it last.
    missing = {1: 0, 0: 2}.get(decoding.versions[engine.version], 1)
    return waiting, missing, *crowding(engine, decoding)


def crowding(engine: EngineView, decoding: Spread) -> tuple[int, str]:
    """Returns a sort key: decoders in the data centre, then the name."""
    return decoding.data_centres[engine.data_centre], engine.name
