"""Follows the load of model services with the number of engines they need."""

from collections.abc import Callable

from gypsumfold import events
from gypsumfold.decisions import capacity as capacity_module
from gypsumfold.decisions import capacity_needs
from gypsumfold.decisions import prefix_routing as prefix_routing_module
from gypsumfold.decisions import prefix_usage
from gypsumfold.gateway import directory as directory_module
from gypsumfold.gateway import types


class LoadFollower:
    """Updates the number of engines that services need.

    Attributes:
        usage: The prefixes in use. All nodes record them, so that a new leader
            knows those of the last seconds.
        is_complete: Whether this node hears nearly all others, so that the load
            that it knows is that of all callers.

    >>> follower = LoadFollower(prefix_router, directory, policy)
    >>> follower.follow(service, capacity, present, now=0.0)
    """

    def __init__(
        self,
        prefix_router: prefix_routing_module.PrefixRouter,
        directory: directory_module.Directory,
        policy: capacity_module.Policy,
    ):
        self.prefix_router = prefix_router
        self.directory = directory
        self.policy = policy
        self.usage = prefix_usage.PrefixUsage()
        self.is_complete: Callable[[], bool] = lambda: True
        prefix_router.usage = self.usage

    def load(self, service: types.Service, now: float) -> capacity_needs.Load:
        """Returns what the callers of a service need, over all nodes."""
        streams = 0.0
        prompts = 0.0
        engines = set()
        for replica in self.directory.known(service.name):
            engines.add(replica.instance)
            streams += self.directory.streams.total(replica.instance, now)
            prompts += self.prefix_router.queued_seconds(replica.instance, now)
        demand = self.prefix_router.demand.total(service.name, now)
        tokens = self.usage.shared_tokens(engines)
        return capacity_needs.Load(demand, streams, prompts, tokens)

    def follow(
        self,
        service: types.Service,
        capacity: capacity_module.Capacity,
        present: dict[str, capacity_module.Count],
        now: float,
    ) -> None:
        """Updates the number of engines that a service needs.

        Args:
            service: The service; it has an offer.
            capacity: Its state, with a sizer.
            present: Replicas that serve, by data centre.
            now: Seconds of a monotonic clock.
        """
        load = self.load(service, now)
        data_centres = max(1, len(service.offer.prices))
        engine = capacity_needs.Engine(
            service.cache_tokens,
            self.prefix_router.median_rate(),
            service.offer.start_seconds,
        )
        policy = capacity_needs.Policy(
            self.policy.headroom,
            self.policy.period_seconds,
            data_centres,
            service.offer.most * data_centres,
        )
        progress = capacity_needs.Progress(
            self.is_complete(), capacity.is_settled(present, now)
        )
        before = capacity.total
        capacity.total = capacity.sizer.update(
            before, load, engine, policy, now, progress
        )
        if capacity.total == before:
            return
        events.log(
            events.CAPACITY_CHANGED,
            service=service.name,
            total=capacity.total,
            before=before,
            prefill=capacity.sizer.need.prefill,
            decode=capacity.sizer.need.decode,
            demand=round(load.demand, 3),
            streams=round(load.streams, 3),
            prompts=round(load.prompts, 3),
            prefix_tokens=load.prefix_tokens,
        )
