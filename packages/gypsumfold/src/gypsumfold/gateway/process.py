"""The gateway's process: settings, log, signals and event loop."""

import asyncio
import pathlib
import signal
import sys

import uvloop

from gypsumfold import events
from gypsumfold.gateway import gateway as gateway_module
from gypsumfold.gateway import line_writer as line_writer_module
from gypsumfold.gateway import settings as settings_module


def run(file: pathlib.Path) -> None:
    """Runs a gateway until it is told to stop.

    Raises:
        exceptions.SettingsError: The settings are not valid.
    """
    settings = settings_module.load(file)
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
