"""Decoding and validation of the events of one token stream."""

from typing import NamedTuple

import msgspec

from gypsumfold import exceptions
from gypsumfold.endpoints import sse

# Data of the last event of a stream, as in the chat completions API.
DONE = "[DONE]"


class Token(NamedTuple):
    """One token of an answer and its index, counted from 0."""

    index: int
    text: str


class Finish(NamedTuple):
    """The end of an answer; ``tokens`` is checked against those received."""

    reason: str
    tokens: int


# A stream yields its tokens in order, then its finish.
StreamItem = Token | Finish


class _WireEvent(msgspec.Struct):
    id: str
    index: int = -1
    token: str | None = None
    finish_reason: str | None = None
    tokens: int = -1


class StreamValidator:
    """Checks that the events of a stream are complete and in order."""

    def __init__(self, dispatch_id: str, index: int):
        self.dispatch_id = dispatch_id
        self.next_index = index
        self.finished = False
        self.done = False

    def validate(self, event: sse.ServerEvent) -> StreamItem | None:
        """Decodes and checks the next event.

        Returns:
            The token or the finish, or None for the end marker.

        Raises:
            exceptions.StreamBroken: The event is invalid, out of order or of
                another dispatch.
        """
        if event.data == DONE:
            self.done = True
            return None
        try:
            wire = msgspec.json.decode(event.data, type=_WireEvent)
        except msgspec.DecodeError as error:
            raise exceptions.StreamBroken(str(error)) from error
        if wire.id != self.dispatch_id:
            raise exceptions.StreamBroken("an event of another dispatch")
        if self.finished:
            raise exceptions.StreamBroken("an event after the finish")
        if wire.finish_reason is not None:
            if wire.tokens != self.next_index:
                raise exceptions.StreamBroken("the token count differs")
            self.finished = True
            return Finish(wire.finish_reason, wire.tokens)
        if wire.index != self.next_index or wire.token is None:
            raise exceptions.StreamBroken("an event out of order")
        self.next_index += 1
        return Token(wire.index, wire.token)

    def check_complete(self) -> None:
        """Checks that both the finish and the end marker were received.

        Raises:
            exceptions.StreamBroken: One of them is missing.
        """
        if not self.finished or not self.done:
            raise exceptions.StreamBroken("the stream is truncated")
