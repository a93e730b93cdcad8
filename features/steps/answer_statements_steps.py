"""Steps on replicas whose answers say that they leave or ask for rest."""

import asyncio
import contextlib
import email.utils
import random
import time

import behave
from features.support import virtual_callers
from features.support import virtual_gateways
from features.support import virtual_statements

from gypsumfold import exceptions
from gypsumfold.decisions import role_changes
from gypsumfold.decisions import types as decision_types
from gypsumfold.gateway import connection_pool
from gypsumfold.gateway import directory as directory_module
from gypsumfold.gateway import types
from gypsumfold.platform import names
from gypsumfold.platform import replicas as replicas_module
from gypsumfold.platform import statements

SEED = 1
QUIET = 2.0
# Seconds for which replicas leave or ask for rest.
PLAYED = 8.0
REST = 3.0
RATE = 60.0
# Seconds until an entry lapses, and until it is back.
LAPSED = 1.0
REPLICA = types.Replica(
    "i-1", "lm", "10.0.0.1:80", "dc-0", 4, False, decision_types.Role.DECODE
)


async def disturb(site, replicas, trouble):
    """Brings the trouble with the store or between gateways."""
    if trouble == "the store is silent":
        site.cut(list(site.nodes))
    elif trouble == "gateways hear nothing":
        site.cut(list(site.nodes))
        site.loss = 1.0
    elif trouble == "the entry comes back":
        await site.pass_time(LAPSED)
        for replica in replicas:
            site.log.write(names.REGISTRATIONS_TOPIC, replica.instance, None)
        await site.pass_time(LAPSED)
    else:
        assert trouble == "the entry says ready"


@behave.then(
    "{count:d} {stage} replicas that say that they leave get no request 2 "
    "seconds later from {nodes:d} gateways while {trouble} and {share:d} in "
    "100 are served"
)
def step_leave(context, count, stage, nodes, trouble, share):
    site = virtual_gateways.Site(SEED)
    found = []
    shares = []

    async def story():
        callers = await virtual_callers.start_asking(site, nodes, RATE, QUIET)
        replicas = site.fleet.first(count, stage)
        for replica in replicas:
            replica.leaving = True
        begin = site.clock()
        await disturb(site, replicas, trouble)
        await site.pass_time(PLAYED)
        found.extend(virtual_statements.after_leaving(site.fleet, callers))
        shares.append(virtual_statements.served(callers, begin, site.clock()))

    site.play(story())
    assert site.fleet.told_leaving
    assert not found, (len(found), found[0])
    assert shares[0] >= share / 100, shares


@behave.then(
    "nobody uses a plain replica 2 seconds after it told one of {nodes:d} "
    "gateways that it leaves while the store is silent"
)
def step_spread(context, nodes):
    site = virtual_gateways.Site(SEED)
    found = []

    async def story():
        callers = await virtual_callers.start_asking(site, nodes, RATE, QUIET)
        (replica,) = site.fleet.first(1, "plain")
        site.cut(list(site.nodes))
        # Only callers of one gateway ask until it has been told.
        callers.spread = 1
        replica.leaving = True
        while not site.fleet.told_leaving:
            await site.pass_time(0.1)
        await site.pass_time(virtual_statements.LEAVING)
        callers.spread = None
        await site.pass_time(PLAYED)
        found.extend(
            virtual_statements.after_leaving(site.fleet, callers, True)
        )

    site.play(story())
    assert not found, (len(found), found[0])


