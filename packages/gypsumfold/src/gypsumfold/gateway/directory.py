"""The replicas that this node knows, and whether each may get work.

A registration in the store isn't proof of life: an entry may lapse while its
replica lives, and a replica may be dead for seconds before its entry expires.
So the directory also tracks failures, silence and role changes.
"""

from collections.abc import Callable
import math
import random
import time

from gypsumfold import events
from gypsumfold import exceptions
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
from gypsumfold.decisions import stream_origins
from gypsumfold.decisions import types as decision_types
from gypsumfold.gateway import probe_schedule
from gypsumfold.gateway import replica_choice
from gypsumfold.gateway import replica_index
from gypsumfold.gateway import types

# Seconds without new requests for an engine that refused one as not run: it is
# full or changing its role.
REFUSAL_PAUSE_SECONDS = 0.25
# Seconds without new requests for a replica that reports another instance or
# role than its entry, which is corrected after 1 to 3 s.
MISTAKEN_PAUSE_SECONDS = 2.0
# Seconds for which a draining decode engine is still used if there is no other:
# it goes on serving for two seconds, and a role change takes three.
DRAINING_USE_SECONDS = 0.9


class Directory:
    """Known replicas, their state and this node's open requests at each.

    Attributes:
        replicas: Registered replicas by instance, including draining ones.
        paused_until: Until when a replica gets work only if no other can.
        lapses_at: When a replica whose entry is missing is dropped.
        changing_until: Until when an engine changes its role and gets no work.
        draining_since: When this node learnt that a replica is draining.
        departures: The replicas that have said that they leave.
        backoffs: The replicas that have asked this node to back off.
        suspects: Replicas that did not answer a probe; they get no work.
        reachability: The replicas to which new connections fail; they get work
            only over open ones.
        versions: The software versions of each service.
        rate_limits: The rate limits that replicas name.
        is_connected: Whether an idle connection to a replica is open.
        has_interrupted_runs: Whether runs on a replica were interrupted and it
            isn't known yet whether it crashed.
        probes: Which replicas are probed next.
        choice: Chooses among replicas that may get work.
        confirmed_roles: Roles known before the entries show them, and until
            when each is valid.
        decode_available_at: When a service last had a decode engine.

    >>> directory = Directory(random.Random(1))
    >>> directory.put(replica)
    >>> directory.ready("seats", now=0.0)
    [Replica(...)]
    """

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.replicas = replica_index.ReplicaIndex()
        self.paused_until: dict[str, float] = {}
        self.lapses_at: dict[str, float] = {}
        self.changing_until: dict[str, float] = {}
        self.draining_since: dict[str, float] = {}
        self.suspects: set[str] = set()
        self.reachability = reachability_module.Reachability()
        self.is_connected: Callable[[types.Replica], bool] = lambda _: False
        self.has_interrupted_runs: Callable[[str], bool] = lambda _: False
        self.unreachable_listeners = []
        self.crash_listeners: list[Callable[[types.Replica], None]] = []
        self.alive_listeners: list[Callable[[str], None]] = []
        self.confirmed_roles: dict[str, tuple[decision_types.Role, float]] = {}
        self.silence = silence_module.SilenceDetector()
        self.streams = cluster_totals.ClusterTotals()
        self.decode_available_at: dict[str, float] = {}
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
        self.departure_listeners: list[Callable[[str, int], None]] = []
        self.rate_limit_listeners: list[
            Callable[[str, float | None, float], None]
        ] = []

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
            self.changing_until.pop(replica.instance, None)
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

    def suspect_until_probed(self, instance: str) -> None:
        """Keeps requests from a replica until it answers on a new connection.

        Its entry was gone and is back; the replica may have left.
        """
        self.suspects.add(instance)
        self.reachability.unreachable.add(instance)
        self.probes.request(instance)

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
        self.changing_until.pop(instance, None)
        self.draining_since.pop(instance, None)
        self.confirmed_roles.pop(instance, None)
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
        for replica in self.replicas.of(service):
            if not replica.draining:
                found.append(replica)
        return found

    def is_reachable(self, replica: types.Replica) -> bool:
        """Whether a replica answers and a request could be sent to it."""
        if replica.instance in self.suspects:
            return False
        if replica.instance not in self.reachability.unreachable:
            return True
        return self.is_connected(replica)

    def count_reachable(
        self, service: str
    ) -> dict[decision_types.Role | None, tuple[int, int]]:
        """Counts the reachable replicas of a service and all, by role."""
        now = time.monotonic()
        counts = {}
        for replica in self.known(service):
            role = self.role(replica, now)
            reachable, known = counts.get(role, (0, 0))
            reachable += self.is_reachable(replica)
            counts[role] = (reachable, known + 1)
        return counts

    def count_usable(self, service: str) -> dict[str, int]:
        """Counts the usable replicas of a service and all, for log lines."""
        usable = len(self.responsive(service))
        return {"usable": usable, "replicas": len(self.known(service))}

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

    def responsive(self, service: str) -> list[types.Replica]:
        """Returns the replicas of a service neither draining nor suspect."""
        found = []
        for replica in self.known(service):
            if self.is_reachable(replica):
                found.append(replica)
        return found

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
        for replica in self.known(service):
            if replica.instance in avoid:
                continue
            if self.backoffs.is_active(replica.instance, now):
                continue
            if not self.rate_limits.is_open(replica.instance, now):
                continue
            if self.is_healthy(replica.instance, now):
                healthy.append(replica)
            elif not self.is_lost(replica.instance):
                unhealthy.append(replica)
        return healthy or unhealthy

    def is_lost(self, instance: str) -> bool:
        """Whether a replica answers neither on open nor on new connections."""
        lost = self.reachability.unreachable
        return instance in self.suspects and instance in lost

    def is_usable(self, instance: str) -> bool:
        """Whether a replica is known and may be sent requests now."""
        replica = self.replicas.get(instance)
        if replica is None or replica.draining:
            return False
        if self.backoffs.is_active(instance, time.monotonic()):
            return False
        return self.is_reachable(replica)

    def is_healthy(self, instance: str, now: float) -> bool:
        """Whether a replica is reachable, and neither paused nor failing."""
        replica = self.replicas.get(instance)
        if replica is None or not self.is_reachable(replica):
            return False
        if self.paused_until.get(instance, -math.inf) > now:
            return False
        if not self.backoffs.may_choose(instance, now):
            return False
        if self.failure_rates.is_failing(instance, now):
            return False
        return self.health.is_allowed(instance, now)

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
        for replica in self.responsive(service):
            if self.is_prefill(replica, now) != prefill:
                continue
            if origin is not None and not origin.fits(replica.version):
                continue
            if replica.instance in avoid:
                continue
            if self.changing_until.get(replica.instance, -math.inf) > now:
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
        for replica in self.known(origin.service):
            if not origin.fits(replica.version):
                continue
            if self.backoffs.is_active(replica.instance, until):
                continue
            if not self.is_prefill(replica, now):
                return True
        return False

    def lost_version(self, origin: stream_origins.Origin, now: float) -> bool:
        """Whether this node can't reach any decode engine of a version."""
        found = False
        for replica in self.known(origin.service):
            if not origin.fits(replica.version):
                continue
            if self.is_prefill(replica, now):
                continue
            if self.is_reachable(replica):
                return False
            found = True
        return found

    def is_prefill(self, replica: types.Replica, now: float) -> bool:
        """Whether an engine is a prefill engine."""
        return self.role(replica, now) == decision_types.Role.PREFILL

    def recently_draining(
        self,
        service: str,
        now: float,
        origin: stream_origins.Origin | None = None,
    ) -> list[types.Replica]:
        """Returns the decode engines that began to drain a moment ago."""
        found = []
        for instance, since in self.draining_since.items():
            replica = self.replicas[instance]
            if replica.service != service or now - since > DRAINING_USE_SECONDS:
                continue
            if self.is_prefill(replica, now):
                continue
            if origin is not None and not origin.fits(replica.version):
                continue
            if self.backoffs.is_active(instance, now):
                continue
            if not self.rate_limits.is_open(instance, now):
                continue
            if self.is_reachable(replica):
                found.append(replica)
        return found

    def close_until(self, instance: str, until: float) -> None:
        """Sends an engine no work until a time, as it changes its role."""
        self.changing_until[instance] = until

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

    def record_statement(
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
        for replica in self.responsive(service):
            instance = replica.instance
            if prefill is not None:
                if self.is_prefill(replica, now) != prefill:
                    continue
                if self.changing_until.get(instance, -math.inf) > now:
                    continue
            if origin is not None and not origin.fits(replica.version):
                continue
            end = self.backoffs.end(instance, now)
            if end is None:
                return None
            ends.append(end)
        return min(ends, default=None)

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
            self.put(replica)
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
        for replica in self.responsive(service):
            if self.rate_limits.is_open(replica.instance, now):
                continue
            if self.backoffs.is_active(replica.instance, now):
                continue
            if prefill is not None:
                if self.is_prefill(replica, now) != prefill:
                    continue
                if origin is not None and not origin.fits(replica.version):
                    continue
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

    def request_failed(
        self, instance: str, error: Exception | None, now: float
    ) -> None:
        """Records a failed request.

        If the connection ended or could not be opened, the replica is probed:
        the entry of a crashed one stays for up to four seconds, in which every
        request sent there would be lost.

        Args:
            instance: The replica.
            error: What went wrong; None if it answered with a failure.
            now: The time.
        """
        if isinstance(error, exceptions.EndpointWithheld):
            return
        refused = isinstance(error, exceptions.EndpointRefused)
        if refused and self.backoffs.is_active(instance, now):
            return
        silent = isinstance(error, exceptions.EndpointNotStarted | TimeoutError)
        self.health.failed(instance, silent and not refused, now)
        if isinstance(error, exceptions.EndpointUnreachable):
            self.probes.request_fresh(instance)
            self.report_unreachable(instance)
        elif isinstance(error, exceptions.AnswerBroken | TimeoutError):
            self.probes.request(instance)

    def report_unreachable(self, instance: str) -> None:
        """Has the other nodes probe a replica, unless this one is cut off."""
        replica = self.replicas.get(instance)
        if replica is None or self.is_cut_off(replica.service):
            return
        for listener in self.unreachable_listeners:
            listener(instance)

    def request_refused(
        self, instance: str, error: exceptions.EndpointRefused, now: float
    ) -> None:
        """Pauses a replica that refused a request."""
        mistaken = isinstance(error, exceptions.EndpointMismatch)
        self.pause(
            instance,
            now,
            MISTAKEN_PAUSE_SECONDS if mistaken else REFUSAL_PAUSE_SECONDS,
        )

    def confirm_role(
        self, instance: str, role: decision_types.Role, until: float
    ) -> None:
        """Sets an engine's role until its entry shows it."""
        self.confirmed_roles[instance] = (role, until)
        self.changing_until.pop(instance, None)
        self.paused_until.pop(instance, None)

    def role(
        self, replica: types.Replica, now: float
    ) -> decision_types.Role | None:
        """Returns an engine's role: the confirmed one, else its entry's."""
        role, until = self.confirmed_roles.get(replica.instance, (None, 0.0))
        if role is not None and now < until:
            return role
        return replica.role

    def pause(self, instance: str, now: float, seconds: float) -> None:
        """Sends a replica no work for some seconds while there are others."""
        self.paused_until[instance] = now + seconds

    def request_started(self, instance: str, now: float) -> None:
        """Counts a request sent to a replica."""
        self.silence.started(instance, now)

    def request_ended(self, instance: str) -> None:
        """Counts the end of a request."""
        self.silence.ended(instance)
