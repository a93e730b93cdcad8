"""Steps on orders of replicas, before a platform in steps of time."""

import asyncio
import random
import types as builtin_types

import behave
from features.support import virtual_gateways
from features.support import virtual_operations
from features.support import virtual_store

from gypsumfold.decisions import capacity
from gypsumfold.gateway import scaling
from gypsumfold.gateway import types
from gypsumfold.platform import names

DATA_CENTRES = ("dc-0", "dc-1", "dc-2")
OFFER = capacity.Offer(
    1, 47, 4.0, 0.22, {"dc-0": 0.85, "dc-1": 1.2, "dc-2": 1.0}
)
POLICY = capacity.Policy(0.1, 1.5, 1.0)
# Seconds of one step, until a replica serves, and until a leaving one is gone.
STEP = 0.5
START = 4.0
LEAVE = 3.0


class Platform:
    """Starts and ends replicas as it is ordered to.

    Attributes:
        serving: When each replica serves, by data centre and kind; those that
            leave are not among them.
        dry_until: Until when a data centre has no reclaimable replicas.
        late: Seconds after which orders are carried out.
    """

    def __init__(self, count: int):
        self.serving: dict[tuple[str, bool], list[float]] = {}
        for place, name in enumerate(DATA_CENTRES):
            share = capacity.spread(count, list(DATA_CENTRES), 0, 99)[place]
            self.serving[name, False] = [0.0] * share
            self.serving[name, True] = []
        self.dry_until: dict[str, float] = {}
        self.late = 0.0
        self.waiting: list[tuple[float, capacity.Order]] = []
        self.orders = 0

    def order(self, order: capacity.Order, now: float) -> bool:
        """Takes an order; False if none are available."""
        self.orders += 1
        if order.spot and now < self.dry_until.get(order.data_centre, 0.0):
            return False
        self.waiting.append((now + self.late, order))
        return True

    def step(self, now: float) -> None:
        """Carries due orders out."""
        due = [one for one in self.waiting if one[0] <= now]
        self.waiting = [one for one in self.waiting if one[0] > now]
        for _, order in due:
            found = self.serving[order.data_centre, order.spot]
            del found[order.count :]
            while len(found) < order.count:
                found.append(now + START)

    def reclaim(self, name: str, until: float) -> None:
        """Takes the reclaimable replicas of a data centre back."""
        self.serving[name, True] = []
        self.dry_until[name] = until

    def count_steady(self) -> int:
        """Counts the replicas that can't be reclaimed, starting ones too."""
        found = 0
        for (_, spot), replicas in self.serving.items():
            if not spot:
                found += len(replicas)
        return found

    def present(self, now: float) -> dict[str, capacity.Count]:
        """The replicas that serve, by data centre."""
        found = {}
        for name in DATA_CENTRES:
            counts = []
            for spot in (False, True):
                ready = [at for at in self.serving[name, spot] if at <= now]
                counts.append(len(ready))
            found[name] = capacity.Count(*counts)
        return found


class Play:
    """Time passing before a leader that orders replicas."""

    def __init__(self, count: int, busy: float):
        self.platform = Platform(count)
        self.count = count
        self.busy = busy
        self.offer = OFFER
        self.leader = capacity.Capacity(count, POLICY)
        self.now = 0.0
        self.history: list[tuple[float, int, int]] = []

    def present(self) -> dict[str, capacity.Count]:
        """The replicas that serve now, by data centre."""
        return self.platform.present(self.now)

    def step(self) -> None:
        """Passes one step."""
        self.now += STEP
        self.platform.step(self.now)
        present = self.platform.present(self.now)
        for order in self.leader.plan(present, self.busy, self.offer, self.now):
            if self.platform.order(order, self.now):
                self.leader.record_order(order, self.now)
            else:
                self.leader.record_unavailable(order, self.now)
        steady = sum(count.steady for count in present.values())
        spot = sum(count.spot for count in present.values())
        self.history.append((self.now, steady + spot, steady))

    def disturb(self, trouble: str) -> None:
        """Causes a step's trouble."""
        if trouble.startswith("the replicas") and self.now == 30.0:
            self.platform.reclaim("dc-0", self.now + 20.0)
        if trouble.startswith("no reclaimable"):
            for name in DATA_CENTRES:
                self.platform.dry_until[name] = 1e9
        if trouble.startswith("orders"):
            self.platform.late = 6.0
        if trouble.startswith("a new leader") and self.now % 7.0 == 0.0:
            self.leader = capacity.Capacity(self.count, POLICY)


@behave.given(
    "{count:d} replicas in 3 data centres, of which the load keeps {busy:d} "
    "busy"
)
def step_replicas(context, count, busy):
    context.play = Play(count, float(busy))


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
        token: The leader's fencing token.
    """

    def __init__(self):
        self.site = virtual_gateways.Site(seed=1)
        self.platform = virtual_operations.Platform(random.Random(1))
        self.token = 3
        self.replicas = []
        self.busy = 8.0
        service = types.Service("lm", 860, 400_000, offer=OFFER)
        load = builtin_types.SimpleNamespace(total=lambda name, now: self.busy)
        self.scaler = scaling.Scaler(
            virtual_store.Store(self.site.log, virtual_store.Path()),
            self.platform,
            builtin_types.SimpleNamespace(token=lambda now: self.token),
            builtin_types.SimpleNamespace(
                current=builtin_types.SimpleNamespace(services={"lm": service})
            ),
            builtin_types.SimpleNamespace(
                known=lambda name: self.replicas, streams=load
            ),
            builtin_types.SimpleNamespace(demand=load),
            POLICY,
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
                await platform.order_replicas("lm", order, "edge-9", 9)
        task = asyncio.create_task(lead.scaler.run())
        await asyncio.sleep(seconds)
        context.fenced = len(platform.duties.calls) - 6
        lead.token = 10
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
