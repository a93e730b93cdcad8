"""Steps on streams that break off while several versions serve."""

import functools
import random
import threading

import behave
from features.support import gateways
from features.support import http
from features.support import stream_readers
from features.support import virtual_callers
from features.support import virtual_engines
from features.support import virtual_gateways
from features.support import virtual_streams

from gypsumfold.decisions import role_changes
from gypsumfold.decisions import types as decision_types
from gypsumfold.gateway import directory as directory_module
from gypsumfold.gateway import types

# Seconds for which gateways learn what there is, and of a trouble.
SETTLING = 5.0
TROUBLE = 24.0
# Streams a second for each six gateways, and a bound on all.
RATE = 24.0
MAX_RATE = 60.0
# Seconds without power.
DARK = 3.0
# Decode and prefill engines.
GENERATORS = 8
READERS = 6
# Take-ups from which on the users' rule counts, and its share.
LEAST = 12
SHARE = 0.5
FIRST_SEED = 1
# Where gateways of a fleet export their metrics.
METRICS_PORT = 8093
# Events of a stand-in's stream and seconds between two.
EVENTS = 20
EVENT_SECONDS = 0.05


async def release(site):
    """Replaces half of the decode engines twice; three versions serve."""
    for version in ("v1.1", "v1.2"):
        await site.fleet.release(version, "decode", GENERATORS // 2)


async def crash_engines(site, streams):
    """Ends decode engines by turns."""
    for _ in range(int(TROUBLE / 2)):
        await site.pass_time(2.0)
        site.fleet.kill("decode")


async def reset_callers(site, streams):
    """Breaks off half of what runs at a third of the gateways, by turns."""
    for _ in range(int(TROUBLE / 2)):
        await site.pass_time(2.0)
        break_off(site)


def break_off(site):
    """Breaks off half of what runs at a third of the gateways."""
    nodes = list(site.nodes.values())
    for node in site.rng.sample(nodes, max(1, len(nodes) // 3)):
        for task in list(node.calls):
            if site.rng.random() < 0.5:
                task.cancel()


async def kill(site, streams, names, dark=0.0):
    """Ends gateways at once; they start again a moment later.

    Args:
        site: The site.
        streams: Gets the times of their starts.
        names: Which.
        dark: Seconds for which their VMs have no power.
    """
    nodes = [site.nodes.pop(name) for name in names]
    site.dark = {node.address for node in nodes} if dark else set()
    for node in nodes:
        await node.stop()
    await site.pass_time(dark)
    site.dark = set()
    await site.pass_time(0.5)
    for node in nodes:
        site.start_again(node)
        streams.started[node.name] = site.clock()


async def kill_gateways(site, streams):
    """Ends a third of the gateways at once, again and again."""
    for _ in range(int(TROUBLE / 4)):
        await site.pass_time(3.5)
        count = max(1, len(site.nodes) // 3)
        await kill(site, streams, site.rng.sample(list(site.nodes), count))


async def lose_power(site, streams):
    """Ends all gateways of a data centre at once, one after the other."""
    for number in range(3):
        await site.pass_time(TROUBLE / 3 - DARK)
        names = [
            name
            for name, node in site.nodes.items()
            if node.data_centre == f"dc-{number}"
        ]
        await kill(site, streams, names, DARK)


async def cut_store(site, streams):
    """Cuts a third of the gateways off from the store, and resets callers."""
    names = site.rng.sample(list(site.nodes), len(site.nodes) // 3)
    site.cut(names)
    await reset_callers(site, streams)
    site.heal(names)


async def part_gateways(site, streams):
    """Parts a third of the gateways from the others, and resets callers."""
    site.divide(site.rng.sample(list(site.nodes), len(site.nodes) // 3))
    await reset_callers(site, streams)
    site.divide([])


async def cut_replicas(site, streams):
    """Cuts a third of the gateways off from replicas, and resets callers."""
    names = site.rng.sample(list(site.nodes), len(site.nodes) // 3)
    for name in names:
        site.nodes[name].endpoints.cut = True
    await site.pass_time(virtual_streams.CONTACT)
    await reset_callers(site, streams)
    for name in names:
        site.nodes[name].endpoints.cut = False


async def cut_version(site, streams):
    """Cuts a third of the gateways off from one version, by turns."""
    for version in ("v1", "v1.1", "v1.2"):
        names = site.rng.sample(list(site.nodes), len(site.nodes) // 3)
        for name in names:
            site.nodes[name].endpoints.cut_versions = {version}
        for _ in range(4):
            await site.pass_time(2.0)
            break_off(site)
        for name in names:
            site.nodes[name].endpoints.cut_versions = set()


TROUBLES = {
    "engines that crash": crash_engines,
    "callers whose connections are reset": reset_callers,
    "gateways that are killed": kill_gateways,
    "gateways that are cut from the store": cut_store,
    "gateways that do not hear others": part_gateways,
    "gateways that reach no replica": cut_replicas,
    "gateways that reach no replica of a version": cut_version,
    "a data centre that loses power": lose_power,
}


@functools.cache
def play_one(seed, nodes, trouble):
    """Plays one seed; returns the streams of its callers."""

    async def story(site, found):
        site.fleet = virtual_engines.Fleet(site, READERS, GENERATORS, 2)
        callers = virtual_callers.Callers(site, site.fleet)
        callers.configure(3)
        site.fleet.start()
        site.start(nodes, 3)
        await site.pass_time(SETTLING)
        streams = virtual_streams.StreamCallers(callers)
        streams.keep_asking(min(MAX_RATE, RATE * nodes / 6))
        await site.pass_time(1.0)
        site.fleet.spawn(release(site))
        await TROUBLES[trouble](site, streams)
        await site.pass_time(virtual_streams.KIND[4])
        found.append(streams)

    site = virtual_gateways.Site(seed)
    found = []
    site.play(story(site, found))
    return found[0]


def play(plays, nodes, trouble):
    """Plays seeds; yields each with the streams of its callers."""
    for seed in range(FIRST_SEED, FIRST_SEED + plays):
        yield seed, play_one(seed, nodes, trouble)


@behave.then(
    "in each of {plays:d} plays of a release before {nodes:d} gateways with "
    "{trouble} no stream has events of two versions"
)
def step_one_version(context, plays, nodes, trouble):
    for seed, streams in play(plays, nodes, trouble):
        broken = streams.mixed() + streams.out_of_order()
        assert not broken, (
            f"seed {seed}: {len(broken)} of {len(streams.streams)} streams: "
            f"{broken[:5]}"
        )


@behave.then(
    "in each of {plays:d} plays of a release before {nodes:d} gateways with "
    "{trouble} callers take up streams at least half as often as new ones begin"
)
def step_taken_up(context, plays, nodes, trouble):
    for seed, streams in play(plays, nodes, trouble):
        count, went_on, began = streams.shares()
        assert count >= LEAST, (seed, count)
        assert went_on >= SHARE * began, (
            f"seed {seed}: {went_on:.2f} of {count} went on, "
            f"{began:.2f} of new ones began"
        )


@behave.given("two gateways before engines of two versions")
def step_two_versions(context):
    context.fleet = gateways.GatewayFleet()
    start_engines(context.fleet, ["v1", "v2", "v1", "v2"])


def start_engines(fleet, versions):
    """Starts decode engines of these versions and two gateways before them."""
    fleet.start_store()
    fleet.take_authority()
    wanted = [("reader-1", "prefill", "v1")]
    for number, version in enumerate(versions):
        wanted.append((f"decoder-{number}", "decode", version))
    for name, stage, version in wanted:
        options = ["--stage", stage, "--version", version]
        fleet.start_standin(name, "platform_replica", options)
    for name, stage, _ in wanted:
        fleet[name].until_ready("/_test/record")
        fleet.register(name, "lm")
        if stage == "decode":
            fleet[name].faults(events=EVENTS, event_seconds=EVENT_SECONDS)
    for name in ("edge-1", "edge-2"):
        fleet.start_gateway(name, first_start=True)
    for name, _, _ in wanted:
        fleet.until_known("edge-1", name)
        fleet.until_known("edge-2", name)
    for name in ("edge-1", "edge-2"):
        url = f"http://{fleet[name].host}:{METRICS_PORT}/metrics"
        gateways.until(
            lambda url=url: b"gypsumfold_nodes 2.0" in http.get(url).body,
            f"{name} does not know the other gateway",
        )


def read_all(readers, gateway, events):
    """Has all callers read at once."""
    threads = []
    for reader in readers:
        thread = threading.Thread(target=reader.read, args=(gateway, events))
        thread.start()
        threads.append(thread)
    for thread in threads:
        thread.join()


def check_streams(readers, count):
    """Checks that streams are whole, in order and of one version each."""
    found = [reader.versions() for reader in readers]
    assert all(len(versions) == 1 for versions in found), found
    assert all(reader.in_order() for reader in readers)
    whole = [len(reader.events) == EVENTS for reader in readers]
    assert sum(whole) == count, [len(reader.events) for reader in readers]


@behave.when(
    "callers read the begins of {count:d} streams at the first gateway and "
    "{what}"
)
def step_begin(context, count, what):
    readers = []
    for _ in range(count):
        readers.append(stream_readers.Reader(context.fleet))
    read_all(readers, "edge-1", 3)
    if what == "the first gateway is killed":
        context.fleet["edge-1"].kill()
    elif what == "the first gateway is told to stop":
        context.fleet["edge-1"].terminate()
    assert all(len(reader.events) >= 3 for reader in readers)
    context.readers = readers


@behave.when(
    "one engine of each version breaks off its next {breaks:d} streams and "
    "callers read {count:d} streams at the first gateway"
)
def step_break_off(context, breaks, count):
    for name in ("decoder-0", "decoder-1"):
        context.fleet[name].faults(broken=breaks)
    context.readers = []
    for _ in range(count):
        context.readers.append(stream_readers.Reader(context.fleet))
    read_all(context.readers, "edge-1", EVENTS)


@behave.then("{count:d} callers have whole streams, each of one version")
def step_whole(context, count):
    check_streams(context.readers, count)


@behave.then(
    "{count:d} callers go on at the second gateway, each at the version that "
    "began"
)
def step_went_on(context, count):
    read_all(context.readers, "edge-2", EVENTS)
    check_streams(context.readers, count)


def engine_views(versions, role):
    """Engines of some versions, each in a data centre of its own."""
    views = []
    for number, version in enumerate(versions.split(", ")):
        name = f"{role}-{number}"
        views.append(role_changes.EngineView(name, name, role, version=version))
    return views


@behave.when(
    '{wanted:d} decode engines are wanted where "{decoding}" decode and '
    '"{reading}" prefill'
)
def step_plan(context, wanted, decoding, reading):
    views = engine_views(decoding, decision_types.Role.DECODE)
    views += engine_views(reading, decision_types.Role.PREFILL)
    roles = {view.name: view.role for view in views}
    for change in role_changes.plan_changes(views, wanted):
        roles[change.engine] = change.role
    context.versions = []
    for view in views:
        if roles[view.name] == decision_types.Role.DECODE:
            context.versions.append(view.version)


@behave.then('the versions of the decode engines are "{versions}"')
def step_versions(context, versions):
    assert sorted(context.versions) == versions.split(", "), context.versions


@behave.given('decode engines of the versions "{versions}"')
def step_decoders(context, versions):
    context.engines = []
    for number, version in enumerate(versions.split(", ")):
        name = f"i-{number}"
        context.engines.append(
            types.Replica(name, "lm", name, "dc", 8, False, version=version)
        )


def version_of_next(engines, difference):
    """The version of the next stream where v2 is fuller by a difference."""
    directory = directory_module.Directory(random.Random(1))
    for engine in engines:
        directory.put(engine)
        if engine.version == "v2":
            directory.streams.add(engine.instance, difference)
    return directory.choice.least_loaded(engines, "dc").version


@behave.then(
    "new streams go to v2 while its engines are at most {most:g} fuller than "
    "that of v1"
)
def step_prefers_pair(context, most):
    for difference in (0.0, most / 2, most - 0.01):
        found = version_of_next(context.engines, difference)
        assert found == "v2", (difference, found)


@behave.then("new streams go to v1 once the engines of v2 are {more:g} fuller")
def step_spreads(context, more):
    assert version_of_next(context.engines, more) == "v1"
