"""HTTP/1.1 connections to replicas that track what was sent on them.

An HTTP client library hides what a node has to know: whether any byte of a
request can have reached the replica, whether bytes arrived while no request was
waiting, and whether a body ended with a clean close or a reset. So this module
uses `h11`, which leaves the socket to its user.
"""

import asyncio
import itertools
import os
import re
import socket
import time

import h11

from gypsumfold import exceptions
from gypsumfold.decisions import answer_identity
from gypsumfold.gateway import call_expiry
from gypsumfold.gateway import grants
from gypsumfold.gateway import replica_sockets
from gypsumfold.gateway import types

# Largest head of an answer.
MAX_HEAD_BYTES = 65536
# Idle time after which a connection is not reused if the replica states no
# timeout itself.
IDLE_TIMEOUT_SECONDS = 10.0
# A connection counts as closed this long before the replica's own timeout: a
# request sent while the replica closes the connection may not be retried.
IDLE_MARGIN_SECONDS = 0.6
# Bytes of a body that its reader has not used up, beyond which reading from the
# socket is paused.
MAX_UNREAD_BYTES = 64 * 1024
# Bytes that are held of a stream whose caller takes none: unread ones, those of
# one more read, and those that are being sent.
STREAM_BYTES = MAX_UNREAD_BYTES + 2 * replica_sockets.RECEIVE_BUFFER_BYTES
# Seconds between two checks whether a request has been received after its
# answer's connection was closed in order.
UPLOAD_CHECK_SECONDS = 0.01
# Largest number of informational heads before an answer.
MAX_INFORMATIONAL_HEADS = 16
# Matches the timeout in seconds in a replica's Keep-Alive header.
KEEP_ALIVE_PATTERN = re.compile(rb"timeout\s*=\s*(\d+)")
NUMBERS = itertools.count(1)


