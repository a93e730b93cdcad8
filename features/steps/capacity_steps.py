"""Steps on orders of replicas, before a platform in steps of time."""

import asyncio
import random
import types as builtin_types

import behave
from features.support import fixed_leader
from features.support import virtual_gateways
from features.support import virtual_operations
from features.support import virtual_replicas
from features.support import virtual_store

from gypsumfold.decisions import capacity
from gypsumfold.gateway import scaling
from gypsumfold.gateway import types
from gypsumfold.platform import names

OFFER = virtual_replicas.OFFER
POLICY = virtual_replicas.POLICY
DATA_CENTRES = tuple(OFFER.prices)
STEP = virtual_replicas.STEP
START = virtual_replicas.START


@behave.given(
    "{count:d} replicas in 3 data centres, of which the load keeps {busy:d} "
    "busy"
)
def step_replicas(context, count, busy):
    context.play = virtual_replicas.Play(count, float(busy))


@behave.given("reclaimable replicas cost as much as others")
def step_no_cheaper(context):
    context.play.offer = OFFER._replace(spot_price=1.0)


@behave.when("{seconds:d} s pass with {trouble}")
def step_pass(context, seconds, trouble):
    play = context.play
    while play.now < seconds:
        play.disturb(trouble)
        play.step()


@behave.then(
    "after {since:d} s at least {least:d} replicas serve, and {steady:d} at "
    "most can't be reclaimed"
)
def step_serve(context, since, least, steady):
    later = [row for row in context.play.history if row[0] > since]
    assert min(row[1] for row in later) >= least, later
    # Replicas that were ordered for a shortage stay until others serve.
    assert later[-1][2] <= steady, later


@behave.then("no more than {most:d} orders were given")
def step_orders(context, most):
    assert context.play.platform.orders <= most, context.play.platform.orders


@behave.when("the load rises to keep {busy:d} busy")
def step_burst(context, busy):
    play = context.play
    while play.now < 20.0:
        play.step()
    play.busy = float(busy)


@behave.when("the first reclaimable replicas serve, all but one")
def step_all_but_one(context):
    play = context.play
    while not any(count.spot for count in play.present().values()):
        awaited = play.leader.is_awaiting_first(
            play.present(), play.offer, play.now
        )
        assert awaited or play.now < 2 * STEP
        play.step()
    play.platform.serving["dc-0", True].pop()


@behave.then("none is awaited that would replace the first replicas")
def step_none_awaited(context):
    play = context.play
    present = play.present()
    assert not play.leader.is_awaiting_first(present, play.offer, play.now)


@behave.when("the replicas of two data centres are reclaimed for {seconds:d} s")
def step_reclaim(context, seconds):
    play = context.play
    while play.now < 20.0:
        play.step()
    for name in DATA_CENTRES[:2]:
        play.platform.reclaim(name, play.now + seconds)


@behave.when(
    "the replicas of two data centres are reclaimed {seconds:d} s apart"
)
def step_reclaim_apart(context, seconds):
    play = context.play
    for name in DATA_CENTRES[:2]:
        end = play.now + max(seconds, START + STEP)
        while play.now < end:
            play.step()
        for dry in DATA_CENTRES:
            play.platform.dry_until[dry] = play.now + 2 * seconds
        play.platform.reclaim(name, play.now + 2 * seconds)
    step_replaced(context, seconds)


@behave.then("within {seconds:d} s as many replicas serve as before")
def step_replaced(context, seconds):
    play = context.play
    end = play.now + seconds
    while play.now < end:
        play.step()
    assert play.history[-1][1] >= play.count, play.history[-14:]


@behave.then("within {seconds:d} s as many replicas serve as it needs")
def step_enough(context, seconds):
    play = context.play
    end = play.now + seconds
    while play.now < end:
        play.step()
    assert play.history[-1][1] >= POLICY.headroom * play.busy, play.history[-1]


@behave.then("at every moment at least {least:d} replicas served")
def step_always(context, least):
    assert min(row[1] for row in context.play.history) >= least


@behave.when(
    "a new leader takes over while the first reclaimable replicas start"
)
def step_take_over(context):
    play = context.play
    while play.now < START - STEP:
        play.step()
    play.leader = capacity.Capacity(play.count, POLICY)
    context.steady_before = play.platform.count_steady()
    play.step()
    # Its orders are carried out at the next step.
    play.platform.step(play.now)


@behave.then("no more replicas are ordered that can't be reclaimed")
def step_no_more_steady(context):
    steady = context.play.platform.count_steady()
    assert steady <= context.steady_before, (steady, context.steady_before)


@behave.then("no order was given")
def step_no_order(context):
    assert context.play.platform.orders == 0, context.play.platform.orders


