"""Plays prompts with shared beginnings to nodes and engines, without a clock.

Engines read one prompt after the other, the most urgent first, and skip what
their memory holds. Figures are those of the users' engines on the sheet:
38,000 tokens a second, a memory of 440,000 tokens, links that copy 2.5
million tokens a second.
"""

import heapq
import itertools
import random
from typing import NamedTuple

from gypsumfold.decisions import chains
from gypsumfold.decisions import lateness
from gypsumfold.decisions import prefix_routing as prefix_routing_module
from gypsumfold.decisions import prompts as prompts_module

RATE = 38_000.0
OVERHEAD = 0.03
MEMORY = 440_000
COPY_RATE = 2_500_000.0
# The urgency that counts all that waits at an engine as before a prompt.
LEAST_URGENT = 3
# Seconds until a datagram is in force at the other nodes.
TOLD_AFTER = 0.03


class Ask(NamedTuple):
    """One request of the load.

    Attributes:
        at: When it comes.
        chain: Its prompt.
        urgency: Of its route.
        objective: Seconds within which it is to be read.
        patience: Seconds after which its caller leaves.
    """

    at: float
    chain: chains.Chain
    urgency: int
    objective: float
    patience: float


class Policy(NamedTuple):
    """Which decisions the nodes take.

    Attributes:
        homes: Beginnings have homes; else the shortest queue is taken.
        told: Nodes tell each other of their prompts.
        ranked: Late requests go behind, hopeless ones are refused.
        counted: Late requests know of the late ones before them.
        latency: A prompt counts for as long as its answer takes, not for as
            long as it keeps its engine busy.
        kept: Late prompts that hold nobody up keep their place.
        layered: A prompt waits for those that go before it, not for all.
    """

    homes: bool = True
    told: bool = True
    ranked: bool = True
    counted: bool = True
    latency: bool = False
    kept: bool = True
    layered: bool = True


class Engine:
    """An engine that reads prompts."""

    def __init__(self):
        self.caches = chains.PrefixCaches()
        self.queue: list[tuple[int, int, Job]] = []
        self.free_at = 0.0


class Job(NamedTuple):
    """A prompt at an engine."""

    ask: Ask
    node: int
    choice: prompts_module.Choice
    sent: float


class Told:
    """Collects what one node tells the others."""

    def __init__(self, play: "Play", node: int):
        self.play = play
        self.node = node

    def sent(
        self, engine: str, prefix_hashes: list[int], tokens: list[int]
    ) -> None:
        """A prompt goes to an engine."""
        self.play.tell(self.node, (engine, prefix_hashes, tokens))

    def done(self) -> None:
        """An engine is done with a prompt."""
        self.play.tell(self.node, None)


