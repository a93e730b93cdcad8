"""Steps on streams that are taken up after all gateways were killed."""

import asyncio
import functools
import json
import time
from unittest import mock

import behave
from features.steps import stream_origins_steps
from features.steps import stream_versions_steps
from features.support import gateways
from features.support import stream_readers
from features.support import virtual_callers
from features.support import virtual_engines
from features.support import virtual_gateways
from features.support import virtual_store
from features.support import virtual_streams

from gypsumfold.decisions import software_versions
from gypsumfold.gateway import steady_records
from gypsumfold.platform import names

RATE = 20.0
# Engines that prefill and that decode.
READERS = 2
GENERATORS = 4
# Seconds before callers come, and after each kill.
SETTLING = 6.0
BETWEEN = 6.0
KILLS = 2
# Seconds from a gateway's start for which take-ups there are counted.
COUNTED = 5.0
SHARE = 0.5
LEAST = 12
# Tenths of a second that a release may take.
LONGEST_RELEASE = 1000
V1 = frozenset(["v1"])
STREAMS = 8


async def change_versions(site, versions):
    """Makes the versions be as a play wants them at its first kill."""
    fleet = site.fleet
    if versions == "one version":
        return
    if versions == "a second version that has come":
        await fleet.release("v1.1", "decode", 1)
    elif versions == "a release halfway":
        fleet.spawn(release_all(fleet))
        await site.pass_time(8.0)
    elif versions == "an old version that has just gone":
        fleet.spawn(release_all(fleet))
        for _ in range(LONGEST_RELEASE):
            await site.pass_time(0.1)
            stream_versions_steps.break_off(site)
            if not has_version(fleet, "v1"):
                return
        raise AssertionError("v1 is still there")
    else:
        assert versions == "an old version that goes meanwhile", versions
        fleet.spawn(release_all(fleet))
        for _ in range(LONGEST_RELEASE):
            await site.pass_time(0.1)
            if not fleet.serving("v1"):
                return
        raise AssertionError("v1 still serves")


async def release_all(fleet):
    """Replaces all engines by ones of another version."""
    await fleet.release("v1.1", "prefill", READERS)
    await fleet.release("v1.1", "decode", GENERATORS)


def has_version(fleet, version):
    """Whether a replica of a version still runs, or drains."""
    for replica in fleet.replicas.values():
        if replica.stage != "decode" or not replica.alive:
            continue
        if replica.version == version:
            return True
    return False


@functools.cache
def play_one(seed, nodes, versions, dark, how):
    """Plays one seed; returns the streams of its callers."""

    async def story(site, found):
        site.fleet = virtual_engines.Fleet(site, READERS, GENERATORS, 2)
        callers = virtual_callers.Callers(site, site.fleet)
        callers.configure(3)
        site.fleet.start()
        site.start(nodes, 3)
        await site.pass_time(SETTLING)
        streams = virtual_streams.StreamCallers(callers)
        streams.names_attempt = how == "name their attempt"
        streams.is_balanced = True
        streams.keep_asking(RATE)
        await site.pass_time(1.0)
        await change_versions(site, versions)
        for _ in range(KILLS):
            await stream_versions_steps.kill(
                site, streams, list(site.nodes), dark
            )
            await site.pass_time(BETWEEN)
        await site.pass_time(virtual_streams.KIND[4])
        found.append(streams)

    site = virtual_gateways.Site(seed)
    found = []
    site.play(story(site, found))
    return found[0]


@behave.then(
    "in each of {plays:d} plays with {versions} and all gateways killed for "
    "{dark:g} s, callers that {how} have streams of one version"
)
def step_one_version(context, plays, versions, dark, how):
    for seed in range(1, plays + 1):
        streams = play_one(seed, 6, versions, dark, how)
        assert len(streams.take_ups) >= LEAST, (seed, len(streams.take_ups))
        broken = streams.mixed() + streams.out_of_order()
        assert not broken, (
            f"seed {seed}: {len(broken)} of {len(streams.streams)} streams: "
            f"{broken[:5]}"
        )


@behave.then(
    "in each of {plays:d} plays of {nodes:d} gateways with one version, all "
    "killed for {dark:g} s, callers that {how} take up streams at least half "
    "as often as new ones begin"
)
def step_go_on(context, plays, nodes, dark, how):
    for seed in range(1, plays + 1):
        streams = play_one(seed, nodes, "one version", dark, how)
        went_on = []
        for one in streams.take_ups:
            since = one.at - streams.started.get(one.gateway, -COUNTED)
            if since < COUNTED:
                went_on.append(one.went_on)
        began = []
        for at, gateway, came in streams.begun:
            if at - streams.started.get(gateway, -COUNTED) < COUNTED:
                began.append(came)
        share = sum(went_on) / len(went_on)
        assert len(went_on) >= LEAST, (seed, len(went_on))
        assert share >= SHARE * sum(began) / len(began), (
            f"seed {seed}: {share:.2f} of {len(went_on)} went on"
        )


def resolve_unnamed(context):
    """Resolves a stream whose caller names no attempt."""
    call = stream_origins_steps.make_call("attempt-2", "")
    route = stream_origins_steps.make_route("lm")
    return stream_origins_steps.resolve(context, call, route)


@behave.then("a stream whose caller names no attempt goes on at v1")
def step_unnamed_goes_on(context):
    assert resolve_unnamed(context) == stream_origins_steps.V1


@behave.then("a stream whose caller names no attempt is refused")
def step_unnamed_refused(context):
    assert resolve_unnamed(context) is None


