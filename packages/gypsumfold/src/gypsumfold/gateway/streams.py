"""Forwards a stream to the caller, from several replicas if it is resumed."""

from typing import Protocol

from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold.decisions import event_boundaries
from gypsumfold.gateway import plain_calls
from gypsumfold.gateway import progress as progress_module
from gypsumfold.gateway import replies
from gypsumfold.gateway import run_results
from gypsumfold.gateway import types

EVENT_STREAM = b"text/event-stream"
# Maximum size of an incomplete event.
MAX_EVENT_BYTES = 1024 * 1024


class Listener(Protocol):
    """Is notified of data that a replica sends."""

    def bytes_received(self) -> None:
        """Bytes were received from the replica."""

    def output_received(self) -> None:
        """Output of the run is about to be sent to the caller."""

    def output_forwarded(self) -> None:
        """Output of the run was sent to the caller."""


class Stream:
    """One answer to the caller, made of the streams of one or more replicas.

    For a resumable stream only complete events are forwarded, since a replica
    may stop in the middle of one.

    Attributes:
        last_event: Id of the last event forwarded completely.
        can_resume: Whether another replica would go on behind what was
            forwarded: the last event had an id, or there was none.
        failure: A replica's failure that was not forwarded; None if there is
            none.

    >>> stream = Stream(reply, resumable=True)
    >>> await stream.forward(answer, progress, listener)
    """

    def __init__(self, reply: replies.Reply, resumable: bool):
        self.reply = reply
        self.resumable = resumable
        self.last_event = ""
        self.can_resume = resumable
        self.failure: types.WholeAnswer | None = None
        self.pending = b""
        self.boundaries = event_boundaries.EventBoundaries()

    async def forward(
        self,
        answer: types.Answer,
        progress: progress_module.Progress,
        listener: Listener,
    ) -> None:
        """Forwards one replica's answer to its end.

        Args:
            answer: The answer.
            progress: Progress of the request.
            listener: Notified of each chunk.

        Raises:
            exceptions.AnswerBroken: It ended early or is not valid.
            exceptions.AnswerAbandoned: The same, and no other replica can
                continue it.
            exceptions.EndpointFailed: It says that the replica failed; nothing
                was forwarded.
        """
        try:
            await self.forward_answer(answer, progress, listener)
        except exceptions.AnswerBroken as error:
            if progress.answer_started and not self.can_resume:
                # Another run would send again what the caller has.
                raise exceptions.AnswerAbandoned(str(error)) from error
            raise

    async def forward_answer(
        self,
        answer: types.Answer,
        progress: progress_module.Progress,
        listener: Listener,
    ) -> None:
        """Forwards one replica's answer to its end.

        Raises:
            exceptions.AnswerBroken: It ended early or is not valid.
            exceptions.EndpointFailed: As `forward`.
        """
        if answer.status >= 300:
            await self.forward_error(answer, progress)
            return
        plain_calls.check_answer(answer)
        is_stream = has_events(answer)
        if progress.answer_started and not is_stream:
            raise exceptions.AnswerBroken("no stream of events goes on")
        if plain_calls.is_unframed_json(answer):
            await self.forward_whole(answer, progress, listener)
            return
        self.pending = b""
        self.boundaries = event_boundaries.EventBoundaries()
        listener.bytes_received()
        async for data in answer.chunks():
            listener.bytes_received()
            self.boundaries.feed(data)
            if self.resumable:
                data = self.take_complete_events(data, answer)
            if not data:
                continue
            listener.output_received()
            await self.write(data, answer, progress)
            self.can_resume = self.can_resume and is_stream
            listener.output_forwarded()
        self.check_end(answer, progress)
        if not progress.answer_started:
            await self.start_answer(answer, progress)
        if self.pending:
            await self.reply.write(self.pending)
        await self.reply.end()

    async def forward_whole(
        self,
        answer: types.Answer,
        progress: progress_module.Progress,
        listener: Listener,
    ) -> None:
        """Forwards JSON without framing once it has proved to be whole.

        Its connection is closed in the same way after a crash, so that only
        the content tells whether it was cut.

        Raises:
            exceptions.AnswerBroken: It was.
        """
        listener.bytes_received()
        body = await answer.read()
        plain_calls.check_body(answer, body)
        listener.output_received()
        progress.answer_started = True
        await self.reply.send(answer.status, answer.reason, answer.fields, body)
        listener.output_forwarded()

    def check_end(
        self, answer: types.Answer, progress: progress_module.Progress
    ) -> None:
        """Checks that an answer that has ended was not broken off.

        Raises:
            exceptions.AnswerBroken: It was.
        """
        if not has_events(answer):
            return
        whole = self.boundaries.is_whole()
        if not answer.is_framed:
            whole = whole and self.boundaries.has_events()
            events.log(
                events.ANSWER_UNFRAMED,
                request=progress.call.id,
                events=self.boundaries.events,
                whole=whole,
            )
        if not whole:
            raise exceptions.AnswerBroken("the stream ended inside an event")

    async def forward_error(
        self, answer: types.Answer, progress: progress_module.Progress
    ) -> None:
        """Forwards a replica's error answer, or keeps its failure.

        Raises:
            exceptions.EndpointFailed: The replica failed; another one may
                serve the request.
            exceptions.AnswerBroken: The answer to the caller has started.
        """
        body = await answer.read()
        plain_calls.check_answer(answer)
        plain_calls.check_body(answer, body)
        found = types.WholeAnswer(
            answer.status, answer.reason, answer.fields, body
        )
        if run_results.is_failure(answer.status):
            self.failure = found
            raise exceptions.EndpointFailed(
                f"the engine answered {answer.status}"
            )
        if progress.answer_started:
            raise exceptions.AnswerBroken(
                f"the engine to resume the stream answered {answer.status}"
            )
        await self.reply.send(*found)

    async def start_answer(
        self, answer: types.Answer, progress: progress_module.Progress
    ) -> None:
        """Sends the head of the first replica's answer."""
        progress.answer_started = True
        length = answer.length
        if self.resumable or has_events(answer):
            # A body with its length is complete before its end is checked.
            length = None
        await self.reply.start(
            answer.status, answer.reason, answer.fields, length
        )

    async def write(
        self,
        data: bytes,
        answer: types.Answer,
        progress: progress_module.Progress,
    ) -> None:
        """Forwards bytes, behind the head of the first replica's answer."""
        if not progress.answer_started:
            await self.start_answer(answer, progress)
        await self.reply.write(data)

    def take_complete_events(self, data: bytes, answer: types.Answer) -> bytes:
        """Adds bytes and returns the complete events; the rest stays pending.

        Raises:
            exceptions.AnswerBroken: The incomplete event is too large, by
                itself or together with those of other streams.
        """
        self.pending += data
        answer.hold(self.boundaries.tail, MAX_EVENT_BYTES)
        end = len(self.pending) - self.boundaries.tail
        complete = self.pending[:end]
        self.pending = self.pending[end:]
        self.note_ids(complete)
        return complete

    def note_ids(self, events: bytes) -> None:
        """Notes the last id, and whether all output is before or at it."""
        has_id = False
        has_output = False
        for line in events.splitlines():
            if line.startswith(b"id:"):
                self.last_event = line[3:].strip().decode("latin-1")
                has_id = bool(self.last_event)
            elif line.startswith(b"data"):
                has_output = True
            elif not line:
                if has_id or has_output:
                    self.can_resume = has_id
                has_id = False
                has_output = False


def has_events(answer: types.Answer) -> bool:
    """Whether an answer is an event stream: it doesn't state another type."""
    for name, value in answer.fields:
        if name.lower() == b"content-type":
            return value.partition(b";")[0].strip().lower() == EVENT_STREAM
    return True
