"""Writes log lines without blocking on a slow reader."""

import collections
import os

# Bytes of lines kept for a slow reader: a busy node logs this in a minute.
MAX_PENDING_BYTES = 512 * 1024


class NonBlockingLineWriter:
    """Writes lines to a descriptor; drops new ones while too many are pending.

    Attributes:
        dropped: Number of lines dropped so far.

    >>> lines = NonBlockingLineWriter(1)
    >>> lines.write("one line")
    """

    def __init__(self, descriptor: int):
        self.descriptor = descriptor
        self.pending: collections.deque[bytes] = collections.deque()
        self.pending_bytes = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Writes text, keeps what is not taken at once, or drops it."""
        data = text.encode()
        if self.pending_bytes + len(data) > MAX_PENDING_BYTES:
            self.dropped += 1
            return
        self.pending.append(data)
        self.pending_bytes += len(data)
        self.flush()

    def flush(self) -> None:
        """Writes as much as the descriptor takes without blocking."""
        while self.pending:
            data = self.pending[0]
            try:
                written = os.write(self.descriptor, data)
            except BlockingIOError:
                return
            self.pending_bytes -= written
            if written < len(data):
                self.pending[0] = data[written:]
                return
            self.pending.popleft()
