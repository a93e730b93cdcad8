"""Steps on single callers that stay within the operators' limits."""

import gzip
import hashlib
import http.client
import socket
import time
import uuid

import behave
from features.support import crowds
from features.support import gateway_calls as callers
from features.support import gateways
from features.support import http as calling

from gypsumfold.platform import names

# Seconds between two pieces of what is sent slowly.
PAUSE = 0.2
TIMEOUT = 20.0
PATH = "/lookups/1"


class Caller:
    """One caller on a connection of its own.

    Attributes:
        headers: What it sends, under an id of its own.
        body: The body as it is sent.
    """

    def __init__(self, context):
        context.caller = self
        address = (context.gateway.host, gateways.FRONT_PORT)
        self.sock = socket.create_connection(address, timeout=TIMEOUT)
        context.add_cleanup(self.sock.close)
        self.begin()

    def begin(self) -> None:
        """Begins another request."""
        self.headers = gateways.headers(TIMEOUT)
        self.headers[names.ATTEMPT] = uuid.uuid4().hex[:16]
        self.body = b""

    def head(self, *fields: str) -> bytes:
        """The head of its request."""
        lines = [f"POST {PATH} HTTP/1.1"]
        for name, value in self.headers.items():
            lines.append(f"{name}: {value}")
        return "\r\n".join([*lines, *fields, "", ""]).encode()

    def with_length(self, body: bytes, *fields: str) -> bytes:
        """The head of a request whose body has a length."""
        self.body = body
        return self.head(f"Content-Length: {len(body)}", *fields)

    def send(self, data: bytes) -> None:
        """Sends bytes."""
        self.sock.sendall(data)

    def send_slowly(self, data: bytes, seconds: float) -> None:
        """Sends bytes in pieces over some time."""
        pieces = max(1, int(seconds / PAUSE))
        size = -(-len(data) // pieces)
        for start in range(0, len(data), size):
            self.send(data[start : start + size])
            time.sleep(PAUSE)

    def read(self) -> calling.Answer:
        """Reads the answer."""
        response = http.client.HTTPResponse(self.sock, method="POST")
        response.begin()
        body = response.read()
        found = {k.lower(): v for k, v in response.getheaders()}
        return calling.Answer(response.status, found, body)


def fields(count: int) -> list[str]:
    """As many short fields as, with the caller's own, give a count."""
    return [f"f{number}:" for number in range(count - 4)]


@behave.when("a caller sends a request with the largest body")
def step_largest(context):
    caller = Caller(context)
    body = b"x" * crowds.MAX_BODY
    caller.send(caller.with_length(body) + body)


@behave.when("a caller sends a request with a body that takes {seconds:g} s")
def step_slow_body(context, seconds):
    caller = Caller(context)
    body = b"x" * 200
    caller.send(caller.with_length(body))
    caller.send_slowly(body, seconds)


@behave.when("a caller sends a request with a body in chunks of one byte")
def step_tiny_chunks(context):
    caller = Caller(context)
    caller.body = b"x" * 60000
    caller.send(caller.head("Transfer-Encoding: chunked"))
    caller.send(b"1\r\nx\r\n" * 60000 + b"0\r\n\r\n")


@behave.when("a caller sends a request with a head that takes {seconds:g} s")
def step_slow_head(context, seconds):
    caller = Caller(context)
    caller.send_slowly(caller.with_length(b""), seconds)


@behave.when("a caller sends a request with {count:d} short fields")
def step_fields(context, count):
    caller = Caller(context)
    caller.send(caller.with_length(b"", *fields(count)))


@behave.when("a caller sends a request with the largest head")
def step_largest_head(context):
    caller = Caller(context)
    size = len(caller.with_length(b"", "padding: "))
    padding = "x" * (crowds.MAX_HEADER - size)
    caller.send(caller.with_length(b"", f"padding: {padding}"))


@behave.when("a caller sends a request with a compressed body")
def step_compressed(context):
    caller = Caller(context)
    body = gzip.compress(b"aisle " * 1000)
    caller.send(caller.with_length(body, "Content-Encoding: gzip") + body)


@behave.when(
    "a caller uses a connection again after {seconds:g} s, three times"
)
def step_again(context, seconds):
    caller = Caller(context)
    for _ in range(3):
        caller.begin()
        caller.send(caller.with_length(b"seat") + b"seat")
        assert caller.read().status == 200
        time.sleep(seconds)
    caller.begin()
    caller.send(caller.with_length(b"seat") + b"seat")


@behave.when(
    "the gateway is frozen for {seconds:g} s while the rest of {what} comes"
)
def step_frozen(context, seconds, what):
    caller = Caller(context)
    if what == "the next request":
        caller.send(caller.with_length(b""))
        assert caller.read().status == 200
        caller.begin()
    data = caller.with_length(b"seat") + b"seat"
    cut = {"a head": 30, "a body": len(data) - 2, "the next request": 0}[what]
    caller.send(data[:cut])
    time.sleep(PAUSE)
    context.gateway.freeze()
    caller.send(data[cut:])
    time.sleep(seconds)
    context.gateway.thaw()


@behave.then("its answer is the replica's and its body has run unchanged")
def step_served(context):
    caller = context.caller
    callers.sealed(caller.headers, caller.read())
    (run,) = callers.runs_of(context, caller.headers[names.ATTEMPT])
    assert run[1]["body"] == hashlib.sha256(caller.body).hexdigest()
