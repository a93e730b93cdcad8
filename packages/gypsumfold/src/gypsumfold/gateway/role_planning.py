"""Carries the split of engines between prompts and tokens out, by orders."""

import asyncio
import time
from typing import NamedTuple

from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold.decisions import incarnations
from gypsumfold.decisions import prefix_routing as prefix_routing_module
from gypsumfold.decisions import role_split
from gypsumfold.decisions import types as decision_types
from gypsumfold.gateway import configurations as configurations_module
from gypsumfold.gateway import directory as directory_module
from gypsumfold.gateway import leadership as leadership_module
from gypsumfold.gateway import types
from gypsumfold.gateway.peers import gossip as gossip_module

# Seconds between two looks at the engines; a look costs no call.
CHECK_INTERVAL_SECONDS = 0.15
# Seconds beyond an engine's declared time for a change until its entry must
# show the new role: streams that run end first, which takes as long as their
# callers wait, and an order without an answer may be carried out 12 s later.
ROLE_CHANGE_TIMEOUT_SECONDS = 12.0
# Seconds beyond an engine's declared time for a change for which it gets no
# work unless its entry shows the new role; entries come once a second.
CLOSED_SECONDS = 1.5
# Seconds between telling the other nodes and the order.
ORDER_DELAY_SECONDS = 0.05
# Seconds between two questions whether a change of role is done; the entry
# in the store shows it up to two seconds later.
POLL_INTERVAL_SECONDS = 0.15
# Seconds for which that is believed before the entry shows it.
CONFIRMED_SECONDS = 5.0
# Seconds until an engine that could not be ordered is looked at again.
RETRY_SECONDS = 0.5
# Seconds for one call to an engine.
CALL_TIMEOUT_SECONDS = 1.0


class PendingOrder(NamedTuple):
    """An order whose effect has not shown yet.

    Attributes:
        role: What the engine is to do.
        until: When the effect must have shown.
        certain: Whether the engine has accepted it; if not, it may carry it
            out seconds later, or never.
    """

    role: decision_types.Role
    until: float
    accepted: bool = True


class RolePlanner:
    """Gives orders while this node may.

    >>> planner = Planner(
    ...     leadership, directory, configurations, endpoints, gossip, homes
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
        homes: prefix_routing_module.PrefixRouter,
    ):
        self.gossip = gossip
        self.prefix_router = homes
        self.leadership = leadership
        self.directory = directory
        self.configurations = configurations
        self.endpoints = endpoints
        self.pending: dict[str, PendingOrder] = {}
        self.splits: dict[str, role_split.RoleSplit] = {}
        self.tasks: set[asyncio.Task] = set()
        directory.removal_listeners.append(self.forget)

    def forget(self, replica: types.Replica) -> None:
        """Drops an order to an engine that is gone or has started again."""
        self.pending.pop(replica.instance, None)

    async def run(self) -> None:
        """Looks again and again for as long as the node runs."""
        while True:
            await self.check()
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    async def check(self) -> None:
        """Orders what the plan asks for, if this node may."""
        now = time.monotonic()
        if self.leadership.token(now) is None:
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
        """Forgets orders whose effect shows, or will not any more."""
        for instance, pending in list(self.pending.items()):
            replica = self.directory.replicas.get(instance)
            if (
                replica is None
                or self.directory.role(replica, now) == pending.role
            ):
                del self.pending[instance]
                continue
            if now > pending.until:
                del self.pending[instance]

    async def plan(self, service: types.Service) -> None:
        """Orders what the plan of one service asks for."""
        views = []
        now = time.monotonic()
        for replica in self.directory.responsive(service.name):
            if replica.role is None:
                continue
            pending = self.pending.get(replica.instance)
            if pending is not None and not pending.accepted:
                continue
            role = self.directory.role(replica, now)
            role = pending.role if pending else role
            waiting = self.prefix_router.queued_seconds(replica.instance, now)
            # An order that has not shown may never be carried out: its engine
            # may have crashed since.
            changing = pending is not None or (
                self.directory.changing_until.get(replica.instance, 0.0) > now
            )
            views.append(
                role_split.EngineView(
                    replica.instance,
                    replica.data_centre,
                    role,
                    waiting,
                    changing,
                )
            )
        split = self.splits.setdefault(service.name, role_split.RoleSplit())
        planned = split.plan(views, self.load(service, now), now)
        async with asyncio.TaskGroup() as group:
            for change in planned:
                if change.engine in self.pending:
                    continue
                group.create_task(self.order(service, change))

    def load(self, service: types.Service, now: float) -> role_split.Load:
        """What all nodes have at a service's engines."""
        prompts = 0.0
        streams = 0.0
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
        self, service: types.Service, change: role_split.Change
    ) -> None:
        """Gives one order; its number of earlier orders makes it single."""
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
                token = self.leadership.token(time.monotonic())
                done = state.busy or state.role == change.role
                if token is None or done or not current:
                    # Looked at again once its entry or another order tells.
                    self.pending[change.engine] = PendingOrder(
                        change.role, now + RETRY_SECONDS
                    )
                    return
                self.close_engine(
                    change.engine, service.switch_time + CLOSED_SECONDS
                )
                await asyncio.sleep(ORDER_DELAY_SECONDS)
                token = self.leadership.token(time.monotonic())
                if token is None:
                    self.directory.close_until(change.engine, time.monotonic())
                    return
                order = types.Order(
                    change.role, self.leadership.member, token, state.orders
                )
                events.log(
                    events.ROLE_ORDERED,
                    instance=change.engine,
                    role=change.role,
                    token=token,
                    after=state.orders,
                    prompts=round(self.splits[service.name].prompts, 3),
                    streams=round(self.splits[service.name].streams, 3),
                    demand=round(self.splits[service.name].demand, 3),
                )
                await self.endpoints.order(replica, order)
            self.follow_role_change(replica, change.role, service.switch_time)
        except (
            exceptions.EndpointError,
            exceptions.RecordInvalid,
            TimeoutError,
        ) as error:
            if isinstance(error, exceptions.EndpointNotStarted):
                # It surely has no order; another try may come soon.
                until = time.monotonic() + RETRY_SECONDS
            self.pending[change.engine] = PendingOrder(
                change.role, until, False
            )
            events.log(
                events.ROLE_ORDER_FAILED,
                instance=change.engine,
                role=change.role,
                reason=repr(error),
            )

    def close_engine(self, instance: str, seconds: float) -> None:
        """Has no node send an engine anything while it changes its role.

        The other nodes learn of it by the next datagram and send nothing
        there that the engine would have to refuse.
        """
        self.directory.close_until(instance, time.monotonic() + seconds)
        self.gossip.closed(instance, seconds)

    def follow_role_change(
        self,
        replica: types.Replica,
        role: decision_types.Role,
        switch_time: float,
    ) -> None:
        """Watches an engine until it has its new role, beside all else."""
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
        """Asks an engine until it has its new role, and tells the others."""
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
                # It has started again and knows of no order.
                self.directory.receive_state(replica.instance, state)
                return
            if state.role != role or state.busy:
                # It lets running streams end first, for 7 s and more.
                self.close_engine(replica.instance, CLOSED_SECONDS)
                continue
            until = time.monotonic() + CONFIRMED_SECONDS
            self.directory.confirm_role(replica.instance, role, until)
            self.gossip.changed_role(replica.instance, role, CONFIRMED_SECONDS)
            return
