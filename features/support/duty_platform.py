"""The operations API as a socket, and a gateway's process that calls it."""

import select
import socket
import subprocess
import sys
import time

HOST = "127.0.0.1"
# Bytes that the platform's kernel takes at most while nobody reads.
RECEIVE_BUFFER = 4096
# As on a network; on 127.0.0.1 one segment could take a whole report.
SEGMENT_BYTES = 1400
# Seconds that a step waits for what must happen.
LIMIT = 20.0
NEVER = 60.0


class Platform:
    """The operations API as a socket.

    Attributes:
        received: What has come on all connections.
        was_reset: Whether a connection was reset.
    """

    def __init__(self, backlog=8):
        self.listener = socket.socket()
        self.listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER
        )
        self.listener.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES
        )
        self.listener.bind((HOST, 0))
        self.listener.listen(backlog)
        self.listener.settimeout(LIMIT)
        self.address = f"{HOST}:{self.listener.getsockname()[1]}"
        self.received = b""
        self.was_reset = False

    def accept(self):
        """Accepts a connection."""
        connection, _ = self.listener.accept()
        connection.settimeout(LIMIT)
        return connection

    def has_connection(self, seconds):
        """Whether a connection waits, or comes within some seconds."""
        return bool(select.select([self.listener], [], [], seconds)[0])

    def is_whole(self, size):
        """Whether a request with a body of some size has come."""
        _, end, body = self.received.partition(b"\r\n\r\n")
        return bool(end) and len(body) >= size

    def read(self, connection, size=1, piece=65536, pause=0.0):
        """Reads until the connection ends or a whole request has come."""
        with connection:
            try:
                while not self.is_whole(size):
                    data = connection.recv(piece)
                    if not data:
                        return
                    self.received += data
                    time.sleep(pause)
            except ConnectionResetError:
                self.was_reset = True


class Caller:
    """A gateway's process that makes one call."""

    def __init__(self, address, seconds, size, cancel_after=NEVER, *flags):
        self.child = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "features.support.duty_caller",
                address,
                str(seconds),
                str(size),
                str(cancel_after),
                *flags,
            ],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )

    def until(self, line):
        """Waits for a line; returns those before it."""
        before = []
        for found in self.child.stdout:
            if found.strip() == line:
                return before
            before.append(found.strip())
            if before[-1] == "ended":
                break
        raise AssertionError(f"{line} is not in {before}")

    def go_on(self):
        """Lets a process that waits with its connection open send."""
        self.child.stdin.write("\n")
        self.child.stdin.flush()

    def end(self):
        """Ends the process."""
        self.child.kill()
        self.child.communicate()
