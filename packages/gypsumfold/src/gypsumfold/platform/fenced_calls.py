"""One HTTP call under the authority, on a connection of its own.

Nothing of it may arrive after its permission has ended. An HTTP client library
opens the connection after the permission was confirmed, follows redirects, and
closes in order, so that the kernel goes on delivering what it holds. So this
module uses a socket and `h11`.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import fcntl
import socket
import sys
import termios

import h11

from gypsumfold import clocks
from gypsumfold import exceptions
from gypsumfold.gateway import call_expiry
from gypsumfold.gateway import connections
from gypsumfold.gateway import grants
from gypsumfold.gateway import types

# Most bytes that are read of an answer, with all that comes before its head.
MAX_ANSWER_BYTES = 131072
READ_BYTES = 65536
# Seconds between two looks whether all that was sent so far was acknowledged.
ACKNOWLEDGED_SECONDS = 0.002
# Seconds between two looks at the clock that counts suspension: the event
# loop's timers stand still while the machine is suspended.
CHECK_SECONDS = 0.05


@contextlib.asynccontextmanager
async def limit(ends_at: float) -> AsyncIterator[None]:
    """Raises TimeoutError in its body at a time of `clocks.now`."""
    loop = asyncio.get_running_loop()
    timer = None

    def check() -> None:
        nonlocal timer
        left = ends_at - clocks.now()
        if left <= 0:
            scope.reschedule(loop.time())
            return
        timer = loop.call_later(min(left, CHECK_SECONDS), check)

    async with asyncio.timeout(None) as scope:
        check()
        try:
            yield
        finally:
            if timer is not None:
                timer.cancel()


class FencedCall:
    """A request that is sent once, while its permission lasts.

    Attributes:
        ends_at: When the call is given up, by `clocks.now`; not after its
            permission ends.
        sock: Its connection; None until it is being opened.
        is_sent: Whether any byte of it may have been sent.
        status: The status of its answer; None until it is known.
        is_complete: Whether its whole answer has arrived.

    >>> call = FencedCall("/usage", fields, body, "/usage", grant, 1.5)
    >>> await call.run("10.200.0.2:8287")
    200
    """

    def __init__(
        self,
        target: str,
        fields: types.Fields,
        body: bytes,
        subject: str,
        grant: grants.Grant,
        seconds: float,
    ):
        self.subject = subject
        self.grant = grant
        self.ends_at = min(clocks.now() + seconds, grant.ends_at)
        self.parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=connections.MAX_HEAD_BYTES
        )
        head = h11.Request(method="POST", target=target, headers=fields)
        data = self.parser.send(head)
        data += self.parser.send(h11.Data(data=body))
        self.data = data + self.parser.send(h11.EndOfMessage())
        self.sock: socket.socket | None = None
        self.is_sent = False
        self.status: int | None = None
        self.is_complete = False

    async def run(self, address: str) -> int:
        """Makes the call.

        Args:
            address: IP:PORT or NAME:PORT.

        Returns:
            The status of the answer. Of its body, whatever has arrived in time
            is read and dropped.

        Raises:
            exceptions.AuthorityEnded: The request was not sent or not wholly,
                as the permission had ended or was about to.
            exceptions.OperationsUnreachable: Nothing was sent.
            exceptions.OperationsUnavailable: There was no answer.
        """
        try:
            async with limit(self.ends_at):
                await self.connect(address)
                await self.send()
                await self.read()
        except (OSError, h11.RemoteProtocolError) as error:
            # OSError includes TimeoutError.
            if self.status is None:
                raise self.failure(repr(error)) from error
        finally:
            self.close()
        if self.status is None:
            raise self.failure(f"no answer within {MAX_ANSWER_BYTES} bytes")
        return self.status

    def failure(self, reason: str) -> exceptions.OperationsUnavailable:
        """Returns the error of a call without an answer."""
        text = f"{self.subject}: {reason}"
        if self.is_sent:
            return exceptions.OperationsUnavailable(text)
        return exceptions.OperationsUnreachable(text)

    async def connect(self, address: str) -> None:
        """Opens the connection.

        Raises:
            OSError: It can't be opened.
        """
        host, _, port = address.rpartition(":")
        host = host.strip("[]")
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self.sock = socket.socket(family, socket.SOCK_STREAM)
        self.sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self.sock, (host, int(port)))

    async def send(self) -> None:
        """Confirms the permission and sends the request.

        The event loops hand the bytes to the socket within the call of
        `sock_sendall`, so nothing runs between that and the confirmation.

        Raises:
            exceptions.AuthorityEnded: The permission has ended, or ends before
                the kernel would give up. The request can't be completed.
            OSError: The connection was lost.
        """
        loop = asyncio.get_running_loop()
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # Resets the connection even if the process is killed.
        self.sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, call_expiry.RESET_ON_CLOSE
        )
        data = memoryview(self.data)
        segment = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG)
        # The kernel's limit begins anew with each part that is delivered. A
        # longer request lacks its last byte until all else has arrived.
        held = 1 if len(data) > segment else 0
        end = len(data) - held
        self.limit_delivery()
        self.grant.confirm(self.subject)
        self.is_sent = True
        await loop.sock_sendall(self.sock, data[:end])
        if not held:
            return
        while True:
            # After the process was frozen, the timer may not have run yet.
            if clocks.now() >= self.ends_at:
                raise TimeoutError("the limit has passed")
            if not self.unacknowledged():
                break
            await asyncio.sleep(ACKNOWLEDGED_SECONDS)
        self.limit_delivery()
        await loop.sock_sendall(self.sock, data[end:])

    def unacknowledged(self) -> int:
        """Returns the bytes that the kernel still holds."""
        found = fcntl.ioctl(self.sock, termios.TIOCOUTQ, bytes(4))
        return int.from_bytes(found, sys.byteorder)

    def limit_delivery(self) -> None:
        """Has the kernel give up sending before the permission ends.

        It does so even while this process is frozen.

        Raises:
            exceptions.AuthorityEnded: It may resend for longer.
        """
        needed = call_expiry.uncounted_seconds(self.sock)
        seconds = self.grant.remaining() - needed
        if seconds <= 0:
            raise exceptions.AuthorityEnded(
                f"{self.subject}: it may be resent for {needed:.3f} s"
            )
        # Zero would stand for the system's default of minutes.
        self.sock.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            max(1, int(seconds * 1000)),
        )

    async def read(self) -> None:
        """Reads the answer, up to a number of bytes.

        Raises:
            h11.RemoteProtocolError: It is not valid.
            OSError: The connection was lost.
        """
        loop = asyncio.get_running_loop()
        received = 0
        while True:
            event = self.parser.next_event()
            if isinstance(event, h11.Response):
                self.status = event.status_code
            elif isinstance(event, h11.EndOfMessage):
                self.is_complete = True
                return
            elif event is h11.NEED_DATA:
                if received > MAX_ANSWER_BYTES:
                    return
                data = await loop.sock_recv(self.sock, READ_BYTES)
                received += len(data)
                self.parser.receive_data(data)

    def close(self) -> None:
        """Closes the connection: resets it without a whole answer."""
        if self.sock is None:
            return
        if self.is_complete:
            self.sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, call_expiry.ORDERLY_CLOSE
            )
        self.sock.close()
