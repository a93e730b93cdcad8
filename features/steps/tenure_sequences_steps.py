"""Steps on single sequences of events around the begin of a tenure."""

import asyncio
import types

import aiohttp
import behave
from features.steps import two_holders_steps
from features.support import virtual_gateways
from features.support import virtual_group
import msgspec

from gypsumfold.decisions import eras
from gypsumfold.decisions import tenures
from gypsumfold.gateway.peers import queries
from gypsumfold.gateway.peers import seals
from gypsumfold.gateway.peers import tenure_queries
from gypsumfold.platform import names

SEED = 1
# Seconds until a gateway acts, between the members' changes, and for which
# gateways are watched.
SETTLED = 2.0
CHANGE = 1.0
WATCHED = 20.0


class Group(virtual_group.Group):
    """The store's group, which may return without all that it had."""

    def __init__(self, site):
        super().__init__(site)
        self.era = 0

    def return_empty(self):
        """Begins a new era without members, records and generations."""
        self.era += 1
        self.lapse()
        self.topics.clear()
        self.generation = eras.token(self.era, 0)
        self.joined_in = 0


class Client(virtual_group.Client):
    """One node's calls, which learns of a new era with the next answer."""

    def __init__(self, group):
        super().__init__(group)
        self.eras = types.SimpleNamespace(listeners=[], current=group.era)

    async def call(self, name, *arguments):
        """Makes one call."""
        found = await super().call(name, *arguments)
        if self.eras.current < self.group.era:
            self.eras.current = self.group.era
            for listener in self.eras.listeners:
                listener()
        return found


class Gateway(two_holders_steps.Gateway):
    """A gateway whose store has eras."""

    def __init__(self, site, group, name, arrivals, gateways):
        self.name = name
        self.gateways = gateways
        self.site = site
        self.arrivals = arrivals
        self.store = Client(group)
        self.runs = asyncio.Event()
        self.runs.set()
        self.leadership = two_holders_steps.make(site, self.store, name)
        self.leadership.claims.has_ended = self.ask
        self.tasks = [
            asyncio.create_task(self.leadership.run()),
            asyncio.create_task(self.order()),
        ]


@behave.given(
    "{count:d} gateways that started with the whole system, one of which acts"
)
def step_started(context, count):
    context.site = virtual_gateways.Site(SEED)
    context.group = Group(context.site)
    context.arrivals = []
    context.gateways = {}

    async def start():
        for number in range(count):
            name = f"edge-{number + 1}"
            context.gateways[name] = Gateway(
                context.site,
                context.group,
                name,
                context.arrivals,
                context.gateways,
            )
        await asyncio.sleep(SETTLED)

    context.start = start


async def end(context):
    """Ends all gateways."""
    for gateway in context.gateways.values():
        gateway.leadership.claims.forget()
        await virtual_gateways.cancelled([*gateway.tasks, *gateway.store.tasks])


@behave.when(
    "the one that acts is cut off and the store returns without members and "
    "tenures"
)
def step_returned(context):
    async def story():
        await context.start()
        holder = context.gateways[context.group.holder]
        await holder.leadership.renew_now()
        context.holder = holder.name
        context.ends_at = holder.leadership.valid_until
        holder.store.cut = True
        context.group.return_empty()
        await asyncio.sleep(WATCHED)
        await end(context)

    context.site.play(story())


@behave.then(
    "no gateway acts until the permission of the one that acted has ended"
)
def step_waits(context):
    others = [one for one in context.arrivals if one[1] != context.holder]
    assert others, "nobody acts"
    begun_at = others[0][0]
    both = [one for one in context.arrivals if one[1] == context.holder]
    both = [one for one in both if one[0] > begun_at]
    assert begun_at >= context.ends_at, (others[0], context.ends_at, both)


@behave.when(
    "the one that acts dies and another member joins and leaves every "
    "{seconds:g} s"
)
def step_dies(context, seconds):
    async def story():
        await context.start()
        holder = context.gateways[context.group.holder]
        context.holder = holder.name
        context.died_at = context.site.clock()
        await virtual_gateways.cancelled(holder.tasks)
        holder.store.cut = True
        holder.runs.clear()
        for _ in range(int(WATCHED / seconds)):
            context.group.assign("edge-9", seconds + CHANGE, 0)
            await asyncio.sleep(seconds / 2)
            context.group.remove("edge-9")
            await asyncio.sleep(seconds / 2)
        await end(context)

    context.site.play(story())


