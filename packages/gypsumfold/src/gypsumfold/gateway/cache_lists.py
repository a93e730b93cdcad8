"""Learns at a restart what the engines keep of prompts read before it.

A node that starts in the middle of a day believes that nothing is cached,
sends prompts away from their homes and has them read again. So it asks each
engine once; afterwards the nodes tell each other. Where a relay speaks for a
data centre it alone asks the engines: after 195 nodes had lost power they
asked 78 engines 15,000 times within seconds, and each list holds its engine
up.
"""

import asyncio

import msgspec

from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold.decisions import incarnations
from gypsumfold.decisions import prefix_routing as prefix_routing_module
from gypsumfold.gateway import configurations as configurations_module
from gypsumfold.gateway import directory as directory_module
from gypsumfold.gateway import types
from gypsumfold.gateway.peers import gossip as gossip_module
from gypsumfold.gateway.peers import questions as questions_module

# Seconds between two looks for engines that were not asked yet, and for how
# long after the start that is done.
CHECK_INTERVAL_SECONDS = 0.1
MAX_CHECKS = 60
# Seconds for one list; it waits for a pause in the engine's work.
TIMEOUT_SECONDS = 1.0
ENCODER = msgspec.msgpack.Encoder()


class CacheLists:
    """Asks each engine once for the parts of prompts that it keeps.

    >>> lists = CacheLists(
    ...     directory, configurations, endpoints, homes, gossip, questions
    ... )
    >>> await lists.run()
    """

    def __init__(
        self,
        directory: directory_module.Directory,
        configurations: configurations_module.Configurations,
        endpoints: types.Endpoints,
        homes: prefix_routing_module.PrefixRouter,
        gossip: gossip_module.Gossip,
        questions: questions_module.Questions,
    ):
        self.directory = directory
        self.configurations = configurations
        self.endpoints = endpoints
        self.prefix_router = homes
        self.gossip = gossip
        self.questions = questions
        self.asked: set[str] = set()
        self.started = False
        self.has_lists = False

    async def run(self) -> None:
        """Asks in the first seconds: the engines, or the relay that did."""
        self.started = True
        for _ in range(MAX_CHECKS):
            if self.gossip.leads():
                await self.ask_engines()
                self.has_lists |= bool(self.asked)
            elif not self.gossip.reads() and not self.has_lists:
                await self.ask_relay()
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    async def ask_relay(self) -> None:
        """Learns from the relay what it knows by now."""
        relay = self.gossip.relay_address()
        if relay is None:
            return
        try:
            body = await self.questions.ask(relay, questions_module.CACHES)
            found = questions_module.CACHES_DECODER.decode(body)
        except exceptions.PeerRefused:
            # It has no lists yet, as it may have started just now, too.
            return
        except (
            exceptions.PeerError,
            exceptions.RecordInvalid,
            msgspec.DecodeError,
        ) as error:
            events.log(events.PEER_SILENT, reason=str(error))
            # Others ask it too; its link may be full of answers.
            await asyncio.sleep(TIMEOUT_SECONDS)
            return
        self.has_lists = True
        for caches in found:
            self.apply_links(caches)

    def apply_links(self, caches: questions_module.CacheLinks) -> None:
        """Takes in what the relay believes that one engine keeps."""
        replica = self.directory.replicas.get(caches.engine)
        if replica is None or incarnations.is_later_start(
            caches.born, replica.started_at
        ):
            return
        if incarnations.is_later_start(replica.started_at, caches.born):
            return
        service = self.service(replica)
        if service is None:
            return
        self.prefix_router.cache_capacity = service.cache_tokens
        self.prefix_router.caches.add_hashes(
            caches.engine, caches.links, caches.tokens, service.cache_tokens
        )

    def encode_caches(self) -> bytes:
        """What this node believes of caches; empty while it still asks."""
        if self.started and not self.has_lists:
            return b""
        found = []
        for engine, kept in self.prefix_router.caches.kept.items():
            replica = self.directory.replicas.get(engine)
            if replica is None:
                continue
            found.append(
                questions_module.CacheLinks(
                    engine, replica.started_at, list(kept), list(kept.values())
                )
            )
        return ENCODER.encode(found)

    def service(self, replica: types.Replica) -> types.Service | None:
        """The declared service of an engine; None for other replicas."""
        configuration = self.configurations.current
        if configuration is None:
            return None
        service = configuration.services.get(replica.service)
        if service is None or not service.cache_tokens:
            return None
        return service

    async def ask_engines(self) -> None:
        """Asks the engines that were not asked yet."""
        async with asyncio.TaskGroup() as group:
            for replica in list(self.directory.replicas.values()):
                service = self.service(replica)
                if service is None:
                    continue
                if replica.instance in self.asked:
                    continue
                self.asked.add(replica.instance)
                group.create_task(self.ask_engine(replica, service))

    async def ask_engine(
        self, replica: types.Replica, service: types.Service
    ) -> None:
        """Asks one engine; without its answer it counts as empty."""
        try:
            async with asyncio.timeout(TIMEOUT_SECONDS):
                found = await self.endpoints.cache_list(replica)
        except (
            exceptions.EndpointError,
            exceptions.RecordInvalid,
            TimeoutError,
        ) as error:
            events.log(
                events.ATTEMPT_FAILED,
                instance=replica.instance,
                reason=repr(error),
            )
            return
        if not self.directory.incarnations.observe(
            replica.instance, found.started_at
        ):
            return
        self.prefix_router.cache_capacity = service.cache_tokens
        self.prefix_router.caches.add_blocks(
            replica.instance, found.blocks, service.cache_tokens
        )
