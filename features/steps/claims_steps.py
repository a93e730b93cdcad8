"""Steps on the claims state machine, driven by hypothesis."""

import collections
import random
import uuid

import behave
import hypothesis
from hypothesis import strategies

from gypsumfold import claims
from gypsumfold.logservice import records

RETENTION = 1000.0
START = 1_000_000.0
# Seconds after the start at which the keys are made: one is valid at once,
# one still is when the first has passed, one is too far in the future.
MADE = (0, 5, 200)


def key_made_at(seconds: float, number: int = 0) -> str:
    stamp = int(seconds * 1000) << 80
    return str(uuid.UUID(int=stamp | 7 << 76 | 2 << 62 | number))


class Attempt:
    def __init__(self, node, claim):
        self.node = node
        self.claim = claim
        self.offset = None
        self.decided = False
        self.ended = False
        self.closing = False


class Node:
    def __init__(self, name):
        self.name = name
        self.claims = claims.Claims(RETENTION)
        self.next = 0


class Interleaving:
    """Any order of appends, reads, pauses, crashes and retention."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.time = START
        self.log = []
        self.first = 0
        self.flying = []
        self.attempts = []
        self.sequence = 0
        self.nodes = [self.node(), self.node(), self.node()]
        self.ran = collections.Counter()
        self.not_run = set()

    def node(self):
        self.sequence += 1
        return Node(f"node-{self.sequence}")

    def attempt(self):
        self.sequence += 1
        node = self.random.choice(self.nodes)
        number = self.random.randrange(len(MADE))
        claim = claims.Claim(
            f"{node.name}/{self.sequence}",
            "account",
            key_made_at(START + MADE[number], number),
            self.random.choice(["body"] * 9 + ["other"]),
        )
        attempt = Attempt(node, claim)
        self.attempts.append(attempt)
        delivery = self.random.choice(["heard"] * 3 + ["unheard", "late"])
        if delivery != "late":
            self.append(claim)
        if delivery == "heard":
            attempt.offset = len(self.log) - 1
        else:
            self.flying.append((claim, attempt))

    def append(self, record):
        self.log.append(records.Entry(len(self.log), self.time, (record,)))

    def land(self):
        if not self.flying:
            return
        flight = self.random.choice(self.flying)
        if self.random.random() < 0.7:
            self.flying.remove(flight)
        record, attempt = flight
        self.append(record)
        if attempt is not None and attempt.offset is None:
            attempt.offset = len(self.log) - 1

    def read(self):
        node = self.random.choice(self.nodes)
        if node.next < self.first:
            node.claims.gap(node.next, self.first)
            node.next = self.first
        count = self.random.choice([1, 2, len(self.log), len(self.log)])
        for entry in self.log[node.next : node.next + count]:
            node.claims.apply(entry)
            node.next += 1
        for attempt in self.attempts:
            step = attempt.node.claims.step(attempt.claim, True)
            if attempt.closing and step == claims.Step.CLOSED:
                self.not_run.add(attempt.claim.key)

    def decide(self):
        for attempt in self.attempts:
            if attempt.ended or attempt.offset is None:
                continue
            if attempt.node.next <= attempt.offset:
                continue
            step = attempt.node.claims.step(attempt.claim, True)
            attempt.decided = step == claims.Step.DISPATCH

    def run(self):
        deciding = [a for a in self.attempts if a.decided and not a.ended]
        if not deciding:
            return
        attempt = self.random.choice(deciding)
        attempt.ended = True
        self.ran[attempt.claim.key] += 1
        if self.random.random() < 0.5:
            outcome = claims.Outcome(*attempt.claim[:3], "complete")
            self.flying.append((outcome, None))

    def give_up(self):
        attempts = [a for a in self.attempts if not a.ended]
        if not attempts:
            return
        attempt = self.random.choice(attempts)
        attempt.ended = attempt.closing = True
        release = claims.Release(*attempt.claim[:3], closes=True)
        if self.random.random() < 0.3:
            self.flying.append((release, None))
        else:
            self.append(release)

    def pass_time(self):
        self.time += self.random.choice([1, 20, 100, 300, 895])

    def forget(self):
        kept = RETENTION * self.random.choice([1, 1, 0.5])
        while self.first < len(self.log):
            if self.log[self.first].time > self.time - kept:
                return
            self.first += 1

    def crash(self):
        place = self.random.randrange(len(self.nodes))
        gone = self.nodes[place]
        self.nodes[place] = self.node()
        self.attempts = [a for a in self.attempts if a.node is not gone]

    def play(self, steps):
        moves = [self.attempt] * 6 + [self.land] * 6 + [self.read] * 8
        moves += [self.decide] * 6 + [self.run] * 4 + [self.give_up] * 2
        moves += [self.pass_time, self.forget] * 2 + [self.crash]
        for _ in range(steps):
            self.random.choice(moves)()
            self.at_most_once()
            self.not_run_is_true()

    def at_most_once(self):
        assert all(count == 1 for count in self.ran.values()), self.ran

    def not_run_is_true(self):
        assert not self.not_run & set(self.ran), (self.not_run, self.ran)


@behave.when("claims of three nodes interleave in {runs:d} runs")
def step_interleave(context, runs):
    @hypothesis.settings(
        max_examples=runs,
        derandomize=True,
        database=None,
        deadline=None,
    )
    @hypothesis.given(strategies.integers(0, 2**48))
    def play(seed):
        interleaving = Interleaving(seed)
        interleaving.play(steps=80)
        context.ran += len(interleaving.ran)
        context.not_run += len(interleaving.not_run)

    context.ran = context.not_run = 0
    play()


@behave.then("no claimed key ran twice and none ran that was said not to have")
def step_interleaved(context):
    # The rules are checked after each move; here, that they were put to use.
    assert context.ran > 500 and context.not_run > 500, vars(context)


@behave.given("claims kept for {seconds:d} seconds")
def step_kept(context, seconds):
    context.claims = claims.Claims(seconds)


def claim_at(context, time: float, key: str) -> claims.Step:
    claim = claims.Claim("node/1", "account", key, "body")
    context.claims.apply(records.Entry(0, time, (claim,)))
    return context.claims.step(claim, read_back=True)


@behave.then("a key claimed {seconds:d} seconds {side} it was made {verdict}")
def step_age(context, seconds, side, verdict):
    seconds = seconds if side == "after" else -seconds
    step = claim_at(context, START + seconds, key_made_at(START, seconds + 20))
    expected = {"is void": claims.Step.VOID, "may run": claims.Step.DISPATCH}
    assert step == expected[verdict], step


@behave.given(
    "the log dropped records before they were read at {seconds:d} seconds"
)
def step_dropped(context, seconds):
    context.claims.gap(0, 7)
    context.claims.apply(records.Entry(7, START + seconds, ()))


@behave.then("a key of second {early:d} is void and one of {late:d} may run")
def step_floor(context, early, late):
    time = START + late
    step = claim_at(context, time, key_made_at(START + early))
    assert step == claims.Step.VOID, step
    step = claim_at(context, time, key_made_at(START + late))
    assert step == claims.Step.DISPATCH, step


@behave.when("{keys:d} keys are claimed over {seconds:d} seconds")
def step_many(context, keys, seconds):
    context.most = 0
    for number in range(keys):
        time = START + number * seconds / keys
        claim_at(context, time, key_made_at(time, number))
        context.most = max(context.most, len(context.claims.key_states))


@behave.then("at the most {most:d} keys are in memory")
def step_most(context, most):
    assert 0 < context.most <= most, context.most


@behave.when("the release of a claim is read before the claim and after it")
def step_reordered(context):
    context.keys = [key_made_at(START, 1), key_made_at(START, 2)]
    for key, doubled in zip(context.keys, (False, True), strict=True):
        early = claims.Claim("gone/1", "account", key, "body")
        release = claims.Release("gone/1", "account", key)
        order = (early, release, early) if doubled else (release, early)
        for record in order:
            context.claims.apply(records.Entry(0, START, (record,)))


@behave.then("the key is free for the next claim")
def step_free(context):
    for key in context.keys:
        step = claim_at(context, START, key)
        assert step == claims.Step.DISPATCH, step
