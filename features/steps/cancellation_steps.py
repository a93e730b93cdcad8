"""Steps on tasks that are cancelled as their answer comes."""

import asyncio
import itertools
import types

import behave

from gypsumfold.peers import channels
from gypsumfold.peers import framing

thrift = framing.peers_thrift


async def cancel_with_reply() -> bool:
    """Whether a call's cancellation survives a reply in the same instant."""
    channel = types.SimpleNamespace(
        closed=False,
        call_ids=itertools.count(),
        pending={},
        send=lambda envelope: None,
    )
    call = channels.Channel.call(
        channel, "nothing", thrift.Nothing(), thrift.Nothing, 60.0
    )
    task = asyncio.create_task(call)
    await asyncio.sleep(0)
    body = framing.encode(thrift.Nothing())
    reply = thrift.Envelope(0, thrift.Kind.REPLY, "nothing", body)
    channel.pending[0].set_result(reply)
    task.cancel()
    await asyncio.wait([task])
    return task.cancelled()


@behave.then("a peer's reply in the same instant does not undo a cancellation")
def step_cancelled(context):
    assert asyncio.run(cancel_with_reply()), "the cancellation was lost"
