"""Steps on spare decode engines, played without a network."""

import math
import random
import time

import behave
from features.support import virtual_callers
from features.support import virtual_gateways
import msgspec

from gypsumfold import events
from gypsumfold.decisions import decode_reserve
from gypsumfold.decisions import outages
from gypsumfold.decisions import role_changes
from gypsumfold.decisions import role_split
from gypsumfold.decisions import types
from gypsumfold.gateway import settings

LOOK = 0.15
SWITCH = 3.0
# Seconds until a crashed engine is back, as a decode engine.
RESTART = 4.0
DECODE, PREFILL = types.Role.DECODE, types.Role.PREFILL


class Play:
    """Engines of a service and the split that orders them."""

    def __init__(self, count, policy, load):
        self.policy, self.load = policy, load
        self.now, self.changes, self.delay = 0.0, 0, 0.0
        decoders = role_split.initial_decoders(count)
        self.engines = {}
        for number in range(count):
            self.engines[f"e-{number:02}"] = role_changes.EngineView(
                f"e-{number:02}",
                f"dc-{number % 4}",
                DECODE if number < decoders else PREFILL,
            )
        self.ready, self.late = {}, {}
        self.serving, self.missing = [], []
        self.take_over()

    def take_over(self):
        """Has another leader plan, which knows nothing of the earlier one."""
        self.split = role_split.RoleSplit()
        self.split.reserve.policy = self.policy

    def run(self, seconds):
        """Plans again and again."""
        end = self.now + seconds
        while self.now < end:
            for name, at in list(self.late.items()):
                if at <= self.now and name in self.engines:
                    self.change(name, DECODE)
                    del self.late[name]
            views = [
                one._replace(changing=self.ready.get(name, 0.0) > self.now)
                for name, one in self.engines.items()
                if name not in self.late
            ]
            load = role_split.Load(*self.load(self.now))
            for change in self.split.plan(views, load, self.now):
                if self.ready.get(change.engine, 0.0) > self.now:
                    continue
                if self.delay and change.role == DECODE:
                    self.late[change.engine] = self.now + self.delay
                    self.delay = 0.0
                    continue
                self.change(change.engine, change.role)
            self.serving.append(len(self.decoders()))
            self.missing.append(self.split.reserve.missing)
            self.now += LOOK

    def change(self, name, role):
        """Has an engine change its role."""
        self.engines[name] = self.engines[name]._replace(role=role)
        self.ready[name] = self.now + SWITCH
        self.changes += 1

    def decoders(self):
        """The engines that decode now."""
        found = []
        for name, one in self.engines.items():
            if one.role == DECODE and self.ready.get(name, 0.0) <= self.now:
                found.append(one)
        return found

    def lose(self, names, seconds=RESTART, version=""):
        """Takes engines away, which come back as decode engines."""
        lost = [self.engines.pop(name) for name in names]
        self.run(seconds)
        for one in lost:
            back = one._replace(role=DECODE, version=version)
            self.engines[one.name] = back


@behave.given(
    "{engines:d} engines in 4 data centres, {spares:d} spares and data "
    "centres that may be lost: {survive}"
)
def step_engines(context, engines, spares, survive):
    policy = decode_reserve.Policy(spares, survive == "yes")
    context.play = Play(engines, policy, None)


@behave.given("streams that fill {streams:f} engines while prompts wait")
def step_prompts(context, streams):
    step_streams(context, streams, "yes")


@behave.given("streams that fill {streams:f} engines, and prompts wait: {wait}")
def step_streams(context, streams, wait):
    busy = len(context.play.engines) if wait == "yes" else 0.0
    context.streams = streams
    context.play.load = lambda now: (busy, streams, busy)


@behave.given(
    "streams that fill {low:f} and {high:f} engines in turn, for {seconds:d} "
    "seconds each"
)
def step_flicker(context, low, high, seconds):
    play = context.play
    busy = len(play.engines)
    play.load = lambda now: (
        busy,
        low if int(now / seconds) % 2 else high,
        busy,
    )


@behave.given(
    "streams that fill 0.7 engines for {seconds:f} of every {period:f} seconds "
    "from second 60, else 0.5"
)
def step_return(context, seconds, period):
    # Guards against a need that is never confirmed as it comes and goes.
    context.play.load = lambda now: (
        45,
        0.7 if now >= 60 and (now - 60) % period < seconds else 0.5,
        45,
    )


@behave.when(
    "{count:d} decode engines are lost for good after {seconds:d} seconds"
)
def step_gone(context, count, seconds):
    play = context.play
    play.run(seconds)
    for one in play.decoders()[:count]:
        del play.engines[one.name]
    play.missing.clear()


@behave.then("a shortage was reported")
def step_short(context):
    # The shortage must show from the loss until the spares are added.
    assert max(context.play.missing) > 0, context.play.missing


@behave.when(
    "{count:d} of {engines:d} engines are picked with and without spreading"
)
def step_picked(context, count, engines):
    views = []
    for number in range(engines):
        name, centre = f"e-{number:04}", f"dc-{number % 4}"
        role = PREFILL if number else DECODE
        views.append(role_changes.EngineView(name, centre, role))
    context.taken = {}
    for spread in (False, True):
        started = time.process_time()
        found = role_changes.plan_changes(views, 1 + count, spread)
        context.taken[spread] = time.process_time() - started
        assert len(found) == count, found


