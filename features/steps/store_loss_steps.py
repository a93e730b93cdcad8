"""Steps on gateways that lose the store, under virtual time."""

import behave
from features.support import gateways
from features.support import virtual_gateways

from gypsumfold import events
from gypsumfold.platform import names

REPLICAS = ("app-1", "app-2", "app-3")
LEAVER = REPLICAS[0]
# Versions of the configuration at first and later.
OLDER = 3
NEWER = 7
# Seconds of undisturbed contact with the store after which a gateway must act
# on all that the store said before.
CONTACT = 3.0
# Seconds for which gateways are cut off, at the least and the most.
SHORTEST = 5.0
LONGEST = 14.0
# Seconds for which a store that returns lacks entries of living replicas.
LAPSED = 1.9
# Repeats beyond the share that a site has for each gateway, at the least.
SPARE = 2.2
# Seconds for which parts of a site do not hear each other: long enough that
# they forget each other, or that their entries would go.
FORGOTTEN = 40.0
LONG = 80.0
# Seconds after which the entry of a dead gateway must be gone.
CLEARED = 40.0
# Plays of one scenario have seeds from this on.
FIRST_SEED = 1


async def settled(site, nodes, data_centres):
    """Starts a site and lets everybody know everything."""
    site.configure(OLDER)
    site.register(*REPLICAS)
    site.start(nodes, data_centres)
    await site.pass_time(5.0 + site.rng.random())
    for node in site.nodes.values():
        assert node.uses("app") == set(REPLICAS), node.name


@behave.given("three gateways, each with a way of its own to the store")
def step_three(context):
    context.names = ("edge-1", "edge-2", "edge-3")
    for name in context.names:
        context.fleet.store_proxy(name)
        context.fleet.start_gateway(name, False)
    for name in context.names:
        context.fleet.until_ready(name)


@behave.when("one of them is partitioned from the store until it notices")
def step_partition(context):
    name = context.names[0]
    context.fleet.store_proxies[name].partition()
    gateways.until(
        lambda: context.fleet[name].events(events.STORE_LOST.number),
        f"{name} has not noticed",
    )


@behave.when("the entry of {replica} goes and a new configuration comes")
def step_goes(context, replica):
    context.instance = context.fleet.entries[replica]["instance"]
    context.fleet.unregister(replica)
    context.version = context.fleet.configure()


@behave.then("all three know both")
def step_all_know(context):
    for name in context.names:
        gateways.until(
            lambda name=name: knows(context.fleet[name], context),
            f"{name} does not know both",
        )


def knows(gateway, context):
    """Whether a gateway knows who left and the newest configuration."""
    gone = set()
    for line in gateway.events(events.REPLICA_GONE.number):
        gone.add(line["instance"])
    versions = set()
    for line in gateway.events(events.CONFIG_IN_FORCE.number):
        versions.add(line["version"])
    return context.instance in gone and context.version in versions


def play(plays, story):
    """Plays a story with several seeds; lists what went wrong."""
    wrong = []
    for seed in range(FIRST_SEED, FIRST_SEED + plays):
        site = virtual_gateways.Site(seed)
        found = []
        site.play(story(site, found))
        if found:
            wrong.append((seed, found))
    assert not wrong, f"{len(wrong)} of {plays} plays: {wrong[:3]}"


@behave.then(
    "in each of {plays:d} plays none of {nodes:d} gateways in "
    "{data_centres:d} data centres uses it once {cut:d} were cut off and are "
    "in touch again"
)
def step_in_touch(context, plays, nodes, data_centres, cut):
    async def story(site, found):
        await settled(site, nodes, data_centres)
        names = site.rng.sample(list(site.nodes), cut)
        seconds = site.rng.uniform(SHORTEST, LONGEST)
        before = site.rng.uniform(1.0, seconds - 1.0)
        site.cut(names)
        await site.pass_time(before)
        site.unregister(LEAVER)
        await site.pass_time(seconds - before)
        site.heal(names)
        await site.pass_time(CONTACT)
        found += site.using(LEAVER)

    play(plays, story)


@behave.then(
    "in each of {plays:d} plays none of {nodes:d} gateways in "
    "{data_centres:d} data centres uses it {seconds:g} seconds after its entry "
    "went, {cut:d} cut off"
)
def step_told(context, plays, nodes, data_centres, seconds, cut):
    async def story(site, found):
        await settled(site, nodes, data_centres)
        site.cut(site.rng.sample(list(site.nodes), cut))
        await site.pass_time(site.rng.uniform(SHORTEST, LONGEST))
        site.unregister(LEAVER)
        site.configure(NEWER)
        await site.pass_time(seconds)
        found += site.using(LEAVER)
        for node in site.nodes.values():
            if node.gateway.configurations.version() != NEWER:
                found.append(f"{node.name} has an old configuration")

    play(plays, story)


