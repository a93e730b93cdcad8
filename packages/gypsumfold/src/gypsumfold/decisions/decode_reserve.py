"""Decides how many decode engines a service keeps beyond what its load needs.

Load pattern: answers are short of work for the engines, so that one or two
decode engines serve a whole site, and then these crash, become silent or are
reclaimed with their data centre. Without a reserve no prompt is placed until
another engine has changed its role, which takes the detection of the loss and
three seconds; all requests wait for it, and many miss their deadlines.
"""

import collections
import math
from typing import NamedTuple

from gypsumfold.decisions import role_changes
from gypsumfold.decisions import shortages as shortages_module
from gypsumfold.decisions import types

# Fraction of the remaining decode engines that the running streams may fill
# after the loss that is planned for. It is the fraction from which the split
# adds an engine, so that a planned loss needs no role change.
FULL_FRACTION = 0.6
# Fraction that adding spares aims at: a little more load then needs no more.
TARGET_FRACTION = 0.5
# One spare for each so many engines is kept even while prompts wait: it costs
# less than a tenth of the prefill capacity, and the loss of the only decode
# engine stops all requests for about four seconds.
ENGINES_PER_SPARE = 10
# Seconds for which the load must require fewer spares, as for any other change
# of the split.
STABLE_SECONDS = 1.2
# Seconds for which spares must be missing before engines change their roles
# for them: a crashed engine is back as a decode engine after about four.
MISSING_SECONDS = 5.0
# Seconds for which there must have been more spares than needed before these
# are given up with a change of the split: otherwise the spares would follow
# each swing of the streams, and add role changes to those of the load.
SURPLUS_SECONDS = 60.0
# Seconds for which more prefill engines than needed must have been idle before
# a service with few engines gets a spare: longer than a phase of 14 s in which
# the mix swings and returns.
QUIET_SECONDS = 20.0
# Maximum of the same. It doubles each time that a spare has to be given up, so
# that a load near the limit does not change roles again and again.
MAX_QUIET_SECONDS = 320.0


class Policy(NamedTuple):
    """What the decode engines of a service survive.

    Attributes:
        spare_decoders: The loss of any so many decode engines.
        survive_data_centre: Whether also the loss of all decode engines in any
            one data centre.
    """

    spare_decoders: int = 0
    survive_data_centre: bool = False

    @property
    def is_on(self) -> bool:
        """Whether any spares are wanted."""
        return self.spare_decoders > 0 or self.survive_data_centre


class Prefill(NamedTuple):
    """What a split leaves for prefill.

    Attributes:
        is_overloaded: Whether the present prefill engines are too few.
        has_room: Whether they would have spare capacity if all missing spares
            were taken from them.
        is_idle: Whether there has been no traffic for a while, or none yet.
    """

    is_overloaded: bool
    has_room: bool
    is_idle: bool = False


class Placement:
    """The number of decode engines in each data centre of a service."""

    def __init__(self, engines: list[role_changes.EngineView]):
        self.sizes: collections.Counter[str] = collections.Counter()
        self.decoders: collections.Counter[str] = collections.Counter()
        for engine in engines:
            self.sizes[engine.data_centre] += 1
            if engine.role != types.Role.PREFILL:
                self.decoders[engine.data_centre] += 1

    def copy(self) -> "Placement":
        """Returns a copy with decode engines of its own."""
        found = Placement([])
        found.sizes = self.sizes
        found.decoders = self.decoders.copy()
        return found

    def resize(self, total: int) -> None:
        """Adds decode engines where there are fewest, or removes them."""
        while self.decoders.total() > total:
            crowded = max(self.decoders, key=lambda one: self.decoders[one])
            self.decoders[crowded] -= 1
        while self.decoders.total() < min(total, self.sizes.total()):
            free = [
                one
                for one, size in self.sizes.items()
                if self.decoders[one] < size
            ]
            self.decoders[min(free, key=lambda one: self.decoders[one])] += 1

    def max_survivors(self, policy: Policy) -> int:
        """Returns how many would be left if all engines decoded."""
        lost = policy.spare_decoders
        if policy.survive_data_centre:
            lost = max(lost, *self.sizes.values(), 0)
        return self.sizes.total() - lost

    def worst_loss(self, policy: Policy) -> int:
        """Returns the most decode engines that a planned loss takes."""
        found = policy.spare_decoders
        if policy.survive_data_centre:
            found = max(found, *self.decoders.values(), 0)
        return found


