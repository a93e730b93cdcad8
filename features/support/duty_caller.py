"""A gateway's process that makes one call to the platform's operations API.

Prints a line as it begins, as the bytes are handed to the socket and as it has
ended, and then keeps its connections until the input ends.
"""

import asyncio
import sys

import uvloop

from gypsumfold import clocks
from gypsumfold import events
from gypsumfold.gateway import grants
from gypsumfold.platform import operations as operations_module


def wait_for_line() -> bool:
    """Waits for a line once the connection is open, before anything is sent."""
    print("connected", flush=True)
    sys.stdin.readline()
    return True


async def run(
    address: str, seconds: float, size: int, cancel_after: float, waits: bool
) -> None:
    """Reports usage.

    Args:
        address: The platform.
        seconds: How long the permission lasts.
        size: Bytes of the report.
        cancel_after: Seconds after the confirmation of the permission until
            the call is cancelled.
        waits: Whether to wait for a line with the connection open.
    """
    now = clocks.now()
    grant = grants.Grant(1, "edge-1-1", now, now + seconds)
    if waits:
        grant.is_current = wait_for_line
    operations = operations_module.Operations(address)
    print("begins", flush=True)
    call = asyncio.create_task(
        operations.report_usage(b"x" * size, "edge-1", grant)
    )
    loop = asyncio.get_running_loop()

    def note(event: events.Event, **fields) -> None:
        print(event.name, flush=True)
        loop.call_later(cancel_after, call.cancel)

    events.log = note
    await asyncio.wait({call})
    print("ended", flush=True)
    await loop.run_in_executor(None, sys.stdin.read)


if __name__ == "__main__":
    uvloop.run(
        run(
            sys.argv[1],
            float(sys.argv[2]),
            int(sys.argv[3]),
            float(sys.argv[4]),
            sys.argv[5:] == ["waits"],
        )
    )
