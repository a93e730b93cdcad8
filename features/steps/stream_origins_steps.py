"""Steps on the origins of streams and their bounds."""

import asyncio
import contextlib
import random
import time
from unittest import mock

import behave
from features.support import gateways
from features.support import virtual_callers
from features.support import virtual_engines
from features.support import virtual_gateways
from features.support import virtual_streams

from gypsumfold import exceptions
from gypsumfold import outcomes
from gypsumfold.decisions import bandwidth
from gypsumfold.decisions import members
from gypsumfold.decisions import routes
from gypsumfold.decisions import software_versions
from gypsumfold.decisions import stream_origins
from gypsumfold.gateway import directory as directory_module
from gypsumfold.gateway import origins as origins_module
from gypsumfold.gateway import progress as progress_module
from gypsumfold.gateway import types
from gypsumfold.gateway.peers import origin_queries
from gypsumfold.gateway.peers import origin_updates

V1 = stream_origins.Origin("lm", "v1")
V2 = stream_origins.Origin("lm", "v2")
OLD = software_versions.STREAM_LIFE_SECONDS + 30.0
KEY = stream_origins.stream_key("", "attempt-1")
# Seconds that a question to a VM without power hangs.
LIMIT = 9.0


def make_route(*services):
    """A resumable route, split evenly between services."""
    targets = tuple(routes.Target(service, 1.0) for service in services)
    return routes.Route(
        name="swaps",
        host=gateways.HOST,
        prefix="/swaps/",
        kind=routes.Kind.STREAMING,
        limit=6.0,
        objective=0.2,
        urgency=1,
        attempts=2,
        targets=targets,
        resumable=True,
    )


def make_call(attempt, resumes, account=""):
    """A call that takes a stream up."""
    return types.Call(
        id=attempt,
        method="POST",
        target="/swaps/1",
        host=gateways.HOST,
        fields=(),
        body=b"x",
        arrival=0.0,
        deadline=1e9,
        account=account,
        resumes=resumes,
        last_event="3",
    )


def configuration(route):
    """A configuration with one route."""
    return types.Configuration(
        7, routes.RouteTable([route]), {}, types.Limits()
    )


@behave.when('two streams of one id begin at "v1" and "v2"')
def step_twice(context):
    context.memory = stream_origins.StreamOrigins()
    context.memory.put(KEY, V1, 1.0)
    context.memory.put(KEY, V2, 2.0)
    context.memory.put(KEY, V1, 3.0)


@behave.when(
    'two streams of one id begin at "v1" and "v2" and each has {count:d} events'
)
def step_twice_events(context, count):
    origins = make_origins()
    context.announced = []
    origins.announce = lambda key, origin: context.announced.append(origin)
    for origin in (V1, V2):
        progress = progress_module.Progress(make_call("attempt-1", ""))
        progress.stream_key = KEY
        progress.origin = origin
        for _ in range(count):
            origins.begin(progress)


@behave.then("{count:d} announcements were made")
def step_announced(context, count):
    assert len(context.announced) == count, len(context.announced)


@behave.when(
    "a stream begins while no other gateway is known and one is known later"
)
def step_known_later(context):
    context.sender = mock.Mock()
    context.sender.send_origins.return_value = 112
    known = []
    updates = origin_updates.OriginUpdates(
        context.sender, bandwidth.Bandwidth(1000.0, 0.05), lambda: known
    )
    updates.add(KEY, V1)
    known.append(members.Member("edge-2-1", "edge-2", "dc", ("10.0.0.2", 1)))
    updates.send(time.monotonic())


@behave.then("the other gateway is sent its origin")
def step_sent(context):
    groups, receivers = context.sender.send_origins.call_args.args
    assert [(g.service, g.version, g.keys) for g in groups] == [(*V1, [KEY])]
    assert [member.node for member in receivers] == ["edge-2"]


@behave.then("no version fits the stream")
def step_none_fits(context):
    found = context.memory.find(KEY, 4.0)
    assert not found.fits("v1") and not found.fits("v2"), found
    assert not found.fits(None), found


@behave.when('a stream of the account "{account}" begins at "v1"')
def step_account(context, account):
    context.memory = stream_origins.StreamOrigins()
    key = stream_origins.stream_key(account, "attempt-1")
    context.memory.put(key, V1, 1.0)


@behave.then('the account "{account}" finds no origin under its id')
def step_other_account(context, account):
    key = stream_origins.stream_key(account, "attempt-1")
    assert context.memory.find(key, 2.0) is None


