"""All nodes' entries in the store, by which a starting node finds others."""

import asyncio
from collections.abc import Callable
import contextlib
import math
from typing import Protocol

import msgspec

from gypsumfold import clocks
from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold.decisions import member_entries as member_entries_module
from gypsumfold.decisions import members as members_module
from gypsumfold.gateway import leadership as leadership_module
from gypsumfold.gateway.peers import messages
from gypsumfold.platform import names
from gypsumfold.platform import store as store_module

# Seconds of silence after which a node is forgotten by those that would hear
# it; its entry counts on.
FORGET_AFTER_SECONDS = 30.0
# Seconds within which a node that was heard is kept though it has no entry.
RECENTLY_SEEN_SECONDS = 3.0
# Seconds until an entry that could not be written is written again.
RETRY_SECONDS = 0.3
# Seconds between two looks at the entries.
CHECK_INTERVAL_SECONDS = 1.0
# Seconds between two looks after which this node itself has stood still, and
# what it has not heard says nothing.
STALL_SECONDS = 3.0


class Observer(Protocol):
    """How this node hears the others."""

    def can_observe(self, member: members_module.Member) -> bool:
        """Whether it would hear another one, if that ran."""

    def can_remove_entries(self) -> bool:
        """Whether it looks after the entries of those that it hears."""

    def can_renew(self, member: members_module.Member) -> bool:
        """Whether it renews the entry of another one that it hears."""


