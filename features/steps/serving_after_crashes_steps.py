"""Steps on serving again once a part that crashes replicas comes no more."""

import asyncio
import contextlib
import random
import time
from unittest import mock

import behave
from features.steps import crashing_parts_steps as parts_steps
from features.support import virtual_callers
from features.support import virtual_engines
from features.support import virtual_gateways
from features.support import virtual_parts

from gypsumfold import exceptions
from gypsumfold.decisions import canaries as canaries_module
from gypsumfold.decisions import crash_types
from gypsumfold.decisions import crashes as crashes_module
from gypsumfold.decisions import subjects
from gypsumfold.gateway import directory as directory_module
from gypsumfold.gateway import plain_calls
from gypsumfold.gateway import quarantine as quarantine_module
from gypsumfold.gateway import runs as runs_module
from gypsumfold.gateway import types

# Seconds that gateways take to learn of the site.
SETTLING = 5.0
PREFILL_ENGINES = 4
# Requests a second, with the crashing part and of sound callers.
CULPRIT_RATE = 4.0
SOUND_RATE = 12.0
# Seconds for which only requests with the part come, so that no engine has
# answered one with the shared beginning, and for which they come in all.
ALONE_SECONDS = 1.0
CRASHING_SECONDS = 7.0
# Seconds after that until a decode engine is killed: it runs long answers of
# which a part is over.
KILL_AFTER_SECONDS = 4.0
# Seconds after the last crash within which sound requests begin again: the
# contact bound, and a second for each gateway's canary.
CONTACT_SECONDS = 3.0
CANARY_SECONDS = 1.0
# Seconds for which requests are counted then, and the share of each gateway's
# that has to begin.
COUNTED_SECONDS = 10.0
LEAST_BEGUN = 0.9
# As the callers' own kinds; its answer takes some 4 s.
LONG = (virtual_callers.BRIEF[0], 4000, 800, 150, 8.0)
KINDS = {
    "short": virtual_callers.BRIEF,
    "long": LONG,
    "interrupted": LONG,
    "often": LONG,
}
# Decode engines that are killed one after the other, and seconds between them.
KILLS = {"interrupted": 1, "often": 4}
KILL_INTERVAL_SECONDS = 1.5


def launch(fleet, versions):
    """Starts replicas, those of each stage with several software versions."""
    for place, stage in enumerate(fleet.wanted, 1):
        version = f"v{1 + place % versions}"
        service = "lm" if stage else "app"
        fleet.launch(
            virtual_engines.Replica(fleet, place, service, stage, version)
        )


async def ask_often(callers, kind):
    """Sends sound requests of one kind at random times."""
    while True:
        await asyncio.sleep(callers.site.rng.expovariate(SOUND_RATE))
        body = f"plan {next(callers.numbers)}".encode()
        callers.fleet.spawn(callers.ask(kind, body))


def unserved(callers, start, end):
    """Lists the gateways at which too few sound requests began."""
    sent = {}
    begun = {}
    for one in callers.ends:
        if not one.first or not callers.is_sound(one):
            continue
        if not start <= one.at < end:
            continue
        sent[one.gateway] = sent.get(one.gateway, 0) + 1
        begun[one.gateway] = begun.get(one.gateway, 0) + one.begun
    found = []
    for name, count in sorted(sent.items()):
        if begun[name] < LEAST_BEGUN * count:
            found.append(f"{name}: {begun[name]} of {count} requests began")
    return found


async def play(site, nodes, generators, versions, answers):
    """Lets a crashing part come first and stop; lists what went wrong."""
    site.fleet = virtual_engines.Fleet(
        site, PREFILL_ENGINES, generators, plain=3
    )
    callers = virtual_parts.PartCallers(site, site.fleet)
    callers.configure(3)
    launch(site.fleet, versions)
    site.start(nodes, 3)
    await site.pass_time(SETTLING)
    callers.keep_crashing_parts("culprit", CULPRIT_RATE, 1)
    await site.pass_time(ALONE_SECONDS)
    kind = KINDS[answers]
    site.fleet.spawn(ask_often(callers, kind))
    await site.pass_time(CRASHING_SECONDS - ALONE_SECONDS)
    callers.stopped_at = site.clock()
    if answers in KILLS:
        await site.pass_time(KILL_AFTER_SECONDS - KILL_INTERVAL_SECONDS)
    for _ in range(KILLS.get(answers, 0)):
        await site.pass_time(KILL_INTERVAL_SECONDS)
        site.fleet.kill("decode")
    # The last request with the part may still wait.
    await site.pass_time(virtual_callers.BRIEF[4])
    calm = max(crash.at for crash in site.fleet.crashes)
    calm = max(calm, callers.stopped_at) + CONTACT_SECONDS
    calm += nodes * CANARY_SECONDS
    end = max(calm, site.clock()) + COUNTED_SECONDS
    await site.pass_time(end + kind[4] - site.clock())
    found = unserved(callers, calm, end)
    for body in sorted(callers.refused_sound()):
        found.append(f"{body} was refused")
    return found


