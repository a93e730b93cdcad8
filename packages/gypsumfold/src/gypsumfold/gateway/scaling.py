"""Orders replicas while this node is the leader."""

import asyncio
import time

from gypsumfold import clocks
from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold.decisions import capacity as capacity_module
from gypsumfold.decisions import capacity_needs
from gypsumfold.decisions import prefix_routing as prefix_routing_module
from gypsumfold.gateway import configurations as configurations_module
from gypsumfold.gateway import directory as directory_module
from gypsumfold.gateway import engine_needs
from gypsumfold.gateway import grants
from gypsumfold.gateway import leadership as leadership_module
from gypsumfold.gateway import refused_tokens
from gypsumfold.gateway import types
from gypsumfold.platform import names
from gypsumfold.platform import operations as operations_module
from gypsumfold.platform import store as store_module

# Seconds between two checks; a check makes no call unless an order is due.
CHECK_INTERVAL_SECONDS = 0.5
# Seconds until the checks go on after a call failed.
RETRY_SECONDS = 1.0
# Fraction of an engine that running streams fill on average when they keep it
# busy.
STREAMS_FRACTION = 0.5
# Seconds without another replica of a new service after which they are counted:
# they register one by one as they start.
SETTLED_SECONDS = 1.5


class Scaler:
    """Keeps the number of replicas of each service at what it needs.

    Attributes:
        capacities: State by service while this node leads.
        stored_totals: The number of engines needed, by service, that a later
            leader would start with.
        refused: Fencing tokens that the platform has refused, by service.
        follower: Follows the load with the number of engines; None if the
            settings don't ask for it.

    >>> scaler = Scaler(
    ...     store, operations, leadership, configurations, directory,
    ...     prefix_router, policy, node="edge-1"
    ... )
    >>> await scaler.run()
    """

    def __init__(
        self,
        store: store_module.Store,
        operations: operations_module.Operations,
        leadership: leadership_module.Leadership,
        configurations: configurations_module.Configurations,
        directory: directory_module.Directory,
        prefix_router: prefix_routing_module.PrefixRouter,
        policy: capacity_module.Policy,
        node: str,
    ):
        self.store = store
        self.operations = operations
        self.leadership = leadership
        self.configurations = configurations
        self.directory = directory
        self.prefix_router = prefix_router
        self.policy = policy
        self.node = node
        self.capacities: dict[str, capacity_module.Capacity] = {}
        self.growing_since: dict[str, float] = {}
        self.refused = refused_tokens.RefusedTokens(
            capacity_module.UNAVAILABLE_SECONDS
        )
        self.stored_totals: dict[str, int] = {}
        self.store_after = 0.0
        self.follower: engine_needs.LoadFollower | None = None
        if policy.follows_load:
            self.follower = engine_needs.LoadFollower(
                prefix_router, directory, policy
            )
        self.is_lost = False
        store.eras.listeners.append(self.store_returned)

    async def run(self) -> None:
        """Orders replicas for as long as the node runs."""
        while True:
            pause = CHECK_INTERVAL_SECONDS
            try:
                await self.check()
            except exceptions.PlatformError as error:
                events.log(events.REPLICAS_NOT_ORDERED, reason=str(error))
                pause = RETRY_SECONDS
            await asyncio.sleep(pause)

    def is_replacing(self, name: str) -> bool:
        """Whether a service's first replicas are still to be replaced.

        This holds from the count of the replicas until the first reclaimable
        ones that are ordered in their place have registered.
        """
        configuration = self.configurations.current
        service = configuration.services.get(name) if configuration else None
        if service is None or service.offer is None:
            return False
        capacity = self.capacities.get(name)
        if capacity is None or name in self.growing_since:
            return capacity_module.replaces_steady(service.offer)
        return capacity.is_awaiting_first(
            self.count_present(service), service.offer, time.monotonic()
        )

    async def check(self) -> None:
        """Plans all services that can be scaled.

        Raises:
            exceptions.PlatformError: A call failed; it may have taken effect.
        """
        now = time.monotonic()
        if self.follower is not None:
            self.follower.usage.expire(now)
        if self.leadership.token(clocks.now()) is None:
            self.capacities.clear()
            self.growing_since.clear()
            self.stored_totals.clear()
            return
        configuration = self.configurations.current
        if configuration is None:
            return
        if self.is_lost:
            await self.store_again()
        for service in configuration.services.values():
            if service.offer is None:
                continue
            present = self.count_present(service)
            if not present:
                continue
            capacity = await self.find_capacity(service)
            if not await self.has_counted(service, capacity, present):
                continue
            if capacity.sizer is not None:
                self.stored_totals.setdefault(service.name, capacity.total)
                self.follower.follow(service, capacity, present, now)
            busy = self.busy(service, now)
            for order in capacity.plan(present, busy, service.offer, now):
                await self.order(service, capacity, order)
        await self.store_totals(now)

    def store_returned(self) -> None:
        """Records that the store has returned from an older copy."""
        self.is_lost = True

    async def store_again(self) -> None:
        """Writes the first counts again that the store may have lost.

        Raises:
            exceptions.PlatformError: The store does not answer.
        """
        for name, capacity in self.capacities.items():
            if name in self.growing_since:
                continue
            await self.store_capacity(name, capacity)
        self.is_lost = False

    async def store_capacity(
        self, name: str, capacity: capacity_module.Capacity
    ) -> None:
        """Stores what a later leader has to know of a service.

        Raises:
            exceptions.PlatformError: The store does not answer.
        """
        total = 0 if capacity.sizer is None else capacity.total
        value = operations_module.encode_capacity(capacity.first, total)
        await self.store.put(names.CAPACITY_TOPIC, name, value)
        self.stored_totals[name] = total

    async def store_totals(self, now: float) -> None:
        """Stores the numbers of engines that have changed.

        Orders don't wait for it: a later leader that finds an earlier number
        raises it at once if the load needs more.
        """
        if now < self.store_after:
            return
        for name, total in list(self.stored_totals.items()):
            capacity = self.capacities[name]
            if capacity.sizer is None or capacity.total == total:
                continue
            try:
                await self.store_capacity(name, capacity)
            except exceptions.PlatformError as error:
                self.store_after = now + RETRY_SECONDS
                events.log(
                    events.CAPACITY_UNSTORED, service=name, reason=str(error)
                )
                return

    async def find_capacity(
        self, service: types.Service
    ) -> capacity_module.Capacity:
        """Returns the state of a service.

        The number of replicas that were there at first is kept in the store:
        a later leader can't tell it from those that are there by then.

        Raises:
            exceptions.PlatformError: The store does not answer.
        """
        found = self.capacities.get(service.name)
        if found is None:
            page = await self.store.newest(names.CAPACITY_TOPIC)
            first = 0
            total = 0
            for record in page.records:
                if record.key == service.name and record.value:
                    value = operations_module.decode_capacity(record.value)
                    first, total = value.first, value.total
            found = capacity_module.Capacity(first, self.policy)
            # Calls to plain services are not part of the load that is known.
            if self.follower is not None and service.cache_tokens:
                found.sizer = capacity_needs.Sizer()
                found.total = total or found.total
            self.capacities[service.name] = found
            if not first:
                self.growing_since[service.name] = time.monotonic()
        return found

    async def has_counted(
        self,
        service: types.Service,
        capacity: capacity_module.Capacity,
        present: dict[str, capacity_module.Count],
    ) -> bool:
        """Counts the replicas of a new service until no more register.

        Raises:
            exceptions.PlatformError: The store does not answer.
        """
        since = self.growing_since.get(service.name)
        if since is None:
            return True
        now = time.monotonic()
        count = sum(count.steady for count in present.values())
        if count > capacity.first:
            capacity.record_first(count)
            self.growing_since[service.name] = now
            return False
        if now - since < SETTLED_SECONDS:
            return False
        await self.store_capacity(service.name, capacity)
        del self.growing_since[service.name]
        return True

    def count_present(
        self, service: types.Service
    ) -> dict[str, capacity_module.Count]:
        """Counts the replicas of a service that serve, by data centre."""
        found: dict[str, capacity_module.Count] = {}
        for replica in self.directory.known(service.name):
            if replica.draining:
                continue
            count = found.get(replica.data_centre, capacity_module.Count())
            if replica.spot:
                count = count._replace(spot=count.spot + 1)
            else:
                count = count._replace(steady=count.steady + 1)
            found[replica.data_centre] = count
        return found

    def busy(self, service: types.Service, now: float) -> float:
        """Returns the number of engines that the load keeps busy."""
        streams = 0.0
        for replica in self.directory.known(service.name):
            streams += self.directory.streams.total(replica.instance, now)
        demand = self.prefix_router.demand.total(service.name, now)
        return demand + streams / STREAMS_FRACTION

    async def order(
        self,
        service: types.Service,
        capacity: capacity_module.Capacity,
        order: capacity_module.Order,
    ) -> None:
        """Gives one order.

        Raises:
            exceptions.OperationsUnavailable: It may or may not be carried out.
        """
        with self.leadership.act() as grant:
            if grant is None:
                return
            # Orders of reclaimable replicas have a pause of their own.
            part = "" if order.spot else order.data_centre
            if not self.refused.may_call(service.name, part, grant.token):
                return
            await self.order_with(service, capacity, order, grant)

    async def order_with(
        self,
        service: types.Service,
        capacity: capacity_module.Capacity,
        order: capacity_module.Order,
        grant: grants.Grant,
    ) -> None:
        """Gives one order under the authority.

        Raises:
            exceptions.OperationsUnavailable: It may or may not be carried out.
        """
        now = time.monotonic()
        refused = self.refused
        try:
            await self.operations.order_replicas(
                service.name, order, self.node, grant
            )
        except exceptions.DutyFenced as error:
            present = self.count_present(service)
            have = present.get(order.data_centre, capacity_module.Count())
            if order.spot:
                capacity.record_unavailable(order, now)
            elif not capacity.record_refused(order, have.steady, now):
                refused.record(service.name, order.data_centre, grant.token)
            events.log(
                events.REPLICAS_REFUSED,
                service=service.name,
                data_centre=order.data_centre,
                spot=order.spot,
                count=order.count,
                token=grant.token,
                reason=str(error),
            )
            return
        except exceptions.OperationsUnavailable:
            capacity.record_order(order, now)
            raise
        if not order.spot:
            refused.record_accepted(service.name, order.data_centre)
        capacity.record_order(order, now)
        events.log(
            events.REPLICAS_ORDERED,
            service=service.name,
            data_centre=order.data_centre,
            spot=order.spot,
            count=order.count,
            total=capacity.total,
            token=grant.token,
        )
