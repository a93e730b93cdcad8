"""Steps on the split of engines between prompts and tokens."""

import asyncio
from unittest import mock

import behave
from features.support import made_up

from gypsumfold.decisions import role_changes
from gypsumfold.decisions import role_split
from gypsumfold.decisions import types
from gypsumfold.gateway import role_planning
from gypsumfold.gateway import types as gateway_types

# Seconds between two looks of the planner.
LOOK = 0.15


@behave.given("a split of six engines of which one generates")
def step_split_one(context):
    start_split(context, 1)


@behave.given("a split of six engines of which two generate")
def step_split_two(context):
    start_split(context, 2)


def start_split(context, decoders, count=6):
    """Makes engines and a planner that has seen traffic before."""
    context.roles = {}
    for number in range(count):
        role = types.Role.DECODE if number < decoders else types.Role.PREFILL
        context.roles[f"engine-{number}"] = role
    context.split = role_split.RoleSplit()
    context.now = 0.0
    context.changes = 0
    pass_time(context, 1.0, 0.5, 0.3)


def pass_time(context, seconds, prompts, memories, demand=0.0, changing=""):
    """Lets the planner look at a load again and again."""
    end = context.now + seconds
    while context.now < end:
        views = []
        for name, role in context.roles.items():
            view = role_changes.EngineView(
                name, "dc", role, changing=name == changing
            )
            views.append(view)
        load = role_split.Load(prompts, memories, demand)
        for change in context.split.plan(views, load, context.now):
            context.roles[change.engine] = change.role
            context.changes += 1
        context.now += LOOK


@behave.when(
    "{seconds:d} seconds pass with {prompts:f} seconds of prompts and streams "
    "of {memories:f} memories"
)
def step_pass(context, seconds, prompts, memories):
    pass_time(context, seconds, prompts, memories)


@behave.when("the mix turns over every second for {seconds:d} seconds")
def step_turn(context, seconds):
    for number in range(seconds):
        if number % 2:
            pass_time(context, 1.0, 4.0, 0.2)
        else:
            pass_time(context, 1.0, 0.2, 1.0)


@behave.then("{count:d} engine generates")
@behave.then("{count:d} engines generate")
def step_generate(context, count):
    found = list(context.roles.values()).count(types.Role.DECODE)
    assert found == count, context.roles


@behave.then("at most {count:d} changes were made")
def step_changes(context, count):
    assert context.changes <= count, context.changes


@behave.given("an engine with {slots:d} slots and memory for {memory:d} tokens")
def step_engine(context, slots, memory):
    context.slots = slots
    context.memory = memory


@behave.then(
    "{first:d} streams of {short:d} tokens fill it, and so do {second:d} of "
    "{long:d}"
)
def step_fill(context, first, short, second, long):
    for count, tokens in ((first, short), (second, long)):
        share = role_split.stream_share(tokens, context.memory, context.slots)
        assert 0.98 < count * share < 1.02, (count, tokens, share)


@behave.given(
    "a split of {count:d} engines of which {decoders:d} generate, under a "
    "load of {load:f} engines"
)
def step_large_split(context, count, decoders, load):
    context.roles = {}
    for number in range(count):
        generates = number < decoders
        role = types.Role.DECODE if generates else types.Role.PREFILL
        context.roles[f"engine-{number}"] = role
    context.split = role_split.RoleSplit()
    context.now = 0.0
    context.changes = 0
    context.load = load
    pass_time(context, 3.0, 5.0, load)


def lose(context, count, seconds):
    """Takes generating engines away for a while."""
    names = [name for name, role in context.roles.items() if role != "prefill"]
    lost = {name: context.roles.pop(name) for name in names[:count]}
    pass_time(context, seconds, 5.0, context.load)
    context.roles.update(lost)
    pass_time(context, seconds, 5.0, context.load)


@behave.when("{count:d} generating engines are lost for {seconds:d} seconds")
def step_lose(context, count, seconds):
    lose(context, count, float(seconds))


@behave.then("no change was made")
def step_no_change(context):
    assert context.changes == 0, context.changes


@behave.then("{count:d} lost ones are replaced")
def step_replaced(context, count):
    lose(context, count, 2.0)
    assert context.changes > 0, context.changes


@behave.when("another node takes over while its engine's change is under way")
def step_take_over(context):
    """The new holder sees the old roles until the change shows."""
    context.split = role_split.RoleSplit()
    changing = next(
        name
        for name, role in context.roles.items()
        if role == types.Role.PREFILL
    )
    pass_time(context, 2.0, 0.5, 0.7, changing=changing)
    context.roles[changing] = types.Role.DECODE
    pass_time(context, 2.0, 0.5, 0.7)


@behave.when("most prompts are refused for {seconds:d} seconds")
def step_refused(context, seconds):
    """What waits is little, what comes is more than the readers take."""
    pass_time(context, seconds, 0.4, 1.4, demand=3.0)


@behave.when(
    "{seconds:d} seconds pass at the height of a burst with {prompts:f} "
    "seconds of prompts, streams of {memories:f} memories and a demand of "
    "{demand:f} readers"
)
def step_burst_height(context, seconds, prompts, memories, demand):
    pass_time(context, seconds, prompts, memories, demand=demand)


