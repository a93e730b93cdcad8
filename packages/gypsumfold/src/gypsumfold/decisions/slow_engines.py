"""Detects engines that prefill slowly at the moment, over all nodes.

Load pattern: at any time 15 of 100 engines take 2.5 times as long, in spells
of 0.6 s, and some take 4 to 5 times as long for 6 s. With dozens of nodes,
each one sends an engine a prompt every few seconds, so a node that judges by
its own prompts learns of a spell after it has ended and sends prompts to the
slow engine throughout, while others are idle.

Each node compares the seconds that its prefills took with the seconds that it
expected, waits included that the load totals explain. It divides this by the
median over engines, so that a node that is slow itself finds no engine slow,
and reports the engines that differ.
"""

import math
import random
import statistics
from typing import NamedTuple

from gypsumfold.decisions import cluster_totals

# Time constant of the recent seconds: a spell lasts 0.6 s and has to be
# forgotten within about 0.3 s once prompts take their normal time.
MEMORY_SECONDS = 0.15
# Seconds that are assumed to have been normal: about half of a usual prompt, so
# that a few tens of milliseconds of jitter don't count as a slow engine.
PRIOR_SECONDS = 0.08
# Ratio of taken to expected seconds from which an engine is reported and
# counts as slow. Expected times are off by up to a third without any fault: a
# prompt that another node sent less than 0.25 s ago isn't in the totals yet. A
# larger ratio needs more prompts until a spell is known.
SLOW_RATIO = 1.4
# Ratio in the reports of others from which a node also reports normal answers,
# to correct a report that is outdated or wrong. It is lower, so that the
# correction doesn't end before the engine counts as normal.
DISPUTED_RATIO = 1.15
# Largest factor: an engine that holds prompts for longer is found by the
# liveness checks, and a larger one would refuse prompts for a short freeze.
MAX_FACTOR = 6.0
# Engines with recent prompts from which a node's own median is taken; with
# fewer, slow engines may be the majority, and the usual ratio is assumed.
MIN_COMPARED = 4
# Relative change of a node's usual ratio per prompt. Steps of equal size up and
# down lead to the median, which a few slow engines don't move.
USUAL_STEP = 0.03
# Seconds for which a baseline is used: each choice and check needs it, and it
# is taken over all engines. It is short against `MEMORY_SECONDS`.
BASELINE_SECONDS = 0.02
# Amounts below this say nothing and aren't reported.
MIN_SECONDS = 0.005
# Another engine takes a slow one's prompts if it completes them within this
# fraction, but no less than this many seconds, of the best one's time.
NEAR_FRACTION = 0.1
NEAR_SECONDS = 0.015
# Multiple of a dropped prompt's age that counts as the time it would have
# taken: the least that is known is its age.
UNANSWERED_WEIGHT = 2.0


class Open(NamedTuple):
    """A prompt at an engine: when it was sent and seconds expected."""

    sent_at: float
    expected: float


class Seconds(NamedTuple):
    """Recent seconds that prefills took and were expected to take."""

    taken: float = 0.0
    expected: float = 0.0

    def ratio(self) -> float:
        """Taken relative to expected seconds; 1 without any."""
        return (self.taken + PRIOR_SECONDS) / (self.expected + PRIOR_SECONDS)


class FadingSeconds:
    """Seconds of completed prefills that fade."""

    def __init__(self):
        self.seconds = Seconds()
        self.updated = 0.0

    def add(self, taken: float, expected: float, now: float) -> None:
        """Adds a completed prefill."""
        before = self.read(now)
        self.seconds = Seconds(before.taken + taken, before.expected + expected)
        self.updated = now

    def read(self, now: float) -> Seconds:
        """Returns what is left."""
        left = math.exp(-max(0.0, now - self.updated) / MEMORY_SECONDS)
        return Seconds(self.seconds.taken * left, self.seconds.expected * left)


