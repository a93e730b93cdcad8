"""Chooses which order an engine gets next.

This is the only place where operators' orders and the role planner's choices
are combined, and only the lease holder calls it. An operator's desired order
goes first, the oldest verb before the others (a later one with the same verb
has already replaced the earlier, see `orders.Orders.add_desired`). Then comes
the role that an operator's order set, until the declared role changes; then
the planner's role, where the service's declaration lets it plan; then the
declared role.
"""

from typing import NamedTuple

from gypsumfold import objects
from gypsumfold.control import orders
from gypsumfold.control import records


class NextOrder(NamedTuple):
    """The next order for an engine.

    Attributes:
        verb: ``role``, ``load`` or ``unload``.
        subject: The role or the model.
        desired_offset: Offset of the operator's desired order; -1 for none.
        origin: Who asked for it, for logs and queries.
    """

    verb: str
    subject: str
    desired_offset: int
    origin: str


def is_met(wanted: NextOrder, state: orders.EngineState) -> bool:
    """Whether an engine is already in the state that an order asks for."""
    if wanted.verb == "role":
        return wanted.subject == state.role
    loaded = wanted.subject in state.models
    return loaded if wanted.verb == "load" else not loaded


def choose(
    desired: list[records.DesiredOrder],
    pin: records.Pin | None,
    declared: objects.Endpoint,
    planned: str | None,
    state: orders.EngineState,
) -> NextOrder | None:
    """Picks the next order for an engine.

    Args:
        desired: Operators' desired orders for it, oldest first.
        pin: The role that an operator's earlier order set; None for none.
        declared: The engine's declaration.
        planned: The role planner's choice; None where it may not plan or
            has none.
        state: The engine's current state.

    Returns:
        The order; None where the engine needs none.
    """
    if desired:
        first = desired[0]
        return NextOrder(
            first.verb, first.subject, first.offset, first.operator
        )
    role, origin = declared.role, "declaration"
    if planned is not None:
        role, origin = planned, "planner"
    if pin is not None and pin.declared == declared.role:
        role, origin = pin.role, "operator"
    if role == state.role:
        return None
    return NextOrder("role", role, -1, origin)
