"""Steps on parts of prompts that crash replicas, under virtual time."""

import asyncio

import behave
from features.steps import crashing_requests_steps as requests_steps
from features.support import virtual_engines
from features.support import virtual_gateways
from features.support import virtual_parts

from gypsumfold.decisions import canaries as canaries_module
from gypsumfold.decisions import crash_types
from gypsumfold.decisions import crashes as crashes_module
from gypsumfold.decisions import sound_parts
from gypsumfold.decisions import subjects

# Seconds for which gateways learn what there is, and callers ask before the
# first crash.
SETTLING = 5.0
QUIET = 6.0
# Requests a second of sound callers, and the engines before which they ask.
RATE = 30.0
READERS = 6
GENERATORS = 6
# Seconds of contact after which all gateways in touch must act on a crash.
CONTACT = 3.0
# Requests with such a part that may reach replicas after that.
MOST_LATE = 3
# Share of what began before that has to begin while crashing requests come.
LEAST_BEGUN = 0.5
# Seconds between two losses of a data centre and between two kills that come
# often.
LOSS_PAUSE = 9.0
KILL_PAUSE = 1.5
FIRST_SEED = 1


async def lose_data_centres(callers):
    """Ends all engines of a data centre at once, again and again."""
    for number in range(int(requests_steps.TROUBLE / LOSS_PAUSE)):
        await callers.site.pass_time(LOSS_PAUSE)
        callers.fleet.lose_data_centre(number % virtual_engines.DATA_CENTRES)


async def kill_often(callers):
    """Ends decode engines by themselves, one after the other."""
    for _ in range(int(requests_steps.TROUBLE / KILL_PAUSE)):
        await callers.site.pass_time(KILL_PAUSE)
        callers.fleet.kill("decode")


async def give_output(callers):
    """Lets requests give output before they crash their replica."""
    callers.fleet.output_before_crash = True
    await callers.site.pass_time(requests_steps.TROUBLE)


async def pause(callers):
    """Lets crashing requests stay away for half a minute."""
    while len(callers.fleet.crashes) < virtual_parts.FATAL - 2:
        await callers.site.pass_time(0.1)
    callers.stopped_at = callers.site.clock()
    await callers.site.pass_time(30.0)
    callers.stopped_at = float("inf")
    await callers.site.pass_time(requests_steps.TROUBLE)


TROUBLES = {
    "data centres that are lost": lose_data_centres,
    "replicas that are killed often": kill_often,
    "output before each crash": give_output,
    "a pause of half a minute": pause,
}


async def trouble_callers(trouble, callers):
    """Plays a trouble of this feature, or of that on crashing requests."""
    if trouble in TROUBLES:
        await TROUBLES[trouble](callers)
        return
    await requests_steps.TROUBLES[trouble](callers.site)


async def begin(site, nodes):
    """Starts a site with callers whose requests crash nothing."""
    site.fleet = virtual_engines.Fleet(site, READERS, GENERATORS, plain=3)
    callers = virtual_parts.PartCallers(site, site.fleet)
    callers.configure(3)
    site.fleet.start()
    site.start(nodes, 3 if nodes < 20 else 2)
    await site.pass_time(SETTLING)
    callers.keep_asking(RATE)
    await site.pass_time(QUIET)
    return callers


def wrong_refusals(callers):
    """Sound requests that were refused, and refusals that are untrue."""
    found = []
    for body in sorted(callers.refused_sound()):
        found.append(f"{body} was refused")
    for attempt in callers.false_promises():
        found.append(f"{attempt} has run")
    return found


def wrong_verdict(verdict):
    """What one crashing part was allowed too much, or cost others."""
    found = []
    if not verdict.crashes:
        found.append(f"crashed nothing: {verdict}")
    if verdict.late > MOST_LATE:
        found.append(f"reached replicas {verdict.late} times more: {verdict}")
    if verdict.after < LEAST_BEGUN * verdict.before:
        found.append(f"sound requests did not begin: {verdict}")
    return found


def play(seed, nodes, culprits, rate, place, trouble, verdicts=None):
    """Plays a site once; lists what went wrong."""
    found = []

    async def story(site):
        start = site.clock() + SETTLING
        callers = await begin(site, nodes)
        came = site.clock()
        for number in range(culprits):
            callers.keep_crashing_parts(f"culprit-{number}", rate, place)
        await trouble_callers(trouble, callers)
        assert callers.ends, "nobody asked"
        for culprit in callers.culprits:
            verdict = callers.judge(culprit, start, came, CONTACT)
            found.extend(wrong_verdict(verdict))
            if verdicts is not None:
                verdicts.append(verdict)
        found.extend(wrong_refusals(callers))

    async def limited(site):
        # Longer than any play of this feature.
        async with asyncio.timeout(600):
            await story(site)

    site = virtual_gateways.Site(seed)
    site.play(limited(site))
    return found


