"""The `gypsumfoldctl` binary."""

import asyncio
from collections.abc import Coroutine
import os
import pathlib
from typing import Any
from typing import TextIO

import click
from click import shell_completion
import msgspec
import uvloop

from gypsumfold import exceptions as node_exceptions
from gypsumfold import objects
from gypsumfold.operators import language
from gypsumfold.operators import statements
from gypsumfoldctl import burns
from gypsumfoldctl import checking
from gypsumfoldctl import client as client_module
from gypsumfoldctl import exceptions
from gypsumfoldctl import explaining
from gypsumfoldctl import journeys
from gypsumfoldctl import output
from gypsumfoldctl import planning

EXIT_CODES = """\b
Exit codes:
  0  done, or nothing to do
  2  wrong use of this command
  3  plan, or apply --check: the files and what is in force differ
  4  rejected: the change lost against another one or breaks a rule
  5  not run: no node could be reached, or the log is down
  6  undetermined: the change may have taken effect
  7  a statement or a file is not valid
  8  the token is not known
"""

SHOW_EXAMPLES = """\b
Examples:
  gypsumfoldctl show endpoints 'where waiting > 2 order by waiting desc'
  gypsumfoldctl show nodes --format json

"""

FILES = click.argument(
    "files",
    nargs=-1,
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
)
PRUNE = click.option(
    "--prune", is_flag=True, help="Also drop what no file declares."
)
FORMAT = click.option(
    "--format",
    "form",
    type=click.Choice(output.FORMATS),
    default="table",
    show_default=True,
    help="How to print rows.",
)


@click.group(epilog=EXIT_CODES)
@click.version_option(package_name="gypsumfoldctl")
@click.option(
    "--node",
    "nodes",
    multiple=True,
    envvar="GYPSUMFOLD_NODES",
    default=("127.0.0.1:8081",),
    show_default=True,
    help="Operators' address of a node; give several, to be tried in turn "
    "(GYPSUMFOLD_NODES, separated by blanks).",
)
@click.option(
    "--token-file",
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
    envvar="GYPSUMFOLD_TOKEN_FILE",
    help="File with the operator's token; else GYPSUMFOLD_TOKEN.",
)
@click.pass_context
def main(
    context: click.Context,
    nodes: tuple[str, ...],
    token_file: pathlib.Path | None,
) -> None:
    """Steer gypsumfold by statements, and query what it does."""
    # Not an option, since command lines can be read by others on the machine.
    token = os.environ.get("GYPSUMFOLD_TOKEN", "")
    if token_file is not None:
        token = token_file.read_text().strip()
    context.obj = client_module.Connection(nodes, token)


def finish(work: Coroutine[Any, Any, None]) -> None:
    """Runs a command's work and turns failures into exit codes."""
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(work)
    except exceptions.CommandError as error:
        output.fail(error)


@main.command(epilog=EXIT_CODES)
@FILES
@PRUNE
@click.pass_obj
def plan(
    connection: client_module.Connection,
    files: tuple[pathlib.Path, ...],
    prune: bool,
) -> None:
    """Show what `apply` would do for FILES of create statements."""
    finish(carry_out(connection, files, prune, check=True))


@main.command(epilog=EXIT_CODES)
@FILES
@PRUNE
@click.option("--check", is_flag=True, help="Only plan.")
@click.pass_obj
def apply(
    connection: client_module.Connection,
    files: tuple[pathlib.Path, ...],
    prune: bool,
    check: bool,
) -> None:
    """Put FILES of create statements in force.

    What the plan saw must still hold when it is carried out; if another
    operator was faster, the difference is shown and nothing is changed. A
    second run finds nothing to do.
    """
    finish(carry_out(connection, files, prune, check))


async def carry_out(
    connection: client_module.Connection,
    files: tuple[pathlib.Path, ...],
    prune: bool,
    check: bool,
) -> None:
    """Plans and, unless only a check is asked for, applies."""
    declared = planning.read(files)
    async with client_module.Client(connection) as client:
        found = planning.plan(declared, await held(client), prune)
        for line in planning.describe(found):
            click.echo(line)
        if not found.steps:
            click.echo("no difference")
            return
        if check:
            raise exceptions.Differs(f"{len(found.steps)} steps to take")
        batches = planning.batches(found.steps)
        for number, batch in enumerate(batches, start=1):
            answer = await publish(client, batch)
            click.echo(
                f"change {number} of {len(batches)} is in force at "
                f"revision {answer['revision']}"
            )


async def publish(
    client: client_module.Client, batch: list[planning.Step]
) -> dict[str, Any]:
    """Publishes some steps as one change."""
    text = "\n".join(language.show(step.statement) for step in batch)
    preconditions = tuple(step.precondition for step in batch)
    return await client.run(text, preconditions)


async def held(
    client: client_module.Client,
) -> dict[planning.Key, planning.Held]:
    """Reads all declared objects with their revisions."""
    found = {}
    for kind, object_type in objects.KINDS.items():
        answer = await client.query(f"show declared_{kind}s;")
        for row in answer["rows"]:
            fields = dict(zip(answer["columns"], row, strict=True))
            name = fields.pop("name")
            revision = fields.pop("revision")
            fields.pop("author")
            value = msgspec.convert(fields, object_type)
            found[kind, name] = planning.Held(value, revision)
    return found