@behave.when("{count:d} streams begin within a second")
def step_flood(context, count):
    context.memory = stream_origins.StreamOrigins()
    for key in range(count):
        context.memory.put(key, V1, 100.0 + key / count)


@behave.then("at most {most:d} origins are remembered")
def step_bounded(context, most):
    assert len(context.memory) <= most, len(context.memory)
    assert context.memory.find(249_999, 101.0) == V1


@behave.when("a stream begins and {seconds:d} seconds pass while {what}")
def step_pass(context, seconds, what):
    clock = virtual_gateways.Clock()
    with mock.patch("time.monotonic", clock):
        origins = make_origins()
        progress = progress_module.Progress(make_call("attempt-1", ""))
        progress.stream_key = KEY
        progress.origin = V1
        origins.begin(progress)
        if what != "the stream is running":
            origins.end(progress)
        for _ in range(seconds):
            clock.now += 1.0
            origins.renew(clock.now)
            origins.memory.put(int(clock.now), V2, clock.now)
        context.found = origins.memory.find(KEY, clock.now)


@behave.then("its origin is {known}")
def step_known(context, known):
    assert context.found == (V1 if known == "known" else None), context.found


def make_origins():
    """Origins of a gateway without peers."""
    directory = directory_module.Directory(random.Random(1))
    return origins_module.Origins(directory)


def replica(instance, version, started_at=1):
    """A registered decode engine."""
    return types.Replica(
        instance,
        "lm",
        instance,
        "dc",
        8,
        False,
        started_at=started_at,
        version=version,
    )


def change_versions(what, origins, clock):
    """Makes what may have happened to a service happen."""
    directory = origins.directory
    if what == "its replica registers again":
        directory.put(replica("i-1", "v1"))
    elif what == '"v2" registers too':
        directory.put(replica("i-2", "v2"))
    elif what == '"v2" replaced it a moment ago':
        directory.put(replica("i-2", "v2"))
        directory.drop("i-1", 0.0, clock.now)
    elif what == '"v2" has come and gone a moment ago':
        directory.put(replica("i-2", "v2"))
        directory.drop("i-2", 0.0, clock.now)
    elif what == "all replicas were gone for a moment":
        directory.drop("i-1", 0.0, clock.now)
        directory.put(replica("i-3", "v1"))
    elif what == "a replica started again under its id":
        state = types.State(None, False, 0, 0, 0, started_at=2)
        assert directory.receive_state("i-1", state)
    elif what == "the registrations are 3 seconds old":
        origins.registrations_age = lambda: 3.0
    elif what == "the route led to another service a moment ago":
        origins.observe_configuration(configuration(make_route("lm-2")))
        origins.observe_configuration(configuration(make_route("lm")))
    else:
        assert what == "nothing changes", what


@behave.given('a service with "v1" for {seconds:d} seconds where {what}')
def step_service(context, seconds, what):
    clock = virtual_gateways.Clock()
    context.clock = clock
    with mock.patch("time.monotonic", clock):
        origins = make_origins()
        origins.observe_configuration(configuration(make_route("lm")))
        origins.directory.put(replica("i-1", "v1"))
        clock.now += seconds
        change_versions(what, origins, clock)
        clock.now += 1.0
    context.origins = origins


def resolve(context, call, route):
    """Resolves a stream; None if it is refused as not run."""
    with mock.patch("time.monotonic", context.clock):
        try:
            return asyncio.run(context.origins.resolve(call, route))
        except exceptions.Unavailable as error:
            assert error.outcome == outcomes.Outcome.NOT_RUN
            return None


@behave.then("a stream that nobody remembers goes on at v1")
def step_goes_on(context):
    call = make_call("attempt-2", "attempt-1")
    assert resolve(context, call, make_route("lm")) == V1


@behave.then("a stream that nobody remembers is refused")
def step_refused(context):
    call = make_call("attempt-2", "attempt-1")
    assert resolve(context, call, make_route("lm")) is None


@behave.when("a caller takes up {count:d} made-up streams in a second")
def step_made_up_ids(context, count):
    clock = virtual_gateways.Clock()
    client = mock.AsyncMock()
    client.fetch.side_effect = exceptions.PeerRefused("unknown")
    origins = make_origins()
    member = members.Member("edge-2-1", "edge-2", "dc", ("10.0.0.2", 1))
    asked = origin_queries.OriginQueries(
        client, origins, lambda: [member], lambda: [], lambda: []
    )

    async def ask_all():
        for number in range(count):
            clock.now += 1.0 / count
            assert await asked.ask(number, "swaps") is None

    with mock.patch("time.monotonic", clock):
        asyncio.run(ask_all())
    context.asked = client.fetch.call_count