class Play:
    """Plays a load and keeps when each prompt was read.

    >>> Play(Policy(), nodes=6, engines=5, seed=1).run(asks)
    0.93
    """

    def __init__(
        self,
        policy: Policy,
        nodes: int,
        engines: int,
        seed: int,
        step: float = OVERHEAD,
    ):
        """Makes nodes and engines.

        Args:
            policy: Which decisions the nodes take.
            nodes: How many there are.
            engines: How many read prompts.
            seed: Of the nodes that requests come to.
            step: Seconds for which a prompt keeps its engine busy beside its
                tokens; its answer comes after `OVERHEAD`.
        """
        self.policy = policy
        self.step = step
        self.random = random.Random(seed)
        self.names = [f"engine-{number}" for number in range(engines)]
        self.engines = {name: Engine() for name in self.names}
        self.candidates = [
            prompts_module.Engine(name, name) for name in self.names
        ]
        self.nodes = [
            prefix_routing_module.PrefixRouter() for _ in range(nodes)
        ]
        self.numbers = itertools.count()
        self.events: list[tuple[float, int, object, tuple]] = []
        self.now = 0.0
        self.seconds: dict[int, float] = {}
        self.refused: dict[int, float] = {}
        self.starved = 0
        for number, node in enumerate(self.nodes):
            node.cache_capacity = MEMORY
            if policy.told:
                node.listener = Told(self, number)

    def later(self, at: float, function, *arguments) -> None:
        """Calls a function at a time."""
        heapq.heappush(
            self.events, (at, next(self.numbers), function, arguments)
        )

    def tell(self, node: int, placed) -> None:
        """Lets the other nodes know a moment later."""
        own = dict(self.nodes[node].waiting.own)
        late = dict(self.nodes[node].late.own)
        at = self.now + TOLD_AFTER
        self.later(at, self.learn, node, own, late, placed)

    def learn(
        self,
        sender: int,
        own: dict[str, float],
        late: dict[str, float],
        placed,
    ) -> None:
        """Takes in what a node told."""
        for number, node in enumerate(self.nodes):
            if number == sender:
                continue
            node.waiting.set_remote(str(sender), dict(own), self.now + 3.0)
            node.late.set_remote(str(sender), dict(late), self.now + 3.0)
            if placed is not None:
                node.add_remote_prompt(*placed)

    def run(self, asks: list[Ask]) -> float:
        """Plays a load; returns the share that was read on time."""
        for number, ask in enumerate(asks):
            self.later(ask.at, self.arrive, number, ask)
        while self.events:
            self.now, _, function, arguments = heapq.heappop(self.events)
            function(*arguments)
        good = 0
        for number, ask in enumerate(asks):
            if self.seconds.get(number, 1e9) <= ask.objective:
                good += 1
        return good / len(asks)

    def arrive(self, number: int, ask: Ask) -> None:
        """One node takes a request and places its prompt."""
        node = self.random.randrange(len(self.nodes))
        homes = self.nodes[node]
        tokens = sum(part.tokens for part in ask.chain)
        urgency = ask.urgency if self.policy.layered else LEAST_URGENT
        prompt = prompts_module.Prompt(ask.chain, "m", tokens, urgency)
        if self.policy.homes:
            choice = homes.choose(
                prompt, self.candidates, self.candidates, COPY_RATE, self.now
            )
        else:
            choice = self.shortest(homes, prompt)
        if self.policy.latency:
            choice = choice._replace(load=choice.prefill_seconds)
        rank = lateness.Rank(ask.urgency, False, False, False)
        if self.policy.ranked:
            rank = lateness.rank(
                ask.urgency,
                0.0,
                choice.total_seconds,
                ask.objective,
                ask.patience,
                choice.late_ahead if self.policy.counted else 0.0,
                choice.load if self.policy.kept else ask.objective,
            )
        if rank.hopeless:
            self.refused[number] = self.now - ask.at
            return
        urgency = ask.urgency if rank.deferred else None
        choice = homes.sent(choice, ask.chain, "m", MEMORY, urgency)
        engine = self.engines[choice.engine]
        job = Job(ask, node, choice, self.now)
        heapq.heappush(engine.queue, (rank.urgency, number, job))
        if engine.free_at <= self.now:
            self.start(engine)

    def shortest(
        self,
        homes: prefix_routing_module.PrefixRouter,
        prompt: prompts_module.Prompt,
    ) -> prompts_module.Choice:
        """The engine with the shortest queue, wherever parts are cached."""
        name = min(
            self.names,
            key=lambda one: (homes.expected_wait(one, self.now), one),
        )
        reading = homes.prefill_estimator(name).prefill_seconds(prompt.tokens)
        total = homes.expected_wait(name, self.now) + reading
        return prompts_module.Choice(
            name, "", prompt.tokens, reading, total, reading
        )

    def start(self, engine: Engine) -> None:
        """An engine begins with the most urgent prompt whose caller waits."""
        while engine.queue:
            _, number, job = heapq.heappop(engine.queue)
            homes = self.nodes[job.node]
            if self.now - job.ask.at > job.ask.patience:
                homes.dropped(job.choice)
                self.starved += 1
                continue
            chain = job.ask.chain
            cached = engine.caches.cached_tokens("own", chain, "m")
            if job.choice.peer:
                peer = self.engines[job.choice.peer].caches
                cached = max(cached, peer.cached_tokens("own", chain[:-1], "m"))
            tokens = sum(part.tokens for part in chain) - cached
            engine.free_at = self.now + self.step + tokens / RATE
            self.later(engine.free_at, self.finish, engine, number, job)
            return

    def finish(self, engine: Engine, number: int, job: Job) -> None:
        """An engine has read a prompt; its answer takes a while longer."""
        engine.caches.add("own", job.ask.chain, "m", MEMORY)
        self.later(self.now + OVERHEAD - self.step, self.answer, number, job)
        self.start(engine)

    def answer(self, number: int, job: Job) -> None:
        """A node hears that a prompt was read."""
        self.seconds[number] = self.now - job.ask.at
        self.nodes[job.node].done(job.choice, self.now - job.sent, self.now)


def load(seconds: float, rate: float, beginnings: int, seed: int) -> list[Ask]:
    """A load of long prompts over many beginnings and some short ones."""
    rng = random.Random(seed)
    asks = []
    at = 0.0
    while at < seconds:
        at += rng.expovariate(rate)
        own = chains.Block(f"own{len(asks)}", int(rng.expovariate(1 / 3000)))
        if rng.random() < 0.6:
            shared = chains.Block(f"long{rng.randrange(beginnings)}", 13_000)
            asks.append(Ask(at, (shared, own), 2, 0.8, 3.2))
        else:
            shared = chains.Block(f"short{rng.randrange(40)}", 350)
            own = own._replace(tokens=min(own.tokens, 1100))
            asks.append(Ask(at, (shared, own), 0, 0.5, 2.4))
    return asks


def burst(start: float, count: int, seed: int) -> list[Ask]:
    """Long prompts with beginnings of their own that come all at once."""
    rng = random.Random(seed)
    asks = []
    for number in range(count):
        shared = chains.Block(f"burst{number}", 13_000)
        own = chains.Block(f"burst-own{number}", 3000)
        at = start + rng.random()
        asks.append(Ask(at, (shared, own), 2, 0.8, 3.2))
    return asks


def short_prompts(start: float, seconds: float, rate: float, seed: int):
    """Short prompts of the most urgent kind, all new."""
    pattern = Ask(start, (), 0, 0.25, 2.0)
    return new_prompts(pattern, (150, 430), seconds, rate, seed)


def long_prompts(start: float, seconds: float, rate: float, seed: int):
    """Long prompts of a less urgent kind, all new."""
    pattern = Ask(start, (), 1, 0.5, 2.0)
    return new_prompts(pattern, (2000, 8000), seconds, rate, seed)


def new_prompts(
    pattern: Ask,
    tokens: tuple[int, int],
    seconds: float,
    rate: float,
    seed: int,
) -> list[Ask]:
    """Prompts that share nothing, from the time of a pattern on."""
    rng = random.Random(seed)
    asks = []
    at = pattern.at
    while at < pattern.at + seconds:
        at += rng.expovariate(rate)
        name = f"{pattern.urgency}-{pattern.at}-{len(asks)}"
        own = chains.Block(name, rng.randint(*tokens))
        asks.append(pattern._replace(at=at, chain=(own,)))
    return asks
