"""Steps on the pure configuration: its log, snapshots and freshness."""

import asyncio
import itertools
import random
import uuid

import behave
import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import msgspec

from gypsumfold import changes
from gypsumfold import clocks
from gypsumfold import configuration as configuration_module
from gypsumfold import settings as settings_module
from gypsumfold import snapshots
from gypsumfold.decisions import config_freshness as config_freshness_module
from gypsumfold.logservice import logs
from gypsumfold.logservice import records
from gypsumfold.operators import language
from gypsumfold.peers import links

START = 1_800_000_000.0
BASE = (
    'create service "a" set protocol = "engine"; create endpoint "e" '
    'set service = "a", address = "127.0.0.1:80", data_centre = "n";'
)
TEXTS = [
    'create service "a" set protocol = "engine";',
    'create service "b" set protocol = "plain";',
    'alter service "a" set change_weight = 1.0;',
    'alter service "a" set change_weight = 2.0;',
    'drop service "a";',
    'create model "m" set service = "a"; drop service "b";',
    'drop model "m";',
]
NUMBERS = itertools.count(1)


def change_id(time):
    """Makes a UUIDv7 of a given time; the rest is a counter."""
    value = (int(time * 1000) << 80) | next(NUMBERS)
    value |= (7 << 76) | (2 << 62)
    return str(uuid.UUID(int=value))


def make_change(configuration, text, time):
    """Makes a change whose preconditions are what a configuration holds."""
    operations = changes.operations(language.parse(text))
    found = {}
    for _, kind, name, _ in operations:
        declared = configuration.declared(kind, name)
        revision = declared.revision if declared else -1
        found[kind, name] = changes.Precondition(kind, name, revision)
    return changes.Change(
        change_id(time), "ann", operations, tuple(found.values())
    )


class Stream:
    """The config stream as the log keeps it, and what every prefix means."""

    def __init__(self):
        self.now = START
        self.entries = []
        self.first = 0
        self.whole = configuration_module.Configuration()
        self.prefixes = {-1: self.whole.snapshot()}

    def append(self, *batch):
        body = records.encode(list(batch))
        entry = records.Entry(len(self.entries), self.now, records.decode(body))
        self.entries.append(entry)
        self.whole.apply(entry)
        self.prefixes[entry.offset] = self.whole.snapshot()


