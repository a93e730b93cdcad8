"""A client for model engines: load reports, token streams, cancellation."""

import asyncio
from collections.abc import AsyncIterator
import time

import aiohttp
import msgspec

from gypsumfold import exceptions
from gypsumfold import settings as settings_module
from gypsumfold.endpoints import connections
from gypsumfold.endpoints import permits
from gypsumfold.endpoints import sse
from gypsumfold.endpoints import tokens

# Statuses that mean that the engine has not started the dispatch.
NOT_STARTED_STATUSES = (404, 429, 503)

# How long an engine may take to end the body after the end marker.
DRAIN_TIMEOUT_SECONDS = 0.5


class Dispatch(msgspec.Struct):
    """A request to an engine to generate one answer.

    Attributes:
        id: Unique to each dispatch.
        model: Model, adapter and version.
        messages: The caller's messages, unchanged.
        prior: Tokens that the caller already has.
        max_tokens: Maximum number of tokens in the complete answer,
            including ``prior``.
        priority: The urgency; 0 is the most urgent.
        prefill_from: Address of the prefill engine that has processed the
            prompt under the same id; empty if there is none.
    """

    id: str
    model: str
    messages: list
    prior: list[str]
    max_tokens: int
    priority: int
    prefill_from: str = ""


class Load(msgspec.Struct):
    """An engine's load report.

    Reports lag behind the engine's state; ``taken`` is the time of the
    report on the engine's wall clock.
    """

    incarnation: str
    taken: float
    role: str
    leaving: bool
    models: list[str]
    running: int
    waiting: int
    prefill_tokens: int
    kv_used: float
    batch: int
    prefill_rate: float
    decode_rate: float
    cache_sequence: int = 0
    changing: bool = False

    def has_changed_since(self, earlier: "Load") -> bool:
        """Whether the engine has been active since an earlier report."""
        figures = (self.running, self.waiting, self.prefill_tokens)
        before = (earlier.running, earlier.waiting, earlier.prefill_tokens)
        return (*figures, self.kv_used, self.cache_sequence) != (
            *before,
            earlier.kv_used,
            earlier.cache_sequence,
        )