@behave.then(
    "in each of {plays:d} plays none of {nodes:d} gateways in "
    "{data_centres:d} data centres uses it {seconds:g} seconds after its entry "
    "went, the {who} cut off"
)
def step_some(context, plays, nodes, data_centres, seconds, who):
    async def story(site, found):
        await settled(site, nodes, data_centres)
        cut = []
        for node in site.nodes.values():
            if who == "first data centre" and node.data_centre == "dc-0":
                cut.append(node.name)
            elif who == "relay" and node.gateway.gossip.is_store_reader():
                cut = [node.name]
        site.cut(cut)
        await site.pass_time(site.rng.uniform(SHORTEST, LONGEST))
        site.unregister(LEAVER)
        await site.pass_time(seconds)
        found += site.using(LEAVER)

    play(plays, story)


@behave.then(
    "in each of {plays:d} plays all of {nodes:d} gateways in {data_centres:d} "
    "data centres use all replicas while the store is away and their entries "
    "come back"
)
def step_lapsed(context, plays, nodes, data_centres):
    async def story(site, found):
        await settled(site, nodes, data_centres)

        def look():
            for node in site.nodes.values():
                if node.uses("app") != set(REPLICAS):
                    found.append((node.name, site.clock(), node.uses("app")))

        site.watched = look
        site.cut(list(site.nodes))
        # Nobody writes to the store; as it returns their entries are gone.
        site.pause(*REPLICAS)
        await site.pass_time(site.rng.uniform(SHORTEST, LONGEST))
        site.unregister(*REPLICAS)
        site.heal(list(site.nodes))
        await site.pass_time(LAPSED)
        site.register(*REPLICAS)
        await site.pass_time(4.0)

    play(plays, story)


# Seconds for which a third of the gateways hear none of the others.
PARTED = {
    "do not hear each other": FORGOTTEN,
    "do not hear each other for long": LONG,
    "are cut off from all": LONG,
}


@behave.then(
    "in each of {plays:d} plays {nodes:d} gateways in {data_centres:d} data "
    "centres that {start} take no more repeats than the site has"
)
def step_repeats(context, plays, nodes, data_centres, start):
    async def story(site, found):
        worst = [0.0]

        def look():
            spare = 0.0
            for node in site.nodes.values():
                spare += node.gateway.budget.spare_retries(site.clock())
            worst[0] = max(worst[0], spare / site.spare)

        site.watched = look
        site.spare = max(site.spare, SPARE * nodes)
        site.configure(OLDER)
        site.register(*REPLICAS)
        site.start(nodes, data_centres)
        if start == "start with a store that is silent":
            site.cut(list(site.nodes))
        await site.pass_time(5.0)
        if start == "start again at once":
            await site.restart()
            await site.pass_time(5.0)
        if start in PARTED:
            part = list(site.nodes)[: nodes // 3]
            site.divide(part)
            if start == "are cut off from all":
                site.cut(part)
            await site.pass_time(PARTED[start])
        site.heal(list(site.nodes))
        await site.pass_time(3.0)
        if worst[0] > 1.0:
            found.append(round(worst[0], 2))

    play(plays, story)


@behave.then(
    "in each of {plays:d} plays {nodes:d} gateways in {data_centres:d} data "
    "centres that do not hear each other for long are all entered, and the "
    "dead are not"
)
def step_entered(context, plays, nodes, data_centres):
    async def story(site, found):
        await settled(site, nodes, data_centres)

        def look():
            entered = site.log.entered(names.NODES_TOPIC)
            if not found and not entered >= set(site.nodes):
                found.append((site.clock(), set(site.nodes) - entered))

        site.watched = look
        site.divide(list(site.nodes)[: nodes // 3])
        await site.pass_time(LONG)
        site.divide([])
        await site.pass_time(CONTACT)
        await site.kill(*site.rng.sample(list(site.nodes), 2))
        await site.pass_time(CLEARED)
        entered = site.log.entered(names.NODES_TOPIC)
        if entered != set(site.nodes):
            found.append(("dead", entered - set(site.nodes)))

    play(plays, story)
