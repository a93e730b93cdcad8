"""Probes replicas that are silent or broke off an answer."""

import asyncio
import contextlib
import time

from gypsumfold import exceptions
from gypsumfold.gateway import directory as directory_module
from gypsumfold.gateway import types

# Seconds between two checks for replicas to probe, and the minimum after one
# broke off an answer: the interrupted requests wait for the result.
CHECK_INTERVAL_SECONDS = 0.1
MIN_CHECK_INTERVAL_SECONDS = 0.01
# Seconds that a replica has to answer a probe; a report takes 3 ms.
TIMEOUT_SECONDS = 0.25


class LivenessChecks:
    """Marks replicas that do not answer as suspect, until they do.

    >>> checks = LivenessChecks(directory, endpoints)
    >>> await checks.run()
    """

    def __init__(
        self, directory: directory_module.Directory, endpoints: types.Endpoints
    ):
        self.directory = directory
        self.endpoints = endpoints

    async def run(self) -> None:
        """Probes replicas for as long as the node runs."""
        while True:
            await asyncio.sleep(MIN_CHECK_INTERVAL_SECONDS)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CHECK_INTERVAL_SECONDS):
                    await self.directory.probe_requested.wait()
            asked = self.directory.due_probes(time.monotonic())
            async with asyncio.TaskGroup() as group:
                for instance in asked:
                    group.create_task(self.probe(instance))

    async def probe(self, instance: str) -> None:
        """Probes one replica.

        An answer from another instance means that the replica's process has
        ended.
        """
        replica = self.directory.replicas.get(instance)
        if replica is None:
            self.directory.suspects.discard(instance)
            return
        try:
            async with asyncio.timeout(TIMEOUT_SECONDS):
                state = await self.endpoints.state(replica)
        except (exceptions.EndpointMismatch, exceptions.EndpointNotListening):
            self.directory.process_ended(instance)
            self.directory.suspect(instance, time.monotonic())
        except (exceptions.EndpointRefused, exceptions.RecordInvalid):
            self.directory.replica_answered(instance)
            self.directory.record_activity(instance, time.monotonic())
        except (exceptions.EndpointError, TimeoutError):
            self.directory.suspect(instance, time.monotonic())
        else:
            self.directory.receive_state(instance, state)
            self.directory.replica_answered(instance)
            self.directory.record_activity(instance, time.monotonic())
