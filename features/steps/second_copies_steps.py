"""Steps on second copies of slow requests."""

import asyncio
import collections
import itertools
import math
import random
import time
from unittest import mock

import behave
from features.support import second_copy_parts
from features.support import virtual_budget
from features.support import virtual_callers
from features.support import virtual_gateways

from gypsumfold import exceptions
from gypsumfold.decisions import retry_budget
from gypsumfold.decisions import routes
from gypsumfold.decisions import second_copies
from gypsumfold.gateway import directory as directory_module
from gypsumfold.gateway import plain_calls
from gypsumfold.gateway import progress as progress_module
from gypsumfold.gateway import quarantine
from gypsumfold.gateway import rate_permits
from gypsumfold.gateway import retry_permits
from gypsumfold.gateway import runs
from gypsumfold.gateway import types
from gypsumfold.gateway.peers import frames
from gypsumfold.gateway.peers import messages
from gypsumfold.gateway.peers import seals

OBJECTIVE = 0.2
# Share of requests that are slow, just below that which stops all copies.
SLOW_SHARE = 0.45
# Seconds between two spells of a slow replica.
PAUSE = 6.0
# Seconds after the winner's answer in which the other copy has to end, and for
# which two copies may run.
CUT = 0.05
LONGEST_OVERLAP = 0.4


@behave.given("{nodes:d} gateways that may copy {share:d} in 100 requests")
def step_site(context, nodes, share):
    context.site = virtual_gateways.Site(1)
    context.site.copies = (share / 100,)
    context.nodes = nodes


@behave.given("they may copy prefills as well")
def step_prefills(context):
    context.site.copies = (*context.site.copies, virtual_budget.WINDOW, True)


@behave.when("callers ask for {seconds:d} seconds while {trouble}")
def step_ask(context, seconds, trouble):
    site = context.site

    async def story():
        context.callers = await virtual_callers.start_asking(
            site, context.nodes, 1e-6, 0.0
        )
        leave = trouble == "callers leave early"
        kind = virtual_callers.LOOKUP
        if len(site.copies) > 1:
            kind = virtual_callers.SWAP
        site.fleet.spawn(
            second_copy_parts.ask_often(context.callers, leave, kind)
        )
        end = site.clock() + seconds
        while site.clock() < end:
            await site.pass_time(PAUSE - second_copy_parts.SPELL)
            await second_copy_parts.inject_fault(site, trouble)
        await virtual_gateways.cancelled(list(site.fleet.tasks))
        await site.pass_time(2.0)
        assert not site.fleet.kept_caches
        for node in site.nodes.values():
            directory = node.gateway.directory
            assert not directory.silence.open_requests, node.name

    site.play(story())


@behave.then("at least {share:d} in 100 answers come within the objective")
def step_fast(context, share):
    ends = context.callers.ends
    fast = 0
    for end in ends:
        fast += end.status == 200 and end.seconds <= OBJECTIVE
    assert fast >= share / 100 * len(ends), (fast, len(ends))


@behave.then("copies stay within the limits")
def step_limits(context):
    site, callers = context.site, context.callers
    copies = [at for at, number, _ in site.lines if number == 239]
    assert copies, "no copy was sent"
    sent = sorted(callers.sent.values())
    for start in copies:
        before = max(start - virtual_budget.WINDOW, start - 5.0, sent[0])
        allowed = max(
            virtual_budget.count(sent, before),
            virtual_budget.count(sent, start),
        )
        count = virtual_budget.count(copies, start)
        assert count <= site.copies[0] * allowed, (start, count, allowed)
    for service in virtual_budget.SERVICES:
        worst = virtual_budget.worst(site, callers, service)
        assert worst.extra <= worst.allowed, worst
    ran = {one.attempt for one in site.fleet.worked}
    for end in callers.ends:
        assert end.status not in (429, 503) or end.attempt not in ran, end
    by_attempt = collections.defaultdict(list)
    for one in site.fleet.worked:
        by_attempt[one.attempt].append(one)
    for worked in by_attempt.values():
        assert len({one.instance for one in worked}) <= 2, worked
        for one, other in itertools.pairwise(worked):
            overlap = min(one.ended, other.ended) - max(
                one.started, other.started
            )
            assert overlap <= LONGEST_OVERLAP, worked
            if overlap > 0:
                assert abs(one.ended - other.ended) <= CUT, worked