@behave.then("the other gateways are asked at most {most:d} times each")
def step_asked(context, most):
    assert 0 < context.asked <= most, context.asked


@behave.given("a gateway that asks its relay, which asks a relay without power")
def step_dead_relay(context):
    relay_member = members.Member("edge-2-1", "edge-2", "dc", ("10.0.0.2", 1))
    dead_member = members.Member("edge-3-1", "edge-3", "dc-2", ("10.0.0.3", 1))

    async def hang(address, path):
        await asyncio.sleep(LIMIT)

    dead = mock.Mock(fetch=hang)
    relay = origin_queries.OriginQueries(
        dead, make_origins(), lambda: [], lambda: [dead_member], lambda: []
    )
    relay.origins.memory.put(KEY, V1, time.monotonic())

    async def fetch(address, path):
        found = await relay.answer(path)
        if not found:
            raise exceptions.PeerRefused(path)
        return found

    link = mock.Mock(fetch=fetch)
    context.gateway = origin_queries.OriginQueries(
        link, make_origins(), lambda: [relay_member], lambda: [], lambda: []
    )


@behave.when(
    "it asks for a stream that nobody knows and then for one that its relay "
    "keeps"
)
def step_ask_twice(context):
    async def ask():
        assert await context.gateway.ask(KEY + 1, "swaps") is None
        return await context.gateway.ask(KEY, "swaps")

    context.found = asyncio.run(ask())


@behave.then("it is told what began the second one")
def step_found(context):
    assert context.found == V1, context.found


@behave.given('a route that is split between "lm" and "lm-2"')
def step_split(context):
    site = virtual_gateways.Site(1)
    context.site = site


@behave.when('a stream of "lm-2" is taken up by {count:d} attempts and {what}')
def step_split_taken_up(context, count, what):
    services = ("lm", "lm-2") if what == "the route stays" else ("lm",)
    route = make_route(*services)
    site = context.site
    site.fleet = virtual_engines.Fleet(site, 1, 1, 1)
    context.ends = []

    async def story():
        site.start(1)
        await site.pass_time(1.0)
        gateway = site.nodes["edge-0"].gateway
        origin = stream_origins.Origin("lm-2", "v1")
        gateway.origins.memory.put(KEY, origin, site.clock())
        for number in range(count):
            call = make_call(f"attempt-{number + 2}", "attempt-1")
            progress = progress_module.Progress(call)
            try:
                await gateway.handler.take_up(route, progress)
                context.ends.append((progress.service, progress.origin.version))
            except exceptions.Unavailable as error:
                context.ends.append(error.outcome)

    site.play(story())


@behave.then('all of them are tied to "lm-2" and "v1"')
def step_tied(context):
    assert set(context.ends) == {("lm-2", "v1")}, context.ends


@behave.then("all of them are refused as not run")
def step_all_refused(context):
    assert set(context.ends) == {outcomes.Outcome.NOT_RUN}, context.ends


@behave.then(
    "a request that crashes engines and is tied to one of {count:d} of a "
    "version leaves one of them"
)
def step_spares_last(context, count):
    site = virtual_gateways.Site(1)
    least = []

    async def story():
        site.fleet = virtual_engines.Fleet(site, 2, count, 1)
        callers = virtual_callers.Callers(site, site.fleet)
        callers.configure(3)
        site.fleet.start()
        site.start(3)
        await site.pass_time(5.0)
        site.fleet.crashing.add(b"crashes")
        for node in site.nodes.values():
            node.gateway.origins.memory.put(KEY, V1, site.clock())
        for _ in range(20):
            call = callers.call(virtual_streams.KIND, b"crashes", 2.0)
            call = call._replace(resumes="attempt-1", last_event="3")
            node = site.rng.choice(list(site.nodes.values()))
            reply = virtual_callers.Reply()
            with contextlib.suppress(
                exceptions.RequestError, exceptions.AnswerBroken
            ):
                await callers.served(node, call, reply)
            least.append(site.fleet.serving("v1"))
            await site.pass_time(0.1)

    site.play(story())
    assert site.fleet.crashes, "nothing crashed"
    assert min(least) >= 1, least
