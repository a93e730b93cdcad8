"""A tiny engine and a step clock, to drive schedulers without processes.

Engines batch continuously: a step's time goes to prefill first and what is
left to decoding, which slows down as the batch fills. Reports lag.
"""

import collections
import dataclasses
import itertools

from gypsumfold.decisions import types

STEP = 0.02
POLL = 0.25
DIGEST = 0.5
MODEL = "dispatch-lm"
# Tries of one caller, where callers repeat at all.
ATTEMPTS = 20


@dataclasses.dataclass
class Sequence:
    node: int
    request: types.Request
    sent: float
    prefill: float
    decode: float
    first: float | None = None


@dataclasses.dataclass
class Engine:
    name: str
    data_centre: str = "north-apron"
    batch: int = 8
    prefill_rate: float = 4000.0
    decode_rate: float = 50.0
    speed: float = 1.0
    lag: float = 0.5
    prefixes: int = 3
    open: bool = True
    failing: bool = False

    def __post_init__(self):
        self.queue = []
        self.cached = collections.OrderedDict()
        self.reports = collections.deque()

    def start(self, node, request, now):
        hit = request.prefix and request.prefix in self.cached
        prompt = request.prompt_tokens * (0.1 if hit else 1.0)
        if request.prefix:
            self.cached[request.prefix] = True
            self.cached.move_to_end(request.prefix)
            if len(self.cached) > self.prefixes:
                self.cached.popitem(last=False)
        output = request.output_tokens
        self.queue.append(Sequence(node, request, now, prompt, output))

    def step(self, now):
        """Advances by one step and returns the sequences that ended."""
        running = self.queue[: self.batch]
        budget = STEP * self.speed
        for one in running:
            used = min(budget, one.prefill / self.prefill_rate)
            one.prefill -= used * self.prefill_rate
            budget -= used
        rate = self.decode_rate / (1 + len(running) / self.batch)
        ended = []
        for one in running:
            if one.prefill > 1e-6:
                continue
            if one.first is None:
                one.first = now - one.sent
            one.decode -= budget * rate
            if one.decode <= 0:
                ended.append(one)
        for one in ended:
            self.queue.remove(one)
        self.report(now)
        return ended

    def report(self, now):
        running = self.queue[: self.batch]
        waiting = len(self.queue) - len(running)
        prefill = sum(one.prefill for one in self.queue)
        self.reports.append(
            types.Report(
                now,
                len(running),
                waiting,
                int(prefill),
                0.1,
                self.batch,
                self.prefill_rate,
                self.decode_rate,
            )
        )

    def replica(self, now):
        while len(self.reports) > 1 and self.reports[1].taken <= now - self.lag:
            self.reports.popleft()
        return types.Replica(
            self.name,
            self.data_centre,
            types.Role.MIXED,
            self.open,
            self.reports[0] if self.reports else None,
            frozenset([MODEL]),
        )


@dataclasses.dataclass
class Answer:
    """What a caller got: the whole answer, or a refusal with advice."""

    request: types.Request
    first: float | None = None
    ended: float | None = None
    refused: float | None = None
    retry_after: float | None = None
    attempts: int = 1

    def on_time(self):
        return self.ended is not None and self.ended <= self.request.deadline


