"""The command that checks files without asking any node."""

import json
import pathlib
from typing import Any

import click

from gypsumfoldctl import configuration_checks
from gypsumfoldctl import configuration_differences
from gypsumfoldctl import configuration_findings as findings
from gypsumfoldctl import exceptions
from gypsumfoldctl import output
from gypsumfoldctl import planning

STDIN = pathlib.Path("-")


@click.command("check")
@click.argument(
    "files",
    nargs=-1,
    required=True,
    type=click.Path(
        exists=True,
        dir_okay=False,
        allow_dash=True,
        path_type=pathlib.Path,
    ),
)
@click.option(
    "--in-force",
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
    help="Show what differs from the configuration in this file.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def check(
    files: tuple[pathlib.Path, ...],
    in_force: pathlib.Path | None,
    as_json: bool,
) -> None:
    """Check FILES as a whole, without asking any node.

    FILES are either files of create statements, or one configuration of
    gateways in JSON: a file, or - for standard input. Warnings alone leave
    the exit code 0; keys of client accounts are never printed.
    """
    try:
        if len(files) == 1 and (
            in_force is not None or as_json or _is_configuration(files[0])
        ):
            check_configuration(files[0], in_force, as_json)
            return
        if in_force is not None or as_json or STDIN in files:
            raise click.UsageError("Give a single configuration.")
        declared = planning.read(files)
        planning.check(declared)
        click.echo(f"{len(declared)} declarations are valid")
    except exceptions.CommandError as error:
        output.fail(error)


def _is_configuration(path: pathlib.Path) -> bool:
    """Tells a configuration in JSON from a file of statements."""
    if path == STDIN or path.suffix == ".json":
        return True
    # A pipe can be read only once, by the parser of statements.
    if not path.is_file():
        return False
    # No statement begins with a bracket.
    return _read(path).lstrip()[:1] in (b"{", b"[")


def _read(path: pathlib.Path) -> bytes:
    """Reads a file or standard input.

    Raises:
        exceptions.Invalid: It cannot be read.
    """
    try:
        if path == STDIN:
            return click.get_binary_stream("stdin").read()
        return path.read_bytes()
    except OSError as error:
        raise exceptions.Invalid(f"{path}: {error.strerror}") from error


def check_configuration(
    path: pathlib.Path, in_force: pathlib.Path | None, as_json: bool
) -> None:
    """Prints the findings of a configuration, then the differences.

    Args:
        path: The configuration.
        in_force: The configuration in force, if it is to be compared.
        as_json: Whether to print for programs.

    Raises:
        exceptions.Invalid: It has errors, or a file cannot be read.
    """
    text = findings.Text(_read(path))
    keys = configuration_checks.text_keys(text)
    old = None
    if in_force is not None:
        old = findings.Text(_read(in_force))
        keys |= configuration_checks.text_keys(old)
    printer = configuration_differences.Printer(keys)
    if old is not None and old.record is None:
        first = configuration_checks.check(old, printer)[0]
        raise exceptions.Invalid(
            f"the configuration in force isn't valid: "
            f"{describe(in_force, first)}"
        )
    old_record = old.record if old else None
    found = configuration_checks.check(text, printer, old_record)
    differences = None
    if old_record is not None and text.record is not None:
        differences = configuration_differences.compare(
            old_record, text.record, printer
        )
    lines = [describe(path, one) for one in found]
    for place, field, change in differences or ():
        lines.append(f"{place}{', ' if field else ''}{field}: {change}")
    if differences == []:
        lines.append("no difference")
    errors = sum(one.level == findings.Level.ERROR for one in found)
    summary = f"errors: {errors}, warnings: {len(found) - errors}"
    if as_json:
        click.echo(json.dumps(_report(text, found, differences), indent=2))
    else:
        click.echo("\n".join([*lines, summary]))
    if errors:
        raise exceptions.Invalid(f"{path}: {summary}")


def describe(path: pathlib.Path, found: findings.Finding) -> str:
    """Returns a finding in one line, after the place in its file."""
    place = f"{found.place}{', ' if found.field else ''}{found.field}"
    place = f"{place}: " if place else ""
    return (
        f"{path}:{found.line}:{found.column}: {found.level}: {place}"
        f"{found.sentence}"
    )


def _report(
    text: findings.Text,
    found: list[findings.Finding],
    differences: list[configuration_differences.Difference] | None,
) -> dict[str, Any]:
    """Returns what is printed for programs."""
    listed = None
    if differences is not None:
        listed = [one._asdict() for one in differences]
    return {
        "version": text.record.version if text.record else None,
        "findings": [one._asdict() for one in found],
        "differences": listed,
    }
