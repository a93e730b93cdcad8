"""Steps on what replicas get beyond the first arrival of each request."""

import behave
from features.support import virtual_budget
from features.support import virtual_callers
from features.support import virtual_gateways

# Seconds for which gateways learn what there is, for which callers ask before
# the replicas reject, and for which they then do.
QUIET = 6.0
REJECTING = 24.0
REJECTED_SHARE = 0.9
# Seconds between two changes of the links.
TURN = 2.0
# Requests a second that a burst adds, and how long it lasts.
BURST_RATE = 300.0
BURST = 6.0
LEAST_USED = 0.5
SEED = 1


async def cut_by_turns(site, count, seconds, how):
    """Lets gateways reach a part of the replicas only."""
    addresses = sorted(site.fleet.replicas)
    for turn in range(int(seconds / TURN)):
        for name in sorted(site.nodes)[:count]:
            cut = addresses[turn % 2 :: 2]
            if how == "half of the replicas":
                cut = addresses[::2]
            elif how == "other replicas by turns":
                cut = site.rng.sample(addresses, len(addresses) // 2)
            site.nodes[name].endpoints.cut_addresses = set(cut)
        await site.pass_time(TURN)


async def restart_all(site, times, pause):
    """Restarts all gateways within a window in which they have retried."""
    await site.pass_time(virtual_budget.WINDOW)
    for _ in range(times):
        await site.restart()
        await site.pass_time(pause)
    await site.pass_time(virtual_budget.WINDOW)


async def restart_singly(site, pause):
    """Restarts one gateway after the other, all again and again."""
    await site.pass_time(virtual_budget.WINDOW / 2)
    end = site.clock() + REJECTING
    while site.clock() < end:
        await site.restart_one(site.rng.choice(sorted(site.nodes)))
        await site.pass_time(pause)


async def end_burst(site, callers):
    """Ends a burst, and restarts gateways after it."""
    burst = site.fleet.spawn(callers.others(BURST_RATE))
    await site.pass_time(BURST)
    burst.cancel()
    await restart_singly(site, TURN)


async def cut_and_restart(site):
    """Lets gateways reach a part of the replicas while all start again."""
    for _ in range(4):
        await cut_by_turns(
            site, len(site.nodes), 2 * TURN, "other replicas by turns"
        )
        await site.restart()
    await site.pass_time(virtual_budget.WINDOW)


async def play_trouble(site, callers, trouble):
    """Plays one kind of trouble."""
    words = trouble.replace(",", "").split()
    if trouble == "nothing else happens":
        await site.pass_time(REJECTING)
    elif "gateways reach " in trouble:
        how = trouble.partition("gateways reach ")[2]
        await cut_by_turns(site, int(words[0]), REJECTING, how)
    elif words[0] == "all":
        await restart_all(site, int(words[4]), float(words[6]))
    elif words[0] == "single":
        await restart_singly(site, float(words[4]))
    elif words[1] == "burst":
        await end_burst(site, callers)
    else:
        await cut_and_restart(site)


def play(nodes, rate, trouble, spread=None, seed=SEED):
    """Plays a site; returns the worst window of each service."""
    site = virtual_gateways.Site(seed)
    kept = []

    async def story():
        callers = await virtual_callers.start_asking(
            site, nodes, rate, QUIET, spread
        )
        site.fleet.refusing_share = REJECTED_SHARE
        kept.append(callers)
        await play_trouble(site, callers, trouble)

    site.play(story())
    found = []
    for service in virtual_budget.SERVICES:
        found.append(virtual_budget.worst(site, kept[0], service))
    return found


@behave.then(
    "replicas of {nodes:d} gateways at {rate:d} requests a second get no more "
    "retries than the budget allows while {trouble}"
)
def step_within(context, nodes, rate, trouble):
    for worst in play(nodes, rate, trouble):
        assert worst.extra <= worst.allowed, worst


@behave.then(
    "with {nodes:d} gateways of which callers reach {spread:d} at {rate:d} "
    "requests a second at least half of the budget is used"
)
def step_used(context, nodes, spread, rate):
    for worst in play(nodes, rate, "nothing else happens", spread):
        assert worst.extra <= worst.allowed, worst
        assert worst.extra >= LEAST_USED * worst.allowed, worst
