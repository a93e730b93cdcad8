"""Runs the role planner of one service on the node that holds its lease."""

import asyncio
import time

from gypsumfold import dispatching
from gypsumfold import events
from gypsumfold import objects
from gypsumfold.control import lease_manager as lease_manager_module
from gypsumfold.decisions import roles
from gypsumfold.decisions import types
from gypsumfold.endpoints import engines
from gypsumfold.endpoints import fleet as fleet_module

# Seconds between two plans; demand is measured over two intervals.
PLAN_INTERVAL = 1.0
# Seconds that a change and the draining before it take: 6 s and about 4 s
# with the stand-in engine at half speed.
CHANGE_SECONDS = 6.0
DRAIN_SECONDS = 4.0
# Output tokens a second of a full batch, as a fraction of the batch size times
# the rate of a single sequence; 0.53 for the stand-in's mixed engine.
BATCH_EFFICIENCY = 0.5
# Throughput of a specialized engine relative to a mixed one; 1.33 for prefill
# and 1.34 for decode of the stand-in (gypsumfold_standins/service_time.py).
SPECIALIZED_GAIN = 1.33


class RolePlanner:
    """Runs the planner of one service and keeps the roles it has chosen.

    >>> planner = RolePlanner(
    ...     "dispatch", fleet, dispatchers, lease_manager
    ... )
    >>> executor.planned_role = planner.planned_role
    >>> await planner.run()
    """

    def __init__(
        self,
        service: str,
        fleet: fleet_module.Fleet,
        dispatchers: dict[str, dispatching.Dispatcher],
        lease_manager: lease_manager_module.LeaseManager,
    ):
        self.service = service
        self.fleet = fleet
        self.dispatchers = dispatchers
        self.lease_manager = lease_manager
        self.choices: dict[str, types.Role] = {}
        self.planner: roles.Planner | None = None

    @property
    def declared(self) -> objects.Service | None:
        """The service's declaration."""
        return self.fleet.configuration.get("service", self.service)

    def planned_role(self, engine: str) -> str | None:
        """Returns the desired role; None where the planner may not choose.

        An engine that it has not changed keeps its role, so that a node that
        takes over the lease does not undo what the last one planned.
        """
        declared = self.declared
        if declared is None or not declared.planner:
            return None
        watched = self.fleet.endpoints.get(engine)
        if watched is None or not isinstance(watched.load, engines.Load):
            return None
        return self.choices.get(engine, watched.load.role)

    async def run(self) -> None:
        """Plans as long as the service is declared."""
        while True:
            await asyncio.sleep(PLAN_INTERVAL)
            declared = self.declared
            if declared is None or not declared.planner:
                continue
            if not self.lease_manager.is_valid():
                self.choices.clear()
                self.planner = None
                continue
            self.plan_once(declared, time.monotonic())

    def plan_once(self, declared: objects.Service, now: float) -> None:
        """Plans at most one change."""
        found = self.engines(now)
        if not found:
            return
        if self.planner is None:
            costs = roles.Costs(
                CHANGE_SECONDS, DRAIN_SECONDS, declared.change_weight
            )
            self.planner = roles.GainPlanner(self.rates(), costs, now)
        change = self.planner.plan(found, self.demand(now), now)
        if change is None:
            return
        self.choices[change.engine] = change.role
        events.log(
            events.ROLE_PLANNED,
            engine=change.engine,
            role=change.role,
            gain=round(change.gain, 1),
            loss=round(change.loss, 1),
        )

    def demand(self, now: float) -> types.Demand:
        """Returns the callers' demand on all nodes together."""
        dispatcher = self.dispatchers[self.service]
        total = dispatcher.scheduler.demand(now)
        for other in dispatcher.peer_demands:
            total = types.Demand(
                total.prompt_tokens + other.prompt_tokens,
                total.output_tokens + other.output_tokens,
                total.waiting + other.waiting,
            )
        return total

    def engines(self, now: float) -> list[roles.Engine]:
        """Returns the service's engines as input for the planner."""
        found = []
        for replica in self.fleet.replicas(self.service):
            if replica.report is None:
                continue
            desired = self.choices.get(replica.name, replica.role)
            found.append(
                roles.Engine(
                    replica.name,
                    replica.role,
                    replica.report.taken,
                    replica.report.running,
                    replica.open and desired == replica.role,
                )
            )
        return found

    def rates(self) -> dict[types.Role, roles.Rates]:
        """Returns tokens a second by role, from an engine's report."""
        for replica in self.fleet.replicas(self.service):
            report = replica.report
            if report is None or replica.role != types.Role.MIXED:
                continue
            decode = report.batch * report.decode_rate * BATCH_EFFICIENCY
            mixed = roles.Rates(report.prefill_rate, decode)
            return rates_of(mixed)
        return rates_of(roles.Rates(1.0, 1.0))


def rates_of(mixed: roles.Rates) -> dict[types.Role, roles.Rates]:
    """Derives the rates of all roles from those of a mixed engine."""
    return {
        types.Role.MIXED: mixed,
        types.Role.PREFILL: roles.Rates(mixed.prefill * SPECIALIZED_GAIN, 0.0),
        types.Role.DECODE: roles.Rates(0.0, mixed.decode * SPECIALIZED_GAIN),
    }
