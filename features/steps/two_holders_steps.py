"""Steps on gateways that may both take themselves for the holder."""

import asyncio
import contextlib
import types
from unittest import mock

import behave
from features.support import virtual_gateways
from features.support import virtual_group

from gypsumfold import exceptions
from gypsumfold.gateway import leadership
from gypsumfold.gateway import topic_watches

LEASE = 3.0
# Seconds that a connection takes to open, until a call is answered, between two
# calls of one holder, and between two troubles.
CONNECT = (0.0, 0.3)
ANSWER = (0.002, 0.1)
PAUSE = 0.05
CALM = (0.3, 5.0)
PROCESSING = 0.001


def make(site, store, name, first_start=True):
    """One gateway's leadership."""
    settings = types.SimpleNamespace(
        orders=types.SimpleNamespace(lease_ms=LEASE * 1000),
        store=types.SimpleNamespace(shortest_lease_ms=1000),
        node=types.SimpleNamespace(first_start=first_start),
        peers=types.SimpleNamespace(address=name),
    )
    state = topic_watches.StoreState(LEASE)
    return leadership.Leadership(settings, store, state, name)


class Gateway:
    """A gateway that orders as often as it may.

    Attributes:
        frozen: Cleared while the process stands still.
    """

    def __init__(self, site, group, name, arrivals, gateways):
        self.name = name
        self.gateways = gateways
        self.site = site
        self.arrivals = arrivals
        self.store = virtual_group.Client(group)
        self.runs = asyncio.Event()
        self.runs.set()
        self.leadership = make(site, self.store, name)
        self.leadership.claims.has_ended = self.ask
        self.tasks = [
            asyncio.create_task(self.leadership.run()),
            asyncio.create_task(self.order()),
        ]

    async def ask(self, tenure, generation):
        """Asks the holder of a tenure to end it."""
        await asyncio.sleep(virtual_group.CALL)
        other = self.gateways[tenure.member]
        await other.runs.wait()
        return await other.leadership.yield_to(tenure.token, generation)

    async def order(self):
        """Orders again and again."""
        rng = self.site.rng
        while True:
            with (
                contextlib.suppress(exceptions.PlatformError),
                self.leadership.act() as grant,
            ):
                if grant is not None:
                    await asyncio.sleep(rng.uniform(*CONNECT))
                    await self.runs.wait()
                    grant.confirm("subject")
                    arrival = (self.site.clock(), self.name, grant.token)
                    self.arrivals.append(arrival)
                    await asyncio.sleep(rng.uniform(*ANSWER))
            await asyncio.sleep(PAUSE)


class Play:
    """Some gateways in virtual time, and what disturbs them."""

    def __init__(self, seed, count, seconds, trouble):
        self.site = virtual_gateways.Site(seed)
        self.group = virtual_group.Group(self.site)
        self.count = count
        self.seconds = seconds
        self.trouble = trouble
        self.arrivals = []
        self.gateways = {}
        self.site.play(self.story())

    async def story(self):
        """Plays to the end."""
        for number in range(self.count):
            name = f"edge-{number + 1}"
            self.gateways[name] = Gateway(
                self.site, self.group, name, self.arrivals, self.gateways
            )
        end = self.site.clock() + self.seconds
        await asyncio.sleep(2.0)
        while self.site.clock() < end:
            await self.disturb()
            await asyncio.sleep(self.site.rng.uniform(*CALM))
        for gateway in self.gateways.values():
            await virtual_gateways.cancelled(
                [*gateway.tasks, *gateway.store.tasks]
            )

    def holder(self):
        """The gateway that the store names."""
        names = sorted(self.gateways)
        return self.gateways[self.group.holder or names[0]]

    async def disturb(self):
        """Causes one trouble."""
        rng = self.site.rng
        kinds = {
            "partitions": self.divide,
            "memberships": self.lapse,
            "the group": self.begin_anew,
            "holders are": self.cut,
            "calls": self.lose,
            "holders freeze": self.freeze,
        }
        for words, kind in kinds.items():
            if self.trouble.startswith(words):
                await kind()
                return
        await rng.choice(list(kinds.values()))()

    async def divide(self):
        """Gives the partitions out anew, once or several times."""
        for _ in range(self.site.rng.randint(1, 3)):
            self.group.give_out()
            await asyncio.sleep(self.site.rng.uniform(0.0, 0.6))

    async def away(self):
        """Has no call answered for a moment."""
        for gateway in self.gateways.values():
            gateway.store.cut = True
        await asyncio.sleep(self.site.rng.uniform(0.1, 1.5))
        for gateway in self.gateways.values():
            gateway.store.cut = False

    async def lapse(self):
        """Has all memberships run out while the store is away."""
        await self.away()
        self.group.lapse()

    async def begin_anew(self):
        """Has the store know nothing of the group after it was away."""
        await self.away()
        self.group.begin_anew()

    async def cut(self):
        """Cuts the holder off from the store."""
        holder = self.holder()
        holder.store.cut = True
        await asyncio.sleep(self.site.rng.uniform(1.0, 6.0))
        holder.store.cut = False

    async def lose(self):
        """Has calls done late and not answered."""
        for gateway in self.gateways.values():
            gateway.store.lost_share = 0.3
        await asyncio.sleep(5.0)
        for gateway in self.gateways.values():
            gateway.store.lost_share = 0.0

    async def freeze(self):
        """Stops the holder's orders and renewals; they go on where they were.

        Its renewal may be under way, and its order between check and sending.
        """
        holder = self.holder()
        seconds = self.site.rng.uniform(1.0, 6.0)
        holder.runs.clear()
        async with holder.leadership.changing:
            await asyncio.sleep(seconds)
        holder.runs.set()