class Reserve:
    """The spare decode engines of one service.

    Attributes:
        policy: What is to be survived.
        spares: Decode engines kept beyond those that the load needs.
        missing: Further ones that the policy needs and that are not kept,
            because the rule does not allow them or they are not due yet; at
            least one if no number would be enough.
        covered: Number of decode engines whose loss is planned for.

    >>> reserve = Reserve(Policy(spare_decoders=1))
    >>> reserve.update(engines, 1, 0.3, prefill, now, True, False)
    True
    """

    def __init__(self, policy: Policy | None = None):
        self.policy = policy or Policy()
        self.spares = 0
        self.missing = 0
        self.covered = 0
        # 1 while more spares are wanted than kept, -1 while fewer are, else 0;
        # since when, and the smallest number wanted in that time.
        self.direction = 0
        self.wanted = 0
        self.wanted_since = -math.inf
        self.shortages = shortages_module.RecentShortages()
        # When prefill last had no room for the missing spares; None before
        # there is traffic.
        self.pressed_at: float | None = None
        self.quiet_seconds = QUIET_SECONDS
        # When there were last no more spares than needed.
        self.surplus_since = -math.inf

    def state(self) -> tuple[int, bool]:
        """Returns the number of spares, and whether too few are kept."""
        return self.spares, self.missing > 0

    def absorb(self, current: int, target: int) -> int:
        """Takes over the number of decode engines that a loss or start left.

        Returns:
            How many of them the load is taken to need.
        """
        deviation = abs(current - target - self.spares)
        if deviation:
            self.spares = max(0, self.spares - deviation)
            self.direction = 0
        return current - self.spares

    def update(
        self,
        engines: list[role_changes.EngineView],
        needed: int,
        streams: float,
        prefill: Prefill,
        now: float,
        settled: bool,
        at_once: bool,
    ) -> bool:
        """Changes the number of spares if that is due.

        Args:
            engines: The engines of the service.
            needed: Number of decode engines that the load needs.
            streams: Number of engines that all running streams would fill.
            prefill: What the split leaves for prefill.
            now: The time.
            settled: Whether the last change of the split was long enough ago.
            at_once: Whether the split changes anyway.

        Returns:
            Whether the number of spares has changed.
        """
        if not self.policy.is_on:
            self.spares = self.missing = self.covered = 0
            return False
        self.observe_prefill(prefill, now)
        placement = Placement(engines)
        self.covered = placement.worst_loss(self.policy)
        short = self.shortage(placement, needed, streams / FULL_FRACTION)
        enough = self.shortage(placement, needed, streams / TARGET_FRACTION)
        if enough >= self.spares:
            self.surplus_since = now
        wanted = max(short, self.spares)
        if at_once and (
            prefill.is_idle or now - self.surplus_since >= SURPLUS_SECONDS
        ):
            wanted = enough
        wanted = min(wanted, self.limit(len(engines), needed, prefill, now))
        is_changed = self.change_spares(
            wanted, prefill.is_overloaded, now, settled, at_once
        )
        self.missing = max(0, short - self.spares)
        survivors = max(1, math.ceil(streams / FULL_FRACTION))
        if placement.max_survivors(self.policy) < survivors:
            self.missing = max(1, self.missing)
        return is_changed

    def change_spares(
        self,
        wanted: int,
        is_overloaded: bool,
        now: float,
        settled: bool,
        at_once: bool,
    ) -> bool:
        """Changes the number of spares once that is due.

        A load near a limit makes the wanted number flicker, for example from 1
        to 2 and back. The time restarts only with another direction, since the
        spares that are wanted throughout would otherwise never be added. Those
        that are wanted again and again are due after enough time in all.

        Args:
            wanted: Number of spares wanted now.
            is_overloaded: Whether prefill has too few engines.
            now: The time.
            settled: Whether the last change of the split was long enough ago.
            at_once: Whether the split changes anyway.

        Returns:
            Whether the number of spares has changed.
        """
        direction = (wanted > self.spares) - (wanted < self.spares)
        if direction != self.direction:
            self.direction = direction
            self.wanted = wanted
            self.wanted_since = now
        self.wanted = min(self.wanted, wanted)
        if at_once:
            # The spares are set to what is wanted now.
            self.shortages.clear()
        self.shortages.record(wanted - self.spares, now)
        if direction == 0:
            return False
        stable = MISSING_SECONDS if direction > 0 else STABLE_SECONDS
        is_due = settled and now - self.wanted_since >= stable
        confirmed = self.shortages.confirmed()
        if direction > 0 and settled and not is_due and confirmed:
            is_due = True
            self.wanted = min(wanted, self.spares + confirmed)
        if not is_due and not at_once:
            return False
        if direction < 0 and is_overloaded:
            self.quiet_seconds = min(MAX_QUIET_SECONDS, 2 * self.quiet_seconds)
        self.spares = wanted if at_once else self.wanted
        self.direction = 0
        self.shortages.clear()
        return True

    def observe_prefill(self, prefill: Prefill, now: float) -> None:
        """Records when prefill last needed the engines."""
        if prefill.is_idle:
            return
        if self.pressed_at is None or not prefill.has_room:
            self.pressed_at = now

    def limit(
        self, engines: int, needed: int, prefill: Prefill, now: float
    ) -> int:
        """Returns the number of spares that a service has enough engines for.

        A few are kept whatever the load. Beyond these, a spare is added only
        after a quiet time and given up once prefill is overloaded. No spare is
        taken from the second half of the engines, so that prefill survives the
        same loss.
        """
        half = max(0, engines // 2 - needed)
        always = engines // ENGINES_PER_SPARE
        if prefill.is_overloaded:
            return min(half, always)
        is_quiet = (
            self.pressed_at is not None
            and now - self.pressed_at >= self.quiet_seconds
        )
        if is_quiet and prefill.has_room:
            return half
        return min(half, max(always, self.spares))

    def shortage(
        self, placement: Placement, needed: int, survivors: float
    ) -> int:
        """Returns how many spares the policy needs.

        If the loss of a data centre can't be survived, only the loss of single
        engines counts.
        """
        least = max(1, math.ceil(survivors))
        for policy in (
            self.policy,
            self.policy._replace(survive_data_centre=False),
        ):
            found = count_surviving(policy, placement, needed, least)
            if found is not None:
                return found - needed
        return max(0, placement.sizes.total() - needed)


def count_surviving(
    policy: Policy, placement: Placement, least: int, survivors: int
) -> int | None:
    """Returns the smallest number of decode engines that survives a loss.

    Engines that decode now are counted where they are: if they have gathered
    in one data centre, one more elsewhere is added instead of two changes.

    Args:
        policy: What is to be survived.
        placement: The engines of the service.
        least: The smallest number to consider.
        survivors: The number that must be left.

    Returns:
        The number; None if there are too few engines or data centres.
    """
    if placement.max_survivors(policy) < survivors:
        return None
    trial = placement.copy()
    for total in range(least, placement.sizes.total() + 1):
        trial.resize(total)
        if total - trial.worst_loss(policy) >= survivors:
            return total
    return None
