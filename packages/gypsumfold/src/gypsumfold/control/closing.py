"""Closes engines on every node before a planned change.

Each node serves two calls: one lists the engines it knows to be closed (all
nodes call it, for their permissions), the other closes one engine (the
lease holder calls it).
"""

import asyncio
from typing import NamedTuple

from gypsumfold import clocks
from gypsumfold import exceptions
from gypsumfold.control import permissions as permissions_module
from gypsumfold.logservice import logs
from gypsumfold.peers import framing
from gypsumfold.peers import links

thrift = framing.peers_thrift

# Rounds of calls within the lifetime of a permission: two may be lost.
ROUNDS = 4


class Closing(NamedTuple):
    """One closing: the engine and the closing's offset on the log."""

    engine: str
    offset: int


class Closer:
    """This node's part in closings, as lease holder and as dispatcher.

    Attributes:
        majority_since: When more than half of the nodes first knew of a
            closing, by closing.

    >>> closer = Closer(permissions, tail, peers)
    >>> await closer.is_quiet(Closing("lm-1", 17))
    True
    """

    def __init__(
        self,
        permissions: permissions_module.Permissions,
        tail: logs.Tail,
        peers: links.Peers,
    ):
        self.permissions = permissions
        self.tail = tail
        self.peers = peers
        self.majority_since: dict[Closing, float] = {}
        peers.handle("control.closed", thrift.Nothing, self.on_closed)
        peers.handle("control.close", thrift.ClosedEngine, self.on_close)

    @property
    def interval(self) -> float:
        """Seconds between two rounds, and the timeout of a call."""
        return self.permissions.settings.permission / ROUNDS

    async def on_closed(self, message, address: str):
        """Lists the engines that this node knows to be closed."""
        closed = []
        for engine, offset in self.permissions.closed_engines().items():
            closed.append(thrift.ClosedEngine(engine, offset))
        return thrift.ClosedEngines(
            self.tail.caught_up.is_set(),
            self.permissions.control_state.through,
            closed,
        )

    async def on_close(self, message, address: str):
        """Closes an engine here and returns its dispatches in progress."""
        self.permissions.record_closing(message.engine, message.offset)
        count = self.permissions.dispatching[message.engine]
        return thrift.Dispatching(count)

    async def run(self) -> None:
        """Asks all peers for closings as long as the node runs."""
        while True:
            self.permissions.nodes = 1 + len(self.peers.links)
            for removed in set(self.permissions.contacts) - set(
                self.peers.links
            ):
                del self.permissions.contacts[removed]
            asks = [self.ask(address) for address in self.peers.links]
            await asyncio.gather(*asks)
            await asyncio.sleep(self.interval)

    async def ask(self, address: str) -> None:
        """Asks one peer which engines are closed."""
        asked = clocks.now()
        try:
            reply = await self.peers.call(
                address,
                "control.closed",
                thrift.Nothing(),
                thrift.ClosedEngines,
                self.interval,
            )
        except exceptions.PeerError:
            return
        if not reply.caught_up:
            return
        closed = {each.engine: each.offset for each in reply.closed}
        self.permissions.merge(address, asked, reply.through, closed)

    async def is_quiet(self, closing: Closing) -> bool:
        """Whether no node dispatches to a closed engine anymore."""
        asked = clocks.now()
        addresses = list(self.peers.links)
        nodes = 1 + len(addresses)
        asks = [self.close(address, closing) for address in addresses]
        replies = await asyncio.gather(*asks)
        running = self.permissions.dispatching[closing.engine]
        acknowledged = 1
        for reply in replies:
            if reply is None:
                continue
            acknowledged += 1
            running += reply
        if 2 * acknowledged > nodes:
            self.majority_since.setdefault(closing, clocks.now())
        since = self.majority_since.get(closing, asked)
        return running == 0 and permissions_module.has_lapsed(
            acknowledged, nodes, asked - since, self.permissions.settings
        )

    def forget(self, engine: str) -> None:
        """Drops an engine's closings once it is open again."""
        for closing in [c for c in self.majority_since if c.engine == engine]:
            del self.majority_since[closing]

    async def close(self, address: str, closing: Closing) -> int | None:
        """Closes an engine on one peer.

        Returns:
            Dispatches in progress there; None if the peer did not answer.
        """
        try:
            reply = await self.peers.call(
                address,
                "control.close",
                thrift.ClosedEngine(closing.engine, closing.offset),
                thrift.Dispatching,
                self.interval,
            )
        except exceptions.PeerError:
            return None
        return reply.count
