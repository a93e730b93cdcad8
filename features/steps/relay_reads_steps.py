"""Steps on what a node knows through a relay, and when it reads for itself."""

import asyncio
import random
from unittest import mock

import behave
from features.support import made_up

from gypsumfold import clocks
from gypsumfold.decisions import eras
from gypsumfold.decisions import read_timeouts as read_timeouts_module
from gypsumfold.decisions import registry
from gypsumfold.decisions import topic_staleness
from gypsumfold.gateway import configurations as configurations_module
from gypsumfold.gateway import registrations as registrations_module
from gypsumfold.gateway import store_copy
from gypsumfold.gateway import topic_watches
from gypsumfold.gateway.peers import messages
from gypsumfold.platform import store


@behave.given(
    "a registry that took in {records:d} records of {keys:d} keys in the "
    "log's order"
)
def step_registry(context, records, keys):
    rng = random.Random(5)
    context.changes = []
    for offset in range(records):
        value = rng.choice((b"", b"ready", b"draining", b"reads"))
        key = f"i-{rng.randrange(keys)}"
        context.changes.append(registry.Change(key, offset, value))
    context.registry = taken(context.changes)


def taken(changes):
    """A registry that took changes in."""
    found = registry.Registry()
    for change in changes:
        found.put(change, 0.0)
    return found


@behave.when(
    "others take them in in {orders:d} other orders, some of them twice"
)
def step_orders(context, orders):
    rng = random.Random(6)
    context.others = []
    for _ in range(orders):
        changes = context.changes + rng.sample(context.changes, 40)
        rng.shuffle(changes)
        context.others.append(taken(changes))


@behave.then("all have the same digest and the same values")
def step_same(context):
    for other in context.others:
        assert other.digest == context.registry.digest
        assert other.values == context.registry.values


@behave.given("a bound of {seconds:g} seconds")
def step_bound(context, seconds):
    context.following = topic_staleness.TopicStaleness(seconds)
    context.following.confirm(100.0)


@behave.then(
    "what is {young:g} seconds old is trusted, and what is {old:g} seconds "
    "old is not"
)
def step_ages(context, young, old):
    assert not context.following.is_stale(100.0 + young)
    assert context.following.is_stale(100.0 + old)


@behave.then(
    "a digest that differs is trusted for {short:g} seconds and not for "
    "{long:g}"
)
def step_differs(context, short, long):
    context.following.record_difference(100.0)
    context.following.record_difference(100.1)
    assert not context.following.is_stale(100.0 + short)
    assert context.following.is_stale(100.0 + long)
    context.following.confirm(100.2)
    assert not context.following.is_stale(100.0 + long)


def relay_knowledge(reads=lambda: True):
    """What a relay knows that has read both topics once; or a follower."""
    gossip = made_up.gossip()
    state = topic_watches.StoreState(3.0)
    watches = []
    for _ in range(2):
        watch = topic_watches.TopicWatch(
            mock.Mock(eras=eras.Eras()),
            state,
            "",
            mock.Mock(),
            lambda: 0.0,
            lambda: 1.0,
            bound=4.0,
        )
        watch.has_read_all = True
        watch.staleness.record_read(0.0)
        watches.append(watch)
    return store_copy.StoreCopy(
        registrations_module.Registrations(gossip.directory, state),
        configurations_module.Configurations(),
        *watches,
        reads,
        mock.Mock(),
        read_timeouts_module.derive(contact=3.0),
    )


@behave.given("a node that follows a relay and has the version {version:d}")
def step_follower(context, version):
    context.knowledge = relay_knowledge(lambda: False)
    context.knowledge.configurations.current = mock.Mock(version=version)
    context.knowledge.query_client = mock.Mock(fetch=mock.AsyncMock())
    for watch in (
        context.knowledge.registrations_watch,
        context.knowledge.configuration_watch,
    ):
        watch.staleness.record_read(clocks.now())


@behave.when("the relay tells of the version {version:d}")
def step_tells(context, version):
    told = messages.CopyState(0, 0.0, 0, [], 0.0, version, 5, 0.0)
    context.knowledge.receive(told, ("10.0.0.2", 1), False)


@behave.then("it reads the configuration, and has asked no node for it")
def step_reads(context):
    assert context.knowledge.should_read_configuration()
    asyncio.run(context.knowledge.fetch_configuration())
    context.knowledge.query_client.fetch.assert_not_called()


@behave.when("that read has failed")
def step_read_failed(context):
    context.knowledge.configuration_watch.failures = 1


@behave.then("it asks the relay for the configuration")
def step_asks(context):
    offered = []
    context.knowledge.configurations.offer = lambda record, source: (
        offered.append((record, source))
    )
    asyncio.run(context.knowledge.fetch_configuration())
    context.knowledge.query_client.fetch.assert_called_once()
    assert len(offered) == 1, offered


@behave.given("two relays that know the same and read no more")
def step_two(context):
    context.pair = [relay_knowledge(), relay_knowledge()]


@behave.when(
    "they tell each other for {seconds:d} seconds, each time {way:d} ms on the "
    "way"
)
def step_tell(context, seconds, way):
    now = 0.0
    with mock.patch("gypsumfold.clocks.now", lambda: now):
        while now < seconds:
            told = [one.outgoing(True) for one in context.pair]
            now += way / 1000
            context.pair[0].receive(told[1], ("10.0.0.2", 1), True)
            context.pair[1].receive(told[0], ("10.0.0.1", 1), True)
            now += 0.1 - way / 1000
    context.now = now


@behave.then("each knows that what it knows is at least {age:g} seconds old")
def step_old(context, age):
    for one in context.pair:
        found = one.registrations_watch.staleness.age(context.now)
        assert found >= age, found


class ForgetfulStore:
    """A store that has the newest records and forgets all others."""

    def __init__(self):
        self.newest_calls = 0
        self.read_calls = 0
        self.eras = eras.Eras()

    async def newest(self, topic):
        self.newest_calls += 1
        return store.Page([], 10)

    async def read(self, topic, start, wait):
        self.read_calls += 1
        raise store.HistoryLost("forgotten")


@behave.given(
    "a relay to which the store answers that it has forgotten what it asks for"
)
def step_forgetful(context):
    context.store = ForgetfulStore()
    consumer = mock.Mock()
    consumer.replace.return_value = 0.0
    context.watch = topic_watches.TopicWatch(
        context.store,
        topic_watches.StoreState(3.0),
        "",
        consumer,
        lambda: 0.0,
        lambda: 1.0,
    )


@behave.when("another relay that knows the same tells it so all the while")
def step_told_so(context):
    async def tell():
        task = asyncio.create_task(context.watch.run())
        while context.store.newest_calls < 2 and context.store.read_calls < 4:
            await asyncio.sleep(0.01)
            assert not task.done(), task
            context.watch.confirm_relayed(10, clocks.now())
        task.cancel()

    asyncio.run(tell())


@behave.then(
    "it asks for the newest records before it has asked {calls:d} times for "
    "others"
)
def step_newest(context, calls):
    assert context.store.newest_calls >= 2, context.store.newest_calls
    assert context.store.read_calls < calls, context.store.read_calls
