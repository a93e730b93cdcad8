"""The state of each service, derived from the log stream ``control``.

`ControlState` follows the stream's tail. A node that starts after the log
dropped the stream's beginning takes a service's state from the snapshot in a
lease record that a later record names as valid, and continues from there.
"""

from collections.abc import Callable
from typing import NamedTuple

from gypsumfold.control import leases
from gypsumfold.control import orders
from gypsumfold.control import records
from gypsumfold.logservice import records as platform_records


class LoggedRecord(NamedTuple):
    """A record with its offset and time on the log."""

    offset: int
    time: float
    record: records.Record


class ServiceState:
    """The lease and the orders of one service.

    Attributes:
        lease: See `leases.Lease`.
        orders: See `orders.Orders`.
        through: All offsets up to this one were read.
        is_known: Whether the state is known. If the log has dropped the
            stream's beginning, only once a valid snapshot was found.

    >>> state = ServiceState(
    ...     "dispatch-lm", retention=86400.0, first=0, is_known=True
    ... )
    >>> state.apply(logged, now=1.0)
    """

    def __init__(
        self, service: str, retention: float, first: int, is_known: bool
    ):
        self.service = service
        self.retention = retention
        self.first = first
        self.is_known = is_known
        self.pending: list[LoggedRecord] = []
        self.lease = leases.Lease(retention)
        self.orders = orders.Orders()
        self.through = first - 1

    def apply(self, logged: LoggedRecord, now: float) -> bool:
        """Applies one record and returns whether it is valid."""
        if self.is_known:
            return self.apply_known(logged, now)
        self.pending.append(logged)
        self.find_anchor(logged, now)
        return False

    def advance(self, offset: int, time: float) -> None:
        """Records that an entry was read, whichever service it concerns.

        Pending records older than the retention are dropped: a chain that
        old may be restarted (`leases.Lease.is_next`).
        """
        self.through = offset
        if self.is_known or not self.pending:
            return
        while self.pending:
            if time - self.pending[0].time <= self.retention:
                return
            self.pending.pop(0)
        self.is_known = True

    def find_anchor(self, logged: LoggedRecord, now: float) -> None:
        """Starts from a lease record that this one proves to be valid."""
        if not isinstance(logged.record, records.LeaseChanged):
            return
        for candidate in self.pending[:-1]:
            if candidate.offset != logged.record.previous:
                continue
            if not isinstance(candidate.record, records.LeaseChanged):
                return
            state = candidate.record.state
            if state.through + 1 < self.first:
                return
            self.start_from(state, now)
            return

    def start_from(self, state: records.Snapshot, now: float) -> None:
        """Loads a snapshot and applies the records after it."""
        self.is_known = True
        self.lease.load(state, now)
        self.orders.load(state)
        for logged in self.pending:
            if logged.offset > state.through:
                self.apply_known(logged, now)
        self.pending = []

    def apply_known(self, logged: LoggedRecord, now: float) -> bool:
        """Applies one record to a known state; returns whether it is valid."""
        record = logged.record
        match record:
            case records.LeaseChanged():
                self.restart_chain(record, logged.time, now)
                return self.lease.apply(record, logged.offset, logged.time, now)
            case records.HolderEnded():
                self.lease.end(record.incarnation, now)
            case records.HolderCleared():
                if not self.orders.is_current_token(record.token, self.lease):
                    return False
                self.lease.clear(record.cleared)
            case records.Seizure():
                self.lease.seize(
                    record.incarnation, logged.offset, logged.time, now
                )
            case records.OrderIntended():
                return self.orders.intend(record, logged.offset, self.lease)
            case records.OrderFinished():
                return self.orders.finish(record)
            case records.EngineClosed():
                return self.orders.close(record, logged.offset, self.lease)
            case records.EngineOpened():
                return self.orders.open(record, self.lease)
            case records.OrderDesired():
                return self.orders.add_desired(record, logged.offset)
            case records.DesiredOrderMet():
                return self.orders.mark_met(record, self.lease)
        return True

    def restart_chain(
        self, record: records.LeaseChanged, time: float, now: float
    ) -> None:
        """Replaces the state when a claim starts a new chain.

        A claim may do so once the old chain is older than the retention.
        All nodes then continue from its writer's snapshot, since newer
        nodes can't know what the log no longer keeps.
        """
        begins = record.action == records.CLAIM and record.previous == -1
        if not begins or self.lease.last_offset == -1:
            return
        if self.lease.is_next(-1, time):
            self.lease.load(record.state, now)
            self.orders.load(record.state)

    def closed_engines(self) -> dict[str, int]:
        """Returns the closed engines known so far, with their offsets."""
        if self.is_known:
            return self.orders.closed
        found = {}
        for logged in self.pending:
            if isinstance(logged.record, records.LeaseChanged):
                found.update(logged.record.state.closed)
            if isinstance(logged.record, records.EngineClosed):
                found[logged.record.engine] = logged.offset
        return found

    def snapshot(self) -> records.Snapshot:
        """Returns the state to include in this node's lease records."""
        desired = {}
        for engine, found in self.orders.desired.items():
            desired[engine] = tuple(found)
        return records.Snapshot(
            self.through,
            self.lease.last_offset,
            self.lease.time,
            self.lease.holder,
            self.lease.released,
            tuple(self.lease.predecessors),
            dict(self.orders.outstanding),
            dict(self.orders.closed),
            desired,
            dict(self.orders.pins),
        )


class ControlState:
    """The state of all services, updated from the tail of the stream.

    Attributes:
        services: State by service name.
        through: All offsets up to this one were read.
        is_known: Whether a service without records is known to have none.
        listeners: Called with each record and whether it is valid.

    >>> state = ControlState(settings.platform.retention, loop.time)
    >>> tail.subscribe(state.apply, state.gap)
    >>> state.service_state("dispatch-lm").lease.holder
    """

    def __init__(self, retention: float, clock: Callable[[], float]):
        self.retention = retention
        self.clock = clock
        self.first = 0
        self.through = -1
        self.is_known = True
        self.services: dict[str, ServiceState] = {}
        self.listeners: list[Callable[[LoggedRecord, bool], None]] = []

    def service_state(self, service: str) -> ServiceState:
        """Returns the state of a service, created if there is none."""
        if service not in self.services:
            self.services[service] = ServiceState(
                service, self.retention, self.first, self.is_known
            )
            self.services[service].through = self.through
        return self.services[service]

    def apply(self, entry: platform_records.Entry) -> None:
        """Applies one entry; a subscriber of `logs.Tail`."""
        now = self.clock()
        self.through = entry.offset
        for record in entry.records:
            if not isinstance(record, records.KINDS):
                continue
            logged = LoggedRecord(entry.offset, entry.time, record)
            valid = self.service_state(record.service).apply(logged, now)
            for listener in self.listeners:
                listener(logged, valid)
        for state in self.services.values():
            state.advance(entry.offset, entry.time)

    def gap(self, wanted: int, first: int) -> None:
        """Discards all state: records between these offsets are lost."""
        self.first = first
        self.through = first - 1
        self.is_known = False
        self.services = {}

    def caught_up(self) -> None:
        """Called once the end of the stream was reached.

        A service without a record so far has no lease: the log keeps each
        record for the retention, so any lease that it dropped has expired.
        """
        self.is_known = True
        for state in self.services.values():
            if not state.pending:
                state.is_known = True
