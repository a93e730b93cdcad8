"""An engine whose side of a TCP connection can be cut off from it.

A socket filter of the engine's own socket drops each packet that arrives, as
a link that is cut in one direction does. The kernel of the other side resends.
"""

import contextlib
import ctypes
import json
import pathlib
import socket
import struct
import threading
import time

from gypsumfold import clocks
from gypsumfold.platform import names

SO_ATTACH_FILTER = 26
SO_DETACH_FILTER = 27
# One instruction of a classic BPF program: return 0, which keeps 0 bytes.
DROP_ALL = struct.pack("HBBI", 0x06, 0, 0, 0)
# States of a TCP connection in /proc/net/tcp in which nothing is sent.
SILENT_STATES = ("06", "07")
HOST = "127.0.0.1"
POLL_SECONDS = 0.01
ACCEPTED = b"HTTP/1.1 202 OK\r\nContent-Length: 0\r\n\r\n"


class Engine:
    """Listens, answers at command, and tells how its connection ended."""

    def __init__(self):
        self.listener = socket.create_server((HOST, 0))
        self.address = f"{HOST}:{self.listener.getsockname()[1]}"
        self.connection = None
        self.received = b""
        self.ended = ""
        self.order_arrivals = []
        self.ports = []
        self.thread = None
        self.stopped = False

    def accept(self, seconds=5.0):
        """Accepts a connection."""
        self.listener.settimeout(seconds)
        self.connection, other = self.listener.accept()
        self.ports = [other[1], self.listener.getsockname()[1]]
        self.connection.setblocking(False)

    def read(self):
        """Takes what has arrived."""
        try:
            data = self.connection.recv(65536)
        except BlockingIOError:
            return
        except ConnectionResetError:
            self.ended = "reset"
            return
        self.received += data
        if not data:
            self.ended = "closed"

    def has_order(self):
        """Whether an order has arrived whole."""
        self.read()
        head, _, body = self.received.partition(b"\r\n\r\n")
        if names.ORDER_PATH.encode() not in head or not body:
            return False
        with contextlib.suppress(ValueError):
            return "fence" in json.loads(body)
        return False

    def answer_request(self):
        """Answers a caller's request with an echo of its attempt."""
        wait_until(lambda: self.read() or self.received.endswith(b"x"))
        self.received = b""
        self.send_answer()

    def send_answer(self):
        """Sends the answer to a caller's request."""
        fields = f"{names.ATTEMPT}: a-1\r\nContent-Length: 0\r\n\r\n"
        self.connection.send(f"HTTP/1.1 200 OK\r\n{fields}".encode())

    def cut(self):
        """Drops what arrives from now on."""
        code = ctypes.create_string_buffer(DROP_ALL)
        program = struct.pack("@HP", 1, ctypes.addressof(code))
        self.connection.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)

    def heal(self):
        """Lets through what arrives from now on."""
        self.connection.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)

    def find_socket(self):
        """State and unacknowledged bytes of the other side's socket."""
        for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            ports = []
            for end in fields[1:3]:
                ports.append(int(end.partition(":")[2], 16))
            if ports == self.ports:
                return fields[3], int(fields[4].partition(":")[0], 16)
        return SILENT_STATES[0], 0

    def may_receive(self):
        """Whether the kernel of the other side may still send."""
        return self.find_socket()[0] not in SILENT_STATES

    def is_owed(self):
        """Whether the kernel of the other side has unacknowledged bytes."""
        return self.find_socket()[1] > 0

    def is_full(self):
        """Whether the kernel of the other side has more than is read here."""
        try:
            self.connection.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        return self.is_owed()

    def serve(self, answers):
        """Serves one connection in a thread until it ends.

        Args:
            answers: Whether it answers orders.
        """

        def run():
            self.accept()
            while not self.ended and not self.stopped:
                if self.has_order():
                    self.order_arrivals.append(clocks.now())
                    self.received = b""
                    if answers:
                        self.connection.send(ACCEPTED)
                elif self.received.endswith(b"\r\n\r\nx"):
                    self.answer_request()
                time.sleep(POLL_SECONDS)

        self.spawn(run)

    def spawn(self, run):
        """Runs a function in a thread of this engine."""
        self.thread = threading.Thread(target=run, daemon=True)
        self.thread.start()

    def close(self):
        """Ends the thread and closes the sockets."""
        self.stopped = True
        if self.thread is not None:
            self.thread.join(10.0)
        self.listener.close()
        if self.connection is not None:
            self.connection.close()


def wait_until(condition, seconds=5.0):
    """Waits until a condition holds; returns whether it does."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(POLL_SECONDS)
    return bool(condition())
