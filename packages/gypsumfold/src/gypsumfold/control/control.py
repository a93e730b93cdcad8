"""Sets up a node's part in control: leases, closings and orders."""

import asyncio
from typing import NamedTuple

from gypsumfold import clocks
from gypsumfold import settings as settings_module
from gypsumfold.control import closing
from gypsumfold.control import control_state as control_state_module
from gypsumfold.control import evidence as evidence_module
from gypsumfold.control import journal as journal_module
from gypsumfold.control import lease_manager as lease_manager_module
from gypsumfold.control import leases
from gypsumfold.control import order_executor
from gypsumfold.control import permissions as permissions_module
from gypsumfold.control import role_planning
from gypsumfold.control import sending
from gypsumfold.endpoints import engines
from gypsumfold.logservice import logs
from gypsumfold.logservice import records

# Reads of the stream within the lifetime of a permission: one may be lost,
# and each may take its full wait.
READS = 4
# Seconds that a stopping node waits for the answers to its orders.
STOP_LIMIT = 2 * order_executor.ANSWER_TIMEOUT


class ServiceControl(NamedTuple):
    """The lease manager and order executor of one service."""

    lease_manager: lease_manager_module.LeaseManager
    executor: order_executor.OrderExecutor


class Control:
    """Control on one node.

    Attributes:
        permissions: Asked before each dispatch to an engine.
        services: The services whose lease this node may hold.

    >>> control = Control(node)
    >>> control.reconfigure()
    """

    def __init__(self, node):
        self.node = node
        settings: settings_module.Settings = node.settings
        self.settings = settings
        self.identity = leases.Identity(
            node.incarnation, settings.node.name, settings.node.address
        )
        self.control_state = control_state_module.ControlState(
            settings.platform.retention, clocks.now
        )
        self.tail = logs.Tail(
            node.log,
            records.CONTROL,
            wait=min(
                logs.READ_WAIT_SECONDS, settings.control.permission / READS
            ),
        )
        self.permissions = permissions_module.Permissions(
            settings.control, self.control_state
        )
        self.tail.subscribe(self.control_state.apply, self.gap)
        self.tail.end_listeners.append(self.at_end)
        self.control_state.listeners.append(self.receive)
        self.journal = journal_module.Journal(
            node.log, self.tail, settings.platform
        )
        self.closer = closing.Closer(self.permissions, self.tail, node.peers)
        self.sender = sending.Sender(settings)
        self.evidence = evidence_module.Evidence(
            self.identity, node.peers, node.membership
        )
        self.services: dict[str, ServiceControl] = {}

    def gap(self, wanted: int, first: int) -> None:
        """Discards all state: the log dropped entries before they were read."""
        self.control_state.gap(wanted, first)
        for service in self.services.values():
            service.lease_manager.tenure.end()

    def at_end(self, asked: float) -> None:
        """Extends all permissions: every closing up to `asked` was read."""
        self.control_state.caught_up()
        self.permissions.confirmed = asked

    def receive(
        self, logged: control_state_module.LoggedRecord, valid: bool
    ) -> None:
        """Forwards a record to its service's lease manager."""
        service = self.services.get(logged.record.service)
        if service is not None:
            service.lease_manager.receive(logged, valid)

    def reconfigure(self) -> None:
        """Applies a change of configuration."""
        declared = self.node.configuration.all("service")
        for name in list(self.services):
            if name in declared:
                continue
            for part in ("lease", "changes", "planning"):
                self.node.tasks.pop(f"{part}-{name}").cancel()
            del self.services[name]
        for name, service in declared.items():
            if name in self.services or service.protocol != "engine":
                continue
            self.services[name] = self.start_service(name)

    def start_service(self, service: str) -> ServiceControl:
        """Starts the tasks of a service whose lease this node may hold."""
        lease_manager = lease_manager_module.LeaseManager(
            service,
            self.settings.control,
            self.identity,
            self.control_state,
            self.journal,
        )
        lease_manager.find_evidence = self.evidence.find
        executor = order_executor.OrderExecutor(
            self.settings,
            lease_manager,
            self.closer,
            self.sender,
            lambda: self.engines(service),
            self.node.new_id,
        )
        planner = role_planning.RolePlanner(
            service, self.node.fleet, self.node.dispatchers, lease_manager
        )
        executor.planned_role = planner.planned_role
        self.node.supervise(f"lease-{service}", lease_manager.run)
        self.node.supervise(f"changes-{service}", executor.run)
        self.node.supervise(f"planning-{service}", planner.run)
        return ServiceControl(lease_manager, executor)

    def engines(self, service: str) -> list[order_executor.Engine]:
        """Lists the engines of a service that have reported."""
        found = []
        for watched in self.node.fleet.endpoints.values():
            if watched.declared.service != service:
                continue
            if isinstance(watched.load, engines.Load):
                found.append(
                    order_executor.Engine(
                        watched.name, watched.declared, watched.load.role
                    )
                )
        return found

    async def release(self) -> None:
        """Releases all leases at the end of a graceful shutdown."""
        limit = clocks.now() + STOP_LIMIT
        for service in self.services.values():
            service.lease_manager.stopping = True
        sends = [t for h in self.services.values() for t in h.executor.tasks]
        if sends:
            await asyncio.wait(sends, timeout=limit - clocks.now())
        releases = [h.lease_manager.release() for h in self.services.values()]
        await asyncio.gather(*releases)
