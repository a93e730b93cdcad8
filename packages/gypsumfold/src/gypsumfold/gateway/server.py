"""HTTP server for callers: reads complete requests and streams answers."""

import asyncio
import contextlib
import time

from aiohttp import web
from aiohttp import web_protocol
import msgspec
import multidict

from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold import outcomes
from gypsumfold.callers import problems
from gypsumfold.gateway import configurations as configurations_module
from gypsumfold.gateway import handling
from gypsumfold.gateway import types
from gypsumfold.platform import ingress

# Largest request line and header field that the HTTP library accepts, in bytes;
# the operators' limit for an entire head is below this.
MAX_HEADER_BYTES = 65536
# Fields of a head of that size: a name, a colon and a line end at least.
MAX_FIELDS = MAX_HEADER_BYTES // 4
# Longer than callers may keep a connection idle, so that a request never
# arrives while the server closes the connection.
KEEP_ALIVE_SECONDS = 90.0
# Statuses of answers that never have a body, whatever length they name.
BODILESS_STATUSES = (204, 304)
# Time to send the last bytes of answers when the process ends.
WRITE_TIMEOUT_SECONDS = 0.5


class Server:
    """Serves callers on one address.

    Attributes:
        busy: Connections with a request in progress.
        stopping: Whether the connection is closed after each answer.

    >>> server = Server(handler, configurations)
    >>> await server.start("10.1.0.38:8149")
    """

    def __init__(
        self,
        handler: handling.Handler,
        configurations: configurations_module.Configurations,
    ):
        self.handler = handler
        self.configurations = configurations
        self.busy: set[web_protocol.RequestHandler] = set()
        self.request_ended = asyncio.Event()
        self.stopping = False
        self.runner: web.ServerRunner | None = None

    async def start(self, address: str) -> None:
        """Listens on IP:PORT."""
        server = web.Server(
            self.handle,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=KEEP_ALIVE_SECONDS,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
            max_headers=MAX_FIELDS,
            # A body reaches the replica as its caller has sent it, and takes
            # no more memory than was received.
            auto_decompress=False,
        )
        self.runner = await listen(server, address)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers one request."""
        arrival = time.monotonic()
        self.busy.add(request.protocol)
        reply = HTTPReply(request, self)
        call_id = ingress.call_id(tuple(request.raw_headers))
        try:
            call = await self.read(request, arrival)
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
            self.request_ended.set()
        return reply.response

    async def read(
        self, request: web.BaseRequest, arrival: float
    ) -> types.Call:
        """Reads a complete request.

        Raises:
            exceptions.RequestInvalid: It is not valid.
        """
        body = None
        if request.body_exists or "Content-Length" in request.headers:
            body = await self.read_body(request)
        return ingress.decode(
            request.method,
            request.raw_path,
            tuple(request.raw_headers),
            body,
            arrival,
        )

    async def read_body(self, request: web.BaseRequest) -> bytes:
        """Reads a request's body.

        Raises:
            exceptions.BodyTooLarge: It exceeds the operators' limit.
        """
        if request.headers.get("Expect", "").lower() == "100-continue":
            request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        limits = types.Limits()
        if self.configurations.current is not None:
            limits = self.configurations.current.limits
        parts = []
        size = 0
        async for chunk in request.content.iter_any():
            size += len(chunk)
            if size > limits.body_bytes:
                raise exceptions.BodyTooLarge(
                    f"the body has more than {limits.body_bytes} bytes",
                    outcomes.Outcome.NOT_RUN,
                )
            parts.append(chunk)
        return b"".join(parts)

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

    async def stop_listening(self) -> None:
        """Accepts no more connections and closes the idle ones.

        From then on the HTTP library drops data on an idle connection without
        closing it; it closes the others after their answer.
        """
        for site in list(self.runner.sites):
            await site.stop()
        # Data received by now is handled as a request first.
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        server = self.runner.server
        server.pre_shutdown()
        for connection in list(server.connections):
            if connection not in self.busy:
                connection.force_close()

    async def wait_until_idle(self, timeout: float) -> None:
        """Waits until no request is in progress, or the timeout in seconds."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                while self.busy:
                    self.request_ended.clear()
                    await self.request_ended.wait()
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
        if self.server.stopping:
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


async def listen(server: web.Server, address: str) -> web.ServerRunner:
    """Serves on IP:PORT."""
    runner = web.ServerRunner(server)
    await runner.setup()
    host, _, port = address.rpartition(":")
    site = web.TCPSite(runner, host, int(port), backlog=1024)
    await site.start()
    return runner