@behave.then(
    "a gateway that passes such an answer on for another one sends the replica "
    "nothing 2 seconds later"
)
def step_hop(context):
    site = virtual_gateways.Site(SEED)
    found = []

    async def story():
        callers = await virtual_callers.start_asking(site, 2, RATE, QUIET)
        first = next(iter(site.nodes.values()))
        replicas = site.fleet.first(4, "plain")
        addresses = {replica.address for replica in replicas}
        first.endpoints.cut_addresses = set(addresses)
        await site.pass_time(QUIET)
        site.cut(list(site.nodes))
        # Datagrams tell nothing from here on; only the answers do.
        site.loss = 1.0
        replicas[0].leaving = True
        callers.spread = 1
        while not site.fleet.told_leaving:
            await site.pass_time(0.1)
        told = min(site.fleet.told_leaving.values())
        await site.pass_time(QUIET)
        first.endpoints.cut_addresses = set()
        await site.pass_time(PLAYED)
        for arrival in site.fleet.arrivals:
            late = callers.sent[arrival.attempt] > told + QUIET
            if late and arrival.instance == replicas[0].instance:
                found.append(arrival)

    site.play(story())
    assert not found, (len(found), found[0])


@behave.then(
    "what an earlier start of a replica said is dropped by a later start and "
    "never believed again"
)
def step_restarted(context):
    directory = directory_module.Directory(random.Random(SEED))
    first = REPLICA._replace(started_at=1000)
    second = REPLICA._replace(started_at=2000)
    said = types.Statement(time.monotonic(), leaving=True, backoff=REST)
    directory.put(first)
    directory.statements.record(first, said)
    assert not directory.eligible.is_usable("i-1")
    directory.put(first)
    assert not directory.eligible.is_usable("i-1"), "the entry took it back"
    directory.put(second)
    directory.statements.record(first, said)
    assert directory.eligible.is_usable("i-1")
    assert directory.eligible.engines("lm", False, time.monotonic())


@behave.then(
    "{count:d} {stage} replicas that ask for 3 seconds of rest get nothing "
    "within it from {nodes:d} gateways and {share:d} in 100 are served"
)
def step_rest(context, count, stage, nodes, share):
    site = virtual_gateways.Site(SEED)
    found = []
    shares = []

    async def story():
        callers = await virtual_callers.start_asking(site, nodes, RATE, QUIET)
        replicas = site.fleet.first(count, stage)
        for replica in replicas:
            replica.rest = REST
        begin = site.clock()
        await site.pass_time(PLAYED)
        found.extend(virtual_statements.in_rest(site.fleet))
        shares.append(virtual_statements.served(callers, begin, site.clock()))

    site.play(story())
    assert site.fleet.rests
    assert not found, (len(found), found[:3])
    assert shares[0] >= share / 100, shares


@behave.then(
    "of the requests refused while all {stage} replicas rest {share:d} in 100 "
    "are refused within {seconds:g} seconds and told the end of the rest"
)
def step_refused(context, stage, share, seconds):
    site = virtual_gateways.Site(SEED)
    quick = []
    told = []

    async def story():
        callers = await virtual_callers.start_asking(site, 2, RATE, QUIET)
        replicas = site.fleet.first(9, stage)
        for replica in replicas:
            replica.rest = REST
        await site.pass_time(0.5)
        begin = site.clock()
        own = callers.attempt

        async def attempt(kind, body, left):
            deadline = site.clock() + left
            end, wait = await own(kind, body, left)
            if end.status != 503 or end.at < begin:
                return end, wait
            process = id(site.nodes[end.gateway].endpoints)
            ends = virtual_statements.rest_ends(site.fleet, process, end.at)
            if len(ends) == len(replicas):
                quick.append(end.seconds <= seconds)
                left = deadline - site.clock()
                told.append((wait, min(ends.values()) - site.clock(), left))
            return end, wait

        callers.attempt = attempt
        await site.pass_time(PLAYED)

    site.play(story())
    assert quick
    assert sum(quick) >= share / 100 * len(quick), (sum(quick), len(quick))
    for wait, rests, left in told:
        # Where the rest outlasts the deadline its end is of no use.
        if 0.0 < rests <= left:
            assert abs(wait - rests) < 0.01, (wait, rests, left)
        else:
            assert wait <= max(0.0, left), (wait, rests, left)


