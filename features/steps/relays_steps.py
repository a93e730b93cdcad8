"""Steps with hundreds of gateways' peer parts under virtual time."""

import asyncio
import random
from unittest import mock

import behave
from features.support import made_up
from features.support import relay_site

from gypsumfold import clocks
from gypsumfold.decisions import eras
from gypsumfold.decisions import members
from gypsumfold.decisions import read_timeouts as read_timeouts_module
from gypsumfold.decisions import registry
from gypsumfold.decisions import topic_staleness
from gypsumfold.gateway import configurations as configurations_module
from gypsumfold.gateway import registrations as registrations_module
from gypsumfold.gateway import store_copy
from gypsumfold.gateway import topic_watches
from gypsumfold.gateway import types
from gypsumfold.gateway.peers import frames
from gypsumfold.gateway.peers import messages
from gypsumfold.gateway.peers import seals
from gypsumfold.platform import store

LOSS = 0.025
ENGINE = "i-0000000a"
SECONDS = 0.5
# Prompts are done after this many seconds.
READING = 0.3


@behave.given(
    "{nodes:d} gateways in {data_centres:d} data centres that have run for "
    "{seconds:d} seconds"
)
def step_site(context, nodes, data_centres, seconds, loss=LOSS):
    context.site = relay_site.Site(nodes, data_centres, seed=1, loss=loss)
    context.site.run(seconds)


@behave.given(
    "{nodes:d} gateways in {data_centres:d} data centres that have run for "
    "{seconds:d} seconds, and no datagram is lost"
)
def step_site_whole(context, nodes, data_centres, seconds):
    step_site(context, nodes, data_centres, seconds, 0.0)


@behave.when(
    "{rate:d} prompts a second are placed anywhere for {seconds:d} seconds"
)
def step_load(context, rate, seconds):
    site = context.site
    site.network.sent = 0
    site.network.bytes = 0
    context.seconds = seconds
    names = list(site.nodes)
    running = []
    for _ in range(round(seconds / relay_site.STEP)):
        for _ in range(round(rate * relay_site.STEP)):
            engine = f"i-{site.rng.randrange(78):08x}"
            name = site.rng.choice(names)
            site.place(name, engine, 0.05)
            running.append((site.now + READING, name, engine))
        while running and running[0][0] <= site.now:
            _, name, engine = running.pop(0)
            site.finish(name, engine, 0.05)
        site.run(relay_site.STEP)


@behave.then(
    "each node sent at most {datagrams:d} datagrams and {size:d} bytes a second"
)
def step_cost(context, datagrams, size):
    network = context.site.network
    shares = len(context.site.nodes) * context.seconds
    assert network.sent / shares <= datagrams, network.sent / shares
    assert network.bytes / shares <= size, network.bytes / shares


@behave.when("a node sends a prompt of {seconds:g} seconds to an engine")
def step_place(context, seconds):
    context.sender = list(context.site.nodes)[3]
    context.site.place(context.sender, ENGINE, seconds)


def knowing(site, amount):
    """Counts the nodes that believe in an amount at the engine."""
    found = 0
    for belief in site.beliefs(ENGINE):
        found += abs(belief - amount) < 0.01
    return found


@behave.then("{share:g} of the nodes know of it after {seconds:g} seconds")
def step_most_know(context, share, seconds):
    context.site.run(seconds)
    found = knowing(context.site, SECONDS)
    assert found >= share * len(context.site.nodes), found


@behave.then("all of them know of it after {seconds:g} seconds")
def step_all_know(context, seconds):
    context.site.run(seconds)
    found = knowing(context.site, SECONDS)
    assert found == len(context.site.nodes), found


@behave.then("all of them know that it is done {seconds:g} seconds after that")
def step_done(context, seconds):
    context.site.finish(context.sender, ENGINE, SECONDS)
    context.site.run(seconds)
    found = knowing(context.site, 0.0)
    assert found == len(context.site.nodes), found


@behave.then("what a node sends is known to all others")
def step_known(context, name=None):
    context.sender = name or list(context.site.nodes)[-1]
    context.site.place(context.sender, ENGINE, SECONDS)
    step_all_know(context, 2.0)


@behave.then("what a node of it sends is known to all others")
def step_known_of(context):
    step_known(context, context.inside)


@behave.then("each data centre has one relay")
def step_one(context):
    for data_centre, relays in context.site.relays().items():
        assert len(relays) == 1, (data_centre, relays)


@behave.then("each data centre has one relay after {seconds:g} seconds")
def step_one_after(context, seconds):
    context.site.run(seconds)
    step_one(context)


@behave.then("each node counts {nodes:d} nodes")
def step_count(context, nodes):
    for node in context.site.nodes.values():
        assert node.gossip.node_count() == nodes, (
            node.name,
            node.gossip.node_count(),
        )


@behave.given(
    "{nodes:d} gateways in 1 data centres of which {strong:d} have four times "
    "the power of the others"
)
def step_powers(context, nodes, strong):
    context.firsts = []
    for site in range(20):
        found = []
        for place in range(nodes):
            name = f"edge-{site}-{place}"
            power = 4.0 if place < strong else 1.0
            found.append(members.Member(name, name, "a", ("", 1), power))
        known = members.Members(found[0])
        for member in found[1:]:
            known.add(member, 0.0)
        context.firsts.append(known.ranked("a")[0].power)


