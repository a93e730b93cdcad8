"""The replicas that this node knows, and whether each may get work.

A registration in the store isn't proof of life: an entry may lapse while its
replica lives, and a replica may be dead for seconds before its entry expires.
So failures, silence and role changes are tracked as well, by the objects that
the directory holds.
"""

from collections.abc import Callable
import random
import time

from gypsumfold import events
from gypsumfold.decisions import backoffs as backoffs_module
from gypsumfold.decisions import cluster_totals
from gypsumfold.decisions import departures as departures_module
from gypsumfold.decisions import failure_rates as failure_rates_module
from gypsumfold.decisions import health
from gypsumfold.decisions import incarnations as incarnations_module
from gypsumfold.decisions import rate_limits as rate_limits_module
from gypsumfold.decisions import reachability as reachability_module
from gypsumfold.decisions import second_copies as second_copies_module
from gypsumfold.decisions import silence as silence_module
from gypsumfold.decisions import software_versions
from gypsumfold.gateway import eligible_replicas
from gypsumfold.gateway import engine_roles
from gypsumfold.gateway import probe_schedule
from gypsumfold.gateway import replica_choice
from gypsumfold.gateway import replica_index
from gypsumfold.gateway import replica_liveness
from gypsumfold.gateway import replica_statements
from gypsumfold.gateway import types