@behave.when(
    "{count:d} gateways order for {seconds:d} s while {trouble}, in {plays:d} "
    "plays"
)
def step_order(context, count, seconds, trouble, plays):
    context.seconds = seconds
    context.plays = {}
    for seed in range(1, plays + 1):
        play = Play(seed, count, seconds, trouble)
        context.plays[seed] = play.arrivals


@behave.then("tokens never go down, and each is of one gateway")
def step_tokens(context):
    wrong = []
    for seed, arrivals in context.plays.items():
        highest = 0
        names = {}
        for at, name, token in arrivals:
            if token < highest or names.setdefault(token, name) != name:
                wrong.append((seed, round(at, 3), name, token, highest))
            highest = max(highest, token)
    assert not wrong, (len(wrong), wrong)


def turns(arrivals):
    """The arrivals in which a gateway acts after another within a lease."""
    last = {}
    previous = ""
    found = []
    for at, name, token in arrivals:
        if name != previous and at - last.get(name, -LEASE) < LEASE:
            found.append((name, previous, round(at - last[name], 3), token))
        last[name] = at
        previous = name
    return found


@behave.then(
    "in no play a gateway acts again within a lease after another has acted"
)
def step_no_turns(context):
    found = {}
    names = set()
    for seed, arrivals in context.plays.items():
        names.update(name for _, name, _ in arrivals)
        if turns(arrivals):
            found[seed] = turns(arrivals)
    assert not found, found


@behave.then("in each play somebody acts in at least {share:g} of all seconds")
def step_acting(context, share):
    for seed, arrivals in context.plays.items():
        acting = {int(at) for at, _, _ in arrivals}
        assert len(acting) >= share * context.seconds, (seed, len(acting))


@behave.given("a holder whose lease began with a renewal")
def step_holder(context):
    context.site = virtual_gateways.Site(1)
    context.group = virtual_group.Group(context.site)
    context.leadership = make(context.site, context.group, "edge-1")


async def settled(context):
    """Lets the gateway become the holder; returns its task."""
    task = asyncio.create_task(context.leadership.run())
    await asyncio.sleep(0.5)
    assert context.leadership.token(context.site.clock()) is not None
    return task


@behave.when("its machine is suspended for {seconds:g} s")
def step_suspended(context, seconds):
    async def story():
        task = await settled(context)
        before = context.site.clock()
        context.site.clock.now += seconds
        with (
            mock.patch("time.monotonic", lambda: before),
            context.leadership.act() as grant,
        ):
            context.grant = grant
        await virtual_gateways.cancelled([task])

    context.site.play(story())


@behave.then("it has no token as it wakes, though its own clock has not moved")
def step_no_token(context):
    assert context.grant is None, context.grant.token


@behave.when(
    "a call is permitted, and its bytes are to be sent {seconds:g} s later"
)
def step_sent_late(context, seconds):
    context.sent = False

    async def story():
        task = await settled(context)
        await virtual_gateways.cancelled([task])
        with (
            contextlib.suppress(exceptions.PlatformError),
            context.leadership.act() as grant,
        ):
            await asyncio.sleep(seconds)
            grant.confirm("subject")
            context.sent = True

    context.site.play(story())


@behave.then("the call is not sent")
def step_not_sent(context):
    assert not context.sent


@behave.when("it {why} while its order is under way for {seconds:g} s")
def step_leaves(context, why, seconds):
    async def order():
        with context.leadership.act() as grant:
            assert grant is not None
            await asyncio.sleep(seconds)
            context.answered_at = context.site.clock()

    async def story():
        task = await settled(context)
        ordering = asyncio.create_task(order())
        await asyncio.sleep(0.01)
        if "cut off" in why:
            context.leadership.is_cut_off = lambda: True
        else:
            context.leadership.is_candidate = lambda: False
            context.leadership.candidate_at = context.site.clock() - 60.0
        await context.leadership.check()
        await ordering
        await asyncio.sleep(1.0)
        await virtual_gateways.cancelled([task])

    context.site.play(story())


@behave.then("it leaves the group after the order is answered")
def step_left_late(context):
    left = [at for name, _, at in context.group.calls if name == "leave"]
    assert left and left[0] > context.answered_at, (left, context.answered_at)
