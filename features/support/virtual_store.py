"""The platform's store and each gateway's path to it, under virtual time."""

import asyncio
import collections
from collections.abc import Callable
import json
import random
from typing import Any

from gypsumfold import exceptions
from gypsumfold.decisions import eras as eras_module
from gypsumfold.platform import names
from gypsumfold.platform import store as store_module

# Seconds that a call takes.
CALL = 0.004
# Seconds between two looks of a call that waits at the store.
LOOK = 0.01


# Topics that operators and replicas write, again after a drill.
OUTSIDE_TOPICS = (names.CONFIGURATION_TOPIC, names.REGISTRATIONS_TOPIC)


class Log:
    """The store's topics, as their records came.

    Attributes:
        era: How often it has come back from an older copy.
        clock: The time, to tell what a copy lacks.
        written_at: When each record of a topic was written.
        generations: When the group changed, and its generation from then on.
    """

    def __init__(self):
        self.topics: dict[str, list[store_module.Record]] = {}
        self.joined: dict[str, float] = {}
        self.generation = 1
        self.era = 1
        self.clock: Callable[[], float] = lambda: 0.0
        self.written_at: dict[str, list[float]] = {}
        self.joined_at: dict[str, float] = {}
        self.generations: list[tuple[float, int]] = [(0.0, 1)]
        # Offset of the first record of a topic whose history is left.
        self.first: dict[str, int] = {}

    def go_back(self, seconds: float) -> list[tuple[str, str, Any]]:
        """Returns to a copy that is some seconds old.

        Returns:
            Topic, key and value of what operators and replicas write again.
        """
        before = self.clock() - seconds
        self.era += 1
        again = []
        for topic, records in self.topics.items():
            times = self.written_at[topic]
            kept = sum(at <= before for at in times)
            lost = {record.key: record for record in records[kept:]}
            del records[kept:]
            del times[kept:]
            if topic not in OUTSIDE_TOPICS:
                continue
            for record in lost.values():
                value = json.loads(record.value) if record.value else None
                again.append((topic, record.key, value))
        while len(self.generations) > 1 and self.generations[-1][0] > before:
            self.generations.pop()
        self.generation = self.generations[-1][1]
        for member, at in list(self.joined_at.items()):
            if at > before:
                self.joined.pop(member, None)
                del self.joined_at[member]
        return again

    def write_again(self, topic: str, key: str, value: Any, since: float):
        """Writes what a copy lacked, unless there is a newer value."""
        records = self.topics.get(topic, [])
        for record, at in zip(records, self.written_at[topic], strict=True):
            if record.key == key and at >= since:
                return
        self.write(topic, key, value)

    def change_group(self) -> None:
        """Begins a new generation of the group."""
        self.generation += 1
        self.generations.append((self.clock(), self.generation))

    def join(self, member: str, life: float, now: float) -> bool:
        """Takes a member into the group; whether it holds its partition."""
        if member not in self.joined:
            self.change_group()
            self.joined_at[member] = self.clock()
        self.joined[member] = now + life
        for name, until in list(self.joined.items()):
            if until < now:
                del self.joined[name]
                self.joined_at.pop(name, None)
                self.change_group()
        return member == next(iter(self.joined))

    def leave(self, member: str) -> None:
        """Takes a member out of the group."""
        if self.joined.pop(member, None) is not None:
            self.joined_at.pop(member, None)
            self.change_group()

    def divide(self) -> None:
        """Gives the partition to the next member without being asked."""
        if self.joined:
            first = next(iter(self.joined))
            self.joined[first] = self.joined.pop(first)
            self.change_group()

    def entered(self, topic: str) -> set[str]:
        """The keys of a topic that have a value."""
        return {record.key for record in self.newest(topic).records}

    def write(self, topic: str, key: str, value: Any) -> None:
        """Appends a record; None drops its key."""
        records = self.topics.setdefault(topic, [])
        body = b"" if value is None else json.dumps(value).encode()
        records.append(store_module.Record(key, body, len(records)))
        self.written_at.setdefault(topic, []).append(self.clock())

    def forget(self, topic: str) -> None:
        """Deletes a topic's history; the newest record of each key stays."""
        self.first[topic] = len(self.topics.get(topic, []))

    def newest(self, topic: str) -> store_module.Page:
        """The newest record of each key that has one."""
        records = self.topics.get(topic, [])
        found = {record.key: record for record in records}
        page = [record for record in found.values() if record.value]
        return store_module.Page(page, len(records))

    def since(self, topic: str, start: int) -> store_module.Page:
        """The records from an offset on.

        Raises:
            store_module.HistoryLost: The topic ends before it, or its history
                was deleted.
        """
        records = self.topics.get(topic, [])
        if start > len(records) or start < self.first.get(topic, 0):
            raise store_module.HistoryLost("410")
        return store_module.Page(records[start:], max(start, len(records)))


class Connection:
    """One connection to the store.

    Attributes:
        silent: Whether nothing comes on it any more.
        kept: Whether a call was answered on it.
        idle_since: When it was last given back.
    """

    def __init__(self):
        self.silent = False
        self.kept = False
        self.idle_since = 0.0