@behave.then(
    "{nodes:d} nodes at {rate:d} requests a second, many slow, keep to "
    "{share:d} copies in 100 while {trouble}"
)
def step_together(context, nodes, rate, share, trouble):
    rng = random.Random(nodes)
    policy = second_copies.Policy(share / 100)
    known = [second_copies.SecondCopies(policy) for _ in range(nodes)]
    sent, copies = [], []
    now = reported = restarted = 0.0
    while now < 50.0:
        now += rng.expovariate(rate)
        if now - reported > 0.25:
            second_copy_parts.exchange(
                known, now, "split" in trouble and now > 30
            )
            reported = now
        if "restart" in trouble and now - restarted > 0.4:
            known[rng.randrange(nodes)] = second_copies.SecondCopies(policy)
            restarted = now
        node = rng.choice(known)
        # Nodes notice within a few seconds that they are cut off.
        split = "split" in trouble and now > 33.0
        node.is_site_known = now > 5.0 and not split
        node.record_request("app", now)
        sent.append(now)
        slow = rng.random() < SLOW_SHARE
        node.record_speed("app", "lookups", slow, now)
        if slow and not node.refusal("app", "lookups", now):
            node.record_copy("app", now)
            copies.append(now)
    assert copies
    for start in copies:
        count = virtual_budget.count(copies, start)
        allowed = max(
            virtual_budget.count(sent, start),
            virtual_budget.count(sent, start - 5.0),
        )
        assert count <= share / 100 * allowed, (start, count, allowed)


@behave.given(
    "a node that has seen 1000 answers of which 6 in 100 take 10 times as long"
)
def step_seen(context):
    policy = second_copies.Policy(0.05)
    context.uncut = second_copy_parts.learn(
        second_copies.SecondCopies(policy), 1000, False
    )


@behave.when("the slow ones are cut short at the threshold {count:d} times")
def step_cut(context, count):
    limits = second_copies.SecondCopies(second_copies.Policy(0.05))
    context.cut = second_copy_parts.learn(limits, count, True)


@behave.then(
    "the threshold has not sunk below that of answers that are not cut"
)
def step_kept(context):
    assert context.cut >= 0.9 * context.uncut, (context.cut, context.uncut)


@behave.given(
    "a slow first replica that {first} and a second one that {second}"
)
def step_replicas(context, first, second):
    directory = directory_module.Directory(random.Random(1))
    context.directory = directory
    for instance in ("i-1", "i-2", "i-3"):
        directory.put(
            types.Replica(instance, "app", f"{instance}:1", "dc", 6, False)
        )
    limits = directory.second_copies
    limits.policy = second_copies.Policy(0.05)
    limits.is_site_known = True
    budget = retry_budget.RetryBudget(retry_budget.Policy(0.2, 10.0, 50.0))
    budget.nodes = 1
    now = time.monotonic()
    for _ in range(200):
        limits.record_request("app", now)
        limits.record_answer("r", 0.02, now)
    context.quarantine = quarantine.Quarantine(runs.InterruptedRuns(directory))
    context.endpoints = second_copy_parts.Endpoints(first, second)
    context.calls = plain_calls.PlainCalls(
        directory,
        context.endpoints,
        retry_permits.RetryPermits(budget),
        rate_permits.RatePermits(retry_permits.lend_nothing, random.Random(1)),
        "dc",
        context.quarantine,
    )
    context.usage = mock.Mock()
    call = types.Call("a", "GET", "/", "h", (), None, now, now + 3.0)
    context.progress = progress_module.Progress(call, context.usage)
    context.route = routes.Route(
        "r", "h", "/", routes.Kind.IDEMPOTENT, 5.0, 1.0, 0, 2, ()
    )


