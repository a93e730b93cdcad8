"""Steps on a store that comes back from an older copy."""

import asyncio
import contextlib
import random

import behave
from features.support import fixed_leader
from features.support import virtual_drills
from features.support import virtual_gateways
from features.support import virtual_operations
from features.support import virtual_store

from gypsumfold import exceptions
from gypsumfold.decisions import crash_types
from gypsumfold.decisions import eras as eras_module
from gypsumfold.decisions import metering
from gypsumfold.decisions import types as decision_types
from gypsumfold.gateway import directory as directory_module
from gypsumfold.gateway import topic_watches
from gypsumfold.gateway import types
from gypsumfold.gateway import usage_reports
from gypsumfold.platform import names
from gypsumfold.platform import store as store_module

SEED = 1
SETTLING = 6.0
# Seconds of changes before a drill and after it.
BEFORE = 14.0
AFTER = 18.0
# Seconds between two drills, and for which gateways are cut off.
SECOND = 4.0
CUT = 3.0
POLICY = metering.Policy(5.0, 10.0)
# Fingerprint of a request that is suspected of crashes.
SUSPECT = 77
REPLICAS = ("i-a", "i-b", "i-c", "i-d")


async def settle(site, nodes):
    """Starts a site with some replicas."""
    site.configure(3)
    site.register(*REPLICAS)
    site.start(nodes, 3)
    await site.pass_time(SETTLING)