@behave.then("another gateway acts within {seconds:g} s")
def step_acts(context, seconds):
    others = [one for one in context.arrivals if one[1] != context.holder]
    assert others, "nobody acts"
    waited = others[0][0] - context.died_at
    assert waited <= seconds, waited


def give(group, name):
    """Gives the partition to a member."""
    group.holder = name
    group.joined_in = 0
    group.generation += 1


async def reached(condition):
    """Waits until a condition holds."""
    for _ in range(int(WATCHED / 0.01)):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("the condition does not come to hold")


async def come_and_go(context, seconds):
    """Lets another member join and leave again and again."""
    stop_at = context.site.clock() + seconds
    while context.site.clock() < stop_at:
        context.group.assign("edge-9", CHANGE, 0)
        await asyncio.sleep(CHANGE / 2)
        context.group.remove("edge-9")
        await asyncio.sleep(CHANGE / 2)


@behave.when(
    "the one that acts is cut off, members come and go for {waited:g} s, and "
    "it is back for {seconds:g} s"
)
def step_back(context, waited, seconds):
    async def story():
        await context.start()
        former = context.gateways[context.group.holder]
        others = [one for one in context.gateways.values() if one != former]
        waiting = others[0].leadership
        former.store.cut = True
        former.leadership.claims.has_ended = no_answer
        waiting.claims.has_ended = no_answer
        await reached(lambda: waiting.claims.assigned_at is not None)
        await come_and_go(context, waited)
        renewed_at = waiting.renewed_at
        await reached(lambda: waiting.renewed_at > renewed_at)
        former.store.cut = False
        give(context.group, former.name)
        context.group.members[former.name] = context.site.clock() + 3.0
        await former.leadership.renew_now()
        await asyncio.sleep(seconds)
        former.store.cut = True
        give(context.group, others[0].name)
        await asyncio.sleep(WATCHED)
        await end(context)

    context.site.play(story())


async def no_answer(tenure, generation):
    """Stands for a gateway that can't be asked."""
    return False


@behave.then("no two gateways act by turns, and tokens never go down")
def step_no_turns(context):
    tokens = [token for _, _, token in context.arrivals]
    found = two_holders_steps.turns(context.arrivals)
    assert tokens == sorted(tokens) and not found, (found, context.arrivals)


@behave.when(
    "the one that acts is cut off and the store returns with an ended tenure "
    "as the other reads"
)
def step_returned_as_read(context):
    async def story():
        await context.start()
        group = context.group
        holder = context.gateways[group.holder]
        others = [one for one in context.gateways.values() if one != holder]
        await holder.leadership.renew_now()
        context.holder = holder.name
        context.ends_at = holder.leadership.valid_until
        before = tenures.Tenure("edge-9", "edge-9", 0, ended=True)
        topic = group.topic(names.TENURES_TOPIC)
        read = others[0].store.newest

        async def newest(*arguments):
            others[0].store.newest = read
            del topic.records[:]
            topic.append("tenure", msgspec.json.encode(before))
            group.era += 1
            group.generation = eras.token(group.era, group.generation)
            return await read(*arguments)

        write = others[0].store.put_at

        async def put_at(*arguments):
            found = await write(*arguments)
            await asyncio.sleep(0.15)
            return found

        others[0].store.newest = newest
        others[0].store.put_at = put_at
        holder.store.cut = True
        give(group, others[0].name)
        await asyncio.sleep(WATCHED)
        await end(context)

    context.site.play(story())


@behave.given("an address where {what}")
def step_address(context, what):
    context.what = what


@behave.when("a gateway asks whether the tenure of its holder has ended")
def step_asks(context):
    sealer = seals.Sealer([])

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        if "gives no answer" in context.what:
            await asyncio.sleep(tenure_queries.TIMEOUT_SECONDS + 1.0)
        body = sealer.seal(tenure_queries.ENDED)
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        writer.close()

    async def ask():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        if "nothing listens" in context.what:
            server.close()
            await server.wait_closed()
        async with aiohttp.ClientSession() as session:
            found = tenure_queries.TenureQueries(
                queries.QueryClient(session, sealer), "edge-1-2", None
            )
            tenure = tenures.Tenure("edge-2-1", f"{host}:{port}", 5)
            context.has_ended = await found.has_ended(tenure, 6)
        server.close()

    asyncio.run(ask())


@behave.then("it takes it for {taken}")
def step_taken(context, taken):
    assert context.has_ended == (taken == "over"), context.has_ended
