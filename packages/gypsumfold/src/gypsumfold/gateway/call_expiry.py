"""Keeps a call under the authority from arriving after its permission."""

import asyncio
import fcntl
import socket
import struct
import termios

from gypsumfold import exceptions
from gypsumfold.gateway import grants

# Time after which the kernel closes a connection with unacknowledged bytes.
UNACKNOWLEDGED_TIMEOUT_MS = 5000
# SO_LINGER with a timeout of zero: closing resets the connection and drops what
# the kernel has not sent yet.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
ORDERLY_CLOSE = struct.pack("ii", 0, 0)
# Position of the retransmission timeout, in us, in Linux's `struct tcp_info`.
TCP_INFO_RTO = struct.Struct("8xI")
# The kernel counts TCP_USER_TIMEOUT from the first retransmission after a tail
# loss probe. That is two retransmission timeouts after the write, each rounded
# up by an eighth at most, and some ticks.
UNCOUNTED_TIMEOUTS = 2.4
# Seconds between two checks of the permission while its call waits: the event
# loop's clock stands still while a machine is suspended.
CHECK_INTERVAL_SECONDS = 0.1
MIN_DELAY_SECONDS = 0.001


def uncounted_seconds(sock: socket.socket) -> float:
    """Returns how much longer than TCP_USER_TIMEOUT the kernel may resend."""
    info = sock.getsockopt(
        socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_RTO.size
    )
    (microseconds,) = TCP_INFO_RTO.unpack(info)
    return UNCOUNTED_TIMEOUTS * microseconds / 1e6


class CallExpiry:
    """Resets a connection once the permission for its call has ended.

    The kernel resets it by itself if the process is killed, and gives up
    resending in time if the process can't run.

    Attributes:
        error: Why the connection was reset; None if it wasn't.

    >>> expiry = CallExpiry(transport, grant)
    >>> expiry.begin("i-7f3a91c2")
    """

    def __init__(self, transport: asyncio.Transport, grant: grants.Grant):
        self.transport = transport
        self.sock: socket.socket = transport.get_extra_info("socket")
        self.grant = grant
        self.timer: asyncio.TimerHandle | None = None
        self.error: Exception | None = None

    def begin(self, subject: str) -> None:
        """Limits the connection to the permission, and confirms that.

        The call has to be written before anything is awaited.

        Args:
            subject: What the call is about.

        Raises:
            exceptions.AuthorityEnded: The permission has ended, or the kernel
                might resend the call for longer; nothing may be sent.
        """
        needed = uncounted_seconds(self.sock)
        seconds = self.grant.remaining() - needed
        if seconds <= 0:
            raise exceptions.AuthorityEnded(
                f"{subject}: a call may be resent for {needed:.3f} s"
            )
        self.set_options(RESET_ON_CLOSE, max(1, int(seconds * 1000)))
        try:
            self.grant.confirm(subject)
        except exceptions.AuthorityEnded:
            self.set_options(ORDERLY_CLOSE, UNACKNOWLEDGED_TIMEOUT_MS)
            raise
        self.check()

    def check(self) -> None:
        """Resets the connection if the permission has ended."""
        remaining = self.grant.remaining()
        if remaining <= 0:
            self.error = TimeoutError("the permission for the call has ended")
            self.transport.abort()
            return
        delay = max(MIN_DELAY_SECONDS, min(remaining, CHECK_INTERVAL_SECONDS))
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(delay, self.check)

    def stop(self) -> None:
        """Ends the checks."""
        if self.timer is not None:
            self.timer.cancel()

    def end(self) -> bool:
        """Lifts the limits once the call has been answered.

        Returns:
            Whether the connection may be used again. It may not with
            unacknowledged bytes: the call may have been answered early.
        """
        self.stop()
        # Linux tcp(7): SIOCOUTQ, the number of unacknowledged bytes.
        queued = fcntl.ioctl(self.sock.fileno(), termios.TIOCOUTQ, bytes(4))
        if any(queued):
            return False
        self.set_options(ORDERLY_CLOSE, UNACKNOWLEDGED_TIMEOUT_MS)
        return True

    def set_options(self, linger: bytes, timeout: int) -> None:
        """Sets how the connection is closed, and the kernel's limit in ms."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout
        )
