"""HTTP/1.1 connections to replicas that track what was sent on them.

An HTTP client library hides what a node has to know: whether any byte of a
request can have reached the replica, whether bytes arrived while no request was
waiting, and whether a body ended with a clean close or a reset. So this module
uses `h11`, which leaves the socket to its user.
"""

import asyncio
from collections.abc import AsyncIterator
import itertools
import socket
import struct
import time

import h11

from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold.gateway import types

# A VM accepts within a few milliseconds, even if slowed down ten times. Nothing
# has been sent yet, so another replica can be tried before a lost packet would
# be retransmitted (one second).
CONNECT_TIMEOUT_SECONDS = 0.3
# Largest head of an answer.
MAX_HEAD_BYTES = 65536
# Time after which the kernel closes a connection with unacknowledged bytes.
UNACKNOWLEDGED_TIMEOUT_MS = 5000
# Idle time after which a connection is not reused if the replica states no
# timeout itself.
IDLE_TIMEOUT_SECONDS = 10.0
# A connection counts as closed this long before the replica's own timeout: a
# request sent while the replica closes the connection may not be retried.
IDLE_MARGIN_SECONDS = 0.6
# Unread bytes of a body beyond which reading from the socket is paused.
MAX_UNREAD_BYTES = 256 * 1024
# Largest body that is read whole, and bytes of all such bodies together.
MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_HELD_BYTES = 24 * 1024 * 1024
# Bytes and seconds for the rest of an answer that is not needed, so that its
# connection can be used again.
MAX_DRAINED_BYTES = 65536
DRAIN_SECONDS = 0.1
# Largest number of informational heads before an answer.
MAX_INFORMATIONAL_HEADS = 16
# SO_LINGER with a timeout of zero: closing resets the connection and drops what
# the kernel has not sent yet.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Statuses of answers that never have a body.
BODILESS_STATUSES = (204, 304)
NUMBERS = itertools.count(1)