class Connection(asyncio.Protocol):
    """One connection, used by one request at a time.

    Attributes:
        number: Number of this connection among all of the process.
        unread_bytes: Received bytes that haven't been used up.
        in_use: Bytes of the last event, which its reader holds.
        sent: The requests sent on it so far.
        expiry: Ends a call under the authority; None for any other request.

    >>> connection = await pool.acquire(address, instance)
    >>> connection.request(method, target, fields, body)
    """

    def __init__(self):
        self.number = next(NUMBERS)
        self.sent = answer_identity.SentRequests()
        self.parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self.transport: asyncio.Transport | None = None
        self.waiter: asyncio.Future | None = None
        self.idle = True
        self.usable = True
        self.lost = False
        self.error: Exception | None = None
        self.idle_since = 0.0
        self.idle_timeout = IDLE_TIMEOUT_SECONDS
        self.last_received = 0.0
        self.unread_bytes = 0
        self.in_use = 0
        self.informational_heads = 0
        self.expiry: call_expiry.CallExpiry | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Stores the transport and sets the socket's options."""
        self.transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            replica_sockets.configure(sock)

    def data_received(self, data: bytes) -> None:
        """Feeds the parser; aborts if bytes arrive while no request waits."""
        self.last_received = time.monotonic()
        if self.idle:
            self.abort()
            return
        self.feed(data)

    def eof_received(self) -> bool:
        """Handles a clean close by the replica."""
        self.usable = False
        if self.idle:
            return False
        if self.has_unsent():
            # The connection may still be reset, and an answer that has no
            # other end has been broken off then.
            self.check_upload()
            return True
        self.feed(b"")
        return False

    def has_unsent(self) -> bool:
        """Whether the other side may not have received the whole request."""
        if self.transport.get_write_buffer_size():
            return True
        sock = self.transport.get_extra_info("socket")
        return (
            sock is not None and replica_sockets.unacknowledged_bytes(sock) > 0
        )

    def check_upload(self) -> None:
        """Ends the answer once its request has been received or has failed."""
        if self.lost or self.transport.is_closing():
            return
        sock = self.transport.get_extra_info("socket")
        code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self.error = OSError(code, os.strerror(code))
            self.abort()
            return
        if self.has_unsent():
            loop = asyncio.get_running_loop()
            loop.call_later(UPLOAD_CHECK_SECONDS, self.check_upload)
            return
        self.feed(b"")
        self.transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        """Handles the loss of the connection."""
        self.usable = False
        self.lost = True
        self.error = error or self.error
        if self.expiry is not None:
            self.expiry.stop()
            self.error = error or self.expiry.error
        self.wake_reader()

    def feed(self, data: bytes) -> None:
        """Passes bytes to the parser; `next_event` raises its failures."""
        self.unread_bytes += len(data)
        if self.unread_bytes > MAX_UNREAD_BYTES:
            self.transport.pause_reading()
        try:
            self.parser.receive_data(data)
        except h11.RemoteProtocolError as error:
            self.error = error
            self.abort()
        self.wake_reader()

    def wake_reader(self) -> None:
        """Wakes the reader that waits for data."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    def abort(self) -> None:
        """Closes the connection at once; it is not used again.

        With a request in progress the connection is reset: an orderly close
        would let the kernel deliver the request later, once an interrupted
        link is back.
        """
        self.usable = False
        if self.transport is None:
            return
        if not self.idle and not self.transport.is_closing():
            sock = self.transport.get_extra_info("socket")
            if sock is not None:
                replica_sockets.reset_on_close(sock)
        self.transport.abort()

    def permit(self, grant: grants.Grant, subject: str) -> None:
        """Has the next request end with a permission; nothing may be awaited.

        Args:
            grant: The permission.
            subject: What the request is about.

        Raises:
            exceptions.AuthorityEnded: It has ended; nothing may be sent.
            exceptions.EndpointNotStarted: The connection was closed.
        """
        if not self.is_open():
            raise exceptions.EndpointNotStarted("the connection was closed")
        expiry = call_expiry.CallExpiry(self.transport, grant)
        expiry.begin(subject)
        self.expiry = expiry

    def is_open(self) -> bool:
        """Whether something may be written."""
        return self.usable and not self.lost and not self.transport.is_closing()

    def request(
        self,
        method: str,
        target: str,
        fields: types.Fields,
        body: bytes,
        identity: answer_identity.Identity = answer_identity.ANONYMOUS,
    ) -> None:
        """Sends a complete request.

        Raises:
            exceptions.EndpointNotStarted: Nothing of it was sent.
        """
        if not self.is_open():
            raise exceptions.EndpointNotStarted("the connection was closed")
        try:
            head = h11.Request(method=method, target=target, headers=fields)
            data = self.parser.send(head)
            if body:
                data += self.parser.send(h11.Data(data=body))
            data += self.parser.send(h11.EndOfMessage()) or b""
        except h11.LocalProtocolError as error:
            self.abort()
            raise exceptions.EndpointNotStarted(str(error)) from error
        self.idle = False
        self.sent.record(identity)
        self.transport.write(data)
        if self.expiry is not None and self.transport.get_write_buffer_size():
            # What the node itself holds is sent at any time, or never.
            self.abort()
            raise exceptions.EndpointNotStarted("the socket's buffer is full")

    async def next_event(self):
        """Waits for the next event of the answer.

        Raises:
            exceptions.AnswerBroken: The connection was lost or the answer is
                not valid.
        """
        self.release_used()
        while True:
            try:
                event = self.parser.next_event()
            except h11.RemoteProtocolError as error:
                self.abort()
                raise exceptions.AnswerBroken(str(error)) from error
            if event is h11.NEED_DATA:
                self.parsed()
                if self.lost:
                    raise exceptions.AnswerBroken(
                        f"the connection ended: {self.error}"
                    )
                await self.wait_for_data()
                continue
            if isinstance(event, h11.InformationalResponse):
                self.count_informational_head()
                continue
            if isinstance(event, h11.Data):
                self.in_use = len(event.data)
            return event

    def count_informational_head(self) -> None:
        """Counts a head that only announces an answer.

        Raises:
            exceptions.AnswerBroken: There are too many.
        """
        self.informational_heads += 1
        if self.informational_heads > MAX_INFORMATIONAL_HEADS:
            self.abort()
            raise exceptions.AnswerBroken("heads come without an answer")

    def release_used(self) -> None:
        """Counts the bytes of the last event as used up.

        Its reader asks for the next event once the caller has taken them.
        """
        self.consumed(self.in_use)
        self.in_use = 0

    def consumed(self, size: int) -> None:
        """Resumes reading once enough bytes have been used up."""
        self.unread_bytes = max(0, self.unread_bytes - size)
        if self.unread_bytes <= MAX_UNREAD_BYTES and not self.lost:
            self.transport.resume_reading()

    def parsed(self) -> None:
        """Resumes reading once the parser has used all that was received.

        Chunk headers and the like count as unread bytes as well, but never as
        consumed ones.
        """
        self.consumed(self.unread_bytes)

    async def wait_for_data(self) -> None:
        """Waits for data or the end of the connection."""
        self.waiter = asyncio.get_running_loop().create_future()
        try:
            await self.waiter
        finally:
            self.waiter = None

    def reset_for_reuse(self) -> bool:
        """Prepares the connection for another request, if it can be reused.

        A connection with bytes beyond the answer is not reused, as they belong
        to no request.
        """
        done = self.parser.their_state is h11.DONE
        if not done or self.parser.our_state is not h11.DONE or self.lost:
            self.abort()
            return False
        has_more = bool(self.parser.trailing_data[0])
        if has_more or not self.usable or not self.sent.may_continue:
            self.abort()
            return False
        if self.expiry is not None and not self.expiry.end():
            self.abort()
            return False
        self.expiry = None
        self.parser.start_next_cycle()
        self.unread_bytes = 0
        self.in_use = 0
        self.informational_heads = 0
        self.idle = True
        self.idle_since = time.monotonic()
        return True

    def is_reusable(self, now: float) -> bool:
        """Whether the connection may be used for another request."""
        return self.is_open() and now - self.idle_since < self.idle_timeout


def parse_idle_timeout(value: bytes) -> float:
    """Returns the idle timeout of a connection from its Keep-Alive header."""
    found = KEEP_ALIVE_PATTERN.search(value)
    if found is None:
        return IDLE_TIMEOUT_SECONDS
    timeout = float(found[1]) - IDLE_MARGIN_SECONDS
    return min(timeout, IDLE_TIMEOUT_SECONDS)