@behave.then(
    "in each of {plays:d} plays before {nodes:d} gateways with {generators:d} "
    "decode engines of {versions:d} versions and {answers} answers sound "
    "requests begin again after a crashing part that came first"
)
def step_begin_again(context, plays, nodes, generators, versions, answers):
    wrong = []
    for seed in range(1, 1 + plays):
        site = virtual_gateways.Site(seed)

        async def story(site=site, seed=seed):
            # Longer than any play of this scenario.
            async with asyncio.timeout(120):
                found = await play(site, nodes, generators, versions, answers)
            if found:
                wrong.append((seed, found[:4]))

        site.play(story())
    assert not wrong, f"{len(wrong)} of {plays} plays: {wrong}"


PART = parts_steps.PART
REPLICA = types.Replica("i-9", "lm", "10.0.0.9:8080", "north", 8, False)


@behave.given("a canary of a part that has crashed {count:d} replicas")
def step_canary(context, count):
    directory = directory_module.Directory(random.Random(1))
    directory.put(REPLICA)
    context.quarantine = quarantine_module.Quarantine(
        runs_module.InterruptedRuns(directory)
    )
    version = subjects.version_digest(REPLICA.version)
    for number in range(count):
        context.quarantine.crash_log.interrupted(
            crash_types.Incarnation(f"i-{number}"),
            PART,
            False,
            time.monotonic(),
            True,
            version,
        )
    context.directory = directory
    context.run = runs_module.Run(7, (PART,), REPLICA, is_prefill=False)
    context.quarantine.record_start(context.run)
    assert (PART in context.run.suspects) == (count > 0)


@behave.when("it gives output for {seconds:d} seconds and its replica ends")
def step_output(context, seconds):
    context.quarantine.record_output(context.run)
    context.run.output_at -= seconds
    context.quarantine.record_output(context.run)
    context.quarantine.record_interruption(context.run)


@behave.then("the part is free once it is known how the replica ended")
def step_free(context):
    known = time.monotonic() + canaries_module.HOLD_SECONDS
    assert not context.quarantine.canaries.is_running(PART, known)


@behave.when("its replica starts again, and its version isn't known")
def step_started_again(context):
    context.directory.put(REPLICA._replace(started_at=1000))
    state = types.State(None, False, 0, 0, 0, started_at=2000)
    assert context.directory.receive_state(REPLICA.instance, state)


@behave.then("a request may run there, and its answer clears no part")
def step_runs_there(context):
    replica = context.directory.replicas[REPLICA.instance]
    assert replica.version is None
    progress = mock.Mock(subjects=(PART, 8))
    assert context.quarantine.is_unsuspected(progress, replica)
    context.run.replica = replica
    context.quarantine.record_completion(context.run)
    assert not context.quarantine.crash_log.sound.is_known(PART)


@behave.then(
    "it is not running after a call that finds no permit for its replica"
)
def step_no_permit(context):
    calls = plain_calls.PlainCalls(
        context.directory,
        mock.Mock(),
        mock.Mock(),
        mock.Mock(),
        "north",
        context.quarantine,
    )
    now = time.monotonic()
    context.directory.statements.merge_rate_limit(REPLICA.instance, 0.0, now)
    progress = mock.Mock(runs=0, subjects=(PART, 7))
    attempt = calls.attempt(
        mock.Mock(repeatable=False), progress, REPLICA, None
    )
    with contextlib.suppress(exceptions.EndpointLimited):
        asyncio.run(attempt)
    assert not context.quarantine.canaries.is_running(PART, time.monotonic())


@behave.given("a part in {count:d} crash that is attributed to another part")
def step_attributed(context, count):
    context.log = crashes_module.CrashLog()
    context.now = 0.0
    parts_steps.crash(context, count, 5.0, [PART, PART + 1], alone=False)
    parts_steps.crash(context, 2, 5.0, [PART + 1])
    causes = {crash.cause for crash in context.log.crashes.values()}
    assert causes == {PART + 1}, causes


@behave.then("requests with the part run as canaries")
def step_run_as_canaries(context):
    found = parts_steps.judged(context, PART)
    assert found == crash_types.Decision.CANARY, found
