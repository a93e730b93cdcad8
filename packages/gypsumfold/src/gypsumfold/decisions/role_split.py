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
# Tokens of KV cache that are moved for each one that is read: prompts are
# moved whole, of which engines found 2.5 cached for each one that they read
# (calm day of long dossiers and short tags).
TRANSFERRED_PER_PREFILLED = 2.5
# Times as long as within a data centre that moves take on average, where two
# in three go to another one and take twice as long.
TRANSFER_TIME_FACTOR = 1.67
# Share of the generating engines that streams may fill before another engine
# is to generate: a full memory evicts streams midway.
FULL_FRACTION = 0.6
# Share from which another engine is to generate though prompts wait: behind a
# full engine they wait as well, and with 0.9 to 1.2 of one taken the streams
# of a mean answer of 120 tokens lasted 2 to 3 s instead of 0.6 s.
OVERFULL_FRACTION = 0.9
# Share to which more engines are to bring it, and below which one fewer
# would still be enough.
TARGET_FRACTION = 0.5
# Seconds of prompts that wait at each reading engine, on average: below the
# first one an engine can be spared, above the second one is missing.
SPARE_SECONDS = 0.35
OVERLOADED_SECONDS = 0.5
# Share of their time for which engines read prompts as they come, refused ones
# included, above which readers are missing: prompts of 5 to 300 ms wait for
# several times their own reading from about there.
BUSY_FRACTION = 0.8
# Seconds in which a load moves the estimate by two thirds: shorter than a
# swing of the mix, longer than the gap between two large prompts.
SMOOTHING_SECONDS = 0.8
# Seconds for which a load must ask for the same split: swings of a second are
# not followed, since a change takes an engine away for three.
STABLE_SECONDS = 1.2
# Seconds between two changes: an engine's change takes three, and the streams
# that waited meanwhile are gone some seconds after that; with five a second
# engine was given away as well, for streams that had waited for the first.
SETTLE_SECONDS = 8.0
# Engines of a service for each one by which the split may be off its target
# while the load permits it: none of six, seven of 70.
ENGINES_PER_DEVIATION = 10
# Seconds without any traffic after which the split is that of a start.
IDLE_SECONDS = 5.0


class EngineView(NamedTuple):
    """An engine as the planner sees it.

    Attributes:
        name: Its instance.
        data_centre: Where it stands.
        role: What it does, or is about to do where it changes.
        waiting: Seconds of prompts that it has to read first.
        changing: Whether it changes its role just now, on anybody's order.
    """

    name: str
    data_centre: str
    role: types.Role
    waiting: float = 0.0
    changing: bool = False


class Load(NamedTuple):
    """What all nodes have at a service's engines.

    Attributes:
        prompts: Seconds of prompts that wait to be read, over all engines.
        streams: Engines that all streams that run would fill.
        demand: Engines that the prompts which come would keep busy. What is
            refused for want of readers never waits, so that a queue alone
            says least of a lack of readers where it is worst.
        moving: Links of engines that one engine fills which reads all the
            time: what it reads goes to those that generate.
    """

    prompts: float
    streams: float
    demand: float = 0.0
    moving: float = 0.0


class Change(NamedTuple):
    """An engine that is to have another role."""

    engine: str
    role: types.Role


