"""Changes of configuration: their records and validation.

Whether a change is valid depends only on the log before it, so all nodes
agree without exchanging messages.
"""

from collections.abc import Iterable
import re
from typing import Any
from typing import NamedTuple
import uuid

import msgspec

from gypsumfold import exceptions
from gypsumfold import objects
from gypsumfold import rules
from gypsumfold.logservice import records
from gypsumfold.operators import language
from gypsumfold.operators import statements

# Seconds by which a change id, a UUIDv7 (RFC 9562), may be older than the
# log's time of its record. Ids are kept as long, which is 63 of them at 1,500
# changes a day; a client retries a lost append within seconds.
MAX_ID_AGE_SECONDS = 3600.0
# Seconds by which an operator's clock may be ahead of the log's.
MAX_ID_AHEAD_SECONDS = 300.0

# Names appear in URLs, headers and metrics, so they contain no blanks.
NAME = re.compile(r"[!-~]{1,200}")

Declared = rules.Declared
Objects = rules.Objects


class Operation(NamedTuple):
    """One step of a change.

    Attributes:
        verb: ``create``, ``alter`` or ``drop``.
        kind: Kind of the object.
        name: Name of the object.
        fields: The fields to set.
    """

    verb: str
    kind: str
    name: str
    fields: dict[str, Any] = {}


class Precondition(NamedTuple):
    """The revision that an object must have; -1 if it must not exist."""

    kind: str
    name: str
    revision: int


@records.register("change")
class Change(NamedTuple):
    """A change on the log: all of its operations take effect, or none.

    Attributes:
        change_id: A UUIDv7; a repeated record with it has no second effect.
        author: The operator's name.
        operations: The steps, in order.
        preconditions: Revisions that the objects must still have.
    """

    change_id: str
    author: str
    operations: tuple[Operation, ...]
    preconditions: tuple[Precondition, ...] = ()


class Outcome(NamedTuple):
    """The result of a change.

    Attributes:
        change_id: Id of the change.
        offset: Its offset on the log.
        accepted: Whether it took effect.
        reason: Why it did not take effect.
        difference: Lines that compare what is in force with what was asked.
    """

    change_id: str
    offset: int
    accepted: bool
    reason: str = ""
    difference: tuple[str, ...] = ()


def operations(
    changes: Iterable[statements.Change],
) -> tuple[Operation, ...]:
    """Converts parsed statements to operations.

    Args:
        changes: Statements that change the configuration.

    Returns:
        One operation for each statement.
    """
    found = []
    for change in changes:
        match change:
            case statements.Create(kind, name, fields):
                found.append(Operation("create", kind, name, fields))
            case statements.Alter(kind, name, fields):
                found.append(Operation("alter", kind, name, fields))
            case statements.Drop(kind, name):
                found.append(Operation("drop", kind, name))
            case statements.Drain(endpoint):
                fields = {"drained": True}
                found.append(Operation("alter", "endpoint", endpoint, fields))
            case statements.Resume(endpoint):
                fields = {"drained": False}
                found.append(Operation("alter", "endpoint", endpoint, fields))
    return tuple(found)


def id_time(change_id: str) -> float:
    """Extracts the time from a change id.

    Args:
        change_id: A UUIDv7.

    Returns:
        Seconds since the epoch, by the clock of the process that made it.

    Raises:
        exceptions.ChangeRejected: The id is not a lowercase UUIDv7.
    """
    try:
        parsed = uuid.UUID(change_id)
    except ValueError as error:
        raise exceptions.ChangeRejected(
            f"change id {change_id!r} is no UUID"
        ) from error
    if parsed.version != 7 or str(parsed) != change_id:
        raise exceptions.ChangeRejected(
            f"change id {change_id!r} is no UUIDv7 in lowercase"
        )
    return (parsed.int >> 80) / 1000


def is_void(change_id: str, now: float) -> bool:
    """Returns whether a record has no effect and no outcome.

    The result of an earlier record with an id that is too old may already
    have been dropped, so no outcome can be given for the id.

    Args:
        change_id: The id in the record.
        now: The log's time, in seconds since the epoch.
    """
    try:
        return id_time(change_id) < now - MAX_ID_AGE_SECONDS
    except exceptions.ChangeRejected:
        return True


