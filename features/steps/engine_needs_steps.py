"""Steps on the number of engines that callers need."""

import itertools
import math

import behave
from features.support import virtual_replicas

from gypsumfold.decisions import capacity
from gypsumfold.decisions import capacity_needs
from gypsumfold.decisions import spreads

PRICES = {"dc-0": 1.0, "dc-1": 0.8, "dc-2": 1.25, "dc-3": 0.9}
OFFER = capacity.Offer(1, 47, 4.0, 0.22, PRICES)
POLICY = capacity.Policy(0.1, 1.5, 1.0, True, 20.0)
ENGINE = capacity_needs.Engine(633_501, 112_000.0, 4.0)
NEEDS = capacity_needs.Policy(1.5, 20.0, 4, 4 * 47)
USUAL = capacity_needs.Load(1.6, 0.8, 0.0, 1_500_000.0)


class Play(virtual_replicas.Play):
    """Time passing before a leader that follows the load.

    Attributes:
        trouble: What happens.
        totals: The number needed, by step.
        rows: What served, what would be left, and what the load needs.
    """

    def __init__(self):
        super().__init__(45, 1.0)
        self.platform = virtual_replicas.Platform(45, list(PRICES))
        self.offer = OFFER
        self.trouble = ""
        self.totals = []
        self.reductions = []
        self.rows = []
        self.lead(45)

    def lead(self, total: int) -> None:
        """Has a new leader take over, which knows the last total."""
        self.leader = capacity.Capacity(45, POLICY)
        self.leader.sizer = capacity_needs.Sizer()
        self.leader.total = total

    def is_lost(self, name: str) -> bool:
        """Whether the platform has taken a data centre's engines away."""
        return self.now < self.platform.dry_until.get(name, 0.0)

    def load(self) -> capacity_needs.Load:
        """The load of this moment."""
        demand, streams, _, tokens = USUAL
        if self.trouble.startswith("no traffic") and self.now < 50.0:
            return capacity_needs.Load()
        if self.trouble.startswith("four times"):
            demand *= 4
            streams *= 4
        if "swings" in self.trouble and self.now % 60.0 < 14.0:
            # 1.8 times one kind and 0.4 times the other, and the other way.
            swaps = 5.6 < self.now % 60.0 < 8.4
            demand *= 0.4 if swaps else 1.8
            streams *= 1.8 if swaps else 0.4
        return capacity_needs.Load(demand, streams, 0.0, tokens)

    def disturb(self, trouble: str) -> None:
        """Causes a step's trouble."""
        self.trouble = trouble
        if self.trouble.startswith("a data centre") and self.now == 120.0:
            for name in PRICES:
                self.platform.dry_until[name] = 130.0
            self.platform.reclaim("dc-1", 130.0)
        if self.trouble.startswith("none to be had"):
            self.platform.dry_until["dc-1"] = math.inf
        if self.trouble.startswith("no reclaimable"):
            self.platform.dry_until = dict.fromkeys(PRICES, math.inf)
        if self.trouble.startswith("orders"):
            self.platform.late = 6.0
        for seconds in (50.0, 15.0, 2.5):
            due = self.now % seconds == 0.0
            if due and f"leader each {seconds:g}" in self.trouble:
                self.lead(self.leader.total)

    def step(self) -> None:
        """Passes one step."""
        load = self.load()
        self.leader.total = self.leader.sizer.update(
            self.leader.total,
            load,
            ENGINE,
            NEEDS,
            self.now,
            capacity_needs.Progress(
                "hears few" not in self.trouble,
                self.leader.is_settled(self.present(), self.now),
            ),
        )
        before = self.present()
        super().step()
        for name, count in self.present().items():
            if count.spot < before[name].spot and not self.is_lost(name):
                self.reductions.append((self.now, name))
        present = self.present().values()
        spots = [count.spot for count in present]
        served = sum(spots) + sum(count.steady for count in present)
        # Engines of both roles, each enough by itself.
        needed = math.ceil(load.demand) + math.ceil(load.streams)
        self.rows.append((self.now, served, served - max(spots), needed))
        self.totals.append(self.leader.total)


