"""Steps on prompts that are moved away from slow engines."""

import asyncio
import builtins
import collections
import random
import time
from unittest import mock

import behave

# Prompts a second of all callers, and tokens: shared, own, answered.
from features.support import slow_engine_parts as parts

from gypsumfold import exceptions
from gypsumfold.decisions import canaries as canaries_module
from gypsumfold.decisions import prefix_routing
from gypsumfold.decisions import prompts
from gypsumfold.decisions import retry_budget
from gypsumfold.decisions import slow_engines as slow_engines_module
from gypsumfold.decisions import types as decision_types
from gypsumfold.gateway import directory as directory_module
from gypsumfold.gateway import generations
from gypsumfold.gateway import prefills
from gypsumfold.gateway import progress as progress_module
from gypsumfold.gateway import quarantine
from gypsumfold.gateway import rate_permits
from gypsumfold.gateway import retry_permits
from gypsumfold.gateway import runs
from gypsumfold.gateway import types


def spare_retries():
    """A retry budget with retries left."""
    budget = retry_budget.RetryBudget(retry_budget.Policy(0.2, 10.0, 50.0))
    budget.nodes = 1
    return budget


def new_progress():
    """A request with a long prompt."""
    now = time.monotonic()
    call = types.Call(
        "a",
        "POST",
        "/",
        "h",
        (),
        None,
        now,
        now + 9.0,
        "m",
        parts.CHAIN,
        13_800,
        9,
    )
    return progress_module.Progress(call)


@behave.given(
    "a gateway with {count:d} engines that prefill and one that it knows as "
    "slow"
)
def step_engines(context, count):
    context.directory = directory_module.Directory(random.Random(1))
    for engine in parts.ENGINES[:count]:
        replica = types.Replica(engine, "lm", f"{engine}:1", "dc", 6, False)
        role = decision_types.Role.PREFILL
        context.directory.put(replica._replace(role=role))
    context.router = prefix_routing.PrefixRouter()
    context.router.slow_engines.enabled = True
    now = time.monotonic()
    context.router.slow_engines.record(parts.ENGINES[0], 9.0, parts.USUAL, now)
    context.quarantine = quarantine.Quarantine(
        runs.InterruptedRuns(context.directory)
    )
    context.endpoints = mock.AsyncMock()
    context.prefills = prefills.Prefills(
        context.directory,
        context.endpoints,
        context.router,
        context.quarantine,
    )


@behave.then("it chooses no engine for a prompt")
def step_none(context):
    now = time.monotonic()
    assert context.router.choose(parts.PROMPT, [], [], 0.0, now) is None
    # Guards against the median of no engines.
    context.router.slow_engines.compare([], now)
    assert context.router.slow_engines.shared == 1.0


@behave.when("a prefill ends with {end}")
def step_end(context, end):
    kind = getattr(builtins, end, None) or getattr(exceptions, end, None)
    kind = kind or asyncio.CancelledError
    context.endpoints.prefill.side_effect = kind("x")
    progress = new_progress()
    choice = context.prefills.place(parts.ROUTE, parts.SERVICE, progress)
    prefill = context.prefills.prefill(
        choice, parts.ROUTE, parts.SERVICE, progress
    )
    try:
        asyncio.run(prefill)
    except (Exception, asyncio.CancelledError) as error:
        context.error = error


@behave.then("no prompt counts as waiting")
def step_not_waiting(context):
    now = time.monotonic()
    # Guards against prompts that stay in the waiting load after a fault.
    assert context.router.queued_seconds(parts.ENGINES[0], now) == 0.0
    assert not context.router.slow_engines.open
    assert context.error


@behave.given(
    "a prompt of a route with {objective:f} s that waits there, for callers "
    "that stay {stay:g} s"
)
def step_waits(context, objective, stay):
    context.route = parts.ROUTE._replace(
        objective=objective, abandon_timeout=stay
    )
    context.progress = new_progress()
    now = time.monotonic()
    avoid = frozenset(parts.ENGINES[1:])
    choice = context.prefills.place(
        context.route, parts.SERVICE, context.progress, avoid
    )
    choice = context.router.sent(choice, parts.CHAIN, "m", 400_000, None, now)
    context.router.slow_engines.compare(parts.ENGINES[:2], now)
    context.choice = choice
    context.moves = context.prefills.moves
    context.moves.budget = spare_retries()


def check(context):
    """Checks the waiting prompt once, and counts the choices of an engine."""
    context.place = mock.Mock(side_effect=context.prefills.place)
    try:
        context.moves.check(
            context.choice,
            context.route,
            parts.SERVICE,
            context.progress,
            context.place,
        )
    except exceptions.PrefillMoved:
        assert context.progress.moved_from == parts.ENGINES[0]


@behave.when(
    "late prompts of {late:f} s wait at the other engine and the prompt is "
    "checked"
)
def step_late(context, late):
    context.router.late.add(prompts.urgency_key(parts.ENGINES[1], 0), late)
    check(context)


@behave.then("it is moved {times:d} times")
def step_moves(context, times):
    # Guards against retries for prompts that wait no less elsewhere.
    assert context.moves.count == times
    assert context.place.called


