"""What this node knows of replicas: registered, leaving, busy, not answering.

Registrations are beliefs: an entry may lapse while its replica lives, and a
replica may be dead for seconds before its entry goes.
"""

import math
import random

from gypsumfold import events
from gypsumfold.decisions import health
from gypsumfold.decisions import types as decision_types
from gypsumfold.gateway import types

# Seconds that an engine which refused a request as not run gets no other: it
# is full or changes its role.
REFUSAL_PAUSE = 0.25
# Seconds for which an entry that went just after an outage of the store is
# kept: those that lapsed in it are back within two seconds of its return.
LAPSE_GRACE = 2.0


class Directory:
    """The replicas that are known, and the work this node has at each.

    >>> directory = Directory(random.Random(1))
    >>> directory.put(replica)
    >>> directory.ready("seats", now=0.0)
    [Replica(...)]
    """

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.replicas: dict[str, types.Replica] = {}
        self.outstanding: dict[str, int] = {}
        self.paused: dict[str, float] = {}
        self.lapsing: dict[str, float] = {}
        self.health = health.Health(rng)
        self.gone = []

    def put(self, replica: types.Replica) -> None:
        """Takes a registration in."""
        old = self.replicas.get(replica.instance)
        self.replicas[replica.instance] = replica
        self.lapsing.pop(replica.instance, None)
        if old is not None and old._replace(orders=0) == replica._replace(
            orders=0
        ):
            return
        events.log(
            events.REPLICA_CHANGED,
            instance=replica.instance,
            service=replica.service,
            address=replica.address,
            draining=replica.draining,
            role=replica.role,
        )

    def drop(self, instance: str, grace: float, now: float) -> None:
        """Drops a replica whose entry went, at once or after a grace."""
        if instance not in self.replicas:
            return
        if grace > 0:
            self.lapsing.setdefault(instance, now + grace)
            return
        replica = self.replicas.pop(instance)
        self.lapsing.pop(instance, None)
        self.paused.pop(instance, None)
        self.health.forget(instance)
        events.log(
            events.REPLICA_GONE,
            instance=instance,
            service=replica.service,
            address=replica.address,
        )
        for listener in self.gone:
            listener(replica)

    def expire(self, now: float) -> None:
        """Drops the entries whose grace is over."""
        for instance, until in list(self.lapsing.items()):
            if now >= until:
                self.drop(instance, 0.0, now)

    def known(self, service: str) -> list[types.Replica]:
        """All replicas of a service that are not leaving."""
        found = []
        for replica in self.replicas.values():
            if replica.service == service and not replica.draining:
                found.append(replica)
        return found

    def ready(
        self,
        service: str,
        now: float,
        role: decision_types.Role | None = None,
        avoid: frozenset[str] = frozenset(),
    ) -> list[types.Replica]:
        """The replicas of a service that may get work now.

        Those that refused or failed a moment ago are left out while there
        are others.

        Args:
            service: The service.
            now: The time.
            role: Only engines of this role.
            avoid: Instances that failed this request before.
        """
        fine = []
        doubtful = []
        for replica in self.known(service):
            if role is not None and replica.role != role:
                continue
            if replica.instance in avoid:
                continue
            if self.paused.get(replica.instance, -math.inf) > now:
                doubtful.append(replica)
                continue
            if not self.health.allowed(replica.instance, now):
                doubtful.append(replica)
                continue
            fine.append(replica)
        return fine or doubtful

    def least_busy(
        self, replicas: list[types.Replica], data_centre: str = ""
    ) -> types.Replica | None:
        """The one with the least of this node's work for its slots.

        Among equals one of the given data centre, then any at random, so
        that the nodes do not all choose the same.
        """
        best = None
        best_key = None
        for replica in replicas:
            busy = self.outstanding.get(replica.instance, 0)
            key = (
                busy / max(1, replica.slots),
                replica.data_centre != data_centre,
                self.rng.random(),
            )
            if best_key is None or key < best_key:
                best, best_key = replica, key
        return best

    def pause(self, instance: str, now: float) -> None:
        """Sends a replica nothing more for a moment."""
        self.paused[instance] = now + REFUSAL_PAUSE

    def started(self, instance: str) -> None:
        """Counts a request that is sent to a replica."""
        self.outstanding[instance] = self.outstanding.get(instance, 0) + 1

    def ended(self, instance: str) -> None:
        """Counts the end of such a request."""
        left = self.outstanding.get(instance, 0) - 1
        if left > 0:
            self.outstanding[instance] = left
        else:
            self.outstanding.pop(instance, None)
