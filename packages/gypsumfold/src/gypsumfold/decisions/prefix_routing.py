"""Which engine reads a prompt, and where it copies what was read before.

Load pattern: hot prompt beginnings that together are larger than one
engine's memory. Sent anywhere, each beginning is read by every engine and
pushes others out; each has a home instead, chosen by rendezvous hashing so
that all nodes agree without talking. A home whose queue is longer than
reading elsewhere would take is passed over, and the other engine copies the
beginning from the home over the engines' links, which takes milliseconds
where reading it again takes tenths of a second.
"""

import math
import statistics
from typing import NamedTuple
from typing import Protocol

import xxhash

from gypsumfold.decisions import chains
from gypsumfold.decisions import cluster_totals
from gypsumfold.decisions import prefill_demand
from gypsumfold.decisions import prefill_rates

# Engines in a beginning's order that are weighed: all of a small fleet, and
# of a large one enough that one of them is free (with 70 engines the chance
# that all of eight are the busiest tenth is 1e-8).
MAX_CONSIDERED_ENGINES = 8
# Times the reading of a prompt's shared parts by which another engine must be
# quicker than the home: each engine that reads a beginning of its own pushes
# others out of its memory. A prompt that shares little goes to the shortest
# queue.
PREFERRED_WEIGHT = 1.0
# Share of its reading for which a late prompt holds up others: it goes behind
# them, but they wait for the piece of it that is being read.
LATE_LOAD_FRACTION = 0.2
# Urgencies that are told apart from 0 on; the least urgent count together.
MAX_URGENCY = 3
# Seconds for which a prompt that is being read holds up a more urgent one:
# engines read in pieces of 1,024 to 2,048 tokens, at 38 to 64 in a ms. Counted
# whole, long prompts made short ones that overtake them look late.
CHUNK_SECONDS = 0.032
# Tokens below which copying takes longer than reading: 400 are 10 ms.
MIN_COPY_TOKENS = 400
# Seconds that copying cached parts takes beside their bytes.
COPY_OVERHEAD_SECONDS = 0.008


class Engine(NamedTuple):
    """An engine that could read the prompt.

    Attributes:
        name: Its instance.
        address: IP:PORT.
    """

    name: str
    address: str


class Prompt(NamedTuple):
    """A prompt that is to be read.

    Attributes:
        chain: Its parts.
        model: The model asked for.
        tokens: Its length.
        urgency: Its route's; 0 is the most urgent.
    """

    chain: chains.Chain
    model: str
    tokens: int
    urgency: int = 0


class Holder(NamedTuple):
    """An engine that has a prompt's beginning, and how much of it."""

    name: str
    address: str
    tokens: int


class Choice(NamedTuple):
    """Where a prompt is read.

    Attributes:
        engine: The engine's instance.
        peer: Address of the engine to copy cached parts from; empty for
            none.
        tokens: Those that are left to be read.
        prefill_seconds: Seconds that reading them takes.
        total_seconds: Seconds until they are read, with the wait.
        load: Seconds for which it holds up prompts that come later.
        late_ahead: Seconds of late prompts before it, if it is late itself.
        late_key: Where it counts among late prompts; empty if it is on time.
        late_load: Seconds for which it holds up late prompts behind it.
        urgency: With which it counts among what waits.
    """

    engine: str
    peer: str
    tokens: int
    prefill_seconds: float
    total_seconds: float
    load: float
    late_ahead: float = 0.0
    late_key: str = ""
    late_load: float = 0.0
    urgency: int = 0


class LoadListener(Protocol):
    """Is told of each prompt, to tell other nodes."""

    def sent(self, engine: str, links: list[int], tokens: list[int]) -> None:
        """A prompt goes to an engine."""

    def done(self) -> None:
        """An engine is done with a prompt."""


