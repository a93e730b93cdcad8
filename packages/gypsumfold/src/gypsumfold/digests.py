"""Load digests that nodes exchange: demand and most active accounts.

In each round every node sends one digest of bounded size to a few random
peers, so that its cost does not grow with the number of nodes.
"""

import asyncio
import itertools
import random
import time
from typing import NamedTuple

from gypsumfold import dispatching
from gypsumfold import exceptions
from gypsumfold import settings as settings_module
from gypsumfold.decisions import types
from gypsumfold.peers import framing
from gypsumfold.peers import links

thrift = framing.peers_thrift

METHOD = "digest"
# Limits of one digest; 64 services and 32 accounts take less than 6 KB.
MAX_SERVICES = 64
MAX_ACCOUNTS = 32
# Rounds after which a digest that was not renewed is dropped. With six nodes
# and three peers a round, a node is missed that often by chance about once in
# 100,000 times.
EXPIRY_ROUNDS = 12


class ReceivedDigest(NamedTuple):
    """A peer's digest and the monotonic time of its arrival."""

    message: object
    received_at: float


class Digests:
    """Sends this node's digest and passes the others' to the schedulers.

    >>> digests = Digests(settings, incarnation, peers, dispatchers)
    >>> await digests.run()
    """

    def __init__(
        self,
        settings: settings_module.PeersSection,
        incarnation: str,
        peers: links.Peers,
        dispatchers: dict[str, dispatching.Dispatcher],
    ):
        self.settings = settings
        self.incarnation = incarnation
        self.peers = peers
        self.dispatchers = dispatchers
        self.sequence = itertools.count(1)
        self.received: dict[str, ReceivedDigest] = {}
        peers.handle(METHOD, thrift.Digest, self.receive)

    async def run(self) -> None:
        """Sends a digest each round."""
        while True:
            message = self.message()
            known = [peer.address for peer in self.peers.recently_seen()]
            fanout = min(len(known), self.settings.fanout)
            for address in random.sample(known, fanout):
                await self.send(address, message)
            self.update_schedulers()
            await asyncio.sleep(self.settings.heartbeat)

    async def send(self, address: str, message) -> None:
        """Sends a digest to one peer; a lost digest is not sent again."""
        try:
            await self.peers.call(
                address,
                METHOD,
                message,
                thrift.Nothing,
                self.peers.reply_timeout,
            )
        except exceptions.PeerError:
            return

    def message(self):
        """Builds this node's digest."""
        now = time.monotonic()
        demand = []
        hottest = []
        for name, dispatcher in self.dispatchers.items():
            asked = dispatcher.scheduler.demand(now)
            demand.append(thrift.Demand(name, *asked))
            for use in dispatcher.scheduler.hottest_accounts(MAX_ACCOUNTS, now):
                hottest.append(thrift.AccountUse(*use, name))
        hottest.sort(key=lambda use: -use.tokens_per_second)
        return thrift.Digest(
            self.incarnation,
            next(self.sequence),
            demand[:MAX_SERVICES],
            hottest[:MAX_ACCOUNTS],
        )

    async def receive(self, message, address: str):
        """Stores a peer's digest unless a later one has already arrived."""
        known = self.received.get(address)
        order = (message.incarnation, message.sequence)
        if known is None or order > (
            known.message.incarnation,
            known.message.sequence,
        ):
            self.received[address] = ReceivedDigest(message, time.monotonic())
        return thrift.Nothing()

    def update_schedulers(self) -> None:
        """Passes each scheduler the peers' load for its service."""
        now = time.monotonic()
        horizon = now - EXPIRY_ROUNDS * self.settings.heartbeat
        for address in list(self.received):
            if self.received[address].received_at < horizon:
                del self.received[address]
        for name, dispatcher in self.dispatchers.items():
            dispatcher.peer_demands = self.peer_demands(name)
            dispatcher.scheduler.update_peers(
                dispatcher.peer_demands, self.peer_usage(name), now
            )

    def peer_demands(self, service: str) -> list[types.Demand]:
        """Returns each peer's last reported demand for a service."""
        found = []
        for digest in self.received.values():
            for one in digest.message.demand:
                if one.service_name != service:
                    continue
                found.append(
                    types.Demand(
                        one.prompt_tokens, one.output_tokens, one.waiting
                    )
                )
        return found

    def peer_usage(self, service: str) -> list[types.AccountUsage]:
        """Returns the most active accounts of a service at the peers."""
        found = []
        for digest in self.received.values():
            for one in digest.message.hottest:
                if one.service_name == service:
                    found.append(
                        types.AccountUsage(one.account, one.tokens_per_second)
                    )
        return found
