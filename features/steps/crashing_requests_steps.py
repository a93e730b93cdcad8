"""Steps on requests that crash replicas, under virtual time."""

import behave
from features.support import virtual_callers
from features.support import virtual_engines
from features.support import virtual_gateways

# Seconds for which gateways learn what there is, for which other callers ask
# before the first crash, and of the trouble.
SETTLING = 5.0
QUIET = 2.0
TROUBLE = 40.0
# Seconds of contact after which all gateways in touch must act on a crash.
CONTACT = 3.0
# Requests a second of callers whose requests crash nothing.
RATE = 15.0
# Seconds between two attempts of a crashing request's caller, about.
PAUSE = 3.0
# Crashes, and later attempts, that one request may cost.
MOST_CRASHES = 3
MOST_RETRIES = 3
# Events of a stream that lasts for about four seconds; the route allows six.
LONG_STREAM = 160
# Spare repeats of the site, enough for one of each stream.
LONG_STREAM_SPARE = 20.0
FIRST_SEED = 1


async def begin(site, nodes):
    """Starts a site with callers whose requests crash nothing."""
    site.fleet = virtual_engines.Fleet(site, readers=4, generators=2, plain=3)
    callers = virtual_callers.Callers(site, site.fleet)
    callers.configure(3)
    site.fleet.start()
    site.start(nodes, 3 if nodes < 20 else 2)
    await site.pass_time(SETTLING)
    callers.keep_asking(RATE)
    await site.pass_time(QUIET)
    return callers


def crash(callers, crashing, copies=1):
    """Lets requests that crash replicas come again and again."""
    bodies = []
    for number in range(crashing):
        kind = virtual_callers.KINDS[number % len(virtual_callers.KINDS)]
        bodies.append(callers.keep_crashing(kind, PAUSE, copies))
    return bodies


async def kill_replicas(site):
    """Ends replicas by turns."""
    for number in range(int(TROUBLE / 5)):
        await site.pass_time(5.0)
        site.fleet.kill(("decode", "prefill", "")[number % 3])


async def reset_answers(site):
    """Lets a share of the answers be reset."""
    site.fleet.reset_share = 0.1
    await site.pass_time(TROUBLE)


async def lose_datagrams(site):
    """Loses a share of the datagrams among gateways."""
    site.loss = 0.2
    await site.pass_time(TROUBLE)


async def kill_gateways(site):
    """Ends gateways one after the other, each of which starts again."""
    for name in list(site.nodes):
        await site.pass_time(TROUBLE / len(site.nodes))
        await site.restart_one(name)


async def silence_store(site):
    """Lets the store be silent for a time."""
    names = list(site.nodes)
    await site.pass_time(4.0)
    site.cut(names)
    await site.pass_time(TROUBLE / 2)
    site.heal(names)
    await site.pass_time(TROUBLE / 2 - 4.0)


