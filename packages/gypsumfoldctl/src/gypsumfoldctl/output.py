"""Prints results as a table, as JSON or as CSV, and failures."""

import csv
import io
import sys
from typing import Any
from typing import NoReturn

import click
import msgspec

from gypsumfoldctl import exceptions

FORMATS = ("table", "json", "csv")


def render(columns: list[str], rows: list[list[Any]], form: str) -> str:
    """Renders rows.

    Args:
        columns: Their names.
        rows: Each as long as ``columns``.
        form: One of `FORMATS`.

    Returns:
        Text without a newline at its end.
    """
    if form == "json":
        listed = [dict(zip(columns, row, strict=True)) for row in rows]
        return msgspec.json.format(msgspec.json.encode(listed)).decode()
    if form == "csv":
        buffer = io.StringIO()
        writer = csv.writer(buffer, lineterminator="\n")
        writer.writerow(columns)
        for row in rows:
            writer.writerow([cell(value) for value in row])
        return buffer.getvalue().rstrip("\n")
    return table(columns, rows)


def table(columns: list[str], rows: list[list[Any]]) -> str:
    """Renders rows with columns as wide as they need to be."""
    lines = [columns]
    for row in rows:
        lines.append([cell(value) for value in row])
    widths = [max(len(line[i]) for line in lines) for i in range(len(columns))]
    text = []
    for line in lines:
        padded = []
        for value, width in zip(line, widths, strict=True):
            padded.append(value.ljust(width))
        text.append("  ".join(padded).rstrip())
    return "\n".join(text)


def cell(value: Any) -> str:
    """Renders one value; null is empty."""
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value)


def fail(error: exceptions.CommandError) -> NoReturn:
    """Prints a failure and ends the process with its exit code."""
    click.echo(f"{type(error).__name__}: {error.reason}", err=True)
    for line in error.lines:
        click.echo(f"  {line}", err=True)
    sys.exit(error.exit_code)
