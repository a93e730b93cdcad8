"""Steps on gateways that stop or start while they lead."""

import asyncio
import contextlib
import types as builtin_types

import behave
from features.support import made_up
from features.support import virtual_gateways
from features.support import virtual_group

from gypsumfold import exceptions
from gypsumfold.gateway import leadership
from gypsumfold.gateway import topic_watches
from gypsumfold.platform import store as store_module

LEASE = 3.0
CALL = 0.004
SLOW_CALL = 0.7
# Seconds between two orders of a holder, for which a stopping process serves
# on, and until it starts again.
ORDER_INTERVAL = 0.1
DRAIN = 3.5
RESTART = 1.0


def make(site, group, name, first_start=True):
    """One gateway's leadership."""
    settings = builtin_types.SimpleNamespace(
        orders=builtin_types.SimpleNamespace(lease_ms=LEASE * 1000),
        store=builtin_types.SimpleNamespace(shortest_lease_ms=1000),
        node=builtin_types.SimpleNamespace(first_start=first_start),
        peers=builtin_types.SimpleNamespace(address=name.partition("-0")[0]),
    )
    state = topic_watches.StoreState(LEASE)
    return leadership.Leadership(settings, group, state, name)


# The last incarnation of each gateway.
RUNNING = {}


class Process:
    """A gateway that orders as often as it may."""

    def __init__(self, site, group, name, acts, first_start=True):
        self.name = name
        self.site = site
        self.acts = acts
        incarnation = f"{name}-{site.clock():09.3f}"
        self.leadership = make(site, group, incarnation, first_start)
        self.leadership.claims.has_ended = self.has_ended
        RUNNING[name] = incarnation
        self.tasks = [
            asyncio.create_task(self.leadership.run()),
            asyncio.create_task(self.order()),
        ]

    async def has_ended(self, tenure, generation):
        """Whether another incarnation answers at a holder's address."""
        await asyncio.sleep(CALL)
        return RUNNING.get(tenure.address, "") > tenure.member

    async def order(self):
        """Orders again and again."""
        while True:
            with self.leadership.act() as grant:
                if grant is not None:
                    await asyncio.sleep(CALL)
                    act = (self.site.clock(), self.name, grant.token)
                    self.acts.append(act)
            await asyncio.sleep(ORDER_INTERVAL)

    async def end(self, graceful):
        """Stops as at SIGTERM, serving on for a moment, or is killed."""
        if graceful:
            await self.leadership.stop()
            await asyncio.sleep(DRAIN)
        await virtual_gateways.cancelled(self.tasks)


@behave.when("{count:d} gateways lead by turns for {seconds:d} s while {what}")
def step_lead(context, count, seconds, what):
    site = virtual_gateways.Site(1)
    RUNNING.clear()
    context.acts = []
    context.seconds = seconds
    group = virtual_group.Group(site)
    if what.endswith("slow"):
        group.delay = SLOW_CALL

    async def disrupt(processes):
        if what.startswith("all partitions"):
            await asyncio.sleep(4.0)
            group.give_out()
            return
        await asyncio.sleep(5.0)
        if not context.acts:
            return
        name = context.acts[-1][1]
        await processes[name].end(graceful="stops" in what)
        await asyncio.sleep(RESTART)
        processes[name] = Process(site, group, name, context.acts, False)

    async def story():
        processes = {}
        for number in range(count):
            name = f"edge-{number + 1}"
            processes[name] = Process(site, group, name, context.acts)
        end = site.clock() + seconds
        while site.clock() < end:
            await disrupt(processes)
        for process in processes.values():
            await process.end(graceful=False)

    site.play(story())


@behave.then(
    "no gateway acts again within a lease where another has acted in between"
)
def step_no_turns(context):
    last = {}
    previous = ""
    turns = []
    assert len({name for _, name, _ in context.acts}) > 1, "one gateway led"
    for at, name, token in context.acts:
        if name != previous and at - last.get(name, -LEASE) < LEASE:
            turns.append((name, previous, round(at - last[name], 3), token))
        last[name] = at
        previous = name
    assert not turns, turns


@behave.then("tokens never go down")
def step_tokens(context):
    tokens = [token for _, _, token in context.acts]
    assert tokens == sorted(tokens), tokens


@behave.then("somebody acts in at least {share:g} of all seconds")
def step_acting(context, share):
    acting = {int(at) for at, _, _ in context.acts}
    assert len(acting) >= share * context.seconds, len(acting)


