"""A node that gives one order under a short permission, as a process.

    python -m features.support.ordering_node ADDRESS SECONDS

It makes a request first, so that a connection is open, writes "ready", waits
for a line, gives the order and writes when its permission ends.
"""

import asyncio
import contextlib
import sys
import time
from unittest import mock

import uvloop

from gypsumfold import clocks
from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold.decisions import types as decision_types
from gypsumfold.gateway import connection_pool
from gypsumfold.gateway import grants
from gypsumfold.gateway import role_planning
from gypsumfold.gateway import types
from gypsumfold.platform import names
from gypsumfold.platform import replicas

ORDER = types.Order(decision_types.Role.PREFILL, "edge-1-1", 7, 0)
# Time for the order's bytes to leave.
SENT_SECONDS = 0.03


class SlowPool(connection_pool.Pool):
    """A pool whose connections take long until they can be used."""

    def __init__(self, seconds, freezes):
        super().__init__()
        self.seconds = seconds
        self.freezes = freezes

    async def open(self, address):
        """Opens a connection and waits, or stops the whole event loop."""
        connection = await super().open(address)
        if self.freezes:
            freeze(self.seconds)
        else:
            await asyncio.sleep(self.seconds)
        return connection


def freeze(seconds):
    """Stops the whole event loop."""
    time.sleep(seconds)


class Node:
    """A node's client of one engine, with a real pool."""

    def __init__(self, address, pool=None):
        self.pool = pool or connection_pool.Pool()
        self.endpoints = replicas.Replicas(self.pool)
        self.replica = types.Replica("i-1", "lm", address, "north", 8, False)

    async def request(self, body=b"x"):
        """Makes a caller's request, whose connection is kept."""
        call = types.Call(
            id="a-1",
            method="POST",
            target="/request",
            host="h.example",
            fields=((b"Host", b"h.example"), (names.ATTEMPT.encode(), b"a-1")),
            body=body,
            arrival=0.0,
            deadline=time.monotonic() + 10.0,
        )
        answer = await self.endpoints.send(
            self.replica, call, types.Instructions(10.0)
        )
        await answer.read()

    async def order(self, seconds):
        """Gives an order under a permission for some seconds."""
        self.grant = grant(seconds)
        return await self.endpoints.order(self.replica, ORDER, self.grant)


def grant(seconds):
    """A permission for some seconds."""
    now = clocks.now()
    return grants.Grant(ORDER.token, ORDER.holder, now, now + seconds)


async def run(address, seconds):
    """Gives one order as the planner does."""
    node = Node(address)
    await node.request()
    print("ready", flush=True)
    loop = asyncio.get_running_loop()
    await loop.run_in_executor(None, sys.stdin.readline)
    order = asyncio.create_task(node.order(seconds))
    await asyncio.sleep(SENT_SECONDS)
    print(node.grant.ends_at, flush=True)
    with contextlib.suppress(exceptions.EndpointError, TimeoutError):
        await asyncio.wait_for(order, role_planning.CALL_TIMEOUT_SECONDS)
    # The kernel goes on with what the node has left to it.
    await asyncio.sleep(60.0)


if __name__ == "__main__":
    with mock.patch.object(events, "log"):
        uvloop.run(run(sys.argv[1], float(sys.argv[2])))
