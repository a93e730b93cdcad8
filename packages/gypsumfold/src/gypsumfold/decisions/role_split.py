"""Splits the engines of a service between prefill and decode.

Load pattern: a mix that shifts between long prompts and long answers, on
engines that either prefill or decode. Right after a start nothing is cached and
prefill needs nearly all engines; minutes later most prompt prefixes are cached,
and the memory of the decode engines fills first. With a fixed split requests
queue on one side while the other idles.
"""

import math
from typing import NamedTuple

from gypsumfold.decisions import decode_reserve
from gypsumfold.decisions import role_changes

# Engines of a service per decode engine before there is traffic: nothing is
# cached then.
ENGINES_PER_DECODER = 6
# Tokens of KV cache transferred for each prefilled token: prompts are
# transferred complete, cached tokens included.
TRANSFERRED_PER_PREFILLED = 2.5
# Average transfer time relative to one within a data centre, if two in three
# transfers go to another data centre and take twice as long.
TRANSFER_TIME_FACTOR = 1.67
# Fraction of the decode engines that streams may fill before another one is
# added: a full memory evicts streams midway.
FULL_FRACTION = decode_reserve.FULL_FRACTION
# Fraction from which a decode engine is added although prompts wait: behind a
# full engine they wait as well, and its streams take several times as long.
OVERFULL_FRACTION = 0.9
# Fraction that adding engines aims at, and below which one engine fewer would
# still be enough.
TARGET_FRACTION = decode_reserve.TARGET_FRACTION
# Average seconds of prompts waiting at each prefill engine: below the first one
# an engine can be spared, above the second one more is needed.
SPARE_SECONDS = 0.35
OVERLOADED_SECONDS = 0.5
# Fraction of their time that engines would prefill incoming prompts, refused
# ones included, above which more prefill engines are needed. From about there
# prompts of 5 to 300 ms wait for several times their own prefill.
BUSY_FRACTION = 0.8
# Time constant of the load estimate: shorter than a shift of the mix, longer
# than the gap between two large prompts.
SMOOTHING_SECONDS = 0.8
# Seconds for which the load must require the same split. Shifts of a second are
# ignored, since a change makes an engine unavailable for three.
STABLE_SECONDS = decode_reserve.STABLE_SECONDS
# Seconds between two changes. A role change takes three, and the streams that
# waited meanwhile end some seconds later; a second engine must not change its
# role for them.
SETTLE_SECONDS = 8.0
# Seconds without traffic after which the initial split applies again.
IDLE_SECONDS = 5.0


class Load(NamedTuple):
    """The load of all nodes on a service's engines.

    Attributes:
        prompts: Seconds of prompts that wait for prefill, over all engines.
        streams: Number of engines that all running streams would fill.
        demand: Number of engines that incoming prompts would keep busy.
            Requests refused for lack of prefill engines never wait, so the
            queue shows least where the lack is worst.
        moving: Number of engine links that one constantly prefilling engine
            fills, since its KV cache is transferred to decode engines.
    """

    prompts: float
    streams: float
    demand: float = 0.0
    moving: float = 0.0


