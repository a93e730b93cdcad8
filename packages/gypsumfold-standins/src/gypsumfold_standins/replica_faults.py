"""What a replica's stand-in does wrong on request."""

import asyncio

from aiohttp import web
import msgspec

# Bytes that belong to no request.
STRAY = (
    b"HTTP/1.1 200 OK\r\nAttempt-Id: stray\r\nResponse-Seal: stray\r\n"
    b"Content-Length: 5\r\n\r\nstray"
)
# One piece of an answer that never ends.
POURED = b"x" * 65536
# Events that come again and again.
POURED_EVENTS = b"id: 1\ndata: token-1\n\n" * 3000


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Switches for tests.

    Attributes:
        seconds: How long a prompt or a plain call takes.
        event_seconds: Seconds between two events of a stream.
        events: Events of a stream.
        refused: Next requests that are refused as not run.
        late: Next refusals that come a second time, where the next answer on
            their connection is due.
        reset: Next requests that run and whose connection is reset.
        crossed: Next answers that name another attempt.
        stray: Next answers that are followed by a second one.
        unsealed: Next successes without the replica's seal.
        failing: Next requests that run and end with 500.
        broken: Next streams that break off in the middle of their third
            event.
        halved: Next plain answers of JSON with neither a length nor chunks
            whose connection is closed in order in their middle.
        unframed: Next streams with neither a length nor chunks; they end with
            their connection, which is closed in order even if they break off.
        crashing: Text of a body whose run ends the process; none if empty.
        crashing_part: Begin of the id of a part of prompts, not their last one,
            with which every run ends the process; none if empty.
        silent: Nothing is answered any more.
        orders_lost: Next orders carried out whose answer is dropped.
        rate_limit: Requests a second from all nodes, named in each answer to a
            request; none if 0.
        leaving: Whether each answer says that the replica leaves.
        rest: Seconds of rest for which each request is turned away; 0 for none.
        endless: Next runs whose answer never ends.
        odd_status: Next runs whose answer has a status that HTTP doesn't know.
        endless_events: Next runs whose stream of events never ends.
        padding: Bytes that follow the seal in the body of a plain answer.
    """

    seconds: float = 0.02
    event_seconds: float = 0.02
    events: int = 5
    refused: int = 0
    late: int = 0
    reset: int = 0
    crossed: int = 0
    stray: int = 0
    unsealed: int = 0
    failing: int = 0
    broken: int = 0
    halved: int = 0
    unframed: int = 0
    crashing: str = ""
    crashing_part: str = ""
    silent: bool = False
    orders_lost: int = 0
    rate_limit: float = 0.0
    leaving: bool = False
    rest: float = 0.0
    endless: int = 0
    endless_events: int = 0
    odd_status: int = 0
    padding: int = 0

    def takes(self, name: str) -> bool:
        """Counts a fault down and says whether it strikes now."""
        left = getattr(self, name)
        if left <= 0:
            return False
        setattr(self, name, left - 1)
        return True


class StreamedAnswer(web.StreamResponse):
    """A stream in chunks, or one that ends with its connection.

    Attributes:
        framed: Whether it is sent in chunks.
    """

    framed = True

    @property
    def _length_check(self) -> bool:
        # The HTTP library adds chunks unless a subclass opts out by this name.
        return self.framed


async def pour(
    request: web.Request, headers: dict[str, str], data: bytes
) -> web.StreamResponse:
    """Sends bytes without end until the caller closes."""
    response = web.StreamResponse(headers=headers)
    response.content_type = "text/event-stream"
    await response.prepare(request)
    while request.transport is not None:
        await response.write(data)
        await asyncio.sleep(0)
    return response


async def halve(
    request: web.Request, headers: dict[str, str]
) -> web.StreamResponse:
    """Sends the first half of a JSON object and closes the connection."""
    response = StreamedAnswer(headers=headers)
    response.content_type = "application/json"
    response.framed = False
    response.force_close()
    await response.prepare(request)
    await response.write(b'{"seat": 7, "ta')
    await response.write_eof()
    return response
