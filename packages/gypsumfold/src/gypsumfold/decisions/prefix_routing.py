"""Routes prompts to prefill engines by cached prefix and expected wait.

Load pattern: hot prompt prefixes that together exceed one engine's KV cache.
If prompts went to any engine, every engine would prefill every prefix and
evict others. Instead each prefix has a preferred engine, chosen by rendezvous
hashing so that all nodes agree without coordination. If the preferred
engine's queue is longer than prefill elsewhere would take, another engine is
chosen. It copies the prefix from the preferred engine over the engines'
links, which takes milliseconds; prefilling it again takes tenths of a second.
"""

import statistics

from gypsumfold.decisions import chains
from gypsumfold.decisions import cluster_totals
from gypsumfold.decisions import prefill_demand
from gypsumfold.decisions import prefill_rates
from gypsumfold.decisions import prefix_usage
from gypsumfold.decisions import prompts
from gypsumfold.decisions import rendezvous
from gypsumfold.decisions import slow_engines as slow_engines_module

# Engines compared for a prefix, in rendezvous order: all of a small fleet, and
# enough of a large one that one of them is free (with 70 engines the chance
# that all eight are among the busiest tenth is 1e-8).
MAX_CONSIDERED_ENGINES = 8
# Another engine must beat the preferred one by the prefill time of the shared
# blocks times this: each engine that prefills a prefix itself evicts others
# from its cache. A prompt that shares little goes to the shortest queue.
PREFERRED_WEIGHT = 1.0
# Fraction of its load for which a late prompt delays others: it is queued
# behind them, but they wait for the chunk of it that is being prefilled.
LATE_LOAD_FRACTION = 0.2
# Seconds for which a prompt in prefill delays a more urgent one: engines
# prefill in chunks of 1,024 to 2,048 tokens at 38 to 64 tokens per ms. Short
# prompts that overtake long ones do not wait for all of them.
CHUNK_SECONDS = 0.032
# Below this copying takes longer than prefill: 400 tokens take 10 ms.
MIN_COPY_TOKENS = 400