@behave.then(
    "one of the {strong:d} is first in at least {least:d} of {sites:d} data "
    "centres, and the weakest share the rest"
)
def step_first(context, strong, least, sites):
    first = sum(1 for power in context.firsts if power > 1)
    assert least <= first < sites, first


def first_two(site):
    """The two nodes that rank highest in each data centre."""
    found = set()
    for node in site.nodes.values():
        known = node.gossip.members
        ranked = known.ranked(known.own.data_centre)
        found.update(member.node for member in ranked[:2])
    return found & set(site.nodes)


@behave.given("the first two nodes of each data centre are killed")
@behave.when("the first two nodes of each data centre are killed")
def step_kill(context):
    context.site.kill(*first_two(context.site))


@behave.when("{seconds:d} seconds pass")
def step_pass(context, seconds):
    context.site.run(seconds)


@behave.then(
    "the entries of the dead are gone, and each node still knows {least:d} "
    "others or more"
)
def step_known_still(context, least):
    site = context.site
    assert set(site.entries) == set(site.nodes), site.entries.keys()
    for node in site.nodes.values():
        assert len(node.gossip.members.known) >= least, node.name


@behave.then("no node follows a dead one after {seconds:g} seconds")
def step_alive(context, seconds):
    context.site.run(seconds)
    assert not context.site.leaderless(), context.site.leaderless()


@behave.when("all nodes lose power and start again")
def step_power(context):
    site = context.site
    names = list(site.nodes)
    site.kill(*names)
    for name in names:
        site.start(int(name.removeprefix("edge-")))
    site.read_entries()


@behave.then(
    "at most {most:d} nodes a data centre relay after {seconds:g} seconds"
)
def step_few(context, most, seconds):
    context.site.run(seconds)
    for relays in context.site.relays().values():
        assert len(relays) <= most, relays


@behave.when("the first data centre is cut off for {seconds:d} seconds")
def step_cut(context, seconds):
    site = context.site
    context.inside = "edge-0"
    site.network.cut = {"10.1."}
    site.run(seconds)
    site.network.cut = set()
    site.run(0.5)


@behave.when("the relays freeze for {seconds:d} seconds")
def step_freeze(context, seconds):
    site = context.site
    frozen = set().union(*site.relays().values())
    for name in frozen:
        site.nodes[name].frozen = True
    site.run(1.0)
    context.followers = []
    for node in site.nodes.values():
        relay = node.gossip.choice.relay
        if not node.frozen and relay is not None and relay.node in frozen:
            context.followers.append(node.name)
    site.run(seconds - 1.0)
    for name in frozen:
        site.nodes[name].frozen = False


@behave.then("no node followed them after 1 seconds")
def step_left(context):
    assert not context.followers, context.followers


@behave.when("{count:d} more start")
def step_more(context, count):
    site = context.site
    first = len(site.nodes)
    names = [site.start(first + place).name for place in range(count)]
    site.read_entries(*names)


@behave.when("a relay closes an engine that all know")
def step_close(context):
    site = context.site
    replica = types.Replica(ENGINE, "lm", "10.9.0.1:1", "dc-0", 64, False)
    for node in site.nodes.values():
        node.gossip.directory.replicas[ENGINE] = replica
    relay = next(iter(site.relays()["dc-0"]))
    gossip = site.nodes[relay].gossip
    gossip.directory.roles.close_until(ENGINE, site.now + 4)
    gossip.announce_closing(ENGINE, 4)


@behave.then("all nodes have closed it after {seconds:g} seconds")
def step_closed(context, seconds):
    site = context.site
    site.run(seconds)
    for node in site.nodes.values():
        until = node.gossip.directory.roles.changing_until.get(ENGINE, 0.0)
        assert until > site.now, node.name


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


@behave.given('a node with the keys "{keys}"')
def step_keys(context, keys):
    context.gossip = made_up.gossip(*keys.split(", "))


def heard(gossip, data):
    """Whether a node takes a datagram in."""
    before = len(gossip.last_sequences)
    gossip.datagram_received(data, ("10.0.0.2", 8092))
    return len(gossip.last_sequences) > before


def report(name, keys):
    """A sealed report of a node."""
    found = messages.Report(
        messages.Contact(f"{name}-1", name, "north"),
        1,
        messages.SUBSCRIBE_NONE,
        messages.EngineLoads(),
        messages.Updates(),
    )
    return frames.encode(found, seals.Sealer(keys))


@behave.then('it takes frames sealed with "{first}" and with "{second}"')
def step_taken(context, first, second):
    assert heard(context.gossip, report("edge-2", [first]))
    assert heard(context.gossip, report("edge-3", [second, "other"]))


@behave.then(
    "it takes none that is unsealed, of another key, changed or of another "
    "version"
)
def step_refused(context):
    assert not heard(context.gossip, report("edge-4", []))
    assert not heard(context.gossip, report("edge-5", ["other"]))
    changed = bytearray(report("edge-6", ["new"]))
    changed[-1] ^= 1
    assert not heard(context.gossip, bytes(changed))
    other = bytes([seals.VERSION + 1]) + report("edge-7", ["new"])[1:]
    assert not heard(context.gossip, other)
