"""Steps on gateway processes that follow relays."""

import behave
from features.support import gateway_calls as callers
from features.support import gateways

from gypsumfold import events

DATA_CENTRES = ("north-apron", "cargo-ramp")
GATEWAYS = 8
# Datagrams to all others up to so few nodes that eight of them do not.
MESH = 2
# Calls to the store in which reads of a start come back; two relays make them
# in some four seconds.
FIRST_CALLS = 30
# Time after which a leaving replica must get no work: followers trust what is
# half as old, so that a busy machine does not make them doubt.
LEAVING_MS = 4000
# Why a gateway has called the store: it relays, it doubts its relay.
WHY_CALLED = (
    events.RELAY_CHOSEN.number,
    events.KNOWLEDGE_DOUBTED.number,
    events.STORE_LOST.number,
)


@behave.given(
    "eight gateways in two data centres, one of each the relay of all others"
)
def step_gateways(context):
    fleet = context.fleet
    context.places = {}
    context.stopped = set()
    context.cut = set()
    for number in range(GATEWAYS):
        start(context, f"edge-{number}", DATA_CENTRES[number % 2])
    for name in context.places:
        fleet.until_ready(name)
    gateways.until(lambda: settled(context), "no relays were agreed on")
    # What followers asked the store before they knew a relay has come back
    # then; else they would learn a change by that.
    called(context, FIRST_CALLS)


def start(context, name, data_centre):
    """Starts a gateway that reaches the store by a proxy of its own."""
    context.places[name] = data_centre
    context.fleet.store_proxy(name)
    context.fleet.start_gateway(name, False, data_centre, LEAVING_MS, mesh=MESH)


def running(context):
    """The gateways that are neither dead nor frozen."""
    return [name for name in context.places if name not in context.stopped]


def relay(context, name):
    """The relay that a gateway has chosen last."""
    found = context.fleet[name].events(events.RELAY_CHOSEN.number)
    return found[-1]["relay"] if found else ""


def relays(context):
    """The relay of each data centre; none where its nodes do not agree."""
    found = {}
    for data_centre in DATA_CENTRES:
        chosen = set()
        for name in running(context):
            if context.places[name] == data_centre:
                chosen.add(relay(context, name))
        if len(chosen) == 1 and chosen <= set(running(context)):
            found[data_centre] = chosen.pop()
    return found


def settled(context):
    """Whether each data centre has one relay that runs."""
    return len(relays(context)) == len(DATA_CENTRES)


def followers(context):
    """The running gateways that are no relays."""
    chosen = set(relays(context).values())
    return [name for name in running(context) if name not in chosen]


@behave.when(
    "the store refuses all but the relays, until these called it {calls:d} "
    "times"
)
def step_refused(context, calls):
    fleet = context.fleet
    context.others = followers(context)
    # None of them offers itself for the authority any more.
    gateways.until(
        lambda: offering(context) <= set(relays(context).values()),
        "others than relays offer themselves",
    )
    for name in context.others:
        fleet.store_proxies[name].cut()
    context.before = {name: lost(context, name) for name in context.others}
    first = fleet["store"].test("record")["calls"]
    slots = 7
    while fleet["store"].test("record")["calls"] < first + calls:
        slots += 1
        before = {name: changes(context, name) for name in context.others}
        fleet.register("app-2", "app", slots=slots)
        for name in context.others:
            gateways.until(
                lambda name=name, seen=before[name]: (
                    changes(context, name) > seen
                ),
                f"{name} does not know the entry of {slots} slots",
            )


def called(context, calls):
    """Waits until the store was called so many times more."""
    store = context.fleet["store"]
    last = store.test("record")["calls"] + calls
    gateways.until(
        lambda: store.test("record")["calls"] >= last,
        "nobody calls the store",
    )


def offering(context):
    """The gateways that offer to give orders to engines."""
    found = set()
    for member in context.fleet["store"].test("record")["members"]:
        found.add(member.rpartition("-")[0])
    return found & set(context.places)


def changes(context, name):
    """Counts the changed entries of replicas that a gateway has seen."""
    return len(context.fleet[name].events(events.REPLICA_CHANGED.number))


def lost(context, name):
    """Counts the times at which a gateway has missed the store."""
    return len(context.fleet[name].events(events.STORE_LOST.number))


@behave.then("none of the others has noticed")
def step_unnoticed(context):
    for name in context.others:
        why = [
            line
            for line in context.fleet[name].log_lines()
            if line.get("number") in WHY_CALLED
        ]
        assert lost(context, name) == context.before[name], (name, why[-6:])


