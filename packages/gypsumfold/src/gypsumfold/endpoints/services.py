"""The client of a plain service: health and single calls."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

import aiohttp
from aiohttp import payload
import msgspec

from gypsumfold import exceptions
from gypsumfold import settings as settings_module
from gypsumfold.endpoints import connections

# The header that names the dispatch in both directions.
DISPATCH_HEADER = "Gypsumfold-Dispatch"


class Health(msgspec.Struct):
    """What a plain service says of itself."""

    incarnation: str
    taken: float
    leaving: bool
    running: int = 0


class Answer(NamedTuple):
    """The whole answer to one call."""

    status: int
    content_type: str
    body: bytes


class CallBody(payload.BytesPayload):
    """The body of one call, which goes out after the 100 or never.

    aiohttp writes the payload of a request with ``expect100`` once an
    interim response has come (measured: features/services.feature). That
    moment is the last one at which the call can still be held back.

    Attributes:
        end: Event loop time of the call's deadline.
        patience: Limits the time until the 100, and from then on until the
            deadline.
        sent: Whether any of it may have left: from then on the call may run.
        over: Whether it is too late to send it.

    >>> body = Body(b"{}", permit=lambda: True, end=loop.time() + 2.0)
    """

    def __init__(self, content: bytes, permit: Callable[[], bool], end: float):
        """Prepares the body.

        Args:
            content: Sent as it is.
            permit: Asked at the instant of sending.
            end: Event loop time of the call's deadline.
        """
        super().__init__(content)
        self.permit = permit
        self.deadline = end
        self.timeout: asyncio.Timeout | None = None
        self.sent = False
        self.call_ended = False

    async def write_with_length(self, writer, content_length) -> None:
        """Sends the body, once; see the class."""
        late = self.call_ended or self.sent or self.timeout.expired()
        if late or not self.permit():
            raise exceptions.EndpointNotStarted("no longer to be sent")
        self.timeout.reschedule(self.deadline)
        self.sent = True
        await super().write_with_length(writer, content_length)


class ServiceClient:
    """Talks to one replica of a plain service.

    >>> client = ServiceClient("10.0.2.1:9000", sessions, settings.endpoints)
    >>> answer = await client.call("hold", b"{}", "dispatch-1", 2.0)
    """

    def __init__(
        self,
        address: str,
        sessions: connections.Sessions,
        settings: settings_module.EndpointsSection,
    ):
        self.base_url = f"http://{address}"
        self.sessions = sessions
        self.settings = settings

    async def load(self) -> Health:
        """Asks for the replica's health.

        Raises:
            exceptions.EndpointError: It does not answer, or not so.
        """
        limit = self.settings.connect_timeout
        url = f"{self.base_url}/health"
        pooled = self.sessions.pooled
        return await connections.fetch_report(pooled, url, Health, limit)

    async def call(
        self,
        name: str,
        body: bytes,
        dispatch_id: str,
        timeout: float,
        permit: Callable[[], bool] = lambda: True,
    ) -> Answer:
        """Makes one call, once.

        Args:
            name: Of the call.
            body: Sent as it is.
            dispatch_id: Fresh for each dispatch.
            timeout: Seconds for the whole call.
            permit: Asked when the replica is ready for the body; if it says
                no, the body is not sent.

        Returns:
            The answer, checked to be of this dispatch.

        Raises:
            exceptions.EndpointNotStarted: It cannot have run.
            exceptions.EndpointUndetermined: It may have run.
        """
        deadline = asyncio.get_running_loop().time() + timeout
        call_body = CallBody(body, permit, deadline)
        try:
            return await self.send(
                self.sessions.pooled, name, call_body, dispatch_id
            )
        except exceptions.EndpointNotStarted as error:
            if not is_stale_connection(error):
                raise
        # Only the pooled connection may have failed; a new one tells.
        call_body = CallBody(body, permit, deadline)
        return await self.send(
            self.sessions.unpooled, name, call_body, dispatch_id
        )

    async def send(
        self,
        session: aiohttp.ClientSession,
        name: str,
        call_body: CallBody,
        dispatch_id: str,
    ) -> Answer:
        """Makes one try on one connection; see `call`."""
        now = asyncio.get_running_loop().time()
        limit = now + self.settings.connect_timeout
        call_body.timeout = asyncio.timeout_at(min(limit, call_body.deadline))
        try:
            async with call_body.timeout:
                return await self.exchange(
                    session, name, call_body, dispatch_id
                )
        except (aiohttp.ClientError, TimeoutError) as error:
            if not call_body.sent:
                raise exceptions.EndpointNotStarted(repr(error)) from error
            raise exceptions.EndpointUndetermined(repr(error)) from error
        finally:
            call_body.call_ended = True

    async def exchange(
        self,
        session: aiohttp.ClientSession,
        name: str,
        call_body: CallBody,
        dispatch_id: str,
    ) -> Answer:
        """Sends one call and reads its answer; see `call`."""
        # A body of no bytes is chunked: its end is then a chunk of its own
        # that waits for the 100, too. A redirect would send the call twice.
        async with session.post(
            f"{self.base_url}/calls/{name}",
            data=call_body,
            headers={DISPATCH_HEADER: dispatch_id},
            expect100=True,
            chunked=None if call_body.size else True,
            allow_redirects=False,
        ) as answer:
            if not call_body.sent:
                answer.close()
                raise early_answer_error(answer.status)
            content = await answer.read()
            if answer.headers.get(DISPATCH_HEADER) != dispatch_id:
                answer.close()
                raise exceptions.EndpointUndetermined(
                    "an answer to another dispatch"
                )
            return Answer(answer.status, answer.content_type, content)


def is_stale_connection(error: exceptions.EndpointNotStarted) -> bool:
    """Whether a connection failed that was open, before its 100 came."""
    if isinstance(error.__cause__, aiohttp.ClientConnectorError):
        return False
    connection_errors = (
        TimeoutError,
        aiohttp.ClientOSError,
        aiohttp.ServerDisconnectedError,
    )
    return isinstance(error.__cause__, connection_errors)


def early_answer_error(status: int) -> exceptions.EndpointError:
    """Makes the error of a final answer that came instead of the 100."""
    if status < 400:
        return exceptions.EndpointUndetermined(
            f"status {status} before the body was sent"
        )
    return exceptions.EndpointNotStarted(f"refused with status {status}")