class RoleSplit:
    """Follows the load of one service and says which engines change.

    >>> split = Split()
    >>> split.plan(engines, Load(0.0, 0.0), now=0.0)
    [Change(...)]
    """

    def __init__(self):
        self.prompts = 0.0
        self.streams = 0.0
        self.demand = 0.0
        self.observed_at: float | None = None
        self.busy_at = -math.inf
        self.changed_at = -math.inf
        self.target: int | None = None
        self.desired = 0
        self.desired_since = -math.inf
        self.roles: dict[str, types.Role] = {}
        self.ordered: set[str] = set()

    def plan(
        self, engines: list[EngineView], load: Load, now: float
    ) -> list[Change]:
        """Says which engines are to change, as few as possible.

        Engines that come and go move the split away from its target; that
        is made good at once. The target itself follows the load slowly.
        """
        self.observe(load, now)
        if len(engines) < 2:
            return []
        current = count_decoders(engines)
        if now - self.busy_at > IDLE_SECONDS:
            self.target = initial_decoders(len(engines), load.moving)
        elif self.target is None:
            self.adopt_current(engines, now)
        elif self.is_tolerable(current, len(engines)):
            self.target = current
        else:
            self.target += self.count_foreign_changes(engines)
        self.update_target(len(engines), now)
        self.target = max(1, min(self.target, len(engines) - 1))
        found = plan_changes(engines, self.target)
        if now - self.busy_at <= IDLE_SECONDS:
            found = limit_changes(found, engines)
        self.record_roles(engines, found)
        return found

    def adopt_current(self, engines: list[EngineView], now: float) -> None:
        """Takes the split that another node has left as it is.

        What that node has ordered shows after the change, which takes three
        seconds; until then no other change is wished for.
        """
        self.target = count_decoders(engines)
        if any(engine.changing for engine in engines):
            self.changed_at = now

    def count_foreign_changes(self, engines: list[EngineView]) -> int:
        """Counts engines that generate now by another node's order.

        Taken for a fault of the split, the change that a holder of authority
        had ordered before it froze was undone by its successor 0.1 s after
        it had been carried out, and ordered again 4 s later: the engine was
        away for 10 s of a burst (seen in the logs of nine nodes).
        """
        found = 0
        for engine in engines:
            before = self.roles.get(engine.name, engine.role)
            if before == engine.role or engine.name in self.ordered:
                continue
            found += -1 if engine.role == types.Role.PREFILL else 1
        return found

    def record_roles(
        self, engines: list[EngineView], ordered: list[Change]
    ) -> None:
        """Keeps the roles that are seen, and which engines got an order."""
        self.ordered.update(change.engine for change in ordered)
        self.roles = {engine.name: engine.role for engine in engines}
        self.ordered &= self.roles.keys()

    def is_tolerable(self, current: int, engines: int) -> bool:
        """Whether a split that engines brought about may stay.

        Engines that crash come back, and new ones generate at first: with
        18 of 70 engines lost for 2 s, six were ordered one way and the other
        within 3.5 s, and were away for 7 s.
        """
        deviation = current - self.target
        if current < 1 or abs(deviation) > engines // ENGINES_PER_DEVIATION:
            return False
        if deviation < 0:
            return self.streams <= FULL_FRACTION * current
        return self.has_spare_prefill(max(1, engines - current))

    def update_target(self, engines: int, now: float) -> None:
        """Moves the target once a load has asked for that long enough."""
        desired = self.desired_decoders(engines)
        if desired != self.desired:
            self.desired = desired
            self.desired_since = now
        if desired == self.target or now - self.desired_since < STABLE_SECONDS:
            return
        if now - self.changed_at < SETTLE_SECONDS:
            return
        self.target = desired
        self.changed_at = now

    def observe(self, load: Load, now: float) -> None:
        """Takes the load in, smoothed."""
        if load.prompts > 0 or load.streams > 0:
            self.busy_at = now
        passed = (
            now - self.observed_at if self.observed_at is not None else math.inf
        )
        self.observed_at = now
        weight = 1 - math.exp(-passed / SMOOTHING_SECONDS)
        self.prompts += weight * (load.prompts - self.prompts)
        self.streams += weight * (load.streams - self.streams)
        self.demand += weight * (load.demand - self.demand)

    def desired_decoders(self, engines: int) -> int:
        """How many engines the load wants to generate."""
        current = self.target
        step = max(1, engines // 10)
        enough = max(1, math.ceil(self.streams / TARGET_FRACTION))
        more = min(current + step, enough, engines - 1)
        if more > current and self.streams > FULL_FRACTION * current:
            overfull = self.streams > OVERFULL_FRACTION * current
            if self.has_spare_prefill(engines - more):
                return more
            if overfull and self.is_better(more, current, engines):
                return more
        if not self.is_prefill_overloaded(max(1, engines - current)):
            return current
        if enough < current:
            return enough
        fewer = max(1, current - step)
        return fewer if self.is_better(fewer, current, engines) else current

    def has_spare_prefill(self, prefill_engines: int) -> bool:
        """Whether so many readers have time to spare."""
        return (
            self.prompts / prefill_engines < SPARE_SECONDS
            and self.demand / prefill_engines < BUSY_FRACTION
        )

    def is_prefill_overloaded(self, prefill_engines: int) -> bool:
        """Whether so many readers are too few."""
        return (
            self.prompts / prefill_engines > OVERLOADED_SECONDS
            or self.demand / prefill_engines > BUSY_FRACTION
        )

    def is_better(self, decoders: int, other: int, engines: int) -> bool:
        """Whether one split leaves less waiting than another one."""
        return self.pressure(decoders, engines) < self.pressure(other, engines)

    def pressure(self, decoders: int, engines: int) -> float:
        """How far a split falls short of the load, on both sides together.

        Either side alone took readers away at the height of a burst, when
        streams and prompts both wait: two of five read on, at 0.35 s a prompt
        instead of 0.05 s, until the day's end (counted in the logs of nine
        nodes).
        """
        prompts = max(
            self.prompts / OVERLOADED_SECONDS, self.demand / BUSY_FRACTION
        )
        streams = self.streams / OVERFULL_FRACTION
        return prompts / max(1, engines - decoders) + streams / decoders


def stream_share(tokens: int, memory: int, slots: int) -> float:
    """The share of an engine that a stream takes: of its memory or slots.

    An engine whose slots are full makes tokens at its highest rate; with
    more streams each only waits longer.

    Args:
        tokens: Of its prompt and answer.
        memory: Tokens that the engine's memory holds.
        slots: Streams that it runs at once.
    """
    return max(tokens / max(1, memory), 1 / max(1, slots))


def count_decoders(engines: list[EngineView]) -> int:
    """Counts the engines that generate."""
    found = 0
    for engine in engines:
        if engine.role != types.Role.PREFILL:
            found += 1
    return found


def initial_decoders(engines: int, moving: float = 0.0) -> int:
    """How many of so many engines generate before there is traffic.

    Nothing is cached then and most engines read, but links must take what
    they read: with one of six to generate and 0.73 of its link taken, 14 in
    100 of the requests of the first 6 s came late or never, with two 5 in 100
    (a calm day, three seeds).

    Args:
        engines: How many there are.
        moving: Links that one engine fills which reads all the time.
    """
    found = max(1, round(engines / ENGINES_PER_DECODER))
    while (
        found < engines // 2
        and moving * (engines - found) > FULL_FRACTION * found
    ):
        found += 1
    return found


def transfer_load(token_bytes: int, link_rate: float, rate: float) -> float:
    """Links that one engine fills which reads prompts all the time.

    Args:
        token_bytes: KV cache of one token in bytes.
        link_rate: Bytes a second of an engine's link; 0 if it is not known.
        rate: Tokens a second that an engine reads.
    """
    if link_rate <= 0:
        return 0.0
    return (
        TRANSFERRED_PER_PREFILLED
        * TRANSFER_TIME_FACTOR
        * rate
        * token_bytes
        / link_rate
    )


def plan_changes(engines: list[EngineView], desired: int) -> list[Change]:
    """Picks the engines to change.

    Engines that generate are spread over the data centres, so that a KV
    cache seldom has to leave its own.
    """
    decoders = []
    prefill_engines = []
    for engine in engines:
        if engine.role == types.Role.PREFILL:
            prefill_engines.append(engine)
        else:
            decoders.append(engine)
    found = []
    while len(decoders) > desired:
        spare = removable(decoders)
        if not spare:
            break
        leaving = max(spare, key=lambda one: crowding(one, decoders))
        decoders.remove(leaving)
        found.append(Change(leaving.name, types.Role.PREFILL))
    while len(decoders) < desired and prefill_engines:
        joining = min(
            prefill_engines, key=lambda one: join_order(one, decoders)
        )
        prefill_engines.remove(joining)
        decoders.append(joining)
        found.append(Change(joining.name, types.Role.DECODE))
    return found


def removable(decoders: list[EngineView]) -> list[EngineView]:
    """The engines of which one may stop generating.

    The last one that surely generates stays: one that still changes may have
    crashed, or carry its order out seconds later. Given away for an engine
    that had been ordered 4.7 s before and was gone 0.6 s after, it left none
    for 10 s, and 314 to 317 in 1,000 requests of the day were refused (18
    nodes, four of five plays).
    """
    unchanging = [engine for engine in decoders if not engine.changing]
    if len(unchanging) > 1:
        return decoders
    return [engine for engine in decoders if engine.changing]


def limit_changes(
    found: list[Change], engines: list[EngineView]
) -> list[Change]:
    """Puts off changes that only free engines which generate, but for a few.

    Engines that crash come back generating. With all of them ordered to read
    at once three of five were away for 3 s, and the streams that came then
    had one engine (1,000 of the 1,112 requests of 2 s refused, seen in the
    logs of nine nodes). A lost one that generates is still replaced at once.
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


def join_order(
    engine: EngineView, decoders: list[EngineView]
) -> tuple[float, int, str]:
    """Sorts engines by which is to generate next.

    Where none generates the one with the least to read goes first, since it
    changes its role only after that.
    """
    waiting = 0.0 if decoders else round(engine.waiting, 1)
    return waiting, *crowding(engine, decoders)


def crowding(engine: EngineView, decoders: list[EngineView]) -> tuple[int, str]:
    """Sorts engines by how many decoders share their data centre."""
    near = 0
    for other in decoders:
        if other.data_centre == engine.data_centre:
            near += 1
    return near, engine.name