class Path:
    """One gateway's path to the store, with all of its connections.

    Attributes:
        silent: Whether nothing comes back, as where packets are dropped.
        refuses: Whether each call is refused.
    """

    def __init__(self):
        self.silent = False
        self.refuses = False
        self.in_use: dict[Connection, bool] = {}
        self.idle: list[collections.deque[Connection]] = []

    def cut(self) -> None:
        """Falls silent; a call of before stays without an answer."""
        self.silent = True
        for connection in self.in_use:
            connection.silent = True

    def silence(self, share: float, rng: random.Random) -> None:
        """Lets a share of the open connections carry nothing any more."""
        connections = list(self.in_use)
        for idle in self.idle:
            connections += idle
        for connection in connections:
            if rng.random() < share:
                connection.silent = True


class Store:
    """One client of the store with its own connections.

    An idle connection is used again like in the HTTP client: the one that was
    idle longest first.
    """

    def __init__(self, log: Log, path: Path):
        self.log = log
        self.path = path
        self.margin = store_module.CALL_MARGIN_SECONDS
        self.idle: collections.deque[Connection] = collections.deque()
        path.idle.append(self.idle)
        self.calls: collections.Counter[str] = collections.Counter()
        self.received_at = float("-inf")
        self.eras = eras_module.Eras()

    def reader(self, margin: float) -> "Store":
        """Makes a client with connections of its own."""
        found = Store(self.log, self.path)
        found.margin = margin
        found.calls = self.calls
        found.eras = self.eras
        return found

    def take(self, now: float) -> Connection:
        """Finds an idle connection or opens one."""
        while self.idle:
            connection = self.idle.popleft()
            if now - connection.idle_since <= store_module.IDLE_TIMEOUT_SECONDS:
                return connection
        return Connection()

    async def call(self, answer: Callable[[bool], Any], wait: float = 0.0):
        """Makes one call.

        Args:
            answer: Gives the answer; None where it is still to wait. It is
                told whether the wait is over.
            wait: Seconds for which the store may wait.

        Raises:
            exceptions.LogUnavailable: It refused or was silent.
        """
        loop = asyncio.get_running_loop()
        started = loop.time()
        connection = self.take(started)
        self.path.in_use[connection] = True
        try:
            found = await self.answered(connection, answer, started, wait)
        finally:
            del self.path.in_use[connection]
        connection.kept = True
        connection.idle_since = loop.time()
        self.idle.append(connection)
        return found

    async def answered(
        self,
        connection: Connection,
        answer: Callable[[bool], Any],
        started: float,
        wait: float,
    ):
        """Waits for the answer to a call on one connection."""
        loop = asyncio.get_running_loop()
        era = self.log.era
        await asyncio.sleep(CALL)
        if self.path.refuses:
            raise exceptions.LogUnavailable("503")
        while loop.time() < started + wait + self.margin:
            if self.log.era != era:
                raise exceptions.LogUnavailable("the connection was reset")
            if not self.path.silent and not connection.silent:
                self.eras.observe(era)
                found = answer(loop.time() >= started + wait)
                if found is not None:
                    return found
            await asyncio.sleep(LOOK)
        if connection.kept:
            raise exceptions.ConnectionLost("TimeoutError")
        raise exceptions.LogUnavailable("TimeoutError")

    async def newest(self, topic: str) -> store_module.Page:
        """Reads the newest record of each key."""
        return await self.call(lambda over: self.placed(self.log.newest(topic)))

    async def read(
        self, topic: str, start: int, wait: float
    ) -> store_module.Page:
        """Reads from an offset on."""

        def answer(over: bool) -> store_module.Page | None:
            if eras_module.era_of(start) != self.log.era:
                raise store_module.HistoryLost(f"era {self.log.era}")
            page = self.log.since(topic, eras_module.offset_of(start))
            page = self.placed(page)
            return page if page.records or over else None

        return await self.call(answer, wait)

    def placed(self, page: store_module.Page) -> store_module.Page:
        """Adds the era to the offsets of a page."""
        records = []
        for record in page.records:
            offset = eras_module.position(self.log.era, record.offset)
            records.append(record._replace(offset=offset))
        end = eras_module.position(self.log.era, page.end)
        return store_module.Page(records, end)

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Writes a key."""

        def answer(over: bool) -> bool:
            self.log.write(topic, key, json.loads(value) if value else None)
            return True

        await self.call(answer)

    async def put_all(
        self, topic: str, records: list[tuple[str, bytes]]
    ) -> None:
        """Writes several keys."""

        def answer(over: bool) -> bool:
            for key, value in records:
                self.log.write(topic, key, json.loads(value) if value else None)
            return True

        await self.call(answer)

    async def put_at(
        self, topic: str, key: str, value: bytes, end: int
    ) -> int | None:
        """Writes a key if the topic ends at an offset."""

        def answer(over: bool) -> int:
            if self.placed(self.log.newest(topic)).end != end:
                return -1
            self.log.write(topic, key, json.loads(value))
            return end + 1

        found = await self.call(answer)
        return None if found < 0 else found

    async def join(
        self, group: str, member: str, topic: str, life: float, generation: int
    ) -> store_module.Membership:
        """Joins a group; the first of those that renew holds its partition."""
        loop = asyncio.get_running_loop()

        def answer(over: bool) -> store_module.Membership:
            holds = self.log.join(member, life, loop.time())
            return store_module.Membership(
                eras_module.token(self.log.era, self.log.generation),
                frozenset([0] if holds else []),
            )

        return await self.call(answer)

    async def leave(self, group: str, member: str) -> None:
        """Leaves a group."""

        def answer(over: bool) -> bool:
            self.log.leave(member)
            return True

        await self.call(answer)

    async def close(self) -> None:
        """Ends nothing: there are no connections."""
