"""One service's orders, derived from the records on the log alone.

Each engine has one outstanding order at the most; its fencing token is the
offset of its intent. That is above the lease's own token, and so two orders
of one holder differ too: an order whose answer was lost cannot overtake the
next one at an engine that checks.
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
    """What an engine says about itself (``/v1/state``), never with a lag.

    Attributes:
        incarnation: New at each start of the engine's process.
        role: What it does now.
        models: What it has loaded.
        running: Dispatches in progress.
        changing: Whether an order is being carried out.
        last_order: Id of the last order that it took; empty for none.
        last_done: Whether that order has ended.
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
    """Judges an outstanding order by the state that its engine gave.

    Args:
        order: The outstanding order.
        state: Read after the order's sending was given up.
        checks: Whether the engine refuses old tokens.
        silent: Whether nobody can send it any more and nothing of it can
            be on its way (its author's connection has ended, and the
            quarantine with it).

    Returns:
        What is known, and so what may follow.
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
    """Closed engines, wishes and orders of one service.

    Attributes:
        outstanding: The order without a known result, by engine.
        closed: Closed engines, with the offset of the closing.
        wishes: What operators ask for, by engine, oldest first.
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
        """Takes an intent in; valid from the holder, one for each engine."""
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
        """Takes a result in; the wish behind a done order is fulfilled."""
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
        """Makes the role of an operator's order stand."""
        if order.verb == "role" and order.desired_offset >= 0:
            self.pins[engine] = records.Pin(order.subject, order.declared)

    def mark_met(
        self, record: records.DesiredOrderMet, lease: leases.Lease
    ) -> bool:
        """Takes in that nothing is to be done for a wish."""
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
        """Takes a closing in; valid from the holder alone."""
        if not self.is_current_token(record.token, lease):
            return False
        self.closed[record.engine] = offset
        return True

    def open(self, record: records.EngineOpened, lease: leases.Lease) -> bool:
        """Takes the end of a closing in; never with an order outstanding."""
        if not self.is_current_token(record.token, lease):
            return False
        if record.engine in self.outstanding:
            return False
        self.closed.pop(record.engine, None)
        return True

    def is_current_token(self, token: int, lease: leases.Lease) -> bool:
        """Whether a token is that of the present tenure."""
        if lease.holder is None or lease.released:
            return False
        return lease.holder.token == token

    def add_desired(self, record: records.OrderDesired, offset: int) -> bool:
        """Takes an operator's order in; a repeat of one changes nothing.

        Of two wishes with the same verb for one engine the later on the log
        takes the place of the earlier.
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
        """Forgets a wish."""
        kept = []
        for desired in self.desired.get(engine, []):
            if desired.offset != offset:
                kept.append(desired)
        self.desired.pop(engine, None)
        if kept:
            self.desired[engine] = kept

    def load(self, state: records.Snapshot) -> None:
        """Starts from what another node had read."""
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
    """Whether this node may write this order's bytes at this instant.

    Args:
        order: The engine's outstanding order.
        tenure: This node's own.
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
