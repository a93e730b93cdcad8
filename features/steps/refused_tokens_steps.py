"""Steps on calls that the platform refuses."""

import asyncio

import behave
from features.steps import capacity_steps
from features.steps import usage_steps
from features.support import fixed_leader
from features.support import virtual_gateways
from features.support import virtual_operations

from gypsumfold.platform import names
from gypsumfold.platform import operations as operations_module

TOKEN = 3
# Seconds that pass before a play, of which windows are due at its begin, and
# after a shortage.
BEFORE = 40.0
AFTERWARDS = 20.0


@behave.given(
    "a platform that has seen a token above the holder's by {ahead:d}"
)
def step_ahead(context, ahead):
    context.site = virtual_gateways.Site(seed=1)
    context.platform = virtual_operations.Platform(context.site.rng)
    context.ahead = ahead


@behave.when("the holder reports usage for {seconds:g} s")
def step_report(context, seconds):
    site = context.site
    platform = context.platform

    async def story():
        await asyncio.sleep(BEFORE)
        context.first = usage_steps.POLICY.index(site.clock())
        seen = operations_module.encode_usage(1, {})
        highest = fixed_leader.grant(TOKEN + context.ahead)
        await platform.report_usage(seen, "edge-9", highest)
        reporter = usage_steps.reporter(site.log, platform, TOKEN, site.clock)
        reporter.refused.listener = reporter.leadership.begin_anew
        task = asyncio.create_task(reporter.run())
        await asyncio.sleep(seconds)
        due = site.clock() - usage_steps.POLICY.due
        context.last = usage_steps.POLICY.index(due) - 1
        await virtual_gateways.cancelled([task])

    site.play(story())


@behave.then(
    "all windows of that time are reported, and no refused token comes again"
)
def step_reported(context):
    duties = context.platform.duties
    accepted = duties.accepted(names.USAGE_PATH)
    found = {call.body["windowSeq"] for call in accepted}
    missing = set(range(context.first, context.last + 1)) - found
    assert not missing, (missing, duties.calls)
    refused = [call.token for call in duties.calls if not call.accepted]
    assert refused == sorted(set(refused)), refused


@behave.given("a leader of {count:d} replicas, {lost:d} of which are lost")
def step_leader(context, count, lost):
    context.lead = capacity_steps.Lead()
    context.count = count
    context.lost = lost


@behave.when("the platform has no replicas to give for {seconds:g} s")
def step_shortage(context, seconds):
    lead = context.lead
    lead.scaler.refused.listener = lead.leader.begin_anew

    async def story():
        for _ in range(context.count):
            lead.register()
        task = asyncio.create_task(lead.scaler.run())
        await asyncio.sleep(BEFORE)
        lead.platform.has_replicas = False
        del lead.replicas[-context.lost :]
        await asyncio.sleep(seconds)
        context.refused = lead.platform.refused
        context.highest = max(lead.leader.refused, default=-1)
        lead.platform.has_replicas = True
        context.ended_at = lead.site.clock()
        await asyncio.sleep(AFTERWARDS)
        await virtual_gateways.cancelled([task])

    lead.site.play(story())


@behave.then(
    "the leader orders replicas again once there are some, with a higher token"
)
def step_orders_again(context):
    calls = context.lead.platform.duties.calls
    later = [call for call in calls if call.at >= context.ended_at]
    steady = [call for call in later if not call.body["spot"]]
    assert steady, calls
    assert all(call.token > context.highest >= TOKEN for call in later), later


@behave.then("in the shortage it had at most {most:d} orders refused")
def step_refused(context, most):
    assert 0 < context.refused <= most, context.refused
