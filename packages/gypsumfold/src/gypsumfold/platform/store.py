"""The client of the platform's store: a log with topics, keys and groups."""

import asyncio
import base64
import collections
from collections.abc import Mapping
import math
import re
import struct
from typing import NamedTuple

import aiohttp
import msgspec

from gypsumfold import clocks
from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold.decisions import eras as eras_module
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
ERA = re.compile(r"[0-9]{1,6}")


class Record(NamedTuple):
    """One record of a keyed topic.

    Attributes:
        key: Its key.
        value: Its value; empty if the key was deleted.
        offset: Its position in the log, with the era (`decisions/eras.py`);
            later records of a key replace earlier ones.
    """

    key: str
    value: bytes
    offset: int = 0


class Page(NamedTuple):
    """Result of one read.

    Attributes:
        records: In log order.
        end: The position of the next record to read.
    """

    records: list[Record]
    end: int


class Membership(NamedTuple):
    """A member's share of a group.

    Attributes:
        generation: Increases with each change of the group, also over the
            store's eras.
        partitions: Numbers of the partitions that this member holds.
    """

    generation: int
    partitions: frozenset[int]


class Answer(NamedTuple):
    """The answer to one call, and the era in which it was given."""

    body: bytes
    era: int


class HistoryLost(exceptions.PlatformError):
    """The requested records are gone; read the newest ones instead.

    They were deleted, or the store has returned from an older copy.
    """


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
        self.eras = eras_module.Eras()

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
        found.eras = self.eras
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
            HistoryLost: The store has returned from a copy between two pages.
            exceptions.LogUnavailable: The store does not answer.
            exceptions.RecordInvalid: The answer is malformed.
        """
        records = []
        era = None
        end = None
        after = ""
        while True:
            query = {"topic": topic, "part": "0"}
            if after:
                query["after"] = after
            answer = await self.call("GET", names.NEWEST_PATH, query)
            if era is not None and answer.era != era:
                raise HistoryLost(f"{topic} is of era {answer.era} now")
            era = answer.era
            page = _decode(answer.body, NewestPage)
            # Later pages may hold newer records; records since the first page
            # are read again from the log.
            end = page.end if end is None else min(end, page.end)
            for item in page.items:
                value = base64.b64decode(item.value)
                position = eras_module.position(era, item.offset)
                records.append(Record(item.key, value, position))
            if not page.more or not page.items:
                return Page(records, eras_module.position(era, end))
            after = page.items[-1].key

    async def read(self, topic: str, start: int, wait: float) -> Page:
        """Reads a keyed topic from a position on; waits for a record if needed.

        Args:
            topic: The topic.
            start: Position of the first record to read.
            wait: Seconds to wait for it; after that the page may be empty.

        Raises:
            HistoryLost: The record was deleted, lies beyond the topic's end, or
                is of another era than the store.
            exceptions.LogUnavailable: The store does not answer.
            exceptions.RecordInvalid: A record is malformed or missing.
        """
        if eras_module.era_of(start) < self.eras.current:
            raise HistoryLost(f"{topic} is of era {self.eras.current} now")
        first_offset = eras_module.offset_of(start)
        query = {
            "topic": topic,
            "part": "0",
            "from": str(first_offset),
            "maxKb": str(MAX_READ_KB),
            "waitMs": str(int(wait * 1000)),
        }
        body, era = await self.call("GET", names.READ_PATH, query, wait=wait)
        if era != eras_module.era_of(start):
            raise HistoryLost(f"{topic} is of era {era} now")
        if len(body) < PAGE_HEADER.size:
            raise exceptions.RecordInvalid("the page has no offsets")
        records = []
        position = PAGE_HEADER.size
        while position < len(body):
            record, position = _decode_record(body, position)
            offset = start + len(records)
            records.append(record._replace(offset=offset))
        end, first = PAGE_HEADER.unpack_from(body)
        if first > first_offset or end < first_offset:
            raise HistoryLost(f"{topic} has records {first} to {end}")
        if end > first_offset and not records:
            raise exceptions.RecordInvalid(
                f"{topic} lacks record {first_offset}"
            )
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
        """Writes a key only if the topic still ends at a position.

        Args:
            topic: The topic.
            key: The key.
            value: Its value.
            end: The position.

        Returns:
            The topic's new end; None if it ended elsewhere, so that nothing
            was written.

        Raises:
            exceptions.LogUnavailable: It may or may not have been written.
        """
        if eras_module.era_of(end) < self.eras.current:
            return None
        offset = eras_module.offset_of(end)
        query = {"topic": topic, "part": "0", "at": str(offset)}
        data = _encode_record(key, value)
        try:
            answer = await self.call("POST", names.APPEND_PATH, query, data)
        except ConditionFailed:
            return None
        if answer.era != eras_module.era_of(end):
            # The offset was met by chance: other records lie before it.
            raise exceptions.LogUnavailable(
                f"{topic} was written in era {answer.era}"
            )
        found = _decode(answer.body, AppendAnswer)
        return eras_module.position(answer.era, found.end)

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
            "generation": eras_module.generation_of(
                generation, self.eras.current
            ),
        }
        body, era = await self.call("POST", names.JOIN_PATH, {}, request)
        answer = _decode(body, JoinAnswer)
        held = {int(row[1]) for row in answer.parts if row[0] == topic}
        return Membership(
            eras_module.token(era, answer.generation), frozenset(held)
        )

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
    ) -> Answer:
        """Makes one call.

        Any answer tells the store's era, also one that refuses the call.

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
        era = self.eras.observe(read_era(response.headers))
        if era is None:
            events.log(events.STORE_ERA_REJECTED, reason=f"{path}: earlier")
            raise exceptions.LogUnavailable(f"{path}: of an earlier era")
        if response.status == 410:
            raise HistoryLost(path)
        if response.status == 412:
            raise ConditionFailed(path)
        if response.status != 200:
            raise exceptions.LogUnavailable(f"{path}: {response.status}")
        return Answer(b"".join(parts), era)

    def extend(self, limit: asyncio.Timeout) -> None:
        """Extends a call's time limit after data was received."""
        now = asyncio.get_running_loop().time()
        limit.reschedule(now + self.margin)


def read_era(headers: Mapping[str, str]) -> int | None:
    """Returns the era that an answer names; None if none can be read."""
    value = headers.get(names.STORE_ERA)
    if value is None:
        return None
    if ERA.fullmatch(value.strip()) is None:
        events.log(events.STORE_ERA_REJECTED, reason=value[:40])
        return None
    era = int(value)
    return era if era <= eras_module.MAX_ERA else None


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
