"""Orders engines to change roles so that prefill and decode fit the load."""

import asyncio
from collections.abc import Callable
import time
from typing import NamedTuple

from gypsumfold import clocks
from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold.decisions import decode_reserve
from gypsumfold.decisions import incarnations
from gypsumfold.decisions import prefix_routing as prefix_routing_module
from gypsumfold.decisions import role_changes
from gypsumfold.decisions import role_split
from gypsumfold.decisions import types as decision_types
from gypsumfold.gateway import configurations as configurations_module
from gypsumfold.gateway import directory as directory_module
from gypsumfold.gateway import grants
from gypsumfold.gateway import leadership as leadership_module
from gypsumfold.gateway import role_events
from gypsumfold.gateway import types
from gypsumfold.gateway.peers import gossip as gossip_module

# Seconds between two checks of the engines; a check makes no call.
CHECK_INTERVAL_SECONDS = 0.15
# Seconds beyond an engine's declared switch time until its entry must show the
# new role. Running streams end first, which takes as long as their callers
# wait, and an order without an answer may be carried out 12 s later.
ROLE_CHANGE_TIMEOUT_SECONDS = 12.0
# Seconds beyond an engine's declared switch time for which it gets no work
# unless its entry shows the new role; entries are renewed once a second.
CLOSED_SECONDS = 1.5
# Seconds between the notice to the other nodes and the order.
ORDER_DELAY_SECONDS = 0.05
# Seconds between two polls whether a role change is done; the entry in the
# store shows it up to two seconds later.
POLL_INTERVAL_SECONDS = 0.15
# Seconds for which a confirmed role overrides the entry's.
CONFIRMED_SECONDS = 5.0
# Seconds until an engine that could not be ordered is tried again.
RETRY_SECONDS = 0.5
# Time limit of one call to an engine, in seconds.
CALL_TIMEOUT_SECONDS = 1.0


class PendingOrder(NamedTuple):
    """An order whose effect is not visible yet.

    Attributes:
        role: The engine's new role.
        until: When the order is forgotten if the role has not changed.
        accepted: Whether the engine may be assumed to have accepted it; if
            not, it may carry it out seconds later, or never.
    """

    role: decision_types.Role
    until: float
    accepted: bool = True


