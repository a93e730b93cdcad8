"""Steps on gateways that are cut off from all replicas."""

import behave
from features.support import virtual_callers
from features.support import virtual_gateways

from gypsumfold import exceptions

# Seconds for which gateways learn what there is, and for which callers ask
# before the cut.
QUIET = 2.0
# Seconds after a cut's begin from which its callers count, and of the cut.
CONTACT = 3.0
CUT = 12.0
HEALED = 6.0
# Seconds within which a leader that is cut off is replaced.
AUTHORITY = 5.0
# Seconds for which a sound replica may be silent.
SILENCE = 1.0
# Requests a second, so that far more than ten reach each gateway that is cut.
RATE = 90.0
# First attempts at gateways that are cut off are served less than this share
# as often as the others, and more than so many of them fail: the bound of the
# users' rule.
SHARE = 2 / 3
FAILED = 10
FAILED_SHARE = 1 / 50
FIRST_SEED = 1
ATTEMPT_FAILED = 222
FORWARDED = 233


def pick(site, cut):
    """The gateways to cut off."""
    names = list(site.nodes)
    if cut == "most":
        return names[: 2 * len(names) // 3]
    if cut == "all of a data centre":
        data_centre = site.nodes[names[0]].data_centre
        return [
            name
            for name in names
            if site.nodes[name].data_centre == data_centre
        ]
    return names[: int(cut)]


def change(site, names, how, cut):
    """Cuts gateways off, or ends that."""
    for name in names:
        endpoints = site.nodes[name].endpoints
        if how == "refused":
            endpoints.refused = cut
        else:
            endpoints.cut = cut


async def play_cut(site, nodes, cut, how, found):
    """Plays one cut and what follows; collects what is needed to judge it."""
    callers = await virtual_callers.start_asking(site, nodes, RATE, QUIET)
    names = pick(site, cut)
    begin = site.clock()
    change(site, names, how, True)
    await site.pass_time(CUT)
    end = site.clock()
    change(site, names, how, False)
    await site.pass_time(HEALED)
    found["names"] = names
    found["callers"] = callers
    found["span"] = (begin + CONTACT, end)
    found["after"] = (end + CONTACT, site.clock())


def play(plays, nodes, cut, how):
    """Plays seeds; yields each with what it gave."""
    for seed in range(FIRST_SEED, FIRST_SEED + plays):
        site = virtual_gateways.Site(seed)
        found = {}
        site.play(play_cut(site, nodes, cut, how, found))
        yield seed, site, found


def first_attempts(found, span, cut):
    """First attempts within a span, at gateways cut off or at the others."""
    begin, end = span
    kept = []
    for one in found["callers"].ends:
        if not one.first or not begin <= one.at < end:
            continue
        if (one.gateway in found["names"]) == cut:
            kept.append(one)
    return kept


def is_served_worse(cut, others):
    """Whether the users' rule on gateways that are cut off is broken."""
    served = sum(one.status == 200 for one in cut)
    served_others = sum(one.status == 200 for one in others)
    failed = len(cut) - served
    share = served / len(cut)
    return share < SHARE * served_others / len(
        others
    ) and failed > FAILED + FAILED_SHARE * len(cut)


@behave.then(
    "in each of {plays:d} plays {cut} of {nodes:d} gateways whose connections "
    "are {how} serve first attempts as the others do"
)
def step_served(context, plays, cut, nodes, how):
    for seed, _, found in play(plays, nodes, cut, how):
        for span in (found["span"], found["after"]):
            cut_off = first_attempts(found, span, cut=True)
            others = first_attempts(found, span, cut=False)
            assert len(cut_off) > FAILED, (seed, len(cut_off))
            served = sum(one.status == 200 for one in cut_off)
            served_others = sum(one.status == 200 for one in others)
            assert not is_served_worse(cut_off, others), (
                f"seed {seed}: {served} of {len(cut_off)} at gateways that are "
                f"cut off, {served_others} of {len(others)} at the others"
            )


@behave.then(
    "in each of {plays:d} plays with {cut} of {nodes:d} gateways whose "
    "connections are {how} nothing runs twice and no refusal is untrue"
)
def step_true(context, plays, cut, nodes, how):
    once = virtual_callers.BRIEF[0]
    for seed, site, found in play(plays, nodes, cut, how):
        callers = found["callers"]
        runs = {}
        for arrival in site.fleet.arrivals:
            if arrival.ran:
                runs[arrival.attempt] = runs.get(arrival.attempt, 0) + 1
        twice = [
            attempt
            for attempt, path in callers.paths.items()
            if path == once and runs.get(attempt, 0) > 1
        ]
        assert not twice, (seed, twice[:5])
        untrue = callers.false_promises()
        assert not untrue, (seed, untrue[:5])


@behave.then(
    "before {nodes:d} gateways no request is passed on while one replica after "
    "the other is silent for 1 second"
)
def step_silence(context, nodes):
    site = virtual_gateways.Site(FIRST_SEED)

    async def story():
        await virtual_callers.start_asking(site, nodes, RATE, QUIET)
        for address in list(site.fleet.replicas):
            for node in site.nodes.values():
                until = site.clock() + SILENCE
                node.endpoints.silent_until[address] = until
            await site.pass_time(SILENCE)

    site.play(story())
    forwarded = [line for line in site.lines if line[1] == FORWARDED]
    assert not forwarded, forwarded[:3]


@behave.then(
    "before {nodes:d} gateways that are all cut off a request is passed on to "
    "each other one once at most, and refused as not run"
)
def step_all_cut(context, nodes):
    site = virtual_gateways.Site(FIRST_SEED)
    found = {}

    async def story():
        callers = await virtual_callers.start_asking(site, nodes, RATE, QUIET)
        change(site, list(site.nodes), "silent", True)
        await site.pass_time(2 * CONTACT)
        found["since"] = site.clock() - CONTACT
        found["callers"] = callers

    site.play(story())
    asked = {}
    for _, number, fields in site.lines:
        if number == FORWARDED:
            key = (fields["request"], fields["to"])
            asked[key] = asked.get(key, 0) + 1
    assert asked, "nothing was passed on"
    assert max(asked.values()) == 1, max(asked, key=asked.get)
    late = [end for end in found["callers"].ends if end.at > found["since"]]
    assert late
    assert {end.status for end in late} <= {503}, late[:3]
    assert not found["callers"].false_promises()


@behave.then(
    "a gateway declines a request that was passed on to it if {reason}"
)
def step_declines(context, reason):
    site = virtual_gateways.Site(FIRST_SEED)
    found = {}

    async def story():
        callers = await virtual_callers.start_asking(site, 3, RATE, QUIET)
        node = site.nodes["edge-0"]
        handler = node.gateway.handler
        call = callers.call(virtual_callers.LOOKUP, b"x", 1.0)
        version = 3
        if reason == "it has an older configuration":
            version = 4
        elif reason == "it is cut off as well":
            change(site, ["edge-0"], "silent", True)
            await site.pass_time(CONTACT)
            call = callers.call(virtual_callers.LOOKUP, b"x", 1.0)
        else:
            call = call._replace(account="north-air")
        arrived = len(site.fleet.arrivals)
        try:
            await handler.serve_forwarded(
                call, version, 0, None, virtual_callers.Reply()
            )
        except exceptions.PeerRefused as error:
            found["reason"] = str(error)
        found["ran"] = [
            one
            for one in site.fleet.arrivals[arrived:]
            if one.attempt == call.id
        ]

    site.play(story())
    assert found["reason"], found
    assert not found["ran"], found


@behave.then(
    "1 of {nodes:d} gateways whose new connections are refused uses nothing of "
    "the retry budget"
)
def step_budget(context, nodes):
    for seed, site, found in play(1, nodes, "1", "refused"):
        budget = site.nodes[found["names"][0]].gateway.budget
        used = {
            service: len(times) for service, times in budget.retries.items()
        }
        failed = [line for line in site.lines if line[1] == ATTEMPT_FAILED]
        assert failed, seed
        # Another gateway prefills again what an engine had prefilled here
        # before the connections were refused: one retry each.
        prefilled = set()
        for one in site.fleet.arrivals:
            if one.gateway == found["names"][0] and one.accepted:
                prefilled.add(one.attempt)
        passed_on = 0
        for _, number, fields in site.lines:
            if number == FORWARDED and fields["request"] in prefilled:
                passed_on += 1
        assert sum(used.values()) <= passed_on, (seed, used, passed_on)


@behave.then(
    "1 of {nodes:d} gateways whose new connections are refused takes no "
    "replica for crashed"
)
def step_no_crash(context, nodes):
    site = virtual_gateways.Site(FIRST_SEED)
    crashed = []

    async def story():
        await virtual_callers.start_asking(site, nodes, RATE, QUIET)
        names = pick(site, "1")
        directory = site.nodes[names[0]].gateway.directory
        directory.crash_listeners.append(crashed.append)
        change(site, names, "refused", True)
        await site.pass_time(CUT)

    site.play(story())
    refused = [line for line in site.lines if line[1] == ATTEMPT_FAILED]
    assert refused
    assert not crashed, crashed[:3]


@behave.then(
    "when the leader and {cut} of {nodes:d} gateways are cut off the authority "
    "is {whose} within 5 seconds"
)
def step_authority(context, cut, nodes, whose):
    site = virtual_gateways.Site(FIRST_SEED)
    holders = []

    def find_holders():
        found = []
        for node in site.nodes.values():
            if node.gateway.leadership.token(site.clock()) is not None:
                found.append(node.name)
        return found

    async def story():
        await virtual_callers.start_asking(site, nodes, RATE, QUIET)
        first = find_holders()
        assert len(first) == 1, first
        change(
            site, list(site.nodes) if cut == "all" else first, "silent", True
        )
        await site.pass_time(AUTHORITY)
        holders.append((first, find_holders()))

    site.play(story())
    ((before, after),) = holders
    assert len(after) == 1, holders
    if whose == "another's":
        assert after != before, holders
