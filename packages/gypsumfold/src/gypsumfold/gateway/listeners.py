"""Listeners of the process, with common bounds for their connections."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from aiohttp import web

from gypsumfold import exceptions
from gypsumfold.callers import problems
from gypsumfold.decisions import intake
from gypsumfold.gateway import caller_connections
from gypsumfold.gateway import intake as intake_module
from gypsumfold.gateway import refusals

# Largest request line and header field that the HTTP library accepts, in bytes;
# the operators' limit for an entire head is below this.
MAX_FIELD_BYTES = 65536
# Least bytes that a field takes beside its name and value.
FIELD_OVERHEAD_BYTES = 3
# Fields of a head of that size.
MAX_FIELDS = MAX_FIELD_BYTES // (FIELD_OVERHEAD_BYTES + 1)
# The library's own timeout for idle connections, in seconds: never reached,
# as `intake.Intake` closes them.
KEEP_ALIVE_SECONDS = 86400.0

Handle = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class Server(web.Server):
    """The connections of one listener.

    >>> server = Server(handle, intake)
    """

    def __init__(self, handle: Handle, room: intake_module.Intake):
        self.intake = room
        self.serve = handle
        super().__init__(self.handle, handler_cancellation=True)
        self.options = {
            "access_log": None,
            "keepalive_timeout": KEEP_ALIVE_SECONDS,
            "lingering_time": intake.DRAIN_SECONDS,
            "max_line_size": MAX_FIELD_BYTES,
            "max_field_size": MAX_FIELD_BYTES,
            "max_headers": MAX_FIELDS,
            "read_bufsize": caller_connections.READ_BUFFER_BYTES,
            # A body reaches the replica as its caller has sent it, and takes
            # no more memory than was received.
            "auto_decompress": False,
        }

    def __call__(self) -> caller_connections.Connection:
        """Makes the protocol of a new connection."""
        return caller_connections.Connection(
            self,
            self.intake,
            loop=asyncio.get_running_loop(),
            **self.options,
        )

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers one request."""
        connection = request.protocol
        connection.begin(not request.content.is_eof())
        try:
            self.check_head(request)
            response = await self.serve(request)
        except exceptions.RequestError as error:
            response = problems.response(error)
        finally:
            is_read = request.content.is_eof()
            connection.end(is_read)
        if connection.closing or not is_read:
            response.force_close()
        return response

    def check_head(self, request: web.BaseRequest) -> None:
        """Checks the size of a head that was received at once.

        Raises:
            exceptions.HeadTooLarge: It exceeds the operators' limit.
            exceptions.Unavailable: There is no room for it.
        """
        size = 0
        for name, value in request.raw_headers:
            size += len(name) + len(value) + FIELD_OVERHEAD_BYTES
        connection = request.protocol
        if not intake.may_stay(
            connection.held, self.intake.held, self.intake.callers_bytes
        ):
            self.intake.count(intake.Reason.NO_MEMORY, connection)
            raise refusals.intake_refusal(intake.Reason.NO_MEMORY)
        if size > self.intake.limits.header_bytes:
            self.intake.count(intake.Reason.HEAD_TOO_LARGE, request.protocol)
            raise refusals.intake_refusal(intake.Reason.HEAD_TOO_LARGE)


async def listen(server: Server, address: str) -> web.ServerRunner:
    """Serves on IP:PORT."""
    runner = web.ServerRunner(server)
    await runner.setup()
    host, _, port = address.rpartition(":")
    site = web.TCPSite(runner, host, int(port), backlog=1024)
    await site.start()
    return runner
