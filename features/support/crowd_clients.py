"""The connections of a crowd: what its clients send, and when."""

import selectors
import socket
import threading
import time
from typing import NamedTuple

# Seconds after which the crowd counts as there, whatever it has sent by then.
ARRIVAL = 6.0
# Seconds for a crowd whose requests are served in turn.
STAY = 8.0
# Seconds between two bytes of a client that trickles.
TRICKLE = 0.2
# Bytes that a client writes at once.
PIECE = 65536


class Client(NamedTuple):
    """What one client of a crowd sends.

    Attributes:
        parts: Sent at once, one after the other.
        rest: Sent byte by byte after that; the connection stays open.
        stays: Whether it takes effect only while its requests are served.
    """

    parts: tuple[bytes, ...]
    rest: bytes = b""
    stays: bool = False


class Sender:
    """The connection of one client."""

    def __init__(self, client: Client, sock: socket.socket):
        self.sock = sock
        self.rest = client.rest
        self.views = []
        for part in client.parts:
            self.views.append(memoryview(part))

    def send(self) -> bool:
        """Writes what the socket takes; returns whether more is to come."""
        while self.views:
            try:
                sent = self.sock.send(self.views[0][:PIECE])
            except BlockingIOError:
                return True
            except OSError:
                self.end()
                return False
            self.views[0] = self.views[0][sent:]
            if not self.views[0]:
                self.views.pop(0)
        return False

    def trickle(self) -> None:
        """Writes the next byte of the rest."""
        if self.views or not self.rest:
            return
        try:
            self.sock.send(self.rest[:1])
        except BlockingIOError:
            return
        except OSError:
            self.end()
            return
        self.rest = self.rest[1:]

    def end(self) -> None:
        """Sends nothing more."""
        self.views = []
        self.rest = b""


class Crowd:
    """Clients that are connected until `close`, and read nothing.

    >>> crowd = Crowd("127.16.1.2", 8090, clients)
    >>> crowd.wait_until_there()
    >>> crowd.close()
    """

    def __init__(self, host: str, port: int, clients: list[Client]):
        self.address = (host, port)
        self.clients = clients
        self.senders: list[Sender] = []
        self.there = threading.Event()
        self.closing = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self) -> None:
        """Connects all clients and sends until the crowd is closed."""
        with selectors.DefaultSelector() as selector:
            for client in self.clients:
                self.connect(client, selector)
            next_byte = time.monotonic()
            while not self.closing.is_set():
                for key, _ in selector.select(TRICKLE / 4):
                    if not key.data.send():
                        selector.unregister(key.data.sock)
                if not selector.get_map():
                    self.there.set()
                    self.closing.wait(TRICKLE / 4)
                if time.monotonic() < next_byte:
                    continue
                next_byte = time.monotonic() + TRICKLE
                for sender in self.senders:
                    sender.trickle()

    def connect(self, client: Client, selector: selectors.BaseSelector) -> None:
        """Opens one client's connection, if that is possible."""
        sock = socket.socket()
        # Small enough that an answer of a few kilobytes isn't taken whole.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.settimeout(2.0)
        try:
            sock.connect(self.address)
        except OSError:
            sock.close()
            return
        sock.setblocking(False)
        sender = Sender(client, sock)
        self.senders.append(sender)
        selector.register(sock, selectors.EVENT_WRITE, sender)

    def wait_until_there(self) -> None:
        """Waits until all is sent, or the process takes no more."""
        if self.clients[0].stays:
            self.closing.wait(STAY)
        self.there.wait(ARRIVAL)

    def close(self) -> None:
        """Closes all connections."""
        self.closing.set()
        self.thread.join()
        for sender in self.senders:
            sender.sock.close()
