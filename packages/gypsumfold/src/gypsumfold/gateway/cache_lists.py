"""Learns at a restart what the engines keep of prompts read before it.

A node that starts in the middle of a day believes that nothing is cached,
sends prompts away from their homes and has them read again. So it asks each
engine once; afterwards the nodes tell each other.
"""

import asyncio

from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold.decisions import homes as homes_module
from gypsumfold.gateway import directory as directory_module
from gypsumfold.gateway import types
from gypsumfold.gateway import watching

# Seconds between two looks for engines that were not asked yet, and for how
# long after the start that is done.
LOOK = 0.1
LOOKS = 60
# Seconds for one list; it waits for a pause in the engine's work.
LIMIT = 1.0


class CacheLists:
    """Asks each engine once for the parts of prompts that it keeps.

    >>> lists = CacheLists(directory, configurations, endpoints, homes)
    >>> await lists.run()
    """

    def __init__(
        self,
        directory: directory_module.Directory,
        configurations: watching.Configurations,
        endpoints: types.Endpoints,
        homes: homes_module.Homes,
    ):
        self.directory = directory
        self.configurations = configurations
        self.endpoints = endpoints
        self.homes = homes
        self.asked: set[str] = set()

    async def run(self) -> None:
        """Asks the engines that are there in the first seconds."""
        for _ in range(LOOKS):
            await self.look()
            await asyncio.sleep(LOOK)

    async def look(self) -> None:
        """Asks the engines that were not asked yet."""
        configuration = self.configurations.current
        if configuration is None:
            return
        async with asyncio.TaskGroup() as group:
            for replica in list(self.directory.replicas.values()):
                service = configuration.services.get(replica.service)
                if service is None or not service.cache_tokens:
                    continue
                if replica.instance in self.asked:
                    continue
                self.asked.add(replica.instance)
                group.create_task(self.ask(replica, service))

    async def ask(self, replica: types.Replica, service: types.Service) -> None:
        """Asks one engine; without its answer it counts as empty."""
        try:
            async with asyncio.timeout(LIMIT):
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
        if not self.directory.births.newest(replica.instance, found.born):
            return
        self.homes.memory = service.cache_tokens
        self.homes.caches.add_parts(
            replica.instance, found.parts, service.cache_tokens
        )