@behave.then("spreading takes at most {factor:d} times as long")
def step_quick(context, factor):
    # The leader plans in its event loop: a plan of seconds costs its lease.
    assert context.taken[True] <= factor * context.taken[False], context.taken


@behave.then("settings with 0 or 64 spares are valid, with -1, 65 or 5000 not")
def step_bounds(context):
    # Thousands of spares made a plan run for minutes.
    valid = []
    for spares in (-1, 0, 64, 65, 5000):
        section = {"spare_decoders": spares}
        try:
            msgspec.convert(section, settings.RolesSection)
        except msgspec.ValidationError:
            continue
        valid.append(spares)
    assert valid == [0, 64], valid


@behave.when('the failure is "{failure}"')
def step_failure(context, failure):
    play = context.play
    play.run(90.0)
    play.serving.clear()
    names = [one.name for one in play.decoders()]
    if failure.startswith("an order"):
        play.delay = 7.0 if failure.endswith("late") else math.inf
    if failure == "a lost data centre":
        centre = play.decoders()[0].data_centre
        lost = [n for n, one in play.engines.items() if one[1] == centre]
        play.lose(lost, 12.0)
    elif failure == "a release":
        for name in list(play.engines):
            play.lose([name], 1.5, "v2")
    elif failure == "a leader that is replaced":
        del play.engines[names[0]]
        play.run(6.0)
        play.take_over()
    else:
        # Orders replace only engines that stay away.
        play.lose(names[: 2 if "2" in failure else 1], 15.0)
    play.run(30.0)


@behave.then("decode engines with room for the streams are left all the time")
def step_room(context):
    least = max(1, math.ceil(context.streams / role_split.OVERFULL_FRACTION))
    assert min(context.play.serving) >= least, context.play.serving


@behave.then("the spares are back after 30 seconds, in several data centres")
def step_back(context):
    play = context.play
    found = play.decoders()
    count = [one.data_centre for one in found]
    lost = play.policy.spare_decoders
    if play.policy.survive_data_centre:
        lost = max(lost, *(count.count(one) for one in count))
    least = max(1, math.ceil(context.streams / role_split.FULL_FRACTION))
    assert len(found) - lost >= least, found
    assert len(set(count)) > 1, found


@behave.when("the split is planned for 90 seconds")
def step_pass(context):
    context.play.run(90.0)


@behave.then("there are {count:d} spares")
def step_spares(context, count):
    reserve = context.play.split.reserve
    assert reserve.spares == count, (reserve.spares, context.play.split.target)


@behave.when(
    "a load swings for {seconds:d} seconds before {engines:d} engines, seeds "
    "1 to 3"
)
def step_swing(context, seconds, engines):
    context.found = []
    for seed in (1, 2, 3):
        rng = random.Random(seed)
        mix = [
            (rng.uniform(0, 27), rng.uniform(0.2, 5.4), rng.uniform(11, 42))
            for _ in range(seconds)
        ]
        counts = []
        for spares in (0, 1):
            policy = decode_reserve.Policy(spares)
            # The mix swings every 2.8 s, as in the phase of 14 s.
            play = Play(engines, policy, lambda now, m=mix: m[int(now / 2.8)])
            play.run(seconds)
            counts.append(play.changes)
        context.found.append(counts)


@behave.then(
    "with 1 spare there are at most {count:d} more role changes of a seed, "
    "the first ones included"
)
def step_no_more(context, count):
    for without, spare in context.found:
        assert spare <= without + count, context.found


@behave.when(
    'role changes that end in "{ends}" are known to a request whose caller '
    "waits {waits:f} seconds"
)
@behave.when(
    'role changes that end in "" are known to a request whose caller waits '
    "{waits:f} seconds"
)
def step_known(context, waits, ends=""):
    since, now = 100.0 - context.lost, 100.0
    known = [now + float(end) for end in ends.split()]
    expected = outages.expect_return(since, context.change, known, now)
    context.verdict = outages.decide(
        since, context.change, waits, 8.0, now, expected
    )


@behave.given(
    "{nodes:d} gateways with a spare decode engine, of which engines change "
    "roles"
)
def step_gateways(context, nodes):
    context.site = virtual_gateways.Site(seed=1)
    context.site.roles = settings.RolesSection(spare_decoders=1)
    context.nodes = nodes


@behave.when("a decode engine crashes after {seconds:d} seconds")
def step_crash(context, seconds):
    site = context.site

    async def story():
        await virtual_callers.start_asking(
            site, context.nodes, 10.0, seconds, None, 1, 0.5
        )
        site.lines.clear()
        site.fleet.kill("decode")
        await site.pass_time(8)

    site.play(story())


@behave.then("no request waits for a decode engine")
def step_none_held(context):
    held = events.CALL_HELD.number
    found = [line for line in context.site.lines if line[1] == held]
    assert not found, found
