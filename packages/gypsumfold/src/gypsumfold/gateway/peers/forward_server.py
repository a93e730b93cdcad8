"""Serves the requests of nodes that are cut off from the replicas."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import socket
import time
from typing import Protocol

from aiohttp import web

from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold import outcomes
from gypsumfold.decisions import stream_origins
from gypsumfold.gateway import intake as intake_module
from gypsumfold.gateway import replies
from gypsumfold.gateway import request_bodies
from gypsumfold.gateway import types
from gypsumfold.gateway.peers import forward_messages
from gypsumfold.gateway.peers import seals

# Seconds between two signs of life while a request is served.
ALIVE_INTERVAL_SECONDS = 0.25
# Time after which the kernel closes a connection whose other end acknowledges
# nothing; the request is cancelled then, as its caller may have left.
UNACKNOWLEDGED_TIMEOUT_MS = 1000

Send = Callable[[forward_messages.Message], Awaitable[None]]
# Returns the instance and start of replicas that were learnt to leave lately.
FindDepartures = Callable[[], list[tuple[str, int]]]


class Handler(Protocol):
    """Serves a request from its admission to its final answer."""

    async def serve_forwarded(
        self,
        call: types.Call,
        version: int,
        runs: int,
        origin: stream_origins.Origin | None,
        reply: replies.Reply,
    ) -> None:
        """Answers a request that another node has admitted.

        Raises:
            exceptions.PeerRefused: This node can't serve it either.
            exceptions.RequestError: The final answer.
            exceptions.AnswerBroken: The answer has started and is broken off.
        """


class PeerReply:
    """Sends the answer of a request to the node that forwarded it."""

    def __init__(self, send: Send, find_departures: FindDepartures):
        self.send_message = send
        self.find_departures = find_departures

    async def send(
        self, status: int, reason: str, fields: types.Fields, body: bytes
    ) -> None:
        """Sends a complete answer."""
        await self.start(status, reason, fields, len(body))
        if body:
            await self.write(body)
        await self.end()

    async def start(
        self, status: int, reason: str, fields: types.Fields, length: int | None
    ) -> None:
        """Sends the head of an answer whose body follows."""
        head = forward_messages.Head(
            status, reason, list(fields), self.find_departures()
        )
        await self.send_message(head)

    async def write(self, data: bytes) -> None:
        """Sends a chunk of the body."""
        await self.send_message(forward_messages.Data(data))

    async def end(self) -> None:
        """Ends the body; the answer is complete."""
        await self.send_message(forward_messages.End())

    def abort(self) -> None:
        """Does nothing: without an end the answer is incomplete."""


class ForwardServer:
    """Serves forwarded requests, each in its own task.

    Attributes:
        stopping: Whether new requests are declined.
        active: Number of requests in progress.
        find_departures: What each answer's head tells of replicas that leave.

    >>> server = ForwardServer(sealer, handler)
    >>> await server.serve(frame, write)
    """

    def __init__(
        self,
        sealer: seals.Sealer,
        handler: Handler,
        intake: intake_module.Intake | None = None,
    ):
        self.intake = intake
        self.sealer = sealer
        self.handler = handler
        self.stopping = False
        self.active = 0
        self.find_departures: FindDepartures = list
        self.ended = asyncio.Event()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers one request over HTTP."""
        sock = request.transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                UNACKNOWLEDGED_TIMEOUT_MS,
            )
        frame = await request_bodies.read(
            request, forward_messages.MAX_FRAME_BYTES, self.intake
        )
        response = web.StreamResponse()
        response.force_close()
        response.enable_chunked_encoding()
        await response.prepare(request)
        try:
            await self.serve(frame, response.write)
        except exceptions.AnswerBroken:
            if request.transport is not None:
                request.transport.abort()
            return response
        await response.write_eof()
        return response

    async def serve(
        self, frame: bytes, write: Callable[[bytes], Awaitable[None]]
    ) -> None:
        """Answers one request.

        Args:
            frame: The request.
            write: Sends bytes of the answer.

        Raises:
            exceptions.AnswerBroken: The answer has started and is broken off.
        """

        async def send(message: forward_messages.Message) -> None:
            await write(forward_messages.encode_message(message, self.sealer))

        try:
            request = forward_messages.decode_request(frame, self.sealer)
        except exceptions.RecordInvalid as error:
            await send(forward_messages.Declined(str(error)))
            return
        if self.stopping:
            await send(forward_messages.Declined("the node is stopping"))
            return
        self.active += 1
        alive = asyncio.create_task(send_alive(send))
        try:
            await self.run(request, send)
        finally:
            alive.cancel()
            self.active -= 1
            self.ended.set()

    async def run(self, request: forward_messages.Request, send: Send) -> None:
        """Serves one request and sends how it ended.

        Raises:
            exceptions.AnswerBroken: The answer has started and is broken off.
        """
        call = forward_messages.to_call(request, time.monotonic())
        try:
            await self.handler.serve_forwarded(
                call,
                request.version,
                request.runs,
                forward_messages.to_origin(request),
                PeerReply(send, self.find_departures),
            )
        except exceptions.PeerRefused as error:
            await send(forward_messages.Declined(str(error)))
        except exceptions.RequestError as error:
            await send(forward_messages.from_error(error))
        except (
            exceptions.AnswerBroken,
            ConnectionError,
            asyncio.CancelledError,
        ):
            raise
        except Exception as error:
            # A failure of one request must not affect others.
            events.log(events.TASK_FAILED, task="forwarded", error=repr(error))
            await send(
                forward_messages.from_error(
                    exceptions.AnswerFailed(
                        "the node failed", outcomes.Outcome.UNDETERMINED
                    )
                )
            )

    async def wait_until_idle(self, timeout: float) -> None:
        """Waits until no request is in progress, or the timeout in seconds."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, timeout)):
                while self.active:
                    self.ended.clear()
                    await self.ended.wait()


async def send_alive(send: Send) -> None:
    """Sends signs of life until it is cancelled."""
    # The task that serves the request notices the lost connection as well.
    with contextlib.suppress(ConnectionError):
        while True:
            await send(forward_messages.Alive())
            await asyncio.sleep(ALIVE_INTERVAL_SECONDS)
