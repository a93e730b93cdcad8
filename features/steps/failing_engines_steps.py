"""Steps on replicas that answer each run with a failure, at once."""

import random
from unittest import mock

import behave
from features.support import virtual_callers
from features.support import virtual_gateways

from gypsumfold.gateway import directory as directory_module
from gypsumfold.gateway import run_results
from gypsumfold.gateway import types

# Requests a second of all callers, and seconds before the trouble.
RATE = 60.0
QUIET = 2.0
TROUBLE = 8.0
# Seconds until all gateways know that an engine fails.
KNOWN = 1.0
INSTANCES = ("i-1", "i-2", "i-3", "i-4")


@behave.given("{nodes:d} gateways with 4 engines that generate")
def step_gateways(context, nodes):
    seed = int(context.active_outline["seed"])
    context.site = virtual_gateways.Site(seed)
    context.nodes = nodes


@behave.when(
    "one of the engines answers each run with a failure for {seconds:d} seconds"
)
def step_failing(context, seconds):
    site = context.site

    async def story():
        callers = await virtual_callers.start_asking(
            site, context.nodes, RATE, QUIET
        )
        failing = site.fleet.first(1, "decode")[0]
        failing.failing = True
        context.since = site.clock()
        await site.pass_time(seconds)
        failing.failing = False
        await site.pass_time(QUIET)
        context.failing = failing.instance
        context.callers = callers

    site.play(story())


@behave.then("after 1 second it gets at most a tenth of the streams")
def step_share(context):
    start = context.since + KNOWN
    end = context.since + TROUBLE
    counts = {}
    for one in context.site.fleet.arrivals:
        streams = one.ran and one.parts
        if streams and start <= one.at < end:
            counts[one.instance] = counts.get(one.instance, 0) + 1
    share = counts.get(context.failing, 0) / sum(counts.values())
    assert share <= 0.1, counts


@behave.then(
    "at least 98 in 100 of the streams that may be resumed are answered"
)
def step_answered(context):
    callers = context.callers
    ends = {}
    for end in callers.ends:
        if callers.paths[end.attempt] == virtual_callers.SWAP[0]:
            ends[end.body] = ends.get(end.body, False) or end.status == 200
    assert sum(ends.values()) >= 0.98 * len(ends), ends


@behave.then("no refusal is false")
def step_refusals(context):
    assert not context.callers.false_promises()


@behave.given("a directory with 4 plain replicas of which one fails at once")
def step_directory(context):
    context.directory = directory_module.Directory(random.Random(1))
    context.results = run_results.RunResults(context.directory)
    for instance in INSTANCES:
        replica = types.Replica(
            instance, "app", f"{instance}:1", "dc", 6, False
        )
        context.directory.put(replica)


@behave.when("{count:d} calls are placed by the gateways' totals")
def step_placed(context, count):
    directory = context.directory
    context.counts = dict.fromkeys(INSTANCES, 0)
    for number in range(count):
        now = 1000.0 + number * 0.02
        with mock.patch("time.monotonic", lambda now=now: now):
            chosen = directory.choice.least_busy(
                directory.eligible.ready("app", now)
            )
        context.counts[chosen.instance] += 1
        status = 500 if chosen.instance == INSTANCES[0] else 200
        context.results.answered(chosen, status, now)


@behave.then("the failing replica gets at most a tenth of them")
def step_few(context):
    count = context.counts[INSTANCES[0]]
    assert count <= sum(context.counts.values()) / 10, context.counts
