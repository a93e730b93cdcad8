"""Works out what must change for the files to be in force."""

from collections.abc import Iterable
import pathlib
from typing import Any
from typing import NamedTuple

import msgspec

from gypsumfold import changes
from gypsumfold import exceptions as node_exceptions
from gypsumfold import objects
from gypsumfold.operators import language
from gypsumfold.operators import statements
from gypsumfoldctl import exceptions

# Kinds in an order in which each only needs earlier ones.
ORDER = tuple(objects.KINDS)

# Fields that operators and the planner set while the fleet runs; a file
# that does not name them leaves them as they are.
OPERATIONAL = {"endpoint": ("drained", "role")}

# Bytes of statements in one change. The log takes 256 KiB a record, and the
# record names each object's revision besides.
BATCH_BYTES = 96 * 1024


class Held(NamedTuple):
    """An object in force, with its revision."""

    value: objects.Object
    revision: int


class Step(NamedTuple):
    """One statement of a plan.

    Attributes:
        statement: What to run.
        precondition: The revision that the object must still have.
        was: Fields as they are in force, of those that change.
    """

    statement: statements.Create | statements.Alter | statements.Drop
    precondition: changes.Precondition
    was: dict[str, Any] = {}


class Plan(NamedTuple):
    """All steps, and what is in force but in no file.

    Attributes:
        steps: In the order in which they can be carried out.
        unnamed: Kind and name of objects that no file names.
    """

    steps: list[Step]
    unnamed: list[tuple[str, str]]


Key = tuple[str, str]


def read(paths: Iterable[pathlib.Path]) -> dict[Key, statements.Create]:
    """Reads declarations.

    Args:
        paths: Files of ``create`` statements.

    Returns:
        The statements by kind and name.

    Raises:
        exceptions.Invalid: With file, line, column and what was expected.
    """
    found: dict[Key, statements.Create] = {}
    for path in paths:
        for statement in parse_file(path):
            if not isinstance(statement, statements.Create):
                raise exceptions.Invalid(
                    f"{path}: a file declares by create statements alone, "
                    f"not by {language.show(statement)}"
                )
            key = statement.kind, statement.name
            if key in found:
                raise exceptions.Invalid(
                    f'{path}: {key[0]} "{key[1]}" is declared twice'
                )
            found[key] = statement
    return found


def parse_file(path: pathlib.Path) -> list[statements.Statement]:
    """Parses one file.

    Raises:
        exceptions.Invalid: It cannot be read or parsed.
    """
    try:
        return language.parse(path.read_text())
    except (OSError, UnicodeDecodeError) as error:
        raise exceptions.Invalid(f"{path}: {error}") from error
    except node_exceptions.StatementError as error:
        text = f"{path}:{error.line}:{error.column}: {error.reason}"
        if error.expected:
            text += f" (expected {', '.join(error.expected)})"
        raise exceptions.Invalid(text) from error


def check(declared: dict[Key, statements.Create]) -> None:
    """Checks declarations as a whole, as if nothing else were in force.

    Raises:
        exceptions.Invalid: Some rule forbids them.
    """
    base = {kind: {} for kind in objects.KINDS}
    operations = changes.operations(declared.values())
    preconditions = []
    for kind, name in declared:
        preconditions.append(changes.Precondition(kind, name, -1))
    change = changes.Change("", "", operations, tuple(preconditions))
    try:
        changes.Draft(base, 0).run(change)
    except node_exceptions.ChangeRejected as error:
        raise exceptions.Invalid(error.reason) from error


def plan(
    declared: dict[Key, statements.Create],
    held: dict[Key, Held],
    prune: bool = False,
) -> Plan:
    """Compares declarations with what is in force.

    Args:
        declared: By kind and name.
        held: What is in force, by kind and name.
        prune: Whether to drop what no file names.

    Returns:
        The plan; without steps where there is no difference.
    """
    steps = []
    for kind in ORDER:
        for key in sorted(key for key in declared if key[0] == kind):
            step = compare(declared[key], held.get(key))
            if step:
                steps.append(step)
    unnamed = sorted(key for key in held if key not in declared)
    if not prune:
        return Plan(steps, unnamed)
    for kind in reversed(ORDER):
        for key in unnamed:
            if key[0] != kind:
                continue
            precondition = changes.Precondition(*key, held[key].revision)
            steps.append(Step(statements.Drop(*key), precondition))
    return Plan(steps, [])


def compare(wanted: statements.Create, held: Held | None) -> Step | None:
    """Makes the step for one object; None where nothing differs."""
    kind, name, fields = wanted
    if held is None:
        return Step(wanted, changes.Precondition(kind, name, -1))
    value = msgspec.convert(fields, objects.KINDS[kind])
    was = msgspec.structs.asdict(held.value)
    differing = {}
    for field, wish in msgspec.structs.asdict(value).items():
        kept = field in OPERATIONAL.get(kind, ()) and field not in fields
        if not kept and was[field] != wish:
            differing[field] = wish
    if not differing:
        return None
    return Step(
        statements.Alter(kind, name, differing),
        changes.Precondition(kind, name, held.revision),
        {field: was[field] for field in differing},
    )


def batches(steps: list[Step]) -> list[list[Step]]:
    """Cuts steps into changes that fit the log.

    Most plans fit one change, which is then carried out as a whole.
    """
    found: list[list[Step]] = []
    size = 0
    for step in steps:
        length = len(language.show(step.statement).encode())
        if not found or size + length > BATCH_BYTES:
            found.append([])
            size = 0
        found[-1].append(step)
        size += length
    return found


def describe(found: Plan) -> list[str]:
    """Writes a plan for operators, one line a step."""
    lines = []
    for statement, _, was in found.steps:
        lines.append(language.show(statement))
        for field, value in was.items():
            lines.append(f"  -- {field} was {language.print_value(value)}")
    for kind, name in found.unnamed:
        lines.append(f'-- in force but in no file: {kind} "{name}"')
    return lines
