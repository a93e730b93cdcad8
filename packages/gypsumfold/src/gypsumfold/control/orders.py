"""One service's orders, derived only from the records on the log.

Each engine has at most one outstanding order. Its fencing token is the
offset of its intent, which is above the lease's own token and differs
between two orders of one holder. So an order whose answer was lost cannot
overtake the next one at an engine that checks tokens.
"""

import collections
import enum
from typing import NamedTuple

from gypsumfold import settings as settings_module
from gypsumfold.control import leases
from gypsumfold.control import records

# Results kept for operators' queries, for each service.
RESULTS_KEPT = 64


class EngineState(NamedTuple):
    """An engine's current state (``/v1/state``), which never lags.

    Attributes:
        incarnation: New at each start of the engine's process.
        role: Its current role.
        models: The models that it has loaded.
        running: Dispatches in progress.
        changing: Whether an order is being carried out.
        last_order: Id of the last order that it accepted; empty for none.
        last_done: Whether that order was completed.
        highest_token: The highest fencing token it has seen; -1 for none.
    """

    incarnation: str
    role: str
    models: frozenset[str]
    running: int
    changing: bool
    last_order: str
    last_done: bool
    highest_token: int


class Resolution(enum.StrEnum):
    """What is known about an outstanding order."""

    DONE = "done"
    FAILED = "failed"
    VOID = "void"
    WAIT = "wait"
    SUPERSEDE = "supersede"


class Finished(NamedTuple):
    """An order and how it ended."""

    engine: str
    order: records.Order
    result: str


def resolve(
    order: records.Order, state: EngineState, checks: bool, silent: bool
) -> Resolution:
    """Resolves an outstanding order by the state that its engine reported.

    Args:
        order: The outstanding order.
        state: Read after the sender stopped waiting for the answer.
        checks: Whether the engine refuses old tokens.
        silent: Whether the order can no longer be sent and none of it can
            be in transit (its author's connection and the quarantine after
            it have ended).

    Returns:
        The resolution, which says what may follow.
    """
    if state.last_order == order.id:
        if state.last_done:
            return Resolution.DONE
        return Resolution.WAIT if state.changing else Resolution.FAILED
    if state.incarnation != order.engine and order.engine:
        return Resolution.VOID
    if state.changing:
        return Resolution.WAIT
    if checks:
        if state.highest_token > order.token:
            return Resolution.VOID
        return Resolution.SUPERSEDE
    return Resolution.VOID if silent else Resolution.WAIT