class Entries:
    """Enters this node in the store and follows the entries of others.

    Attributes:
        roster: The entries of the others.
        read: Whether all entries were read once.
        entered: Whether this node has its own entry.
        delayed: Whether it could not be entered at once.
        withdrawn: Whether its entry is to be gone, as it stops.
        lost: Whether its entry was seen gone, or as another wrote it.
        ready: Called where the entries of others may be read.
        many: Called where there are more nodes than a mesh may have.
        drop: Called with the name of a node that is gone.

    >>> entries = Entries(store, leadership, members, 16, clock)
    >>> await entries.run(observer)
    """

    def __init__(
        self,
        store: store_module.Store,
        leadership: leadership_module.Leadership,
        members: members_module.Members,
        mesh: int,
        clock: Callable[[], float],
    ):
        self.store = store
        self.leadership = leadership
        self.members = members
        self.mesh = mesh
        self.clock = clock
        self.others = member_entries_module.MemberEntries()
        self.read_once = False
        self.entered = False
        self.delayed = False
        self.withdrawn = False
        self.lost = False
        self.due = asyncio.Event()
        self.checked_at = -math.inf
        self.listening_since = math.inf
        self.on_readable: Callable[[], None] = lambda: None
        self.on_mesh_exceeded: Callable[[], None] = lambda: None
        self.on_node_removed: Callable[[str], None] = members.remove

    def replace(self, records: list[store_module.Record]) -> None:
        """Takes in all nodes' entries in the store."""
        self.read_once = True
        present = {record.key for record in records if record.value}
        recently = self.clock() - RECENTLY_SEEN_SECONDS
        for member in self.members.not_seen_since(recently):
            if member.node not in present:
                self.on_node_removed(member.name)
        self.others.retain(present)
        if self.members.own.node not in present:
            self.apply_removal(self.members.own.node)
        self.update(records)

    def update(self, records: list[store_module.Record]) -> None:
        """Takes in entries that came since."""
        now = self.clock()
        self.others.record_read(now)
        for record in records:
            if not record.value:
                self.apply_removal(record.key)
                continue
            try:
                entry = messages.decode_entry(record.value)
            except exceptions.RecordInvalid as error:
                events.log(
                    events.RECORD_SKIPPED, key=record.key, reason=str(error)
                )
                continue
            self.apply_entry(record.key, entry, now)
        if len(self.members.known) >= self.mesh:
            self.on_mesh_exceeded()

    def apply_entry(self, node: str, entry: messages.Entry, now: float) -> None:
        """Takes in one entry; one that is suspected makes nobody known."""
        own = self.members.own
        if node == own.node:
            if entry.suspected or entry.member < own.name:
                self.mark_lost()
            return
        member = members_module.Member(
            entry.member or node,
            node,
            entry.data_centre,
            messages.parse_socket_address(entry.address),
            entry.power,
        )
        self.others.put(member, entry.suspected, now)
        if not entry.suspected:
            self.members.add(member, now)

    def apply_removal(self, node: str) -> None:
        """Takes in that an entry is gone."""
        if node == self.members.own.node:
            if self.entered:
                self.others.own_missing_at = self.clock()
            self.mark_lost()
            return
        self.others.remove(node)
        self.on_node_removed(self.members.names_by_node.get(node, ""))

    def mark_lost(self) -> None:
        """Notes that this node's entry is not as it has to be."""
        if self.entered and not self.withdrawn:
            self.lost = True
            self.due.set()

    def can_read(self) -> bool:
        """Whether the entries of others may be read for the first time.

        Two nodes that both read before the other is entered would not know
        of each other until they read again.
        """
        return self.entered or self.delayed

    async def run(self, observer: Observer) -> None:
        """Enters this node and looks after the entries while it runs."""
        await self.announce()
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CHECK_INTERVAL_SECONDS):
                    await self.due.wait()
            self.due.clear()
            await self.check(observer)

    async def announce(self) -> None:
        """Enters this node in the store; returns when others can know it."""
        await self.enter()
        if self.delayed:
            await self.reread()

    async def reread(self) -> None:
        """Reads all entries, since this node was entered after a reading."""
        while True:
            if await self.read_all():
                return
            await asyncio.sleep(RETRY_SECONDS)

    async def read_all(self) -> bool:
        """Reads all entries once; whether the store answered."""
        asked = clocks.now()
        try:
            page = await self.store.newest(names.NODES_TOPIC)
        except exceptions.PlatformError as error:
            self.leadership.state.call_failed(error, asked)
            return False
        self.replace(page.records)
        return True

    async def enter(self) -> None:
        """Enters this node in the store; returns when it is there."""
        while True:
            if await self.write_entry(self.members.own, False):
                self.entered = True
                self.on_readable()
                return
            self.delayed = True
            self.on_readable()
            await asyncio.sleep(RETRY_SECONDS)

    async def write_entry(
        self, member: members_module.Member, suspected: bool
    ) -> bool:
        """Writes a node's entry; whether the store has taken it."""
        host, port = member.address
        entry = messages.Entry(
            f"{host}:{port}",
            member.name,
            member.data_centre,
            member.power,
            suspected,
        )
        return await self.put_record(member.node, msgspec.json.encode(entry))

    async def put_record(self, node: str, value: bytes) -> bool:
        """Writes a VM's record; whether the store has taken it."""
        asked = clocks.now()
        try:
            await self.store.put(names.NODES_TOPIC, node, value)
        except exceptions.PlatformError as error:
            self.leadership.state.call_failed(error, asked)
            return False
        return True

    async def withdraw(self) -> None:
        """Removes this node's entry, for a shutdown.

        Where the store does not take that, another node removes it later.
        """
        self.withdrawn = True
        await self.put_record(self.members.own.node, b"")

    async def check(self, observer: Observer) -> None:
        """Renews entries of nodes that run; lets go those of dead ones."""
        await self.renew(observer)
        now = self.clock()
        stalled = now - self.checked_at > STALL_SECONDS
        self.checked_at = now
        for member in self.members.not_seen_since(now - FORGET_AFTER_SECONDS):
            if observer.can_observe(member):
                self.on_node_removed(member.name)
        if stalled or not observer.can_remove_entries():
            self.listening_since = now
            return
        if (
            now - self.listening_since
            >= member_entries_module.SUSPECT_AFTER_SECONDS
        ):
            await self.mark_suspected(observer)
        await self.remove_dead(observer)

    async def renew(self, observer: Observer) -> None:
        """Writes this node's entry again, and those for which it vouches."""
        if self.lost and not self.withdrawn:
            self.lost = False
            await self.enter()
            events.log(events.ENTRY_RENEWED, peer=self.members.own.node)
        recently = self.clock() - RECENTLY_SEEN_SECONDS
        for entered in self.others.suspected():
            name = self.members.names_by_node.get(entered.node, "")
            member = self.members.known.get(name)
            if member is None or self.members.last_seen[name] < recently:
                continue
            if not observer.can_renew(member) or not await self.write_entry(
                member, False
            ):
                continue
            self.others.put(member, False, self.clock())
            events.log(events.ENTRY_RENEWED, peer=member.node)

    async def mark_suspected(self, observer: Observer) -> None:
        """Marks the entries of nodes that should be heard and are not.

        They are read first: some may be gone by now, or of a later start.
        """
        if not self.unobserved(observer) or not await self.read_all():
            return
        for member in self.unobserved(observer):
            if not await self.write_entry(member, True):
                return
            self.others.put(member, True, self.clock())
            events.log(events.ENTRY_SUSPECTED, peer=member.node)

    def unobserved(self, observer: Observer) -> list[members_module.Member]:
        """The nodes that should be heard and are not."""
        silent = self.others.to_suspect(self.members, self.clock())
        return [member for member in silent if observer.can_observe(member)]

    def removable(self, observer: Observer) -> list[members_module.Member]:
        """The nodes whose entries are to go, as far as is known."""
        dead = self.others.expired(self.clock())
        return [member for member in dead if observer.can_observe(member)]

    async def remove_dead(self, observer: Observer) -> None:
        """Removes entries that were marked and that nobody has renewed.

        They are read first: they may have been renewed since.
        """
        if not self.removable(observer) or not await self.read_all():
            return
        for member in self.removable(observer):
            if not await self.put_record(member.node, b""):
                return
            self.apply_removal(member.node)
            events.log(events.ENTRY_REMOVED, peer=member.node)
