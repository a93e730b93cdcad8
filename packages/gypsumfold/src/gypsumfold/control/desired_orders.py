"""Which order an engine gets next, where several want different things.

Operators and the role planner meet here and nowhere else; the lease's holder
alone asks. The rule: an operator's open wish goes first, the oldest verb
before the others (a later wish with the same verb has already replaced the
earlier, `orders.Orders.wish`); then the role that an operator's order set,
until the declared role changes; then the planner's role, where the
service's declaration lets it plan; then the declared role.
"""

from typing import NamedTuple

from gypsumfold import objects
from gypsumfold.control import orders
from gypsumfold.control import records


class NextOrder(NamedTuple):
    """An order to give.

    Attributes:
        verb: ``role``, ``load`` or ``unload``.
        subject: The role or the model.
        wish: Offset of the operator's wish; -1 where it is none.
        origin: Who wants it, for logs and queries.
    """

    verb: str
    subject: str
    desired_offset: int
    origin: str


def is_met(wanted: NextOrder, state: orders.EngineState) -> bool:
    """Whether an engine does already what an order would bring about."""
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
        wishes: Operators' open wishes for it, oldest first.
        pin: The role that an operator's order set before; None for none.
        declared: The engine's declaration.
        planned: The role planner's choice; None where it may not plan or
            has none.
        state: What the engine does now.

    Returns:
        The order; None where the engine does what is wanted.
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
