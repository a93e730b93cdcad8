"""Steps on plain calls that are balanced by the totals of all gateways."""

import asyncio
from typing import NamedTuple

import behave
from features.support import gateways
from features.support import virtual_callers
from features.support import virtual_engines
from features.support import virtual_gateways

from gypsumfold import exceptions
from gypsumfold.platform import names

# The first deployment's plain calls: seconds of work, objective, time limit.
WORK = 0.09
OBJECTIVE = 0.42
LIMIT = 1.59
REPLICAS = 4
SLOTS = 6
# Share of the calls that each account makes, and of urgent calls.
ACCOUNTS = {"large": 0.7, "north": 0.1, "south": 0.1, "west": 0.1}
URGENT_SHARE = 0.2
# Seconds after which an impatient caller leaves, and after which nothing of its
# call may reach a replica: what was sent crosses the network.
PATIENCE = 0.1
NETWORK = 0.01
URGENT, PLAIN = "/urgent/1", "/seats/1"


class Asked(NamedTuple):
    """One call: when it came, and when and how it ended."""

    id: str
    node: str
    account: str
    path: str
    at: float
    ended: float
    status: int
    retry_after: float | None


class Load:
    """Callers of plain calls."""

    def __init__(self, site):
        self.site = site
        self.callers = virtual_callers.Callers(site, site.fleet)
        self.asked: list[Asked] = []
        self.tasks: dict[asyncio.Task, str] = {}
        self.leaving = False
        self.urgent_share = URGENT_SHARE

    def configure(self) -> None:
        """Writes routes of two urgencies to one service."""
        route = {
            **gateways.PLAIN,
            "goalMs": OBJECTIVE * 1000,
            "timeoutMs": LIMIT * 1000,
            "priority": 2,
        }
        urgent = {"name": "urgent", "pathPrefix": "/urgent/", "priority": 0}
        value = {
            "version": 3,
            "routes": [route, {**route, **urgent}],
            "services": [{"name": "app", "maxConns": 96}],
        }
        self.site.log.write(
            names.CONFIGURATION_TOPIC, names.CONFIGURATION_KEY, value
        )

    async def come(self, rate: float, seconds: float) -> None:
        """Sends calls at random times."""
        rng = self.site.rng
        end = self.site.clock() + seconds
        while self.site.clock() < end:
            await asyncio.sleep(rng.expovariate(rate))
            [account] = rng.choices(list(ACCOUNTS), list(ACCOUNTS.values()))
            path = URGENT if rng.random() < self.urgent_share else PLAIN
            self.site.fleet.spawn(self.ask(account, path))

    async def ask(self, account: str, path: str) -> None:
        """Makes one call; some callers leave early."""
        rng = self.site.rng
        node = self.site.nodes[rng.choice(sorted(self.site.nodes))]
        kind = (path, 0, 0, 1, LIMIT)
        call = self.callers.call(kind, account.encode(), LIMIT)
        call = call._replace(account=account)
        reply = virtual_callers.Reply()
        loop = asyncio.get_running_loop()
        task = loop.create_task(node.gateway.handler.serve(call, reply))
        node.calls[task] = True
        task.add_done_callback(node.calls.pop)
        self.tasks[task] = call.id
        leaves = self.leaving and rng.random() < 0.5
        await asyncio.wait([task], timeout=PATIENCE if leaves else None)
        status, retry_after = reply.status, None
        if not task.done():
            task.cancel()
            await asyncio.wait([task])
        if not task.cancelled():
            error = task.exception()
            if isinstance(error, exceptions.RequestError):
                status, retry_after = error.status, error.retry_after
        now = self.site.clock()
        self.asked.append(
            Asked(
                call.id,
                node.name,
                account,
                path,
                call.arrival,
                now,
                status,
                retry_after,
            )
        )
        end = virtual_callers.End(b"", call.id, status, False, 0.0)
        self.callers.ends.append(end)

    def answered(self, **fields) -> float:
        """Share of the calls with these fields that were answered."""
        found = []
        for one in self.asked:
            if all(getattr(one, key) == fields[key] for key in fields):
                found.append(one.status == 200)
        return sum(found) / max(1, len(found))


def capacity() -> float:
    """Calls a second that all replicas can run."""
    return REPLICAS * SLOTS / WORK


@behave.given(
    "{nodes:d} gateways in front of 4 plain replicas of 6 slots, seed {seed:d}"
)
def step_site(context, nodes, seed):
    context.site = site = virtual_gateways.Site(seed)
    site.shares_calls = True
    site.fleet = virtual_engines.Fleet(site, 0, 0, plain=REPLICAS)
    site.fleet.plain_slots = SLOTS
    site.fleet.plain_work = WORK
    context.load = Load(site)
    context.nodes = nodes


def play(context, rate: float, seconds: float, event=None) -> None:
    """Lets calls come, something happen after two seconds, and all end."""
    site, load = context.site, context.load

    async def story():
        load.configure()
        site.fleet.start()
        site.start(context.nodes)
        await site.pass_time(virtual_callers.SETTLING)
        context.since = site.clock()
        site.fleet.spawn(load.come(rate, seconds))
        await site.pass_time(2.0)
        if event is not None:
            await event(context)
        await site.pass_time(seconds + LIMIT + 4.0)
        context.left = []
        for node in site.nodes.values():
            shared = node.gateway.handler.plain_calls.shared
            if shared is None:
                continue
            context.left.append(dict(shared.loads.calls.own))
            line = shared.services.get("app")
            context.left.append(line and (line.granted or len(line.queue)))

    site.play(story())