class RoleSplit:
    """Tracks the load of one service and decides which engines change roles.

    Attributes:
        target: Number of decode engines that the load needs; None at first.
        reserve: The spare decode engines beyond these.

    >>> split = Split()
    >>> split.plan(engines, Load(0.0, 0.0), now=0.0)
    [Change(...)]
    """

    def __init__(self):
        self.reserve = decode_reserve.Reserve()
        self.prompts = 0.0
        self.streams = 0.0
        self.demand = 0.0
        self.observed_at: float | None = None
        self.busy_at = -math.inf
        self.changed_at = -math.inf
        self.target: int | None = None
        self.desired = 0
        self.desired_since = -math.inf
        self.history = role_changes.RoleHistory()

    def plan(
        self, engines: list[role_changes.EngineView], load: Load, now: float
    ) -> list[role_changes.Change]:
        """Returns the engines to change, as few as possible.

        If engines that start or stop move the split off its target, it is
        corrected at once. The target itself follows the load slowly.
        """
        self.observe(load, now)
        if len(engines) < 2:
            return []
        current = role_changes.count_decoders(engines)
        if self.is_idle(now):
            self.target = initial_decoders(len(engines), load.moving)
        elif self.target is None:
            self.adopt_current(engines, now)
        elif self.is_tolerable(current, len(engines)):
            self.target = self.reserve.absorb(current, self.target)
        else:
            self.target += self.history.count_foreign_changes(engines)
        self.update_target(engines, now)
        self.target = max(1, min(self.target, len(engines) - 1))
        found = role_changes.plan_changes(
            engines,
            min(self.target + self.reserve.spares, len(engines) - 1),
            self.reserve.policy.is_on,
        )
        if not self.is_idle(now):
            found = role_changes.limit_changes(found, engines)
        self.history.record(engines, found)
        return found

    def is_idle(self, now: float) -> bool:
        """Whether there has been no traffic for a while, or none yet."""
        return now - self.busy_at > IDLE_SECONDS

    def adopt_current(
        self, engines: list[role_changes.EngineView], now: float
    ) -> None:
        """Starts from the split that another node has left.

        That node's orders show only after the change, which takes three
        seconds; until then no other change is made.
        """
        self.target = role_changes.count_decoders(engines)
        if any(engine.changing for engine in engines):
            self.changed_at = now

    def is_tolerable(self, current: int, engines: int) -> bool:
        """Whether a split that changed without an order may stay.

        Engines that crash come back, and new ones start as decode engines. A
        correction of each loss would be taken back a few seconds later, and
        each change makes an engine unavailable for seconds.
        """
        deviation = current - self.target - self.reserve.spares
        allowed = engines // role_changes.ENGINES_PER_DEVIATION
        if deviation < 0:
            # The other decode engines have room until lost spares are back.
            allowed = max(allowed, self.reserve.covered)
        if current < 1 or abs(deviation) > allowed:
            return False
        if deviation < 0:
            return self.streams <= FULL_FRACTION * current
        return self.has_spare_prefill(max(1, engines - current))

    def update_target(
        self, engines: list[role_changes.EngineView], now: float
    ) -> None:
        """Changes the target once the load has required it for long enough."""
        # Judged as if there were no spares: the load alone moves the target,
        # as often as it does without a reserve.
        desired = self.desired_decoders(len(engines))
        if desired != self.desired:
            self.desired = desired
            self.desired_since = now
        settled = now - self.changed_at >= SETTLE_SECONDS
        is_due = (
            desired != self.target
            and now - self.desired_since >= STABLE_SECONDS
            and settled
        )
        if is_due:
            self.target = desired
            self.changed_at = now
        if self.update_reserve(engines, now, settled, is_due):
            self.changed_at = now

    def update_reserve(
        self,
        engines: list[role_changes.EngineView],
        now: float,
        settled: bool,
        at_once: bool,
    ) -> bool:
        """Updates the spares; returns whether their number has changed."""
        prefill_engines = len(engines) - self.target
        with_all = prefill_engines - self.reserve.spares - self.reserve.missing
        prefill = decode_reserve.Prefill(
            self.is_prefill_overloaded(
                max(1, prefill_engines - self.reserve.spares)
            ),
            self.has_spare_prefill(max(1, with_all)),
            self.is_idle(now),
        )
        return self.reserve.update(
            engines,
            self.target,
            self.streams,
            prefill,
            now,
            settled or prefill.is_idle,
            at_once or prefill.is_idle,
        )

    def observe(self, load: Load, now: float) -> None:
        """Adds the load to the smoothed estimate."""
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
        """Returns the number of decode engines that the load requires."""
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
        """Whether so many prefill engines have spare capacity."""
        return (
            self.prompts / prefill_engines < SPARE_SECONDS
            and self.demand / prefill_engines < BUSY_FRACTION
        )

    def is_prefill_overloaded(self, prefill_engines: int) -> bool:
        """Whether so many prefill engines are too few."""
        return (
            self.prompts / prefill_engines > OVERLOADED_SECONDS
            or self.demand / prefill_engines > BUSY_FRACTION
        )

    def is_better(self, decoders: int, other: int, engines: int) -> bool:
        """Whether one split has less pressure than another one."""
        return self.pressure(decoders, engines) < self.pressure(other, engines)

    def pressure(self, decoders: int, engines: int) -> float:
        """Returns how far a split falls short of the load, for both roles.

        Judging either role alone would remove prefill engines at the peak of a
        burst, when streams and prompts both wait, and the few that are left
        would not catch up.
        """
        prompts = max(
            self.prompts / OVERLOADED_SECONDS, self.demand / BUSY_FRACTION
        )
        streams = self.streams / OVERFULL_FRACTION
        return prompts / max(1, engines - decoders) + streams / decoders


def stream_share(tokens: int, memory: int, slots: int) -> float:
    """Returns the share of an engine's memory or slots that a stream takes.

    An engine whose slots are full decodes at its highest rate; with more
    streams each only waits longer.

    Args:
        tokens: Tokens of the stream's prompt and answer.
        memory: Tokens that the engine's memory holds.
        slots: Streams that the engine runs at once.

    Returns:
        The larger of the two shares.
    """
    return max(tokens / max(1, memory), 1 / max(1, slots))


def initial_decoders(engines: int, moving: float = 0.0) -> int:
    """Returns the number of decode engines before there is traffic.

    Nothing is cached then and most engines prefill, but the links of the decode
    engines must carry what they transfer.

    Args:
        engines: The number of engines.
        moving: Number of links that one constantly prefilling engine fills.
    """
    found = max(1, round(engines / ENGINES_PER_DECODER))
    while (
        found < engines // 2
        and moving * (engines - found) > FULL_FRACTION * found
    ):
        found += 1
    return found


def transfer_load(token_bytes: int, link_rate: float, rate: float) -> float:
    """Returns how many links one constantly prefilling engine fills.

    Args:
        token_bytes: KV cache of one token in bytes.
        link_rate: Bytes a second of an engine's link; 0 if unknown.
        rate: Prefill rate of an engine in tokens a second.
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
