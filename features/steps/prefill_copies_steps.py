"""Steps on second copies of prefills at one gateway."""

import asyncio
import random
import time
from unittest import mock

import behave

from gypsumfold import exceptions
from gypsumfold.decisions import prompts
from gypsumfold.decisions import second_copies
from gypsumfold.gateway import copies as copies_module
from gypsumfold.gateway import directory as directory_module
from gypsumfold.gateway import prefill_copies
from gypsumfold.gateway import progress as progress_module
from gypsumfold.gateway import types

ENGINE = "engine-1"


@behave.given("a gateway that may copy prefills")
def step_gateway(context):
    directory = directory_module.Directory(random.Random(1))
    directory.second_copies.policy = second_copies.Policy(0.2, prefills=True)
    directory.replicas[ENGINE] = types.Replica(
        ENGINE, "lm", "10.0.0.1:9000", "north", 64, False
    )
    copies = copies_module.Copies(directory, mock.Mock(), mock.Mock(), "north")
    context.directory = directory
    context.prefills = mock.Mock(prefill=mock.AsyncMock())
    context.copies = prefill_copies.PrefillCopies(copies, context.prefills)


@behave.when("the engine chosen for a prefill is removed before it is sent")
def step_removed(context):
    route, service = mock.Mock(), mock.Mock()
    route.name, service.name = "long", "lm"
    choice = prompts.Choice(ENGINE, "", 100, 0.1, 0.1, 0.1)

    async def story():
        now = time.monotonic()
        call = types.Call(
            "call-1", "POST", "/long/1", "h", (), b"", now, now + 5.0
        )
        progress = progress_module.Progress(call)
        task = asyncio.ensure_future(
            context.copies.run(choice, route, service, progress)
        )
        # The choice is made in this iteration and sent in the next one.
        asyncio.get_running_loop().call_soon(
            context.directory.replicas.pop, ENGINE
        )
        [context.result] = await asyncio.gather(task, return_exceptions=True)

    asyncio.run(story())


@behave.then("the prefill is reported as not started")
def step_not_started(context):
    assert isinstance(context.result, exceptions.EndpointUnavailable), (
        context.result
    )
    assert not context.prefills.prefill.called
