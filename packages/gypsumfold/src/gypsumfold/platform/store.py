"""The client of the platform's store: a log with topics, keys and groups."""

import asyncio
import base64
import collections
import math
import struct
from typing import NamedTuple

import aiohttp
import msgspec

from gypsumfold import clocks
from gypsumfold import exceptions
from gypsumfold.platform import names

# Seconds that a call may take beyond the time that the store was asked to wait.
# The store answers in 4 ms, and in 0.2 s when it is fifty times slower.
CALL_MARGIN_SECONDS = 0.8
# Seconds for which an idle connection is kept: longer than the interval of
# calls that are made once a second, but not much longer, since an idle
# connection may stop responding unnoticed.
IDLE_TIMEOUT_SECONDS = 1.5
NO_TIMEOUT = aiohttp.ClientTimeout(total=None)
# Size limit of one read; the registrations of 2,900 replicas fit in it.
MAX_READ_KB = 1024
# Largest answer: the newest records of a page come in base64.
MAX_ANSWER_BYTES = 8 * 1024 * 1024
# Precedes the records of a page: the topic's end and its first offset.
PAGE_HEADER = struct.Struct(">QQ")
RECORD_LENGTH = struct.Struct(">I")


class Record(NamedTuple):
    """One record of a keyed topic.

    Attributes:
        key: Its key.
        value: Its value; empty if the key was deleted.
        offset: Its position in the log; later records of a key replace earlier
            ones.
    """

    key: str
    value: bytes
    offset: int = 0


class Page(NamedTuple):
    """Result of one read.

    Attributes:
        records: In log order.
        end: The offset of the next record to read.
    """

    records: list[Record]
    end: int


class Membership(NamedTuple):
    """A member's share of a group.

    Attributes:
        generation: Increases with each change of the group.
        parts: Numbers of the partitions that this member holds.
    """

    generation: int
    partitions: frozenset[int]


class HistoryLost(exceptions.PlatformError):
    """The requested records were deleted; read the newest ones instead."""


class ConditionFailed(exceptions.PlatformError):
    """The condition of a write does not hold; nothing was written."""


class AppendAnswer(msgspec.Struct):
    """The answer to an append: the topic's end after it."""

    end: int


class NewestItem(msgspec.Struct):
    """A record of a page of newest records."""

    key: str
    value: str = ""
    offset: int = 0


class NewestPage(msgspec.Struct):
    """A page of newest records."""

    items: list[NewestItem]
    end: int
    more: bool = msgspec.field(name="morePages", default=False)


class JoinAnswer(msgspec.Struct):
    """The answer to a join: rows of topic, partition, offset."""

    generation: int
    parts: list[list] = []


class CallTrace:
    """State of the connection of one call.

    Attributes:
        connection: "no" until there is one, then "new" or "kept" (reused).
    """

    def __init__(self):
        self.connection = "no"


async def _on_connecting(session, context, params) -> None:
    context.trace_request_ctx.connection = "no"


async def _on_connected(session, context, params) -> None:
    context.trace_request_ctx.connection = "new"


async def _on_reused(session, context, params) -> None:
    context.trace_request_ctx.connection = "kept"


def connection_trace() -> aiohttp.TraceConfig:
    """Returns a trace that sets the connection of each `CallTrace`."""
    trace = aiohttp.TraceConfig()
    trace.on_connection_create_start.append(_on_connecting)
    trace.on_connection_create_end.append(_on_connected)
    trace.on_connection_reuseconn.append(_on_reused)
    return trace


