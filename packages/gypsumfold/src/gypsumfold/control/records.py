"""Control's log records: leases, closed engines and orders.

All are appended to the stream ``control``. Whether one is valid is a pure
function of the records before it (`control.leases`, `control.orders`).
"""

from typing import NamedTuple

from gypsumfold.logservice import records


class Holder(NamedTuple):
    """One tenure of a lease.

    Attributes:
        token: Offset of the grant.
        incarnation: Incarnation of the node that holds it.
        node: The node's name.
        address: IP number of the node.
        ended: Whether the log has proof that the incarnation has ended.
    """

    token: int
    incarnation: str
    node: str
    address: str
    ended: bool = False


class Order(NamedTuple):
    """An outstanding order: decided on, with a result not yet known.

    Attributes:
        id: Unique; the engine answers a repeat as it did the first.
        token: Offset of the intent: the fencing token sent along.
        author: The only incarnation that may send it.
        verb: ``role``, ``load`` or ``unload``.
        subject: The role or the model.
        desired_offset: Offset of the operator's desired order behind it; -1
            for none.
        engine: Incarnation of the engine when it was decided on.
        declared: The engine's declared role at that time.
    """

    id: str
    token: int
    author: str
    verb: str
    subject: str
    desired_offset: int
    engine: str
    declared: str


class DesiredOrder(NamedTuple):
    """An operator's order that still has to be carried out.

    Attributes:
        offset: Its offset on the log; a later one with the same verb
            replaces it.
        change_id: Id of the operator's statement.
        operator: Name of the operator.
        verb: ``role``, ``load`` or ``unload``.
        subject: The role or the model.
    """

    offset: int
    change_id: str
    operator: str
    verb: str
    subject: str


class Pin(NamedTuple):
    """A role that an operator's order set.

    Attributes:
        role: Takes precedence over the declared role and the planner's.
        declared: The declared role at that time; the pin ends when the
            declaration names another.
    """

    role: str
    declared: str


class Snapshot(NamedTuple):
    """The state of one service, as its writer had read it from the log.

    It lets a node follow a stream whose beginning the log has dropped.

    Attributes:
        through: The writer had read all offsets up to this one.
        last_offset: Offset of the last valid lease record; -1 for none.
        time: The log's time of that record.
        holder: The last tenure; None if there was none.
        released: Whether that tenure was released.
        predecessors: Earlier tenures whose holders may still send.
        orders: Outstanding order by engine.
        closed: Closed engines, with the offset of the closing.
        desired: Operators' desired orders by engine, oldest first.
        pins: Roles set by operators' orders, by engine.
    """

    through: int
    last_offset: int
    time: float
    holder: Holder | None
    released: bool
    predecessors: tuple[Holder, ...]
    orders: dict[str, Order]
    closed: dict[str, int]
    desired: dict[str, tuple[DesiredOrder, ...]]
    pins: dict[str, Pin]


CLAIM = "claim"
RENEW = "renew"
RELEASE = "release"


@records.register("lease")
class LeaseChanged(NamedTuple):
    """A claim, a renewal or a release of a lease.

    Attributes:
        service: The service.
        action: ``claim``, ``renew`` or ``release``.
        incarnation: Incarnation of the writer.
        node: Name of the writer.
        address: IP number of the writer.
        sequence: Counts the writer's lease records.
        previous: Offset of the last valid lease record it had read; a
            claim or renewal that names another one is void.
        token: Offset of the grant; -1 in a claim.
        state: The service's state as the writer knew it.
    """

    service: str
    action: str
    incarnation: str
    node: str
    address: str
    sequence: int
    previous: int
    token: int
    state: Snapshot


@records.register("holder-ended")
class HolderEnded(NamedTuple):
    """Proof that an incarnation has ended and will never send again.

    Attributes:
        service: The service whose lease it held.
        incarnation: The one that has ended.
        evidence: The proof, in words for operators.
    """

    service: str
    incarnation: str
    evidence: str


@records.register("holder-cleared")
class HolderCleared(NamedTuple):
    """The quarantine after an earlier holder's end is over.

    Attributes:
        service: The service.
        token: Token of the current holder, which alone may write this.
        cleared: Token of the earlier tenure.
    """

    service: str
    token: int
    cleared: int


@records.register("seizure")
class Seizure(NamedTuple):
    """An operator's assurance that an incarnation will never send again."""

    service: str
    incarnation: str
    operator: str
    change_id: str


@records.register("engine-closed")
class EngineClosed(NamedTuple):
    """No node may dispatch to this engine; valid only from the holder."""

    service: str
    engine: str
    token: int


@records.register("engine-opened")
class EngineOpened(NamedTuple):
    """Ends a closing; valid only from the holder."""

    service: str
    engine: str
    token: int


@records.register("order-wished")
class OrderDesired(NamedTuple):
    """An operator's order, to be carried out by the holder."""

    service: str
    engine: str
    change_id: str
    operator: str
    verb: str
    subject: str


@records.register("order-intended")
class OrderIntended(NamedTuple):
    """The holder is about to send an order; its offset is the token.

    Attributes:
        service: The service.
        engine: The endpoint's name.
        lease: Token of the lease under which it is sent.
        author: The holder's incarnation.
        id: The order's id.
        verb: ``role``, ``load`` or ``unload``.
        subject: The role or the model.
        desired_offset: Offset of the desired order behind it; -1 for none.
        incarnation: The engine's incarnation, as just read.
        declared: The engine's declared role.
        supersedes: Id of the outstanding order that it replaces; empty for
            none. Only for engines that check tokens.
    """

    service: str
    engine: str
    lease: int
    author: str
    id: str
    verb: str
    subject: str
    desired_offset: int
    incarnation: str
    declared: str
    supersedes: str = ""


@records.register("order-finished")
class OrderFinished(NamedTuple):
    """The result of the outstanding order.

    ``done``, ``failed`` (accepted but not carried out), ``refused``, or
    ``void``: it has not taken effect and never will, so a new order may be
    sent.
    """

    service: str
    engine: str
    id: str
    result: str


@records.register("wish-met")
class DesiredOrderMet(NamedTuple):
    """A desired order is already met; valid only from the holder.

    Attributes:
        service: The service.
        engine: The endpoint's name.
        token: Token of the holder's lease.
        desired_offset: Offset of the desired order.
        declared: The engine's declared role.
    """

    service: str
    engine: str
    token: int
    desired_offset: int
    declared: str


Record = (
    LeaseChanged
    | HolderEnded
    | HolderCleared
    | Seizure
    | EngineClosed
    | EngineOpened
    | OrderDesired
    | OrderIntended
    | OrderFinished
    | DesiredOrderMet
)
KINDS = Record.__args__