class Starting:
    """One gateway's records of steady values, in virtual time."""

    def __init__(self, site, is_first_start=False):
        self.path = virtual_store.Path()
        store = virtual_store.Store(site.log, self.path)
        self.table = software_versions.SteadyValues()
        self.records = steady_records.SteadyRecords(
            store, {"service": self.table}, is_first_start
        )
        self.records.clock = site.clock
        self.task = None

    def start(self):
        """Starts the task."""
        self.task = asyncio.create_task(self.records.run())

    async def end(self):
        """Ends it."""
        await virtual_gateways.cancelled([self.task])


def stored(site):
    """The last record in the store."""
    return json.loads(site.log.topics[names.STEADY_TOPIC][-1].value)


@behave.when(
    'a gateway stores that "lm" has had "v1" for {age:d} s and one starts '
    "where {what}"
)
def step_takes_over(context, age, what):
    site = virtual_gateways.Site(1)
    context.site = site

    async def story():
        first = Starting(site, True)
        first.start()
        first.table.observe("lm", V1, site.clock())
        await asyncio.sleep(age - 1.0)
        if what == '"v2" has come and gone meanwhile':
            first.table.observe("lm", V1 | {"v2"}, site.clock())
            await asyncio.sleep(0.01)
            first.table.observe("lm", V1, site.clock())
        await asyncio.sleep(1.0)
        await first.end()
        if what == "the store has returned from a copy":
            site.log.go_back(1.0)
        if what == "the record can't be read":
            site.log.write(names.STEADY_TOPIC, "service/lm", [1, 2])
        if what == "the record is of the future":
            record = {**stored(site), "since": site.clock() + 60.0}
            site.log.write(names.STEADY_TOPIC, "service/lm", record)
        second = Starting(site)
        values = V1 | {"v2"} if "registered too" in what else V1
        second.table.observe("lm", values, site.clock())
        second.start()
        await asyncio.sleep(1.0)
        steady = second.table.found["lm"]
        context.age = site.clock() - steady.since
        context.values = steady.value
        await second.end()

    site.play(story())


@behave.then("it knows one version for at least {known:d} s")
def step_known(context, known):
    if known:
        assert context.values == V1, context.values
        assert context.age >= known, context.age
        return
    limit = software_versions.STREAM_LIFE_SECONDS
    assert context.values != V1 or context.age < limit / 2, context.age


@behave.when(
    'a gateway starts while the store is away for {away:d} s and "lm" has had '
    '"v1" for {age:d} s'
)
def step_reads_first(context, away, age):
    site = virtual_gateways.Site(1)

    async def story():
        first = Starting(site, True)
        first.start()
        first.table.observe("lm", V1, site.clock())
        await asyncio.sleep(age)
        await first.end()
        before = stored(site)
        second = Starting(site)
        second.path.refuses = True
        second.table.observe("lm", V1, site.clock())
        second.start()
        await asyncio.sleep(away)
        second.path.refuses = False
        await asyncio.sleep(10.0)
        await second.end()
        context.records = before, stored(site)

    site.play(story())


@behave.then("the store still says so {seconds:d} s later")
def step_still_stored(context, seconds):
    before, after = context.records
    assert after == before, (before, after)


@behave.then(
    "a stream that nobody remembers goes on at a service of one version from "
    "its start"
)
def step_first_start(context):
    clock = virtual_gateways.Clock()
    context.clock = clock
    with mock.patch("time.monotonic", clock):
        origins = stream_origins_steps.make_origins()
        origins.start_with_system()
        route = stream_origins_steps.make_route("lm")
        configuration = stream_origins_steps.configuration(route)
        origins.observe_configuration(configuration)
        origins.directory.put(stream_origins_steps.replica("i-1", "v1"))
        clock.now += 1.0
    context.origins = origins
    assert resolve_unnamed(context) == stream_origins_steps.V1
    with mock.patch("time.monotonic", clock):
        origins.directory.put(stream_origins_steps.replica("i-2", "v2"))
        clock.now += 1.0
        origins.directory.drop("i-2", 0.0, clock.now)
    assert resolve_unnamed(context) is None


@behave.given("two gateways before engines of one version")
def step_engines(context):
    fleet = gateways.GatewayFleet()
    context.fleet = fleet
    stream_versions_steps.start_engines(fleet, ["v1"] * 4)


@behave.when(
    "callers that {how} read the begins of {count:d} streams and all gateways "
    "are killed and start again"
)
def step_killed(context, how, count):
    fleet = context.fleet
    # A record younger than the clocks' error says nothing.
    time.sleep(steady_records.CLOCK_ERROR_SECONDS)
    context.readers = [stream_readers.Reader(fleet) for _ in range(count)]
    for reader in context.readers:
        reader.names_attempt = how == "name their attempt"
    stream_versions_steps.read_all(context.readers, "edge-1", 3)
    for name in ("edge-1", "edge-2"):
        fleet[name].kill()
    for name in ("edge-1", "edge-2"):
        fleet.start_gateway(name)
    for name in ("edge-1", "edge-2"):
        for replica in fleet.entries:
            fleet.until_known(name, replica)
    assert all(len(reader.events) >= 3 for reader in context.readers)


@behave.then("the streams go on to their end")
def step_went_on(context):
    gateways.until(
        lambda: context.fleet["edge-2"].events(248),
        "edge-2 has taken nothing over",
    )
    stream_versions_steps.read_all(
        context.readers, "edge-2", stream_versions_steps.EVENTS
    )
    stream_versions_steps.check_streams(context.readers, STREAMS)


@behave.then("the streams are refused at once, and none is mixed")
def step_refused(context):
    before = [len(reader.events) for reader in context.readers]
    stream_versions_steps.read_all(
        context.readers, "edge-2", stream_versions_steps.EVENTS
    )
    assert {reader.status for reader in context.readers} == {503}
    assert [len(reader.events) for reader in context.readers] == before
    assert all(len(reader.versions()) == 1 for reader in context.readers)
