"""Steps on requests that are given up while their bytes are on the way."""

import asyncio
import contextlib
import socket

import behave

from gypsumfold.gateway import connection_pool
from gypsumfold.gateway import types
from gypsumfold.platform import replicas

HOST = "127.0.0.1"
# Bytes that one read takes, and seconds after which nothing more comes.
CHUNK = 1 << 20
LIMIT = 10.0


@behave.given("a replica that has accepted a connection and reads nothing")
def step_replica(context):
    context.listener = socket.create_server((HOST, 0))
    context.add_cleanup(context.listener.close)
    context.address = f"{HOST}:{context.listener.getsockname()[1]}"
    context.pool = connection_pool.Pool()


@behave.when("a request of {megabytes:d} megabytes is sent to it and {how}")
def step_given_up(context, megabytes, how):
    body = b"x" * (megabytes << 20)

    async def spoilt():
        connection = await context.pool.acquire(context.address, "i-1")
        context.accepted, _ = context.listener.accept()
        fields = (
            (b"Host", HOST.encode()),
            (b"Content-Length", str(len(body)).encode()),
        )
        connection.request("POST", "/", fields, body)
        await asyncio.sleep(0)
        connection.abort()
        await closed(connection)

    async def left():
        endpoints = replicas.Replicas(context.pool)
        replica = types.Replica(
            "i-1", "lm", context.address, "north", 64, False
        )
        task = asyncio.create_task(
            endpoints.exchange(
                replica, "POST", "/", [(b"Host", HOST.encode())], body
            )
        )
        loop = asyncio.get_running_loop()
        context.accepted = await loop.run_in_executor(None, accepted, context)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        await asyncio.sleep(0)

    asyncio.run(spoilt() if how == "the connection is spoilt" else left())


def accepted(context):
    """Accepts a connection once its first bytes are there."""
    found, _ = context.listener.accept()
    found.settimeout(LIMIT)
    found.recv(1, socket.MSG_PEEK)
    return found


async def closed(connection):
    """Waits until a connection is gone."""
    if not connection.lost:
        await connection.wait_for_data()


@behave.when("the idle connection to it is closed")
def step_idle(context):
    async def close():
        connection = await context.pool.acquire(context.address, "i-1")
        context.accepted, _ = context.listener.accept()
        connection.abort()
        await closed(connection)

    asyncio.run(close())


@behave.then(
    "the replica finds its connection reset, and not a request that ended"
)
def step_reset(context):
    assert end(context.accepted) == "reset"


@behave.then("the replica finds the end of its connection, and no reset")
def step_closed(context):
    assert end(context.accepted) == "closed"


def end(accepted):
    """How a connection ended, after all that had come on it."""
    accepted.settimeout(LIMIT)
    with contextlib.closing(accepted):
        while True:
            try:
                data = accepted.recv(CHUNK)
            except ConnectionResetError:
                return "reset"
            if not data:
                return "closed"
