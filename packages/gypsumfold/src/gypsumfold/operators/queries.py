"""Runs ``show`` statements on declared objects and on what is live.

Each part of the node adds what it can show as a `Source`.
"""

from collections.abc import Callable
import operator
from typing import Any
from typing import NamedTuple

import msgspec

from gypsumfold import configuration as configuration_module
from gypsumfold import exceptions
from gypsumfold import objects
from gypsumfold.operators import statements

OPERATORS: dict[str, Callable[[Any, Any], bool]] = {
    "=": operator.eq,
    "!=": operator.ne,
    "<": operator.lt,
    "<=": operator.le,
    ">": operator.gt,
    ">=": operator.ge,
}


class Source(NamedTuple):
    """Something that can be shown.

    Attributes:
        columns: Their names.
        rows: Gives the rows of the moment, each as long as ``columns``.
    """

    columns: tuple[str, ...]
    rows: Callable[[], list[tuple]]


class Result(NamedTuple):
    """What a query gives."""

    columns: tuple[str, ...]
    rows: list[tuple]


class Sources:
    """All that ``show`` knows, by the name that operators write.

    What is declared has a second name, ``declared_endpoints`` and so on,
    which stays where something live takes the first one.

    >>> sources = Sources(configuration)
    >>> sources.register("nodes", Source(("address",), list_nodes))
    >>> sources.run(language.parse("show nodes;")[0])
    Result(columns=('address',), rows=[...])
    """

    def __init__(self, configuration: configuration_module.Configuration):
        self.configuration = configuration
        self.named: dict[str, Source] = {}
        for kind in objects.KINDS:
            self.named[f"{kind}s"] = self.declared(kind)
            self.named[f"declared_{kind}s"] = self.declared(kind)

    def register(self, name: str, source: Source) -> None:
        """Adds something live; a name used before is replaced."""
        self.named[name] = source

    def declared(self, kind: str) -> Source:
        """Makes the source of one kind of declared object."""
        fields = msgspec.structs.fields(objects.KINDS[kind])
        names = tuple(field.name for field in fields)

        def rows() -> list[tuple]:
            found = []
            for declared in self.configuration.objects[kind].values():
                values = [getattr(declared.value, name) for name in names]
                found.append(
                    (
                        declared.name,
                        *values,
                        declared.revision,
                        declared.author,
                    )
                )
            return sorted(found, key=lambda row: row[0])

        return Source(("name", *names, "revision", "author"), rows)

    def run(self, query: statements.Show) -> Result:
        """Answers a query.

        Args:
            query: A parsed ``show`` statement.

        Returns:
            Columns and rows.

        Raises:
            exceptions.StatementError: The source or a column is not known,
                or a comparison makes no sense.
        """
        if query.source not in self.named:
            raise exceptions.StatementError(
                f"nothing is named {query.source}",
                expected=tuple(sorted(self.named)),
            )
        source = self.named[query.source]
        rows = source.rows()
        for condition in query.where:
            rows = filtered(rows, source.columns, condition)
        for column, descending in reversed(query.order):
            place = column_place(source.columns, column)
            rows = sorted(
                rows, key=lambda row: sort_key(row[place]), reverse=descending
            )
        return Result(source.columns, rows[: query.limit])


def filtered(
    rows: list[tuple],
    columns: tuple[str, ...],
    condition: statements.Condition,
) -> list[tuple]:
    """Keeps the rows for which a condition holds; nothing equals null."""
    place = column_place(columns, condition.column)
    compare = OPERATORS[condition.operator]
    kept = []
    for row in rows:
        if row[place] is None:
            continue
        try:
            holds = compare(row[place], condition.value)
        except TypeError as error:
            raise exceptions.StatementError(
                f"{condition.column} cannot be compared with "
                f"{condition.value!r}"
            ) from error
        if holds:
            kept.append(row)
    return kept


def column_place(columns: tuple[str, ...], column: str) -> int:
    """Finds a column.

    Raises:
        exceptions.StatementError: It is not there.
    """
    if column not in columns:
        raise exceptions.StatementError(
            f"no column is named {column}", expected=columns
        )
    return columns.index(column)


def sort_key(value: Any) -> tuple:
    """Orders numbers, then texts, then null."""
    if value is None:
        return 2, ""
    if isinstance(value, int | float):
        return 0, value
    return 1, str(value)
