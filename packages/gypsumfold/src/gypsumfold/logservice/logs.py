"""The client of the platform's append-only log, and a reader of streams."""

import asyncio
from collections.abc import Callable
import math
import random
from typing import Any
from typing import NamedTuple
from typing import Protocol

import aiohttp
import msgspec

from gypsumfold import clocks
from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold import settings as settings_module
from gypsumfold.logservice import records

# Time that a read waits in the log for the next record; below the client's
# timeout (settings.platform.timeout, 2 s by default).
READ_WAIT_SECONDS = 1.0
# Delay until a failed read is retried, plus up to as much again at random, so
# that six nodes do not retry at the same time.
READ_RETRY_SECONDS = 0.25


class Page(NamedTuple):
    """Result of one read.

    Attributes:
        first: The lowest offset that the log still has.
        end: One above the highest offset.
        entries: In order of offset.
    """

    first: int
    end: int
    entries: tuple[records.Entry, ...]


class Log(Protocol):
    """The log service. It offers no compare-and-append."""

    async def append(self, stream: str, batch: list[tuple]) -> int:
        """Appends one batch and returns its offset.

        Raises:
            exceptions.LogUnavailable: Nothing was appended.
            exceptions.AppendUndetermined: It may have been appended.
        """

    async def read(self, stream: str, start: int, wait: float) -> Page:
        """Reads from an offset on; waits some seconds for a record if needed.

        Raises:
            exceptions.LogUnavailable: The log does not answer.
        """


class _WireEntry(msgspec.Struct):
    offset: int
    time: float
    body: str


class _WirePage(msgspec.Struct):
    first: int
    end: int
    entries: list[_WireEntry]


class _WireAppended(msgspec.Struct):
    offset: int


class HTTPLog:
    """The log service over HTTP (docs/PROTOCOLS.md).

    >>> log = HTTPLog(settings.platform, session)
    >>> offset = await log.append(records.CONFIG, [change])
    """

    def __init__(
        self,
        settings: settings_module.PlatformSection,
        session: aiohttp.ClientSession,
    ):
        self.settings = settings
        self.session = session

    async def append(self, stream: str, batch: list[tuple]) -> int:
        """Appends one batch; see `Log.append`."""
        body = records.encode(batch)
        url = f"{self.settings.log}/streams/{stream}/records"
        limit = aiohttp.ClientTimeout(total=self.settings.timeout)
        try:
            async with self.session.post(
                url, data=body, timeout=limit
            ) as answer:
                content = await answer.read()
                if answer.status in (429, 503):
                    raise exceptions.LogUnavailable(f"status {answer.status}")
                if answer.status != 200:
                    raise exceptions.AppendUndetermined(
                        f"status {answer.status}"
                    )
        except aiohttp.ClientConnectorError as error:
            raise exceptions.LogUnavailable(str(error)) from error
        except (aiohttp.ClientError, TimeoutError) as error:
            raise exceptions.AppendUndetermined(repr(error)) from error
        try:
            return msgspec.json.decode(content, type=_WireAppended).offset
        except msgspec.DecodeError as error:
            raise exceptions.AppendUndetermined(str(error)) from error

    async def read(self, stream: str, start: int, wait: float) -> Page:
        """Reads from an offset on; see `Log.read`."""
        url = f"{self.settings.log}/streams/{stream}/records"
        limit = aiohttp.ClientTimeout(total=self.settings.timeout + wait)
        query = {"from": str(start), "wait": str(wait)}
        try:
            async with self.session.get(
                url, params=query, timeout=limit
            ) as answer:
                content = await answer.read()
                if answer.status != 200:
                    raise exceptions.LogUnavailable(f"status {answer.status}")
            page = msgspec.json.decode(content, type=_WirePage)
        except (aiohttp.ClientError, TimeoutError) as error:
            raise exceptions.LogUnavailable(repr(error)) from error
        except msgspec.DecodeError as error:
            raise exceptions.LogUnavailable(str(error)) from error
        entries = [decode_entry(stream, wire) for wire in page.entries]
        return Page(page.first, page.end, tuple(entries))


