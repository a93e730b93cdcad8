"""Hundreds of gateways' peer parts in one process, under virtual time.

Their own code runs unchanged; only the clock and the network are the test's.
"""

import random
from unittest import mock

from gypsumfold.decisions import prefix_routing as prefix_routing_module
from gypsumfold.gateway import directory as directory_module
from gypsumfold.gateway import origins
from gypsumfold.gateway import quarantine
from gypsumfold.gateway import runs
from gypsumfold.gateway import settings as settings_module
from gypsumfold.gateway.peers import entries as entries_module
from gypsumfold.gateway.peers import gossip as gossip_module
from gypsumfold.platform import store as store_module

# Seconds between two steps of the site; the loops of a gateway run at least
# as often.
STEP = 0.05
# Seconds that a datagram takes to another data centre, and within one.
FAR = 0.0014
NEAR = 0.0001
PORT = 7380


class Network:
    """Carries datagrams; counts them, loses some, and knows cuts."""

    def __init__(self, rng: random.Random, loss: float):
        self.rng = rng
        self.loss = loss
        self.waiting: list[tuple[tuple, bytes, tuple]] = []
        self.sent = 0
        self.bytes = 0
        self.between = 0
        self.cut: set[str] = set()

    def send(self, data: bytes, receiver: tuple, sender: tuple) -> None:
        """Takes a datagram."""
        self.sent += 1
        self.bytes += len(data)
        self.between += len(data) * (receiver[0][:5] != sender[0][:5])
        if self.rng.random() < self.loss:
            return
        self.waiting.append((receiver, data, sender))


class Transport:
    """The socket of one gateway."""

    def __init__(self, network: Network, address: tuple):
        self.network = network
        self.address = address

    def sendto(self, data: bytes, receiver: tuple) -> None:
        """Sends a datagram."""
        self.network.send(data, receiver, self.address)


class Node:
    """One gateway's peer part."""

    def __init__(self, site: "Site", place: int, data_centre: str, start: int):
        self.name = f"edge-{place}"
        host = f"10.{1 + int(data_centre[3:])}.{place // 200}.{place % 200}"
        self.address = (host, PORT)
        settings = settings_module.Settings(
            node=settings_module.NodeSection(self.name, data_centre),
            callers=settings_module.CallersSection(f"{host}:1", f"{host}:2"),
            store=settings_module.StoreSection("10.200.0.1:1"),
            peers=settings_module.PeersSection(f"{host}:{PORT}"),
        )
        self.prefix_router = prefix_routing_module.PrefixRouter()
        directory = directory_module.Directory(random.Random(place))
        self.gossip = gossip_module.Gossip(
            settings,
            mock.Mock(put=site.write_entry, newest=site.newest_entries),
            self.prefix_router,
            mock.Mock(
                member=f"{self.name}-{start:016x}",
                token=lambda now: None,
            ),
            directory,
            quarantine.Quarantine(runs.InterruptedRuns(directory)),
            origins.Origins(directory),
        )
        self.gossip.clock = lambda: site.now
        self.gossip.sender.transport = Transport(site.network, self.address)
        self.reported = -1.0
        self.looked = -1.0
        self.frozen = False

    def step(self, now: float) -> None:
        """Does what the gateway's loops do."""
        gossip = self.gossip
        changed = gossip.changed.is_set()
        if not gossip.meshed:
            gossip.relaying.expire(now)
            gossip.choose_relay(now)
            gossip.resend_to_relay(now)
            gossip.send_summaries(now)
        if changed or now - self.reported >= gossip_module.REFRESH_SECONDS:
            gossip.resend_due = changed
            gossip.changed.clear()
            self.reported = now
            gossip.send_report(now)
        if now - self.looked >= entries_module.CHECK_INTERVAL_SECONDS:
            self.looked = now
            finish(gossip.entries.check(gossip))

    def waiting(self, engine: str, now: float) -> float:
        """Seconds of prompts at an engine, as this node believes."""
        return self.prefix_router.waiting.total(f"{engine}/0", now)


