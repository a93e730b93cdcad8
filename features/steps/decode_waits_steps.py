"""Steps on the retries of requests that find no decode engine."""

import asyncio
import random
import time
from unittest import mock

import behave
from features.support import slow_engine_parts as parts

from gypsumfold import exceptions
from gypsumfold.decisions import retry_budget
from gypsumfold.gateway import directory as directory_module
from gypsumfold.gateway import generations
from gypsumfold.gateway import progress as progress_module
from gypsumfold.gateway import quarantine
from gypsumfold.gateway import retry_permits
from gypsumfold.gateway import runs
from gypsumfold.gateway import types


async def ask(waits, error):
    """Asks an engine that is lost; another one is there after 0.1 s."""
    directory = directory_module.Directory(random.Random(1))
    budget = retry_budget.RetryBudget(retry_budget.Policy(0.0, 10.0, 9.0))
    endpoints = mock.AsyncMock(is_connected=bool)

    async def send(replica, call, instructions):
        directory.liveness.suspect(replica.instance, time.monotonic())
        raise getattr(exceptions, error)("x")

    endpoints.send.side_effect = send
    permits = retry_permits.RetryPermits(budget)
    suspects = quarantine.Quarantine(runs.InterruptedRuns(directory))
    serving = generations.Generations(
        directory, endpoints, permits, mock.Mock(), mock.Mock(), suspects
    )
    serving.waits.refuse_early = True
    now = time.monotonic()
    call = types.Call("a", "POST", "/", "h", (), None, now, now + waits)
    progress, end = progress_module.Progress(call), "an answer"
    engine = types.Replica("first", "lm", "d:1", "dc", 6, False)
    directory.put(engine)
    other = engine._replace(instance="second")
    asyncio.get_running_loop().call_later(0.1, directory.put, other)
    try:
        await serving.serve(parts.ROUTE, parts.SERVICE, mock.Mock(), progress)
    except exceptions.RequestError as failure:
        end = type(failure).__name__
    return budget.taken["lm"], endpoints.send.call_count, end


@behave.then(
    "a caller that waits {waits:d} s for an engine that fails with {error} "
    "takes {taken:d} retries, and {runs:d} runs end in {end}"
)
def step_retries(context, waits, error, taken, runs, end):
    # Guards against retries taken for attempts that ended in the wait.
    found = asyncio.run(ask(waits, error))
    assert found == (taken, runs, end), found
