"""What the stream ``control`` says, service by service.

`Books` follows the stream's tail. A node that starts after the log dropped
the stream's beginning takes a service's state from a lease record that a
later one names as valid, and goes on from there.
"""

from collections.abc import Callable
from typing import NamedTuple

from gypsumfold.control import leases
from gypsumfold.control import orders
from gypsumfold.control import records
from gypsumfold.logservice import records as platform_records


class LoggedRecord(NamedTuple):
    """A record with its place on the log."""

    offset: int
    time: float
    record: records.Record


class ServiceState:
    """The lease and the orders of one service.

    Attributes:
        lease: See `leases.Lease`.
        orders: See `orders.Orders`.
        through: All offsets up to this one were read.
        begun: Whether the state is known; not before an anchor was found
            where the log has dropped the stream's beginning.

    >>> state = Book("dispatch-lm", retention=86400.0, first=0, begun=True)
    >>> state.apply(logged, now=1.0)
    """

    def __init__(self, service: str, retention: float, first: int, begun: bool):
        self.service = service
        self.retention = retention
        self.first = first
        self.is_known = begun
        self.pending: list[LoggedRecord] = []
        self.lease = leases.Lease(retention)
        self.orders = orders.Orders()
        self.through = first - 1

    def apply(self, logged: LoggedRecord, now: float) -> bool:
        """Takes one record in and returns whether it counts."""
        if self.is_known:
            return self.apply_known(logged, now)
        self.pending.append(logged)
        self.find_anchor(logged, now)
        return False

    def advance(self, offset: int, time: float) -> None:
        """Notes that an entry was read, whatever it was about.

        Candidates that grew older than the retention no longer matter: a
        chain that old may be begun anew (`leases.Lease.follows`).
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
        """Begins at a lease record that this one proves to be valid."""
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
        """Loads a snapshot and applies what came after it."""
        self.is_known = True
        self.lease.load(state, now)
        self.orders.load(state)
        for logged in self.pending:
            if logged.offset > state.through:
                self.apply_known(logged, now)
        self.pending = []

    def apply_known(self, logged: LoggedRecord, now: float) -> bool:
        """Applies one record to a state that is known."""
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
        """Drops what only nodes that run for longer than the log keeps know.

        A claim may begin a new chain once the old one is older than the
        retention. All nodes then go on from what its writer knew.
        """
        begins = record.action == records.CLAIM and record.previous == -1
        if not begins or self.lease.last_offset == -1:
            return
        if self.lease.is_next(-1, time):
            self.lease.load(record.state, now)
            self.orders.load(record.state)

    def closed_engines(self) -> dict[str, int]:
        """Lists the closed engines, as far as they are known by now."""
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
        """The state as it goes into this node's lease records."""
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
    """The books of all services, fed by the tail of the stream.

    Attributes:
        services: The state of each service that has one.
        through: All offsets up to this one were read.
        begun: Whether a service without records is known to have none.
        listeners: Called with each record and whether it counts.

    >>> books = Books(settings.platform.retention, loop.time)
    >>> tail.subscribe(books.apply, books.gap)
    >>> books.state("dispatch-lm").lease.holder
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
        """Gives a service's state, a new one where there is none."""
        if service not in self.services:
            self.services[service] = ServiceState(
                service, self.retention, self.first, self.is_known
            )
            self.services[service].through = self.through
        return self.services[service]

    def apply(self, entry: platform_records.Entry) -> None:
        """Takes one entry in; a subscriber of `logs.Tail`."""
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
        """Forgets everything: records between these offsets are lost."""
        self.first = first
        self.through = first - 1
        self.is_known = False
        self.services = {}

    def caught_up(self) -> None:
        """Is called once the end of the stream was reached.

        A service without a record so far has no lease: the log keeps each
        record for the retention, so what it dropped has lapsed since.
        """
        self.is_known = True
        for state in self.services.values():
            if not state.pending:
                state.is_known = True