async def disturb(site, changes, lost, away, trouble):
    """Lets the store go back, with something else beside it."""
    spread = 2.0 if trouble == "entries written again in 2 s" else 0.0
    third = sorted(site.nodes)[: len(site.nodes) // 3]
    if trouble == "a third of them cut off":
        site.cut(third)
    await site.drill(lost, away, spread)
    if trouble == "a second drill 4 s later":
        await site.pass_time(SECOND)
        await site.drill(lost, away)
    elif trouble == "all gateways starting again":
        await site.restart()
        note_harm(site, changes, list(site.nodes))
    elif trouble == "a third of them cut off":
        await site.pass_time(CUT)
        site.heal(third)
        note_harm(site, changes, third)
    elif trouble == "relays that are killed":
        relays = []
        for name, node in site.nodes.items():
            if node.gateway.gossip.choice.relay is None:
                relays.append(name)
        await site.kill(*relays)
    else:
        assert trouble in ("nothing else", "entries written again in 2 s")


def note_harm(site, changes, harmed):
    """Notes that gateways were disturbed until now."""
    for name in harmed:
        changes.harmed[name] = site.clock()


@behave.then(
    "no change is late at {nodes:d} gateways after the store has lost {lost:g} "
    "seconds and was away for {away:g}, with {trouble}"
)
def step_late(context, nodes, lost, away, trouble):
    site = virtual_gateways.Site(SEED)
    changes = virtual_drills.Changes(site)

    async def story():
        await settle(site, nodes)
        changes.start()
        site.watched = changes.look
        await site.pass_time(BEFORE)
        if trouble == "a third of them cut off":
            third = sorted(site.nodes)[: len(site.nodes) // 3]
            for name in third:
                changes.harmed[name] = site.clock() + CUT + away
        await disturb(site, changes, lost, away, trouble)
        await site.pass_time(AFTER)
        await changes.stop()

    site.play(story())
    assert changes.versions and changes.leaving
    assert not changes.late, (changes.count(), sorted(changes.late, key=str)[0])


@behave.then(
    "after a drill {nodes:d} gateways make no more than {most:d} calls each in "
    "the next {seconds:g} seconds"
)
def step_calls(context, nodes, most, seconds):
    site = virtual_gateways.Site(SEED)
    made = []

    def calls():
        return {
            name: sum(node.store.calls.values())
            for name, node in site.nodes.items()
        }

    async def story():
        await settle(site, nodes)
        await site.pass_time(BEFORE)
        await site.drill(5.0, 0.5)
        before = calls()
        await site.pass_time(seconds)
        for name, count in calls().items():
            gossip = site.nodes[name].gateway.gossip
            if gossip.choice.relay is not None:
                made.append(count - before[name])

    site.play(story())
    assert made and max(made) <= most, sorted(made)


@behave.then(
    "a replica that was gone before a drill is not used again when a copy "
    "brings its entry back"
)
def step_returned(context):
    site = virtual_gateways.Site(SEED)
    used = []

    async def story():
        await settle(site, 6)
        await site.pass_time(BEFORE)
        site.unregister("i-a")
        await site.pass_time(4.0)

        def look():
            used.extend(site.using("i-a"))

        assert not site.using("i-a")
        site.watched = look
        # The removal is written again at the end of two seconds only.
        site.log.go_back(5.0)
        for node in site.nodes.values():
            node.path.refuses = True
        await site.pass_time(0.5)
        for node in site.nodes.values():
            node.path.refuses = False
        await site.pass_time(2.0)
        site.log.write(names.REGISTRATIONS_TOPIC, "i-a", None)
        await site.pass_time(5.0)
        assert site.using("i-b")

    site.play(story())
    assert not used, len(used)


@behave.then(
    "the tokens of those who may give orders rise over {drills:d} drills, and "
    "no two at once have any"
)
def step_tokens(context, drills):
    site = virtual_gateways.Site(SEED)
    tokens = []
    together = []

    def look():
        now = site.clock()
        holding = {}
        for name, node in site.nodes.items():
            token = node.gateway.leadership.token(now)
            if token is not None:
                holding[name] = token
        if len(holding) > 1:
            together.append((now, holding))
        for name, token in holding.items():
            if not tokens or tokens[-1] != (name, token):
                tokens.append((name, token))

    async def story():
        await settle(site, 6)
        site.watched = look
        await site.pass_time(BEFORE)
        for _ in range(drills):
            # The group has changed within what the copy lacks.
            name = tokens[-1][0]
            await site.restart_one(name)
            await site.pass_time(5.0)
            await site.drill(10.0, 0.5)
            await site.pass_time(10.0)

    site.play(story())
    assert not together, together[0]
    numbers = [token for _, token in tokens]
    assert numbers == sorted(numbers), tokens
    holders = {}
    for name, token in tokens:
        assert holders.setdefault(token, name) == name, tokens
    assert len(set(numbers)) > drills, tokens


@behave.then(
    "a window that was reported before a drill is not reported with other "
    "counts by the next leader"
)
def step_total(context):
    site = virtual_gateways.Site(SEED)
    platform = virtual_operations.Platform(random.Random(SEED))
    windows = []

    async def story():
        window = POLICY.index(site.clock())
        windows.append(window)
        count(site, "edge-1-a", window, 5)
        next_one = reporter(site, platform, 2)
        await next_one.store.newest(names.USAGE_TOPIC)
        await asyncio.sleep(POLICY.window + 4.0)
        await reporter(site, platform, 1).check()
        site.log.go_back(4.0)
        # It was written again by then, and another gateway's besides.
        count(site, "edge-1-a", window, 5)
        count(site, "edge-2-a", window, 3)
        for _ in range(8):
            await asyncio.sleep(1.0)
            with contextlib.suppress(exceptions.PlatformError):
                await next_one.check()

    site.play(story())
    duties = platform.duties
    bodies = [call.body for call in duties.accepted(names.USAGE_PATH)]
    assert windows[0] in [body["windowSeq"] for body in bodies], bodies
    assert duties.contradictions() == [], bodies


def reporter(site, platform, token):
    """Makes what reports usage, for one gateway."""
    found = usage_reports.UsageReporter(
        virtual_store.Store(site.log, virtual_store.Path()),
        platform,
        fixed_leader.FixedLeader(token),
        POLICY,
        f"edge-{token}",
        lambda: 0.0,
    )
    found.clock = site.clock
    return found


def count(site, member, window, requests):
    """Writes one incarnation's counts."""
    value = {"members": {member: {"account-1": requests}}}
    site.log.write(names.USAGE_TOPIC, f"{member}/{window}", value)


@behave.then(
    "after a drill the entries of {nodes:d} gateways and their suspected "
    "requests are in the store again within {seconds:g} seconds"
)
def step_written_again(context, nodes, seconds):
    site = virtual_gateways.Site(SEED)
    missing = []

    async def story():
        await settle(site, nodes)
        first = next(iter(site.nodes.values()))
        gateway = first.gateway
        gateway.supervisor.start("crash-records", gateway.crash_records.run)
        suspected = []
        for instance in ("i-x", "i-y"):
            replica = crash_types.Incarnation(instance)
            suspected.append(
                crash_types.Interrupted(replica, SUSPECT, False, False)
            )
        gateway.quarantine.merge_suspicions(suspected, True)
        gateway.crash_records.schedule_write(SUSPECT)
        await site.pass_time(2.0)
        topics = (names.NODES_TOPIC, names.CRASHES_TOPIC)
        before = {topic: site.log.entered(topic) for topic in topics}
        assert before[names.CRASHES_TOPIC]
        await site.drill(60.0, 0.5)
        await site.pass_time(seconds)
        for topic in topics:
            left = before[topic] - site.log.entered(topic)
            if left:
                missing.append((topic, left))

    site.play(story())
    assert not missing, missing


@behave.then(
    'after era 3 an answer whose Store-Era is "{value}" counts as era {era:d}'
)
def step_era(context, value, era):
    eras = eras_module.Eras()
    eras.observe(3)
    headers = {} if value == "missing" else {names.STORE_ERA: value}
    assert eras.observe(store_module.read_era(headers)) == era
    assert eras.current == era


@behave.then(
    "an answer of era 2 that comes after one of era 3 is discarded, and a "
    "read, a write and a token of era 2 are void"
)
def step_earlier(context):
    async def story():
        store = store_module.Store("127.0.0.1:1")
        store.eras.observe(3)
        assert store.eras.observe(2) is None
        end = eras_module.position(2, 9)
        with contextlib.suppress(store_module.HistoryLost):
            await store.read(names.CONFIGURATION_TOPIC, end, 0.0)
            raise AssertionError("a position of era 2 was read")
        assert await store.put_at("keyed.x", "k", b"v", end) is None
        await store.close()

    asyncio.run(story())
    old = eras_module.token(2, 9)
    assert eras_module.generation_of(old, 3) == 0
    assert eras_module.generation_of(old, 2) == 9
    assert old < eras_module.token(3, 1)
    assert eras_module.position(2, 99) < eras_module.position(3, 0)


@behave.then(
    "equal copies and ends of an earlier or later era confirm nothing to a "
    "gateway that reads"
)
def step_equal(context):
    site = virtual_gateways.Site(SEED)

    async def story():
        store = virtual_store.Store(site.log, virtual_store.Path())
        store.eras.observe(3)
        watch = topic_watches.TopicWatch(
            store,
            topic_watches.StoreState(3.0),
            names.CONFIGURATION_TOPIC,
            None,
            lambda: 0.0,
            lambda: 1.0,
        )
        for era in (2, 4):
            watch.confirm_relayed(eras_module.position(era, 5), site.clock())
        assert watch.position == 0
        watch.confirm_relayed(eras_module.position(3, 5), site.clock())
        assert watch.position == eras_module.position(3, 5)
        watch.is_reader = lambda: False
        later = eras_module.position(4, 1)
        watch.confirm_relayed(later, site.clock())
        assert watch.position == later

    site.play(story())


@behave.then(
    "a replica whose entry lapses is dropped in time though a report from its "
    "address names a later start"
)
def step_lapsing(context):
    site = virtual_gateways.Site(SEED)
    role = decision_types.Role.DECODE
    replica = types.Replica(
        "i-1", "lm", "10.0.0.1:80", "dc", 4, False, role, started_at=1000
    )

    async def story():
        directory = directory_module.Directory(random.Random(SEED))
        directory.put(replica)
        directory.drop("i-1", 1.4, site.clock())
        later = types.State(role, False, 0, 0, 0, started_at=2000)
        assert directory.receive_state("i-1", later)
        assert directory.eligible.is_usable("i-1")
        await asyncio.sleep(1.5)
        directory.expire(site.clock())
        assert not directory.replicas

    site.play(story())
