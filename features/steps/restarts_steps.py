"""Steps on replicas that start again under the id that they had."""

import asyncio
import json
import math
import random
import time
from unittest import mock

import behave
from features.support import made_up
from features.support import restarting_endpoints

from gypsumfold import exceptions
from gypsumfold.decisions import chains
from gypsumfold.decisions import retry_budget
from gypsumfold.decisions import routes
from gypsumfold.decisions import types as decision_types
from gypsumfold.gateway import cache_lists
from gypsumfold.gateway import generations
from gypsumfold.gateway import liveness
from gypsumfold.gateway import prefills
from gypsumfold.gateway import progress as progress_module
from gypsumfold.gateway import quarantine
from gypsumfold.gateway import rate_permits
from gypsumfold.gateway import registrations as registrations_module
from gypsumfold.gateway import retry_permits
from gypsumfold.gateway import role_planning
from gypsumfold.gateway import runs
from gypsumfold.gateway import topic_watches
from gypsumfold.gateway import types
from gypsumfold.gateway.peers import frames
from gypsumfold.gateway.peers import messages
from gypsumfold.platform import store as store_module

ENGINE = "i-1"
CHAIN = (chains.Block("shared", 13_000), chains.Block("own", 800))
MEMORY = 400_000
SERVICE = types.Service("lm", 100, MEMORY, 18_432, 1e9, 5.0, 3.0)
ROUTE = routes.Route(
    "briefs",
    "desk.example",
    "/briefs/",
    routes.Kind.STREAMING,
    3.0,
    0.25,
    0,
    2,
    (routes.Target("lm", 1),),
)
# Calls of a request to whose prompt and run nothing happens.
USUAL_CALLS = 2


def entry(born, instance=ENGINE, **changes):
    """An engine's entry in the store."""
    value = {**made_up.REGISTRATION, "born": born, **changes}
    return store_module.Record(instance, json.dumps(value).encode())


@behave.given("a node that knows an engine started at {born:d}")
def step_node(context, born):
    context.gossip = made_up.gossip()
    context.directory = context.gossip.directory
    context.homes = context.gossip.loads.prefix_router
    context.endpoints = mock.AsyncMock()
    context.planner = role_planning.RolePlanner(
        mock.Mock(),
        context.directory,
        mock.Mock(),
        context.endpoints,
        context.gossip,
        context.homes,
    )
    context.directory.removal_listeners.append(
        lambda replica: context.homes.forget(replica.instance)
    )
    context.registrations = registrations_module.Registrations(
        context.directory, topic_watches.StoreState(3.0)
    )
    context.registrations.update([entry(born)])


@behave.given("state is recorded for that engine")
def step_recorded(context):
    now = time.monotonic()
    directory = context.directory
    directory.roles.confirm(ENGINE, decision_types.Role.PREFILL, now + 60)
    directory.roles.close_until(ENGINE, now + 60)
    directory.pause(ENGINE, now, 60)
    directory.health.failed(ENGINE, True, now)
    directory.health.failed(ENGINE, True, now)
    directory.streams.add(ENGINE, 0.5)
    directory.request_started(ENGINE, now - 1)
    directory.liveness.suspect(ENGINE, now)
    context.homes.caches.add(ENGINE, CHAIN, "m", MEMORY)
    context.planner.pending[ENGINE] = role_planning.PendingOrder(
        decision_types.Role.PREFILL, now + 60
    )
    context.gossip.announce_role(ENGINE, decision_types.Role.PREFILL, 60)


def beliefs(context):
    """State recorded for the engine beyond its entry."""
    now = time.monotonic()
    directory = context.directory
    found = {
        "role": ENGINE in directory.roles.confirmed,
        "closed": directory.roles.changing_until.get(ENGINE, -math.inf) > now,
        "paused": directory.paused_until.get(ENGINE, -math.inf) > now,
        "failing": not directory.health.is_allowed(ENGINE, now),
        "streams": directory.streams.total(ENGINE, now) > 0,
        "silent": ENGINE in directory.suspects,
        "owing": ENGINE in directory.silence.last_byte_at,
        "leaving": ENGINE in directory.draining_since,
        "cached": context.homes.caches.cached_tokens(ENGINE, CHAIN, "m") > 0,
        "ordered": ENGINE in context.planner.pending,
        "told": ENGINE in context.gossip.outbox.roles,
    }
    return {name for name, recorded in found.items() if recorded}


@behave.when("an entry of a start at {born:d} comes")
def step_entry(context, born):
    context.registrations.update([entry(born)])


@behave.when("a report of a start at {born:d} comes")
def step_report(context, born):
    report(context, born, decision_types.Role.DECODE)


def report(context, born, role):
    """Has the engine asked for a sign of life."""
    context.endpoints.state.return_value = types.State(
        role, False, 0, 0, 0, born
    )
    checks = liveness.LivenessChecks(context.directory, context.endpoints)
    asyncio.run(checks.probe(ENGINE))