def check_ahead(change_id: str, now: float) -> None:
    """Rejects ids that would have to be kept for too long.

    Raises:
        exceptions.ChangeRejected: The id's time is in the future.
    """
    if id_time(change_id) > now + MAX_ID_AHEAD_SECONDS:
        raise exceptions.ChangeRejected(
            f"the change id is more than {MAX_ID_AHEAD_SECONDS:.0f} s ahead "
            "of the log"
        )


class Draft:
    """The objects as they would be after a change; the base is unchanged.

    >>> draft = Draft(configuration.objects, offset=12)
    >>> draft.run(change)
    >>> configuration.objects = draft.objects
    """

    def __init__(self, base: Objects, offset: int):
        self.base = base
        self.objects = dict(base)
        self.offset = offset
        self.changed_kinds: set[str] = set()

    def run(self, change: Change) -> None:
        """Applies a change.

        Raises:
            exceptions.ChangeRejected: A rule forbids it; the draft must then
                be discarded.
        """
        if not change.operations:
            raise exceptions.ChangeRejected("the change says nothing")
        self.check_preconditions(change)
        for operation in change.operations:
            self.run_operation(operation, change.author)
        rules.check(self.objects, self.changed_kinds)

    def check_preconditions(self, change: Change) -> None:
        """Compares the revisions that the author saw with the current ones."""
        changed = []
        named = {(kind, name) for kind, name, _ in change.preconditions}
        for _, kind, name, _ in change.operations:
            if (kind, name) not in named:
                raise exceptions.ChangeRejected(
                    f'the change names no revision of {kind} "{name}"'
                )
        for kind, name, revision in change.preconditions:
            current = self.objects.get(kind, {}).get(name)
            found = current.revision if current else -1
            if found != revision:
                changed.append(f'{kind} "{name}"')
        if changed:
            raise exceptions.ChangeRejected(
                f"changed meanwhile: {', '.join(changed)}"
            )

    def run_operation(self, operation: Operation, author: str) -> None:
        """Creates, alters or drops one object."""
        verb, kind, name, fields = operation
        if kind not in objects.KINDS:
            raise exceptions.ChangeRejected(f"no kind is named {kind!r}")
        if not NAME.fullmatch(name):
            raise exceptions.ChangeRejected(
                f"the name {name!r} has blanks or more than 200 characters"
            )
        if kind not in self.changed_kinds:
            self.changed_kinds.add(kind)
            self.objects[kind] = dict(self.objects[kind])
        current = self.objects[kind].get(name)
        if verb == "create" and current:
            raise exceptions.ChangeRejected(f'{kind} "{name}" exists')
        if verb in ("alter", "drop") and not current:
            raise exceptions.ChangeRejected(f'no {kind} is named "{name}"')
        if verb == "drop":
            del self.objects[kind][name]
            return
        value = merge_fields(kind, name, current, fields)
        self.objects[kind][name] = Declared(
            kind, name, value, self.offset, author
        )


def merge_fields(
    kind: str, name: str, current: Declared | None, fields: dict[str, Any]
) -> objects.Object:
    """Sets fields of an object and validates the result.

    Raises:
        exceptions.ChangeRejected: A field is unknown, missing or invalid.
    """
    values = msgspec.structs.asdict(current.value) if current else {}
    values.update(fields)
    try:
        return msgspec.convert(values, objects.KINDS[kind])
    except msgspec.ValidationError as error:
        raise exceptions.ChangeRejected(f'{kind} "{name}": {error}') from error


def difference(found: Objects, change: Change) -> tuple[str, ...]:
    """Compares what is in force with what a change asked for.

    Args:
        found: The objects in force.
        change: A change that was not accepted.

    Returns:
        One line for each field or object that differs.
    """
    lines = []
    for verb, kind, name, fields in change.operations:
        current = found.get(kind, {}).get(name)
        if current is None:
            if verb != "create":
                lines.append(f'{kind} "{name}": not there')
            continue
        by = f"revision {current.revision} by {current.author or 'unknown'}"
        if verb == "drop":
            lines.append(f'{kind} "{name}": in force ({by}), asked to drop')
            continue
        values = msgspec.structs.asdict(current.value)
        for field, asked in fields.items():
            if field in values and values[field] != asked:
                held = language.print_value(values[field])
                wanted = language.print_value(asked)
                lines.append(
                    f'{kind} "{name}".{field}: {held} in force ({by}), '
                    f"{wanted} asked"
                )
    return tuple(lines)