@behave.when("the prompt is checked although {obstacle}")
def step_obstacle(context, obstacle):
    now = time.monotonic()
    budget = context.moves.budget
    if obstacle == "it is about to complete":
        context.choice = context.choice._replace(
            expected=0.0, sent_at=now - 0.06
        )
    elif "budget" in obstacle:
        budget.policy = retry_budget.Policy(0.0, 10.0, 0.0)
        if "loan" in obstacle:
            budget.borrow("lm", 1, now)
    elif obstacle == "the request is suspected":
        canary = canaries_module.Canary(
            context.progress.fingerprint, 1, 1, "i-9", now + 1.0
        )
        context.quarantine.canaries.merge(canary, now)
    check(context)


@behave.then("{count:d} engines are looked for")
def step_looked(context, count):
    # Guards against a choice of an engine per waiting prompt and 0.1 s.
    assert context.place.call_count == count
    assert context.moves.count == count


@behave.when("it sends and checks {count:d} prompts within 0.1 seconds")
def step_checks(context, count):
    slow = context.gateway
    slow.recent_ratios = mock.Mock(side_effect=slow.recent_ratios)
    for number in range(count):
        now = parts.START + 0.1 * number / count
        prompt = slow_engines_module.Open(now, parts.USUAL)
        slow.started(parts.ENGINES[number % 6], prompt)
        slow.factor(parts.ENGINES[0], now)
        if number % 2:
            slow.ended(parts.ENGINES[number % 6], prompt)


@behave.then("it computes its baseline at most {count:d} times")
def step_computed(context, count):
    # Guards against work that grows with prompts times engines.
    assert 1 <= context.gateway.recent_ratios.call_count <= count


class FailingEndpoints:
    """Engines of which the first that prefills turns slow and others fail.

    Attributes:
        prefills: Number of prefills that were sent.
        runs: Instructions of each run.
    """

    def __init__(self, context, trouble: str):
        self.context = context
        self.trouble = trouble
        self.prefills = 0
        self.runs: list[types.Instructions] = []

    def is_connected(self, replica: types.Replica) -> bool:
        """Whether a call would find a connection open."""
        return True

    async def prefill(
        self, replica: types.Replica, call: types.Call, instructions
    ) -> types.Handle:
        """Holds the first prompt, and refuses or prefills the others."""
        self.prefills += 1
        if self.prefills == 1:
            slow = self.context.router.slow_engines
            slow.record(replica.instance, 9.0, parts.USUAL, time.monotonic())
            await asyncio.sleep(9.0)
        if self.trouble == "refuses it":
            raise exceptions.EndpointRefused("it is full")
        return types.Handle(replica.instance, replica.address, "h", 1)

    async def send(
        self, replica: types.Replica, call: types.Call, instructions
    ) -> types.Answer:
        """Runs nothing; the prefill engine restarts after the first run."""
        self.runs.append(instructions)
        handle = instructions.handle
        if handle is not None:
            old = self.context.directory.replicas[handle.engine]
            self.context.directory.put(old._replace(started_at=2))
        raise exceptions.EndpointMismatch("it has another role")

    async def drop(self, replica: types.Replica, handle: types.Handle) -> None:
        """Frees a KV cache."""


@behave.when("a prompt is moved and the second engine {trouble}")
def step_second(context, trouble):
    context.endpoints = FailingEndpoints(context, trouble)
    context.directory.put(
        types.Replica(
            "decode", "lm", "d:1", "dc", 6, False, decision_types.Role.DECODE
        )
    )
    budget = spare_retries()
    serving = generations.Generations(
        context.directory,
        context.endpoints,
        retry_permits.RetryPermits(budget),
        rate_permits.RatePermits(retry_permits.lend_nothing, random.Random(1)),
        context.router,
        context.quarantine,
    )
    serving.prefills.moves.budget = budget
    context.progress = new_progress()
    try:
        asyncio.run(
            serving.serve(
                parts.ROUTE,
                parts.SERVICE,
                mock.AsyncMock(),
                context.progress,
            )
        )
    except exceptions.Unavailable as error:
        context.error = error


@behave.then(
    "{count:d} prefills were sent and the decode engine got the prompt "
    "without a cache"
)
def step_prefills(context, count):
    assert context.progress.moved_from
    # Guards against more prefills than the route's attempts allow.
    assert context.endpoints.prefills == count, context.endpoints.prefills
    assert context.endpoints.runs[-1].handle is None
    assert context.error


@behave.given(
    "{nodes:d} gateways that know the preferred one of {count:d} engines as "
    "slow"
)
def step_near_equals(context, nodes, count):
    engines = [
        prompts.Engine(name, f"{name}:1") for name in parts.ENGINES[:count]
    ]
    # Nothing of the prompt is shared, so the other engines are equal.
    prompt = parts.PROMPT._replace(chain=parts.CHAIN[1:])
    context.chosen = collections.Counter()
    for seed in range(nodes):
        router = prefix_routing.PrefixRouter()
        router.slow_engines.rng = random.Random(seed)
        router.slow_engines.enabled = True
        first = router.choose(prompt, engines, [], 0.0, parts.START)
        context.preferred = first.engine
        router.slow_engines.record(
            first.engine,
            9.0,
            parts.USUAL,
            parts.START + 1,
        )
        later = router.choose(prompt, engines, [], 0.0, parts.START + 1)
        context.chosen[later.engine] += 1


@behave.then(
    "none of them chooses it, and no other is chosen by more than {most:d}"
)
def step_spread(context, most):
    # Guards against all gateways choosing the same second engine.
    assert context.preferred not in context.chosen, context.chosen
    assert max(context.chosen.values()) <= most, context.chosen