@behave.when(
    "an entry of a start at {born:d} says that the engine reads and leaves"
)
def step_late_entry(context, born):
    late = entry(born, stage="prefill", state="draining")
    context.registrations.update([late])


@behave.when(
    "a report of a start at {born:d} says that the engine reads and leaves"
)
def step_late_report(context, born):
    report(context, born, decision_types.Role.PREFILL)


@behave.when(
    "a peer's message of a start at {born:d} says that the engine reads and "
    "leaves"
)
def step_late_message(context, born):
    report = messages.Report(
        messages.Contact("edge-2-1", "edge-2", "north"),
        1,
        messages.SUBSCRIBE_NONE,
        messages.EngineLoads(),
        messages.Updates(
            closed={ENGINE: 60.0},
            roles={ENGINE: ("prefill", 60.0)},
            start_times={ENGINE: born},
        ),
    )
    data = frames.encode(report, context.gossip.sealer)
    context.gossip.datagram_received(data, ("10.0.0.2", 8092))


@behave.when(
    "a list of caches of a start at {born:d} says that the engine reads and "
    "leaves"
)
def step_late_list(context, born):
    context.endpoints.cache_list.return_value = types.CacheList(
        [chains.Block(part.id, part.tokens) for part in CHAIN], born
    )
    lists = cache_lists.CacheLists(
        context.directory,
        mock.Mock(),
        context.endpoints,
        context.homes,
        context.gossip,
        mock.Mock(),
    )
    service = types.Service("lm", 0, cache_tokens=MEMORY)
    asyncio.run(lists.ask_engine(context.directory.replicas[ENGINE], service))


@behave.when("the engine's entry goes")
def step_goes(context):
    context.registrations.update([store_module.Record(ENGINE, b"")])


@behave.given("a request whose prompt the engine has read")
def step_read(context):
    call = types.Call("a", "POST", "/", "h", (), None, 0.0, 9e9)
    context.progress = progress_module.Progress(call)
    context.progress.handle = types.Handle(ENGINE, "10.0.0.7:8080", "h", 1000)
    context.progress.prefill_address = "10.0.0.7:8080"


@behave.then("the request's prompt is to be read again")
def step_read_again(context):
    placing = prefills.Prefills(
        context.directory,
        context.endpoints,
        context.homes,
        quarantine.Quarantine(runs.InterruptedRuns(context.directory)),
    )
    assert placing.has_lost_handle(context.progress)
    placing.discard_handle(context.progress, may_repeat=True)
    assert context.progress.handle is None
    assert not context.progress.prefill_address


@behave.given(
    "the site has {left:d} spare repeats, and another engine generates"
)
def step_spare(context, left):
    context.budget = retry_budget.RetryBudget(
        retry_budget.Policy(0.0, 10.0, left / retry_budget.USED_FRACTION)
    )
    context.budget.nodes = 1
    records = [entry(1500, stage="prefill")]
    for number in (2, 3):
        records.append(entry(1500, f"i-{number}", addr=f"10.0.0.{number}:8080"))
    context.registrations.update(records)


@behave.when(
    "a request's prompt is read, its engine starts again and the other one "
    "refuses the request"
)
def step_refused_then(context):
    context.endpoints = restarting_endpoints.RestartingEndpoints(
        lambda: context.registrations.update([entry(2000, stage="prefill")])
    )
    serving = generations.Generations(
        context.directory,
        context.endpoints,
        retry_permits.RetryPermits(context.budget),
        rate_permits.RatePermits(retry_permits.lend_nothing, random.Random(1)),
        context.homes,
        quarantine.Quarantine(runs.InterruptedRuns(context.directory)),
    )
    now = time.monotonic()
    tokens = sum(part.tokens for part in CHAIN)
    call = types.Call(
        "a", "POST", "/", "h", (), None, now, now + 9, "m", CHAIN, tokens, 9
    )
    context.answered = True
    try:
        asyncio.run(
            serving.serve(
                ROUTE,
                SERVICE,
                mock.AsyncMock(),
                progress_module.Progress(call),
            )
        )
    except exceptions.Unavailable:
        context.answered = False


@behave.then(
    "the request makes at most {most:d} calls more than without a failure"
)
def step_calls(context, most):
    calls = context.endpoints.calls
    assert len(calls) - USUAL_CALLS <= most, calls


@behave.then("it is answered")
def step_answered(context):
    assert context.answered


@behave.then("it is not answered")
def step_not_answered(context):
    assert not context.answered


@behave.then("no earlier state of the engine is left")
def step_nothing(context):
    assert beliefs(context) == set(), beliefs(context)


@behave.then("the state of the engine is still there")
def step_still(context):
    assert len(beliefs(context)) == 10, beliefs(context)


@behave.then("the engine is used")
def step_used(context):
    now = time.monotonic()
    found = context.directory.eligible.engines("lm", False, now)
    assert [one.instance for one in found] == [ENGINE], found


@behave.then("the engine is not known")
def step_unknown(context):
    assert ENGINE not in context.directory.replicas
