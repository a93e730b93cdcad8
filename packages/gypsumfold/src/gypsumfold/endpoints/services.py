"""A client for plain services: health reports and single calls."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

import aiohttp
from aiohttp import payload
import msgspec

from gypsumfold import exceptions
from gypsumfold import settings as settings_module
from gypsumfold.endpoints import connections

# The header that carries the dispatch id in requests and answers.
DISPATCH_HEADER = "Gypsumfold-Dispatch"
# Statuses of answers that never have a body.
BODILESS_STATUSES = (204, 304)


class Health(msgspec.Struct):
    """The health report of a plain service."""

    incarnation: str
    taken: float
    leaving: bool
    running: int = 0


class Answer(NamedTuple):
    """The complete answer to one call."""

    status: int
    content_type: str
    body: bytes


class CallBody(payload.BytesPayload):
    """The body of one call, sent only after a 100 (Continue) response.

    aiohttp writes the payload of a request with ``expect100`` once an
    interim response has been received (tested in features/services.feature).
    This is the last moment at which the call can still be withheld.

    Attributes:
        deadline: Event loop time of the call's deadline.
        timeout: Limits the wait for the 100, then the time until the
            deadline.
        sent: Whether any of the body may have been sent; the service may run
            the call from then on.
        call_ended: Whether the attempt has ended, so that it is too late to
            send the body.

    >>> body = CallBody(b"{}", permit=lambda: True, deadline=loop.time() + 2.0)
    """

    def __init__(
        self, content: bytes, permit: Callable[[], bool], deadline: float
    ):
        """Initializes the body.

        Args:
            content: The bytes to send.
            permit: Called just before sending; if it returns False, the body
                is not sent.
            deadline: Event loop time of the call's deadline.
        """
        super().__init__(content)
        self.permit = permit
        self.deadline = deadline
        self.timeout: asyncio.Timeout | None = None
        self.sent = False
        self.call_ended = False

    async def write_with_length(self, writer, content_length) -> None:
        """Sends the body, at most once.

        Raises:
            exceptions.EndpointNotStarted: It is too late to send the body,
                it was sent before, or the permit does not allow it.
        """
        late = self.call_ended or self.sent or self.timeout.expired()
        if late or not self.permit():
            raise exceptions.EndpointNotStarted("no longer to be sent")
        self.timeout.reschedule(self.deadline)
        self.sent = True
        await super().write_with_length(writer, content_length)


class ServiceClient:
    """A client of one replica of a plain service.

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
        """Fetches the replica's health report.

        Raises:
            exceptions.EndpointError: The replica does not answer in time, or
                its answer cannot be decoded.
        """
        timeout = self.settings.connect_timeout
        url = f"{self.base_url}/health"
        pooled = self.sessions.pooled
        return await connections.fetch_report(pooled, url, Health, timeout)

    async def call(
        self,
        name: str,
        body: bytes,
        dispatch_id: str,
        timeout: float,
        permit: Callable[[], bool] = lambda: True,
    ) -> Answer:
        """Makes a call that runs at most once.

        Args:
            name: Name of the call.
            body: The bytes to send.
            dispatch_id: Unique to each dispatch.
            timeout: Seconds allowed for the entire call.
            permit: Called when the replica is ready for the body; if it
                returns False, the body is not sent.

        Returns:
            The answer, checked to belong to this dispatch.

        Raises:
            exceptions.EndpointNotStarted: The call cannot have run.
            exceptions.EndpointUndetermined: The call may have run.
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
        # The fault may be in the pooled connection alone, so try a new one.
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
        """Makes one attempt on one connection; see `call`."""
        now = asyncio.get_running_loop().time()
        continue_deadline = now + self.settings.connect_timeout
        call_body.timeout = asyncio.timeout_at(
            min(continue_deadline, call_body.deadline)
        )
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
        # An empty body is chunked, so that its final chunk also waits for
        # the 100. A redirect would send the call twice.
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
            if not is_framed(answer):
                answer.close()
                raise exceptions.EndpointUndetermined(
                    "an answer with neither a length nor chunks"
                )
            content = await answer.read()
            if answer.headers.get(DISPATCH_HEADER) != dispatch_id:
                answer.close()
                raise exceptions.EndpointUndetermined(
                    "an answer to another dispatch"
                )
            return Answer(answer.status, answer.content_type, content)


def is_stale_connection(error: exceptions.EndpointNotStarted) -> bool:
    """Whether an open connection failed before its 100 was received."""
    if isinstance(error.__cause__, aiohttp.ClientConnectorError):
        return False
    connection_errors = (
        TimeoutError,
        aiohttp.ClientOSError,
        aiohttp.ServerDisconnectedError,
    )
    return isinstance(error.__cause__, connection_errors)


def is_framed(answer: aiohttp.ClientResponse) -> bool:
    """Whether the end of an answer's body can be told from a broken one.

    The HTTP library takes any end of the connection, a reset too, for the end
    of a body with neither a length nor chunks.
    """
    if answer.status in BODILESS_STATUSES or answer.content_length is not None:
        return True
    return "chunked" in answer.headers.get("Transfer-Encoding", "").lower()


def early_answer_error(status: int) -> exceptions.EndpointError:
    """Returns the error for a final answer received instead of the 100."""
    if status < 400:
        return exceptions.EndpointUndetermined(
            f"status {status} before the body was sent"
        )
    return exceptions.EndpointNotStarted(f"refused with status {status}")