class EngineClient:
    """A client of one engine.

    Attributes:
        last_received: Monotonic time at which any stream last received data.

    >>> client = EngineClient("10.0.1.1:9000", sessions, settings.endpoints)
    >>> async for item in client.start(dispatch):
    ...     print(item)
    """

    def __init__(
        self,
        address: str,
        sessions: connections.Sessions,
        settings: settings_module.EndpointsSection,
    ):
        self.base_url = f"http://{address}/v1"
        self.permit: permits.Permit = permits.AlwaysAllowed()
        self.sessions = sessions
        self.settings = settings
        self.last_received = float("-inf")

    async def load(self) -> Load:
        """Fetches the load report.

        Raises:
            exceptions.EndpointError: The engine does not answer in time, or
                its answer cannot be decoded.
        """
        return await self.fetch_load(self.sessions.pooled)

    async def probe(self) -> Load:
        """Fetches the load report on a new connection.

        Raises:
            exceptions.EndpointFailed: The engine does not answer, even on a
                new connection.
        """
        try:
            return await self.fetch_load(self.sessions.unpooled)
        except exceptions.EndpointError as error:
            raise exceptions.EndpointFailed(str(error)) from error

    async def fetch_load(self, session: aiohttp.ClientSession) -> Load:
        """Fetches the load report with a given session; see `load`."""
        timeout = self.settings.connect_timeout
        url = f"{self.base_url}/load"
        return await connections.fetch_report(session, url, Load, timeout)

    async def start(
        self, dispatch: Dispatch
    ) -> AsyncIterator[tokens.StreamItem]:
        """Starts a dispatch and yields its tokens, then its finish.

        Args:
            dispatch: The dispatch, with an id that was not used before.

        Raises:
            exceptions.EndpointNotStarted: The engine cannot have started the
                dispatch.
            exceptions.EndpointFailed: The engine answered with an error
                status.
            exceptions.StreamBroken: The stream ended early, went silent or
                had an invalid event.
        """
        self.permit.check()
        content = msgspec.json.encode(dispatch)
        body = permits.DispatchBody(self.permit, content)
        request = self.sessions.pooled.post(
            f"{self.base_url}/dispatches",
            data=body.chunks(),
            headers={
                "Content-Type": "application/json",
                "Content-Length": str(len(content)),
            },
        )
        stream = self.read_stream(request, dispatch.id, len(dispatch.prior))
        with self.permit.dispatch():
            try:
                async for item in stream:
                    yield item
            except exceptions.StreamBroken as error:
                if not body.refused:
                    raise
                raise exceptions.EndpointNotStarted(str(error)) from error

    async def resume(
        self, dispatch_id: str, index: int
    ) -> AsyncIterator[tokens.StreamItem]:
        """Resumes the stream of a dispatch that was started earlier.

        Args:
            dispatch_id: Id of the dispatch.
            index: Index of the first token to receive.

        Raises:
            exceptions.EndpointNotStarted: The engine does not know the
                dispatch or cannot be reached.
            exceptions.EndpointFailed: The engine answered with an error
                status.
            exceptions.StreamBroken: The stream ended early, went silent or
                had an invalid event.
        """
        request = self.sessions.unpooled.get(
            f"{self.base_url}/dispatches/{dispatch_id}",
            params={"from": str(index)},
        )
        async for item in self.read_stream(request, dispatch_id, index):
            yield item

    async def cancel(self, dispatch_id: str) -> None:
        """Cancels a dispatch; errors and timeouts are ignored."""
        timeout = aiohttp.ClientTimeout(total=self.settings.connect_timeout)
        url = f"{self.base_url}/dispatches/{dispatch_id}"
        try:
            async with self.sessions.pooled.delete(
                url, timeout=timeout
            ) as answer:
                await answer.read()
        except (aiohttp.ClientError, TimeoutError):
            return

    async def read_stream(
        self, request, dispatch_id: str, index: int
    ) -> AsyncIterator[tokens.StreamItem]:
        """Reads one stream and validates each event; see `start`."""
        try:
            async with asyncio.timeout(self.settings.idle_timeout):
                response = await request
        except aiohttp.ClientConnectorError as error:
            raise exceptions.EndpointNotStarted(str(error)) from error
        except TimeoutError as error:
            raise exceptions.StreamSilent(repr(error)) from error
        except aiohttp.ClientError as error:
            raise exceptions.StreamBroken(repr(error)) from error
        is_complete = False
        try:
            if response.status in NOT_STARTED_STATUSES:
                raise exceptions.EndpointNotStarted(f"status {response.status}")
            if response.status != 200:
                raise exceptions.EndpointFailed(f"status {response.status}")
            validator = tokens.StreamValidator(dispatch_id, index)
            async for event in self.read_events(response):
                item = validator.validate(event)
                if item is None:
                    break
                yield item
            validator.check_complete()
            is_complete = True
        finally:
            # Only the connection of a complete stream returns to the pool:
            # on any other, bytes of this answer may still arrive.
            if is_complete:
                await _drain(response)
            else:
                response.close()

    async def read_events(
        self, response: aiohttp.ClientResponse
    ) -> AsyncIterator[sse.ServerEvent]:
        """Yields the events of a response.

        Raises:
            exceptions.StreamSilent: No data came within the idle timeout.
            exceptions.StreamBroken: The connection failed.
        """
        parser = sse.Parser()
        while True:
            try:
                async with asyncio.timeout(self.settings.idle_timeout):
                    data = await response.content.readany()
            except TimeoutError as error:
                raise exceptions.StreamSilent(repr(error)) from error
            except aiohttp.ClientError as error:
                raise exceptions.StreamBroken(repr(error)) from error
            if not data:
                return
            self.last_received = time.monotonic()
            for event in parser.feed(data):
                yield event


async def _drain(response: aiohttp.ClientResponse) -> None:
    """Reads a complete response to its end so its connection can be pooled.

    The connection is closed instead if more data, an error or a timeout
    comes before the end.
    """
    try:
        async with asyncio.timeout(DRAIN_TIMEOUT_SECONDS):
            extra = await response.content.read(1)
    except (aiohttp.ClientError, TimeoutError):
        extra = b"?"
    if extra:
        response.close()
        return
    response.release()