@behave.when(
    "{rate:d} calls a second come and one replica takes {factor:d} times as "
    "long for {seconds:d} seconds"
)
def step_slow(context, rate, factor, seconds):
    async def slow(context):
        context.site.fleet.first(1, "plain")[0].work = factor * WORK
        await context.site.pass_time(seconds)
        context.site.fleet.first(1, "plain")[0].work = WORK

    play(context, rate, 2.0 + seconds, slow)


@behave.when("half as many calls again as they can run come for 6 seconds")
def step_overload(context):
    play(context, 1.5 * capacity(), 6.0)


@behave.when(
    "urgent calls come half as often again as they can run, and half as many "
    "others"
)
def step_urgent_overload(context):
    context.load.urgent_share = 2 / 3
    play(context, 2.25 * capacity(), 4.0)


@behave.when("half as many calls again as they can run come and {event}")
def step_event(context, event):
    async def callers_leave(context):
        context.load.leaving = True

    async def stop(context):
        context.stopped = context.site.nodes["edge-1"]
        shared = context.stopped.gateway.handler.plain_calls.shared
        waiting = list(shared.services["app"].waiters.values())
        context.waited = {one.progress.call.id for one in waiting}
        assert context.waited
        shared.stop()

    async def kill(context):
        await context.site.kill("edge-1")

    async def lose(context):
        context.site.loss = 0.3

    async def crash(context, count=2):
        for replica in context.site.fleet.first(count, "plain"):
            context.site.fleet.crash(replica)

    async def crash_all(context):
        await crash(context, REPLICAS)

    events = {
        "callers leave": callers_leave,
        "a gateway stops": stop,
        "a gateway is killed": kill,
        "datagrams are lost": lose,
        "two replicas crash": crash,
        "all replicas crash": crash_all,
    }

    async def happen(context):
        context.happened = context.site.clock()
        await events[event](context)

    play(context, 1.5 * capacity(), 4.0, happen)


@behave.then("at most 1 in 20 calls miss their objective of 0.42 seconds")
def step_objective(context):
    asked = context.load.asked
    late = [one for one in asked if not in_time(one)]
    assert len(late) <= len(asked) / 20, (len(late), len(asked), late[:5])


def in_time(one: Asked) -> bool:
    """Whether a call was answered within its objective."""
    return one.status == 200 and one.ended - one.at <= OBJECTIVE


@behave.then("the replicas run 8 in 10 of what they can")
def step_used(context):
    ran = [one for one in context.load.asked if one.status == 200]
    assert len(ran) >= 0.8 * capacity() * 6.0, len(ran)


@behave.then("repeats at replicas are at most 0.2 of the calls")
def step_repeats(context):
    attempts = [one.attempt for one in context.site.fleet.arrivals]
    repeats = len(attempts) - len(set(attempts))
    limit = 0.2 * len(context.load.asked) + context.site.spare
    assert repeats <= limit, (repeats, limit)


@behave.then("9 in 10 of the answers meet their objective of 0.42 seconds")
def step_answers_in_time(context):
    answers = [one for one in context.load.asked if one.status == 200]
    timely = sum(in_time(one) for one in answers)
    assert timely >= 0.9 * len(answers), (timely, len(answers))


@behave.then("no call is refused later than its deadline allows")
def step_refused_early(context):
    refused = [one for one in context.load.asked if one.status != 200]
    assert refused
    for one in refused:
        assert one.status == 503, one
        assert one.retry_after > 0, one
        assert one.ended - one.at < LIMIT - WORK, one


@behave.then("each client account is served at least a quarter as often as all")
def step_accounts(context):
    shares = {one: context.load.answered(account=one) for one in ACCOUNTS}
    assert min(shares.values()) >= context.load.answered() / 4, shares


@behave.then("9 in 10 urgent calls are served, and the others don't starve")
def step_urgent(context):
    urgent = context.load.answered(path=URGENT)
    others = context.load.answered(path=PLAIN)
    assert urgent >= 0.9, (urgent, others)
    assert others >= 0.25 * context.load.answered(), (urgent, others)


@behave.then("the others are served at least a quarter as often as all")
def step_others(context):
    others = context.load.answered(path=PLAIN)
    assert others >= 0.25 * context.load.answered(), others


@behave.then("what waited has not run and is answered at once")
def step_waited(context):
    load = context.load
    last = {one.attempt: one.at for one in context.site.fleet.arrivals}
    ran = {one.attempt for one in context.site.fleet.arrivals if one.ran}
    for one in load.asked:
        assert last.get(one.id, 0.0) <= one.ended + NETWORK, one
        assert one.ended - one.at < LIMIT + NETWORK, one
        if one.id in getattr(context, "waited", ()):
            assert one.status == 503, one
            assert one.ended <= context.happened + NETWORK, one
            assert one.id not in ran, one


@behave.then("nothing is left behind, run twice or refused untruly")
def step_true(context):
    ran = [one.attempt for one in context.site.fleet.arrivals if one.ran]
    assert len(ran) == len(set(ran))
    assert not context.load.callers.false_promises()
    assert not any(context.left), context.left