class RolePlanner:
    """Plans roles and gives orders while this node holds the authority.

    Attributes:
        pending: Orders whose effect is not visible yet, by engine.
        splits: The planned split of roles of each service.
        policy: What the decode engines of a service survive.
        is_replacing: Whether most engines of a service are about to be
            replaced, so that role changes before there is traffic are wasted.

    >>> planner = RolePlanner(
    ...     leadership, directory, configurations, endpoints, gossip, router
    ... )
    >>> await planner.run()
    """

    def __init__(
        self,
        leadership: leadership_module.Leadership,
        directory: directory_module.Directory,
        configurations: configurations_module.Configurations,
        endpoints: types.Endpoints,
        gossip: gossip_module.Gossip,
        prefix_router: prefix_routing_module.PrefixRouter,
    ):
        self.gossip = gossip
        self.prefix_router = prefix_router
        self.leadership = leadership
        self.directory = directory
        self.configurations = configurations
        self.endpoints = endpoints
        self.pending: dict[str, PendingOrder] = {}
        self.splits: dict[str, role_split.RoleSplit] = {}
        self.policy = decode_reserve.Policy()
        self.tasks: set[asyncio.Task] = set()
        self.is_replacing: Callable[[str], bool] = lambda service: False
        directory.removal_listeners.append(self.forget)

    def forget(self, replica: types.Replica) -> None:
        """Drops the order to an engine that was removed or has restarted."""
        self.pending.pop(replica.instance, None)

    async def run(self) -> None:
        """Plans repeatedly for as long as the node runs."""
        while True:
            await self.check()
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    async def check(self) -> None:
        """Plans all services if this node holds the authority."""
        now = time.monotonic()
        if self.leadership.token(clocks.now()) is None:
            self.pending.clear()
            self.splits.clear()
            return
        self.discard_settled(now)
        configuration = self.configurations.current
        if configuration is None:
            return
        for service in configuration.services.values():
            if service.cache_tokens:
                await self.plan(service)

    def discard_settled(self, now: float) -> None:
        """Drops orders that took effect, or that have expired."""
        for instance, pending in list(self.pending.items()):
            replica = self.directory.replicas.get(instance)
            if (
                replica is None
                or self.directory.roles.role_of(replica, now) == pending.role
            ):
                del self.pending[instance]
                continue
            if now > pending.until:
                del self.pending[instance]

    async def plan(self, service: types.Service) -> None:
        """Plans one service and gives the orders."""
        views = []
        now = time.monotonic()
        for replica in self.directory.liveness.responsive(service.name):
            if replica.role is None:
                continue
            pending = self.pending.get(replica.instance)
            if pending is not None and not pending.accepted:
                continue
            role = self.directory.roles.role_of(replica, now)
            role = pending.role if pending else role
            waiting = self.prefix_router.queued_seconds(replica.instance, now)
            # A pending order may never be carried out: its engine may have
            # crashed since.
            changing = pending is not None or (
                self.directory.roles.changing_until.get(replica.instance, 0.0)
                > now
            )
            views.append(
                role_changes.EngineView(
                    replica.instance,
                    replica.data_centre,
                    role,
                    waiting,
                    changing,
                    replica.version,
                    self.directory.backoffs.is_active(replica.instance, now),
                )
            )
        split = self.splits.setdefault(service.name, role_split.RoleSplit())
        split.reserve.policy = self.policy
        before = split.reserve.state()
        planned = split.plan(views, self.load(service, now), now)
        if split.reserve.state() != before:
            role_events.log_reserve(service, split)
        if split.is_idle(now) and self.is_replacing(service.name):
            return
        async with asyncio.TaskGroup() as group:
            for change in planned:
                if change.engine in self.pending:
                    continue
                group.create_task(self.order(service, change))

    def load(self, service: types.Service, now: float) -> role_split.Load:
        """Returns the load of all nodes on a service's engines."""
        prompts = streams = 0.0
        for replica in self.directory.known(service.name):
            prompts += self.prefix_router.queued_seconds(replica.instance, now)
            streams += self.directory.streams.total(replica.instance, now)
        demand = self.prefix_router.demand.total(service.name, now)
        moving = role_split.transfer_load(
            service.token_bytes,
            service.link_rate,
            self.prefix_router.median_rate(),
        )
        return role_split.Load(prompts, streams, demand, moving)

    async def order(
        self, service: types.Service, change: role_changes.Change
    ) -> None:
        """Gives one order.

        It carries the number of the engine's earlier orders, so that it is
        carried out at most once.
        """
        replica = self.directory.replicas.get(change.engine)
        if replica is None:
            return
        now = time.monotonic()
        until = now + service.switch_time + ROLE_CHANGE_TIMEOUT_SECONDS
        self.pending[change.engine] = PendingOrder(change.role, until)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                state = await self.endpoints.state(replica)
                current = self.directory.receive_state(change.engine, state)
                token = self.leadership.token(clocks.now())
                done = state.busy or state.role == change.role
                if token is None or done or not current:
                    # Tried again unless its entry shows the role by then.
                    later = PendingOrder(change.role, now + RETRY_SECONDS)
                    self.pending[change.engine] = later
                    return
                closed = service.switch_time + CLOSED_SECONDS
                self.close_engine(change.engine, closed)
                await asyncio.sleep(ORDER_DELAY_SECONDS)
                with self.leadership.act() as grant:
                    if grant is None:
                        raise exceptions.AuthorityEnded(change.engine)
                    await self.send_order(
                        service, replica, change, state, grant
                    )
            self.follow_role_change(replica, change.role, service.switch_time)
        except exceptions.AuthorityEnded as error:
            # Nothing was sent: the engine may get work and another order.
            now = time.monotonic()
            self.directory.roles.close_until(change.engine, now)
            unsent = PendingOrder(change.role, now + RETRY_SECONDS, False)
            self.pending[change.engine] = unsent
            role_events.log_failed(change, error)
        except (
            exceptions.EndpointError,
            exceptions.RecordInvalid,
            TimeoutError,
        ) as error:
            if isinstance(error, exceptions.EndpointNotStarted):
                # The order can't have arrived; retry soon.
                until = time.monotonic() + RETRY_SECONDS
            failed = PendingOrder(change.role, until, False)
            self.pending[change.engine] = failed
            role_events.log_failed(change, error)

    async def send_order(
        self,
        service: types.Service,
        replica: types.Replica,
        change: role_changes.Change,
        state: types.State,
        grant: grants.Grant,
    ) -> None:
        """Sends one order under the authority.

        Raises:
            exceptions.AuthorityEnded: The permission ended; nothing was sent.
            exceptions.EndpointError: It may or may not be carried out.
        """
        order = types.Order(
            change.role, grant.member, grant.token, state.orders
        )
        split = self.splits[service.name]
        role_events.log_ordered(order, change.engine, split)
        await self.endpoints.order(replica, order, grant)

    def close_engine(self, instance: str, seconds: float) -> None:
        """Has all nodes send an engine no work while it changes its role.

        The other nodes learn of it from the next datagram and then send no
        requests that the engine would have to refuse.
        """
        self.directory.roles.close_until(instance, time.monotonic() + seconds)
        self.gossip.announce_closing(instance, seconds)

    def follow_role_change(
        self,
        replica: types.Replica,
        role: decision_types.Role,
        switch_time: float,
    ) -> None:
        """Waits in the background until an engine has its new role."""
        task = asyncio.create_task(
            self.wait_for_role(replica, role, switch_time)
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def wait_for_role(
        self,
        replica: types.Replica,
        role: decision_types.Role,
        switch_time: float,
    ) -> None:
        """Polls an engine until it has its new role, and notifies others."""
        await asyncio.sleep(max(0.0, switch_time - POLL_INTERVAL_SECONDS))
        end = time.monotonic() + ROLE_CHANGE_TIMEOUT_SECONDS
        while time.monotonic() < end:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
            try:
                async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                    state = await self.endpoints.state(replica)
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
                continue
            if incarnations.is_later_start(
                state.started_at, replica.started_at
            ):
                # It has restarted and lost the order.
                self.directory.receive_state(replica.instance, state)
                return
            if state.role != role or state.busy:
                # Running streams end first, which takes 7 s and more.
                self.close_engine(replica.instance, CLOSED_SECONDS)
                continue
            until = time.monotonic() + CONFIRMED_SECONDS
            self.directory.roles.confirm(replica.instance, role, until)
            self.gossip.announce_role(replica.instance, role, CONFIRMED_SECONDS)
            return