class PrefixRouter:
    """Chooses prefill engines by preferred engine, wait and cached prefixes.

    >>> router = PrefixRouter()
    >>> router.choose(prompt, engines, engines, 0.0, now=0.0)
    Choice(...)
    """

    def __init__(self):
        self.caches = chains.PrefixCaches()
        self.prefill_estimators: dict[str, prefill_rates.PrefillEstimator] = {}
        # The rate over all engines.
        self.usual = prefill_rates.PrefillEstimator()
        self.waiting = cluster_totals.ClusterTotals()
        self.late = cluster_totals.ClusterTotals()
        self.demand = prefill_demand.PrefillDemand()
        self.slow_engines = slow_engines_module.SlowEngines()
        self.cache_capacity = 0
        self.listener: prompts.LoadListener | None = None
        self.usage: prefix_usage.PrefixUsage | None = None

    def prefill_estimator(self, engine: str) -> prefill_rates.PrefillEstimator:
        """Returns an engine's estimator, creating it if needed."""
        estimator = self.prefill_estimators.setdefault(
            engine, prefill_rates.PrefillEstimator()
        )
        if self.slow_engines.enabled:
            estimator.start_from(self.usual)
        return estimator

    def median_rate(self) -> float:
        """Median prefill rate of the known engines, in tokens per second."""
        rates = [
            estimator.rate for estimator in self.prefill_estimators.values()
        ]
        return statistics.median(rates) if rates else prefill_rates.INITIAL_RATE

    def expected_wait(
        self, engine: str, now: float, urgency: int = prompts.MAX_URGENCY
    ) -> float:
        """Seconds that a prompt is expected to wait at an engine.

        Less urgent prompts delay it only by the chunk being prefilled.
        """
        urgency = min(urgency, prompts.MAX_URGENCY)
        seen = self.prefill_estimator(engine).recent_wait(now, urgency)
        before = 0.0
        after = 0.0
        for other in range(prompts.MAX_URGENCY + 1):
            amount = self.waiting.total(prompts.urgency_key(engine, other), now)
            if other <= urgency:
                before += amount
            else:
                after += amount
        return max(seen, before + min(after, CHUNK_SECONDS))

    def queued_seconds(self, engine: str, now: float) -> float:
        """Seconds of waiting prompts of any urgency at an engine."""
        seconds = 0.0
        for urgency in range(prompts.MAX_URGENCY + 1):
            seconds += self.waiting.total(
                prompts.urgency_key(engine, urgency), now
            )
        return seconds

    def choose(
        self,
        prompt: prompts.Prompt,
        engines: list[prompts.Engine],
        holders: list[prompts.Engine],
        copy_rate: float,
        now: float,
    ) -> prompts.Choice | None:
        """Chooses the engine that would complete the prompt's prefill first.

        Args:
            prompt: The prompt.
            engines: Engines that can prefill it.
            holders: Engines whose cached blocks can be copied, including
                those that are leaving.
            copy_rate: Tokens per second over a link; 0 if blocks can't be
                copied.
            now: Current time.

        Returns:
            The choice, or None if there is no engine.
        """
        if not engines:
            return None
        parts = chains.parts(prompt.chain, prompt.model)
        shared = parts[:-1]
        shared_tokens = sum(part.tokens for part in shared)
        holder = self.best_holder(shared, holders)
        ranked = rendezvous.rank_engines(rendezvous.routing_key(parts), engines)
        self.slow_engines.compare([engine.name for engine in engines], now)
        choices = []
        costs = []
        for place, engine in enumerate(ranked[:MAX_CONSIDERED_ENGINES]):
            cached = self.caches.count_cached(engine.name, parts)
            choice = self.estimate(
                engine, cached, holder, prompt, copy_rate, now
            )
            cost = choice.total_seconds
            if place > 0:
                rate = self.prefill_estimator(ranked[0].name).rate
                cost += PREFERRED_WEIGHT * shared_tokens / rate
            choices.append(choice)
            costs.append(cost)
        best = costs.index(min(costs))
        if best and self.slow_engines.factor(ranked[0].name, now) > 1.0:
            best = self.slow_engines.pick(costs)
        return choices[best]

    def estimate(
        self,
        engine: prompts.Engine,
        cached: int,
        holder: prompts.Holder,
        prompt: prompts.Prompt,
        copy_rate: float,
        now: float,
    ) -> prompts.Choice:
        """Estimates how long a prompt takes at one engine.

        Args:
            engine: The engine.
            cached: Tokens of the prompt that it caches.
            holder: The engine that blocks may be copied from.
            prompt: The prompt.
            copy_rate: Tokens per second over a link; 0 for no copying.
            now: Current time.
        """
        peer = ""
        copying = 0.0
        gained = holder.tokens - cached
        can_copy = copy_rate > 0 and gained >= MIN_COPY_TOKENS
        if can_copy and holder.name != engine.name:
            peer = holder.address
            copying = prefill_rates.COPY_OVERHEAD_SECONDS + gained / copy_rate
            cached = holder.tokens
        tokens = max(0, prompt.tokens - cached)
        estimator = self.prefill_estimator(engine.name)
        prefill_seconds = estimator.prefill_seconds(tokens)
        wait = self.expected_wait(engine.name, now, prompt.urgency)
        expected = wait + copying + prefill_seconds
        factor = self.slow_engines.factor(engine.name, now)
        total = factor * (wait + prefill_seconds) + copying
        late_ahead = self.late_ahead(engine.name, prompt.urgency, now)
        load = estimator.busy_seconds(tokens)
        return prompts.Choice(
            engine.name,
            peer,
            tokens,
            prefill_seconds,
            total,
            load,
            late_ahead,
            urgency=min(prompt.urgency, prompts.MAX_URGENCY),
            expected=expected,
        )

    def late_ahead(self, engine: str, urgency: int, now: float) -> float:
        """Seconds of late prompts queued ahead of a late prompt."""
        seconds = 0.0
        for other in range(min(urgency, prompts.MAX_URGENCY) + 1):
            seconds += self.late.total(prompts.urgency_key(engine, other), now)
        return seconds

    def best_holder(
        self, shared: list[chains.Part], holders: list[prompts.Engine]
    ) -> prompts.Holder:
        """Finds the engine that caches most of a prompt's shared prefix."""
        best = prompts.Holder("", "", 0)
        for engine in holders:
            tokens = self.caches.count_cached(engine.name, shared)
            if tokens > best.tokens:
                best = prompts.Holder(engine.name, engine.address, tokens)
        return best

    def sent(
        self,
        choice: prompts.Choice,
        chain: chains.Chain,
        model: str,
        cache_capacity: int,
        urgency: int | None,
        now: float | None = None,
    ) -> prompts.Choice:
        """Records that a prompt was sent to an engine, which then caches it.

        Args:
            choice: The chosen engine.
            chain: The prompt's prefix chain.
            model: The requested model.
            cache_capacity: Tokens that the engine's KV cache holds.
            urgency: Urgency of the route if the prompt is late: others are
                served before it and hardly wait for it. None if it is on
                time.
            now: Current time; None if its duration is not measured.

        Returns:
            The choice with the load it counts for, to pass to `done` or
            `dropped`.
        """
        self.cache_capacity = cache_capacity
        if urgency is not None:
            choice = choice._replace(
                load=choice.load * LATE_LOAD_FRACTION,
                late_key=prompts.urgency_key(choice.engine, urgency),
                # It delays all prompts a little, even the most urgent.
                urgency=0,
                late_load=choice.load,
                expected=choice.expected + choice.late_ahead,
            )
            self.late.add(choice.late_key, choice.late_load)
        choice = choice._replace(sent_at=now)
        # How long a late prompt takes says little: others are served first.
        if now is not None and not choice.late_key:
            self.slow_engines.started(
                choice.engine, slow_engines_module.Open(now, choice.expected)
            )
        hashes = chains.prefix_hashes(chain, model)
        tokens = [block.tokens for block in chain]
        self.caches.add_hashes(choice.engine, hashes, tokens, cache_capacity)
        key = prompts.urgency_key(choice.engine, choice.urgency)
        self.waiting.add(key, choice.load)
        if self.usage is not None:
            self.usage.record(choice.engine, hashes, tokens)
        if self.listener is not None:
            self.listener.sent(choice.engine, hashes, tokens)
        return choice

    def done(self, choice: prompts.Choice, seconds: float, now: float) -> None:
        """Records a completed prefill and updates the engine's estimates."""
        self.remove(choice)
        if not choice.late_key:
            self.slow_engines.record(
                choice.engine, seconds, choice.expected, now
            )
            # What a slow spell adds is neither a queue nor the usual rate.
            factor = self.slow_engines.factor(choice.engine, now)
            observed = (
                choice.tokens,
                choice.prefill_seconds,
                seconds / factor,
                now,
                choice.urgency,
            )
            self.prefill_estimator(choice.engine).observe(*observed)
            self.usual.observe(*observed)
        self.notify_load_change()

    def dropped(self, choice: prompts.Choice, now: float | None = None) -> None:
        """Records that a prompt isn't prefilled where it was sent.

        Args:
            choice: The engine.
            now: Current time; None if the engine wasn't slow.
        """
        timed = choice.sent_at is not None and not choice.late_key
        if now is not None and timed:
            # It would have taken longer: without this, moving prompts away
            # from an engine would make it look normal.
            age = now - choice.sent_at
            if age > choice.expected:
                self.slow_engines.record(
                    choice.engine,
                    slow_engines_module.UNANSWERED_WEIGHT * age,
                    choice.expected,
                    now,
                )
        self.remove(choice)
        self.notify_load_change()

    def remove(self, choice: prompts.Choice) -> None:
        """Removes a prompt from the waiting load."""
        key = prompts.urgency_key(choice.engine, choice.urgency)
        self.waiting.remove(key, choice.load)
        if choice.late_key:
            self.late.remove(choice.late_key, choice.late_load)
        if choice.sent_at is not None:
            self.slow_engines.ended(
                choice.engine,
                slow_engines_module.Open(choice.sent_at, choice.expected),
            )

    def notify_load_change(self) -> None:
        """Notifies the listener that this node's load has changed."""
        if self.listener is not None:
            self.listener.done()

    def add_remote_prompt(
        self, engine: str, hashes: list[int], tokens: list[int]
    ) -> None:
        """Records that another node sent a prompt to an engine."""
        if self.usage is not None:
            self.usage.record(engine, hashes, tokens)
        if self.cache_capacity:
            self.caches.add_hashes(engine, hashes, tokens, self.cache_capacity)

    def forget(self, engine: str) -> None:
        """Drops the state of an engine that was removed."""
        self.caches.forget(engine)
        self.prefill_estimators.pop(engine, None)
        self.slow_engines.forget(engine)
        for urgency in range(prompts.MAX_URGENCY + 1):
            self.waiting.forget(prompts.urgency_key(engine, urgency))
            self.late.forget(prompts.urgency_key(engine, urgency))
