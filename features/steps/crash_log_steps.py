"""Steps on what is known of crashes, on one node and among several."""

import asyncio
import itertools
import random
import time
from unittest import mock

import behave
from features.steps import crashing_requests_steps as plays
from features.support import virtual_gateways

from gypsumfold.decisions import canaries as canaries_module
from gypsumfold.decisions import crash_types
from gypsumfold.decisions import crashes as crashes_module
from gypsumfold.decisions import retry_budget
from gypsumfold.decisions import routes
from gypsumfold.gateway import directory as directory_module
from gypsumfold.gateway import plain_calls
from gypsumfold.gateway import progress as progress_module
from gypsumfold.gateway import quarantine as quarantine_module
from gypsumfold.gateway import rate_permits
from gypsumfold.gateway import retry_permits
from gypsumfold.gateway import runs as runs_module
from gypsumfold.gateway import types

SEED = 7
# Entries of one message between nodes, at most.
MOST_SENT = 56
REQUEST = 7
REPLICA = types.Replica("i-1", "app", "10.0.0.7:8080", "north", 8, False)


def replica(number):
    """One of several replicas."""
    return crash_types.Incarnation(f"i-{number}")


@behave.then(
    "{count:d} shuffled exchanges of {crashes:d} crashes with {requests:d} "
    "requests each, some doubled, give the same verdicts"
)
def step_shuffled(context, count, crashes, requests):
    rng = random.Random(SEED)
    reports = []
    for number in range(crashes):
        seen = [REQUEST, *rng.sample(range(100, 200), requests - 1)]
        for fingerprint in seen:
            output = rng.random() < 0.5 and fingerprint != REQUEST
            cleared = rng.random() < 0.2 and fingerprint != REQUEST
            reports.append(
                crash_types.Interrupted(
                    replica(number), fingerprint, output, cleared
                )
            )
    found = set()
    for _ in range(count):
        shuffled = reports + rng.sample(reports, len(reports) // 3)
        rng.shuffle(shuffled)
        log = crashes_module.CrashLog()
        for report in shuffled:
            log.merge(report, False, 0.0)
        verdicts = []
        for fingerprint in sorted({one.fingerprint for one in reports}):
            verdicts.append(log.decide(fingerprint, 1.0))
        found.add(tuple(verdicts))
    assert len(found) == 1, len(found)
    assert crash_types.Decision.QUARANTINED in next(iter(found))


@behave.given("a request that has crashed {count:d} replicas")
def step_crashed(context, count):
    context.log = crashes_module.CrashLog()
    for number in range(count):
        context.log.interrupted(replica(number), REQUEST, False, 0.0)
    context.now = 0.0


def judged(context):
    """What may be done with the request now."""
    return context.log.decide(REQUEST, context.now)


@behave.then("it is in quarantine for {seconds:d} seconds")
def step_quarantined(context, seconds):
    context.now += seconds - 1.0
    assert judged(context) == crash_types.Decision.QUARANTINED
    context.now += 2.0
    assert judged(context) == crash_types.Decision.CANARY, judged(context)


@behave.then(
    "it may then run as a canary though other nodes still send of its crashes"
)
def step_tried(context):
    for number in range(3):
        report = crash_types.Interrupted(replica(number), REQUEST, False, False)
        context.log.merge(report, True, context.now)
    assert judged(context) == crash_types.Decision.CANARY, judged(context)


@behave.then("one more crash puts it into quarantine for {seconds:d} seconds")
def step_again(context, seconds):
    assert context.log.interrupted(replica(9), REQUEST, False, context.now)
    step_quarantined(context, seconds)


@behave.when("it runs to its end on another node")
def step_completed(context):
    other = crashes_module.CrashLog()
    for report in context.log.updates(context.now, MOST_SENT):
        other.merge(report, True, context.now)
    assert other.completed(REQUEST)
    for report in other.updates(context.now, MOST_SENT):
        context.log.merge(report, True, context.now)


@behave.then("it is sent like any other")
def step_free(context):
    assert judged(context) == crash_types.Decision.FREE, judged(context)


@behave.when(
    "{replicas:d} replicas crash, each with {requests:d} requests of its own"
)
def step_attack(context, replicas, requests):
    context.log = crashes_module.CrashLog()
    for number in range(replicas):
        for other in range(requests):
            context.log.interrupted(
                replica(number), number * requests + other, False, 0.0
            )


@behave.then(
    "at most {crashes:d} crashes with {requests:d} requests each are remembered"
)
def step_bounded(context, crashes, requests):
    assert len(context.log.crashes) <= crashes
    for crash in context.log.crashes.values():
        assert len(crash.requests) <= requests
    assert len(context.log.suspected) <= crashes * requests
    assert len(context.log.pending_sends) <= crashes * requests


@behave.when(
    "{nodes:d} nodes that pass on all that is new to them run {count:d} "
    "canaries to their ends"
)
def step_pass_on(context, nodes, count):
    rng = random.Random(SEED)
    context.now = 0.0
    context.nodes = []
    for owner in range(nodes):
        context.nodes.append(canaries_module.Canaries(owner))
    waiting = []
    for number in range(count):
        node = rng.choice(context.nodes)
        node.start(number, f"i-{number % 3}")
        waiting.append((node, node.updates(True, context.now, MOST_SENT)))
        node.end(number, context.now)
        waiting.append((node, node.updates(True, context.now, MOST_SENT)))
    context.messages = 0
    while waiting and context.messages < 10_000:
        sender, message = waiting.pop(rng.randrange(len(waiting)))
        context.messages += 1
        for node in context.nodes:
            if node is sender:
                continue
            news = [node.merge(canary, context.now) for canary in message]
            if any(news):
                passed_on = node.updates(True, context.now, MOST_SENT)
                waiting.append((node, passed_on))


@behave.then("no message is left after {most:d} of them, and no canary is left")
def step_died_down(context, most):
    assert context.messages <= most, context.messages
    for node in context.nodes:
        for canary in node.known.values():
            assert canary.until <= context.now, canary


@behave.given("a node with requests that were interrupted at a replica")
def step_interrupted(context):
    context.directory = directory_module.Directory(random.Random(SEED))
    context.directory.put(REPLICA)
    context.quarantine = quarantine_module.Quarantine(
        runs_module.InterruptedRuns(context.directory)
    )
    context.interrupted = [REQUEST, REQUEST + 1]
    context.later = 0.0


def interrupt(context):
    """Interrupts the requests at the replica as it is known by now."""
    for fingerprint in context.interrupted:
        run = runs_module.Run(fingerprint, (), REPLICA, is_prefill=False)
        context.quarantine.record_interruption(run)


@behave.when("the replica answers the next question")
def step_answers(context):
    interrupt(context)
    context.directory.replica_answered(REPLICA.instance)
    context.directory.process_ended(REPLICA.instance)


@behave.when("the replica had said that it leaves")
def step_leaves(context):
    context.directory.put(REPLICA._replace(draining=True))
    interrupt(context)
    context.directory.process_ended(REPLICA.instance)


@behave.when("nothing is known of the replica for {seconds:d} s")
def step_unknown(context, seconds):
    interrupt(context)
    clock = directory_module.time.monotonic
    with mock.patch("time.monotonic", lambda: clock() + seconds):
        context.directory.process_ended(REPLICA.instance)


@behave.when("nothing listens at the replica's address")
def step_ended(context):
    interrupt(context)
    context.directory.process_ended(REPLICA.instance)


@behave.when("the replica says that it has just started")
def step_started(context):
    context.directory.put(REPLICA._replace(started_at=1000))
    interrupt(context)
    context.directory.put(REPLICA._replace(started_at=2000))


@behave.when("the replica's entry goes")
def step_entry_goes(context):
    interrupt(context)
    context.directory.drop(REPLICA.instance, 0.0, 0.0)


@behave.then("nobody is suspected")
def step_nobody(context):
    assert not context.quarantine.crash_log.suspected


@behave.then("its requests are suspected")
def step_suspected(context):
    found = set(context.quarantine.crash_log.suspected)
    assert found == set(context.interrupted), found


@behave.then(
    "two plays of one seed with {nodes:d} gateways and {crashing:d} requests "
    "that crash replicas end alike"
)
def step_alike(context, nodes, crashing):
    found = []
    for _ in range(2):
        site = virtual_gateways.Site(SEED)
        ends = []

        async def story(site, ends=ends):
            callers = await plays.begin(site, nodes)
            plays.crash(callers, crashing)
            await plays.no_trouble(site)
            ends += callers.ends

        site.play(story(site))
        assert ends
        found.append(ends)
    for first, second in itertools.zip_longest(*found):
        assert first == second, (first, second)


class FailingEndpoints:
    """Replicas that answer every call with 500."""

    def __init__(self, answered):
        self.answered = answered

    async def send(self, replica, call, instructions):
        """Answers a call."""
        self.answered(replica)
        return mock.Mock(
            status=500,
            reason="",
            fields=(),
            not_run=False,
            read=mock.AsyncMock(return_value=b"failed"),
        )


@behave.given(
    "a call that one replica answers with {status:d} while another node runs "
    "it as a canary"
)
def step_answered_then(context, status):
    step_interrupted(context)
    context.directory.put(REPLICA._replace(instance="i-2"))
    now = time.monotonic()
    call = types.Call("a", "GET", "/", "h", (), None, now, now + 5.0)
    progress = progress_module.Progress(call)
    context.sent = []

    def suspect(replica):
        context.sent.append(replica)
        canary = canaries_module.Canary(
            progress.fingerprint, 1, 1, "i-3", now + 1.0
        )
        context.quarantine.canaries.merge(canary, now)

    budget = retry_budget.RetryBudget(retry_budget.Policy(1.0, 10.0, 50.0))
    budget.nodes = 1
    serving = plain_calls.PlainCalls(
        context.directory,
        FailingEndpoints(suspect),
        retry_permits.RetryPermits(budget),
        rate_permits.RatePermits(retry_permits.lend_nothing, random.Random(1)),
        "north",
        context.quarantine,
    )
    context.reply = mock.AsyncMock()
    route = routes.Route(
        "r", "h", "/", routes.Kind.IDEMPOTENT, 5.0, 0.1, 0, 2, ()
    )
    asyncio.run(serving.serve(route, "app", context.reply, progress))


@behave.then("its caller gets the {status:d} at once")
def step_gets(context, status):
    assert context.reply.send.call_args.args[0] == status
    assert len(context.sent) == 1, context.sent
