"""Steps on SIGHUP at a gateway that starts."""

import contextlib
import os
import pathlib
import signal
import subprocess
import sys
import time

import behave
from features.support import gateways

SIGNAL_SECONDS = 0.02
# Its part in the bit masks of /proc.
SIGHUP_BIT = 1 << (signal.SIGHUP - 1)
RELOADED = 108
# Prints what SIGHUP does at the import of the event loop, and ends there. The
# state of a running process can't be read at just that moment.
AT_IMPORT = """
import os, runpy, signal, sys

class Finder:
    def find_spec(name, path=None, target=None):
        if name == "uvloop":
            print(signal.getsignal(signal.SIGHUP).name, flush=True)
            os._exit(0)

sys.meta_path.insert(0, Finder)
runpy.run_module("gypsumfold.gateway.main", run_name="__main__", alter_sys=True)
"""


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
    context.gateway = process
    context.settings = fleet.folder / "edge-1.toml"
    limit = time.monotonic() + gateways.LIMIT
    while process.alive and not fleet.is_ready("edge-1"):
        assert time.monotonic() < limit, "the gateway is not ready"
        with contextlib.suppress(ProcessLookupError):
            os.kill(process.pid, signal.SIGHUP)
        time.sleep(SIGNAL_SECONDS)


@behave.then("SIGHUP is ignored by when a gateway imports its event loop")
def step_guarded(context):
    command = [sys.executable, "-c", AT_IMPORT, str(context.settings)]
    found = subprocess.run(command, capture_output=True, text=True, timeout=60)
    assert found.stdout.strip() == "SIG_IGN", found


@behave.then("it becomes ready and has not ended")
def step_ready(context):
    context.fleet.until_ready("edge-1")
    assert context.gateway.alive


@behave.when("its settings change")
def step_change(context):
    context.reloads = len(context.gateway.events(RELOADED))
    path = context.settings
    path.write_text(path.read_text() + "\n")
    os.utime(path)


@behave.then("it reads them again")
def step_reloaded(context):
    gateways.until(
        lambda: len(context.gateway.events(RELOADED)) > context.reloads,
        "the settings are not read again",
    )
