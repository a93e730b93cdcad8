"""Steps on what a gateway still takes for its own after a pause."""

import asyncio
import random
import types
from unittest import mock

import behave
from features.support import virtual_gateways

from gypsumfold import clocks
from gypsumfold.decisions import canaries as canaries_module
from gypsumfold.decisions import crash_types
from gypsumfold.gateway import crash_messages
from gypsumfold.gateway import directory as directory_module
from gypsumfold.gateway import quarantine as quarantine_module
from gypsumfold.gateway import runs as runs_module
from gypsumfold.gateway import types as gateway_types

SEED = 1
REQUEST = 7
REPLICA = gateway_types.Replica(
    "i-1", "app", "10.0.0.7:8080", "north", 8, False
)
# Seconds until an update has reached all gateways; a pause begins halfway.
PROPAGATION = 0.05


def pause(context, how, seconds):
    """Lets time pass for others while a gateway does nothing.

    While its machine is suspended, its monotonic clock stands still.
    """
    context.site.clock.now += seconds
    if how == "suspended":
        context.suspended += seconds


def play(context, story):
    """Plays a story in which a machine may be suspended."""
    context.suspended = 0.0
    loop_clock = virtual_gateways.Clock.__call__

    def monotonic(clock):
        return loop_clock(clock) - context.suspended

    # The event loop's clock stands still as well.
    with mock.patch.object(virtual_gateways.Clock, "__call__", monotonic):

        async def patched():
            with mock.patch.object(
                clocks, "now", lambda: context.site.clock.now
            ):
                await story()

        context.site.play(patched())


@behave.given("a request that two crashes are suspected of")
def step_suspected(context):
    context.site = virtual_gateways.Site(SEED)
    context.directory = directory_module.Directory(random.Random(SEED))
    context.directory.put(REPLICA)
    context.quarantine = quarantine_module.Quarantine(
        runs_module.InterruptedRuns(context.directory)
    )
    context.quarantine.propagation_time = lambda: PROPAGATION
    context.progress = types.SimpleNamespace(
        subjects=(REQUEST,), fingerprint=REQUEST, parts=()
    )


def suspect(context):
    """Records the crashes."""
    suspicions = []
    for number in (2, 3):
        replica = crash_types.Incarnation(f"i-{number}")
        suspicions.append(
            crash_types.Interrupted(replica, REQUEST, False, False)
        )
    context.quarantine.merge_suspicions(suspicions, False)


@behave.when("its gateway reserves a replica and is {paused} for {seconds:g} s")
def step_reserves(context, paused, seconds):
    async def story():
        suspect(context)
        other = canaries_module.Canaries(owner=2**32)
        reserving = asyncio.create_task(
            context.quarantine.reserve(context.progress, REPLICA)
        )
        await asyncio.sleep(PROPAGATION / 2)
        sent_at = context.site.clock.now
        for one in context.quarantine.canaries.updates(
            False, context.site.clock(), 8
        ):
            message = crash_messages.from_canary(one, context.site.clock())
            other.merge(crash_messages.to_canary(message, sent_at), sent_at)
        pause(context, paused, seconds)
        own = await reserving
        # Until the run's begin is known elsewhere.
        at = context.site.clock.now + PROPAGATION
        context.may_run = [own, other.is_free(REQUEST, "i-4", at)]

    play(context, story)


@behave.then("{count:d} of the two gateways that want to run it may")
def step_runs(context, count):
    assert sum(context.may_run) == count, context.may_run
