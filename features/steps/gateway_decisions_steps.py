"""Steps on the gateways' decisions, played without processes."""

import random

import behave
from features.support import connection_load
from features.support import prompt_load

from gypsumfold.decisions import contact
from gypsumfold.decisions import outages
from gypsumfold.decisions import polling
from gypsumfold.decisions import retry_budget
from gypsumfold.decisions import routes
from gypsumfold.decisions import silence

SEEDS = (1, 2, 3, 4, 5)
# Seconds for which a prompt keeps an engine busy beside its tokens: engines
# read several short ones in one step.
STEP = 0.002


def play(policy, asks, seed):
    """Plays a load to six nodes and five engines."""
    played = prompt_load.Play(policy, nodes=6, engines=5, seed=seed)
    return played.run(asks), played


@behave.given(
    "{seconds:d} seconds of long prompts over {count:d} beginnings, "
    "{rate:d} a second"
)
def step_hot(context, seconds, count, rate):
    context.loads = {}
    for seed in SEEDS:
        context.loads[seed] = prompt_load.load(seconds, rate, count, seed)


@behave.when(
    "prompts go to the shortest queue, to homes by each node's own view, and "
    "to homes by all nodes' view"
)
def step_play_homes(context):
    policies = (
        prompt_load.Policy(homes=False, told=True, ranked=False),
        prompt_load.Policy(homes=True, told=False, ranked=False),
        prompt_load.Policy(homes=True, told=True, ranked=False),
    )
    context.shares = {}
    for seed, asks in context.loads.items():
        context.shares[seed] = [
            play(policy, asks, seed)[0] for policy in policies
        ]


@behave.then(
    "homes by all nodes' view read at least {bound:f} on time in each seed"
)
def step_bound(context, bound):
    for shares in context.shares.values():
        assert shares[-1] >= bound, context.shares


@behave.then("each step reads more on time than the one before in each seed")
def step_steps(context):
    for shares in context.shares.values():
        assert shares == sorted(shares), context.shares
        assert len(set(shares)) == len(shares), context.shares


@behave.given(
    "a steady load of {rate:d} prompts a second and {count:d} new long ones "
    "within a second"
)
def step_burst(context, rate, count):
    context.loads = {}
    for seed in SEEDS:
        asks = prompt_load.load(30, rate, 60, seed)
        asks += prompt_load.burst(12, count, seed)
        context.loads[seed] = sorted(asks)


@behave.when(
    "prompts are read in order of urgency alone, and with late ones behind"
)
def step_play_ranks(context):
    context.shares = {}
    context.plays = []
    for seed, asks in context.loads.items():
        without, _ = play(prompt_load.Policy(ranked=False), asks, seed)
        ranked, played = play(prompt_load.Policy(), asks, seed)
        context.shares[seed] = (without, ranked)
        context.plays.append(played)


@behave.when(
    "late prompts go behind, without and with a count of those before them"
)
def step_play_counts(context):
    context.plays = []
    context.starved = []
    context.shares = {}
    for seed, asks in context.loads.items():
        without, first = play(prompt_load.Policy(counted=False), asks, seed)
        counted, second = play(prompt_load.Policy(), asks, seed)
        context.starved.append((first.starved, second.starved))
        context.shares[seed] = (without, counted)
        context.plays.append(second)


@behave.then(
    "with the count at most a third as many starve until their callers leave"
)
def step_starved(context):
    for without, counted in context.starved:
        assert without > 0 and 3 * counted <= without, context.starved


@behave.then("no fewer are read on time")
def step_no_fewer(context):
    for without, counted in context.shares.values():
        assert counted >= without - 0.005, context.shares


@behave.given(
    "{rate:d} short prompts a second, and {more:d} more for {seconds:d} seconds"
)
def step_short(context, rate, more, seconds):
    context.loads = {}
    for seed in SEEDS:
        asks = prompt_load.short_prompts(0, 4.0 + seconds, rate, seed)
        asks += prompt_load.short_prompts(2, seconds, more, seed + 50)
        context.loads[seed] = sorted(asks)


@behave.given("{rate:d} long prompts a second beside them")
def step_long_beside(context, rate):
    for seed, asks in context.loads.items():
        asks += prompt_load.long_prompts(0, 8, rate, seed + 99)
        asks.sort()


@behave.when(
    "a prompt counts for as long as its answer takes, and for as long as it "
    "keeps its engine busy"
)
def step_play_loads(context):
    play_both(context, prompt_load.Policy(latency=True), prompt_load.Policy())


@behave.when("late ones go behind all, and small late ones keep their place")
def step_play_kept(context):
    behind = prompt_load.Policy(kept=False, layered=False)
    play_both(context, behind, prompt_load.Policy())


def play_both(context, before, after):
    """Plays each load with two policies to engines that read in steps."""
    context.pairs = []
    for seed, asks in context.loads.items():
        pair = []
        for policy in (before, after):
            played = prompt_load.Play(policy, 6, 5, seed, STEP)
            played.run(asks)
            pair.append(played)
        context.pairs.append((asks, *pair))