@behave.then(
    "{left:d} engines were left at every moment, whichever data centre's were "
    "reclaimed"
)
def step_always_left(context, left):
    for row in context.play.rows:
        assert row[2] >= left, row


@behave.then("{steady:d} engines can't be reclaimed")
def step_count_steady(context, steady):
    found = context.play.platform.count_steady()
    assert found == steady, found


@behave.when(
    "{count:d} reclaimable ones serve for {fewer:d} in {name} that an order "
    "takes away"
)
def step_leaving(context, count, fewer, name):
    leader = context.play.leader
    context.present = context.play.present()
    leader.plan(context.present, 1.0, OFFER, 0.0)
    left = context.present[name].steady - fewer
    leader.record_order(capacity.Order(name, False, left), 0.0)
    for other in ("dc-0", "dc-3"):
        had = context.present[other]
        context.present[other] = had._replace(spot=count)
    context.orders = leader.plan(context.present, 1.0, OFFER, 0.5)


@behave.then("no other data centre is ordered fewer steady engines")
def step_none_fewer(context):
    for order in context.orders:
        steady = context.present[order.data_centre].steady
        fewer = not order.spot and order.count < steady
        assert order.data_centre == "dc-1" or not fewer, context.orders


@behave.given("45 engines whose number follows the load")
def step_engines(context):
    context.play = Play()


@behave.when("{seconds:d} s pass without traffic")
def step_idle(context, seconds):
    context.play.load = capacity_needs.Load
    while context.play.now < seconds:
        context.play.step()


@behave.then("at every moment the engines that serve were enough for the load")
def step_enough_served(context):
    for row in context.play.rows:
        assert row[1] >= row[3], row


@behave.then(
    "the loss of any one data centre's reclaimable engines would have left "
    "enough"
)
def step_left(context):
    # While a lost data centre's engines are being replaced, the reserve is in
    # use: none for 10 s, until they are ordered again and until they serve.
    is_lost = context.play.trouble.startswith("a data centre")
    for row in context.play.rows:
        if not (is_lost and 120.0 <= row[0] < 142.0):
            assert row[2] >= row[3], row