def play_all(plays, *options):
    """Plays a site with several seeds."""
    wrong = []
    for seed in range(FIRST_SEED, FIRST_SEED + plays):
        found = play(seed, *options)
        if found:
            wrong.append((seed, found[:4]))
    assert not wrong, f"{len(wrong)} of {plays} plays: {wrong}"


@behave.then(
    "in each of {plays:d} plays {culprits:d} crashing parts at {rate:g} a "
    "second and place {place:d} are stopped before {nodes:d} gateways with "
    "{trouble}, and sound requests are served"
)
def step_stopped(context, plays, culprits, rate, place, nodes, trouble):
    play_all(plays, nodes, culprits, rate, place, trouble)


@behave.then(
    "in each of {plays:d} plays before {nodes:d} gateways with {trouble} none "
    "is refused for its parts"
)
def step_none_refused(context, plays, nodes, trouble):
    play_all(plays, nodes, 0, 0.0, 0, trouble)


PART = subjects.as_part(1)


def crash(context, count, pause, parts, version="v1", alone=True):
    """Ends replicas one after the other while requests with parts ran."""
    for _ in range(count):
        context.now += pause
        context.number = getattr(context, "number", 0) + 1
        for part in parts:
            context.log.interrupted(
                crash_types.Incarnation(f"i-{context.number}"),
                part,
                False,
                context.now,
                alone,
                subjects.version_digest(version),
            )


def judged(context, *parts):
    """What is decided on a request with some parts."""
    return context.log.judge(parts, context.now).decision


@behave.given("a part of which {count:d} replicas ended within a second")
def step_together(context, count):
    context.log = crashes_module.CrashLog()
    context.now = 0.0
    crash(context, count, 0.1, [PART], alone=False)


@behave.then("requests with the part are not refused")
def step_not_refused(context):
    assert judged(context, PART) == crash_types.Decision.CANARY


@behave.given('a part that software version "{version}" has answered')
def step_answered(context, version):
    context.log = crashes_module.CrashLog()
    context.now = 0.0
    context.log.answered(PART, subjects.version_digest(version))


@behave.when(
    '{count:d} replicas of version "{version}" end under it one after the other'
)
def step_end_under(context, count, version):
    crash(context, count, 5.0, [PART], version)


@behave.when(
    '{count:d} replicas of version "{version}" end under it and another part '
    "one after the other"
)
def step_end_under_both(context, count, version):
    crash(context, count, 5.0, [PART, PART + 1], version)


@behave.then("requests with both are refused")
def step_both_refused(context):
    assert judged(context, PART, PART + 1) == crash_types.Decision.QUARANTINED


@behave.then("requests with the part are sent like any other")
def step_sent(context):
    assert judged(context, PART) == crash_types.Decision.FREE


@behave.then("requests with the part are refused")
def step_refused(context):
    assert judged(context, PART) == crash_types.Decision.QUARANTINED


@behave.given(
    "a beginning under which {count:d} parts have crashed {each:d} replicas "
    "each"
)
def step_beginning(context, count, each):
    context.log = crashes_module.CrashLog()
    context.now = 0.0
    context.culprits = [PART + number for number in range(1, count + 1)]
    for culprit in context.culprits:
        crash(context, each, 5.0, [PART, culprit])


@behave.then(
    "requests with the beginning run as canaries, and with such a part are "
    "refused"
)
def step_told_apart(context):
    assert judged(context, PART) == crash_types.Decision.CANARY
    for culprit in context.culprits:
        found = judged(context, PART, culprit)
        assert found == crash_types.Decision.QUARANTINED, culprit


@behave.when("{count:d} made-up parts are answered")
def step_made_up(context, count):
    context.sound = sound_parts.SoundParts()
    context.made_up = [subjects.as_part(number) for number in range(count)]
    for part in context.made_up:
        context.sound.answered(part, 1)


@behave.then("at most {count:d} of them are remembered, the last ones")
def step_remembered(context, count):
    assert len(context.sound.versions) <= count
    for part in context.made_up[-count:]:
        assert context.sound.is_sound(part, 1)


@behave.then(
    "of {nodes:d} nodes that reserve the same part at once {count:d} goes on"
)
def step_reserve(context, nodes, count):
    known = [canaries_module.Canaries(owner) for owner in range(1, nodes + 1)]
    for number, one in enumerate(known):
        one.reserve(PART, f"engine-{number}")
    for sender in known:
        for canary in sender.updates(False, 0.0, 10):
            for receiver in known:
                receiver.merge(canary, 0.0)
    going_on = [one for one in known if not one.must_yield(PART, 0.1)]
    assert len(going_on) == count
