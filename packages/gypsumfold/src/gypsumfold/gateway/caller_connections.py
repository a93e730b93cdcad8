"""Connections of callers: what is received on them is bounded and counted."""

import asyncio
import time

from aiohttp import http
from aiohttp import http_exceptions
from aiohttp import streams
from aiohttp import web

from gypsumfold import exceptions
from gypsumfold import outcomes
from gypsumfold.callers import problems
from gypsumfold.decisions import intake
from gypsumfold.gateway import counted_connections
from gypsumfold.gateway import intake as intake_module
from gypsumfold.gateway import refusals
from gypsumfold.gateway import turns

# Bytes that are parsed as they are received; more are parsed in slices, in
# rotation with other connections.
DIRECT_BYTES = 4096
# Bytes that are received behind a request in progress before the socket isn't
# read any more; they are parsed once it is answered.
AHEAD_BYTES = 16384
# Bytes of a request line, which the operators' limit for a head may not count.
REQUEST_LINE_BYTES = 8192
# Body bytes at which the HTTP library stops reading from the socket.
READ_BUFFER_BYTES = 65536


class Connection(counted_connections.CountedConnection):
    """One connection of a caller, a balancer or another node.

    Received bytes count at once. They are parsed in slices, and those behind a
    request in progress wait until it has been answered.

    Attributes:
        head_bytes: Bytes of a head that is not complete.
        head_lines: Lines of such a head.
        fields_held: Bytes held for parsed header fields.
        last_payload: Body of the request that was parsed last.
        reading: Ends the read of a body that has to give way.
        dropped: Bytes received since the final answer.
        refusal: Answer to a head that came behind a request in progress.
        received: Bytes received in all.
        parsed: Those of them that were parsed.
        cutoff: Bytes received when the node took in its last request; None
            before that.
        gave_way_for: Why the body that is being read isn't wanted any more.
    """

    def __init__(
        self, server: web.Server, room: intake_module.Intake, **options
    ):
        super().__init__(server, room, **options)
        self.head_bytes = 0
        self.head_lines = 0
        self.fields_held = 0
        self.last_payload: streams.StreamReader | None = None
        self.reading: asyncio.Timeout | None = None
        self.dropped = 0
        self.refusal: exceptions.RequestError | None = None
        self.received = 0
        self.parsed = 0
        self.cutoff: int | None = None
        self.gave_way_for = intake.Reason.NO_MEMORY

    def data_received(self, data: bytes) -> None:
        """Counts what was received, and parses it now or in its turn."""
        if not data:
            # The library goes on with what it has kept.
            self.parse(data)
            return
        self.received += len(data)
        if self.closing or self.state is intake.State.DRAINING:
            self.drop(len(data))
        else:
            self.hold(len(data))
        if self.closing:
            return
        self.unparsed += data
        if self.is_serving() and len(self.unparsed) <= AHEAD_BYTES:
            # The socket is read on, so that a close is noticed.
            return
        if len(self.unparsed) <= DIRECT_BYTES and self.may_parse():
            if self.parse_slice():
                self.intake.turns.add(self)
            return
        self._pause_transport_reading()
        self.intake.turns.add(self)

    def drop(self, size: int) -> None:
        """Counts bytes that are received after the final answer."""
        self.dropped += size
        if self.dropped < self.intake.limits.body_bytes + READ_BUFFER_BYTES:
            return
        if self.is_serving():
            self._pause_transport_reading()
            return
        self.abort()

    def may_parse(self) -> bool:
        """Whether the library takes more at the moment."""
        if self._reading_paused or self._buffer_paused or self.closing:
            return False
        return not self.is_serving()

    def is_serving(self) -> bool:
        """Whether a request that was read whole has no answer yet."""
        return self.state in (intake.State.SERVING, intake.State.ANSWERING)

    def parse_slice(self) -> bool:
        """Parses a slice; returns whether another one may follow now."""
        if self.transport is None or not self.may_parse():
            return False
        size = turns.SLICE_BYTES
        if self.cutoff is not None and self.parsed < self.cutoff:
            # No request before the cutoff is parsed with one behind it.
            size = min(size, self.cutoff - self.parsed)
        data = bytes(self.unparsed[:size])
        del self.unparsed[:size]
        self.parse(data)
        if self.unparsed:
            return True
        if not self._reading_paused and not self._buffer_paused:
            super()._resume_transport_reading()
        return False

    def parse(self, data: bytes) -> None:
        """Parses bytes, and follows which part of a request they were."""
        self.parsed += len(data)
        payload = self.last_payload
        had_body = payload is not None and not payload.is_eof()
        count = self._request_count
        super().data_received(data)
        if self._request_count > count:
            self.follow_requests()
            return
        if had_body or not data:
            return
        if self.state is intake.State.IDLE:
            self.enter(intake.State.HEAD)
        self.head_bytes += len(data)
        self.head_lines += data.count(b"\n")
        self.hold_fields(self.head_lines)
        if self.closing:
            return
        most = self.intake.limits.header_bytes + REQUEST_LINE_BYTES
        if self.head_bytes > most:
            self.intake.count(intake.Reason.HEAD_TOO_LARGE, self)
            self.refuse(intake.Reason.HEAD_TOO_LARGE)

    def follow_requests(self) -> None:
        """Follows requests whose heads have been parsed just now."""
        self.head_bytes = 0
        self.head_lines = 0
        if not self._messages:
            return
        self.last_payload = self._messages[-1][1]
        if not self.is_serving() and self.state is not intake.State.BODY:
            is_read = self._messages[0][1].is_eof()
            self.enter(intake.State.SERVING if is_read else intake.State.BODY)
        self.hold_fields(self.count_fields())

    def count_fields(self) -> int:
        """Fields of the requests that are parsed and not begun."""
        count = 0
        for message, _ in self._messages:
            # Others stand for bytes that are no request.
            if isinstance(message, http.RawRequestMessage):
                count += len(message.raw_headers)
        return count

    def hold_fields(self, count: int) -> None:
        """Counts the memory of parsed header fields."""
        grown = intake.fields_bytes(count) - self.fields_held
        if grown > 0:
            self.fields_held += grown
            self.hold(grown)

    def _resume_transport_reading(self) -> None:
        # Called by the library once it takes more.
        if self.unparsed:
            self.intake.turns.add(self)
            return
        super()._resume_transport_reading()

    def begin(self, has_body: bool) -> None:
        """A request's head was read."""
        self.enter(intake.State.BODY if has_body else intake.State.SERVING)

    def read_whole(self, size: int) -> None:
        """A request's body was read.

        Args:
            size: Bytes of the body.
        """
        self.enter(intake.State.SERVING)
        if size > intake.SMALL_BYTES:
            self.hold(size * (intake.WHOLE_COPIES - 1))

    def begin_answer(self, size: int) -> None:
        """A whole answer is being sent to a client that has to take it."""
        self.enter(intake.State.ANSWERING)
        self.hold(size)

    def end(self, is_read: bool) -> None:
        """A request was answered.

        Args:
            is_read: Whether it was read whole.
        """
        self.requests += is_read
        waiting = len(self.unparsed)
        if self._messages:
            waiting += 2 * READ_BUFFER_BYTES
        self.fields_held = intake.fields_bytes(self.count_fields())
        waiting += self.fields_held
        self.release_down_to(waiting + self.unsent)
        self.recount()
        if not is_read:
            self.enter(intake.State.DRAINING)
        elif self._messages:
            # The next request has been parsed and begins at once.
            self.enter(intake.State.SERVING)
        elif self.head_bytes:
            self.enter(intake.State.HEAD)
        else:
            self.enter(intake.State.IDLE)
        if self.refusal is not None:
            self.write_refusal(self.refusal)
        elif self.unparsed:
            self.intake.turns.add(self)

    def give_way(self, reason: intake.Reason) -> None:
        """Refuses the request or closes the connection, and frees its bytes."""
        state = self.load(time.monotonic()).state
        if state is intake.State.SERVING:
            # The request in progress is answered; what came behind it goes.
            self.release_down_to(
                self.held - intake.CONNECTION_BYTES - len(self.unparsed)
            )
            self.stop_parsing()
            return
        if reason is intake.Reason.NO_DESCRIPTORS:
            self.abort()
            return
        if state is intake.State.BODY and self.reading is not None:
            self.gave_way_for = reason
            self.release_down_to(0)
            self.enter(intake.State.DRAINING)
            self.stop_parsing()
            self.reading.reschedule(0)
            return
        if state is intake.State.HEAD:
            self.refuse(reason)
            if reason is intake.Reason.NO_MEMORY:
                # The library keeps what it has parsed until the connection is
                # closed.
                self.leave()
                self.wire.close()
            return
        self.abort()

    def end_intake(self) -> None:
        """Takes in no further request, as the node stops.

        An idle connection is closed, and a request that isn't whole refused.
        What was received is answered in its turn; `is_late` tells which of it
        came too late to be served.
        """
        if self.cutoff is None:
            self.cutoff = self.received
        if self.closing or self.has_more():
            return
        if self.state is intake.State.IDLE:
            self.force_close()
        elif self.state is intake.State.HEAD:
            self.intake.count(intake.Reason.STOPPING, self)
            self.refuse(intake.Reason.STOPPING)
        elif self.state is intake.State.BODY and self.reading is not None:
            self.intake.count(intake.Reason.STOPPING, self)
            self.give_way(intake.Reason.STOPPING)

    def has_more(self) -> bool:
        """Whether anything was received behind the present request."""
        if self.unparsed or self._messages:
            return True
        return self.state is not intake.State.BODY and self.has_unread()

    def is_late(self) -> bool:
        """Whether the present request came after the node's last one."""
        return self.cutoff is not None and self.parsed > self.cutoff

    def stop_parsing(self) -> None:
        """Drops what is received from now on; the connection will end."""
        self.closing = True
        self.unparsed.clear()
        super()._resume_transport_reading()

    def refuse(self, reason: intake.Reason) -> None:
        """Answers a head that isn't read, after the request in progress."""
        self.stop_parsing()
        error = refusals.intake_refusal(reason)
        if self.is_serving():
            self.refusal = error
            return
        self.write_refusal(error)

    def write_refusal(self, error: exceptions.RequestError) -> None:
        """Writes an answer to a head that was not parsed; closes in order."""
        self.refusal = None
        self.enter(intake.State.DRAINING)
        if self.wire.is_closing():
            return
        self.wire.write(refusals.encode(error))
        # The client may still be sending: a close would reset its connection
        # before it has read the answer.
        self.wire.write_eof()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answers what can't be parsed: nothing has run."""
        if status >= 500 or request.writer.output_size > 0:
            return super().handle_error(request, status, exc, message)
        error = exceptions.RequestInvalid(
            "the request can't be read", outcomes.Outcome.NOT_RUN
        )
        if isinstance(exc, http_exceptions.LineTooLong):
            error = refusals.intake_refusal(intake.Reason.HEAD_TOO_LARGE)
        response = problems.response(error)
        response.force_close()
        return response
