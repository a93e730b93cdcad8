"""A pool of connections to replicas."""

import asyncio
import time

from gypsumfold import exceptions
from gypsumfold.decisions import answer_identity
from gypsumfold.gateway import connections
from gypsumfold.gateway import types

# A VM accepts within a few milliseconds, even if slowed down ten times. Nothing
# has been sent yet, so another replica can be tried before a lost packet would
# be retransmitted (one second).
CONNECT_TIMEOUT_SECONDS = 0.3
# Idle connections, and bytes of bodies that are read whole, where the settings
# of the process say nothing.
MAX_IDLE = 512
MAX_HELD_BYTES = 24 * 1024 * 1024


class Pool:
    """A pool of idle connections by address and instance.

    Attributes:
        held_bytes: Bytes of the bodies that are being read whole.
        max_held_bytes: Largest number of such bytes.
        max_idle: Largest number of idle connections.

    >>> pool = Pool()
    >>> connection = await pool.acquire("10.1.64.9:8080", "i-7f3a91c2")
    """

    def __init__(
        self,
        source: str = "",
        max_idle: int = MAX_IDLE,
        max_held_bytes: int = MAX_HELD_BYTES,
    ):
        self.max_idle = max_idle
        self.max_held_bytes = max_held_bytes
        self.local_address = (source, 0) if source else None
        self.idle: dict[tuple[str, str], list[connections.Connection]] = {}
        self.opened = 0
        self.held_bytes = 0

    async def acquire(
        self,
        address: str,
        instance: str,
        fresh: bool = False,
        identity: answer_identity.Identity = answer_identity.ANONYMOUS,
    ) -> connections.Connection:
        """Returns an idle connection or opens one.

        Args:
            address: IP:PORT of the replica.
            instance: Its instance id.
            fresh: Whether to open one in any case.
            identity: What identifies the answer to the request.

        Raises:
            exceptions.EndpointUnreachable: The address cannot be reached.
        """
        if fresh:
            return await self.open(address)
        kept = self.idle.get((address, instance), [])
        now = time.monotonic()
        for place in reversed(range(len(kept))):
            if not kept[place].is_reusable(now):
                kept.pop(place).abort()
                continue
            if kept[place].sent.can_identify(identity):
                return kept.pop(place)
        return await self.open(address)

    def is_connected(self, replica: types.Replica) -> bool:
        """Whether an idle connection to a replica is open."""
        kept = self.idle.get((replica.address, replica.instance))
        return bool(kept) and kept[-1].is_reusable(time.monotonic())

    async def open(self, address: str) -> connections.Connection:
        """Opens a connection.

        Raises:
            exceptions.EndpointUnreachable: The address cannot be reached.
        """
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                _, connection = await loop.create_connection(
                    connections.Connection,
                    host,
                    int(port),
                    local_addr=self.local_address,
                )
        except ConnectionRefusedError as error:
            raise exceptions.EndpointNotListening(
                f"{address} cannot be reached: {error!r}"
            ) from error
        except (OSError, TimeoutError) as error:
            raise exceptions.EndpointUnreachable(
                f"{address} cannot be reached: {error!r}"
            ) from error
        self.opened += 1
        return connection

    def release(
        self, address: str, instance: str, connection: connections.Connection
    ) -> None:
        """Returns a connection to the pool after its answer, if reusable."""
        if connection.reset_for_reuse():
            key = (address, instance)
            self.idle.setdefault(key, []).append(connection)
            self.close_surplus()

    def close_surplus(self) -> None:
        """Closes the connections that were idle longest, if there are many."""
        surplus = sum(map(len, self.idle.values())) - self.max_idle
        for _ in range(surplus):
            # Each list is in the order in which its connections became idle.
            oldest = min(
                (kept for kept in self.idle.values() if kept),
                key=lambda kept: kept[0].idle_since,
            )
            oldest.pop(0).abort()

    def close_expired(self, now: float) -> None:
        """Closes idle connections that may not be used again.

        A request looks only at the connections that it may use, so the others
        would stay open.
        """
        for key, kept in list(self.idle.items()):
            usable = []
            for connection in kept:
                if connection.is_reusable(now):
                    usable.append(connection)
                    continue
                connection.abort()
            if usable:
                self.idle[key] = usable
            else:
                del self.idle[key]

    def put_back(
        self, address: str, instance: str, connection: connections.Connection
    ) -> None:
        """Returns a connection on which nothing was sent."""
        connection.idle_since = time.monotonic()
        self.idle.setdefault((address, instance), []).append(connection)

    def discard(self, address: str, instance: str) -> None:
        """Closes the idle connections to a replica."""
        for connection in self.idle.pop((address, instance), ()):
            connection.abort()

    def close(self) -> None:
        """Closes all idle connections."""
        for address, instance in list(self.idle):
            self.discard(address, instance)
