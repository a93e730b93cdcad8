"""Whole gateways before a store, all in one process under virtual time.

The gateways' own code runs unchanged: what they know, how they follow the
store and each other, and the choice of replicas. Only the clock, the store,
the network among them and their callers are the test's.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import contextlib
import os
import pathlib
import random
import selectors
from unittest import mock
import uuid

import uuid6

from features.support import made_up
from features.support import virtual_engines
from features.support import virtual_operations
from features.support import virtual_store
from gypsumfold import clocks
from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold.gateway import gateway as gateway_module
from gypsumfold.gateway import line_writer
from gypsumfold.gateway import settings as settings_module
from gypsumfold.gateway.peers import forwarding
from gypsumfold.gateway.peers import queries
from gypsumfold.platform import names
from gypsumfold.platform import operations as operations_module
from gypsumfold.platform import replicas as replicas_module
from gypsumfold.platform import store as store_module

# Seconds that a datagram takes.
NETWORK = 0.001
# Seconds for which bytes wait at a link before datagrams are dropped.
LINK_QUEUE = 2.0
# Seconds between two entries of a replica.
HEARTBEAT = 1.2
# Seconds of one step of the site.
STEP = 0.05
PORT = 7380


class Clock:
    """The time of one site."""

    def __init__(self, now: float = 1000.0):
        self.now = now

    def __call__(self) -> float:
        """Seconds."""
        return self.now


class Link:
    """The link of one gateway's VM; what is sent waits for what was before.

    Attributes:
        rate: Bytes a second.
        free_at: When all that was sent so far has left.
    """

    def __init__(self, rate: float):
        self.rate = rate
        self.free_at = 0.0

    def waiting(self, now: float) -> float:
        """Seconds that a byte sent now would wait."""
        return max(0.0, self.free_at - now)

    def send(self, size: int, now: float) -> float:
        """Sends bytes; returns the seconds until they have left."""
        self.free_at = max(now, self.free_at) + size / self.rate
        return self.free_at - now


class Selector(selectors.SelectSelector):
    """Lets time pass where an event loop would wait for sockets."""

    def __init__(self, clock: Clock):
        super().__init__()
        self.clock = clock

    def select(self, timeout: float | None = None) -> list:
        """Moves the clock on by as much as the loop would wait."""
        assert timeout is not None, "nothing is left to wait for"
        self.clock.now += timeout
        return []


class Node:
    """One gateway, its way to the store and its socket."""

    def __init__(
        self,
        site: "Site",
        name: str,
        data_centre: str,
        leaving_ms: float,
        host: str,
        first_start: bool = True,
    ):
        self.site = site
        self.name = name
        self.path = virtual_store.Path()
        self.store = virtual_store.Store(site.log, self.path)
        self.data_centre = data_centre
        self.leaving_ms = leaving_ms
        self.first_start = first_start
        self.calls: dict[asyncio.Task, bool] = {}
        self.link = Link(site.link_rate)
        self.address = (host, PORT)
        settings = settings_module.Settings(
            node=settings_module.NodeSection(
                name,
                data_centre,
                first_start=first_start,
                link_mbps=site.link_rate * 8 / 1e6,
            ),
            callers=settings_module.CallersSection(f"{host}:1", f"{host}:2"),
            store=settings_module.StoreSection("10.200.0.1:1"),
            peers=settings_module.PeersSection(f"{host}:{PORT}"),
            replicas=settings_module.ReplicasSection(leaving_ms),
            roles=site.roles,
            retries=settings_module.RetriesSection(0.2, 10.0, site.spare),
            prefill=site.prefill,
            copies=settings_module.CopiesSection(*site.copies),
            plain_calls=settings_module.PlainCallsSection(site.shares_calls),
            operations=settings_module.OperationsSection(
                *(("10.200.0.2:1", site.duties) if site.platform else ())
            ),
        )
        descriptor = os.open(os.devnull, os.O_WRONLY)
        with contextlib.ExitStack() as stack:
            stack.enter_context(
                mock.patch.object(
                    store_module, "Store", lambda address: self.store
                )
            )
            if site.fleet is not None:
                self.endpoints = virtual_engines.Endpoints(
                    site.fleet, self.link, name
                )
                stack.enter_context(
                    mock.patch.object(
                        replicas_module, "Replicas", lambda pool: self.endpoints
                    )
                )
            if site.platform is not None:
                stack.enter_context(
                    mock.patch.object(
                        operations_module,
                        "Operations",
                        lambda address: site.platform,
                    )
                )
            own = random.Random(f"{site.seed} {name} {site.clock()}")
            stack.enter_context(
                mock.patch.object(random, "Random", lambda: own)
            )
            stack.enter_context(
                mock.patch.object(
                    uuid6, "uuid7", lambda: uuid.UUID(int=own.getrandbits(128))
                )
            )
            self.gateway = gateway_module.Gateway(
                settings,
                pathlib.Path(__file__),
                line_writer.NonBlockingLineWriter(descriptor),
            )
        self.gateway.gossip.sender.transport = self
        self.gateway.query_client.fetch = self.ask
        self.gateway.origin_client.fetch = self.ask
        self.gateway.forwarder.link = self
        # Seconds by which the VM's time of day is ahead.
        self.ahead = 0.0
        self.gateway.gossip.usage.clock = self.time_of_day
        self.gateway.steady_records.clock = self.time_of_day
        reporter = self.gateway.duties.usage_reporter
        if reporter is not None:
            reporter.clock = self.time_of_day

    def time_of_day(self) -> float:
        """The VM's clock in Unix seconds."""
        return self.site.clock() + self.ahead

    def start(self) -> None:
        """Starts the tasks that learn what the store and others say."""
        gateway = self.gateway
        gateway.supervisor.start(
            "entries", lambda: gateway.gossip.entries.run(gateway.gossip)
        )
        gateway.supervisor.start("gossip", gateway.gossip.run)
        gateway.supervisor.start("relay", gateway.gossip.run_relay)
        gateway.supervisor.start("crash-news", gateway.gossip.crash_updates.run)
        gateway.supervisor.start("origins", gateway.gossip.origin_updates.run)
        for name, function in gateway.watches.tasks().items():
            gateway.supervisor.start(name, function)
        gateway.supervisor.start("fetch", gateway.store_copy.fetch)
        gateway.supervisor.start("leadership", gateway.leadership.run)
        gateway.supervisor.start("housekeeping", gateway.housekeeping.run)
        gateway.supervisor.start("steady-records", gateway.steady_records.run)
        for name, function in gateway.duties.tasks().items():
            gateway.supervisor.start(name, function)
        if self.site.fleet is not None:
            gateway.supervisor.start("liveness", gateway.liveness.run)
            if self.site.fleet.switch_seconds is not None:
                gateway.supervisor.start("planner", gateway.planner.run)
            gateway.supervisor.start("crash-records", gateway.crash_records.run)
            if not self.first_start:
                gateway.supervisor.start(
                    "crash-records-read", gateway.crash_records.read
                )

    async def stop(self) -> None:
        """Ends at once."""
        await cancelled([*self.calls, *self.gateway.supervisor.tasks.values()])
        # Calls that end so have the memory of their prompts freed.
        await cancelled(list(self.gateway.generations.prefills.tasks))
        await self.gateway.session.close()
        await self.gateway.loans.close()
        await self.gateway.origin_session.close()
        await self.gateway.forward_link.close()
        os.close(self.gateway.lines.descriptor)

    def sendto(self, data: bytes, receiver: tuple) -> None:
        """Sends a datagram; a full link drops it."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        if self.link.waiting(now) > LINK_QUEUE:
            return
        delay = self.link.send(len(data), now)
        loop.call_later(
            NETWORK + delay, self.site.deliver, data, receiver, self.address
        )

    async def exchange(self, address: tuple, frame: bytes):
        """Has another gateway serve a request; yields its answer.

        Raises:
            exceptions.PeerUnreachable: It does not run.
            exceptions.AnswerBroken: It ended meanwhile.
        """
        await asyncio.sleep(2 * NETWORK)
        if self.site.is_divided(self.address, address):
            await asyncio.sleep(forwarding.CONNECT_TIMEOUT_SECONDS)
            raise exceptions.PeerUnreachable(f"{address}")
        other = self.site.at(address)
        if other is None:
            raise exceptions.PeerUnreachable(f"{address}")
        received: asyncio.Queue[bytes] = asyncio.Queue()
        loop = asyncio.get_running_loop()
        task = loop.create_task(
            other.gateway.forward_server.serve(frame, received.put)
        )
        other.calls[task] = True
        task.add_done_callback(other.calls.pop)
        task.add_done_callback(lambda _: received.put_nowait(b""))
        try:
            while data := await received.get():
                await asyncio.sleep(NETWORK)
                if self.site.is_divided(self.address, address):
                    await asyncio.sleep(forwarding.SILENCE_TIMEOUT_SECONDS)
                    break
                yield data
        finally:
            task.cancel()
        raise exceptions.AnswerBroken("the gateway ended")

    async def ask(self, address: tuple, path: str) -> bytes:
        """Asks another gateway.

        Raises:
            exceptions.PeerUnreachable: It does not run.
        """
        await asyncio.sleep(2 * NETWORK)
        is_divided = self.site.is_divided(self.address, address)
        if is_divided or tuple(address) in self.site.dark:
            await asyncio.sleep(queries.TIMEOUT_SECONDS)
            raise exceptions.PeerUnreachable(path)
        other = self.site.at(address)
        if other is None:
            raise exceptions.PeerNotListening(path)
        found = await other.gateway.query_handler.answer(path)
        if self.site.is_divided(self.address, address):
            await asyncio.sleep(queries.TIMEOUT_SECONDS)
            raise exceptions.PeerUnreachable(path)
        if not found:
            raise exceptions.PeerRefused(path)
        return found

    def uses(self, service: str) -> set[str]:
        """The replicas to which this gateway would send a call now."""
        now = self.site.clock()
        found = self.gateway.directory.eligible.ready(service, now)
        return {replica.instance for replica in found}


async def cancelled(tasks: list[asyncio.Task]) -> None:
    """Cancels tasks and waits for their ends."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