@behave.then("the number needed never fell by more than a quarter in 20 s")
def step_quarter(context):
    totals = context.play.totals
    steps = int(20.0 / virtual_replicas.STEP)
    for before, after in zip(totals, totals[steps - 1 :], strict=False):
        assert after >= before - max(1, before // 4), (before, after)


@behave.then("no two data centres lost engines by orders within 3 s")
def step_one_by_one(context):
    # A role change takes 3 s, and the platform may choose decode engines.
    reductions = context.play.reductions
    for (at, name), (later, other) in itertools.pairwise(reductions):
        assert name == other or later - at > 3.0, (at, name, later, other)


@behave.then(
    "the number needed never falls within a phase, once it fits the load"
)
def step_phase(context):
    play = context.play
    # From 45 engines down to what is needed, it takes seven periods.
    steps = zip(play.rows, play.totals, play.totals[1:], strict=False)
    for row, before, after in steps:
        if row[0] >= 180.0 and row[0] % 60.0 < 14.0:
            assert after >= before, (row, before, after)


@behave.then("{seconds:d} s later the engines that serve are enough for it")
def step_grown(context, seconds):
    play = context.play
    end = play.now + seconds
    while play.now < end:
        play.step()
    row = play.rows[-1]
    assert row[2] >= row[3], row


@behave.then("at the end {least:d} to {most:d} engines serve")
@behave.then("{least:d} to {most:d} engines serve")
def step_at_end(context, least, most):
    assert least <= context.play.rows[-1][1] <= most, context.play.rows[-9:]


@behave.when(
    "{needed:d} reclaimable engines must be left by the loss of a data centre"
)
def step_needed(context, needed):
    names = sorted(PRICES, key=PRICES.get)
    context.counts = spreads.spread_by_price(needed, names, PRICES, 47)


@behave.then("data centres at 0.8, 0.9, 1.0 and 1.25 get {counts}")
def step_counts(context, counts):
    assert context.counts == [int(one) for one in counts.split(",")]


@behave.then(
    "a tenth of the engines needed can't be reclaimed, and no more but where "
    "none else is"
)
def step_steady(context):
    play = context.play
    expected = math.ceil(POLICY.steady_share * play.leader.total)
    alone = 0
    for count in play.present().values():
        alone += count.spot < OFFER.least
        assert count.spot + count.steady >= OFFER.least
    assert expected <= play.platform.count_steady() <= expected + alone


@behave.when(
    "{needed:d} engines are needed, of 3 to 10 a data centre, and one has lost "
    "its reclaimable ones"
)
def step_bounds(context, needed):
    leader = context.play.leader
    leader.total = needed
    leader.sizer.is_watched = True
    offer = OFFER._replace(least=3, most=10)
    present = dict.fromkeys(PRICES, capacity.Count(1, 9))
    present["dc-1"] = capacity.Count(1, 0)
    context.orders = {}
    for name, count in present.items():
        context.orders[name, False], context.orders[name, True] = count
    for order in leader.plan(present, 1.0, offer, 0.0):
        context.orders[order.data_centre, order.spot] = order.count


@behave.then("each data centre is ordered {least:d} to {most:d} engines")
def step_in_bounds(context, least, most):
    for name in PRICES:
        count = context.orders[name, False] + context.orders[name, True]
        assert least <= count <= most, context.orders


@behave.when(
    "a new leader finds {total:d} engines in the store, and {seconds:d} s pass "
    "with {trouble}"
)
def step_new_leader(context, total, seconds, trouble):
    play = context.play
    play.lead(total)
    play.trouble = trouble
    context.before = play.present()
    end = play.now + seconds
    while play.now < end:
        play.step()


@behave.then("no engine is gone")
def step_none_gone(context):
    for name, count in context.play.present().items():
        before = context.before[name]
        assert count.steady >= before.steady, (name, before, count)
        assert count.spot >= before.spot, (name, before, count)


@behave.when("{seconds:d} s pass while streams fill {streams:g} engines")
def step_streams(context, seconds, streams):
    play = context.play
    play.load = lambda: USUAL._replace(streams=streams)
    context.before = play.present()
    end = play.now + seconds
    while play.now < end:
        play.step()


@behave.then(
    "{seconds:d} s later {name} has one reclaimable engine fewer, and the "
    "others one more"
)
def step_moved(context, seconds, name):
    play = context.play
    end = play.now + seconds
    while play.now < end:
        play.step()
    for other, count in play.present().items():
        change = -1 if other == name else 1
        assert count.spot == context.before[other].spot + change, (other, count)


@behave.when(
    "an order of more engines is refused, which are not needed any more"
)
def step_refused(context):
    order = capacity.Order("dc-1", True, 9)
    context.play.leader.record_unavailable(order, 0.0)


@behave.then(
    "the engines count as those that were ordered after {late:d} s, and not "
    "after {early:d} s"
)
def step_settled(context, late, early):
    leader = context.play.leader
    present = context.play.present()
    # The refused order would be given again after 4 s.
    assert not leader.is_settled(present, float(early))
    assert leader.is_settled(present, float(late))


@behave.when("the engines needed are counted by engines without a cache")
def step_no_cache(context):
    engine = ENGINE._replace(cache_tokens=0)
    context.need = capacity_needs.engines_needed(USUAL, engine, NEEDS)


@behave.then("as many are needed as prefixes have tokens, twice over")
def step_twice(context):
    assert context.need.prefill == 2 * USUAL.prefix_tokens, context.need