def decode_entry(stream: str, wire: _WireEntry) -> records.Entry:
    """Decodes an entry; a malformed one is returned without records.

    All nodes skip it in the same way. Retrying it instead would block the
    stream on every node for as long as the log keeps the entry.
    """
    try:
        decoded = records.decode(wire.body.encode())
    except exceptions.RecordInvalid as error:
        events.log(
            events.RECORD_SKIPPED,
            stream=stream,
            offset=wire.offset,
            reason=str(error),
        )
        decoded = ()
    return records.Entry(wire.offset, wire.time, decoded)


class Tail:
    """Follows one stream and passes each entry to its subscribers in order.

    Attributes:
        next_offset: The offset to read next.
        caught_up: Set once the end is reached for the first time.
        healthy: Whether the last read was answered.
        last_seen: When the last answered read was sent, by `clocks.now`; 0
            before the first answer.
        lost_at: When a read failed after one was answered, by `clocks.now`.
        end: One above the highest offset in the last answer.
        end_listeners: Called when the stream's end is read, with the time
            (`clocks.now`) at which the read was sent.

    >>> tail = Tail(log, records.CLAIMS)
    >>> tail.subscribe(claims.apply)
    >>> await tail.wait_until_delivered(offset)  # own append is read back
    """

    def __init__(
        self,
        log: Log,
        stream: str,
        start: int = 0,
        wait: float = READ_WAIT_SECONDS,
    ):
        self.log = log
        self.stream = stream
        self.next_offset = start
        self.wait = wait
        self.caught_up = asyncio.Event()
        self.healthy = False
        self.last_seen = 0.0
        self.lost_at = -math.inf
        self.end = 0
        self.subscribers: list[Callable[[records.Entry], Any]] = []
        self.gap_listeners: list[Callable[[int, int], Any]] = []
        self.end_listeners: list[Callable[[float], Any]] = []
        self.advanced = asyncio.Condition()

    def subscribe(
        self,
        entry: Callable[[records.Entry], Any],
        gap: Callable[[int, int], Any] | None = None,
    ) -> None:
        """Adds a subscriber; must be called before `run`.

        Args:
            entry: Called with each entry, in order of offset.
            gap: Called with the offset to read next and the first one that
                the log still has, if the log has deleted entries between.
        """
        self.subscribers.append(entry)
        if gap is not None:
            self.gap_listeners.append(gap)

    async def wait_until_delivered(self, offset: int) -> None:
        """Waits until the entry at an offset is delivered to subscribers."""
        async with self.advanced:
            await self.advanced.wait_for(lambda: self.next_offset > offset)

    async def run(self) -> None:
        """Reads for as long as the node runs."""
        while True:
            # A starting node does not wait: it must know at once whether it
            # has reached the end.
            wait = self.wait if self.caught_up.is_set() else 0.0
            asked = clocks.now()
            try:
                page = await self.log.read(self.stream, self.next_offset, wait)
            except exceptions.LogUnavailable as error:
                self.set_health(False, repr(error))
                await asyncio.sleep(READ_RETRY_SECONDS * (1 + random.random()))
                continue
            # An answer that is read after this process was paused may be
            # old, but not older than its request.
            self.last_seen = asked
            self.set_health(True, "")
            await self.deliver(page)
            if self.next_offset < page.end:
                continue
            for end in self.end_listeners:
                end(asked)

    async def deliver(self, page: Page) -> None:
        """Passes a page's entries to subscribers and wakes waiting tasks."""
        self.end = page.end
        if page.first > self.next_offset:
            for gap in self.gap_listeners:
                gap(self.next_offset, page.first)
            self.next_offset = page.first
        for entry in page.entries:
            if entry.offset < self.next_offset:
                continue
            for subscriber in self.subscribers:
                subscriber(entry)
            self.next_offset = entry.offset + 1
        if self.next_offset >= page.end:
            self.caught_up.set()
        if page.entries or page.first:
            async with self.advanced:
                self.advanced.notify_all()

    def set_health(self, healthy: bool, reason: str) -> None:
        """Records whether the log answers and logs an event on each change."""
        if healthy == self.healthy:
            return
        self.healthy = healthy
        if healthy:
            events.log(events.LOG_UP, stream=self.stream)
        else:
            self.lost_at = clocks.now()
            events.log(events.LOG_DOWN, stream=self.stream, reason=reason)
