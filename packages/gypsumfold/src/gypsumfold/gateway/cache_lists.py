"""Loads at startup which prefix blocks each engine has cached.

A node that restarts would otherwise assume empty caches, route prompts away
from their preferred engines and have them prefilled again. So it asks each
engine once; later changes come from the other nodes. If a relay serves the data
centre, only the relay asks the engines: after a power loss 195 nodes asked 78
engines 15,000 times within seconds, and each list delays its engine's work.
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
from gypsumfold.gateway.peers import queries as queries_module

# Seconds between two checks for engines that were not asked yet, and the number
# of checks after startup.
CHECK_INTERVAL_SECONDS = 0.1
MAX_CHECKS = 60
# Seconds for one list, which waits for a pause in the engine's work.
TIMEOUT_SECONDS = 1.0
ENCODER = msgspec.msgpack.Encoder()


class CacheLists:
    """Asks each engine once for the prefix blocks that it has cached.

    Attributes:
        asked: Instances that were asked.
        started: Whether `run` has started.
        has_lists: Whether this node has any lists.

    >>> lists = CacheLists(
    ...     directory, configurations, endpoints, router, gossip, query_client
    ... )
    >>> await lists.run()
    """

    def __init__(
        self,
        directory: directory_module.Directory,
        configurations: configurations_module.Configurations,
        endpoints: types.Endpoints,
        prefix_router: prefix_routing_module.PrefixRouter,
        gossip: gossip_module.Gossip,
        query_client: queries_module.QueryClient,
    ):
        self.directory = directory
        self.configurations = configurations
        self.endpoints = endpoints
        self.prefix_router = prefix_router
        self.gossip = gossip
        self.query_client = query_client
        self.asked: set[str] = set()
        self.started = False
        self.has_lists = False

    async def run(self) -> None:
        """Asks the engines, or the relay that asked them, after startup."""
        self.started = True
        for _ in range(MAX_CHECKS):
            if self.gossip.is_confirmed_reader():
                await self.ask_engines()
                self.has_lists |= bool(self.asked)
            elif not self.gossip.is_store_reader() and not self.has_lists:
                await self.ask_relay()
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    async def ask_relay(self) -> None:
        """Asks the relay for the lists that it has."""
        relay = self.gossip.relay_address()
        if relay is None:
            return
        try:
            body = await self.query_client.fetch(relay, queries_module.CACHES)
            found = queries_module.CACHES_DECODER.decode(body)
        except exceptions.PeerRefused:
            # It has no lists yet; it may have just started, too.
            return
        except (
            exceptions.PeerError,
            exceptions.RecordInvalid,
            msgspec.DecodeError,
        ) as error:
            events.log(events.PEER_SILENT, reason=str(error))
            # Other nodes ask it too; its link may be saturated by answers.
            await asyncio.sleep(TIMEOUT_SECONDS)
            return
        self.has_lists = True
        for caches in found:
            self.apply_links(caches)

    def apply_links(self, caches: queries_module.CachedPrefixes) -> None:
        """Applies the relay's list for one engine."""
        replica = self.directory.replicas.get(caches.engine)
        if replica is None or incarnations.is_later_start(
            caches.started_at, replica.started_at
        ):
            return
        if incarnations.is_later_start(replica.started_at, caches.started_at):
            return
        service = self.service(replica)
        if service is None:
            return
        self.prefix_router.cache_capacity = service.cache_tokens
        self.prefix_router.caches.add_hashes(
            caches.engine,
            caches.prefix_hashes,
            caches.tokens,
            service.cache_tokens,
        )

    def encode_caches(self) -> bytes:
        """Returns the lists for other nodes; empty while this node has none."""
        if self.started and not self.has_lists:
            return b""
        found = []
        for engine, kept in self.prefix_router.caches.kept.items():
            replica = self.directory.replicas.get(engine)
            if replica is None:
                continue
            found.append(
                queries_module.CachedPrefixes(
                    engine, replica.started_at, list(kept), list(kept.values())
                )
            )
        return ENCODER.encode(found)

    def service(self, replica: types.Replica) -> types.Service | None:
        """Returns an engine's declared service; None for other replicas."""
        configuration = self.configurations.current
        if configuration is None:
            return None
        service = configuration.services.get(replica.service)
        if service is None or not service.cache_tokens:
            return None
        return service

    async def ask_engines(self) -> None:
        """Asks the engines that were not asked before."""
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
        """Asks one engine; without an answer its cache counts as empty."""
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
