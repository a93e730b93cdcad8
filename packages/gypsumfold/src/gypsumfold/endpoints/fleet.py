"""The state of every declared endpoint, kept by polling each."""

import asyncio
import time
from typing import Any

from gypsumfold import configuration as configuration_module
from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold import objects
from gypsumfold import settings as settings_module
from gypsumfold.control import permissions
from gypsumfold.decisions import types
from gypsumfold.endpoints import connections
from gypsumfold.endpoints import engines
from gypsumfold.endpoints import permits
from gypsumfold.endpoints import services

# How long after its last dispatch to an endpoint a node polls it at the full
# rate: longer than the gaps in a steady load, shorter than those at night.
IN_USE_SECONDS = 2.0
# Multiplies the poll interval of an endpoint that is not in use. A poll costs
# 0.39 ms (bench/slopes.py); 4 polls a second of each of 9 endpoints cost more
# than a node may spend on control. Reports stay younger than a second.
UNUSED_POLL_FACTOR = 3.0


class WatchedEndpoint:
    """One declared endpoint and its last known state.

    Attributes:
        name: Declared name.
        declared: The current declaration.
        client: The client for requests to the endpoint.
        load: The last report; None before the first.
        last_seen: Monotonic time at which the last answered poll was sent;
            minus infinity before the first answer and after `Fleet.suspend`.
        last_used: Monotonic time at which this node last sent work there;
            minus infinity before that.
        vm_leaving: Whether the endpoint's VM is leaving, according to the
            platform's list of VMs.
        permit: Whether this node may dispatch to the endpoint.
        task: The task that polls the endpoint.
    """

    def __init__(self, name: str, declared: objects.Endpoint, client: Any):
        self.name = name
        self.declared = declared
        self.client = client
        self.load: engines.Load | services.Health | None = None
        self.last_seen = float("-inf")
        self.last_used = float("-inf")
        self.vm_leaving = False
        self.permit: permits.Permit = permits.AlwaysAllowed()
        self.task: asyncio.Task | None = None

    def is_open(self, now: float, silent_after: float) -> bool:
        """Whether new work may be sent to the endpoint.

        Args:
            now: Monotonic seconds.
            silent_after: Seconds without an answer after which the endpoint
                counts as unavailable.
        """
        if self.load is None or self.load.leaving or self.vm_leaving:
            return False
        if self.declared.drained or not self.permit.allows():
            return False
        return now - self.last_seen <= silent_after


class Fleet:
    """Polls the declared endpoints, with one task each.

    >>> fleet = Fleet(settings, configuration, sessions)
    >>> fleet.replicas("dispatch")
    [Replica(name='na-1', ...)]
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        configuration: configuration_module.Configuration,
        sessions: connections.Sessions,
    ):
        self.settings = settings.endpoints
        self.configuration = configuration
        self.sessions = sessions
        self.permissions: permissions.Permissions | None = None
        self.endpoints: dict[str, WatchedEndpoint] = {}

    def sync(self) -> None:
        """Starts and stops polling to match the configuration."""
        declared = self.configuration.all("endpoint")
        for name in list(self.endpoints):
            watched = self.endpoints[name]
            if name in declared and is_same_process(
                watched.declared, declared[name]
            ):
                watched.declared = declared[name]
                continue
            watched.task.cancel()
            del self.endpoints[name]
        for name, endpoint in declared.items():
            if name in self.endpoints:
                continue
            service = self.configuration.get("service", endpoint.service)
            if service is None:
                continue
            self.watch(name, endpoint, service)

    def watch(
        self, name: str, endpoint: objects.Endpoint, service: objects.Service
    ) -> None:
        """Starts polling an endpoint."""
        client_type = services.ServiceClient
        if service.protocol == "engine":
            client_type = engines.EngineClient
        client = client_type(endpoint.address, self.sessions, self.settings)
        watched = WatchedEndpoint(name, endpoint, client)
        if service.protocol == "engine" and self.permissions is not None:
            watched.permit = permissions.Permit(self.permissions, name)
            client.permit = watched.permit
        watched.task = asyncio.create_task(self.poll(watched))
        self.endpoints[name] = watched

    async def poll(self, watched: WatchedEndpoint) -> None:
        """Polls one endpoint until cancelled."""
        silent = False
        while True:
            asked_at = time.monotonic()
            try:
                load = await watched.client.load()
            except exceptions.EndpointError:
                silence = time.monotonic() - watched.last_seen
                if not silent and silence > self.settings.silent_after:
                    silent = True
                    events.log(events.ENDPOINT_SILENT, endpoint=watched.name)
                await asyncio.sleep(self.poll_interval(watched))
                continue
            if silent or watched.load is None:
                events.log(events.ENDPOINT_HEARD, endpoint=watched.name)
            silent = False
            self.record_report(watched, load, asked_at)
            await asyncio.sleep(self.poll_interval(watched))

    def poll_interval(self, watched: WatchedEndpoint) -> float:
        """Returns the seconds until the next poll of an endpoint."""
        if time.monotonic() - watched.last_used < IN_USE_SECONDS:
            return self.settings.poll
        return self.settings.poll * UNUSED_POLL_FACTOR

    def record_use(self, name: str) -> None:
        """Records that this node sends work to an endpoint."""
        if name in self.endpoints:
            self.endpoints[name].last_used = time.monotonic()

    def record_report(
        self,
        watched: WatchedEndpoint,
        load: engines.Load | services.Health,
        asked_at: float,
    ) -> None:
        """Stores a report.

        The endpoint counts as seen when the poll was sent, not when the
        answer was read: a process that resumes after a pause may read an
        answer as old as the pause.
        """
        was_leaving = watched.load is not None and watched.load.leaving
        if load.leaving and not was_leaving:
            events.log(events.ENDPOINT_LEAVING, endpoint=watched.name)
        watched.load = load
        watched.last_seen = asked_at

    def suspend(self, name: str) -> None:
        """Sends an endpoint no new work until it answers a poll again.

        Args:
            name: Name of an endpoint that refused a connection or a dispatch.
        """
        if name in self.endpoints:
            self.endpoints[name].last_seen = float("-inf")

    def replicas(self, service: str) -> list[types.Replica]:
        """Lists the replicas of a service as input for scheduling."""
        now = time.monotonic()
        found = []
        for watched in self.endpoints.values():
            if watched.declared.service != service:
                continue
            found.append(self.replica(watched, now))
        return found

    def replica(self, watched: WatchedEndpoint, now: float) -> types.Replica:
        """Describes one endpoint as input for scheduling.

        The report's time is converted from the endpoint's wall clock to this
        node's monotonic clock. A report dated in the future counts as just
        taken.
        """
        load = watched.load
        report = None
        models = frozenset()
        role = types.Role.MIXED
        if isinstance(load, engines.Load):
            age = max(0.0, time.time() - load.taken)
            report = types.Report(
                now - age,
                load.running,
                load.waiting,
                load.prefill_tokens,
                load.kv_used,
                load.batch,
                load.prefill_rate,
                load.decode_rate,
            )
            models = frozenset(load.models)
            role = types.Role(load.role)
        return types.Replica(
            watched.name,
            watched.declared.data_centre,
            role,
            watched.is_open(now, self.settings.silent_after),
            report,
            models,
        )

    async def close(self) -> None:
        """Stops all polling."""
        tasks = [w.task for w in self.endpoints.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def is_same_process(one: objects.Endpoint, other: objects.Endpoint) -> bool:
    """Whether two declarations describe the same process."""
    return (one.address, one.service) == (other.address, other.service)
