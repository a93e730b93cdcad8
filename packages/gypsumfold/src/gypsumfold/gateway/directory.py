"""What this node knows of replicas: registered, leaving, busy, not answering.

Registrations are beliefs: an entry may lapse while its replica lives, and a
replica may be dead for seconds before its entry goes.
"""

import asyncio
from collections.abc import Callable
import math
import random
import time

from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold.decisions import cluster_totals
from gypsumfold.decisions import health
from gypsumfold.decisions import incarnations as incarnations_module
from gypsumfold.decisions import silence as silence_module
from gypsumfold.decisions import types as decision_types
from gypsumfold.gateway import types

# Seconds that an engine which refused a request as not run gets no other: it
# is full or changes its role.
REFUSAL_PAUSE_SECONDS = 0.25
# Seconds for which a replica that says it is another one, or has another role,
# gets no other request: its entry is corrected after 1 to 3 s.
MISTAKEN_PAUSE_SECONDS = 2.0
# Seconds between two questions to a silent replica for a sign of life, at
# first and at most: 73 nodes that ask 18 lost engines ten times a second make
# 13,000 calls a second.
FIRST_PROBE_INTERVAL_SECONDS = 0.1
MAX_PROBE_INTERVAL_SECONDS = 1.0
# Share of an engine by which one elsewhere has to be emptier.
OTHER_DATA_CENTRE_PENALTY = 0.1
# The same for one to which no connection is open: hundreds of nodes that each
# use every engine open 0.55 connections for each request, and an engine takes
# so many from all of them.
UNCONNECTED_PENALTY = 0.1
# Seconds after this node learnt that an engine leaves for which it is still
# used where no other generates: it serves on for two seconds, and a change
# of role takes three.
DRAINING_USE_SECONDS = 0.9


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
        self.paused_until: dict[str, float] = {}
        self.lapses_at: dict[str, float] = {}
        self.changing_until: dict[str, float] = {}
        self.draining_since: dict[str, float] = {}
        self.suspects: set[str] = set()
        self.probe_requests: set[str] = set()
        self.probe_requested = asyncio.Event()
        self.next_probes: dict[str, tuple[float, float]] = {}
        self.unreachable_listeners = []
        self.crash_listeners: list[Callable[[types.Replica], None]] = []
        self.alive_listeners: list[Callable[[str], None]] = []
        self.confirmed_roles: dict[str, tuple[decision_types.Role, float]] = {}
        self.silence = silence_module.SilenceDetector()
        self.streams = cluster_totals.ClusterTotals()
        self.decode_available_at: dict[str, float] = {}
        self.health = health.Health(rng)
        self.removal_listeners = []
        self.incarnations = incarnations_module.Incarnations()

    def put(self, replica: types.Replica) -> None:
        """Takes a registration in; a late one of an earlier start is none."""
        if not self.incarnations.observe(replica.instance, replica.started_at):
            return
        old = self.replicas.get(replica.instance)
        if old is not None and incarnations_module.is_later_start(
            replica.started_at, old.started_at
        ):
            self.replica_restarted(old, replica.started_at)
            old = None
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
        )

    def receive_state(self, instance: str, state: types.State) -> bool:
        """Takes in when a replica says that it has started.

        Returns:
            Whether what it says beside is of its newest start.
        """
        if not self.incarnations.observe(instance, state.started_at):
            return False
        replica = self.replicas.get(instance)
        if replica is None or not incarnations_module.is_later_start(
            state.started_at, replica.started_at
        ):
            return True
        self.replica_restarted(replica, state.started_at)
        self.replicas[instance] = replica._replace(
            started_at=state.started_at, role=state.role, orders=state.orders
        )
        return True

    def replica_restarted(self, replica: types.Replica, born: int) -> None:
        """Forgets all that was believed of a replica's earlier start."""
        events.log(
            events.REPLICA_RESTARTED,
            instance=replica.instance,
            service=replica.service,
            before=replica.started_at,
            born=born,
        )
        for listener in self.crash_listeners:
            listener(replica)
        self.forget(replica)

    def drop(self, instance: str, grace: float, now: float) -> None:
        """Drops a replica whose entry went, at once or after a grace."""
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
        """Drops a replica and all that is believed of it."""
        instance = replica.instance
        del self.replicas[instance]
        self.lapses_at.pop(instance, None)
        self.paused_until.pop(instance, None)
        self.changing_until.pop(instance, None)
        self.draining_since.pop(instance, None)
        self.confirmed_roles.pop(instance, None)
        self.streams.forget(instance)
        self.suspects.discard(instance)
        self.probe_requests.discard(instance)
        self.next_probes.pop(instance, None)
        self.health.forget(instance)
        self.silence.forget(instance)
        for listener in self.removal_listeners:
            listener(replica)

    def expire(self, now: float) -> None:
        """Drops the entries whose grace is over."""
        for instance, until in list(self.lapses_at.items()):
            if now >= until:
                self.drop(instance, 0.0, now)

    def known(self, service: str) -> list[types.Replica]:
        """All replicas of a service that are not leaving."""
        if self.lapses_at:
            # At once and not at the next look, which is up to a second later.
            self.expire(time.monotonic())
        found = []
        for replica in self.replicas.values():
            if replica.service == service and not replica.draining:
                found.append(replica)
        return found

    def responsive(self, service: str) -> list[types.Replica]:
        """The replicas of a service that are not leaving and not silent."""
        found = []
        for replica in self.known(service):
            if replica.instance not in self.suspects:
                found.append(replica)
        return found

    def ready(
        self,
        service: str,
        now: float,
        avoid: frozenset[str] = frozenset(),
    ) -> list[types.Replica]:
        """The replicas of a plain service that may get work now.

        Those that refused, failed or fell silent a moment ago are left out
        while there are others.

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
            if self.is_healthy(replica.instance, now):
                healthy.append(replica)
            else:
                unhealthy.append(replica)
        return healthy or unhealthy

    def is_usable(self, instance: str) -> bool:
        """Whether a replica is known, stays, and is not silent."""
        replica = self.replicas.get(instance)
        if replica is None or replica.draining:
            return False
        return instance not in self.suspects

    def is_healthy(self, instance: str, now: float) -> bool:
        """Whether nothing speaks against sending work to a replica."""
        if instance in self.suspects:
            return False
        if self.paused_until.get(instance, -math.inf) > now:
            return False
        return self.health.is_allowed(instance, now)

    def engines(
        self,
        service: str,
        prefill: bool,
        now: float,
        avoid: frozenset[str] = frozenset(),
    ) -> list[types.Replica]:
        """The engines that read prompts, or those that generate.

        Silent ones and those that change their role are left out, also
        where there is no other.

        Args:
            service: The service.
            prefill: Whether to return prefill engines, not decode engines.
            now: The time.
            avoid: Instances that failed this request before.
        """
        healthy = []
        unhealthy = []
        for replica in self.responsive(service):
            if self.is_prefill(replica, now) != prefill:
                continue
            if replica.instance in avoid:
                continue
            if self.changing_until.get(replica.instance, -math.inf) > now:
                continue
            if self.is_healthy(replica.instance, now):
                healthy.append(replica)
            else:
                unhealthy.append(replica)
        found = healthy or unhealthy
        if not found and not prefill:
            found = self.recently_draining(service, now)
        if found and not prefill:
            self.decode_available_at[service] = now
        return found

    def is_prefill(self, replica: types.Replica, now: float) -> bool:
        """Whether an engine reads prompts for others."""
        return self.role(replica, now) == decision_types.Role.PREFILL

    def recently_draining(
        self, service: str, now: float
    ) -> list[types.Replica]:
        """Engines that generate and began to leave only a moment ago."""
        found = []
        for instance, since in self.draining_since.items():
            replica = self.replicas[instance]
            if replica.service != service or now - since > DRAINING_USE_SECONDS:
                continue
            if self.is_prefill(replica, now):
                continue
            if instance not in self.suspects:
                found.append(replica)
        return found

    def close_until(self, instance: str, until: float) -> None:
        """Sends an engine nothing more while it changes its role."""
        self.changing_until[instance] = until

    def record_activity(self, instance: str, now: float) -> None:
        """Notes a sign of life."""
        self.silence.received(instance, now)
        if instance in self.suspects:
            self.suspects.discard(instance)
            self.next_probes.pop(instance, None)
            events.log(events.REPLICA_HEARD, instance=instance)

    def suspect(self, instance: str, now: float) -> None:
        """Sends nothing more to a replica that gives no sign of life."""
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

    def process_ended(self, instance: str) -> None:
        """Notes that a replica's process has ended."""
        replica = self.replicas.get(instance)
        if replica is None:
            return
        for listener in self.crash_listeners:
            listener(replica)

    def replica_answered(self, instance: str) -> None:
        """Notes that a replica has answered a new call."""
        for listener in self.alive_listeners:
            listener(instance)

    def request_failed(
        self, instance: str, error: Exception | None, now: float
    ) -> None:
        """Judges a replica by one failure.

        Where a connection ended or none could be opened, the replica is
        asked for a sign of life: the entry of one that crashed stays for
        up to four seconds (3.8 s seen), in which every request for it would
        be lost.

        Args:
            instance: The replica.
            error: What went wrong; None where it answered with a failure.
            now: The time.
        """
        refused = isinstance(error, exceptions.EndpointRefused)
        silent = isinstance(error, exceptions.EndpointNotStarted | TimeoutError)
        self.health.failed(instance, silent and not refused, now)
        if isinstance(error, exceptions.EndpointUnreachable):
            self.request_probe(instance)
            for listener in self.unreachable_listeners:
                listener(instance)
        elif isinstance(error, exceptions.AnswerBroken):
            self.request_probe(instance)

    def request_probe(self, instance: str) -> None:
        """Has a replica asked for a sign of life at the next look."""
        if instance in self.replicas:
            self.probe_requests.add(instance)
            self.probe_requested.set()

    def request_refused(
        self, instance: str, error: exceptions.EndpointRefused, now: float
    ) -> None:
        """Sends a replica that refused a request nothing more for a while."""
        mistaken = isinstance(error, exceptions.EndpointMistaken)
        self.pause(
            instance,
            now,
            MISTAKEN_PAUSE_SECONDS if mistaken else REFUSAL_PAUSE_SECONDS,
        )

    def due_probes(self, now: float) -> set[str]:
        """The replicas that are to give a sign of life.

        Those that gave none are asked less and less often.
        """
        asked = (
            self.probe_requests.union(self.silence.check(now)) - self.suspects
        )
        self.probe_requests.clear()
        self.probe_requested.clear()
        for instance in self.suspects:
            due, pause = self.next_probes.get(
                instance, (now, FIRST_PROBE_INTERVAL_SECONDS)
            )
            if now >= due:
                asked.add(instance)
                longer = min(2 * pause, MAX_PROBE_INTERVAL_SECONDS)
                self.next_probes[instance] = (now + pause, longer)
        return asked

    def confirm_role(
        self, instance: str, role: decision_types.Role, until: float
    ) -> None:
        """Believes an engine's role before its entry shows it."""
        self.confirmed_roles[instance] = (role, until)
        self.changing_until.pop(instance, None)
        self.paused_until.pop(instance, None)

    def role(
        self, replica: types.Replica, now: float
    ) -> decision_types.Role | None:
        """What an engine does, by what is known best."""
        role, until = self.confirmed_roles.get(replica.instance, (None, 0.0))
        if role is not None and now < until:
            return role
        return replica.role

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
            busy = self.silence.open_requests.get(replica.instance, 0)
            key = (
                busy / max(1, replica.slots),
                replica.data_centre != data_centre,
                self.rng.random(),
            )
            if best_key is None or key < best_key:
                best, best_key = replica, key
        return best

    def least_loaded(
        self,
        engines: list[types.Replica],
        data_centre: str,
        connected: Callable[[types.Replica], bool] = lambda replica: True,
    ) -> types.Replica | None:
        """The generating engine with the most room left, by all nodes.

        One of the given data centre goes before others that are a tenth
        emptier: a KV cache takes twice as long from one to another. So does
        one to which a connection is open.
        """
        now = time.monotonic()
        best = None
        best_key = math.inf
        for engine in engines:
            key = self.streams.total(engine.instance, now)
            if engine.data_centre != data_centre:
                key += OTHER_DATA_CENTRE_PENALTY
            if not connected(engine):
                key += UNCONNECTED_PENALTY
            key += self.rng.random() * 1e-3
            if key < best_key:
                best, best_key = engine, key
        return best

    def pause(self, instance: str, now: float, seconds: float) -> None:
        """Sends a replica nothing more for a moment while there are others."""
        self.paused_until[instance] = now + seconds

    def request_started(self, instance: str, now: float) -> None:
        """Counts a request that is sent to a replica."""
        self.silence.started(instance, now)

    def request_ended(self, instance: str) -> None:
        """Counts the end of such a request."""
        self.silence.ended(instance)
