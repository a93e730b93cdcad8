"""What the process holds for callers on all of its listeners."""

import asyncio
import collections
import resource
import time
from typing import Protocol

from gypsumfold import events
from gypsumfold.decisions import intake
from gypsumfold.gateway import configurations as configurations_module
from gypsumfold.gateway import settings as settings_module
from gypsumfold.gateway import turns as turns_module
from gypsumfold.gateway import types

# Seconds between two looks at connections that may be overdue.
SWEEP_SECONDS = 0.5
# A look that comes later than this says that the process has not run; what its
# clients have sent meanwhile is read first.
LATE_SECONDS = 2 * SWEEP_SECONDS
# Clients whose refusals are counted apart, and those that a line names.
MAX_CLIENTS = 256
CLIENTS_LOGGED = 5


class Connection(Protocol):
    """A connection of a caller, a balancer or another node.

    Attributes:
        client: Address from which it was opened.
    """

    client: str

    def load(self, now: float) -> intake.Load:
        """Returns what it holds."""

    def give_way(self, reason: intake.Reason) -> None:
        """Refuses its request or closes it; its bytes are given back."""

    def recount(self) -> None:
        """Counts anew what the client hasn't taken of its answers."""

    def has_unread(self) -> bool:
        """Whether received bytes wait to be read or parsed."""


class Intake:
    """Bounds the connections and bytes of all listeners together.

    Attributes:
        room: What the process may hold.
        held: Bytes that it holds now.
        connections: The open connections.
        closed: Number of connections that had to give way, by reason.
        reported: Those among them that were logged.
        clients: Their clients' addresses since then, by reason.

    >>> intake = Intake(settings, configurations)
    >>> if intake.admit(connection): intake.add(connection, 4096)
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        configurations: configurations_module.Configurations,
    ):
        self.configurations = configurations
        self.room = intake.room(
            settings.process.memory_mb, count_descriptors(settings)
        )
        self.turns = turns_module.Turns()
        self.held = 0
        self.connections: dict[Connection, None] = {}
        self.closed: collections.Counter[intake.Reason] = collections.Counter()
        self.reported: collections.Counter[intake.Reason] = (
            collections.Counter()
        )
        self.clients: dict[intake.Reason, collections.Counter[str]] = (
            collections.defaultdict(collections.Counter)
        )

    @property
    def limits(self) -> types.Limits:
        """The operators' limits, or their defaults before they are known."""
        if self.configurations.current is None:
            return types.Limits()
        return self.configurations.current.limits

    @property
    def callers_bytes(self) -> int:
        """Bytes that may be held."""
        limits = self.limits
        return intake.callers_bytes(
            self.room, limits.body_bytes, limits.header_bytes
        )

    def admit(self, connection: Connection) -> bool:
        """Takes in a connection; another one may have to go for it.

        Returns:
            Whether it may stay: not if all others serve requests.
        """
        if len(self.connections) >= self.room.connections:
            now = time.monotonic()
            most = 1 + int(self.room.connections * intake.BATCH_SHARE)
            places = intake.choose_for_descriptors(self.loads(now), now, most)
            if not places:
                self.count(intake.Reason.NO_DESCRIPTORS, connection)
                return False
            present = list(self.connections)
            for place in places:
                self.turn_away(present[place], intake.Reason.NO_DESCRIPTORS)
        self.connections[connection] = None
        self.add(connection, intake.CONNECTION_BYTES)
        return True

    def remove(self, connection: Connection, held: int) -> None:
        """Drops a closed connection and the bytes that it still held."""
        if self.connections.pop(connection, connection) is None:
            self.held -= held

    def loads(self, now: float) -> list[intake.Load]:
        """What each connection holds."""
        return [connection.load(now) for connection in self.connections]

    def add(self, connection: Connection, size: int) -> None:
        """Adds bytes of a connection that already counts them itself.

        Others, or the connection, give way for want of room.
        """
        self.held += size
        limit = self.callers_bytes
        while self.held > limit:
            now = time.monotonic()
            place = intake.choose_for_memory(self.loads(now), now)
            if place is None:
                return
            chosen = list(self.connections)[place]
            if chosen is connection and intake.may_stay(
                connection.load(now).held, self.held, limit
            ):
                return
            self.turn_away(chosen, intake.Reason.NO_MEMORY)
            if chosen is connection:
                return

    def release(self, size: int) -> None:
        """Gives back bytes that are no longer held."""
        self.held -= size

    def turn_away(self, connection: Connection, reason: intake.Reason) -> None:
        """Has a connection give way."""
        self.count(reason, connection)
        connection.give_way(reason)

    def count(self, reason: intake.Reason, connection: Connection) -> None:
        """Counts a connection that has to give way, and its client."""
        self.closed[reason] += 1
        clients = self.clients[reason]
        if connection.client in clients or len(clients) < MAX_CLIENTS:
            clients[connection.client] += 1

    async def run(self) -> None:
        """Closes overdue connections until it is cancelled."""
        before = time.monotonic()
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            now = time.monotonic()
            if now - before < LATE_SECONDS:
                self.sweep(now)
            before = now

    def sweep(self, now: float) -> None:
        """Closes the connections that are overdue and have nothing unread."""
        limits = self.limits
        times = intake.Times(limits.header_time, limits.idle_time)
        for connection in list(self.connections):
            connection.recount()
            reason = intake.overdue(connection.load(now), times, now)
            if reason is None or connection.has_unread():
                continue
            self.turn_away(connection, reason)

    def report(self) -> None:
        """Logs how many had to give way since the last report, by reason."""
        for reason, count in self.closed.items():
            since = count - self.reported[reason]
            if not since:
                continue
            self.reported[reason] = count
            events.log(
                events.CALLERS_TURNED_AWAY,
                reason=reason,
                count=since,
                clients=dict(self.clients[reason].most_common(CLIENTS_LOGGED)),
                held=self.held,
                room=self.callers_bytes,
                connections=len(self.connections),
                most=self.room.connections,
            )
        self.clients.clear()


def count_descriptors(settings: settings_module.Settings) -> int:
    """Returns the number of descriptors that the process may open."""
    if settings.process.descriptors:
        return settings.process.descriptors
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return soft
