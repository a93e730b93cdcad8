"""Steps on the times of a stop, in virtual time."""

import asyncio
import re
import time
import types as builtin_types

import behave
from features.support import virtual_gateways

from gypsumfold import exceptions
from gypsumfold import shutdown as node_shutdown
from gypsumfold.decisions import routes
from gypsumfold.decisions import stopping
from gypsumfold.gateway import open_requests
from gypsumfold.gateway import shutdown as gateway_shutdown

GRACE = 8.0
# What the older node's settings give of it.
NOTICE = 2.9
LIMIT = 0.1
OBJECTIVE = 0.5
DEADLINE = 30.0
SLACK = 1e-6


async def never() -> None:
    """A call that is not answered."""
    await asyncio.Event().wait()


class Process:
    """What a stop needs of a process; records when it stops listening."""

    def __init__(self):
        self.busy: set[object] = set()
        self.stopping = False
        self.listened_until = 0.0
        self.callers = None

    async def end_intake(self, until: float) -> None:
        self.listened_until = time.monotonic()

    async def wait_until_idle(self, timeout: float) -> None:
        return

    async def stop_listening(self) -> None:
        self.listened_until = time.monotonic()

    async def end_connections(self, limit: float) -> None:
        return

    def in_progress(self) -> int:
        return 0

    async def close(self) -> None:
        await never()


@behave.given(
    "a {kind} with a grace of 8 s whose releases, counts and closes never end"
)
def step_process(context, kind):
    process = context.process = Process()
    if kind == "gateway":
        stop = gateway_shutdown.Shutdown(
            process, process, open_requests.OpenRequests()
        )
        stop.releases["authority"] = never
        stop.flushes["usage"] = never
        stop.closers["connections"] = never
        context.stop = lambda: stop.run(GRACE)
        return
    section = builtin_types.SimpleNamespace(notice=NOTICE, limit=LIMIT)
    stop = node_shutdown.Shutdown(section)
    stop.register("control", never)
    context.stop = lambda: stop.run(process)


@behave.when("it is told to stop")
def step_stop(context):
    async def story():
        began = time.monotonic()
        async with asyncio.timeout(10 * GRACE):
            await context.stop()
        context.listened = context.process.listened_until - began
        context.took = time.monotonic() - began

    virtual_gateways.Site(seed=1).play(story())


@behave.then("it stops listening {seconds:g} s later")
def step_listens(context, seconds):
    assert abs(context.listened - seconds) < SLACK, context.listened


@behave.then("its stop ends within its grace")
def step_within(context):
    # The older node's platform waits for what its settings add up to.
    limit = NOTICE + LIMIT + node_shutdown.CLOSE_TIMEOUT_SECONDS
    limit += node_shutdown.RELEASE_TIMEOUT_SECONDS
    assert context.took < max(GRACE, limit), context.took


@behave.given(
    "a gateway with a grace of 8 s, and requests that usually take {usual:g} s"
)
def step_usual(context, usual):
    context.route = routes.Route(
        "calls",
        "desk.example",
        "/calls/",
        routes.Kind.NON_IDEMPOTENT,
        DEADLINE,
        OBJECTIVE,
        1,
        1,
        (),
    )
    context.open = open_requests.OpenRequests()
    context.open.record_time(context.route, usual)


@behave.when("{request} is in progress 1 s after it is told to stop")
def step_request(context, request):
    ends = re.search(r"after ([0-9.]+) s", request)

    async def serve(began: float) -> None:
        progress = builtin_types.SimpleNamespace(
            call=Deadline(time.monotonic() + DEADLINE),
            may_have_run="waits" not in request,
            answer_started="answer has begun" in request,
        )
        try:
            async with asyncio.timeout(DEADLINE) as timeout:
                with context.open.follow(context.route, progress, timeout):
                    await asyncio.sleep(float(ends[1]) if ends else 2 * GRACE)
            context.result = "whole"
        except TimeoutError:
            error = context.open.timeout_error(progress)
            context.result = outcome(error)
        except exceptions.GypsumfoldError as error:
            context.result = outcome(error)
        context.took = time.monotonic() - began

    async def story():
        began = time.monotonic()
        context.open.end_by(stopping.schedule(began, GRACE))
        await asyncio.sleep(1.0)
        await serve(began)

    virtual_gateways.Site(seed=1).play(story())


class Deadline:
    """The part of a request that its limits change."""

    def __init__(self, deadline: float):
        self.deadline = deadline

    def _replace(self, deadline: float) -> "Deadline":
        return Deadline(deadline)


def outcome(error: exceptions.GypsumfoldError) -> str:
    """How a caller sees an error."""
    if isinstance(error, exceptions.AnswerBroken):
        return "broken"
    return str(error.status)


@behave.then("the request ends with {result} {seconds:g} s after the signal")
def step_result(context, result, seconds):
    assert context.result == result, context.result
    assert abs(context.took - seconds) < 0.01, context.took
