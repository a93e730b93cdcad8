"""Applies what other nodes report about engines to local state."""

from gypsumfold import events
from gypsumfold.decisions import prefix_routing as prefix_routing_module
from gypsumfold.decisions import types as decision_types
from gypsumfold.gateway import directory as directory_module
from gypsumfold.gateway.peers import messages


class RemoteState:
    """Applies the updates of other nodes to routing and the directory.

    >>> remote_state = RemoteState(prefix_router, directory)
    >>> remote_state.apply(updates, now=0.0)
    """

    def __init__(
        self,
        prefix_router: prefix_routing_module.PrefixRouter,
        directory: directory_module.Directory,
    ):
        self.prefix_router = prefix_router
        self.directory = directory

    def apply(self, updates: messages.Updates, now: float) -> None:
        """Takes in what happened elsewhere."""
        for engine, seconds in updates.closed.items():
            if self.is_newest_incarnation(engine, updates):
                self.directory.roles.close_until(engine, now + seconds)
        for engine, (role, seconds) in updates.roles.items():
            if self.is_newest_incarnation(engine, updates):
                self.apply_role(engine, role, now + seconds)
        for instance in updates.unreachable:
            if instance not in self.directory.suspects:
                self.directory.probes.request(instance)
        for instance, (rate, age) in updates.rate_limits.items():
            self.directory.statements.merge_rate_limit(
                instance, rate, now - age
            )
        for instance, (started_at, _) in updates.departures.items():
            self.directory.statements.merge_departure(instance, started_at)
        for placed in updates.placements:
            self.prefix_router.add_remote_prompt(
                placed.engine, placed.prefix_hashes, placed.tokens
            )

    def is_newest_incarnation(
        self, engine: str, updates: messages.Updates
    ) -> bool:
        """Whether updates are about the engine process this node knows."""
        if engine not in self.directory.replicas:
            return False
        started_at = updates.start_times.get(engine, 0)
        return self.directory.incarnations.observe(engine, started_at)

    def apply_role(self, engine: str, role: str, until: float) -> None:
        """Applies an engine's new role as a peer reports it."""
        try:
            found = decision_types.Role(role)
        except ValueError as error:
            events.log(events.FRAME_REFUSED, reason=str(error))
            return
        self.directory.roles.confirm(engine, found, until)
