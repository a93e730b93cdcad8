"""Steps on SIGHUP at a gateway that starts."""

import contextlib
import os
import pathlib
import signal
import time

import behave
from features.support import gateways

SIGNAL_SECONDS = 0.02
# Its part in the bit masks of /proc.
SIGHUP_BIT = 1 << (signal.SIGHUP - 1)
EVENT_LOOP = "uvloop"
RELOADED = 108


def is_guarded(pid: int) -> bool:
    """Whether SIGHUP is ignored or handled by a process."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    for line in status.splitlines():
        name, _, value = line.partition(":")
        if name in ("SigIgn", "SigCgt") and int(value, 16) & SIGHUP_BIT:
            return True
    return False


@behave.when(
    "a gateway starts and gets SIGHUP every 20 ms as soon as it runs its own "
    "code"
)
def step_start(context):
    fleet = context.fleet
    process = fleet.start_gateway("edge-1", ready=False)
    gateways.until(lambda: is_guarded(process.pid), "SIGHUP is not guarded")
    maps = pathlib.Path(f"/proc/{process.pid}/maps").read_text()
    context.has_event_loop = EVENT_LOOP in maps
    context.gateway = process
    limit = time.monotonic() + gateways.LIMIT
    while process.alive and not fleet.is_ready("edge-1"):
        assert time.monotonic() < limit, "the gateway is not ready"
        with contextlib.suppress(ProcessLookupError):
            os.kill(process.pid, signal.SIGHUP)
        time.sleep(SIGNAL_SECONDS)


@behave.then("it has guarded itself before it imported its event loop")
def step_guarded(context):
    assert not context.has_event_loop


@behave.then("it becomes ready and has not ended")
def step_ready(context):
    context.fleet.until_ready("edge-1")
    assert context.gateway.alive


@behave.when("its settings change")
def step_change(context):
    context.reloads = len(context.gateway.events(RELOADED))
    path = context.fleet.folder / "edge-1.toml"
    path.write_text(path.read_text() + "\n")
    os.utime(path)


@behave.then("it reads them again")
def step_reloaded(context):
    gateways.until(
        lambda: len(context.gateway.events(RELOADED)) > context.reloads,
        "the settings are not read again",
    )