class Interleavings(stateful.RuleBasedStateMachine):
    """Two nodes and a log: losses, repeats, reordering and retention."""

    def __init__(self):
        super().__init__()
        self.stream = Stream()
        self.nodes = [configuration_module.Configuration() for _ in "ab"]
        self.next = [0, 0]
        self.reached = [(-1, -1), (-1, -1)]
        self.made = []
        self.parts = []
        self.pulled = []
        self.concluded = {}

    node = st.integers(0, 1)

    @stateful.rule(node=node, text=st.sampled_from(TEXTS))
    def change(self, node, text):
        seen = self.nodes[node]
        self.made.append(make_change(seen, text, self.stream.now))
        self.stream.append(self.made[-1])

    @stateful.rule(choice=st.randoms(use_true_random=False))
    def repeat(self, choice):
        if self.made:
            self.stream.append(choice.choice(self.made))

    @stateful.rule(seconds=st.sampled_from([1.0, 1000.0, 4000.0]))
    def wait(self, seconds):
        self.stream.now += seconds

    @stateful.rule(node=node, most=st.integers(1, 9))
    def tail(self, node, most):
        start = max(self.next[node], self.stream.first)
        for entry in self.stream.entries[start : start + most]:
            self.nodes[node].apply(entry)
            self.next[node] = entry.offset + 1

    @stateful.rule(node=node, choice=st.randoms(use_true_random=False))
    def reorder(self, node, choice):
        kept = self.stream.entries[self.stream.first :]
        if kept:
            self.nodes[node].apply(choice.choice(kept))

    @stateful.rule(node=node, whole=st.booleans())
    def pull(self, node, whole):
        source = self.nodes[1 - node]
        entries = source.entries_from(self.nodes[node].position + 1)
        if entries is None or whole:
            if source.position >= 0:
                self.pulled.append(snapshots.encode(source.snapshot()))
            return
        for entry in entries:
            self.nodes[node].apply(entry)

    @stateful.rule(node=node, choice=st.randoms(use_true_random=False))
    def pulled_snapshot_arrives(self, node, choice):
        if self.pulled:
            body = choice.choice(self.pulled)
            self.nodes[node].restore(snapshots.decode(body))

    @stateful.rule(node=node)
    def take_snapshot(self, node):
        if self.nodes[node].position >= 0:
            self.parts += snapshots.split(self.nodes[node].snapshot())

    @stateful.rule(lost=st.booleans())
    def append_part(self, lost):
        if not self.parts:
            return
        part = self.parts.pop(0)
        if not lost:
            self.stream.append(part)

    @stateful.rule(kept=st.integers(0, 6))
    def retention(self, kept):
        first = len(self.stream.entries) - kept
        self.stream.first = max(first, self.stream.first)

    @stateful.rule(node=node)
    def restart(self, node):
        self.nodes[node] = configuration_module.Configuration()
        self.next[node] = 0
        self.reached[node] = (-1, -1)

    @stateful.invariant()
    def nodes_hold_what_the_log_says(self):
        for number, node in enumerate(self.nodes):
            expected = self.stream.prefixes[node.position]
            assert node.snapshot() == expected, (node.snapshot(), expected)
            reached = node.position, node.revision
            before = self.reached[number]
            assert reached[0] >= before[0] and reached[1] >= before[1]
            self.reached[number] = reached

    @stateful.invariant()
    def outcomes_stay(self):
        for found in self.stream.whole.outcomes.values():
            kept = self.concluded.setdefault(found.change_id, found)
            assert kept == found, (kept, found)

    @stateful.invariant()
    def nothing_was_overwritten_unseen(self):
        held = {}
        done = set()
        for entry in self.stream.entries:
            for record in entry.records:
                outcome = self.stream.whole.outcome(
                    getattr(record, "change_id", "")
                )
                if not outcome or not outcome.accepted:
                    continue
                if outcome.offset != entry.offset:
                    continue
                assert record.change_id not in done
                done.add(record.change_id)
                for kind, name, revision in record.preconditions:
                    known = held.get((kind, name), revision)
                    assert known == revision, record
                for verb, kind, name, _ in record.operations:
                    gone = verb == "drop"
                    held[kind, name] = -1 if gone else entry.offset

    def teardown(self):
        """A new node starts from a snapshot with a change before it."""
        parts = snapshots.split(self.stream.whole.snapshot())
        text = 'create service "z" set protocol = "plain";'
        now = self.stream.now
        self.stream.append(make_change(self.stream.whole, text, now))
        self.stream.append(*parts)
        fresh = configuration_module.Configuration()
        for entry in self.stream.entries[self.stream.first :]:
            fresh.apply(entry)
        assert fresh.get("service", "z")
        assert fresh.snapshot() == self.stream.whole.snapshot()


@behave.then(
    "two nodes agree through losses, repeats, reordering and retention"
)
def step_interleavings(context):
    stateful.run_state_machine_as_test(
        Interleavings,
        settings=hypothesis.settings(
            derandomize=True,
            database=None,
            deadline=None,
            max_examples=150,
            stateful_step_count=40,
        ),
    )


@behave.given('a configuration with the service "a" and its endpoint "e"')
def step_base(context):
    context.stream = Stream()
    context.configuration = context.stream.whole
    put(context, BASE)


def put(context, *texts):
    """Appends one change for each text, all made from the same revision."""
    made = []
    for text in texts:
        made.append(
            make_change(context.configuration, text, context.stream.now)
        )
    for change in made:
        context.stream.append(change)
    found = context.configuration.outcomes
    context.results = [found[change.change_id] for change in made]
    return made


@behave.when('two operators alter endpoint "e" from the same revision')
def step_race(context):
    put(
        context,
        'alter endpoint "e" set role = "decode";',
        'drain endpoint "e";',
    )


@behave.when('one operator alters service "a" and another endpoint "e"')
def step_no_race(context):
    put(
        context,
        'alter service "a" set planner = true;',
        'drain endpoint "e";',
    )


@behave.when("a change is on the log twice with another one between")
def step_twice(context):
    (first,) = put(context, 'drain endpoint "e";')
    first = first._replace(preconditions=first.preconditions[:1])
    put(context, 'resume endpoint "e";')
    again = make_change(context.configuration, 'drain endpoint "e";', START)
    context.stream.append(again._replace(change_id=first.change_id))