class Lead:
    """A leader that orders replicas of one service in virtual time.

    Attributes:
        replicas: The service's registered replicas.
        leader: Holds the fencing token.
    """

    def __init__(self, policy=POLICY, site=None):
        self.site = site or virtual_gateways.Site(seed=1)
        self.platform = virtual_operations.Platform(random.Random(1))
        self.leader = fixed_leader.FixedLeader(3)
        self.replicas = []
        self.busy = 8.0
        service = types.Service("lm", 860, 400_000, offer=OFFER)
        load = builtin_types.SimpleNamespace(total=lambda name, now: self.busy)
        self.scaler = scaling.Scaler(
            virtual_store.Store(self.site.log, virtual_store.Path()),
            self.platform,
            self.leader,
            builtin_types.SimpleNamespace(
                current=builtin_types.SimpleNamespace(services={"lm": service})
            ),
            builtin_types.SimpleNamespace(
                known=lambda name: self.replicas, streams=load
            ),
            builtin_types.SimpleNamespace(
                demand=load,
                queued_seconds=lambda instance, now: 0.0,
                median_rate=lambda: 40_000.0,
            ),
            policy,
            "edge-3",
        )

    def register(self) -> None:
        """Registers one more replica."""
        place = len(self.replicas)
        self.replicas.append(
            types.Replica(
                f"i-{place}",
                "lm",
                "10.0.0.1:1",
                DATA_CENTRES[place % 3],
                64,
                False,
            )
        )


@behave.given("a platform that has seen a higher token for replicas")
def step_fenced(context):
    context.lead = Lead()
    for _ in range(30):
        context.lead.register()


@behave.when("a leader orders replicas for {seconds:d} s")
def step_lead(context, seconds):
    lead = context.lead
    platform = lead.platform

    async def story():
        for name in DATA_CENTRES:
            for spot in (True, False):
                order = capacity.Order(name, spot, 1)
                await platform.order_replicas(
                    "lm", order, "edge-9", fixed_leader.grant(9)
                )
        task = asyncio.create_task(lead.scaler.run())
        await asyncio.sleep(seconds)
        context.fenced = len(platform.duties.calls) - 6
        lead.leader.held = 10
        await asyncio.sleep(seconds)
        task.cancel()

    lead.site.play(story())


@behave.given(
    "a service of {count:d} replicas that register within {seconds:g} s of a "
    "leader's start"
)
def step_registering(context, count, seconds):
    context.lead = Lead()
    context.lead.busy = 0.0
    context.gap = seconds / count
    context.count = count


@behave.when("the leader orders replicas for {seconds:d} s")
def step_lead_early(context, seconds):
    lead = context.lead

    async def story():
        task = asyncio.create_task(lead.scaler.run())
        for _ in range(context.count):
            lead.register()
            await asyncio.sleep(context.gap)
        await asyncio.sleep(seconds)
        task.cancel()

    lead.site.play(story())


@behave.then(
    "its orders add up to {count:d} replicas, of which {left:d} remain without "
    "any one data centre"
)
def step_add_up(context, count, left):
    ordered = {}
    for call in context.lead.platform.duties.calls:
        body = call.body
        ordered[body["zone"], body["spot"]] = body["desired"]
    assert sum(ordered.values()) == count, ordered
    for name in DATA_CENTRES:
        assert count - ordered[name, True] >= left, ordered


@behave.then(
    "it orders once for each data centre at most, until its token is higher"
)
def step_once(context):
    # Whether the token or a shortage is the reason can't be told for
    # reclaimable replicas, which are tried again after some seconds.
    calls = context.lead.platform.duties.calls
    assert 0 < context.fenced <= 9, calls
    assert any(call.token == 10 and call.accepted for call in calls), calls
    assert not any(
        call.token == 3 and not call.body.get("spot") for call in calls[9:]
    ), calls
    assert all(call.subject.startswith(names.SCALE_PATH) for call in calls)


@behave.given(
    "a leader that has reduced {count:d} replicas by what callers need"
)
def step_reduced(context, count):
    context.lead = Lead(POLICY._replace(follows_load=True))
    context.lead.busy = 0.1
    for _ in range(count):
        context.lead.register()
    step_lead(context, 100)
    context.total = context.lead.scaler.capacities["lm"].total
    assert context.total < count


@behave.when("another leader takes over")
def step_another(context):
    before = context.lead
    context.lead = Lead(before.scaler.policy, before.site)
    context.lead.replicas = before.replicas
    context.lead.busy = before.busy
    step_lead(context, 5)


@behave.then("it starts with the number that the last one needed")
def step_same_total(context):
    found = context.lead.scaler.capacities["lm"]
    assert (found.first, found.total) == (30, context.total), found.total


@behave.given("a platform that refuses fewer than one steady engine anywhere")
def step_refusing(context):
    context.lead = Lead(POLICY._replace(follows_load=True))
    context.lead.platform.least_steady = 1
    context.lead.busy = 0.0
    context.count, context.gap = 0, 0.0
    for place in range(12):
        context.lead.register()
        newest = context.lead.replicas.pop()
        context.lead.replicas.append(newest._replace(spot=place >= 3))


@behave.then("it orders one in each data centre once it was refused fewer")
def step_one_each(context):
    platform = context.lead.platform
    steady = {}
    for call in platform.duties.calls:
        if call.accepted and not call.body["spot"]:
            steady[call.body["zone"]] = call.body["desired"]
    # The cheapest data centre keeps its only one, so it needs no order.
    assert steady == dict.fromkeys(DATA_CENTRES[1:], 1), steady
    assert platform.refused == len(steady), platform.refused
