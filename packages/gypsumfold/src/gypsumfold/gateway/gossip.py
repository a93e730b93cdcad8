"""Tells the other nodes at once which prompts this node sends where.

Each node sees a fraction of the requests, but a queue at an engine is made by
all of them. Engines' own reports come too late and cost their time. So nodes
send each other small datagrams: seconds of prompts that each engine still has
to read for them, and which beginnings were sent to it. A lost one is made up
for by the next; nothing depends on any of them.
"""

import asyncio
import contextlib
import time

import msgspec

from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold.decisions import homes as homes_module
from gypsumfold.decisions import types as decision_types
from gypsumfold.gateway import directory as directory_module
from gypsumfold.gateway import leadership as leadership_module
from gypsumfold.gateway import messages
from gypsumfold.gateway import settings as settings_module
from gypsumfold.gateway import types
from gypsumfold.platform import names
from gypsumfold.platform import store as store_module

# Seconds between two datagrams to the same peer at the least: a prompt takes
# several times as long to read.
INTERVAL = 0.03
# Datagrams a second that one node sends at most; with more than four peers
# the interval grows. Each costs sender and receiver about 30 us.
MOST_DATAGRAMS = 150
# Prompts named in one datagram; of more the newest are named.
MOST_PLACED = 24
# Seconds after which what a silent peer said no longer counts.
SILENT = 3.0
# Seconds between two full datagrams where nothing changes.
REFRESH = 1.0
# Seconds of silence after which a peer's entry is removed from the store.
DEAD = 30.0