async def part_gateways(site):
    """Parts a third of the gateways from the others for a time, twice."""
    for _ in range(2):
        site.divide(site.rng.sample(list(site.nodes), len(site.nodes) // 3))
        await site.pass_time(6.0)
        site.divide([])
        await site.pass_time(TROUBLE / 2 - 6.0)


async def restart_all(site):
    """Ends all gateways at once, twice."""
    for _ in range(2):
        await site.pass_time(TROUBLE / 3)
        await site.restart()
    await site.pass_time(TROUBLE / 3)


async def no_trouble(site):
    """Lets time pass."""
    await site.pass_time(TROUBLE)


TROUBLES = {
    "no other trouble": no_trouble,
    "callers that come back at once": no_trouble,
    "replicas that are killed": kill_replicas,
    "answers that are reset": reset_answers,
    "lost datagrams": lose_datagrams,
    "gateways that are killed": kill_gateways,
    "a store that is silent": silence_store,
    "gateways that do not hear others": part_gateways,
    "all gateways started again": restart_all,
}


def play(plays, nodes, crashing, trouble, judge, first=FIRST_SEED):
    """Plays a site with several seeds; lists what went wrong."""
    wrong = []
    copies = 2 if trouble == "callers that come back at once" else 1

    async def story(site, found):
        callers = await begin(site, nodes)
        bodies = crash(callers, crashing, copies)
        await TROUBLES[trouble](site)
        assert callers.ends, "nobody asked"
        for body in bodies:
            found += judge(callers, body)

    for seed in range(first, first + plays):
        site = virtual_gateways.Site(seed)
        found = []
        site.play(story(site, found))
        if found:
            wrong.append((seed, found))
    assert not wrong, f"{len(wrong)} of {plays} plays: {wrong[:3]}"


def too_many_crashes(callers, body):
    """The replicas that a request has crashed beyond what it may."""
    crashes = callers.fleet.crashed_by(body)
    if not crashes:
        return [f"{body} has crashed nothing"]
    if len(crashes) > MOST_CRASHES:
        return [f"{body} crashed {len(crashes)} replicas"]
    return []


def too_many_retries(callers, body):
    """The attempts of a request beyond what it may after three crashes."""
    count = callers.fleet.retries_after(body, MOST_CRASHES, CONTACT)
    if count > MOST_RETRIES:
        return [f"{body} reached replicas {count} times more"]
    return []


def wrong_refusals(callers, body):
    """Innocent requests that were refused, and refusals that are untrue."""
    found = []
    for other in sorted(callers.wrongly_refused()):
        found.append(f"{other} was refused")
    for attempt in callers.false_promises():
        found.append(f"{attempt} has run")
    return found


@behave.then(
    "in each of {plays:d} plays {crashing:d} requests that crash replicas "
    "crash at most 3 each before {nodes:d} gateways with {trouble}"
)
def step_crashes(context, plays, crashing, nodes, trouble):
    play(plays, nodes, crashing, trouble, too_many_crashes)


@behave.then(
    "in the play of seed {seed:d} {crashing:d} requests that crash replicas "
    "crash at most 3 each before {nodes:d} gateways with {trouble}"
)
def step_crashes_of_seed(context, seed, crashing, nodes, trouble):
    play(1, nodes, crashing, trouble, too_many_crashes, first=seed)


@behave.then(
    "in each of {plays:d} plays before {nodes:d} gateways with {trouble} none "
    "is refused for the crashes of {crashing:d} other requests, and no refusal "
    "is untrue"
)
def step_refusals(context, plays, nodes, trouble, crashing):
    play(plays, nodes, crashing, trouble, wrong_refusals)


@behave.then(
    "in each of {plays:d} plays a request that crashes replicas reaches them "
    "in at most 3 attempts later than 3 seconds after its third crash, with "
    "{trouble}"
)
def step_retries(context, plays, trouble):
    play(plays, 9, 2, trouble, too_many_retries)


@behave.then(
    "in each of {plays:d} plays {count:d} long streams that may be resumed are "
    "whole though a replica is killed after {seconds:d} seconds"
)
def step_long_streams(context, plays, count, seconds):
    path, shared, own, _, wait = virtual_callers.SWAP
    kind = (path, shared, own, LONG_STREAM, 2 * wait)
    for seed in range(FIRST_SEED, FIRST_SEED + plays):
        site = virtual_gateways.Site(seed)
        ends = []

        async def story(site, ends=ends):
            site.spare = LONG_STREAM_SPARE
            site.fleet = virtual_engines.Fleet(site, 4, 2, 3)
            callers = virtual_callers.Callers(site, site.fleet)
            callers.configure(3)
            site.fleet.start()
            site.start(6, 3)
            await site.pass_time(SETTLING)
            for number in range(count):
                body = f"long {number}".encode()
                site.fleet.spawn(callers.ask(kind, body, retries=0))
            await site.pass_time(seconds)
            site.fleet.kill("decode")
            await site.pass_time(2 * wait)
            ends += callers.ends

        site.play(story(site))
        assert len(ends) == count, (seed, ends)
        assert {end.status for end in ends} == {200}, (seed, ends)
