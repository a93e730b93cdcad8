"""The platform's duties, which one node at a time performs."""

from collections.abc import Awaitable
from collections.abc import Callable

from gypsumfold.decisions import prefix_routing as prefix_routing_module
from gypsumfold.gateway import configurations as configurations_module
from gypsumfold.gateway import directory as directory_module
from gypsumfold.gateway import leadership as leadership_module
from gypsumfold.gateway import scaling
from gypsumfold.gateway import settings as settings_module
from gypsumfold.gateway import topic_watches
from gypsumfold.gateway import usage_reports
from gypsumfold.gateway.peers import gossip as gossip_module
from gypsumfold.platform import names
from gypsumfold.platform import operations as operations_module
from gypsumfold.platform import store as store_module


class Duties:
    """What this node does for the platform while it is the leader.

    Attributes:
        usage_reporter: Reports usage; None if the platform wants no reports.
        scaler: Orders replicas; None if it takes no orders.

    >>> duties = Duties(
    ...     settings, store, store_state, leadership, configurations,
    ...     directory, prefix_router, gossip
    ... )
    >>> duties.tasks()
    {}
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        store: store_module.Store,
        store_state: topic_watches.StoreState,
        leadership: leadership_module.Leadership,
        configurations: configurations_module.Configurations,
        directory: directory_module.Directory,
        prefix_router: prefix_routing_module.PrefixRouter,
        gossip: gossip_module.Gossip,
    ):
        self.usage = gossip.usage
        self.operations: operations_module.Operations | None = None
        self.usage_reporter: usage_reports.UsageReporter | None = None
        self.scaler: scaling.Scaler | None = None
        section = settings.operations
        if not section.address:
            return
        self.operations = operations_module.Operations(section.address)
        if names.USAGE_DUTY in section.duties:
            self.usage_reporter = usage_reports.UsageReporter(
                store,
                self.operations,
                leadership,
                settings.usage.policy,
                settings.node.name,
                store_state.contact_since,
            )
        if names.SCALE_DUTY in section.duties:
            self.scaler = scaling.Scaler(
                store,
                self.operations,
                leadership,
                configurations,
                directory,
                prefix_router,
                settings.scaling.policy,
                settings.node.name,
            )
            if self.scaler.follower is not None:
                self.scaler.follower.is_complete = gossip.hears_most_nodes

    def tasks(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """Returns the tasks to run, by name."""
        found = {}
        if self.usage_reporter is not None:
            found["usage"] = self.usage.run
            found["usage-updates"] = self.usage.run_updates
            found["usage-reports"] = self.usage_reporter.run
        if self.scaler is not None:
            found["scaler"] = self.scaler.run
        return found

    async def flush(self) -> None:
        """Stores this node's usage counts before it ends."""
        if self.usage_reporter is not None:
            await self.usage.flush()

    async def close(self) -> None:
        """Closes all connections."""
        if self.operations is not None:
            await self.operations.close()