class Site:
    """Gateways, a store and registered replicas.

    >>> site = Site(seed=1)
    >>> site.play(story(site))
    """

    def __init__(self, seed: int):
        self.clock = Clock()
        self.seed = seed
        self.rng = random.Random(seed)
        self.log = virtual_store.Log()
        self.log.clock = self.clock
        self.nodes: dict[str, Node] = {}
        self.fleet: virtual_engines.Fleet | None = None
        self.platform: virtual_operations.Platform | None = None
        self.duties = [names.USAGE_DUTY]
        self.roles = settings_module.RolesSection()
        self.prefill = settings_module.PrefillSection()
        self.beats: dict[str, asyncio.Task] = {}
        # Repeats of the site in a window beyond the share.
        self.spare = 58.0
        # Share, window and more of the settings of second copies.
        self.copies: tuple = ()
        self.divided: set[tuple] = set()
        # Addresses of VMs without power, where questions hang.
        self.dark: set[tuple] = set()
        # Bytes a second of each gateway's link.
        self.link_rate = 1000e6 / 8
        # Whether plain calls are placed by the totals of all gateways.
        self.shares_calls = False
        # Share of the datagrams that are lost.
        self.loss = 0.0
        self.lines: list[tuple[float, int, dict]] = []
        self.watched: Callable[[], None] = lambda: None

    def play(self, story: Coroutine) -> None:
        """Plays a story under this site's clock, to its end."""
        loop = asyncio.SelectorEventLoop(Selector(self.clock))
        loop.time = self.clock
        with contextlib.ExitStack() as stack:
            stack.enter_context(mock.patch("time.monotonic", self.clock))
            stack.enter_context(mock.patch.object(clocks, "now", self.clock))
            stack.enter_context(mock.patch.object(events, "log", self.note))
            random.seed(self.rng.random())
            try:
                loop.run_until_complete(self.ended(story))
            finally:
                loop.close()

    def note(self, event: events.Event, **fields) -> None:
        """Keeps a log line with its time instead of writing it."""
        self.lines.append((self.clock(), event.number, fields))

    async def ended(self, story: Coroutine) -> None:
        """Ends all that runs once a story is over."""
        try:
            await story
        finally:
            if self.fleet is not None:
                await self.fleet.stop()
            for beat in self.beats.values():
                beat.cancel()
            for node in self.nodes.values():
                await node.stop()
            if self.platform is not None:
                await self.platform.close()
                await asyncio.sleep(0)

    def start(
        self, nodes: int, data_centres: int = 3, leaving_ms: float = 2000.0
    ) -> None:
        """Starts gateways within 0.3 s of each other."""
        loop = asyncio.get_running_loop()
        for place in range(nodes):
            name = f"edge-{place}"
            data_centre = f"dc-{place % data_centres}"
            host = f"10.0.{place // 200}.{1 + place % 200}"
            node = Node(self, name, data_centre, leaving_ms, host)
            self.nodes[name] = node
            loop.call_later(self.rng.uniform(0.0, 0.3), node.start)

    async def restart(self) -> None:
        """Ends all gateways and starts them again at once."""
        before = list(self.nodes.values())
        self.nodes = {}
        for old in before:
            await old.stop()
        for old in before:
            self.start_again(old)

    async def restart_one(self, name: str) -> None:
        """Ends one gateway and starts it again."""
        old = self.nodes.pop(name)
        await old.stop()
        self.start_again(old)

    def start_again(self, old: Node) -> None:
        """Starts a gateway in the place of one that has ended."""
        node = Node(
            self,
            old.name,
            old.data_centre,
            old.leaving_ms,
            old.address[0],
            first_start=False,
        )
        self.nodes[old.name] = node
        loop = asyncio.get_running_loop()
        loop.call_later(self.rng.uniform(0.0, 0.3), node.start)

    async def kill(self, *names: str) -> None:
        """Ends gateways at once; their entries stay."""
        for name in names:
            await self.nodes.pop(name).stop()

    def divide(self, names: list[str]) -> None:
        """Lets nothing pass between these gateways and the others."""
        self.divided = {self.nodes[name].address for name in names}

    def is_divided(self, one: tuple, other: tuple) -> bool:
        """Whether nothing passes between two gateways' addresses."""
        return (tuple(one) in self.divided) != (tuple(other) in self.divided)

    def configure(self, version: int) -> None:
        """Writes a configuration."""
        value = {**made_up.CONFIGURATION, "version": version}
        self.log.write(
            names.CONFIGURATION_TOPIC, names.CONFIGURATION_KEY, value
        )

    def register(self, *instances: str) -> None:
        """Registers replicas of a plain service, and keeps them there."""
        loop = asyncio.get_running_loop()
        for instance in instances:
            self.beats[instance] = loop.create_task(self.beat(instance))

    async def beat(self, instance: str) -> None:
        """Writes a replica's entry again and again."""
        entry = {**made_up.REGISTRATION, "service": "app", "stage": ""}
        while True:
            entry["seq"] += 1
            self.log.write(names.REGISTRATIONS_TOPIC, instance, entry)
            await asyncio.sleep(HEARTBEAT * self.rng.uniform(0.9, 1.1))

    def pause(self, *instances: str) -> None:
        """Stops replicas' entries; the last one stays."""
        for instance in instances:
            self.beats.pop(instance).cancel()

    def unregister(self, *instances: str) -> None:
        """Removes replicas' entries."""
        for instance in instances:
            if instance in self.beats:
                self.pause(instance)
            self.log.write(names.REGISTRATIONS_TOPIC, instance, None)

    def cut(self, nodes: list[str]) -> None:
        """Lets nothing pass between gateways and the store."""
        for name in nodes:
            self.nodes[name].path.cut()

    def heal(self, nodes: list[str]) -> None:
        """Lets new calls pass; those of before get no answer."""
        for name in nodes:
            self.nodes[name].path.silent = False

    async def drill(
        self, lost: float, away: float, spread: float = 0.0
    ) -> None:
        """Has the store be away and come back from an older copy.

        Args:
            lost: Seconds of what was written that the copy lacks.
            away: Seconds for which the store refuses every gateway.
            spread: Seconds over which operators and replicas write again.
        """
        again = self.log.go_back(lost)
        since = self.clock()
        for node in self.nodes.values():
            node.path.refuses = True
        await self.pass_time(away)
        for node in self.nodes.values():
            node.path.refuses = False
        loop = asyncio.get_running_loop()
        for topic, key, value in again:
            loop.call_later(
                self.rng.uniform(0.0, spread),
                self.log.write_again,
                topic,
                key,
                value,
                since,
            )

    def at(self, address: tuple) -> Node | None:
        """The gateway that runs at an address; None if there is none."""
        for node in self.nodes.values():
            if node.address == tuple(address):
                return node
        return None

    def deliver(self, data: bytes, receiver: tuple, sender: tuple) -> None:
        """Delivers a datagram."""
        if self.loss and self.rng.random() < self.loss:
            return
        if self.is_divided(sender, receiver):
            return
        for node in self.nodes.values():
            if node.address == tuple(receiver):
                node.gateway.gossip.datagram_received(data, sender)

    async def pass_time(self, seconds: float) -> None:
        """Lets time pass; looks at what is watched in each step."""
        end = self.clock() + seconds
        while self.clock() < end - STEP / 2:
            await asyncio.sleep(STEP)
            self.watched()

    def using(self, instance: str) -> list[str]:
        """The gateways that would send a call to a replica."""
        found = []
        for node in self.nodes.values():
            if instance in node.uses("app"):
                found.append(node.name)
        return found
