"""Connections of callers that count what is held for them."""

import asyncio
import select
import socket
import time

from aiohttp import web
from aiohttp import web_protocol

from gypsumfold.decisions import intake
from gypsumfold.gateway import connections
from gypsumfold.gateway import intake as intake_module

# Bytes of an answer that the kernel takes for a client that doesn't read; by
# itself it would take megabytes.
SEND_BUFFER_BYTES = 128 * 1024


class CountedConnection(web_protocol.RequestHandler):
    """A connection whose bytes count in the process's intake.

    Attributes:
        state: What the connection is doing.
        since: When that began.
        held: Bytes that are held for it.
        counted: Whether the connection and its bytes count.
        requests: Requests that were read whole.
        wire: The transport, also once the library has closed it.
        client: Address from which it was opened.
        unparsed: Received bytes that are not parsed yet.
        unsent: Bytes of answers that the client hasn't taken, as counted last.
        stalled_since: Since when the client has taken nothing of an answer;
            None if it takes it.
        closing: Whether the connection ends after the answer in progress, and
            what is received is dropped.
    """

    def __init__(
        self, server: web.Server, room: intake_module.Intake, **options
    ):
        super().__init__(server, **options)
        self.intake = room
        self.state = intake.State.IDLE
        self.since = time.monotonic()
        self.held = intake.CONNECTION_BYTES
        self.counted = False
        self.requests = 0
        self.wire: asyncio.Transport | None = None
        self.client = ""
        self.unparsed = bytearray()
        self.unsent = 0
        self.stalled_since: float | None = None
        self.closing = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the connection in, if there is room for it."""
        super().connection_made(transport)
        self.wire = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES
            )
        peer = transport.get_extra_info("peername")
        self.client = peer[0] if peer else ""
        self.counted = self.intake.admit(self)
        if not self.counted:
            self.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Gives back what the connection held."""
        self.leave()
        super().connection_lost(exc)

    def abort(self) -> None:
        """Closes the connection at once."""
        self.leave()
        self.wire.abort()

    def leave(self) -> None:
        """Stops counting a connection that is closed or about to be."""
        self.closing = True
        self.unparsed.clear()
        if self.counted:
            self.counted = False
            self.intake.remove(self, self.held)

    def enter(self, state: intake.State) -> None:
        """Begins a state."""
        self.state = state
        self.since = time.monotonic()

    def load(self, now: float) -> intake.Load:
        """Returns what the connection holds."""
        state = self.state
        since = self.since
        if state is intake.State.SERVING and self.is_stalled(now):
            state = intake.State.ANSWERING
            since = self.stalled_since
        return intake.Load(
            state, self.held, len(self.unparsed), since, self.requests
        )

    def is_stalled(self, now: float) -> bool:
        """Whether the client has taken nothing of its answer for a while."""
        if self.stalled_since is None:
            return False
        return now - self.stalled_since > intake.STALL_SECONDS

    def hold(self, size: int) -> None:
        """Counts further bytes."""
        if not self.counted:
            return
        self.held += size
        self.intake.add(self, size)

    def release_down_to(self, size: int) -> None:
        """Gives back all bytes but some, and but those of the connection."""
        surplus = self.held - intake.CONNECTION_BYTES - size
        if not self.counted or surplus <= 0:
            return
        self.held -= surplus
        self.intake.release(surplus)

    def recount(self) -> None:
        """Counts anew what the client hasn't taken of its answers."""
        if not self.counted:
            return
        unsent = self.wire.get_write_buffer_size()
        if self.writing_paused:
            # What is read from a replica before that is paused.
            unsent += connections.STREAM_BYTES
        grown = unsent - self.unsent
        if grown or not self.writing_paused:
            self.stalled_since = None
        elif self.stalled_since is None:
            self.stalled_since = time.monotonic()
        self.unsent = unsent
        if grown > 0:
            self.hold(grown)
            return
        self.release_down_to(self.held - intake.CONNECTION_BYTES + grown)

    def has_unread(self) -> bool:
        """Whether received bytes wait in the socket or to be parsed."""
        if self.unparsed and not self.closing:
            return True
        if self.state is intake.State.DRAINING or self.wire.is_closing():
            return False
        poll = select.poll()
        poll.register(
            self.wire.get_extra_info("socket").fileno(), select.POLLIN
        )
        return bool(poll.poll(0))
