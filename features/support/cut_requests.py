"""Requests that end early, and answers of a gateway that is killed."""

from concurrent import futures
import socket
import time
import uuid

import h11

from features.support import cut_cases
from features.support import cut_replicas
from features.support import gateways
from gypsumfold.platform import names

BODY = b"0123456789"
SENDERS = 16
# Bytes of the receive buffer of a caller that reads late.
SMALL_BUFFER = 4096


def caller_request(framing: str, attempt: str) -> bytes:
    """The bytes of a caller's request with a body."""
    lines = [
        "POST /seats/cut HTTP/1.1",
        f"Host: {gateways.HOST}",
        f"{names.ATTEMPT}: {attempt}",
    ]
    body = BODY
    if framing == "chunks":
        lines.append("Transfer-Encoding: chunked")
        body = cut_replicas.framed(BODY)
    else:
        lines.append(f"Content-Length: {len(BODY)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def send_cut(address: tuple[str, int], data: bytes, ends: str) -> bytes:
    """Sends bytes and closes the sending side, or resets the connection.

    Returns:
        What comes before the other side closes.
    """
    with socket.create_connection(address, timeout=cut_replicas.LIMIT) as sock:
        sock.sendall(data)
        if ends == "reset":
            # What was sent is read before the reset discards it.
            time.sleep(cut_replicas.RESET_DELAY)
            sock.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_LINGER,
                cut_replicas.RESET_ON_CLOSE,
            )
            return b""
        sock.shutdown(socket.SHUT_WR)
        return read_all(sock)


def read_all(sock: socket.socket) -> bytes:
    """Reads until the other side closes."""
    parts = []
    while True:
        try:
            part = sock.recv(65536)
        except ConnectionResetError:
            break
        if not part:
            break
        parts.append(part)
    return b"".join(parts)


def cut_requests(
    address: tuple[str, int], framing: str, ends: str
) -> dict[str, bytes]:
    """Sends a request cut after each of its bytes; gives answers by attempt."""
    size = len(caller_request(framing, uuid.uuid4().hex[:16]))

    def send(place: int) -> tuple[str, bytes]:
        attempt = uuid.uuid4().hex[:16]
        data = caller_request(framing, attempt)[:place]
        return attempt, send_cut(address, data, ends)

    with futures.ThreadPoolExecutor(SENDERS) as pool:
        return dict(pool.map(send, range(size)))


def complete_sizes(method: str, data: bytes) -> list[int]:
    """After how many bytes an answer looks complete if its connection ends."""
    found = []
    for size in range(len(data) + 1):
        parser = h11.Connection(h11.CLIENT)
        parser.send(
            h11.Request(method=method, target="/", headers=[("Host", "h")])
        )
        parser.send(h11.EndOfMessage())
        try:
            parser.receive_data(data[:size])
            parser.receive_data(b"")
            event = None
            while not isinstance(event, h11.EndOfMessage):
                event = parser.next_event()
                if event in (h11.NEED_DATA, h11.PAUSED):
                    break
                if isinstance(event, h11.ConnectionClosed):
                    break
        except h11.RemoteProtocolError:
            continue
        if isinstance(event, h11.EndOfMessage):
            found.append(size)
    return found


class WaitingCallers:
    """Callers whose answers are under way when their gateway is killed."""

    def __init__(self, site: cut_cases.Site):
        self.site = site
        self.pool = futures.ThreadPoolExecutor(400)
        self.found: list[futures.Future] = []

    def ask(self, cases: list[cut_cases.Case]) -> None:
        """Sends requests whose answers stop at their cut."""
        for case in cases:
            self.found.append(self.pool.submit(self.call, case))

    def call(self, case: cut_cases.Case) -> None:
        """Sends one request and checks what came of its answer."""
        caller = cut_replicas.Caller(
            self.site.fleet["edge-1"].host, gateways.FRONT_PORT
        )
        self.site.check(case, *self.site.ask(caller, case))
        caller.close()

    def wait(self) -> None:
        """Waits until all have an end of their answer."""
        for each in self.found:
            each.result(cut_replicas.LIMIT * 2)
        self.pool.shutdown()


def read_late(site: cut_cases.Site, kill) -> tuple[int, int]:
    """Kills a gateway while a caller has not read a large answer.

    Returns:
        Bytes of the body that came, and those that its length promised.
    """
    case = cut_cases.Case("seats", cut_replicas.Cut("large", None, "kept"))
    method, path, body, fields = cut_cases.request(case)
    fields["Content-Length"] = str(len(body))
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    attempt = fields[names.ATTEMPT]
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        sock.settimeout(cut_replicas.LIMIT)
        sock.connect((site.fleet["edge-1"].host, gateways.FRONT_PORT))
        sock.sendall("\r\n".join([*lines, "", ""]).encode() + body)
        gateways.until(
            lambda: any(
                line["request"] == attempt
                for line in site.fleet["edge-1"].events(220)
            ),
            "the request was not placed",
        )
        first = sock.recv(16)
        kill()
        data = first + read_all(sock)
    head, _, rest = data.partition(b"\r\n\r\n")
    length = head.lower().split(b"content-length: ")[1].split(b"\r\n")[0]
    return len(rest), int(length)
