"""Callers that keep one connection each, and how each of their calls ended."""

import socket
import threading
import time
from typing import NamedTuple

from features.support import gateways
from gypsumfold.platform import names

# Seconds; the upper limit of a wait for bytes.
LIMIT = 15.0


class Outcome(NamedTuple):
    """How a call ended.

    Attributes:
        attempt: Its id.
        status: Of its answer; None if its connection ended without a whole one.
        sent_at: When its last byte was sent, in monotonic seconds.
        ended_at: When it ended.
    """

    attempt: str
    status: int | None
    sent_at: float
    ended_at: float


class Caller:
    """One caller and its connection to a gateway.

    >>> caller = Caller(fleet["edge-1"].host)
    >>> caller.send_later(stopped_at + 2.0, [(b"...", 0.0)], ["0193"])
    >>> caller.join()
    """

    def __init__(self, host: str):
        self.sock = socket.create_connection(
            (host, gateways.FRONT_PORT), timeout=LIMIT
        )
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.received = b""
        self.outcomes: list[Outcome] = []
        self.thread: threading.Thread | None = None

    def exchange(self, attempt: str, data: bytes) -> int | None:
        """Sends a call; returns the status of its whole answer."""
        self.send([(data, 0.0)])
        self.read([attempt])
        return self.outcomes[-1].status

    def is_closed(self) -> bool:
        """Whether the gateway has closed the idle connection."""
        self.sock.setblocking(False)
        try:
            return not self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        finally:
            self.sock.settimeout(LIMIT)

    def send_later(
        self,
        at: float,
        pieces: list[tuple[bytes, float]],
        attempts: list[str],
    ) -> None:
        """Sends calls at a time if the connection is open by then.

        Args:
            at: In monotonic seconds.
            pieces: Bytes and the seconds of the pause before them.
            attempts: The ids of the calls in them.
        """

        def run() -> None:
            time.sleep(max(0.0, at - time.monotonic()))
            if self.is_closed():
                return
            self.send(pieces)
            self.read(attempts)

        self.thread = threading.Thread(target=run, daemon=True)
        self.thread.start()

    def join(self) -> None:
        """Waits until all calls have ended."""
        if self.thread is not None:
            self.thread.join()
        self.sock.close()

    def send(self, pieces: list[tuple[bytes, float]]) -> None:
        """Sends bytes with pauses."""
        for data, pause in pieces:
            time.sleep(pause)
            try:
                self.sock.sendall(data)
            except OSError:
                # The answer, if there is one, can still be read.
                return

    def read(self, attempts: list[str]) -> None:
        """Reads the answers to calls."""
        sent_at = time.monotonic()
        for attempt in attempts:
            status = self.read_answer()
            self.outcomes.append(
                Outcome(attempt, status, sent_at, time.monotonic())
            )

    def read_answer(self) -> int | None:
        """Reads one answer; returns its status, None if it isn't whole."""
        while b"\r\n\r\n" not in self.received:
            if not self.receive():
                return None
        head, _, body = self.received.partition(b"\r\n\r\n")
        length = 0
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                length = int(line.partition(b":")[2])
        while len(body) < length:
            if not self.receive():
                return None
            body = self.received.partition(b"\r\n\r\n")[2]
        self.received = body[length:]
        return int(head.split()[1])

    def receive(self) -> bool:
        """Receives bytes; returns whether any came."""
        try:
            data = self.sock.recv(65536)
        except OSError:
            return False
        self.received += data
        return bool(data)


def head(method: str, path: str, attempt: str, length: int = 0) -> bytes:
    """The head of a call."""
    lines = (
        f"{method} {path} HTTP/1.1",
        f"Host: {gateways.HOST}",
        f"{names.ATTEMPT}: {attempt}",
        f"{names.TIME_LEFT}: 12000",
        f"Content-Length: {length}",
    )
    return "\r\n".join([*lines, "", ""]).encode()
