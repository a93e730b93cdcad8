"""The `gypsumfold` command: runs a node or checks its settings."""

import asyncio
import pathlib
import signal
import sys

import click
import uvloop

from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold import node as node_module
from gypsumfold import settings as settings_module
from gypsumfold.gateway import main as gateway_main

# Exit code for an invalid settings file (sysexits EX_CONFIG).
EXIT_SETTINGS = 78


@click.group()
@click.version_option(package_name="gypsumfold")
def main() -> None:
    """Gypsumfold serves language models on a fixed fleet of engines."""


@main.command("check-settings")
@click.argument("file", type=click.Path(path_type=pathlib.Path))
def check_settings(file: pathlib.Path) -> None:
    """Check FILE and name the offending key, the reason and the line."""
    settings = load(file)
    click.echo(f"{file}: settings of node {settings.node.name} are valid")


main.add_command(gateway_main.main, "gateway")


@main.command("run")
@click.argument("file", type=click.Path(path_type=pathlib.Path))
def run(file: pathlib.Path) -> None:
    """Run a node with the settings in FILE, until SIGTERM or SIGINT."""
    settings = load(file)
    events.configure(settings.node.name)
    uvloop.run(serve(settings))


async def serve(settings: settings_module.Settings) -> None:
    """Runs a node; the first signal starts its graceful shutdown."""
    node = node_module.Node(settings)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.stop.set)
    await node.run()


def load(file: pathlib.Path) -> settings_module.Settings:
    """Loads the settings, or prints the error and exits."""
    try:
        return settings_module.load(file)
    except exceptions.SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_SETTINGS)


if __name__ == "__main__":
    main()
