"""What operators' statements say, after parsing and before they are run."""

from typing import Any
from typing import NamedTuple

# A value is a string, a number, a boolean or a list of values; durations
# have become seconds.
Value = Any


class Create(NamedTuple):
    """Declares an object that must not exist yet."""

    kind: str
    name: str
    fields: dict[str, Value]


class Alter(NamedTuple):
    """Sets some fields of an object; the others stay as they are."""

    kind: str
    name: str
    fields: dict[str, Value]


class Drop(NamedTuple):
    """Removes an object."""

    kind: str
    name: str


class Drain(NamedTuple):
    """Sends an endpoint no new work."""

    endpoint: str


class Resume(NamedTuple):
    """Ends the drain of an endpoint."""

    endpoint: str


class Order(NamedTuple):
    """Asks the control lease's holder to give an engine an order.

    Attributes:
        endpoint: The engine.
        verb: ``role``, ``load`` or ``unload``.
        argument: The role, or the model's name.
    """

    endpoint: str
    verb: str
    argument: str


class Seize(NamedTuple):
    """Takes the control lease of a service from an incarnation."""

    service: str
    incarnation: str


class Condition(NamedTuple):
    """One comparison of a column with a value in a query."""

    column: str
    operator: str
    value: Value


class Sort(NamedTuple):
    """One column that a query's rows are ordered by."""

    column: str
    descending: bool = False


class Show(NamedTuple):
    """A query.

    Attributes:
        source: What is shown: a kind of object in the plural, or something
            live, such as ``nodes``.
        where: All of these must hold.
        order: Most significant first.
        limit: Most rows; None for all.
    """

    source: str
    where: tuple[Condition, ...] = ()
    order: tuple[Sort, ...] = ()
    limit: int | None = None


Change = Create | Alter | Drop | Drain | Resume
Command = Order | Seize
Statement = Change | Command | Show
