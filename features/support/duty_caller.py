"""A gateway's process that makes one call to the platform's operations API.

Prints a line as it begins, as the bytes are handed to the socket and as it has
ended, and then keeps its connections until the input ends.
"""

import asyncio
import contextlib
import sys

import uvloop

from gypsumfold import clocks
from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold.gateway import grants
from gypsumfold.platform import operations as operations_module


async def run(
    address: str, seconds: float, size: int, cancel_after: float
) -> None:
    """Reports usage.

    Args:
        address: The platform.
        seconds: How long the permission lasts.
        size: Bytes of the report.
        cancel_after: Seconds after which the call is cancelled.
    """
    now = clocks.now()
    grant = grants.Grant(1, "edge-1-1", now, now + seconds)
    operations = operations_module.Operations(address)
    print("begins", flush=True)
    with contextlib.suppress(TimeoutError, exceptions.PlatformError):
        async with asyncio.timeout(cancel_after):
            await operations.report_usage(b"x" * size, "edge-1", grant)
    print("ended", flush=True)
    loop = asyncio.get_running_loop()
    await loop.run_in_executor(None, sys.stdin.read)


if __name__ == "__main__":
    events.log = lambda event, **fields: print(event.name, flush=True)
    uvloop.run(
        run(
            sys.argv[1],
            float(sys.argv[2]),
            int(sys.argv[3]),
            float(sys.argv[4]),
        )
    )