@behave.given("copies meet an obstacle: {obstacle}")
def step_obstacle(context, obstacle):
    limits = context.directory.second_copies
    route = context.route
    if "setting" in obstacle:
        limits.policy = second_copies.OFF
    if "not idempotent" in obstacle:
        context.route = route._replace(kind=routes.Kind.NON_IDEMPOTENT)
    if "one attempt" in obstacle:
        context.route = route._replace(attempts=1)
    if "unknown" in obstacle:
        limits.is_site_known = False
        limits.counts["requests/app"].slices.clear()
    send = context.endpoints.send

    async def hindered(replica, call, instructions):
        others = {"i-1", "i-2", "i-3"} - {replica.instance}
        second_copy_parts.add_obstacle(context, obstacle, others)
        return await send(replica, call, instructions)

    context.endpoints.send = hindered


@behave.when("a call with time for {seconds} seconds is sent")
def step_call(context, seconds):
    async def story():
        serve = context.calls.serve(
            context.route, "app", context.reply, context.progress
        )
        leaves = seconds == "leaving"
        async with asyncio.timeout(0.2 if leaves else float(seconds)):
            await serve

    context.reply = mock.AsyncMock()
    try:
        asyncio.run(story())
        sent = context.reply.send.call_args.args
        context.status = f"{sent[0]} of {sent[3].decode()}"
        if sent[0] != 200:
            context.status = str(sent[0])
    except exceptions.RequestError as error:
        context.status = str(error.status)
    except TimeoutError:
        context.status = "cancelled"


@behave.then("its caller gets {status} and it counts as {runs:d} runs")
def step_status(context, status, runs):
    assert context.status == status, context.status
    assert context.progress.runs == runs, context.progress.runs


@behave.then("it is metered {metered:d} times and leaves nothing open")
def step_closed(context, metered):
    assert context.usage.add.call_count == metered
    assert not context.directory.silence.open_requests
    for canary in context.quarantine.canaries.known.values():
        assert canary.until < math.inf, canary


@behave.then("the refusal counts as {result}")
def step_result(context, result):
    found = {name for _, name in context.directory.second_copies.results}
    assert found == set(result.replace("none", "").split()), found


@behave.when(
    "a node has {count:d} answers of {routes:d} routes to report beside "
    "{prompts:d} prompts"
)
def step_answers(context, count, routes, prompts):
    limits = second_copies.SecondCopies(second_copies.Policy(0.05))
    rng = random.Random(1)
    for number in range(count):
        route = f"route-of-a-customer-{number % routes}"
        limits.record_request("app", 1.0)
        limits.record_answer(route, rng.lognormvariate(-2.0, 0.8), 1.0)
        limits.record_speed("app", route, number < 6, 1.0)
    context.counts = limits.own(1.0)
    placed = [messages.Placement("engine", [1 << 60] * 2, [800] * 2)] * prompts
    context.report = messages.Report(
        messages.Contact("edge-1-0193", "edge-1", "dc", "10.0.0.1:9000"),
        1000,
        0,
        messages.EngineLoads(answers=context.counts),
        messages.Updates(placed),
    )


@behave.then(
    "its report has all prompts, and {known} counts for copies within a "
    "datagram"
)
def step_report(context, known):
    frame = frames.encode_report(context.report, seals.Sealer(["key"]))
    assert len(frame) <= messages.MAX_DATAGRAM_BYTES, len(frame)
    found = messages.decode_message(seals.Sealer(["key"]).open(frame))
    assert found.updates == context.report.updates
    expected = {}
    for key, count in context.counts.items():
        if known == "all" or key.startswith(("slow/", "late/")):
            expected[key] = count
    assert found.loads.answers == expected, len(frame)