@behave.given("two gateways that follow are cut off from the store")
def step_cut(context):
    for name in followers(context)[:2]:
        context.fleet.store_proxies[name].cut()


@behave.given("the relays are {fault}")
def step_fault(context, fault):
    for name in relays(context).values():
        apply(context, name, fault)


def apply(context, name, fault):
    """Does something to a gateway."""
    fleet = context.fleet
    if fault == "killed":
        context.stopped.add(name)
        fleet[name].kill()
    elif fault == "frozen":
        context.stopped.add(name)
        fleet[name].freeze()
    elif fault == "cut off from the store":
        context.cut.add(name)
        fleet.store_proxies[name].cut()
    elif fault == "partitioned from the store":
        context.cut.add(name)
        fleet.store_proxies[name].partition()
    else:
        raise AssertionError(fault)


@behave.given("the relay of the first data centre is cut off from the store")
def step_first(context):
    name = relays(context)[DATA_CENTRES[0]]
    apply(context, name, "cut off from the store")
    context.inside = []
    for follower in followers(context):
        if context.places[follower] == DATA_CENTRES[0]:
            context.inside.append(follower)
    context.doubts = {one: doubts(context, one) for one in context.inside}


def doubts(context, name):
    """Counts the times at which a gateway doubted what it was told."""
    return len(context.fleet[name].events(events.KNOWLEDGE_DOUBTED.number))


@behave.then("those that follow it have not read the store in doubt")
def step_trusting(context):
    for name in context.inside:
        assert doubts(context, name) == context.doubts[name], name


@behave.given(
    'no other gateway hears it or is heard by it while "{name}" is marked as '
    "leaving"
)
def step_unheard(context, name):
    fleet = context.fleet
    relay_name = relays(context)[DATA_CENTRES[0]]
    fleet[relay_name].freeze()
    context.stopped.add(relay_name)
    step_changes(context, name)
    step_known(context)
    context.unheard = relay_name


@behave.when("they hear each other again")
def step_heard(context):
    context.fleet[context.unheard].thaw()
    context.stopped.clear()


@behave.given("the relays that took over are frozen too")
def step_second(context):
    gateways.until(lambda: settled(context), "nobody took over")
    for name in relays(context).values():
        apply(context, name, "frozen")


@behave.given("the relays' open connections to the store fall silent")
def step_silent(context):
    for name in relays(context).values():
        context.fleet.store_proxies[name].silence()


@behave.given("no gateway reaches the store")
def step_none_reaches(context):
    for proxy in context.fleet.store_proxies.values():
        proxy.cut()


@behave.when("all gateways reach the store again")
def step_reach(context):
    for proxy in context.fleet.store_proxies.values():
        proxy.heal()


@behave.given("the store forgets all but the newest record of each key")
@behave.when("the store forgets all but the newest record of each key")
def step_forgets(context):
    context.fleet["store"].faults(forgotten=10_000)


@behave.given('"{name}" is marked as leaving and a new configuration comes')
@behave.when('"{name}" is marked as leaving and a new configuration comes')
def step_changes(context, name):
    context.fleet.register(name, "app", state="draining")
    context.version = context.fleet.configure()
    context.leaving = name


@behave.given("all running gateways know both")
@behave.then("all running gateways know both")
def step_known(context):
    for name in running(context):
        context.fleet.until_known(name, context.leaving)
        gateways.until(
            lambda name=name: in_force(context, name) == context.version,
            f"{name} has not the version {context.version}",
        )


@behave.then("all running gateways that reach the store know both")
def step_known_where(context):
    context.stopped |= context.cut
    step_known(context)


def in_force(context, name):
    """The version of the configuration that a gateway uses."""
    found = context.fleet[name].events(events.CONFIG_IN_FORCE.number)
    return found[-1]["version"]


@behave.when("the frozen gateways wake and relay again")
def step_wake(context):
    woken = set(context.stopped)
    for name in woken:
        context.fleet[name].thaw()
    context.stopped.clear()
    gateways.until(
        lambda: set(relays(context).values()) == woken,
        "the woken ones do not relay",
    )


@behave.then('callers of each gateway get no answer from "{name}"')
def step_served(context, name):
    before = context.fleet[name].test("record")["arrivals"]
    for gateway in running(context):
        context.gateway = context.fleet[gateway]
        answer = callers.call(context, "POST", "/seats/7", b"hold")
        callers.sealed(context.sent, answer)
    assert context.fleet[name].test("record")["arrivals"] == before


@behave.when("another gateway starts in the first data centre")
def step_another(context):
    start(context, "edge-8", DATA_CENTRES[0])
    context.fleet.until_ready("edge-8")