@behave.then("the other change is still in force")
def step_still(context):
    assert not context.configuration.get("endpoint", "e").drained


@behave.when("the change {text} is put on the log")
def step_put(context, text):
    put(context, text)


@behave.then("the first change is accepted")
def step_first(context):
    assert context.results[0].accepted, context.results


@behave.then("both changes are accepted")
def step_both(context):
    assert all(r.accepted for r in context.results), context.results


@behave.then('the second change is rejected with "{text}"')
def step_second(context, text):
    assert not context.results[1].accepted, context.results
    assert text in " ".join(context.results[1].difference), context.results


@behave.then("it is rejected because {reason}")
def step_reason(context, reason):
    assert not context.results[0].accepted, context.results
    assert reason in context.results[0].reason, context.results


@behave.then("a node is fresh only as the log and its peers allow")
def step_fresh(context):
    """Random histories: fresh implies level with all that was just heard."""
    choice = random.Random(9)
    for _ in range(200):
        freshness = config_freshness_module.ConfigFreshness()
        heard_log = None
        vouched = 0.0
        peers = {}
        now = 0.0
        revision = -1
        for _ in range(60):
            now += 0.5
            log_read = choice.random() < 0.5
            if choice.random() < 0.3:
                heard_log = now
            for name in "xyz":
                if choice.random() < 0.2:
                    known = choice.choice([-1, 3, 4])
                    peers[name] = config_freshness_module.PeerView(known, now)
            revision = max(revision, choice.choice([-1, 3, 4]))
            view = config_freshness_module.View(
                revision, log_read, heard_log, tuple(peers.values())
            )
            started = freshness.fresh
            if heard_of_all(view, now):
                vouched = now
            if not freshness.update(view, now):
                continue
            if not started:
                check_started(view, now)
                vouched = now
            assert now - vouched <= config_freshness_module.SETTLE_SECONDS, view


def near(view, now):
    """The peers heard lately, and whether the log was."""
    limit = config_freshness_module.CUT_OFF_SECONDS
    log_up = (
        view.log_last_seen is not None and now - view.log_last_seen <= limit
    )
    return [p for p in view.peers if now - p.last_seen <= limit], log_up


def heard_of_all(view, now):
    """Whether someone would have told the node of a change."""
    peers, log_up = near(view, now)
    return log_up or any(p.revision >= view.revision for p in peers)


def check_started(view, now):
    """What must hold when a node turns fresh."""
    peers, log_up = near(view, now)
    assert all(p.revision <= view.revision for p in peers), view
    if log_up and view.log_read:
        return
    assert any(p.revision >= 0 for p in peers), view


class PausedLog:
    """A log whose answer is read after a pause of the process."""

    asked = 0.0

    async def read(self, stream, start, wait):
        if self.asked:
            await asyncio.Event().wait()
        self.asked = clocks.now()
        while clocks.now() < self.asked + 0.05:
            continue
        return logs.Page(0, 0, ())


@behave.then("a tail that was paused has heard the log when it asked")
def step_paused_tail(context):
    async def run():
        log = PausedLog()
        tail = logs.Tail(log, records.CONFIG)
        task = asyncio.create_task(tail.run())
        await tail.caught_up.wait()
        task.cancel()
        assert tail.last_seen <= log.asked, (tail.last_seen, log.asked)

    asyncio.run(run())


@behave.then("a heartbeat that a peer sent by itself vouches for nothing")
def step_unasked(context):
    node = {"name": "a", "data_centre": "n", "address": "127.0.0.1"}
    platform = {"log": "", "vms": ""}
    settings = msgspec.convert(
        {"node": node, "peers": {"secret": "x" * 16}, "platform": platform},
        settings_module.Settings,
    )
    peers = links.Peers(settings, lambda: None)
    beat = links.thrift.Heartbeat("b", "b-1", "127.0.0.2", "n", 5, False)
    asyncio.run(peers.on_heartbeat(beat, "127.0.0.2"))
    (peer,) = peers.recently_seen()
    assert peer.last_answered == 0.0, peer
    peers.record_state(beat, answered=7.0)
    (peer,) = peers.recently_seen()
    assert peer.last_answered == 7.0, peer
