"""Steps on replicas that name a rate limit."""

import behave
from features.support import virtual_callers
from features.support import virtual_gateways
from features.support import virtual_limits

from gypsumfold.decisions import rate_limits
from gypsumfold.platform import names
from gypsumfold.platform import statements

QUIET = 3.0
LIMITED = 15.0
RATE = 130.0
LEAST_USED = 0.5
SEED = 1
# Seconds until a limit that has ended is known to have, and for which arrivals
# are compared then.
ENDED = 8.0
COMPARED = 5.0


def limit(site, limited, rate):
    """Lets some replicas name a limit; returns them."""
    count, stage, _ = limited.split()
    found = site.fleet.first(int(count), stage)
    for replica in found:
        replica.rate_limit = rate
    return found


async def play_trouble(site, trouble):
    """Lets gateways start again one by one, or reach some others only."""
    if trouble == "gateways are divided":
        # Each half has a relay of each data centre.
        site.divide(sorted(site.nodes)[: len(site.nodes) // 2])
    end = site.clock() + LIMITED
    while site.clock() < end:
        name = site.rng.choice(sorted(site.nodes))
        if trouble == "gateways start again":
            await site.restart_one(name)
        elif trouble == "gateways reach other replicas":
            addresses = sorted(site.fleet.replicas)
            cut = site.rng.sample(addresses, len(addresses) // 2)
            site.nodes[name].endpoints.cut_addresses = set(cut)
        await site.pass_time(1.0)


def play(nodes, limited, rate, trouble, spread=None, seed=SEED):
    """Plays limits; returns the worst window of each replica."""
    site = virtual_gateways.Site(seed)
    found = []

    async def story():
        await virtual_callers.start_asking(site, nodes, RATE, QUIET, spread)
        begin = site.clock()
        replicas = limit(site, limited, rate)
        await play_trouble(site, trouble)
        for replica in replicas:
            span = virtual_limits.Span(
                replica.instance, rate, begin, site.clock()
            )
            found.append(virtual_limits.judge(site.fleet, span))

    site.play(story())
    return found


@behave.then(
    "{limited} that name a limit of {rate:g} a second get no more from "
    "{nodes:d} gateways while {trouble}"
)
def step_within(context, limited, rate, nodes, trouble):
    for worst in play(nodes, limited, rate, trouble):
        assert worst.arrivals <= worst.allowed, worst


@behave.then(
    "at least half of the limit of {limited} at {rate:g} a second is used by "
    "{nodes:d} gateways of which callers reach {spread:d}"
)
def step_used(context, limited, rate, nodes, spread):
    found = play(nodes, limited, rate, "nothing else happens", spread)
    used = sum(worst.used for worst in found) / len(found)
    assert used >= LEAST_USED, found
    for worst in found:
        assert worst.arrivals <= worst.allowed, worst


@behave.then(
    "{limited} that named a limit of {rate:g} a second before {nodes:d} "
    "gateways gets as many requests as others once it names none"
)
def step_ended(context, limited, rate, nodes):
    site = virtual_gateways.Site(SEED)
    counts = {}

    async def story():
        await virtual_callers.start_asking(site, nodes, RATE, QUIET)
        (replica,) = limit(site, limited, rate)
        await site.pass_time(LIMITED)
        replica.rate_limit = None
        await site.pass_time(ENDED)
        begin = site.clock()
        await site.pass_time(COMPARED)
        for one in site.fleet.replicas.values():
            if one.stage == replica.stage:
                counts[one is replica, one.instance] = 0
        for arrival in site.fleet.arrivals:
            for key in counts:
                if arrival.instance == key[1] and arrival.at >= begin:
                    counts[key] += 1

    site.play(story())
    own = [count for key, count in counts.items() if key[0]]
    others = [count for key, count in counts.items() if not key[0]]
    assert own[0] >= LEAST_USED * sum(others) / len(others), counts


@behave.then(
    'after a limit of {rate:g} an answer that names "{value}" leaves {same:g}'
)
def step_unreadable(context, rate, value, same):
    known = rate_limits.RateLimits()
    for sent_at, text in enumerate((str(rate), value)):
        fields = ((names.RATE_LIMIT.encode(), text.encode()),)
        found = statements.read("i-1", 200, fields, float(sent_at))
        assert found.names_rate
        if found.rate is not None:
            known.observe("i-1", found.rate, found.sent_at)
    assert known.rate("i-1", 2.0) == same


@behave.then(
    "a limit of {rate:g} named in answer to a newer request outlasts one of "
    "{older:g} and none in answer to older ones"
)
def step_overtaken(context, rate, older):
    known = rate_limits.RateLimits()
    assert known.observe("i-1", rate, sent_at=5.0)
    assert not known.observe("i-1", older, sent_at=4.0)
    assert not known.observe("i-1", None, sent_at=3.0)
    assert known.rate("i-1", 6.0) == rate


@behave.then(
    "of the requests that {limited} at a limit of {rate:g} a second before "
    "{nodes:d} gateways leave no room for {share:d} in 100 are refused within "
    "{seconds:g} seconds"
)
def step_refused(context, limited, rate, nodes, share, seconds):
    site = virtual_gateways.Site(SEED)
    refused = []

    async def story():
        callers = await virtual_callers.start_asking(site, nodes, RATE, QUIET)
        limit(site, limited, rate)
        begin = site.clock() + virtual_limits.CONTACT
        await site.pass_time(LIMITED)
        for end in callers.ends:
            if end.at >= begin and end.status == 503:
                refused.append(end.seconds)

    site.play(story())
    quick = sum(waited <= seconds for waited in refused)
    assert refused and quick >= share / 100 * len(refused), (
        quick,
        len(refused),
    )