def finish(coroutine) -> None:
    """Runs a coroutine that waits for nothing."""
    try:
        coroutine.send(None)
    except StopIteration:
        return
    raise AssertionError("it waits")


class Site:
    """Gateways in some data centres.

    >>> site = Site(195, 5, seed=1)
    >>> site.run(3.0)
    """

    def __init__(
        self, nodes: int, data_centres: int, seed: int, loss: float = 0.0
    ):
        self.rng = random.Random(seed)
        self.now = 100.0
        self.network = Network(self.rng, loss)
        self.data_centres = data_centres
        self.starts = 0
        self.nodes: dict[str, Node] = {}
        self.entries: dict[str, bytes] = {}
        for place in range(nodes):
            self.start(place)
        self.read_entries()

    def start(self, place: int) -> Node:
        """Starts a gateway, which enters itself in the store."""
        self.starts += 1
        data_centre = f"dc-{place % self.data_centres}"
        node = Node(self, place, data_centre, self.starts)
        self.nodes[node.name] = node
        finish(node.gossip.entries.enter())
        return node

    def read_entries(self, *names: str) -> None:
        """Has nodes read the entries in the store, dead ones' too."""
        for name in names or list(self.nodes):
            finish(self.nodes[name].gossip.entries.read_all())

    async def newest_entries(self, topic: str) -> store_module.Page:
        """All entries in the store."""
        records = []
        for name, value in self.entries.items():
            records.append(store_module.Record(name, value))
        return store_module.Page(records, 0)

    async def write_entry(self, topic: str, name: str, value: bytes) -> None:
        """Writes a node's entry, or takes it out of the store."""
        if value:
            self.entries[name] = value
        else:
            self.entries.pop(name, None)

    def kill(self, *names: str) -> None:
        """Ends gateways at once; their entries stay."""
        for name in names:
            del self.nodes[name]

    def run(self, seconds: float) -> None:
        """Lets time pass."""
        end = self.now + seconds
        while self.now < end - STEP / 2:
            self.now += STEP
            self.deliver()
            for node in list(self.nodes.values()):
                if not node.frozen:
                    node.step(self.now)
            self.deliver()

    def deliver(self) -> None:
        """Delivers what was sent, and what that makes nodes send."""
        by_address = {node.address: node for node in self.nodes.values()}
        while self.network.waiting:
            batch, self.network.waiting = self.network.waiting, []
            for receiver, data, sender in batch:
                node = by_address.get(receiver)
                if node is None or node.frozen:
                    continue
                if self.network.cut and (
                    (receiver[0][:5] in self.network.cut)
                    != (sender[0][:5] in self.network.cut)
                ):
                    continue
                node.gossip.datagram_received(data, sender)

    def relays(self) -> dict[str, set[str]]:
        """By data centre, the nodes that others or they themselves use."""
        found: dict[str, set[str]] = {}
        for node in self.nodes.values():
            gossip = node.gossip
            own = gossip.members.own
            relay = gossip.choice.relay or own
            found.setdefault(own.data_centre, set()).add(relay.node)
        return found

    def leaderless(self) -> list[str]:
        """The nodes whose relay does not run."""
        found = []
        for node in self.nodes.values():
            relay = node.gossip.choice.relay
            if relay is None:
                continue
            running = self.nodes.get(relay.node)
            if running is None or running.gossip.member != relay.name:
                found.append(node.name)
        return found

    def place(self, name: str, engine: str, seconds: float) -> None:
        """Has a node send a prompt to an engine."""
        node = self.nodes[name]
        node.prefix_router.waiting.add(f"{engine}/0", seconds)
        node.gossip.sent(engine, [self.rng.getrandbits(60)], [4000])

    def finish(self, name: str, engine: str, seconds: float) -> None:
        """Has an engine be done with a node's prompt."""
        node = self.nodes[name]
        node.prefix_router.waiting.remove(f"{engine}/0", seconds)
        node.gossip.done()

    def beliefs(self, engine: str) -> list[float]:
        """What each node believes to wait at an engine, in seconds."""
        found = []
        for node in self.nodes.values():
            found.append(node.waiting(engine, self.now))
        return found
