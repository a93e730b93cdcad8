"""HTTP server for callers: reads complete requests and streams answers."""

import asyncio
import time

from aiohttp import web
from aiohttp import web_protocol
import msgspec
import multidict

from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold import outcomes
from gypsumfold.callers import problems
from gypsumfold.decisions import intake
from gypsumfold.gateway import handling
from gypsumfold.gateway import intake as intake_module
from gypsumfold.gateway import listeners
from gypsumfold.gateway import refusals
from gypsumfold.gateway import request_bodies
from gypsumfold.gateway import types
from gypsumfold.platform import ingress

# Statuses of answers that never have a body, whatever length they name.
BODILESS_STATUSES = (204, 304)
# Seconds between two looks at the connections of a node that stops.
CLOSE_INTERVAL_SECONDS = 0.05


class Server:
    """Serves callers on one address.

    Attributes:
        busy: Connections with a request in progress.
        stopping: Whether a connection is closed after the answer to the last
            request that was received on it.

    >>> server = Server(handler, intake)
    >>> await server.start("10.1.0.38:8149")
    """

    def __init__(
        self,
        handler: handling.Handler,
        room: intake_module.Intake,
    ):
        self.handler = handler
        self.intake = room
        self.busy: set[web_protocol.RequestHandler] = set()
        self.stopping = False
        self.runner: web.ServerRunner | None = None

    async def start(self, address: str) -> None:
        """Listens on IP:PORT."""
        server = listeners.Server(self.handle, self.intake)
        self.runner = await listeners.listen(server, address)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers one request."""
        arrival = time.monotonic()
        self.busy.add(request.protocol)
        reply = HTTPReply(request, self)
        call_id = ingress.call_id(tuple(request.raw_headers))
        try:
            call = await self.read(request, arrival)
            if request.protocol.is_late():
                raise refusals.intake_refusal(intake.Reason.STOPPING)
            await self.handler.serve(call, reply)
        except exceptions.RequestError as error:
            return await self.send_error(reply, error, call_id)
        except exceptions.AnswerBroken:
            reply.abort()
        except ConnectionError:
            # The caller has disconnected; this task is cancelled next.
            reply.abort()
        except asyncio.CancelledError:
            raise
        except Exception as error:
            # A failure of one request must not affect others.
            events.log(events.TASK_FAILED, task="request", error=repr(error))
            if reply.response is not None:
                reply.abort()
                return reply.response
            failure = exceptions.AnswerFailed(
                "the node failed", outcomes.Outcome.UNDETERMINED
            )
            return await self.send_error(reply, failure, call_id)
        finally:
            self.busy.discard(request.protocol)
        return reply.response

    async def read(
        self, request: web.BaseRequest, arrival: float
    ) -> types.Call:
        """Reads a complete request.

        What is wrong with its head is answered before its body is read.

        Raises:
            exceptions.RequestError: It is not valid, or can't be served.
        """
        call = ingress.decode(
            request.method,
            request.raw_path,
            tuple(request.raw_headers),
            None,
            arrival,
        )
        if not request.body_exists and "Content-Length" not in request.headers:
            return call
        if not request.content.is_eof():
            self.handler.check_head(call)
        return call._replace(body=await self.read_body(request))

    async def read_body(self, request: web.BaseRequest) -> bytes:
        """Reads a request's body.

        Raises:
            exceptions.BodyTooLarge: It exceeds the operators' limit.
            exceptions.Unavailable: There is no room for it.
        """
        limit = self.intake.limits.body_bytes
        request_bodies.check_length(request, limit)
        if request.headers.get("Expect", "").lower() == "100-continue":
            request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        return await request_bodies.read(request, limit, self.intake)

    async def send_error(
        self,
        reply: "HTTPReply",
        error: exceptions.RequestError,
        call_id: str,
    ) -> web.StreamResponse:
        """Sends the node's own final answer."""
        retry_after = error.retry_after
        fields = ingress.failure_fields(call_id, retry_after)
        raw = [
            (name.encode(), value.encode()) for name, value in fields.items()
        ]
        raw.append((b"Content-Type", b"application/problem+json"))
        body = msgspec.json.encode(problems.document(error))
        await reply.send(error.status, "", tuple(raw), body)
        return reply.response

    async def end_intake(self, until: float) -> None:
        """Accepts no more connections; returns once all are closed.

        Args:
            until: When those that are left are given up, in seconds on the
                monotonic clock.
        """
        for site in list(self.runner.sites):
            await site.stop()
        server = self.runner.server
        while server.connections and time.monotonic() < until:
            for connection in list(server.connections):
                connection.end_intake()
            await asyncio.sleep(CLOSE_INTERVAL_SECONDS)
        if self.busy:
            events.log(events.NODE_GAVE_UP, requests=len(self.busy))

    async def close(self) -> None:
        """Ends requests in progress and closes all connections."""
        if self.runner is not None:
            await self.runner.cleanup()


class HTTPReply:
    """An answer on a caller's connection.

    Attributes:
        is_head: Whether it answers HEAD, so that it never has a body: the
            HTTP library sends what it is given, and the caller would read
            that as its next answer.
        missing: Bytes of the body that its length still promises; None if
            it has no length.
    """

    def __init__(self, request: web.BaseRequest, server: Server):
        self.request = request
        self.server = server
        self.response: web.StreamResponse | None = None
        self.is_head = request.method == "HEAD"
        self.missing: int | None = None

    async def send(
        self, status: int, reason: str, fields: types.Fields, body: bytes
    ) -> None:
        """Sends a complete answer."""
        if len(body) > intake.SMALL_BYTES:
            self.request.protocol.begin_answer(len(body))
        length: int | None = len(body)
        if self.is_head and not body:
            # The length that the answer to GET would have isn't known.
            length = None
        await self.start(status, reason, fields, length)
        if body:
            await self.write(body)
        await self.end()

    async def start(
        self, status: int, reason: str, fields: types.Fields, length: int | None
    ) -> None:
        """Sends the head of an answer whose body follows."""
        headers = multidict.CIMultiDict()
        for name, value in fields:
            headers.add(name.decode("latin-1"), value.decode("latin-1"))
        response = web.StreamResponse(
            status=status, reason=reason or None, headers=headers
        )
        if length is not None:
            response.content_length = length
        elif not self.is_head:
            response.enable_chunked_encoding()
        if status not in BODILESS_STATUSES:
            self.missing = length
        connection = self.request.protocol
        is_read = self.request.content.is_eof()
        is_last = self.server.stopping and not connection.has_more()
        if is_last or connection.closing or not is_read:
            response.force_close()
        self.response = response
        await response.prepare(self.request)

    async def write(self, data: bytes) -> None:
        """Sends a chunk of the body.

        Raises:
            exceptions.AnswerBroken: The body is longer than its length.
        """
        if self.is_head:
            return
        if self.missing is not None:
            if len(data) > self.missing:
                # The HTTP library would drop the rest.
                raise exceptions.AnswerBroken("the body exceeds its length")
            self.missing -= len(data)
        await self.response.write(data)

    async def end(self) -> None:
        """Ends the body; the answer is complete.

        Raises:
            exceptions.AnswerBroken: The body is shorter than its length: the
                caller would read the next answer as its rest.
        """
        if self.missing and not self.is_head:
            raise exceptions.AnswerBroken("the body is below its length")
        await self.response.write_eof()

    def abort(self) -> None:
        """Aborts the connection; the caller sees an incomplete answer."""
        transport = self.request.transport
        if transport is not None:
            transport.abort()
        if self.response is None:
            self.response = web.StreamResponse(status=502)
