"""Which replicas of a service may get work now."""

import math
import time

from gypsumfold.decisions import failure_rates as failure_rates_module
from gypsumfold.decisions import health as health_module
from gypsumfold.decisions import stream_origins
from gypsumfold.gateway import engine_roles
from gypsumfold.gateway import replica_liveness
from gypsumfold.gateway import replica_statements
from gypsumfold.gateway import types


class EligibleReplicas:
    """Lists replicas that may get work, and says why others may not.

    Attributes:
        liveness: Which replicas answer this node.
        roles: The roles of engines.
        health: Which replicas are paused for failed requests.
        failure_rates: Which replicas fail most requests at all nodes.
        paused_until: Until when a replica gets work only if no other can.
        draining_since: When this node learnt that a replica is draining.
        backoffs: The replicas that have asked this node to back off.
        rate_limits: The rate limits that replicas name.
        decode_available_at: When a service last had a decode engine.

    >>> directory.eligible.ready("seats", now=0.0)
    [Replica(...)]
    """

    def __init__(
        self,
        liveness: replica_liveness.ReplicaLiveness,
        roles: engine_roles.EngineRoles,
        statements: replica_statements.ReplicaStatements,
        health: health_module.Health,
        failure_rates: failure_rates_module.FailureRates,
        paused_until: dict[str, float],
        draining_since: dict[str, float],
    ):
        self.liveness = liveness
        self.roles = roles
        self.health = health
        self.failure_rates = failure_rates
        self.paused_until = paused_until
        self.draining_since = draining_since
        self.backoffs = statements.backoffs
        self.rate_limits = statements.rate_limits
        self.decode_available_at: dict[str, float] = {}

    def ready(
        self,
        service: str,
        now: float,
        avoid: frozenset[str] = frozenset(),
    ) -> list[types.Replica]:
        """Returns the replicas of a plain service that may get work now.

        Those that refused, failed or fell silent recently, or from which this
        node has just backed off, are returned only if there is no other; those
        that don't answer on new connections either are left out, those from
        which it backs off now, and those for which it has no permit.

        Args:
            service: The service.
            now: The time.
            avoid: Instances that failed this request before.
        """
        healthy = []
        unhealthy = []
        for replica in self.liveness.find_known(service):
            if replica.instance in avoid:
                continue
            if self.backoffs.is_active(replica.instance, now):
                continue
            if not self.rate_limits.is_open(replica.instance, now):
                continue
            if self.is_healthy(replica.instance, now):
                healthy.append(replica)
            elif not self.liveness.is_lost(replica.instance):
                unhealthy.append(replica)
        return healthy or unhealthy

    def engines(
        self,
        service: str,
        prefill: bool,
        now: float,
        avoid: frozenset[str] = frozenset(),
        origin: stream_origins.Origin | None = None,
    ) -> list[types.Replica]:
        """Returns the prefill or the decode engines that may get work now.

        Suspects, engines that change their role, those from which this node
        backs off and those for which it has no permit are left out even if
        there is no other.

        Args:
            service: The service.
            prefill: Whether to return prefill engines, not decode engines.
            now: The time.
            avoid: Instances that failed this request before.
            origin: What began the stream that is to go on; only engines of its
                version are returned.
        """
        healthy = []
        unhealthy = []
        for replica in self.liveness.responsive(service):
            if self.roles.is_prefill(replica, now) != prefill:
                continue
            if origin is not None and not origin.fits(replica.version):
                continue
            if replica.instance in avoid:
                continue
            if self.roles.changing_until.get(replica.instance, -math.inf) > now:
                continue
            if self.backoffs.is_active(replica.instance, now):
                continue
            if not self.rate_limits.is_open(replica.instance, now):
                continue
            if self.is_healthy(replica.instance, now):
                healthy.append(replica)
            else:
                unhealthy.append(replica)
        found = healthy or unhealthy
        if not found and not prefill:
            found = self.recently_draining(service, now, origin)
        if found and not prefill:
            self.decode_available_at[service] = now
        return found

    def is_usable(self, instance: str) -> bool:
        """Whether a replica is known and may be sent requests now."""
        replica = self.liveness.replicas.get(instance)
        if replica is None or replica.draining:
            return False
        if self.backoffs.is_active(instance, time.monotonic()):
            return False
        return self.liveness.is_reachable(replica)

    def is_healthy(self, instance: str, now: float) -> bool:
        """Whether a replica is reachable, and neither paused nor failing."""
        replica = self.liveness.replicas.get(instance)
        if replica is None or not self.liveness.is_reachable(replica):
            return False
        if self.paused_until.get(instance, -math.inf) > now:
            return False
        if not self.backoffs.may_choose(instance, now):
            return False
        if self.failure_rates.is_failing(instance, now):
            return False
        return self.health.is_allowed(instance, now)

    def may_return(
        self, origin: stream_origins.Origin, now: float, until: float
    ) -> bool:
        """Whether a decode engine of a stream's version may be usable again.

        It may be silent, refuse work or change its role.

        Args:
            origin: What began the stream.
            now: The time.
            until: How long the stream may wait.
        """
        for replica in self.liveness.find_known(origin.service):
            if not origin.fits(replica.version):
                continue
            if self.backoffs.is_active(replica.instance, until):
                continue
            if not self.roles.is_prefill(replica, now):
                return True
        return False

    def lost_version(self, origin: stream_origins.Origin, now: float) -> bool:
        """Whether this node can't reach any decode engine of a version."""
        found = False
        for replica in self.liveness.find_known(origin.service):
            if not origin.fits(replica.version):
                continue
            if self.roles.is_prefill(replica, now):
                continue
            if self.liveness.is_reachable(replica):
                return False
            found = True
        return found

    def recently_draining(
        self,
        service: str,
        now: float,
        origin: stream_origins.Origin | None = None,
    ) -> list[types.Replica]:
        """Returns the decode engines that began to drain a moment ago."""
        found = []
        for instance, since in self.draining_since.items():
            replica = self.liveness.replicas[instance]
            if (
                replica.service != service
                or now - since > replica_statements.DRAINING_USE_SECONDS
            ):
                continue
            if self.roles.is_prefill(replica, now):
                continue
            if origin is not None and not origin.fits(replica.version):
                continue
            if self.backoffs.is_active(instance, now):
                continue
            if not self.rate_limits.is_open(instance, now):
                continue
            if self.liveness.is_reachable(replica):
                found.append(replica)
        return found

    def backoff_end(
        self,
        service: str,
        prefill: bool | None,
        now: float,
        origin: stream_origins.Origin | None = None,
    ) -> float | None:
        """Returns when the first backoff ends, if it holds for all replicas.

        Args:
            service: The service.
            prefill: Whether prefill or decode engines are meant; None for
                replicas of a plain service.
            now: The time.
            origin: As in `engines`.
        """
        ends = []
        for replica in self.liveness.responsive(service):
            instance = replica.instance
            if prefill is not None:
                if self.roles.is_prefill(replica, now) != prefill:
                    continue
                if self.roles.changing_until.get(instance, -math.inf) > now:
                    continue
            if origin is not None and not origin.fits(replica.version):
                continue
            end = self.backoffs.end(instance, now)
            if end is None:
                return None
            ends.append(end)
        return min(ends, default=None)

    def limited(
        self,
        service: str,
        prefill: bool | None,
        now: float,
        origin: stream_origins.Origin | None = None,
    ) -> list[types.Replica]:
        """Returns the reachable replicas for which this node has no permit.

        Args:
            service: The service.
            prefill: Whether to return prefill or decode engines; None for
                replicas of a plain service.
            now: The time.
            origin: As in `engines`.
        """
        found = []
        for replica in self.liveness.responsive(service):
            if self.rate_limits.is_open(replica.instance, now):
                continue
            if self.backoffs.is_active(replica.instance, now):
                continue
            if prefill is not None:
                if self.roles.is_prefill(replica, now) != prefill:
                    continue
                if origin is not None and not origin.fits(replica.version):
                    continue
            found.append(replica)
        return found