class Fleet:
    """Nodes, each with its scheduler, before the same engines."""

    def __init__(self, engines, schedulers, retries=False):
        self.engines = {engine.name: engine for engine in engines}
        self.schedulers = schedulers
        self.retries = retries
        self.answers = {}
        self.pending = []

    def run(self, arrivals, until, changes=()):
        """Plays (time, node, request) and (time, callable) to the end."""
        self.pending = sorted(arrivals, key=lambda one: one[0], reverse=True)
        changes = sorted(changes, key=lambda one: one[0], reverse=True)
        steps = round(until / STEP)
        for count in range(steps):
            now = count * STEP
            while changes and changes[-1][0] <= now:
                changes.pop()[1]()
            if count % round(POLL / STEP) == 0:
                self.poll(now)
            if count % round(DIGEST / STEP) == 0:
                self.digest(now)
            self.arrive(now)
            self.advance(now)
            self.give_up(now)
        return list(self.answers.values())

    def arrive(self, now):
        while self.pending and self.pending[-1][0] <= now:
            _, node, request = self.pending.pop()
            self.answers.setdefault(request.id.split("#")[0], Answer(request))
            self.act(node, self.schedulers[node].offer(request, now), now)

    def poll(self, now):
        replicas = [one.replica(now) for one in self.engines.values()]
        for node, scheduler in enumerate(self.schedulers):
            self.act(node, scheduler.update(replicas, now), now)
            self.act(node, scheduler.tick(now), now)

    def digest(self, now):
        """Each node learns the hottest accounts of the others."""
        nodes = self.schedulers
        demands = [one.demand(now) for one in nodes]
        hottest = [one.hottest_accounts(32, now) for one in nodes]
        for own, scheduler in enumerate(nodes):
            uses = itertools.chain(*hottest[:own], *hottest[own + 1 :])
            others = demands[:own] + demands[own + 1 :]
            scheduler.update_peers(others, list(uses), now)

    def give_up(self, now):
        """Callers leave at their deadline; what runs for them is cancelled."""
        for engine in self.engines.values():
            for one in list(engine.queue):
                if one.request.deadline > now:
                    continue
                engine.queue.remove(one)
                scheduler = self.schedulers[one.node]
                gone = types.Result(
                    types.Finish.CANCELLED, None, now - one.sent, 0
                )
                actions = scheduler.finished(one.request.id, gone, now)
                self.act(one.node, actions, now)
                self.repeat(one.node, one.request, now)

    def repeat(self, node, request, at):
        """A caller tries again, with the same patience, a few times."""
        name, _, attempt = request.id.partition("#")
        attempt = int(attempt or 0) + 1
        if not self.retries or attempt >= ATTEMPTS:
            return
        patience = request.deadline - request.arrival
        again = request._replace(
            id=f"{name}#{attempt}", arrival=at, deadline=at + patience
        )
        self.answers[name].request = again
        self.answers[name].attempts += 1
        self.pending.append((at, node, again))
        self.pending.sort(key=lambda one: one[0], reverse=True)

    def advance(self, now):
        for engine in self.engines.values():
            for one in engine.step(now):
                answer = self.answers[one.request.id.split("#")[0]]
                answer.first = one.sent + one.first
                answer.ended = now
                result = types.Result(
                    types.Finish.DONE,
                    one.first,
                    now - one.sent,
                    one.request.output_tokens,
                )
                scheduler = self.schedulers[one.node]
                actions = scheduler.finished(one.request.id, result, now)
                self.act(one.node, actions, now)

    def crash(self, name, now):
        """Ends all work of an engine; it re-enters as recovered."""
        engine = self.engines[name]
        lost, engine.queue = engine.queue, []
        failed = types.Result(types.Finish.FAILED, None, 0.0, 0)
        for one in lost:
            scheduler = self.schedulers[one.node]
            request = one.request._replace(recovered=True)
            self.act(
                one.node,
                scheduler.finished(request.id, failed, now)
                + scheduler.offer(request, now),
                now,
            )

    def dispatch(self, node, request, replica, now):
        engine = self.engines[replica]
        if not engine.failing:
            engine.start(node, request, now)
            return
        failed = types.Result(types.Finish.FAILED, None, 0.0, 0)
        scheduler = self.schedulers[node]
        self.act(node, scheduler.finished(request.id, failed, now), now)

    def act(self, node, actions, now):
        for action in actions:
            request = action.request
            if isinstance(action, types.Dispatch):
                self.dispatch(node, request, action.replica, now)
                continue
            answer = self.answers[request.id.split("#")[0]]
            answer.refused = now
            answer.retry_after = action.retry_after
            self.repeat(node, request, now + action.retry_after)
