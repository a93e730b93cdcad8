"""Steps on what a gateway still takes for its own after a pause."""

import asyncio
import random
import types
from unittest import mock

import behave
from features.support import virtual_gateways

from gypsumfold import clocks
from gypsumfold import events
from gypsumfold.decisions import canaries as canaries_module
from gypsumfold.decisions import crash_types
from gypsumfold.decisions import types as decision_types
from gypsumfold.gateway import crash_messages
from gypsumfold.gateway import directory as directory_module
from gypsumfold.gateway import quarantine as quarantine_module
from gypsumfold.gateway import runs as runs_module
from gypsumfold.gateway import types as gateway_types

SEED = 1
REQUEST = 7
REPLICA = gateway_types.Replica(
    "i-1", "app", "10.0.0.7:8080", "north", 8, False
)
# Seconds until an update has reached all gateways; a pause begins halfway.
PROPAGATION = 0.05
INSTANCE = "app-1"
# Seconds until gateways know each other, for which an engine is closed, and
# until all gateways have been told something.
SETTLED = 6.0
CLOSED = 4.0
HELD = 0.3
# Seconds for which a role is confirmed, and for which gateways are watched.
CONFIRMED = 5.0
WATCHED = 3.0
# Requests that a gateway would send at once, and seconds after which a limit
# that nobody renews has ended.
TRIES = 50
EXPIRED = 15.0
# Seconds until a new holder has marked the entry of a silent gateway.
DETECTED = 25.0


def pause(context, how, seconds):
    """Lets time pass for others while a gateway does nothing.

    While its machine is suspended, its monotonic clock stands still.
    """
    context.site.clock.now += seconds
    if how == "suspended":
        context.suspended += seconds


def play(context, story, suspended=0.0):
    """Plays a story in which a machine may be suspended, or was before."""
    context.suspended = suspended
    loop_clock = virtual_gateways.Clock.__call__

    def monotonic(clock):
        return loop_clock(clock) - context.suspended

    # The event loop's clock stands still as well.
    with mock.patch.object(virtual_gateways.Clock, "__call__", monotonic):

        async def patched():
            with mock.patch.object(
                clocks, "now", lambda: context.site.clock.now
            ):
                await story()

        context.site.play(patched())


@behave.given("a request that two crashes are suspected of")
def step_suspected(context):
    context.site = virtual_gateways.Site(SEED)
    context.directory = directory_module.Directory(random.Random(SEED))
    context.directory.put(REPLICA)
    context.quarantine = quarantine_module.Quarantine(
        runs_module.InterruptedRuns(context.directory)
    )
    context.quarantine.propagation_time = lambda: PROPAGATION
    context.progress = types.SimpleNamespace(
        subjects=(REQUEST,), fingerprint=REQUEST, parts=()
    )


def suspect(context):
    """Records the crashes."""
    suspicions = []
    for number in (2, 3):
        replica = crash_types.Incarnation(f"i-{number}")
        suspicions.append(
            crash_types.Interrupted(replica, REQUEST, False, False)
        )
    context.quarantine.merge_suspicions(suspicions, False)


@behave.when("its gateway reserves a replica and is {paused} for {seconds:g} s")
def step_reserves(context, paused, seconds):
    async def story():
        suspect(context)
        other = canaries_module.Canaries(owner=2**32)
        reserving = asyncio.create_task(
            context.quarantine.reserve(context.progress, REPLICA)
        )
        await asyncio.sleep(PROPAGATION / 2)
        sent_at = context.site.clock.now
        for one in context.quarantine.canaries.updates(
            False, context.site.clock(), 8
        ):
            message = crash_messages.from_canary(one, context.site.clock())
            other.merge(crash_messages.to_canary(message, sent_at), sent_at)
        pause(context, paused, seconds)
        own = await reserving
        # Until the run's begin is known elsewhere.
        at = context.site.clock.now + PROPAGATION
        context.may_run = [own, other.is_free(REQUEST, "i-4", at)]

    play(context, story)


@behave.then("{count:d} of the two gateways that want to run it may")
def step_runs(context, count):
    assert sum(context.may_run) == count, context.may_run


@behave.given("3 gateways and a replica with a limit of {rate:d} a second")
def step_limit(context, rate):
    context.site = virtual_gateways.Site(SEED)
    context.rate = rate


async def start(site):
    """Starts gateways that know a replica."""
    site.start(3, 1)
    site.register(INSTANCE)
    await site.pass_time(SETTLED)


def name_limit(site, name, rate):
    """Lets a gateway learn a replica's limit from an answer."""
    directory = site.nodes[name].gateway.directory
    directory.statements.record_rate_limit(
        directory.replicas[INSTANCE], rate, site.clock()
    )


def tell(site, news):
    """Lets a gateway have something to tell."""
    if "limit" in news:
        name_limit(site, "edge-1", None)
    elif "closed" in news:
        site.nodes["edge-1"].gateway.planner.close_engine(INSTANCE, CLOSED)
    else:
        site.nodes["edge-1"].gateway.gossip.changed.set()


@behave.when(
    "one of them is frozen for {seconds:g} s just before it reads {news}"
)
def step_frozen(context, seconds, news):
    site = context.site
    waiting = []
    context.news = news

    async def story():
        await start(site)
        name_limit(site, "edge-1", context.rate)
        await site.pass_time(1.0)
        deliver = site.deliver

        def hold(data, receiver, sender):
            if tuple(receiver) == site.nodes["edge-0"].address:
                waiting.append((data, receiver, sender))

        site.deliver = hold
        context.told_at = site.clock()
        tell(site, news)
        await asyncio.sleep(HELD)
        site.clock.now += seconds
        for held in waiting:
            deliver(*held)
        context.seen = look(site.nodes["edge-0"].gateway, site.clock())
        # Long after, it listens as before.
        site.deliver = deliver
        await site.pass_time(1.0)
        name_limit(site, "edge-1", 2 * context.rate)
        await site.pass_time(1.0)
        context.later = look(site.nodes["edge-0"].gateway, site.clock())

    site.play(story())


