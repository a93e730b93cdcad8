"""The client of a model engine: load, streams of tokens, cancellation."""

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

# Statuses with which an engine says that it has not started the dispatch.
NOT_STARTED_STATUSES = (404, 429, 503)

# Seconds that an engine may take to close a body after its end marker.
DRAIN_TIMEOUT_SECONDS = 0.5


class Dispatch(msgspec.Struct):
    """What is sent to an engine to have one answer generated.

    Attributes:
        id: Fresh for each dispatch.
        model: Model, adapter and version.
        messages: As the caller sent them.
        prior: Tokens that the caller already has.
        max_tokens: Most tokens of the whole answer, prior ones included.
        priority: The urgency; 0 is the most urgent.
        prefill_from: Address of the engine that has processed the prompt
            under the same id; empty where there is none.
    """

    id: str
    model: str
    messages: list
    prior: list[str]
    max_tokens: int
    priority: int
    prefill_from: str = ""


class Load(msgspec.Struct):
    """An engine's load report; it lags, and ``taken`` says by how much."""

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
        """Whether the engine has done something since an earlier report."""
        figures = (self.running, self.waiting, self.prefill_tokens)
        before = (earlier.running, earlier.waiting, earlier.prefill_tokens)
        return (*figures, self.kv_used, self.cache_sequence) != (
            *before,
            earlier.kv_used,
            earlier.cache_sequence,
        )


class EngineClient:
    """Talks to one engine.

    Attributes:
        heard: Monotonic time at which any stream last gave something.

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
        """Asks for the load report.

        Raises:
            exceptions.EndpointError: It does not answer, or not so.
        """
        return await self.fetch_load(self.sessions.pooled)

    async def probe(self) -> Load:
        """Asks for the load report on a fresh connection.

        Raises:
            exceptions.EndpointFailed: The engine itself does not answer.
        """
        try:
            return await self.fetch_load(self.sessions.unpooled)
        except exceptions.EndpointError as error:
            raise exceptions.EndpointFailed(str(error)) from error

    async def fetch_load(self, session: aiohttp.ClientSession) -> Load:
        """Asks for the load report; see `load`."""
        limit = self.settings.connect_timeout
        url = f"{self.base_url}/load"
        return await connections.fetch_report(session, url, Load, limit)

    async def start(
        self, dispatch: Dispatch
    ) -> AsyncIterator[tokens.StreamItem]:
        """Starts a dispatch and yields its tokens, then its finish.

        Args:
            dispatch: With a fresh id.

        Raises:
            exceptions.EndpointNotStarted: It cannot have started.
            exceptions.StreamBroken: The stream ended or went wrong.
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
        """Goes on with a stream that was started before.

        Args:
            dispatch_id: Of the dispatch.
            index: The first token wanted.

        Raises:
            exceptions.EndpointNotStarted: The engine does not know it.
            exceptions.StreamBroken: The stream ended or went wrong.
        """
        request = self.sessions.unpooled.get(
            f"{self.base_url}/dispatches/{dispatch_id}",
            params={"from": str(index)},
        )
        async for item in self.read_stream(request, dispatch_id, index):
            yield item

    async def cancel(self, dispatch_id: str) -> None:
        """Cancels a dispatch; a failure to do so is not reported."""
        limit = aiohttp.ClientTimeout(total=self.settings.connect_timeout)
        url = f"{self.base_url}/dispatches/{dispatch_id}"
        try:
            async with self.sessions.pooled.delete(
                url, timeout=limit
            ) as answer:
                await answer.read()
        except (aiohttp.ClientError, TimeoutError):
            return

    async def read_stream(
        self, request, dispatch_id: str, index: int
    ) -> AsyncIterator[tokens.StreamItem]:
        """Reads one stream, checking each event; see `start`."""
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
            check = tokens.StreamValidator(dispatch_id, index)
            async for event in self.read_events(response):
                item = check.validate(event)
                if item is None:
                    break
                yield item
            check.check_complete()
            is_complete = True
        finally:
            # Only a connection whose stream ended as it should is pooled:
            # on any other, bytes of this answer may still be on their way.
            if is_complete:
                await _drain(response)
            else:
                response.close()

    async def read_events(
        self, response: aiohttp.ClientResponse
    ) -> AsyncIterator[sse.ServerEvent]:
        """Yields the events of a response, within the idle timeout."""
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
    """Reads to the end of a response that is whole, so it can be pooled."""
    try:
        async with asyncio.timeout(DRAIN_TIMEOUT_SECONDS):
            extra = await response.content.read(1)
    except (aiohttp.ClientError, TimeoutError):
        extra = b"?"
    if extra:
        response.close()
        return
    response.release()