@behave.given(
    "a split of {count:d} engines of which {decoders:d} generate, in a mix "
    "that both can serve"
)
def step_mixed_split(context, count, decoders):
    start_split(context, decoders, count)


@behave.when("two engines that read crash and come back generating")
def step_come_back(context):
    """The split is off its target, and prompts need the engines soon."""
    readers = [
        name
        for name, role in context.roles.items()
        if role == types.Role.PREFILL
    ]
    for name in readers[:2]:
        del context.roles[name]
    pass_time(context, 0.6, 2.0, 0.8, demand=3.0)
    context.changes = 0
    for name in readers[:2]:
        context.roles[name] = types.Role.DECODE
    context.found = []
    for changing in ("", readers[0]):
        views = [
            role_changes.EngineView(name, "dc", role, changing=name == changing)
            for name, role in context.roles.items()
        ]
        load = role_split.Load(2.0, 0.8, 3.0)
        context.found.append(context.split.plan(views, load, context.now))
        context.now += LOOK


@behave.then("one of them is ordered to read, and none while it changes")
def step_one_ordered(context):
    first, second = context.found
    assert [change.role for change in first] == [types.Role.PREFILL], first
    assert second == [], second


@behave.given(
    "engines that read {rate:d} tokens a second, with KV caches of {size:d} "
    "bytes a token and links of {gbits:d} Gbit/s"
)
def step_links(context, rate, size, gbits):
    context.moving = role_split.transfer_load(size, gbits * 1e9 / 8, rate)


@behave.then("{generators:d} of {engines:d} engines generate at a start")
def step_initial(context, generators, engines):
    found = role_split.initial_decoders(engines, context.moving)
    assert found == generators, (found, context.moving)


SERVICE = gateway_types.Service("lm", 0, cache_tokens=400_000)
ORDERED = "i-ordered"
STEADY = "i-steady"


def engine(name, role):
    """An engine as it is registered."""
    return gateway_types.Replica(
        name, "lm", f"10.0.0.1:{len(name)}", name, 64, False, role
    )


@behave.given(
    "a planner with {readers:d} engines that read and one that generates"
)
def step_planner(context, readers):
    gossip = made_up.gossip()
    directory = gossip.directory
    for place in range(readers):
        directory.put(engine(f"i-{place}", types.Role.PREFILL))
    directory.put(engine(STEADY, types.Role.DECODE))
    directory.put(engine(ORDERED, types.Role.PREFILL))
    context.planner = role_planning.RolePlanner(
        mock.Mock(),
        directory,
        mock.Mock(),
        mock.Mock(),
        gossip,
        gossip.loads.prefix_router,
    )
    pressed = role_split.Load(1.5 * readers, streams=0.3, demand=1.2 * readers)
    context.planner.load = lambda service, now: pressed
    context.ordered = []

    async def order(service, change):
        context.ordered.append(change.engine)

    context.planner.order = order
    context.now = 100.0


@behave.given(
    "another engine that was ordered to generate 5 seconds ago, which has not "
    "shown"
)
def step_unshown(context):
    planner = context.planner
    planner.pending[ORDERED] = role_planning.PendingOrder(
        types.Role.DECODE, 200.0
    )
    plan(context)
    # The change before was long enough ago for another one.
    planner.splits["lm"].changed_at = context.now - role_split.SETTLE_SECONDS


def plan(context):
    """Has the planner look once."""
    with mock.patch.object(
        role_planning.time, "monotonic", lambda: context.now
    ):
        asyncio.run(context.planner.plan(SERVICE))


@behave.when("prompts press for {seconds:d} seconds")
def step_press(context, seconds):
    end = context.now + seconds
    while context.now < end:
        context.now += 0.15
        plan(context)


@behave.then("the one that surely generates was not ordered to read")
def step_not_ordered(context):
    assert STEADY not in context.ordered, context.ordered


@behave.then("once the other one shows its role, one of the two is")
def step_then_ordered(context):
    context.planner.pending.clear()
    context.planner.directory.put(engine(ORDERED, types.Role.DECODE))
    step_press(context, 12)
    assert {STEADY, ORDERED} & set(context.ordered), context.ordered


@behave.given("there is no traffic")
def step_no_traffic(context):
    context.planner.load = lambda service, now: role_split.Load(0.0, 0.0)


@behave.given("streams that fill {count:d} engines")
def step_streams(context, count):
    load = role_split.Load(0.1, float(count), 1.0)
    context.planner.load = lambda service, now: load


@behave.when("the engines are about to be replaced for {seconds:d} seconds")
def step_replacing(context, seconds):
    context.planner.is_replacing = lambda service: True
    step_press(context, seconds)


@behave.then("no engine is ordered to change its role")
def step_none_ordered(context):
    assert context.ordered == [], context.ordered


@behave.then("once they are replaced, engines are")
def step_ordered_once_replaced(context):
    context.planner.is_replacing = lambda service: False
    step_press(context, 2)
    assert context.ordered


@behave.then("engines are ordered to change their roles")
def step_ordered_under_load(context):
    assert context.ordered
