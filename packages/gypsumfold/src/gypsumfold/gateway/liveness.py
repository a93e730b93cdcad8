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
# Maximum number of other replicas asked whether a refused connection is this
# node's own fault; two may have crashed at the same time.
MAX_WITNESSES = 3


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
                    await self.directory.probes.requested.wait()
            asked = self.directory.probes.due(time.monotonic())
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
        fresh = self.directory.probes.needs_fresh(instance)
        try:
            async with asyncio.timeout(TIMEOUT_SECONDS):
                state = await self.endpoints.state(replica, fresh)
        except exceptions.EndpointWithheld:
            # It asked to back off after the probe was due.
            self.directory.probes.request(instance)
        except exceptions.EndpointMismatch:
            self.directory.process_ended(instance)
            self.directory.liveness.suspect(instance, time.monotonic())
        except exceptions.EndpointNotListening:
            await self.handle_refused(instance)
        except (exceptions.EndpointRefused, exceptions.RecordInvalid):
            self.handle_answer(instance, fresh)
        except (exceptions.EndpointError, TimeoutError) as error:
            await self.handle_silence(instance, fresh, error)
        else:
            self.directory.receive_state(instance, state)
            self.handle_answer(instance, fresh)

    def handle_answer(self, instance: str, fresh: bool) -> None:
        """Records that a replica answered a probe."""
        if fresh:
            self.directory.liveness.connection_answered(instance)
        self.directory.replica_answered(instance)
        self.directory.liveness.record_activity(instance, time.monotonic())

    async def handle_silence(
        self, instance: str, fresh: bool, error: Exception
    ) -> None:
        """Records that a probe was not answered."""
        now = time.monotonic()
        if not fresh and not isinstance(error, exceptions.EndpointUnreachable):
            self.directory.liveness.suspect(instance, now)
            return
        self.suspect_unless_active(instance, now)
        if self.directory.liveness.connection_failed(instance, now):
            await self.check_links(instance, now)

    async def check_links(self, instance: str, now: float) -> None:
        """Asks a witness if several replicas were lost.

        All are probed if it doesn't answer either.
        """
        if not self.directory.reachability.needs_witness(now):
            return
        if not await self.reaches_another(instance, witnesses=1):
            self.directory.reachability.sweep_due = True

    def suspect_unless_active(self, instance: str, now: float) -> None:
        """Marks a replica as silent that doesn't answer on a new connection.

        One that sends data on open connections goes on with what it runs.
        """
        if not self.directory.silence.is_active(instance, now):
            self.directory.liveness.suspect(instance, now)

    async def handle_refused(self, instance: str) -> None:
        """Records that a connection was refused.

        Where runs were interrupted, the replica's process has ended, unless it
        is this node that has lost its links. If no other replica was lost that
        isn't asked: until the crash is known, other nodes may run the same
        requests.
        """
        now = time.monotonic()
        self.suspect_unless_active(instance, now)
        newly = self.directory.liveness.connection_failed(instance, now)
        if not self.directory.has_interrupted_runs(instance):
            if newly:
                await self.check_links(instance, now)
            return
        if self.directory.reachability.count_lost(now) <= 1:
            self.directory.process_ended(instance)
            return
        if await self.reaches_another(instance, MAX_WITNESSES):
            self.directory.process_ended(instance)
            return
        self.directory.reachability.sweep_due = True

    async def reaches_another(self, instance: str, witnesses: int) -> bool:
        """Whether another replica answers on a new connection.

        Without another one that could be asked, the node trusts its links.

        Args:
            instance: The replica that doesn't.
            witnesses: Maximum number of others to ask, one after the other.
        """
        if len(self.directory.replicas) <= 1:
            return True
        for _ in range(witnesses):
            witness = self.directory.probes.find_witness(instance)
            if witness is None:
                return False
            if await self.is_answering(witness):
                return True
        return False

    async def is_answering(self, witness: types.Replica) -> bool:
        """Whether a replica answers on a new connection."""
        try:
            async with asyncio.timeout(TIMEOUT_SECONDS):
                await self.endpoints.state(witness, fresh=True)
        except (
            exceptions.EndpointRefused,
            exceptions.EndpointWithheld,
            exceptions.RecordInvalid,
        ):
            return True
        except (exceptions.EndpointError, TimeoutError):
            now = time.monotonic()
            self.suspect_unless_active(witness.instance, now)
            self.directory.liveness.connection_failed(witness.instance, now)
            return False
        return True