@behave.then(
    "a decode engine whose rest has ended gets no more than twice the share of "
    "each other one in the next second"
)
def step_return(context):
    site = virtual_gateways.Site(SEED)
    counts = {}

    async def story():
        await virtual_callers.start_asking(site, 6, RATE, QUIET)
        (replica,) = site.fleet.first(1, "decode")
        replica.rest = REST
        while not site.fleet.rests:
            await site.pass_time(0.1)
        await site.pass_time(0.5)
        replica.rest = 0.0
        await site.pass_time(REST - 0.5)
        begin = max(one.at + one.seconds for one in site.fleet.rests)
        await site.pass_time(begin + 1.0 - site.clock())
        for one in site.fleet.first(9, "decode"):
            counts[one is replica, one.instance] = 0
        for arrival in site.fleet.arrivals:
            for key in counts:
                if arrival.instance == key[1] and arrival.at >= begin:
                    counts[key] += 1

    site.play(story())
    own = [count for key, count in counts.items() if key[0]]
    others = [count for key, count in counts.items() if not key[0]]
    assert own[0] <= 2 * sum(others) / len(others), counts


@behave.then(
    "an engine that rests is neither ordered to change its role, nor probed, "
    "nor counted as failing"
)
def step_neither(context):
    views = []
    for name in ("a", "b", "c"):
        views.append(
            role_changes.EngineView(
                name, "dc", decision_types.Role.PREFILL, backing_off=name != "c"
            )
        )
    changes = role_changes.plan_changes(views, 2)
    assert [change.engine for change in changes] == ["c"], changes
    directory = directory_module.Directory(random.Random(SEED))
    directory.put(REPLICA)
    now = time.monotonic()
    directory.statements.record(REPLICA, types.Statement(now, backoff=REST))
    directory.probes.request("i-1")
    assert not directory.probes.due(now)
    assert directory.probes.due(now + 2 * REST) == {"i-1"}
    assert "i-1" not in directory.health.failure_rates
    assert directory.liveness.count_usable("lm")["replicas"] == 1
    assert not directory.liveness.is_cut_off("lm")


def rest_of(status, value):
    """The rest that an answer asks for."""
    fields = ((names.RETRY_AFTER.encode(), value.encode()),)
    return statements.read("i-1", status, fields, 0.0).backoff


@behave.then(
    'a 503 with the Retry-After "{value}" asks for {seconds:g} seconds of rest'
)
def step_retry_after(context, value, seconds):
    if value.endswith("as a date"):
        at = time.time() + seconds
        value = email.utils.formatdate(at, usegmt=True)
    found = rest_of(503, value)
    # A date names whole seconds.
    assert seconds - 2 <= found <= seconds, found
    if not value.endswith("GMT"):
        assert found == seconds


@behave.then(
    "an answer with status {status:d} and a Retry-After of 3 asks for "
    "{seconds:g} seconds of rest"
)
def step_status(context, status, seconds):
    assert rest_of(status, "3") == seconds


@behave.then(
    "a request that is withheld once its connection is open leaves the "
    "connection to the next one"
)
def step_put_back(context):
    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        await writer.drain()

    async def story():
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        replica = REPLICA._replace(address=f"127.0.0.1:{port}")
        client = replicas_module.Replicas(connection_pool.Pool())
        report = replicas_module.REPORT
        checks = []

        def withhold(_):
            checks.append(client.pool.opened)
            if client.pool.opened and len(checks) == 2:
                raise exceptions.EndpointWithheld("rests")

        client.admission = withhold
        with contextlib.suppress(exceptions.EndpointWithheld):
            await client.ask(replica, report, "GET", "/")
            raise AssertionError("the request was sent")
        assert await client.ask(replica, report, "GET", "/") == (200, b"ok")
        assert client.pool.opened == 1
        client.pool.close()
        server.close()

    asyncio.run(story())
