"""Steps that run gypsumfoldctl against real nodes."""

import asyncio
import json
import os
import pathlib
import shlex
import subprocess
import sys
import tempfile

import behave
from features.support import fleets

from gypsumfoldctl import client as client_module
from gypsumfoldctl import exceptions
from gypsumfoldctl import main as ctl
from gypsumfoldctl import planning

SERVICE = 'create service "web" set protocol = "plain";\n'


@behave.given("a control fleet of {count:d} nodes")
def step_fleet(context, count):
    fleet = context.fleet = fleets.Fleet("operators")
    fleet.start_platform()
    fleet.start_nodes(*[f"entry-{number}" for number in range(1, count + 1)])
    context.token = fleets.OPERATOR_TOKEN
    context.file = pathlib.Path(tempfile.mkdtemp()) / "web.gf"


def addresses(fleet):
    """Operators' addresses of all nodes, in order of start."""
    found = fleet.nodes.values()
    return [f"{node.host}:{fleets.OPERATORS_PORT}" for node in found]


def run(context, arguments):
    """Runs gypsumfoldctl as an operator does."""
    command = [sys.executable, "-m", "gypsumfoldctl.main"]
    for address in addresses(context.fleet):
        command += ["--node", address]
    context.result = subprocess.run(
        [*command, *arguments],
        capture_output=True,
        text=True,
        env={**os.environ, "GYPSUMFOLD_TOKEN": context.token},
    )


def declarations(kinds):
    """Writes a service and some kinds of request."""
    text = SERVICE
    for number in range(kinds):
        text += (
            f'create kind "kind-{number}" set service = "web", '
            f"urgency = {number};\n"
        )
    return text


@behave.when('the operator runs "{words}" on a file with {kinds:d} kinds')
def step_run_file(context, words, kinds):
    context.file.write_text(declarations(kinds))
    run(context, [*shlex.split(words), str(context.file)])


@behave.when('the operator runs "{words}"')
def step_run(context, words):
    run(context, shlex.split(words))


@behave.then('it ends with {code:d} and prints "{text}"')
def step_printed(context, code, text):
    result = context.result
    assert result.returncode == code, result
    assert text in result.stdout + result.stderr, result


@behave.then('it ends with 0 and prints JSON rows with "{key}" of "{value}"')
def step_json(context, key, value):
    rows = json.loads(context.result.stdout)
    assert [row[key] for row in rows] == [value], rows


@behave.when("another operator alters the kind between plan and apply")
def step_overtaken(context):
    """Plans as the command does, is overtaken, and goes on."""
    fleet = context.fleet
    context.file.write_text(declarations(1).replace("= 0;", "= 5;"))
    context.result = asyncio.run(overtake(fleet, context.file))


async def overtake(fleet, path):
    """Applies a plan that another change has overtaken."""
    connection = client_module.Connection(
        tuple(addresses(fleet)), fleets.OPERATOR_TOKEN
    )
    async with client_module.Client(connection) as client:
        found = planning.plan(planning.read([path]), await ctl.held(client))
        fleet.apply('alter kind "kind-0" set urgency = 7;')
        try:
            await ctl.publish(client, found.steps)
        except exceptions.CommandError as error:
            text = "\n".join(error.lines)
            return subprocess.CompletedProcess([], error.exit_code, text, "")
    return subprocess.CompletedProcess([], 0, "", "")


@behave.when("the first node is killed under the operator's hands")
def step_killed(context):
    context.fleet["entry-1"].kill()


@behave.when("the log refuses all appends")
def step_refuses(context):
    context.fleet["log"].faults(appends_down=True)


@behave.when("the operator's token is wrong")
def step_token(context):
    context.token = "wrong"