class PrefixRouter:
    """Chooses by home, wait and what is believed to be cached.

    >>> homes = Homes()
    >>> homes.choose(prompt, engines, engines, 0.0, now=0.0)
    Choice(...)
    """

    def __init__(self):
        self.caches = chains.PrefixCaches()
        self.prefill_estimators: dict[str, prefill_rates.PrefillEstimator] = {}
        self.waiting = cluster_totals.ClusterTotals()
        self.late = cluster_totals.ClusterTotals()
        self.demand = prefill_demand.PrefillDemand()
        self.cache_capacity = 0
        self.listener: LoadListener | None = None

    def prefill_estimator(self, engine: str) -> prefill_rates.PrefillEstimator:
        """What is known of an engine's speed."""
        return self.prefill_estimators.setdefault(
            engine, prefill_rates.PrefillEstimator()
        )

    def median_rate(self) -> float:
        """Tokens a second that engines read, the middle one of those known."""
        rates = [
            estimator.rate for estimator in self.prefill_estimators.values()
        ]
        return statistics.median(rates) if rates else prefill_rates.INITIAL_RATE

    def expected_wait(
        self, engine: str, now: float, urgency: int = MAX_URGENCY
    ) -> float:
        """Seconds that a prompt is expected to wait at an engine.

        Those that are less urgent hold it up by the piece being read only.
        """
        urgency = min(urgency, MAX_URGENCY)
        seen = self.prefill_estimator(engine).recent_wait(now, urgency)
        before = 0.0
        after = 0.0
        for other in range(MAX_URGENCY + 1):
            amount = self.waiting.total(urgency_key(engine, other), now)
            if other <= urgency:
                before += amount
            else:
                after += amount
        return max(seen, before + min(after, CHUNK_SECONDS))

    def queued_seconds(self, engine: str, now: float) -> float:
        """Seconds of prompts of any urgency that wait at an engine."""
        found = 0.0
        for urgency in range(MAX_URGENCY + 1):
            found += self.waiting.total(urgency_key(engine, urgency), now)
        return found

    def choose(
        self,
        prompt: Prompt,
        engines: list[Engine],
        holders: list[Engine],
        copy_rate: float,
        now: float,
    ) -> Choice | None:
        """Picks the engine that has the prompt read first.

        Args:
            prompt: The prompt.
            engines: Those that could read it.
            holders: Those whose cached parts could be copied; also engines
                that leave.
            copy_rate: Tokens a second over a link; 0 where parts cannot be
                copied.
            now: The time.

        Returns:
            None where there is no engine.
        """
        chain, model = prompt.chain, prompt.model
        key = chains.shared_prefix_key(chain, model) or chains.prompt_key(
            chain, model
        )
        shared_tokens = sum(part.tokens for part in chain[:-1])
        holder = self.best_holder(prompt, holders)
        ranked = rank_engines(key, engines)
        best = None
        best_cost = math.inf
        for place, engine in enumerate(ranked[:MAX_CONSIDERED_ENGINES]):
            choice = self.estimate(engine, holder, prompt, copy_rate, now)
            cost = choice.total_seconds
            if place > 0:
                rate = self.prefill_estimator(ranked[0].name).rate
                cost += PREFERRED_WEIGHT * shared_tokens / rate
            if cost < best_cost:
                best, best_cost = choice, cost
        return best

    def estimate(
        self,
        engine: Engine,
        holder: Holder,
        prompt: Prompt,
        copy_rate: float,
        now: float,
    ) -> Choice:
        """Works out how long a prompt takes at one engine."""
        cached = self.caches.cached_tokens(
            engine.name, prompt.chain, prompt.model
        )
        peer = ""
        copying = 0.0
        gained = holder.tokens - cached
        if (
            copy_rate > 0
            and gained >= MIN_COPY_TOKENS
            and holder.name != engine.name
        ):
            peer = holder.address
            copying = COPY_OVERHEAD_SECONDS + gained / copy_rate
            cached = holder.tokens
        tokens = max(0, prompt.tokens - cached)
        estimator = self.prefill_estimator(engine.name)
        prefill_seconds = estimator.prefill_seconds(tokens)
        delay = self.expected_wait(engine.name, now, prompt.urgency)
        total = delay + copying + prefill_seconds
        late_ahead = self.late_ahead(engine.name, prompt.urgency, now)
        load = estimator.busy_seconds(tokens)
        return Choice(
            engine.name,
            peer,
            tokens,
            prefill_seconds,
            total,
            load,
            late_ahead,
            urgency=min(prompt.urgency, MAX_URGENCY),
        )

    def late_ahead(self, engine: str, urgency: int, now: float) -> float:
        """Seconds of late prompts that go before a late one."""
        found = 0.0
        for other in range(min(urgency, MAX_URGENCY) + 1):
            found += self.late.total(urgency_key(engine, other), now)
        return found

    def best_holder(self, prompt: Prompt, holders: list[Engine]) -> Holder:
        """The engine that is believed to have most of a prompt's beginning."""
        best = Holder("", "", 0)
        shared = prompt.chain[:-1]
        for engine in holders:
            tokens = self.caches.cached_tokens(
                engine.name, shared, prompt.model
            )
            if tokens > best.tokens:
                best = Holder(engine.name, engine.address, tokens)
        return best

    def sent(
        self,
        choice: Choice,
        chain: chains.Chain,
        model: str,
        cache_capacity: int,
        urgency: int | None,
    ) -> Choice:
        """Notes that a prompt goes to an engine, which will then have it.

        Args:
            choice: Where it goes.
            chain: Its parts.
            model: The model asked for.
            cache_capacity: Tokens that the engine's memory holds.
            urgency: The route's, if the prompt is late: others go before it
                and hardly wait for it. None if it is on time.

        Returns:
            The choice with the load that it counts for, for `done` or
            `dropped`.
        """
        self.cache_capacity = cache_capacity
        if urgency is not None:
            choice = choice._replace(
                load=choice.load * LATE_LOAD_FRACTION,
                late_key=urgency_key(choice.engine, urgency),
                # It holds up all a little, the most urgent too.
                urgency=0,
                late_load=choice.load,
            )
            self.late.add(choice.late_key, choice.late_load)
        found = chains.prefix_hashes(chain, model)
        tokens = [part.tokens for part in chain]
        self.caches.add_hashes(choice.engine, found, tokens, cache_capacity)
        key = urgency_key(choice.engine, choice.urgency)
        self.waiting.add(key, choice.load)
        if self.listener is not None:
            self.listener.sent(choice.engine, found, tokens)
        return choice

    def done(self, choice: Choice, seconds: float, now: float) -> None:
        """Learns from a prompt that was read."""
        self.remove(choice)
        if not choice.late_key:
            estimator = self.prefill_estimator(choice.engine)
            estimator.observe(
                choice.tokens,
                choice.prefill_seconds,
                seconds,
                now,
                choice.urgency,
            )
        self.notify_load_change()

    def dropped(self, choice: Choice) -> None:
        """Notes that a prompt is not read where it was sent."""
        self.remove(choice)
        self.notify_load_change()

    def remove(self, choice: Choice) -> None:
        """Takes a prompt out of what waits."""
        key = urgency_key(choice.engine, choice.urgency)
        self.waiting.remove(key, choice.load)
        if choice.late_key:
            self.late.remove(choice.late_key, choice.late_load)

    def notify_load_change(self) -> None:
        """Lets the other nodes know that loads have changed."""
        if self.listener is not None:
            self.listener.done()

    def add_remote_prompt(
        self, engine: str, found: list[int], tokens: list[int]
    ) -> None:
        """Notes that another node sent a prompt to an engine."""
        if self.cache_capacity:
            self.caches.add_hashes(engine, found, tokens, self.cache_capacity)

    def forget(self, engine: str) -> None:
        """Drops an engine that is gone."""
        self.caches.forget(engine)
        self.prefill_estimators.pop(engine, None)
        for urgency in range(MAX_URGENCY + 1):
            self.waiting.forget(urgency_key(engine, urgency))
            self.late.forget(urgency_key(engine, urgency))


def urgency_key(engine: str, urgency: int) -> str:
    """Names an engine's prompts of one urgency."""
    return f"{engine}/{min(urgency, MAX_URGENCY)}"


def rank_engines(key: int, engines: list[Engine]) -> list[Engine]:
    """Ranks engines for a beginning; the first is its home."""
    return sorted(engines, key=lambda one: -rendezvous_weight(key, one.name))


def rendezvous_weight(key: int, name: str) -> int:
    """The weight of an engine for a beginning in rendezvous hashing."""
    return xxhash.xxh3_64_intdigest(f"{key}\n{name}".encode())
