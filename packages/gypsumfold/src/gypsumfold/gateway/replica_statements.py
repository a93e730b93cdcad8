"""What replicas say of themselves in their answers, and what follows.

A replica may say that it leaves, that a node is to back off, or how many
requests a second it takes from all nodes. Nothing may be sent against that.
"""

from collections.abc import Callable
import math
import time

from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold.decisions import backoffs as backoffs_module
from gypsumfold.decisions import departures as departures_module
from gypsumfold.decisions import incarnations as incarnations_module
from gypsumfold.decisions import rate_limits as rate_limits_module
from gypsumfold.gateway import types

# Seconds for which a draining decode engine is still used if there is no other:
# it goes on serving for two seconds, and a role change takes three.
DRAINING_USE_SECONDS = 0.9


class ReplicaStatements:
    """Records the statements of replicas, and checks requests against them.

    The replicas are the directory's, which alone changes them.

    Attributes:
        departures: The replicas that have said that they leave.
        backoffs: The replicas that have asked this node to back off.
        rate_limits: The rate limits that replicas name.
        refresh: Has the directory apply a departure to a replica.
        departure_listeners: Are told of a departure learnt from an answer.
        rate_limit_listeners: Are told of a rate limit learnt from an answer.

    >>> directory.statements.record(replica, statement)
    >>> directory.statements.take_permit(replica)
    """

    def __init__(
        self,
        replicas: dict[str, types.Replica],
        incarnations: incarnations_module.Incarnations,
        departures: departures_module.Departures,
        backoffs: backoffs_module.Backoffs,
        rate_limits: rate_limits_module.RateLimits,
        refresh: Callable[[types.Replica], None],
    ):
        self.replicas = replicas
        self.incarnations = incarnations
        self.departures = departures
        self.backoffs = backoffs
        self.rate_limits = rate_limits
        self.refresh = refresh
        self.departure_listeners: list[Callable[[str, int], None]] = []
        self.rate_limit_listeners: list[
            Callable[[str, float | None, float], None]
        ] = []

    def record(
        self, replica: types.Replica, statement: types.Statement
    ) -> None:
        """Records what a replica's answer says of the replica.

        Args:
            replica: The replica, as the request was sent to it.
            statement: What the answer says.
        """
        if statement.leaving:
            self.record_departure(replica)
        if statement.backoff > 0:
            self.record_backoff(replica, statement.backoff)
        if statement.rate is not None:
            rate = None if math.isinf(statement.rate) else statement.rate
            self.record_rate_limit(replica, rate, statement.sent_at)

    def record_backoff(self, replica: types.Replica, seconds: float) -> None:
        """Records that a replica wants nothing from this node for a while."""
        if not self.incarnations.observe(replica.instance, replica.started_at):
            return
        now = time.monotonic()
        if not self.backoffs.record(
            replica.instance, replica.started_at, now + seconds, now
        ):
            return
        events.log(
            events.REPLICA_BACKOFF,
            instance=replica.instance,
            service=replica.service,
            seconds=round(seconds, 3),
        )

    def check_backoff(self, replica: types.Replica) -> None:
        """Checks that a replica may be sent anything now.

        Raises:
            exceptions.EndpointWithheld: It has asked this node to back off.
        """
        if self.backoffs.is_active(replica.instance, time.monotonic()):
            raise exceptions.EndpointWithheld(
                f"{replica.instance} has asked to back off"
            )

    def record_departure(self, replica: types.Replica) -> None:
        """Records that a replica's answer says that it leaves."""
        if self.merge_departure(replica.instance, replica.started_at):
            for listener in self.departure_listeners:
                listener(replica.instance, replica.started_at)

    def merge_departure(self, instance: str, started_at: int) -> bool:
        """Records a departure that this node or another one has learnt.

        Args:
            instance: The replica.
            started_at: Its start in Unix milliseconds; 0 if unknown.

        Returns:
            Whether it is news.
        """
        if not self.incarnations.observe(instance, started_at):
            return False
        now = time.monotonic()
        if not self.departures.record(instance, started_at, now):
            return False
        replica = self.replicas.get(instance)
        events.log(
            events.REPLICA_LEAVING,
            instance=instance,
            service=replica.service if replica else "",
            known=replica is not None and not replica.draining,
        )
        if replica is not None:
            self.refresh(replica)
        return True

    def record_rate_limit(
        self, replica: types.Replica, rate: float | None, sent_at: float
    ) -> None:
        """Records the rate limit that a replica's answer names.

        Args:
            replica: The replica, as the request was sent to it.
            rate: Requests a second from all nodes; None if it names none.
            sent_at: When the request was sent.
        """
        known = self.replicas.get(replica.instance)
        if known is None or known.started_at != replica.started_at:
            return
        changed = self.merge_rate_limit(replica.instance, rate, sent_at)
        if changed or rate is not None:
            for listener in self.rate_limit_listeners:
                listener(replica.instance, rate, sent_at)

    def merge_rate_limit(
        self, instance: str, rate: float | None, sent_at: float
    ) -> bool:
        """Records a rate limit that this node or another one has learnt.

        Returns:
            Whether it is another one now.
        """
        replica = self.replicas.get(instance)
        if replica is None:
            return False
        if not self.rate_limits.observe(instance, rate, sent_at):
            return False
        events.log(
            events.RATE_LIMIT_CHANGED,
            instance=instance,
            service=replica.service,
            rate=rate,
        )
        return True

    def take_permit(self, replica: types.Replica) -> None:
        """Takes a permit for a request to a replica.

        The replica may have been chosen a while ago.

        Raises:
            exceptions.EndpointWithheld: The replica leaves, or this node backs
                off from it.
            exceptions.EndpointLimited: There is no permit.
        """
        self.check_departure(replica)
        self.check_backoff(replica)
        if not self.rate_limits.take(replica.instance, time.monotonic()):
            raise exceptions.EndpointLimited(
                f"{replica.instance} limits its requests"
            )

    def check_departure(self, replica: types.Replica) -> None:
        """Checks that a request may still be sent to a replica.

        Raises:
            exceptions.EndpointWithheld: It leaves.
        """
        departure = self.departures.find(replica.instance, replica.started_at)
        if departure is None:
            return
        if time.monotonic() - departure.since > DRAINING_USE_SECONDS:
            raise exceptions.EndpointWithheld(f"{replica.instance} is leaving")
