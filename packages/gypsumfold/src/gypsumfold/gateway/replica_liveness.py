"""Which replicas answer this node.

A replica may be silent on open connections, or not answer on new ones.
"""

from collections.abc import Callable
import time

from gypsumfold import events
from gypsumfold.decisions import reachability as reachability_module
from gypsumfold.decisions import silence as silence_module
from gypsumfold.decisions import types as decision_types
from gypsumfold.gateway import engine_roles
from gypsumfold.gateway import probe_schedule
from gypsumfold.gateway import types


class ReplicaLiveness:
    """Records whether replicas answer, and says which ones do.

    The replicas are the directory's, which alone changes them.

    Attributes:
        suspects: Replicas that did not answer a probe; they get no work.
        reachability: The replicas to which new connections fail; they get work
            only over open ones.
        find_known: Returns the replicas of a service that are not draining.
        is_connected: Whether an idle connection to a replica is open.
        unreachable_listeners: Are told of a replica that other nodes should
            probe.

    >>> directory.liveness.suspect("i-1", now)
    >>> directory.liveness.responsive("seats")
    []
    """

    def __init__(
        self,
        replicas: dict[str, types.Replica],
        suspects: set[str],
        reachability: reachability_module.Reachability,
        silence: silence_module.SilenceDetector,
        probes: probe_schedule.ProbeSchedule,
        roles: engine_roles.EngineRoles,
        find_known: Callable[[str], list[types.Replica]],
    ):
        self.replicas = replicas
        self.suspects = suspects
        self.reachability = reachability
        self.silence = silence
        self.probes = probes
        self.roles = roles
        self.find_known = find_known
        self.is_connected: Callable[[types.Replica], bool] = lambda _: False
        self.unreachable_listeners: list[Callable[[str], None]] = []

    def is_reachable(self, replica: types.Replica) -> bool:
        """Whether a replica answers and a request could be sent to it."""
        if replica.instance in self.suspects:
            return False
        if replica.instance not in self.reachability.unreachable:
            return True
        return self.is_connected(replica)

    def is_lost(self, instance: str) -> bool:
        """Whether a replica answers neither on open nor on new connections."""
        lost = self.reachability.unreachable
        return instance in self.suspects and instance in lost

    def responsive(self, service: str) -> list[types.Replica]:
        """Returns the replicas of a service neither draining nor suspect."""
        found = []
        for replica in self.find_known(service):
            if self.is_reachable(replica):
                found.append(replica)
        return found

    def count_reachable(
        self, service: str
    ) -> dict[decision_types.Role | None, tuple[int, int]]:
        """Counts the reachable replicas of a service and all, by role."""
        now = time.monotonic()
        counts = {}
        for replica in self.find_known(service):
            role = self.roles.role_of(replica, now)
            reachable, known = counts.get(role, (0, 0))
            reachable += self.is_reachable(replica)
            counts[role] = (reachable, known + 1)
        return counts

    def count_usable(self, service: str) -> dict[str, int]:
        """Counts the usable replicas of a service and all, for log lines."""
        usable = len(self.responsive(service))
        return {"usable": usable, "replicas": len(self.find_known(service))}

    def is_cut_off(self, service: str) -> bool:
        """Whether this node reaches too few replicas of a service."""
        if not self.suspects and not self.reachability.unreachable:
            return False
        counts = self.count_reachable(service)
        return reachability_module.is_cut_off(list(counts.values()))

    def is_cut_off_from_most(self) -> bool:
        """Whether this node reaches too few of all replicas."""
        if not self.suspects and not self.reachability.unreachable:
            return False
        known = 0
        reachable = 0
        for replica in self.replicas.values():
            if replica.draining:
                continue
            known += 1
            reachable += self.is_reachable(replica)
        return reachability_module.is_cut_off([(reachable, known)])

    def record_activity(self, instance: str, now: float) -> None:
        """Records a sign of life; the replica is no longer suspect."""
        self.silence.received(instance, now)
        if instance in self.suspects:
            self.suspects.discard(instance)
            if instance not in self.reachability.unreachable:
                self.probes.reset_interval(instance)
            events.log(events.REPLICA_HEARD, instance=instance)

    def suspect(self, instance: str, now: float) -> None:
        """Marks a replica as silent; it gets no work until it answers."""
        if instance in self.suspects or instance not in self.replicas:
            return
        self.suspects.add(instance)
        events.log(
            events.REPLICA_SILENT,
            instance=instance,
            seconds=round(
                now - self.silence.last_byte_at.get(instance, now), 3
            ),
            requests=self.silence.open_requests.get(instance, 0),
        )

    def suspect_until_probed(self, instance: str) -> None:
        """Keeps requests from a replica until it answers on a new connection.

        Its entry was gone and is back; the replica may have left.
        """
        self.suspects.add(instance)
        self.reachability.unreachable.add(instance)
        self.probes.request(instance)

    def connection_failed(self, instance: str, now: float) -> bool:
        """Records that a new connection to a replica got no answer.

        Returns:
            Whether the last one before it had been answered.
        """
        if instance in self.reachability.unreachable:
            return False
        if instance not in self.replicas:
            return False
        self.reachability.lost(instance, now)
        events.log(
            events.REPLICA_UNREACHABLE,
            instance=instance,
            unreachable=len(self.reachability.unreachable),
            replicas=len(self.replicas),
        )
        return True

    def connection_answered(self, instance: str) -> None:
        """Records that a replica answered on a new connection."""
        if instance not in self.reachability.unreachable:
            return
        self.reachability.reached(instance)
        self.probes.reset_interval(instance)
        events.log(
            events.REPLICA_REACHED,
            instance=instance,
            unreachable=len(self.reachability.unreachable),
        )

    def report_unreachable(self, instance: str) -> None:
        """Has the other nodes probe a replica, unless this one is cut off."""
        replica = self.replicas.get(instance)
        if replica is None or self.is_cut_off(replica.service):
            return
        for listener in self.unreachable_listeners:
            listener(instance)
