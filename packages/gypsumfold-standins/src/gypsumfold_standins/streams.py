"""Writes an engine's answer as server-sent events, with faults."""

import asyncio

from aiohttp import web
import msgspec

from gypsumfold_standins import batcher as batcher_module
from gypsumfold_standins import engine_faults
from gypsumfold_standins import serving
from gypsumfold_standins import tokens

DONE = b"data: [DONE]\n\n"


class Ended(Exception):
    """A fault has ended the stream."""


async def write(
    request: web.Request,
    sequence: batcher_module.Sequence,
    start: int,
    faults: engine_faults.Faults,
) -> web.StreamResponse:
    """Writes a sequence's events from an index on, as they come.

    Args:
        request: The reader's.
        sequence: What is read.
        start: The first index.
        faults: What goes wrong.

    Returns:
        The response, at its end.
    """
    response = web.StreamResponse()
    response.content_type = "text/event-stream"
    sequence.readers += 1
    try:
        await response.prepare(request)
        await write_events(request, response, sequence, start, faults)
    except Ended:
        return response
    finally:
        sequence.readers -= 1
    if sequence.state != "done":
        return response
    count = sequence.index
    if faults.model in sequence.model and faults.takes("wrong_count"):
        count += 1
    final = {
        "id": sequence.id,
        "finish_reason": sequence.finish,
        "tokens": count,
    }
    await response.write(event(final) + DONE)
    return response


async def write_events(
    request: web.Request,
    response: web.StreamResponse,
    sequence: batcher_module.Sequence,
    start: int,
    faults: engine_faults.Faults,
) -> None:
    """Writes the token events until the sequence has ended."""
    index = start
    while True:
        moved = sequence.moved
        events = []
        while index < sequence.index:
            if index == faults.at and faults.model in sequence.model:
                await response.write(b"".join(events))
                events = []
                await strike(request, response, sequence, index, faults)
            events.append(token_event(sequence, index))
            index += 1
        if faults.late:
            await asyncio.sleep(faults.late)
        if events:
            await response.write(b"".join(events))
        if not sequence.open and index >= sequence.index:
            return
        if index >= sequence.index:
            await moved.wait()


async def strike(
    request: web.Request,
    response: web.StreamResponse,
    sequence: batcher_module.Sequence,
    index: int,
    faults: engine_faults.Faults,
) -> None:
    """Carries out the fault that strikes at this event, if one does.

    Raises:
        Ended: The stream goes no further.
    """
    if faults.takes("truncated"):
        raise Ended
    if faults.takes("reset"):
        serving.drop(request)
        raise Ended
    if faults.takes("silent"):
        await asyncio.Event().wait()
    if faults.takes("crossed"):
        other = {"id": f"{sequence.id}-other", "index": index, "token": "XX "}
        await response.write(event(other))
    if faults.takes("skipped"):
        await response.write(token_event(sequence, index + 1))
        raise Ended
    if faults.takes("repeated"):
        await response.write(token_event(sequence, index - 1))


def token_event(sequence: batcher_module.Sequence, index: int) -> bytes:
    """Makes the event of one token."""
    word = tokens.token(sequence.seed, index)
    return event({"id": sequence.id, "index": index, "token": word})


def event(data: dict) -> bytes:
    """Makes one server-sent event."""
    return b"data: " + msgspec.json.encode(data) + b"\n\n"
