"""A client that reads slowly gets foreign answers on its channel.

It reads one answer for longer than the route's timeoutMs, then goes on using
the channel. With TROUBLE=0 it reads at once.
"""

import socket
import sys
import time

import fleet
import wire

# Bytes of an answer's body beside the attempt id: more than the kernel holds on
# its way, which is 4 MB here and far less on a link with small windows.
PADDING = 7_000_000
# Bytes that the slow client takes at a time, and seconds between two reads: in
# all as over a link of 5 Mbit/s.
READ_BYTES = 32768
READ_SECONDS = 0.05
WINDOW_BYTES = 65536
ATTEMPTS = ("9c41d07be2a35f01", "9c41d07be2a35f02", "9c41d07be2a35f03")


class Channel:
    """A client's channel; its requests follow each other."""

    def __init__(self, address: str):
        host, _, port = address.rpartition(":")
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        self.sock.settimeout(15.0)
        self.sock.connect((host, int(port)))
        self.received = b""

    def send(self, attempt: str) -> None:
        """Sends a request."""
        lines = (
            f"GET /puxa403/{attempt} HTTP/1.1",
            f"Host: {fleet.HOST}",
            f"Attempt-Id: {attempt}",
            "Deadline-Ms: 20000",
        )
        self.sock.sendall("\r\n".join([*lines, "", ""]).encode())

    def receive(self, pause: float) -> tuple[str, dict[str, str], bytes]:
        """Reads an answer: its first line, its fields and its body."""
        while b"\r\n\r\n" not in self.received:
            self.take(0.0)
        head, _, self.received = self.received.partition(b"\r\n\r\n")
        first, fields = wire.parse_head(head)
        size = int(fields["content-length"])
        while len(self.received) < size:
            self.take(pause)
        body, self.received = self.received[:size], self.received[size:]
        return first, fields, body

    def take(self, pause: float) -> None:
        """Reads some bytes, after a pause."""
        time.sleep(pause)
        data = self.sock.recv(READ_BYTES)
        if not data:
            raise ConnectionError("the channel was closed")
        self.received += data


def play(deployment: fleet.Fleet, has_trouble: bool) -> bool:
    """Plays the case; returns whether the rule held."""
    deployment.start_store()
    deployment.start_replica("i-7f3a91c2", 0.0, "--padding", str(PADDING))
    deployment.start_gateway("edge-north-apron-1")
    deployment.start_beats()
    time.sleep(1.0)
    channel = Channel(deployment.addresses["edge-north-apron-1"])
    held = True
    try:
        for number, attempt in enumerate(ATTEMPTS):
            pause = READ_SECONDS if has_trouble and not number else 0.0
            began = time.monotonic()
            channel.send(attempt)
            deployment.note(f"the client sends request {attempt}")
            first, fields, body = channel.receive(pause)
            seconds = time.monotonic() - began
            owner = fields.get("attempt-id", "none")
            begin = body[:16].decode("latin-1")
            deployment.note(
                f"the client gets {first!r} with Attempt-Id {owner}, seal "
                f"{fields.get('response-seal', 'none')}, {len(body)} bytes "
                f"that begin {begin!r}, after {seconds:.3f} s"
            )
            if owner != attempt:
                held = False
                deployment.note("BROKEN: this is another request's answer")
    except ConnectionError as error:
        # The node may give up an answer that isn't taken in time.
        deployment.note(f"the channel ended: {error}")
    for row in deployment.runs("i-7f3a91c2"):
        deployment.note(f"the replica ran {row['attempt']}")
    return held


if __name__ == "__main__":
    sys.exit(fleet.run_case(play, __file__))
