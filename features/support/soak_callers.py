"""Callers of the soak: kept connections, and how each request ended."""

import http.client
import random
import time
from typing import NamedTuple

from features.support import gateways
from features.support import stream_readers
from gypsumfold.platform import names

# Seconds that a caller waits for an answer: a frozen gateway gives none.
WAIT = 4.0
# Events of a stand-in's stream.
EVENTS = 5
# Share of streams whose caller loses its connection after the first events.
LEAVING_SHARE = 0.4
# What callers ask for; "stream" marks routes that answer with events.
HOLD, LOOK_UP = "/seats/1", "/lookups/1"
BRIEF, SWAP = "/briefs/stream", "/swaps/stream"
PATHS = (HOLD, LOOK_UP, BRIEF, SWAP)
REPEATABLE = (LOOK_UP, SWAP)


class Ask(NamedTuple):
    """One request and how it ended for its caller.

    Attributes:
        attempt: Its id.
        gateway: Which gateway took it.
        path: Its route's prefix.
        status: HTTP status; 0 where no answer came.
        whole: Whether the answer ended as complete.
        sealed: Whether a replica vouches for it, for this attempt.
        body: What came.
        events: Whole events that came, by id and version.
        is_take_up: Whether it took a stream up.
        at: When it was sent.
    """

    attempt: str
    gateway: str
    path: str
    status: int
    whole: bool
    sealed: bool
    body: bytes
    events: tuple[tuple[int, str], ...] = ()
    is_take_up: bool = False
    at: float = 0.0


class Stream(NamedTuple):
    """A stream over all attempts of its caller.

    Attributes:
        asks: The attempts; the first one brought the first event.
    """

    asks: list[Ask]

    def events(self) -> list[tuple[int, str]]:
        """The events of all attempts."""
        found = []
        for ask in self.asks:
            found += ask.events
        return found


class Caller:
    """A caller that keeps one connection to each gateway while it lasts."""

    def __init__(self, fleet: gateways.GatewayFleet, rng: random.Random):
        self.fleet = fleet
        self.random = rng
        self.kept: dict[str, http.client.HTTPConnection] = {}

    def ask(
        self,
        gateway: str,
        path: str,
        stream_begun: Stream | None = None,
        part: str = "",
    ) -> Ask:
        """Sends one request and reads what comes of it.

        Args:
            gateway: Where.
            path: What for.
            stream_begun: A stream that broke off and is taken up.
            part: Part of the prompt besides those of all others.
        """
        sent_at = time.monotonic()
        stream = "stream" in path
        number = self.random.randrange(40)
        chain = f"aa:4000,{number:x}:300" if stream else ""
        if part:
            chain = f"aa:4000,{part}:200,{self.random.randrange(1 << 40):x}:300"
        sent = gateways.headers(WAIT, chain, stream)
        attempt = sent[names.ATTEMPT]
        if stream_begun is not None:
            sent[names.RESUMES] = stream_begun.asks[0].attempt
            sent[names.LAST_EVENT] = str(stream_begun.events()[-1][0])
        method, body = ("GET", None) if path == LOOK_UP else ("POST", b"x")
        status, whole, sealed, data = 0, False, False, b""
        connection = self.kept.pop(gateway, None) or self.connect(gateway)
        try:
            connection.request(method, path, body, sent)
            response = connection.getresponse()
            status = response.status
            seal = response.headers.get(names.SEAL, "")
            sealed = seal.endswith(f".{attempt}")
            leaves = path == SWAP and self.random.random() < LEAVING_SHARE
            while piece := response.read1(65536):
                data += piece
                if leaves and stream_readers.EVENT.search(data):
                    break
            else:
                whole = True
                # The next answer on the connection could not be read else.
                response.close()
                if not response.will_close:
                    self.kept[gateway] = connection
        except http.client.IncompleteRead as error:
            data += error.partial
        except (OSError, http.client.HTTPException):
            pass
        if gateway not in self.kept:
            connection.close()
        events = []
        for event, version in stream_readers.EVENT.findall(data):
            events.append((int(event), version.decode()))
        return Ask(
            attempt,
            gateway,
            path,
            status,
            whole,
            sealed,
            data,
            tuple(events),
            stream_begun is not None,
            sent_at,
        )

    def connect(self, gateway: str) -> http.client.HTTPConnection:
        """Opens a connection, which fails with its first request if ever."""
        process = self.fleet[gateway]
        return http.client.HTTPConnection(
            process.host, gateways.FRONT_PORT, timeout=WAIT + 1.0
        )

    def close(self) -> None:
        """Closes the kept connections."""
        for connection in self.kept.values():
            connection.close()


def in_order(body: bytes) -> bool:
    """Whether a stream has all of its events, once each and in order."""
    found = []
    for line in body.splitlines():
        if line.startswith(b"id: "):
            found.append(int(line[4:]))
    return found == list(range(1, EVENTS + 1))
