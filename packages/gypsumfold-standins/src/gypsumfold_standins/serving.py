"""What all stand-ins share: options, switches for tests, serving, stopping."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import signal
from typing import Any

from aiohttp import web
import click
import msgspec
import uvloop

ADDRESS = click.option("--address", required=True, help="IP number.")
PORT = click.option("--port", type=int, required=True, help="TCP port.")

# Bytes; above the log service's largest record and any test prompt.
BODY_LIMIT = 8 * 1024 * 1024
# Fields of a head, and bytes of a field: above what any node passes on.
MAX_FIELDS = 32768
MAX_FIELD_BYTES = 65536
# Seconds between two looks at a condition.
LOOK = 0.005


def answer(value: Any, status: int = 200) -> web.Response:
    """Makes a JSON answer of anything that msgspec encodes."""
    return web.Response(
        body=msgspec.json.encode(value),
        status=status,
        content_type="application/json",
    )


def drop(request: web.Request) -> web.Response:
    """Closes the connection without an answer."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


async def while_true(condition: Callable[[], bool]) -> None:
    """Waits for as long as a condition holds.

    Switches are plain fields that tests change, so they are looked at again
    and again.
    """
    while True:
        if not condition():
            return
        await asyncio.sleep(LOOK)


def add_faults(application: web.Application, faults: msgspec.Struct) -> None:
    """Lets tests read and change switches at ``/_test/faults``.

    Args:
        application: Where the routes are added.
        faults: Changed in place; fields that a test leaves out stay.
    """

    async def read(request: web.Request) -> web.Response:
        return answer(faults)

    async def change(request: web.Request) -> web.Response:
        merged = msgspec.to_builtins(faults)
        merged.update(msgspec.json.decode(await request.read()))
        try:
            checked = msgspec.convert(merged, type(faults), strict=True)
        except msgspec.ValidationError as error:
            return answer({"reason": str(error)}, status=400)
        for name in type(faults).__struct_fields__:
            setattr(faults, name, getattr(checked, name))
        return answer(faults)

    application.router.add_get("/_test/faults", read)
    application.router.add_post("/_test/faults", change)


def new_application() -> web.Application:
    """Makes an application with the stand-ins' body limit."""
    return web.Application(client_max_size=BODY_LIMIT)


async def serve(
    application: web.Application,
    address: str,
    port: int,
    drain: Callable[[], Awaitable[None]] | None = None,
) -> None:
    """Serves until SIGTERM or SIGINT.

    Args:
        application: What is served.
        address: IP number.
        port: TCP port.
        drain: Awaited after the signal, while requests are still served.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    runner = web.AppRunner(
        application,
        access_log=None,
        handler_cancellation=True,
        auto_decompress=False,
        max_headers=MAX_FIELDS,
        max_field_size=MAX_FIELD_BYTES,
    )
    await runner.setup()
    await web.TCPSite(runner, address, port, shutdown_timeout=0.2).start()
    await stop.wait()
    if drain is not None:
        await drain()
    await runner.cleanup()


def run(main: Awaitable[None]) -> None:
    """Runs a stand-in's main coroutine on uvloop."""
    uvloop.run(main)