def begin(context):
    """Prepares one gateway's leadership in virtual time."""
    context.site = virtual_gateways.Site(1)
    context.group = virtual_group.Group(context.site)
    context.leadership = make(context.site, context.group, "edge-1")
    context.ended = []


@behave.given("a gateway whose join is under way")
def step_joining(context):
    begin(context)

    async def prepare():
        context.group.delay = 0.5
        await asyncio.sleep(0.1)

    context.prepare = prepare


async def order(context, seconds, fails):
    """Gives one order."""
    with (
        contextlib.suppress(exceptions.OperationsUnavailable),
        context.leadership.act() as grant,
    ):
        assert grant is not None
        await asyncio.sleep(seconds)
        context.ended.append(context.site.clock())
        if fails:
            raise exceptions.OperationsUnavailable("no answer")


@behave.given("a holder whose order is under way for {seconds:g} s")
@behave.given("a holder whose order has failed a moment ago")
def step_ordering(context, seconds=0.01):
    begin(context)

    async def prepare():
        await asyncio.sleep(1.0)
        context.order = asyncio.create_task(
            order(context, seconds, fails=seconds < 0.1)
        )
        await asyncio.sleep(0.1)

    context.prepare = prepare


@behave.when("it stops")
def step_stop(context):
    async def story():
        task = asyncio.create_task(context.leadership.run())
        await context.prepare()
        context.stopped_at = context.site.clock()
        stop = asyncio.create_task(context.leadership.stop())
        context.tokens = []
        for _ in range(100):
            await asyncio.sleep(0.1)
            token = context.leadership.token(context.site.clock())
            context.tokens.append(token)
        assert stop.done()
        tasks = [task]
        if hasattr(context, "order"):
            tasks.append(context.order)
        await virtual_gateways.cancelled(tasks)

    context.site.play(story())


@behave.then("it leaves after the {what} is answered and joins no more")
def step_left(context, what):
    names = [name for name, _, _ in context.group.calls]
    assert names[-1] == "leave" and names.count("leave") == 1, names
    joins = [at for name, _, at in context.group.calls if name == "join"]
    left_at = context.group.calls[-1][2]
    assert left_at > max([*joins, *context.ended]), context.group.calls


@behave.then("it doesn't leave and joins no more")
def step_not_left(context):
    calls = context.group.calls
    assert all(name == "join" for name, _, _ in calls), calls
    assert max(at for _, _, at in calls) <= context.stopped_at + CALL, calls


@behave.then("it gives no order from its stop on")
def step_no_order(context):
    assert set(context.tokens) == {None}, context.tokens


class EntryStore:
    """The store of entries; calls take a moment, or fail while it is away."""

    def __init__(self):
        self.is_away = False
        self.delay = CALL
        self.values = {}

    async def put(self, topic, key, value):
        """Writes a record."""
        await asyncio.sleep(self.delay)
        if self.is_away:
            raise exceptions.LogUnavailable("away")
        self.values[key] = value

    async def newest(self, topic):
        """Reads all records."""
        await asyncio.sleep(self.delay)
        records = []
        for key, value in self.values.items():
            records.append(store_module.Record(key, value))
        return store_module.Page(records, len(records))


@behave.when("a gateway's entry is withdrawn while {what}")
def step_withdraw(context, what):
    site = virtual_gateways.Site(1)
    store = EntryStore()
    context.store = store

    async def story():
        gossip = made_up.gossip()
        entries = gossip.entries
        entries.store = store
        entries.leadership.state = topic_watches.StoreState(LEASE)
        store.is_away = "away" in what
        store.delay = 0.5 if "being written" in what else CALL
        task = asyncio.create_task(entries.run(gossip))
        await asyncio.sleep(0.2)
        if "again" in what:
            await asyncio.sleep(1.0)
            store.delay = 0.5
            entries.mark_lost()
            await asyncio.sleep(0.1)
        withdrawal = asyncio.create_task(entries.withdraw())
        await asyncio.sleep(1.0)
        store.is_away = False
        await asyncio.sleep(9.0)
        assert withdrawal.done()
        task.cancel()
        context.node = entries.members.own.node

    site.play(story())


@behave.then("the store has no entry of it {seconds:d} s later")
def step_no_entry(context, seconds):
    assert not context.store.values.get(context.node), context.store.values
