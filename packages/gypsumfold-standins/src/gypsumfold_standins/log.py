"""Stand-in of the platform's append-only log service."""

import asyncio
import collections
import time
from typing import NamedTuple

from aiohttp import web
import click
import msgspec

from gypsumfold_standins import serving

# From docs/PROTOCOLS.md.
RECORD_BYTES = 256 * 1024
PAGE_ENTRIES = 512
# Seconds of the rate that may come at once; a service that counts in quarter
# seconds would do this.
BURST = 0.25


class Entry(NamedTuple):
    """One record with its offset and the time at which it was taken."""

    offset: int
    time: float
    body: str


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Switches for tests.

    Attributes:
        rate: Appends a second over all streams.
        retention: Seconds that a record is kept; 0 for ever.
        keep: Records kept in a stream; 0 for all.
        appends_down: Appends are answered with 503.
        reads_down: Reads are answered with 503.
        hang: Nothing is answered any more, nothing is appended.
        delay: Seconds before each append and each read.
        lost_answers: Of so many next appends, the answer is lost after they
            took effect.
        lost_requests: So many next appends are lost before they take effect.
        match: The two above only count appends that contain this text.
    """

    rate: float = 400.0
    retention: float = 0.0
    keep: int = 0
    appends_down: bool = False
    reads_down: bool = False
    hang: bool = False
    delay: float = 0.0
    lost_answers: int = 0
    lost_requests: int = 0
    match: str = ""


class Stream:
    """The records of one stream.

    >>> stream = Stream()
    >>> stream.append("x", now=1.0)
    0
    """

    def __init__(self):
        self.first = 0
        self.entries: collections.deque[Entry] = collections.deque()
        self.moved = asyncio.Event()

    @property
    def end(self) -> int:
        """One above the highest offset."""
        return self.first + len(self.entries)

    def append(self, body: str, now: float) -> int:
        """Adds a record, wakes the readers and returns the offset."""
        offset = self.end
        self.entries.append(Entry(offset, now, body))
        self.moved.set()
        self.moved = asyncio.Event()
        return offset

    def forget(self, faults: Faults, now: float) -> None:
        """Drops what the retention no longer covers."""
        while self.entries:
            old = faults.retention and (
                self.entries[0].time < now - faults.retention
            )
            many = faults.keep and len(self.entries) > faults.keep
            if not (old or many):
                return
            self.entries.popleft()
            self.first += 1

    def page(self, start: int) -> list[Entry]:
        """Lists the next entries from an offset on."""
        skip = max(start - self.first, 0)
        stop = min(skip + PAGE_ENTRIES, len(self.entries))
        return [self.entries[index] for index in range(skip, stop)]


class Log:
    """The service's state and its handlers."""

    def __init__(self, faults: Faults):
        self.faults = faults
        self.streams: dict[str, Stream] = collections.defaultdict(Stream)
        self.allowance = faults.rate * BURST
        self.counted = time.monotonic()
        self.appends = 0
        self.refused = 0

    def allowed(self) -> bool:
        """Takes one append out of the token bucket, if there is one."""
        now = time.monotonic()
        burst = max(self.faults.rate * BURST, 1.0)
        self.allowance += (now - self.counted) * self.faults.rate
        self.allowance = min(self.allowance, burst)
        self.counted = now
        if self.allowance < 1.0:
            self.refused += 1
            return False
        self.allowance -= 1.0
        return True

    async def wait_for_faults(self) -> None:
        """Waits as the switches say."""
        await serving.while_true(lambda: self.faults.hang)
        if self.faults.delay:
            await asyncio.sleep(self.faults.delay)

    def loses(self, field: str, body: str) -> bool:
        """Counts one of the losses down if it applies to this append."""
        left = getattr(self.faults, field)
        if not left or self.faults.match not in body:
            return False
        setattr(self.faults, field, left - 1)
        return True

    async def append(self, request: web.Request) -> web.Response:
        """``POST /streams/{stream}/records``."""
        try:
            body = (await request.read()).decode()
        except UnicodeDecodeError:
            return serving.answer({"reason": "no UTF-8"}, status=400)
        await self.wait_for_faults()
        if self.faults.appends_down:
            return serving.answer({"reason": "outage"}, status=503)
        if len(body) > RECORD_BYTES:
            return serving.answer({"reason": "record too long"}, status=413)
        if self.loses("lost_requests", body):
            return serving.drop(request)
        if not self.allowed():
            return serving.answer({"reason": "over the rate"}, status=429)
        self.appends += 1
        stream = self.streams[request.match_info["stream"]]
        offset = stream.append(body, time.time())
        if self.loses("lost_answers", body):
            return serving.drop(request)
        return serving.answer({"offset": offset})

    async def read(self, request: web.Request) -> web.Response:
        """``GET /streams/{stream}/records``."""
        start = int(request.query.get("from", "0"))
        limit = time.monotonic() + float(request.query.get("wait", "0"))
        await self.wait_for_faults()
        stream = self.streams[request.match_info["stream"]]
        while start >= stream.end and not self.faults.reads_down:
            left = limit - time.monotonic()
            if left <= 0:
                break
            moved = stream.moved
            try:
                await asyncio.wait_for(moved.wait(), min(left, 0.1))
            except TimeoutError:
                continue
        if self.faults.hang:
            await self.wait_for_faults()
        if self.faults.reads_down:
            return serving.answer({"reason": "outage"}, status=503)
        stream.forget(self.faults, time.time())
        entries = stream.page(start)
        page = [entry._asdict() for entry in entries]
        return serving.answer(
            {"first": stream.first, "end": stream.end, "entries": page}
        )

    async def records(self, request: web.Request) -> web.Response:
        """``GET /_test/records``: all that is kept, by stream."""
        found = {}
        for name, stream in self.streams.items():
            found[name] = [entry._asdict() for entry in stream.entries]
        return serving.answer(
            {
                "streams": found,
                "appends": self.appends,
                "refused": self.refused,
            }
        )


def application(log: Log) -> web.Application:
    """Makes the application that serves a log."""
    app = serving.new_application()
    app.router.add_post("/streams/{stream}/records", log.append)
    app.router.add_get("/streams/{stream}/records", log.read)
    app.router.add_get("/_test/records", log.records)
    serving.add_faults(app, log.faults)
    return app


@click.command()
@serving.ADDRESS
@serving.PORT
@click.option("--rate", default=400.0, help="Appends a second.")
@click.option("--retention", default=0.0, help="Seconds; 0 for ever.")
@click.option("--keep", default=0, help="Records a stream; 0 for all.")
def main(
    address: str, port: int, rate: float, retention: float, keep: int
) -> None:
    """Run a stand-in of the log service."""
    faults = Faults(rate=rate, retention=retention, keep=keep)
    serving.run(serving.serve(application(Log(faults)), address, port))


if __name__ == "__main__":
    main()