checking.check.epilog = EXIT_CODES
main.add_command(checking.check)


@main.command(epilog=EXIT_CODES)
@click.argument("text")
@FORMAT
@click.pass_obj
def run(connection: client_module.Connection, text: str, form: str) -> None:
    """Run the statements in TEXT; a show statement goes alone.

    Changes among them take effect together or not at all.
    """

    async def work() -> None:
        try:
            parsed = language.parse(text)
        except node_exceptions.StatementError as error:
            raise exceptions.Invalid(
                client_module.located(
                    error.reason, error.line, error.column, error.expected
                )
            ) from error
        async with client_module.Client(connection) as client:
            if any(isinstance(s, statements.Show) for s in parsed):
                await query(client, text, form)
                return
            safe = not any(isinstance(s, statements.Command) for s in parsed)
            answer = await client.run(text, repeatable=safe)
            said = answer.get("reason")
            click.echo(said or f"in force at revision {answer['revision']}")

    finish(work())


async def query(client: client_module.Client, text: str, form: str) -> None:
    """Runs a query and prints its rows."""
    answer = await client.query(text)
    click.echo(output.render(answer["columns"], answer["rows"], form))


def complete_sources(context, parameter, incomplete) -> list[str]:
    """Completes the first word after ``show``."""
    names = [f"{kind}s" for kind in objects.KINDS] + ["nodes", "leases"]
    return [name for name in sorted(names) if name.startswith(incomplete)]


@main.command(epilog=SHOW_EXAMPLES + EXIT_CODES)
@click.argument(
    "words", nargs=-1, required=True, shell_complete=complete_sources
)
@FORMAT
@click.pass_obj
def show(
    connection: client_module.Connection, words: tuple[str, ...], form: str
) -> None:
    """Query declared objects and what is live."""

    async def work() -> None:
        async with client_module.Client(connection) as client:
            await query(client, f"show {' '.join(words)}", form)

    finish(work())


@main.command(epilog=EXIT_CODES)
@FORMAT
@click.pass_obj
def state(connection: client_module.Connection, form: str) -> None:
    """Show the revision and readiness of each node given by --node."""

    async def work() -> None:
        columns = ["address", "node", "revision", "ready", "stopping"]
        rows = []
        async with client_module.Client(connection) as client:
            for address in connection.nodes:
                try:
                    found = await client.state(address)
                except exceptions.NotRun:
                    found = {"node": "(not reached)"}
                except exceptions.Undetermined:
                    found = {"node": "(no answer)"}
                rows.append([address, *map(found.get, columns[1:])])
        click.echo(output.render(columns, rows, form))

    finish(work())


@main.group()
def report() -> None:
    """Reports on what the nodes have served."""


@report.command("burn", epilog=EXIT_CODES)
@click.option(
    "--format",
    "form",
    type=click.Choice(sorted(burns.FORMATS)),
    default="text",
    show_default=True,
    help="Text, JSON, or a page that needs no other file.",
)
@click.option(
    "--output",
    "target",
    type=click.File("w", lazy=True),
    default="-",
    help="Where to write; standard output where nothing is given.",
)
@click.pass_obj
def report_burn(
    connection: client_module.Connection, form: str, target: TextIO
) -> None:
    """Report how fast error budgets are spent (multi-window burn rates)."""

    async def work() -> None:
        async with client_module.Client(connection) as client:
            found = await client.burn()
        click.echo(burns.FORMATS[form](found), file=target)

    finish(work())


@main.command(epilog=EXIT_CODES)
@click.argument("logs", type=click.File("r", errors="replace"), default="-")
@FORMAT
@click.option(
    "--window",
    type=click.FloatRange(min=0.1),
    default=explaining.WINDOW,
    show_default=True,
    help="Seconds of one row of the course.",
)
@click.option(
    "--plot",
    type=click.Path(dir_okay=False, writable=True, path_type=pathlib.Path),
    help="Also draw the course as a PNG file.",
)
def explain(
    logs: TextIO, form: str, window: float, plot: pathlib.Path | None
) -> None:
    """Say from the LOGS of gateways what became of requests, and why.

    LOGS holds the lines of one node or of several, in any order of nodes;
    what a collector has put before the JSON object of a line is skipped. No
    node is asked.
    """
    found = journeys.read(logs)
    if found.unread:
        click.echo(f"{found.unread} lines could not be read", err=True)
    for table in (explaining.causes(found), explaining.course(found, window)):
        click.echo(output.render(table.columns, table.rows, form))
        click.echo()
    if plot is not None:
        explaining.plot(found, plot)


@main.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """Print the script that completes commands in SHELL.

    For bash: gypsumfoldctl completion bash > ~/.gypsumfoldctl.bash, and
    source it from ~/.bashrc.
    """
    kind = shell_completion.get_completion_class(shell)
    found = kind(main, {}, "gypsumfoldctl", "_GYPSUMFOLDCTL_COMPLETE")
    click.echo(found.source())


if __name__ == "__main__":
    main()