class Gossip(asyncio.DatagramProtocol):
    """Sends this node's placements to its peers and takes theirs in.

    >>> gossip = Gossip(settings, store, homes, leadership, "edge-1-0193")
    >>> await gossip.start()
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        store: store_module.Store,
        homes: homes_module.Homes,
        leadership: leadership_module.Leadership,
        directory: directory_module.Directory,
    ):
        self.directory = directory
        self.address = settings.peers.address
        self.store = store
        self.homes = homes
        self.leadership = leadership
        self.member = leadership.member
        self.peers: dict[str, tuple[str, int]] = {}
        self.heard: dict[str, float] = {}
        self.numbers: dict[str, int] = {}
        self.number = 0
        self.changed = asyncio.Event()
        self.urgent = asyncio.Event()
        self.placed: list[messages.Placed] = []
        self.unreachable: list[str] = []
        self.closings: dict[str, float] = {}
        self.roles: dict[str, tuple[decision_types.Role, float]] = {}
        self.transport: asyncio.DatagramTransport | None = None
        self.encoder = msgspec.msgpack.Encoder()
        homes.listener = self
        directory.unreached.append(self.not_reached)
        directory.gone.append(self.forget)

    def replace(self, records: list[store_module.Record]) -> None:
        """Takes in all nodes' entries in the store."""
        self.peers.clear()
        self.update(records)

    def update(self, records: list[store_module.Record]) -> None:
        """Takes in entries that came since."""
        for record in records:
            if record.key == self.member:
                continue
            if not record.value:
                self.peers.pop(record.key, None)
                continue
            try:
                address = messages.entry_address(record.value)
            except exceptions.RecordInvalid as error:
                events.log(
                    events.RECORD_SKIPPED, key=record.key, reason=str(error)
                )
                continue
            self.peers[record.key] = address
            self.heard.setdefault(record.key, time.monotonic())

    async def start(self) -> None:
        """Opens the socket."""
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, int(port))
        )

    async def announce(self) -> None:
        """Enters this node in the store; returns when it is there."""
        entry = messages.Entry(self.address)
        while True:
            try:
                await self.store.put(
                    names.NODES_TOPIC, self.member, msgspec.json.encode(entry)
                )
                return
            except exceptions.PlatformError as error:
                self.leadership.state.failed(str(error), time.monotonic())
            await asyncio.sleep(INTERVAL * 10)

    async def withdraw(self) -> None:
        """Removes this node's entry, for a shutdown."""
        try:
            await self.store.put(names.NODES_TOPIC, self.member, b"")
        except exceptions.PlatformError as error:
            # Another node removes it later.
            self.leadership.state.failed(str(error), time.monotonic())

    def sent(self, engine: str, links: list[int], tokens: list[int]) -> None:
        """Notes that this node sent a prompt to an engine."""
        self.placed.append(messages.Placed(engine, links, tokens))
        del self.placed[:-MOST_PLACED]
        self.changed.set()

    def not_reached(self, instance: str) -> None:
        """Lets the other nodes look after a replica as well."""
        if instance not in self.unreachable:
            self.unreachable.append(instance)
        self.changed.set()

    def forget(self, replica: types.Replica) -> None:
        """Says no more of an engine that is gone or has started again."""
        self.closings.pop(replica.instance, None)
        self.roles.pop(replica.instance, None)

    def done(self) -> None:
        """Notes that this node has less at an engine."""
        self.changed.set()

    async def run(self) -> None:
        """Sends datagrams for as long as the node runs."""
        while True:
            try:
                async with asyncio.timeout(REFRESH):
                    await self.changed.wait()
            except TimeoutError:
                await self.tidy()
            self.changed.clear()
            self.urgent.clear()
            self.send()
            pause = max(INTERVAL, len(self.peers) / MOST_DATAGRAMS)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause):
                    await self.urgent.wait()

    def closed(self, engine: str, seconds: float) -> None:
        """Tells all nodes that an engine gets no work for a while.

        What was said of its last role holds no more: heard after this, it
        would open the engine again (1,100 refused streams in 6 s, counted in
        the logs of 73 nodes whose engines were ordered twice within 4 s).
        """
        if engine not in self.closings:
            self.urgent.set()
        self.closings[engine] = time.monotonic() + seconds
        self.roles.pop(engine, None)
        self.changed.set()

    def changed_role(
        self, engine: str, role: decision_types.Role, seconds: float
    ) -> None:
        """Notes that an engine has its new role."""
        self.roles[engine] = (role, time.monotonic() + seconds)
        self.changed.set()

    def roles_left(self) -> dict[str, tuple[str, float]]:
        """The new roles that are still news, with their seconds left."""
        now = time.monotonic()
        found = {}
        for engine, (role, until) in list(self.roles.items()):
            if until <= now:
                del self.roles[engine]
                continue
            found[engine] = (role.value, round(until - now, 3))
        return found

    def closings_left(self) -> dict[str, float]:
        """Seconds left of each closing."""
        now = time.monotonic()
        for engine, until in list(self.closings.items()):
            if until <= now or engine not in self.directory.changing:
                del self.closings[engine]
        return {
            engine: round(until - now, 3)
            for engine, until in self.closings.items()
        }

    def send(self) -> None:
        """Sends what changed to every peer."""
        self.number += 1
        placed, self.placed = self.placed, []
        prompts = rounded(self.homes.waiting.own)
        streams = rounded(self.directory.streams.own)
        closings = self.closings_left()
        roles = self.roles_left()
        while True:
            message = messages.Message(
                self.member,
                self.number,
                prompts,
                streams,
                placed,
                closings,
                roles,
                rounded(self.homes.late.own),
                self.unreachable,
                rounded(self.homes.demand.own(time.monotonic())),
                self.directory.births.of([*closings, *roles]),
            )
            data = self.encoder.encode(message)
            if len(data) <= messages.MOST_BYTES or not placed:
                break
            placed = placed[len(placed) // 2 + 1 :]
        self.unreachable = []
        for address in self.peers.values():
            self.transport.sendto(data, address)

    def datagram_received(self, data: bytes, address) -> None:
        """Takes a peer's datagram in; older than the last one is dropped."""
        try:
            message = messages.message(data)
        except exceptions.RecordInvalid as error:
            events.log(events.FRAME_REFUSED, reason=str(error))
            return
        if message.member == self.member:
            return
        if message.number <= self.numbers.get(message.member, 0):
            return
        now = time.monotonic()
        self.numbers[message.member] = message.number
        self.heard[message.member] = now
        # A node that started after the entries were read is known by this.
        self.peers.setdefault(message.member, address[:2])
        until = now + SILENT
        self.homes.waiting.remote(message.member, message.prompts, until)
        self.homes.late.remote(message.member, message.late, until)
        self.homes.demand.remote(message.member, message.demand, until)
        self.directory.streams.remote(message.member, message.streams, until)
        for engine, seconds in message.closed.items():
            if self.of_newest_start(engine, message):
                self.directory.close(engine, now + seconds)
        for engine, (role, seconds) in message.roles.items():
            if self.of_newest_start(engine, message):
                self.believe(engine, role, now + seconds)
        for instance in message.unreachable:
            if instance not in self.directory.suspects:
                self.directory.doubt(instance)
        for placed in message.placed:
            self.homes.read_links(placed.engine, placed.links, placed.tokens)

    def of_newest_start(self, engine: str, message: messages.Message) -> bool:
        """Whether a peer speaks of the engine that this node knows."""
        if engine not in self.directory.replicas:
            return False
        born = message.births.get(engine, 0)
        return self.directory.births.newest(engine, born)

    def believe(self, engine: str, role: str, until: float) -> None:
        """Takes an engine's new role in as a peer says it."""
        try:
            found = decision_types.Role(role)
        except ValueError as error:
            events.log(events.FRAME_REFUSED, reason=str(error))
            return
        self.directory.confirm(engine, found, until)

    def error_received(self, error: Exception) -> None:
        """Nothing depends on a datagram; a dead peer's entry goes later."""

    def nodes(self) -> int:
        """Counts the nodes that were heard of lately, this one included."""
        start = time.monotonic() - DEAD / 2
        count = 1
        for member in self.peers:
            if self.heard.get(member, 0.0) > start:
                count += 1
        return count

    async def tidy(self) -> None:
        """Forgets silent peers; the holder of authority removes entries."""
        now = time.monotonic()
        for member in list(self.peers):
            silent = now - self.heard.setdefault(member, now)
            if silent < DEAD:
                continue
            del self.peers[member]
            if self.leadership.token(now) is None:
                continue
            try:
                await self.store.put(names.NODES_TOPIC, member, b"")
            except exceptions.PlatformError as error:
                self.leadership.state.failed(str(error), now)


def rounded(amounts: dict[str, float]) -> dict[str, float]:
    """Shortens amounts for the wire."""
    return {engine: round(amount, 4) for engine, amount in amounts.items()}
