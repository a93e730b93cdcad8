"""Options and state of the sockets of connections to replicas."""

import fcntl
import socket
import struct
import termios

from gypsumfold.gateway import call_expiry

# Bytes that the kernel keeps until they are read.
RECEIVE_BUFFER_BYTES = 64 * 1024


def configure(sock: socket.socket) -> None:
    """Sets a new connection's options."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        call_expiry.UNACKNOWLEDGED_TIMEOUT_MS,
    )
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)


def reset_on_close(sock: socket.socket) -> None:
    """Has a connection reset once it is closed."""
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, call_expiry.RESET_ON_CLOSE
    )


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Returns the sent bytes that the other side hasn't acknowledged.

    None are known where the system doesn't tell.
    """
    try:
        found = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
    except OSError:
        return 0
    return struct.unpack("i", found)[0]