class Connection(asyncio.Protocol):
    """One connection, used by one request at a time.

    Attributes:
        number: Number of this connection among all of the process.
        exchanges: Requests sent on it so far.

    >>> connection = await pool.acquire(address, instance)
    >>> connection.request(method, target, fields, body)
    """

    def __init__(self):
        self.number = next(NUMBERS)
        self.exchanges = 0
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
        self.informational_heads = 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Stores the transport and sets the socket's options."""
        self.transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                UNACKNOWLEDGED_TIMEOUT_MS,
            )

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
        if not self.idle:
            self.feed(b"")
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Handles the loss of the connection."""
        self.usable = False
        self.lost = True
        self.error = error
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
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
        self.transport.abort()

    def request(
        self, method: str, target: str, fields: types.Fields, body: bytes
    ) -> None:
        """Sends a complete request.

        Raises:
            exceptions.EndpointNotStarted: Nothing of it was sent.
        """
        if not self.usable or self.transport.is_closing():
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
        self.exchanges += 1
        self.transport.write(data)

    async def next_event(self):
        """Waits for the next event of the answer.

        Raises:
            exceptions.AnswerBroken: The connection was lost or the answer is
                not valid.
        """
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
                self.consumed(len(event.data))
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

    def consumed(self, size: int) -> None:
        """Resumes reading once enough bytes have been consumed."""
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
        if self.parser.trailing_data[0] or not self.usable:
            self.abort()
            return False
        self.parser.start_next_cycle()
        self.unread_bytes = 0
        self.informational_heads = 0
        self.idle = True
        self.idle_since = time.monotonic()
        return True

    def is_reusable(self, now: float) -> bool:
        """Whether the connection may be used for another request."""
        if not self.usable or self.lost or self.transport.is_closing():
            return False
        return now - self.idle_since < self.idle_timeout


class Pool:
    """A pool of idle connections by address and instance.

    Attributes:
        held_bytes: Bytes of the bodies that are being read whole.

    >>> pool = Pool()
    >>> connection = await pool.acquire("10.1.64.9:8080", "i-7f3a91c2")
    """

    def __init__(self, source: str = ""):
        self.local_address = (source, 0) if source else None
        self.idle: dict[tuple[str, str], list[Connection]] = {}
        self.opened = 0
        self.held_bytes = 0

    async def acquire(
        self, address: str, instance: str, fresh: bool = False
    ) -> Connection:
        """Returns an idle connection or opens one.

        Args:
            address: IP:PORT of the replica.
            instance: Its instance id.
            fresh: Whether to open one in any case.

        Raises:
            exceptions.EndpointUnreachable: The address cannot be reached.
        """
        if fresh:
            return await self.open(address)
        kept = self.idle.get((address, instance), [])
        now = time.monotonic()
        while kept:
            connection = kept.pop()
            if connection.is_reusable(now):
                return connection
            connection.abort()
        return await self.open(address)

    def is_connected(self, replica: types.Replica) -> bool:
        """Whether an idle connection to a replica is open."""
        kept = self.idle.get((replica.address, replica.instance))
        return bool(kept) and kept[-1].is_reusable(time.monotonic())

    async def open(self, address: str) -> Connection:
        """Opens a connection.

        Raises:
            exceptions.EndpointUnreachable: The address cannot be reached.
        """
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                _, connection = await loop.create_connection(
                    Connection,
                    host,
                    int(port),
                    local_addr=self.local_address,
                )
        except ConnectionRefusedError as error:
            raise exceptions.EndpointNotListening(
                f"{address} cannot be reached: {error!r}"
            ) from error
        except (OSError, TimeoutError) as error:
            raise exceptions.EndpointUnreachable(
                f"{address} cannot be reached: {error!r}"
            ) from error
        self.opened += 1
        return connection

    def release(
        self, address: str, instance: str, connection: Connection
    ) -> None:
        """Returns a connection to the pool after its answer, if reusable."""
        if connection.reset_for_reuse():
            key = (address, instance)
            self.idle.setdefault(key, []).append(connection)

    def put_back(
        self, address: str, instance: str, connection: Connection
    ) -> None:
        """Returns a connection on which nothing was sent."""
        connection.idle_since = time.monotonic()
        self.idle.setdefault((address, instance), []).append(connection)

    def discard(self, address: str, instance: str) -> None:
        """Closes the idle connections to a replica."""
        for connection in self.idle.pop((address, instance), ()):
            connection.abort()

    def close(self) -> None:
        """Closes all idle connections."""
        for address, instance in list(self.idle):
            self.discard(address, instance)


class PooledAnswer:
    """An answer on a pooled connection whose head has been received.

    Attributes:
        is_framed: Whether the end of the body is marked by a length or chunks,
            or there is never a body; otherwise it ends with its connection.
        statement: What its head says of the replica.
    """

    def __init__(
        self,
        pool: Pool,
        replica: types.Replica,
        connection: Connection,
        method: str,
        head: h11.Response,
    ):
        self.pool = pool
        self.replica = replica
        self.connection = connection
        self.status = head.status_code
        self.reason = head.reason.decode("latin-1")
        self.fields: types.Fields = tuple(head.headers.raw_items())
        self.sealed = False
        self.not_run = False
        self.statement: types.Statement | None = None
        self.length = _length(head)
        has_no_body = method == "HEAD" or self.status in BODILESS_STATUSES
        self.is_framed = has_no_body or _is_framed(head)
        self.ended = False

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as it is received.

        Raises:
            exceptions.AnswerBroken: It ended early.
        """
        while True:
            event = await self.connection.next_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
                continue
            if isinstance(event, h11.EndOfMessage):
                self.ended = True
                self.pool.release(
                    self.replica.address, self.replica.instance, self.connection
                )
                return
            self.connection.abort()
            raise exceptions.AnswerBroken(
                "the replica closed the connection before the end"
            )

    async def read(self, limit: int = MAX_BODY_BYTES) -> bytes:
        """Reads the entire body.

        Args:
            limit: Largest number of bytes.

        Raises:
            exceptions.AnswerBroken: It ended early, or is too large by itself
                or together with others that are being read.
        """
        parts = []
        size = 0
        try:
            async for chunk in self.chunks():
                parts.append(chunk)
                size += len(chunk)
                self.pool.held_bytes += len(chunk)
                if size > limit or self.pool.held_bytes > MAX_HELD_BYTES:
                    self.connection.abort()
                    raise exceptions.AnswerBroken(
                        f"a body of over {size} bytes is too large"
                    )
        finally:
            self.pool.held_bytes -= size
        return b"".join(parts)

    async def drain(self) -> None:
        """Reads a body that is not needed; closes a long or slow one."""
        size = 0
        try:
            async with asyncio.timeout(DRAIN_SECONDS):
                async for chunk in self.chunks():
                    size += len(chunk)
                    if size > MAX_DRAINED_BYTES:
                        break
        except (exceptions.AnswerBroken, TimeoutError) as error:
            events.log(
                events.ANSWER_NOT_DRAINED,
                instance=self.replica.instance,
                status=self.status,
                reason=repr(error),
            )
        self.close()

    def close(self) -> None:
        """Ends the exchange; the replica cancels what still runs."""
        if not self.ended:
            self.connection.abort()


def _length(head: h11.Response) -> int | None:
    for name, value in head.headers:
        if name == b"content-length":
            return int(value)
    return None


def _is_framed(head: h11.Response) -> bool:
    for name, _ in head.headers:
        if name in (b"content-length", b"transfer-encoding"):
            return True
    return False
