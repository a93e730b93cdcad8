"""Nodes' entries in the store, by which a starting node finds the others."""

import asyncio
from collections.abc import Callable
import contextlib
import math
import random
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

# Seconds of silence after which a node is forgotten by those that would receive
# its messages; its entry still counts.
FORGET_AFTER_SECONDS = 30.0
# Seconds after its last message for which a node without an entry is kept.
RECENTLY_SEEN_SECONDS = 3.0
# Seconds until a failed read or write of entries is tried again.
RETRY_SECONDS = 0.3
# Seconds over which nodes write their entries again once the store has
# returned from a copy.
RENEWAL_SECONDS = 3.0
# Seconds between two checks of the entries.
CHECK_INTERVAL_SECONDS = 1.0
# Seconds between two checks after which this node itself has stalled, so that
# messages it has not received prove nothing.
STALL_SECONDS = 3.0


class Observer(Protocol):
    """Says which nodes this one can observe, and its duties for entries."""

    def can_observe(self, member: members_module.Member) -> bool:
        """Whether this node would receive messages of another if that ran."""

    def can_remove_entries(self) -> bool:
        """Whether this node removes the entries of dead nodes."""

    def can_renew(self, member: members_module.Member) -> bool:
        """Whether this node renews another one's entry on its behalf."""


class Entries:
    """Writes this node's entry to the store and tracks those of others.

    Attributes:
        others: The entries of the other nodes.
        read_once: Whether all entries have been read at least once.
        entered: Whether this node's own entry has been written.
        delayed: Whether the first attempt to write it failed.
        withdrawn: Whether it was removed for good, as this node stops.
        lost: Whether it was found missing, marked as suspected, or written by
            an earlier incarnation.
        on_readable: Called when the entries of others may be read.
        on_mesh_exceeded: Called when there are too many nodes for a mesh.
        on_node_removed: Called with the name of a node that was removed.

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
        # An entry that is being written must not come after its removal.
        self.writing = asyncio.Lock()
        self.lost = False
        self.due = asyncio.Event()
        self.checked_at = -math.inf
        self.listening_since = math.inf
        store.eras.listeners.append(self.renew_soon)
        self.on_readable: Callable[[], None] = lambda: None
        self.on_mesh_exceeded: Callable[[], None] = lambda: None
        self.on_node_removed: Callable[[str], None] = members.remove

    def replace(self, records: list[store_module.Record], end: int) -> float:
        """Replaces all entries with those in the store."""
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
        return 0.0

    def update(self, records: list[store_module.Record]) -> None:
        """Applies entries that changed since the last read."""
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
        """Applies one entry; a suspected one does not add a known member."""
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
        """Applies the removal of an entry."""
        if node == self.members.own.node:
            if self.entered:
                self.others.own_missing_at = self.clock()
            self.mark_lost()
            return
        self.others.remove(node)
        self.on_node_removed(self.members.names_by_node.get(node, ""))

    def mark_lost(self) -> None:
        """Marks this node's own entry for renewal, unless it was withdrawn."""
        if self.entered and not self.withdrawn:
            self.lost = True
            self.due.set()

    def renew_soon(self) -> None:
        """Has this node's entry written again, as the store may have lost it.

        Hundreds of nodes that notice it at once spread their writes.
        """
        loop = asyncio.get_running_loop()
        loop.call_later(random.uniform(0.0, RENEWAL_SECONDS), self.mark_lost)

    def can_read(self) -> bool:
        """Whether the entries of others may be read for the first time.

        Two nodes that both read before the other is entered would not know of
        each other until their next read.
        """
        return self.entered or self.delayed

    async def run(self, observer: Observer) -> None:
        """Enters this node and maintains the entries while it runs."""
        await self.announce()
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CHECK_INTERVAL_SECONDS):
                    await self.due.wait()
            self.due.clear()
            await self.check(observer)

    async def announce(self) -> None:
        """Enters this node; if that was delayed, reads all entries again."""
        await self.enter()
        if self.delayed:
            await self.reread()

    async def reread(self) -> None:
        """Reads all entries again, as the first read came before the entry."""
        while True:
            if await self.read_all():
                return
            await asyncio.sleep(RETRY_SECONDS)

    async def read_all(self) -> bool:
        """Reads all entries once.

        Returns:
            Whether the store answered.
        """
        asked = clocks.now()
        try:
            page = await self.store.newest(names.NODES_TOPIC)
        except exceptions.PlatformError as error:
            self.leadership.state.call_failed(error, asked)
            return False
        self.replace(page.records, page.end)
        return True

    async def enter(self) -> None:
        """Writes this node's entry to the store, until that succeeds."""
        while not self.withdrawn:
            if await self.write_own():
                self.entered = True
                self.on_readable()
                return
            self.delayed = True
            self.on_readable()
            await asyncio.sleep(RETRY_SECONDS)

    async def write_own(self) -> bool:
        """Writes this node's entry unless it was withdrawn meanwhile."""
        async with self.writing:
            own = self.members.own
            return not self.withdrawn and await self.write_entry(own, False)

    async def write_entry(
        self, member: members_module.Member, suspected: bool
    ) -> bool:
        """Writes a node's entry.

        Returns:
            Whether the store accepted it.
        """
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
        """Writes a VM's record.

        Returns:
            Whether the store accepted it.
        """
        asked = clocks.now()
        try:
            await self.store.put(names.NODES_TOPIC, node, value)
        except exceptions.PlatformError as error:
            self.leadership.state.call_failed(error, asked)
            return False
        return True

    async def withdraw(self) -> None:
        """Removes this node's entry, for a shutdown.

        If that fails, another node removes the entry later.
        """
        self.withdrawn = True
        async with self.writing:
            await self.put_record(self.members.own.node, b"")

    async def check(self, observer: Observer) -> None:
        """Renews entries of running nodes and removes those of dead ones."""
        await self.renew(observer)
        now = self.clock()
        stalled = self.has_stalled()
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

    def has_stalled(self) -> bool:
        """Whether this node has stalled since its last check began."""
        return self.clock() - self.checked_at > STALL_SECONDS

    async def renew(self, observer: Observer) -> None:
        """Renews this node's lost entry and suspected entries of others."""
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
        """Marks the entries of silent nodes as suspected.

        The entries are read first, since some may have been removed by now or
        written by a later incarnation.
        """
        if not self.unobserved(observer) or not await self.read_all():
            return
        for member in self.unobserved(observer):
            if not await self.write_entry(member, True):
                return
            self.others.put(member, True, self.clock())
            events.log(events.ENTRY_SUSPECTED, peer=member.node)

    def unobserved(self, observer: Observer) -> list[members_module.Member]:
        """Returns the silent nodes whose messages this node would receive."""
        if self.has_stalled():
            return []
        silent = self.others.to_suspect(self.members, self.clock())
        return [member for member in silent if observer.can_observe(member)]

    def removable(self, observer: Observer) -> list[members_module.Member]:
        """Returns the nodes whose suspected entries have expired."""
        if self.has_stalled():
            return []
        dead = self.others.expired(self.clock())
        return [member for member in dead if observer.can_observe(member)]

    async def remove_dead(self, observer: Observer) -> None:
        """Removes suspected entries that nobody has renewed in time.

        The entries are read first, since they may have been renewed by now.
        """
        if not self.removable(observer) or not await self.read_all():
            return
        for member in self.removable(observer):
            if not await self.put_record(member.node, b""):
                return
            self.apply_removal(member.node)
            events.log(events.ENTRY_REMOVED, peer=member.node)