def look(gateway, now):
    """What a gateway knows: a limit, a closing, and its copy's age."""
    return types.SimpleNamespace(
        rate=gateway.directory.rate_limits.rate(INSTANCE, now),
        closed_until=gateway.directory.roles.changing_until.get(INSTANCE, 0.0),
        known_at=gateway.watches.registrations.staleness.known_at,
        now=now,
    )


@behave.then("it does not count from when it woke")
def step_not_news(context):
    seen = context.seen
    if "limit" in context.news:
        assert seen.rate == context.rate, seen
    elif "closed" in context.news:
        assert seen.closed_until <= seen.now, seen
    else:
        assert seen.known_at <= context.told_at + HELD, seen
    assert context.later.rate == 2 * context.rate, context.later


def holder(site):
    """The gateway that may act."""
    for node in site.nodes.values():
        if node.gateway.leadership.token(clocks.now()) is not None:
            return node
    raise AssertionError("no gateway may act")


@behave.given("3 gateways on machines that were once suspended for 60 s")
def step_once_suspended(context):
    context.site = virtual_gateways.Site(SEED)


@behave.when("the holder is cut off from all others for {seconds:g} s")
def step_holder_cut(context, seconds):
    site = context.site

    async def story():
        await start(site)
        node = holder(site)
        leadership = node.gateway.leadership
        assert node.gateway.gossip.can_remove_entries()
        site.cut([node.name])
        site.dark.add(node.address)
        await site.pass_time(seconds)
        assert leadership.token(clocks.now()) is None
        context.removes = node.gateway.gossip.can_remove_entries()

    play(context, story, suspended=60.0)


@behave.then("it does not remove the entries of others")
def step_keeps(context):
    assert not context.removes


def permits(node):
    """How many requests a gateway may send at once to the replica."""
    limits = node.gateway.directory.rate_limits
    now = node.site.clock()
    return sum(limits.take(INSTANCE, now) for _ in range(TRIES))


@behave.when("one of them is frozen for {seconds:g} s")
def step_freezes(context, seconds):
    site = context.site

    async def story():
        await start(site)
        name_limit(site, "edge-1", context.rate)
        await site.pass_time(1.0)
        site.clock.now += seconds
        context.first = permits(site.nodes["edge-0"])
        await site.pass_time(0.2)
        context.first += permits(site.nodes["edge-0"])
        await site.pass_time(max(4.0, EXPIRED - seconds))
        context.last = permits(site.nodes["edge-0"])

    site.play(story())


@behave.then("it has at most {count:d} permits at once as it wakes")
def step_few(context, count):
    assert context.first <= count, context.first


@behave.then(
    "it has more than {count:d} permits once nobody has named the limit for "
    "long"
)
def step_many(context, count):
    assert context.last > count, context.last


@behave.given("3 gateways of which one has died")
def step_died(context):
    context.site = virtual_gateways.Site(SEED)


@behave.when(
    "the holder is frozen for {seconds:g} s before it marks the entry of the "
    "dead one"
)
def step_frozen_marking(context, seconds):
    site = context.site
    context.marked = []

    def marked():
        number = events.ENTRY_SUSPECTED.number
        lines = [line for line in site.lines if line[1] == number]
        return [fields["peer"] for _, _, fields in lines]

    async def story():
        await start(site)
        node = holder(site)
        names = sorted(name for name in site.nodes if name != node.name)
        context.dead = names[0]
        await site.kill(context.dead)
        entries = node.gateway.gossip.entries
        read_all = entries.read_all

        async def frozen():
            found = await read_all()
            site.clock.now += seconds
            entries.read_all = read_all
            return found

        entries.read_all = frozen
        while entries.read_all is frozen:
            await site.pass_time(0.5)
        await site.pass_time(1.0)
        context.marked = marked()
        await site.pass_time(DETECTED)
        context.marked_later = marked()

    site.play(story())


@behave.then("it marks the entry of no gateway that runs")
def step_marks_none(context):
    assert set(context.marked) <= {context.dead}, context.marked


@behave.then("it marks the entry of the dead one later")
def step_marks_dead(context):
    assert set(context.marked_later) == {context.dead}, context.marked_later


@behave.given(
    "3 gateways and an engine whose role a former holder has confirmed"
)
def step_confirmed(context):
    context.site = virtual_gateways.Site(SEED)


@behave.when("another holder closes the engine for {seconds:g} s")
def step_closes(context, seconds):
    site = context.site
    context.opened = []

    def watch():
        now = site.clock()
        for name, node in site.nodes.items():
            roles = node.gateway.directory.roles
            if roles.changing_until.get(INSTANCE, 0.0) <= now:
                context.opened.append((name, round(now, 2)))

    async def story():
        await start(site)
        new = holder(site)
        former = site.nodes[min(site.nodes.keys() - {new.name})]
        former.gateway.gossip.announce_role(
            INSTANCE, decision_types.Role.DECODE, CONFIRMED
        )
        await site.pass_time(0.5)
        new.gateway.planner.close_engine(INSTANCE, seconds)
        await site.pass_time(HELD)
        site.watched = watch
        await site.pass_time(WATCHED)

    site.play(story())


@behave.then("no gateway takes it for open in the next 3 s")
def step_closed(context):
    assert not context.opened, context.opened
