"""Produces one complete answer, across failures of engines."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import itertools
import time
from typing import NamedTuple

import msgspec

from gypsumfold import dispatching
from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold import outcomes
from gypsumfold.callers import resumption
from gypsumfold.decisions import types
from gypsumfold.endpoints import engines
from gypsumfold.endpoints import fleet as fleet_module
from gypsumfold.endpoints import tokens

# Attempts to resume a broken stream on the same engine. The second uses a new
# connection even if the first used a pooled one.
MAX_RESUMES = 2
# The finish reason of an answer that reached its token limit.
LENGTH_FINISH = "length"
# Seconds after which a caller should retry when engines have failed: about the
# time until all nodes have detected a crashed engine.
RETRY_AFTER = 2.0


class AnswerToken(NamedTuple):
    """One token of an answer, and its source.

    Attributes:
        text: The token.
        index: Its position in the complete answer.
        endpoint: The engine that generated it.
        dispatch: ID of the dispatch on that engine.
    """

    text: str
    index: int
    endpoint: str
    dispatch: str


class EngineAnswer:
    """Obtains the complete answer to one request.

    A broken stream is resumed on the same engine. If that fails and the
    request is repeatable, another engine continues from the prompt and the
    tokens that the caller already has.

    >>> answer = EngineAnswer(dispatcher, fleet, request, messages, new_id)
    >>> async for part in answer.parts():
    ...     print(part.text)
    >>> answer.finish
    Finish(reason='stop', tokens=17)
    """

    def __init__(
        self,
        dispatcher: dispatching.Dispatcher,
        fleet: fleet_module.Fleet,
        request: types.Request,
        messages: list,
        new_id: Callable[[], str],
    ):
        self.dispatcher = dispatcher
        self.fleet = fleet
        self.request = request
        self.messages = messages
        self.new_id = new_id
        self.tokens: list[str] = []
        self.finish: tokens.Finish | None = None
        self.started = False

    async def parts(self) -> AsyncIterator[AnswerToken]:
        """Yields each token of the answer once, in order.

        Raises:
            exceptions.RequestError: The answer cannot be completed.
        """
        request = self.request
        for attempts in itertools.count(1):
            grant = await self.admit(request)
            finish = types.Finish.CANCELLED
            try:
                async with contextlib.aclosing(self.attempt(grant)) as parts:
                    async for part in parts:
                        yield part
                finish = types.Finish.DONE
                return
            except exceptions.EndpointNotStarted:
                finish = types.Finish.NOT_STARTED
                self.fleet.suspend(grant.replica)
            except exceptions.EndpointError as error:
                finish = types.Finish.FAILED
                self.raise_if_not_repeatable(error)
            finally:
                grant.finish(finish)
            if not await self.dispatcher.wait_for_retry(request, attempts):
                break
            avoid = request.avoid | {grant.replica}
            request = request._replace(recovered=True, avoid=avoid)
            events.log(
                events.STREAM_CONTINUED,
                endpoint=grant.replica,
                request=self.request.id,
                tokens=len(self.tokens),
            )
        raise self.make_error("no engine could complete the answer")

    async def resumed(
        self, position: resumption.Position
    ) -> AsyncIterator[AnswerToken]:
        """Yields the tokens after a position from the engine of the stream.

        Args:
            position: Position of the last token that the caller received.

        Raises:
            exceptions.RequestError: The engine no longer has the stream.
        """
        self.started = True
        watched = self.fleet.endpoints.get(position.endpoint)
        if watched is None:
            raise self.make_error(
                "the stream's engine is not declared any more"
            )
        index = position.index + 1
        for _ in range(1 + MAX_RESUMES):
            stream = watched.client.resume(position.dispatch, index)
            try:
                async with contextlib.aclosing(stream) as items:
                    async for item in items:
                        if isinstance(item, tokens.Finish):
                            self.finish = item
                            continue
                        index = item.index + 1
                        yield AnswerToken(
                            item.text,
                            item.index,
                            position.endpoint,
                            position.dispatch,
                        )
                return
            except exceptions.StreamBroken:
                continue
            except exceptions.EndpointError as error:
                raise self.make_error(str(error)) from error
        raise self.make_error("the stream could not be resumed")

    async def admit(self, request: types.Request) -> dispatching.Grant:
        """Waits for an engine; a started request never fails as not-run."""
        try:
            return await self.dispatcher.admit(request)
        except exceptions.Refused as error:
            if not self.started:
                raise
            raise self.make_error(error.detail, error.retry_after) from error

    async def attempt(
        self, grant: dispatching.Grant
    ) -> AsyncIterator[AnswerToken]:
        """Yields the tokens of one engine and resumes a broken stream on it."""
        watched = self.fleet.endpoints.get(grant.replica)
        if watched is None:
            raise exceptions.EndpointNotStarted("the endpoint was dropped")
        client = watched.client
        dispatch = self.make_dispatch()
        before = self.started
        self.started = True
        try:
            async for part in self.prefill(grant, dispatch):
                yield part
            if self.finish is not None:
                return
            first = client.start(dispatch)
            async for part in self.collect(first, grant, dispatch):
                yield part
        except exceptions.EndpointNotStarted:
            self.started = before
            raise
        except exceptions.StreamBroken:
            async for part in self.resume(client, grant, dispatch):
                yield part
        finally:
            if self.started and self.finish is None:
                cancel_in_background(client, dispatch.id)

    async def prefill(
        self, grant: dispatching.Grant, dispatch: engines.Dispatch
    ) -> AsyncIterator[AnswerToken]:
        """Runs the prefill on a separate engine, if one is granted.

        That engine generates one token; the KV cache is then transferred to
        the decode engine. If the prefill fails, the decode engine does all
        the work, so a request that may not be repeated is not started here.
        """
        watched = self.fleet.endpoints.get(grant.prefill)
        if watched is None or self.tokens or not self.request.repeatable:
            return
        short = msgspec.structs.replace(dispatch, max_tokens=1)
        try:
            async for part in self.collect(
                watched.client.start(short), grant, short
            ):
                yield part
        except exceptions.EndpointError:
            self.finish = None
            dispatch.prior = list(self.tokens)
            return
        if (
            self.finish.reason == LENGTH_FINISH
            and self.request.output_tokens > 1
        ):
            self.finish = None
        dispatch.prior = list(self.tokens)
        dispatch.prefill_from = watched.declared.address

    async def resume(
        self,
        client: engines.EngineClient,
        grant: dispatching.Grant,
        dispatch: engines.Dispatch,
    ) -> AsyncIterator[AnswerToken]:
        """Resumes a broken stream on the same engine.

        The engine is first probed on a new connection, since one silent
        connection does not show whether the engine works. If the engine is
        busy with other requests, this waits: to cancel and send the work
        elsewhere would only add load.
        """
        report = await client.probe()
        left = MAX_RESUMES
        while True:
            since = time.monotonic()
            stream = client.resume(dispatch.id, len(self.tokens))
            try:
                async for part in self.collect(stream, grant, dispatch):
                    yield part
                return
            except exceptions.EndpointNotStarted as error:
                raise exceptions.EndpointFailed(str(error)) from error
            except exceptions.StreamSilent:
                before, report = report, await client.probe()
                if client.last_received > since or report.has_changed_since(
                    before
                ):
                    continue
                left -= 1
                if not left:
                    raise
            except exceptions.StreamBroken:
                left -= 1
                if not left:
                    raise

    def make_dispatch(self) -> engines.Dispatch:
        """Makes a new dispatch for the rest of the answer."""
        return engines.Dispatch(
            self.new_id(),
            self.request.model,
            self.messages,
            list(self.tokens),
            self.request.output_tokens,
            self.request.urgency,
        )

    async def collect(
        self,
        stream: AsyncIterator[tokens.StreamItem],
        grant: dispatching.Grant,
        dispatch: engines.Dispatch,
    ) -> AsyncIterator[AnswerToken]:
        """Records and yields the tokens of one stream; records its finish."""
        async with contextlib.aclosing(stream) as items:
            async for item in items:
                if isinstance(item, tokens.Finish):
                    self.finish = item
                    continue
                grant.count_token()
                self.tokens.append(item.text)
                yield AnswerToken(
                    item.text, item.index, grant.replica, dispatch.id
                )

    def raise_if_not_repeatable(self, error: exceptions.EndpointError) -> None:
        """Raises if the request may not be sent to a second engine.

        Raises:
            exceptions.RequestError: The request is not repeatable.
        """
        self.started = True
        if self.request.repeatable:
            return
        if isinstance(error, exceptions.EndpointFailed):
            raise self.make_error(str(error)) from error
        raise exceptions.AnswerUndetermined(
            "the engine failed in the middle of the answer",
            outcomes.Outcome.UNDETERMINED,
        ) from error

    def make_error(
        self, detail: str, retry_after: float | None = RETRY_AFTER
    ) -> exceptions.RequestError:
        """Returns the error of a request that no engine completed."""
        if not self.started:
            return exceptions.Unavailable(
                detail, outcomes.Outcome.NOT_RUN, retry_after
            )
        return exceptions.AnswerFailed(
            detail, outcomes.Outcome.FAILED_AFTER_START, retry_after
        )


# References to cancellations in progress: the event loop keeps only weak ones.
_cancellations: set[asyncio.Task] = set()


def cancel_in_background(
    client: engines.EngineClient, dispatch_id: str
) -> None:
    """Cancels a dispatch without waiting for it."""
    task = asyncio.create_task(client.cancel(dispatch_id))
    _cancellations.add(task)
    task.add_done_callback(_cancellations.discard)