class Store:
    """Calls to the store, each with its own timeout.

    >>> store = Store("10.200.1.7:8142")
    >>> page = await store.newest(names.CONFIGURATION_TOPIC)
    """

    def __init__(self, address: str):
        self.address = address
        self.base = f"http://{address}"
        self.margin = CALL_MARGIN_SECONDS
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=16, keepalive_timeout=IDLE_TIMEOUT_SECONDS
            ),
            trace_configs=[connection_trace()],
        )
        # When data was last received, by `clocks.now`.
        self.received_at = -math.inf
        # Number of calls by name, including failed ones.
        self.calls: collections.Counter[str] = collections.Counter()
        self.readers: list[Store] = []

    def reader(self, margin: float) -> "Store":
        """Creates a client for the reads of one topic.

        It shares no connections: a pool could hand out a connection that
        stopped responding while it was idle, just after a read on another
        connection was answered.

        Args:
            margin: Seconds that a call may take beyond the time that the
                store was asked to wait.
        """
        found = Store(self.address)
        found.margin = margin
        found.calls = self.calls
        self.readers.append(found)
        return found

    async def close(self) -> None:
        """Closes all connections."""
        for reader in self.readers:
            await reader.close()
        await self.session.close()

    async def newest(self, topic: str) -> Page:
        """Reads the newest record of each key of a keyed topic.

        Raises:
            exceptions.LogUnavailable: The store does not answer.
            exceptions.RecordInvalid: The answer is malformed.
        """
        records = []
        end = None
        after = ""
        while True:
            query = {"topic": topic, "part": "0"}
            if after:
                query["after"] = after
            body = await self.call("GET", names.NEWEST_PATH, query)
            page = _decode(body, NewestPage)
            # Later pages may hold newer records; records since the first page
            # are read again from the log.
            end = page.end if end is None else min(end, page.end)
            for item in page.items:
                value = base64.b64decode(item.value)
                records.append(Record(item.key, value, item.offset))
            if not page.more or not page.items:
                return Page(records, end)
            after = page.items[-1].key

    async def read(self, topic: str, start: int, wait: float) -> Page:
        """Reads a keyed topic from an offset on; waits for a record if needed.

        Args:
            topic: The topic.
            start: Offset of the first record to read.
            wait: Seconds to wait for it; after that the page may be empty.

        Raises:
            HistoryLost: The offset was deleted, or lies beyond the topic's end.
            exceptions.LogUnavailable: The store does not answer.
            exceptions.RecordInvalid: A record is malformed or missing.
        """
        query = {
            "topic": topic,
            "part": "0",
            "from": str(start),
            "maxKb": str(MAX_READ_KB),
            "waitMs": str(int(wait * 1000)),
        }
        body = await self.call("GET", names.READ_PATH, query, wait=wait)
        if len(body) < PAGE_HEADER.size:
            raise exceptions.RecordInvalid("the page has no offsets")
        records = []
        position = PAGE_HEADER.size
        while position < len(body):
            record, position = _decode_record(body, position)
            offset = start + len(records)
            records.append(record._replace(offset=offset))
        end, first = PAGE_HEADER.unpack_from(body)
        if first > start or end < start:
            raise HistoryLost(f"{topic} has records {first} to {end}")
        if end > start and not records:
            raise exceptions.RecordInvalid(f"{topic} lacks record {start}")
        return Page(records, start + len(records))

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Writes a key of a keyed topic; an empty value deletes it.

        Raises:
            exceptions.LogUnavailable: It may or may not have been written.
        """
        await self.put_all(topic, [(key, value)])

    async def put_all(
        self, topic: str, records: list[tuple[str, bytes]]
    ) -> None:
        """Writes several keys of a keyed topic, all of them or none.

        Raises:
            exceptions.LogUnavailable: They may or may not have been written.
        """
        query = {"topic": topic, "part": "0"}
        data = b"".join(_encode_record(*record) for record in records)
        await self.call("POST", names.APPEND_PATH, query, data)

    async def put_at(
        self, topic: str, key: str, value: bytes, end: int
    ) -> int | None:
        """Writes a key only if the topic still ends at an offset.

        Args:
            topic: The topic.
            key: The key.
            value: Its value.
            end: The offset.

        Returns:
            The topic's new end; None if it ended elsewhere, so that nothing
            was written.

        Raises:
            exceptions.LogUnavailable: It may or may not have been written.
        """
        query = {"topic": topic, "part": "0", "at": str(end)}
        data = _encode_record(key, value)
        try:
            body = await self.call("POST", names.APPEND_PATH, query, data)
        except ConditionFailed:
            return None
        return _decode(body, AppendAnswer).end

    async def join(
        self,
        group: str,
        member: str,
        topic: str,
        session_timeout: float,
        generation: int,
    ) -> Membership:
        """Joins a group or renews the membership.

        Args:
            group: The group.
            member: This member's name.
            topic: The topic whose partitions are divided among members.
            session_timeout: Seconds until a silent member is removed.
            generation: The last generation received; 0 at first.

        Raises:
            exceptions.LogUnavailable: The store does not answer.
        """
        request = {
            "group": group,
            "member": member,
            "topics": [topic],
            "ttlMs": int(session_timeout * 1000),
            "generation": generation,
        }
        body = await self.call("POST", names.JOIN_PATH, {}, request)
        answer = _decode(body, JoinAnswer)
        held = {int(row[1]) for row in answer.parts if row[0] == topic}
        return Membership(answer.generation, frozenset(held))

    async def leave(self, group: str, member: str) -> None:
        """Leaves a group.

        Raises:
            exceptions.LogUnavailable: The store does not answer.
        """
        request = {"group": group, "member": member}
        await self.call("POST", names.LEAVE_PATH, {}, request)

    async def call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        body: dict | bytes | None = None,
        wait: float = 0.0,
    ) -> bytes:
        """Makes one call.

        Raises:
            HistoryLost: The store has deleted the requested records.
            ConditionFailed: The condition of a write does not hold.
            exceptions.ConnectionLost: A reused connection did not answer.
            exceptions.LogUnavailable: The store refused, failed or timed out.
        """
        self.calls[names.STORE_CALL_NAMES[path]] += 1
        trace = CallTrace()
        # The time limits apply to silence: over a slow link a large answer
        # takes longer than the store may take to begin it.
        limit = asyncio.timeout(wait + self.margin)
        parts = []
        size = 0
        try:
            async with (
                limit,
                self.session.request(
                    method,
                    self.base + path,
                    params=query,
                    json=body if isinstance(body, dict) else None,
                    data=body if isinstance(body, bytes) else None,
                    timeout=NO_TIMEOUT,
                    trace_request_ctx=trace,
                ) as response,
            ):
                async for part in response.content.iter_any():
                    parts.append(part)
                    size += len(part)
                    if size > MAX_ANSWER_BYTES:
                        raise exceptions.LogUnavailable(
                            f"{path}: an answer of over {size} bytes"
                        )
                    self.received_at = clocks.now()
                    self.extend(limit)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            failure = exceptions.LogUnavailable
            if trace.connection == "kept":
                failure = exceptions.ConnectionLost
            raise failure(
                f"{path}: {type(error).__name__}: {error} "
                f"({trace.connection} connection)"
            ) from error
        if response.status == 410:
            raise HistoryLost(path)
        if response.status == 412:
            raise ConditionFailed(path)
        if response.status != 200:
            raise exceptions.LogUnavailable(f"{path}: {response.status}")
        return b"".join(parts)

    def extend(self, limit: asyncio.Timeout) -> None:
        """Extends a call's time limit after data was received."""
        now = asyncio.get_running_loop().time()
        limit.reschedule(now + self.margin)


def _encode_record(key: str, value: bytes) -> bytes:
    """Encodes a record of a keyed topic."""
    name = key.encode()
    record = bytes([len(name)]) + name + value
    return RECORD_LENGTH.pack(len(record)) + record


def _decode_record(body: bytes, position: int) -> tuple[Record, int]:
    """Decodes the record at a position; returns it and the next position."""
    if position + RECORD_LENGTH.size >= len(body):
        raise exceptions.RecordInvalid("a record is cut off")
    (length,) = RECORD_LENGTH.unpack_from(body, position)
    position += RECORD_LENGTH.size
    record = body[position : position + length]
    if len(record) < length or not record or len(record) < 1 + record[0]:
        raise exceptions.RecordInvalid("a record is cut off")
    key_end = 1 + record[0]
    key = record[1:key_end].decode(errors="replace")
    return Record(key, record[key_end:]), position + length


def _decode(body: bytes, kind):
    try:
        return msgspec.json.decode(body, type=kind, strict=False)
    except msgspec.DecodeError as error:
        raise exceptions.RecordInvalid(str(error)) from error
