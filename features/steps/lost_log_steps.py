"""Steps on keyed calls at a node that has just lost the log."""

import asyncio
import time
import types

import behave
from features.support import virtual_gateways
import uuid6

from gypsumfold import claims
from gypsumfold import clocks
from gypsumfold import exceptions
from gypsumfold.callers import keyed_calls
from gypsumfold.logservice import logs
from gypsumfold.logservice import records

# Seconds after its last answer at which a silent connection is given up.
SILENCE = 3.0


class Batcher:
    """Takes any claim."""

    async def append(self, claim, timeout: float) -> int:
        """Appends a claim at an offset that was read."""
        return -1


def make_calls(lost: float):
    """Makes the keyed calls of a node that has lost the log."""
    tail = logs.Tail(None, records.CLAIMS)
    tail.caught_up.set()
    tail.healthy = False
    tail.lost_at = clocks.now() - lost
    tail.last_seen = tail.lost_at - SILENCE
    platform = types.SimpleNamespace(timeout=2.0, retention=1000.0)
    node = types.SimpleNamespace(
        settings=types.SimpleNamespace(platform=platform),
        log=None,
        tails={records.CLAIMS: tail},
        peers=types.SimpleNamespace(handle=lambda *arguments: None),
    )
    found = keyed_calls.KeyedCalls(node)
    found.batcher = Batcher()
    return found


async def claim(lost: float, back: float | None) -> tuple[str, float]:
    """Claims a key; returns how that ended and the seconds that it took."""
    calls = make_calls(lost)
    request = types.SimpleNamespace(deadline=time.monotonic() + 10.0)
    record = claims.Claim("c1", "north-air", str(uuid6.uuid7()), "digest")
    attempt = keyed_calls.Attempt(
        record, types.SimpleNamespace(request=request)
    )
    if back is not None:
        loop = asyncio.get_running_loop()
        loop.call_later(back, calls.tail.set_health, True, "")
    started = clocks.now()
    try:
        await calls.append(attempt)
        end = "claimed"
    except exceptions.RequestError:
        end = "refused"
    return end, clocks.now() - started


@behave.given("a node that has lost the log {lost:g} s ago")
def step_lost(context, lost):
    context.lost = lost


@behave.when("a keyed call comes, and the log is {log}")
def step_call(context, log):
    back = None if log == "not back" else 0.4
    site = virtual_gateways.Site(seed=1)

    async def story():
        context.end = await claim(context.lost, back)

    site.play(story())


@behave.then("the call is {end} within {seconds:g} s")
def step_end(context, end, seconds):
    assert context.end[0] == end, context.end
    assert context.end[1] <= seconds, context.end
