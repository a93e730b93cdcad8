"""Steps with hundreds of gateways' peer parts under virtual time."""

import behave
from features.support import made_up
from features.support import relay_site

from gypsumfold.decisions import members
from gypsumfold.gateway import types
from gypsumfold.gateway.peers import frames
from gypsumfold.gateway.peers import messages
from gypsumfold.gateway.peers import seals

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