class Directory:
    """Known replicas, their state and this node's open requests at each.

    Attributes:
        replicas: Registered replicas by instance, including draining ones.
        paused_until: Until when a replica gets work only if no other can.
        lapses_at: When a replica whose entry is missing is dropped.
        draining_since: When this node learnt that a replica is draining.
        departures: The replicas that have said that they leave.
        backoffs: The replicas that have asked this node to back off.
        suspects: Replicas that did not answer a probe; they get no work.
        reachability: The replicas to which new connections fail; they get work
            only over open ones.
        versions: The software versions of each service.
        rate_limits: The rate limits that replicas name.
        has_interrupted_runs: Whether runs on a replica were interrupted and it
            isn't known yet whether it crashed.
        probes: Which replicas are probed next.
        roles: The roles of engines, and which engines change theirs.
        liveness: Which replicas answer this node.
        eligible: Which replicas may get work.
        choice: Chooses among replicas that may get work.
        statements: What replicas' answers say of the replicas.

    >>> directory = Directory(random.Random(1))
    >>> directory.put(replica)
    >>> directory.eligible.ready("seats", now=0.0)
    [Replica(...)]
    """

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.replicas = replica_index.ReplicaIndex()
        self.paused_until: dict[str, float] = {}
        self.lapses_at: dict[str, float] = {}
        self.roles = engine_roles.EngineRoles(self.paused_until)
        self.draining_since: dict[str, float] = {}
        self.suspects: set[str] = set()
        self.reachability = reachability_module.Reachability()
        self.has_interrupted_runs: Callable[[str], bool] = lambda _: False
        self.crash_listeners: list[Callable[[types.Replica], None]] = []
        self.alive_listeners: list[Callable[[str], None]] = []
        self.silence = silence_module.SilenceDetector()
        self.streams = cluster_totals.ClusterTotals()
        self.health = health.Health(rng)
        self.failure_rates = failure_rates_module.FailureRates()
        self.choice = replica_choice.ReplicaChoice(
            self.silence, self.streams, self.failure_rates, rng
        )
        self.second_copies = second_copies_module.SecondCopies()
        # Both travel in the same kind of load.
        self.second_copies.others = self.failure_rates.answers
        self.removal_listeners = []
        self.incarnations = incarnations_module.Incarnations()
        self.versions = software_versions.SoftwareVersions()
        self.rate_limits = rate_limits_module.RateLimits()
        self.departures = departures_module.Departures()
        self.backoffs = backoffs_module.Backoffs(rng)
        self.probes = probe_schedule.ProbeSchedule(
            self.replicas,
            self.suspects,
            self.reachability,
            self.silence,
            self.backoffs,
            rng,
        )
        self.liveness = replica_liveness.ReplicaLiveness(
            self.replicas,
            self.suspects,
            self.reachability,
            self.silence,
            self.probes,
            self.roles,
            self.known,
        )
        self.statements = replica_statements.ReplicaStatements(
            self.replicas,
            self.incarnations,
            self.departures,
            self.backoffs,
            self.rate_limits,
            self.put,
        )
        self.eligible = eligible_replicas.EligibleReplicas(
            self.liveness,
            self.roles,
            self.statements,
            self.health,
            self.failure_rates,
            self.paused_until,
            self.draining_since,
        )

    def put(self, replica: types.Replica) -> None:
        """Adds or updates a replica; ignores entries of an earlier start."""
        if not self.incarnations.observe(replica.instance, replica.started_at):
            return
        old = self.replicas.get(replica.instance)
        now = time.monotonic()
        if old is not None and incarnations_module.is_later_start(
            replica.started_at, old.started_at
        ):
            self.replica_restarted(old, replica.started_at)
            old = None
        self.backoffs.observe_start(replica.instance, replica.started_at)
        departure = self.departures.find(replica.instance, replica.started_at)
        if departure is not None:
            replica = replica._replace(draining=True)
            self.draining_since[replica.instance] = departure.since
        self.versions.add(replica.service, replica.version, now)
        if old is not None:
            self.versions.remove(old.service, old.version, now)
        self.replicas[replica.instance] = replica
        self.lapses_at.pop(replica.instance, None)
        if replica.draining:
            self.draining_since.setdefault(replica.instance, time.monotonic())
        if old is not None and old.role != replica.role:
            self.roles.changing_until.pop(replica.instance, None)
            self.paused_until.pop(replica.instance, None)
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
            version=replica.version,
        )

    def keep_draining(self, replica: types.Replica) -> None:
        """Has a replica drain whatever a later entry says."""
        since = self.draining_since.get(replica.instance, time.monotonic())
        self.departures.record(replica.instance, replica.started_at, since)

    def receive_state(self, instance: str, state: types.State) -> bool:
        """Detects a restart from the start time that a replica reports.

        Returns:
            Whether the report is from the replica's newest incarnation.
        """
        if not self.incarnations.observe(instance, state.started_at):
            return False
        replica = self.replicas.get(instance)
        if replica is None or not incarnations_module.is_later_start(
            state.started_at, replica.started_at
        ):
            return True
        lapses_at = self.lapses_at.get(instance)
        self.replica_restarted(replica, state.started_at)
        if lapses_at is not None:
            # Its entry is gone: another replica may have its address by now.
            self.lapses_at[instance] = lapses_at
        self.versions.add(replica.service, None, time.monotonic())
        # Its software may have changed; the next registration says to what.
        self.replicas[instance] = replica._replace(
            draining=False,
            started_at=state.started_at,
            role=state.role,
            orders=state.orders,
            version=None,
        )
        return True

    def replica_restarted(
        self, replica: types.Replica, started_at: int
    ) -> None:
        """Drops the state kept for a replica's previous incarnation."""
        events.log(
            events.REPLICA_RESTARTED,
            instance=replica.instance,
            service=replica.service,
            before=replica.started_at,
            born=started_at,
        )
        for listener in self.crash_listeners:
            listener(replica)
        self.forget(replica)

    def drop(self, instance: str, grace: float, now: float) -> None:
        """Drops a replica whose entry is missing.

        Args:
            instance: The replica.
            grace: Seconds until then; 0 to drop it at once.
            now: The time.
        """
        if instance not in self.replicas:
            return
        replica = self.replicas[instance]
        if grace > 0:
            if instance not in self.lapses_at:
                self.lapses_at[instance] = now + grace
                events.log(
                    events.REPLICA_LAPSED,
                    instance=instance,
                    service=replica.service,
                    seconds=round(grace, 3),
                )
            return
        events.log(
            events.REPLICA_GONE,
            instance=instance,
            service=replica.service,
            address=replica.address,
        )
        self.forget(replica)

    def forget(self, replica: types.Replica) -> None:
        """Drops a replica and all state kept for it."""
        instance = replica.instance
        known = self.replicas.pop(instance)
        self.versions.remove(known.service, known.version, time.monotonic())
        self.lapses_at.pop(instance, None)
        self.paused_until.pop(instance, None)
        self.draining_since.pop(instance, None)
        self.roles.forget(instance)
        self.streams.forget(instance)
        self.suspects.discard(instance)
        self.reachability.reached(instance)
        self.probes.forget(instance)
        self.health.forget(instance)
        self.failure_rates.forget(instance)
        self.rate_limits.forget(instance)
        self.silence.forget(instance)
        for listener in self.removal_listeners:
            listener(replica)

    def expire(self, now: float) -> None:
        """Drops the replicas whose grace period is over."""
        for instance, until in list(self.lapses_at.items()):
            if now >= until:
                self.drop(instance, 0.0, now)

    def known(self, service: str) -> list[types.Replica]:
        """Returns the replicas of a service that are not draining."""
        if self.lapses_at:
            # Housekeeping would do this up to a second later.
            self.expire(time.monotonic())
        found = []
        for replica in self.replicas.in_service(service):
            if not replica.draining:
                found.append(replica)
        return found

    def process_ended(self, instance: str) -> None:
        """Notifies the listeners that a replica's process has ended."""
        replica = self.replicas.get(instance)
        if replica is None:
            return
        for listener in self.crash_listeners:
            listener(replica)

    def replica_answered(self, instance: str) -> None:
        """Notifies the listeners that a replica has answered a new call."""
        for listener in self.alive_listeners:
            listener(instance)

    def pause(self, instance: str, now: float, seconds: float) -> None:
        """Sends a replica no work for some seconds while there are others."""
        self.paused_until[instance] = now + seconds

    def request_started(self, instance: str, now: float) -> None:
        """Counts a request sent to a replica."""
        self.silence.started(instance, now)

    def request_ended(self, instance: str) -> None:
        """Counts the end of a request."""
        self.silence.ended(instance)