class Orders:
    """Closed engines, desired orders and outstanding orders of one service.

    Attributes:
        outstanding: The order without a known result, by engine.
        closed: Closed engines, with the offset of the closing.
        desired: Operators' open orders, by engine, oldest first.
        pins: Roles set by operators' orders, by engine.
        finished: The last results, for queries.

    >>> orders = Orders()
    >>> orders.intend(record, offset=12, lease=lease)
    True
    >>> orders.outstanding["engine-1"].token
    12
    """

    def __init__(self):
        self.outstanding: dict[str, records.Order] = {}
        self.closed: dict[str, int] = {}
        self.desired: dict[str, list[records.DesiredOrder]] = {}
        self.pins: dict[str, records.Pin] = {}
        self.finished = collections.deque(maxlen=RESULTS_KEPT)

    def intend(
        self, record: records.OrderIntended, offset: int, lease: leases.Lease
    ) -> bool:
        """Applies an intent; valid from the holder, one for each engine."""
        if not lease.is_held_by(record.author, record.lease):
            return False
        current = self.outstanding.get(record.engine)
        if current is not None and current.id != record.supersedes:
            return False
        if current is not None:
            self.finished.append(Finished(record.engine, current, "void"))
        self.outstanding[record.engine] = records.Order(
            record.id,
            offset,
            record.author,
            record.verb,
            record.subject,
            record.desired_offset,
            record.incarnation,
            record.declared,
        )
        return True

    def finish(self, record: records.OrderFinished) -> bool:
        """Applies a result; any but ``void`` ends the desired order."""
        order = self.outstanding.get(record.engine)
        if order is None or order.id != record.id:
            return False
        del self.outstanding[record.engine]
        self.finished.append(Finished(record.engine, order, record.result))
        if record.result != Resolution.VOID:
            self.drop_desired(record.engine, order.desired_offset)
        if record.result == Resolution.DONE:
            self.pin(record.engine, order)
        return True

    def pin(self, engine: str, order: records.Order) -> None:
        """Keeps the role of an operator's order in force."""
        if order.verb == "role" and order.desired_offset >= 0:
            self.pins[engine] = records.Pin(order.subject, order.declared)

    def mark_met(
        self, record: records.DesiredOrderMet, lease: leases.Lease
    ) -> bool:
        """Applies a record that a desired order is already met."""
        if not self.is_current_token(record.token, lease):
            return False
        for desired in self.desired.get(record.engine, []):
            if (
                desired.offset != record.desired_offset
                or desired.verb != "role"
            ):
                continue
            self.pins[record.engine] = records.Pin(
                desired.subject, record.declared
            )
        self.drop_desired(record.engine, record.desired_offset)
        return True

    def close(
        self, record: records.EngineClosed, offset: int, lease: leases.Lease
    ) -> bool:
        """Applies a closing; valid only from the holder."""
        if not self.is_current_token(record.token, lease):
            return False
        self.closed[record.engine] = offset
        return True

    def open(self, record: records.EngineOpened, lease: leases.Lease) -> bool:
        """Applies the end of a closing; void while an order is outstanding."""
        if not self.is_current_token(record.token, lease):
            return False
        if record.engine in self.outstanding:
            return False
        self.closed.pop(record.engine, None)
        return True

    def is_current_token(self, token: int, lease: leases.Lease) -> bool:
        """Whether a token is that of the current tenure."""
        if lease.holder is None or lease.released:
            return False
        return lease.holder.token == token

    def add_desired(self, record: records.OrderDesired, offset: int) -> bool:
        """Applies an operator's order; a repeated one changes nothing.

        Of two desired orders with the same verb for one engine, the later on
        the log replaces the earlier.
        """
        queue = self.desired.setdefault(record.engine, [])
        for desired in queue:
            if desired.change_id == record.change_id:
                return False
        queue[:] = [desired for desired in queue if desired.verb != record.verb]
        queue.append(
            records.DesiredOrder(
                offset,
                record.change_id,
                record.operator,
                record.verb,
                record.subject,
            )
        )
        return True

    def drop_desired(self, engine: str, offset: int) -> None:
        """Removes a desired order."""
        kept = []
        for desired in self.desired.get(engine, []):
            if desired.offset != offset:
                kept.append(desired)
        self.desired.pop(engine, None)
        if kept:
            self.desired[engine] = kept

    def load(self, state: records.Snapshot) -> None:
        """Replaces the state by another node's snapshot."""
        self.outstanding = dict(state.orders)
        self.closed = dict(state.closed)
        self.desired = {}
        for engine, queue in state.desired.items():
            self.desired[engine] = list(queue)
        self.pins = dict(state.pins)


def may_send(
    order: records.Order,
    tenure: leases.Tenure,
    lease: leases.Lease,
    checks: bool,
    now: float,
    settings: settings_module.ControlSection,
) -> bool:
    """Whether this node may write this order's bytes now.

    Args:
        order: The engine's outstanding order.
        tenure: This node's own tenure.
        lease: As last read from the log.
        checks: Whether the engine refuses old tokens.
        now: This node's time.
        settings: Durations.
    """
    if order.author != tenure.identity.incarnation:
        return False
    if not tenure.is_valid(now):
        return False
    if not lease.is_held_by(order.author, tenure.token):
        return False
    return checks or lease.is_undisputed(now, settings)
