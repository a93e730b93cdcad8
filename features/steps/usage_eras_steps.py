"""Steps on reports of usage after the store has returned from a copy."""

import asyncio
import contextlib
import random

import behave
from features.steps import store_drills_steps as drills
from features.support import virtual_gateways
from features.support import virtual_operations

from gypsumfold import exceptions
from gypsumfold.decisions import metering
from gypsumfold.platform import names

# Seconds of what was written before the drill that the copy lacks: a window's
# total, and not that of the one before.
LOST = 4.0
# Seconds after a window's end at which its leader reports it.
REPORTED = 4.0


async def lead(context, token, seconds):
    """Lets a gateway start and lead for some seconds."""
    reporter = drills.reporter(context.site, context.platform, token)
    task = asyncio.create_task(reporter.run())
    await asyncio.sleep(seconds)
    await virtual_gateways.cancelled([task])


@behave.given("a window that was reported just before a drill")
def step_reported(context):
    context.site = site = virtual_gateways.Site(drills.SEED)
    context.platform = virtual_operations.Platform(random.Random(drills.SEED))
    policy = drills.POLICY
    window = policy.index(site.clock()) + 3

    async def story():
        leader = asyncio.create_task(lead(context, 1, 60.0))
        await asyncio.sleep(policy.end(window) - site.clock())
        drills.count(site, "edge-1-a", window, 5)
        await asyncio.sleep(REPORTED)
        await virtual_gateways.cancelled([leader])
        site.log.go_back(LOST)
        # It was written again by then, and another gateway's besides.
        drills.count(site, "edge-1-a", window, 5)
        drills.count(site, "edge-2-a", window, 3)

    site.play(story())
    context.started_at = site.clock()
    calls = context.platform.duties.calls
    assert window in [call.body["windowSeq"] for call in calls], calls


@behave.when("a gateway that starts after the drill leads for {seconds:g} s")
def step_lead(context, seconds):
    context.site.play(lead(context, 2, seconds))


@behave.when(
    "another gateway starts {pause:g} s later and leads for {seconds:g} s"
)
def step_lead_later(context, pause, seconds):
    async def story():
        await asyncio.sleep(pause)
        await lead(context, 3, seconds)

    context.site.play(story())


@behave.then("no window is reported with other counts")
def step_no_contradiction(context):
    duties = context.platform.duties
    assert duties.contradictions() == [], duties.calls


@behave.then(
    "all windows that have closed since the first one's start are reported"
)
def step_all_reported(context):
    policy = drills.POLICY
    accepted = context.platform.duties.accepted(names.USAGE_PATH)
    found = {call.body["windowSeq"] for call in accepted}
    missing = []
    last = policy.index(context.site.clock() - policy.due)
    for index in range(policy.index(context.started_at) - 3, last):
        closed = metering.close_time(index, float("-inf"), policy)
        if closed > context.started_at + 1.0 and index not in found:
            missing.append(index)
    assert not missing, (missing, sorted(found))


@behave.given("a leader whose report of a window had no answer")
def step_unanswered(context):
    context.site = site = virtual_gateways.Site(drills.SEED)
    context.platform = virtual_operations.Platform(random.Random(drills.SEED))
    context.reporter = drills.reporter(site, context.platform, 1)

    async def story():
        await asyncio.sleep(drills.POLICY.window + 1.0)
        context.platform.silent = True
        with contextlib.suppress(exceptions.OperationsUnavailable):
            await context.reporter.check()
        context.platform.silent = False

    site.play(story())
    assert len(context.reporter.recorded) == 1, context.reporter.recorded
    assert not context.platform.duties.calls


@behave.when("the store falls silent while its authority lasts")
def step_silent(context):
    async def story():
        context.reporter.store.path.cut()
        task = asyncio.create_task(context.reporter.run())
        await asyncio.sleep(2.0)
        await virtual_gateways.cancelled([task])

    # As after a failed call.
    context.reporter.position = None
    context.site.play(story())


@behave.then("the window is reported all the same")
def step_reported_all_the_same(context):
    accepted = context.platform.duties.accepted(names.USAGE_PATH)
    found = {call.body["windowSeq"] for call in accepted}
    assert set(context.reporter.recorded) <= found, found
