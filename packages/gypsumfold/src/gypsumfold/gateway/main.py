"""Runs a gateway: ``gypsumfold gateway FILE`` or this module."""

import asyncio
import pathlib
import signal
import sys

import click
import uvloop

from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold.gateway import gateway as gateway_module
from gypsumfold.gateway import line_writer as line_writer_module
from gypsumfold.gateway import settings as settings_module

# Exit code for an invalid settings file (EX_CONFIG of sysexits.h).
EXIT_SETTINGS = 78
# Environment variable in which the platform passes the settings file's path.
SETTINGS_VARIABLE = "GYPSUMFOLD_SETTINGS"


@click.command()
@click.argument(
    "file",
    type=click.Path(path_type=pathlib.Path),
    envvar=SETTINGS_VARIABLE,
)
def main(file: pathlib.Path) -> None:
    """Run a gateway with the settings in FILE, until SIGTERM or SIGINT."""
    try:
        settings = settings_module.load(file)
    except exceptions.SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_SETTINGS)
    lines = line_writer_module.NonBlockingLineWriter(sys.stdout.fileno())
    events.configure(settings.node.name, lines)
    uvloop.run(serve(settings, file, lines))


async def serve(
    settings: settings_module.Settings,
    file: pathlib.Path,
    lines: line_writer_module.NonBlockingLineWriter,
) -> None:
    """Runs a gateway; the first signal starts its graceful shutdown."""
    gateway = gateway_module.Gateway(settings, file, lines)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, gateway.request_stop)
    loop.add_signal_handler(signal.SIGHUP, gateway.reload.set)
    await gateway.run()


if __name__ == "__main__":
    main()