class SlowEngines:
    """Recent speed of each engine, over all nodes.

    Attributes:
        enabled: Whether it is used; otherwise all engines count as normal and
            nothing is reported.
        taken: Seconds that prefills took, as other nodes report.
        expected: Seconds that they should have taken.
        usual: This node's usual ratio of taken to expected seconds.
        shared: Median over the engines of all nodes' ratios, above 1 if most
            are slow.

    >>> slow_engines = SlowEngines(random.Random(1))
    >>> slow_engines.enabled = True
    >>> slow_engines.record("engine-1", taken=0.5, expected=0.1, now=0.0)
    >>> round(slow_engines.factor("engine-1", now=0.0), 1)
    3.7
    """

    def __init__(self, rng: random.Random | None = None):
        self.enabled = False
        self.rng = rng or random.Random()
        self.completed: dict[str, FadingSeconds] = {}
        self.open: dict[str, list[Open]] = {}
        self.taken = cluster_totals.ClusterTotals()
        self.expected = cluster_totals.ClusterTotals()
        self.usual = 1.0
        self.shared = 1.0
        # When the last baseline was computed, and its value.
        self.baseline_at = -math.inf
        self.last_baseline = 1.0

    def started(self, engine: str, prompt: Open) -> None:
        """Records that a prompt was sent to an engine."""
        if self.enabled:
            self.open.setdefault(engine, []).append(prompt)

    def ended(self, engine: str, prompt: Open) -> None:
        """Records that a prompt is no longer at an engine."""
        prompts = self.open.get(engine, [])
        if prompt in prompts:
            prompts.remove(prompt)
        if not prompts:
            self.open.pop(engine, None)

    def record(
        self, engine: str, taken: float, expected: float, now: float
    ) -> None:
        """Records a completed prefill.

        Args:
            engine: The engine.
            taken: Seconds from sending the prompt to its end.
            expected: Seconds expected at normal speed, with the known queue.
            now: The time.
        """
        if not self.enabled:
            return
        seconds = self.completed.setdefault(engine, FadingSeconds())
        seconds.add(taken, expected, now)
        if Seconds(taken, expected).ratio() > self.usual:
            self.usual *= 1 + USUAL_STEP
        else:
            self.usual /= 1 + USUAL_STEP

    def own(self, engine: str, now: float) -> Seconds:
        """Recent seconds of this node's prompts at an engine.

        A prompt without an answer counts once it is overdue.
        """
        taken = 0.0
        expected = 0.0
        if engine in self.completed:
            taken, expected = self.completed[engine].read(now)
        for prompt in self.open.get(engine, ()):
            age = now - prompt.sent_at
            if age > prompt.expected * self.usual:
                taken += age
                expected += prompt.expected
        return Seconds(taken, expected)

    def recent_ratios(self, now: float) -> list[float]:
        """This node's own ratio at each engine with recent prompts."""
        ratios = []
        for engine in self.completed.keys() | self.open.keys():
            seconds = self.own(engine, now)
            if seconds.expected >= MIN_SECONDS:
                ratios.append(seconds.ratio())
        return ratios

    def baseline(self, now: float) -> float:
        """What this node's seconds are divided by before they are compared.

        It is computed at most once per `BASELINE_SECONDS`.
        """
        if now - self.baseline_at >= BASELINE_SECONDS:
            ratios = self.recent_ratios(now)
            self.last_baseline = self.usual
            if len(ratios) >= MIN_COMPARED:
                self.last_baseline = statistics.median(ratios)
            self.baseline_at = now
        return self.last_baseline

    def compared(self, now: float) -> dict[str, Seconds]:
        """This node's seconds by engine, relative to its median engine."""
        baseline = self.baseline(now)
        found = {}
        for engine in sorted(self.completed.keys() | self.open.keys()):
            seconds = self.own(engine, now)
            if seconds.expected < MIN_SECONDS:
                if engine not in self.open:
                    del self.completed[engine]
                continue
            taken = seconds.taken / baseline
            found[engine] = Seconds(taken, seconds.expected)
        return found

    def own_reported(self, now: float) -> dict[str, Seconds]:
        """Returns what other nodes are told: only of engines that differ."""
        if not self.enabled:
            return {}
        found = {}
        for engine, seconds in self.compared(now).items():
            others = self.reported(engine, now).ratio()
            if seconds.ratio() >= SLOW_RATIO or others >= DISPUTED_RATIO:
                found[engine] = seconds
        return found

    def own_taken_now(self, now: float) -> dict[str, float]:
        """Returns the taken seconds that other nodes are told of."""
        reported = self.own_reported(now)
        return {engine: one.taken for engine, one in reported.items()}

    def own_expected_now(self, now: float) -> dict[str, float]:
        """Returns the expected seconds that other nodes are told of."""
        reported = self.own_reported(now)
        return {engine: one.expected for engine, one in reported.items()}

    def reported(self, engine: str, now: float) -> Seconds:
        """What other nodes report of an engine."""
        return Seconds(
            self.taken.total(engine, now), self.expected.total(engine, now)
        )

    def ratio(self, engine: str, baseline: float, now: float) -> float:
        """Taken relative to expected seconds over all nodes."""
        own = self.own(engine, now)
        others = self.reported(engine, now)
        return Seconds(
            own.taken / baseline + others.taken,
            own.expected + others.expected,
        ).ratio()

    def compare(self, engines: list[str], now: float) -> None:
        """Updates the median over engines, which `factor` divides by.

        Args:
            engines: All engines that prompts may go to.
            now: The time.
        """
        self.shared = 1.0
        if not self.enabled or not engines:
            return
        known = self.completed.keys() | self.open.keys()
        known |= self.taken.remote(now).keys()
        # Engines without any report count as normal, and so does the median
        # if they are the majority.
        if 2 * len(known) <= len(engines):
            return
        baseline = self.baseline(now)
        ratios = [self.ratio(engine, baseline, now) for engine in engines]
        self.shared = max(1.0, statistics.median(ratios))

    def factor(self, engine: str, now: float) -> float:
        """Returns how many times as long as usual an engine takes.

        Returns:
            1 for an engine that isn't slow; at most `MAX_FACTOR`.
        """
        if not self.enabled:
            return 1.0
        ratio = self.ratio(engine, self.baseline(now), now) / self.shared
        if ratio < SLOW_RATIO:
            return 1.0
        return min(ratio, MAX_FACTOR)

    def slow(self, now: float) -> set[str]:
        """Returns the engines that are slow at the moment."""
        known = self.completed.keys() | self.open.keys()
        known |= self.taken.remote(now).keys()
        return {engine for engine in known if self.factor(engine, now) > 1}

    def pick(self, costs: list[float]) -> int:
        """Picks one of the cheapest at random; returns its position.

        All nodes learn of a slow engine at the same time, and all prefer the
        same other one.
        """
        best = min(costs)
        limit = best + max(NEAR_SECONDS, NEAR_FRACTION * best)
        near = [place for place, cost in enumerate(costs) if cost <= limit]
        return self.rng.choice(near)

    def forget(self, engine: str) -> None:
        """Drops an engine that was removed."""
        self.completed.pop(engine, None)
        self.open.pop(engine, None)
        self.taken.forget(engine)
        self.expected.forget(engine)
