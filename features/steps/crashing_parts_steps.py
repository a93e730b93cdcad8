"""Steps on parts of prompts that crash replicas, under virtual time."""

import asyncio

import behave
from features.steps import crashing_requests_steps as requests_steps
from features.support import virtual_engines
from features.support import virtual_gateways
from features.support import virtual_parts

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