@behave.then(
    "at least {most:d} are refused the first way, and none the second way"
)
def step_none_refused(context, most):
    for _, before, after in context.pairs:
        assert len(before.refused) >= most, len(before.refused)
        assert not after.refused, after.refused


def share(asks, played, urgency, limit=None):
    """The share of one kind that was read, within a limit if given."""
    asked = 0
    good = 0
    for number, ask in enumerate(asks):
        if ask.urgency != urgency:
            continue
        asked += 1
        seconds = played.seconds.get(number, 1e9)
        if seconds <= (limit or ask.patience):
            good += 1
    return good / asked


@behave.then("the second way reads more short ones on time in each seed")
def step_short_on_time(context):
    for asks, before, after in context.pairs:
        shares = [share(asks, one, 0, 0.25) for one in (before, after)]
        assert shares[1] > shares[0] + 0.1, shares


@behave.then("short ones are served no less than long ones in each seed")
def step_short_served(context):
    for asks, _, after in context.pairs:
        assert share(asks, after, 0) >= share(asks, after, 1)


@behave.then("late ones behind reads more on time in each seed")
def step_more(context):
    for without, ranked in context.shares.values():
        assert ranked > without, context.shares


@behave.then("refused callers get their answer at once")
def step_told(context):
    for played in context.plays:
        for seconds in played.refused.values():
            assert seconds == 0.0, played.refused


@behave.given(
    "the last engine was lost {lost:f} seconds ago and a change takes "
    "{change:d} seconds"
)
def step_lost(context, lost, change):
    context.lost = lost
    context.change = change


@behave.when("a request comes whose caller waits {waits:f} of {left:f} seconds")
def step_judge(context, waits, left):
    context.verdict = outages.decide(
        100.0 - context.lost, context.change, waits, left, 100.0
    )


@behave.then("it is held")
def step_held(context):
    assert context.verdict.hold, context.verdict


@behave.then("it is told to come back by {seconds:f}")
def step_come_back(context, seconds):
    assert not context.verdict.hold, context.verdict
    assert 0.0 < context.verdict.retry_after <= seconds, context.verdict


@behave.given(
    "six nodes that share a budget of {share:f} of the requests and "
    "{slack:d} in {window:d} seconds"
)
def step_budget(context, share, slack, window):
    context.policy = retry_budget.Policy(share, window, slack)
    context.budgets = [
        retry_budget.RetryBudget(context.policy) for _ in range(6)
    ]
    for budget in context.budgets:
        budget.nodes = 6


@behave.when(
    "every attempt of {rate:d} requests a second fails for {seconds:d} seconds"
)
def step_outage(context, rate, seconds):
    context.repeats = []
    context.rate = rate
    for number in range(rate * seconds):
        now = number / rate
        budget = context.budgets[number % len(context.budgets)]
        budget.record_request("seats", now)
        for _ in range(3):
            if budget.allow("seats", now):
                context.repeats.append(now)


@behave.when(
    "every attempt of {rate:d} requests a second fails from second {first:d} "
    "on and all start again {before:g} seconds later"
)
def step_restarts(context, rate, first, before):
    context.repeats = []
    context.rate = rate
    restart = first + before
    for number in range(rate * 40):
        now = number / rate
        if context.budgets and now >= restart > now - 1 / rate:
            context.budgets = [restarted(context, now) for _ in range(6)]
        budget = context.budgets[number % 6]
        budget.record_request("seats", now)
        if now < first:
            continue
        for _ in range(3):
            if budget.allow("seats", now):
                context.repeats.append(now)


def restarted(context, now):
    """The budget of a node that has just started again."""
    budget = retry_budget.RetryBudget(context.policy)
    budget.nodes = 6
    budget.started_at = now
    return budget


@behave.given(
    "{nodes:d} nodes that start again and share a budget of {share:f} of the "
    "requests and {slack:d} in {window:d} seconds"
)
def step_restarting(context, nodes, share, slack, window):
    rng = random.Random(1)
    context.policy = retry_budget.Policy(share, window, slack)
    context.budgets = []
    for _ in range(nodes):
        budget = retry_budget.RetryBudget(context.policy, rng.random())
        budget.nodes = nodes
        budget.started_at = 0.0
        context.budgets.append(budget)


@behave.then("they send at least {least:d} repeats and at most {most:d}")
def step_together(context, least, most):
    assert least <= len(context.repeats) <= most, len(context.repeats)


@behave.then("no {window:d} seconds have more repeats than the budget")
def step_windows(context, window):
    most = context.policy.share * context.rate * window + context.policy.slack
    for start in context.repeats:
        count = 0
        for at in context.repeats:
            if start <= at < start + window:
                count += 1
        assert count <= most, (start, count, most)


@behave.then("at least {share:f} of the budget is used")
def step_used(context, share):
    window = context.policy.window
    most = context.policy.share * context.rate * window + context.policy.slack
    last = [at for at in context.repeats if at >= 20.0]
    assert len(last) >= share * most, (len(last), most)


@behave.given("an engine that owes an answer")
def step_owes(context):
    context.silence = silence.SilenceDetector()
    context.silence.started("engine-1", 0.0)


