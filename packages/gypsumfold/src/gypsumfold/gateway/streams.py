"""Passes a replica's stream on to the caller, across replicas if need be."""

from typing import Protocol

from gypsumfold import exceptions
from gypsumfold.gateway import plain_calls
from gypsumfold.gateway import progress as progress_module
from gypsumfold.gateway import replies
from gypsumfold.gateway import types

# What ends an event, by the event-stream format.
EVENT_TERMINATORS = (b"\n\n", b"\r\n\r\n")
# Bytes of one event that are kept while its end has not come.
MAX_EVENT_BYTES = 1024 * 1024


class Listener(Protocol):
    """Takes note of what comes from a replica."""

    def bytes_received(self) -> None:
        """Bytes came."""

    def output_forwarded(self) -> None:
        """Output of the run went to the caller."""


class Stream:
    """One answer to the caller, made of one or more replicas' streams.

    Where the stream may go on elsewhere only whole events are passed on,
    since a replica may stop in the middle of one.

    Attributes:
        last_event: The id of the last event that the caller has whole.

    >>> stream = Stream(reply, resumable=True)
    >>> await stream.pass_on(answer, progress)
    """

    def __init__(self, reply: replies.Reply, resumable: bool):
        self.reply = reply
        self.resumable = resumable
        self.last_event = ""
        self.pending = b""

    async def forward(
        self,
        answer: types.Answer,
        progress: progress_module.Progress,
        listener: Listener,
    ) -> None:
        """Passes one replica's answer on to its end.

        Args:
            answer: The answer.
            progress: Of the request.
            listener: Is told of each piece.

        Raises:
            exceptions.AnswerBroken: It broke off or is no proper answer.
        """
        if answer.status >= 300:
            await self.forward_failure(answer, progress)
            return
        plain_calls.check_answer(answer)
        self.pending = b""
        listener.bytes_received()
        async for data in answer.chunks():
            listener.bytes_received()
            if await self.write(data, answer, progress):
                listener.output_forwarded()
        if self.pending:
            await self.reply.write(self.pending)
        if not progress.answer_started:
            await self.start_answer(answer, progress)
        await self.reply.end()

    async def forward_failure(
        self, answer: types.Answer, progress: progress_module.Progress
    ) -> None:
        """Passes a replica's failure on, unless an answer has begun."""
        body = await answer.read()
        plain_calls.check_answer(answer)
        if progress.answer_started:
            raise exceptions.AnswerBroken(
                f"the engine that was to go on answered {answer.status}"
            )
        await self.reply.send(answer.status, answer.reason, answer.fields, body)

    async def start_answer(
        self, answer: types.Answer, progress: progress_module.Progress
    ) -> None:
        """Sends the head of the first replica's answer."""
        progress.answer_started = True
        length = None if self.resumable else answer.length
        await self.reply.start(
            answer.status, answer.reason, answer.fields, length
        )

    async def write(
        self,
        data: bytes,
        answer: types.Answer,
        progress: progress_module.Progress,
    ) -> bool:
        """Passes bytes on; whole events only where that matters.

        Returns:
            Whether there was anything to pass on.
        """
        if self.resumable:
            data = self.take_complete_events(data)
        if not data:
            return False
        if not progress.answer_started:
            await self.start_answer(answer, progress)
        await self.reply.write(data)
        return True

    def take_complete_events(self, data: bytes) -> bytes:
        """Returns the events that are whole by now and keeps the rest.

        Raises:
            exceptions.AnswerBroken: An event has no end.
        """
        self.pending += data
        end = 0
        for mark in EVENT_TERMINATORS:
            found = self.pending.rfind(mark)
            if found >= 0:
                end = max(end, found + len(mark))
        if len(self.pending) - end > MAX_EVENT_BYTES:
            raise exceptions.AnswerBroken("an event without an end")
        whole = self.pending[:end]
        self.pending = self.pending[end:]
        for line in whole.splitlines():
            if line.startswith(b"id:"):
                self.last_event = line[3:].strip().decode("latin-1")
        return whole