@behave.then("it is silent after {seconds:f} seconds of looks")
def step_silent(context, seconds):
    found = []
    for number in range(int(seconds * 10) + 1):
        found = context.silence.check(number / 10)
    assert found == ["engine-1"], found


@behave.then(
    "it is not silent when the node itself stood still for {seconds:d} seconds"
)
def step_stood(context, seconds):
    assert context.silence.check(0.5 + seconds) == []
    assert context.silence.check(0.6 + seconds) == []


@behave.given('routes "/a/", "/a/b/" and one split 90 to 10')
def step_routes(context):
    found = []
    for prefix in ("/a/", "/a/b/", "/s/"):
        targets = (routes.Target("one", 90), routes.Target("two", 10))
        if prefix != "/s/":
            targets = (routes.Target("one", 1),)
        found.append(
            routes.Route(
                prefix,
                "desk.example",
                prefix,
                routes.Kind.IDEMPOTENT,
                1.0,
                0.2,
                1,
                2,
                targets,
            )
        )
    context.route_table = routes.RouteTable(found)


@behave.then('"{path}" takes "{prefix}" and "{other}" takes "{shorter}"')
def step_longest(context, path, prefix, other, shorter):
    assert context.route_table.match("desk.example:80", path).name == prefix
    assert context.route_table.match("DESK.example", other).name == shorter


@behave.then("an unknown host or path takes none")
def step_unknown(context):
    assert context.route_table.match("other.example", "/a/") is None
    assert context.route_table.match("desk.example", "/b/") is None


@behave.then(
    "between {low:f} and {high:f} of {count:d} requests go to the heavier "
    "target"
)
def step_weights(context, low, high, count):
    route = context.route_table.match("desk.example", "/s/1")
    heavier = 0
    for number in range(count):
        if route.pick_service(f"request-{number}") == "one":
            heavier += 1
    assert low <= heavier / count <= high, heavier


@behave.given(
    "replicas that must get no work {bound:d} seconds after they leave"
)
def step_leaving_bound(context, bound):
    context.bound = bound


@behave.then(
    "{few:d} nodes read every {short:f} seconds and {many:d} nodes every "
    "{long:f} seconds"
)
def step_pauses(context, few, short, many, long):
    assert polling.poll_interval(few, context.bound) == short
    assert polling.poll_interval(many, context.bound) == long


@behave.then(
    "with {bound:d} seconds {many:d} nodes read every {long:f} seconds"
)
def step_pause(context, bound, many, long):
    assert polling.poll_interval(many, bound) == long


@behave.given("a store that refuses for {seconds:d} seconds")
def step_refusing(context, seconds):
    context.tries = []
    for seed in SEEDS:
        rng = random.Random(seed)
        pauses = []
        while sum(pauses) < seconds:
            pauses.append(polling.retry_delay(len(pauses) + 1, rng.random()))
        context.tries.append(pauses)


@behave.then("a reader asks it at most {count:d} times")
def step_tries(context, count):
    assert max(len(pauses) for pauses in context.tries) <= count, context.tries


@behave.then("no pause is longer than {seconds:d} second")
def step_longest_pause(context, seconds):
    for pauses in context.tries:
        assert max(pauses) <= seconds, pauses


@behave.given(
    "195 nodes that have 82 short answers a second generated by 13 engines"
)
def step_many_nodes(context):
    context.seeds = range(1, 4)


@behave.when(
    "engines are chosen with and without a preference for open connections"
)
def step_preference(context):
    context.counts = []
    for seed in context.seeds:
        context.counts.append(
            [connection_load.generators(way, seed) for way in (True, False)]
        )


@behave.then(
    "with it they open at most {share:g} times as many in each seed, and fill "
    "no engine by more than {more:g} more"
)
def step_fewer_generators(context, share, more):
    for with_it, without in context.counts:
        assert with_it.opened <= share * without.opened, (with_it, without)
        assert with_it.fullest <= without.fullest + more, (with_it, without)


@behave.given(
    "a node that was in touch with the store until a call of {asked:g} s failed"
)
def step_lost(context, asked):
    context.contact = contact.Contact(bound=3.0, now=0.0)
    context.contact.answered(now=0.1)
    assert context.contact.failed(asked, now=asked + 0.8)


@behave.when(
    "a call is answered at {answered:g} s, and one that was made at {asked:g} "
    "s fails at {failed:g} s"
)
def step_late_failure(context, answered, asked, failed):
    assert context.contact.answered(answered) is not None
    assert not context.contact.failed(asked, failed)


@behave.when(
    "the last call that fails is made at {asked:g} s, and one is answered at "
    "{answered:g} s"
)
def step_last_failure(context, asked, answered):
    assert not context.contact.failed(asked, asked + 0.8)
    assert context.contact.answered(answered) is not None


@behave.then(
    "a replica without entry is kept for {seconds:g} seconds more at {at:g} s, "
    "and not at {end:g} s"
)
def step_kept(context, seconds, at, end):
    assert abs(context.contact.grace(at) - seconds) < 1e-6
    assert context.contact.grace(end) == 0.0
