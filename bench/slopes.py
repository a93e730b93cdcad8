"""Measures what one more of each thing costs a node, for docs/CAPACITY.md.

Usage: ``python -m bench.slopes [name...]``. Each measurement starts real
processes, takes a node's processor time, memory and bytes at several sizes
and fits a line by least squares. Prints one CSV row for each.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import json
import sys
import threading
import time
from typing import NamedTuple

from features.support import deployments
from features.support import fleets
from features.support import http
from features.support import processes
import numpy
import psutil
import uuid6

from gypsumfold import claims as claims_module
from gypsumfold.logservice import records

# Seconds over which processor time is taken; a tick of the kernel's
# accounting is 10 ms, 0.1 % of this.
SPAN = 10.0
# Seconds that a fleet is given to settle before a measurement.
SETTLE = 3.0
# Objects in one change, so that a change fits the log's 256 KiB.
OBJECTS_PER_CHANGE = 400
# Settings as a deployment has them; the tests' own are shorter.
USUAL = {
    "peers": {"heartbeat": 1.0},
    "platform": {"timeout": 2.0, "poll": 1.0},
    "endpoints": {
        "poll": 0.25,
        "silent_after": 2.0,
        "connect_timeout": 1.0,
        "idle_timeout": 5.0,
    },
    "control": {
        "duration": 6.0,
        "renewal": 2.0,
        "drift": 1.0,
        "permission": 3.0,
        "quarantine": 15.0,
    },
}


class Sample(NamedTuple):
    """One node at one size.

    Attributes:
        size: How many there were of what is measured.
        cpu: Share of a core.
        rss: Resident memory in MiB.
        sent: Bytes a second written by the node, of any kind.
    """

    size: float
    cpu: float
    rss: float
    sent: float


class Slope(NamedTuple):
    """What one more costs, and what is there without any."""

    name: str
    unit: str
    base: float
    slope: float


def written(process: psutil.Process) -> int:
    """Bytes written so far, to sockets and to the log file alike."""
    return process.io_counters().write_chars


def sample(node: processes.Process, size: float, span: float = SPAN) -> Sample:
    """Watches an otherwise idle node."""
    process = psutil.Process(node.pid)
    before = process.cpu_times()
    bytes_before = written(process)
    started = time.monotonic()
    time.sleep(span)
    seconds = time.monotonic() - started
    after = process.cpu_times()
    used = after.user + after.system - before.user - before.system
    return Sample(
        size,
        used / seconds,
        process.memory_info().rss / 2**20,
        (written(process) - bytes_before) / seconds,
    )


def fit(name: str, samples: list[Sample]) -> Iterator[Slope]:
    """Fits a line through each figure of some samples."""
    sizes = [each.size for each in samples]
    for field, unit, factor in (
        ("cpu", "% of a core", 100.0),
        ("rss", "KiB", 1024.0),
        ("sent", "B/s", 1.0),
    ):
        values = [getattr(each, field) * factor for each in samples]
        slope, base = numpy.polyfit(sizes, values, 1)
        yield Slope(name, unit, float(base), float(slope))


@contextlib.contextmanager
def fleet_of(name: str, nodes: int) -> Iterator[fleets.Fleet]:
    """Runs a platform and some nodes with a deployment's settings."""
    fleet = fleets.Fleet(name)
    try:
        fleet.start_platform()
        names = [f"entry-{number}" for number in range(nodes)]
        fleet.start_nodes(*names, **USUAL)
        yield fleet
    finally:
        fleet.close()


def declare_many(
    fleet: fleets.Fleet, count: int, one: Callable[[int], str]
) -> None:
    """Declares many objects, some hundred in a change."""
    for start in range(0, count, OBJECTS_PER_CHANGE):
        end = min(count, start + OBJECTS_PER_CHANGE)
        fleet.apply("".join(one(number) for number in range(start, end)))


def account(number: int) -> str:
    """Writes the statement of one account."""
    digest = fleets.sha256(f"token-{number}")
    fields = {"token_sha256": digest}
    return deployments.create("account", f"account-{number}", fields)


def peers() -> list[Sample]:
    """Each further node that a node exchanges heartbeats with."""
    found = []
    for count in (1, 4, 8, 16):
        with fleet_of("peers", count) as fleet:
            time.sleep(SETTLE)
            found.append(sample(fleet["entry-0"], count - 1))
    return found


def accounts() -> list[Sample]:
    """Each declared account."""
    found = []
    for count in (0, 1000, 2000, 4000):
        with fleet_of("accounts", 1) as fleet:
            declare_many(fleet, count, account)
            time.sleep(SETTLE)
            found.append(sample(fleet["entry-0"], count))
    return found


def endpoints() -> list[Sample]:
    """Each engine that a node polls."""
    found = []
    for count in (0, 4, 8, 16):
        with fleet_of("endpoints", 1) as fleet:
            for number in range(count):
                fleet.start_engine(f"lm-{number}")
            deployments.declare(fleet)
            time.sleep(SETTLE)
            found.append(sample(fleet["entry-0"], count))
    return found


def changes() -> list[Sample]:
    """Each change of configuration a second, at a node that is not asked."""
    found = []
    for rate in (0, 2, 5, 10):
        with fleet_of("changes", 2) as fleet:
            declare_many(fleet, 400, account)
            time.sleep(SETTLE)
            with load(rate, lambda number: change(fleet, number)):
                found.append(sample(fleet["entry-1"], rate))
    return found


def change(fleet: fleets.Fleet, number: int) -> None:
    """Makes one small change through the first node."""
    fleet.apply(f'alter account "account-{number % 400}" set weight = 2;')


def claims() -> list[Sample]:
    """Each keyed call a second of others, at a node that only follows."""
    found = []
    for rate in (0, 10, 20, 40):
        with fleet_of("claims", 2) as fleet:
            fleet.start_service("ramp-1")
            deployments.declare(fleet)
            time.sleep(SETTLE)
            with load(rate, lambda number: keyed(fleet, number)):
                found.append(sample(fleet["entry-1"], rate))
    return found


def keyed(fleet: fleets.Fleet, number: int) -> None:
    """Makes one keyed call through the first node."""
    key = {"Idempotency-Key": str(uuid6.uuid7())}
    found = deployments.call(fleet["entry-0"], f"call {number}", **key)
    assert found is not None and found.status == 200, found


@contextlib.contextmanager
def load(rate: float, one: Callable[[int], None]) -> Iterator[None]:
    """Does something so many times a second in a thread."""
    ended = threading.Event()

    def run() -> None:
        started = time.monotonic()
        number = 0
        while rate and not ended.is_set():
            one(number)
            number += 1
            due = started + number / rate
            ended.wait(max(0.0, due - time.monotonic()))

    thread = threading.Thread(target=run)
    thread.start()
    try:
        yield
    finally:
        ended.set()
        thread.join()


def kept_claims() -> list[Sample]:
    """Each claim with its outcome that a node keeps, in process."""
    found = []
    process = psutil.Process()
    kept = claims_module.Claims(retention=86400.0)
    now = time.time()
    # What only the first ones allocate is no slope.
    for number in range(30_000):
        if number % 10_000 == 0:
            rss = process.memory_info().rss / 2**20
            found.append(Sample(number, 0.0, rss, 0.0))
        key = str(uuid6.uuid7())
        claim_id = f"entry-1-{uuid6.uuid7().hex}/{number}"
        digest = fleets.sha256(key)
        claim = claims_module.Claim(claim_id, "account-1", key, digest)
        body = b"a short answer of a plain service, as tugs and holds get"
        outcome = claims_module.Outcome(
            claim_id, "account-1", key, "complete", 200, "text/plain", 56,
            digest, body,
        )  # fmt: skip
        batch = records.decode(records.encode([claim, outcome]))
        kept.apply(records.Entry(number, now, batch))
    return found


def requests() -> list[Sample]:
    """Each unstreamed completion of 50 tokens a second (data path)."""
    found = []
    for rate in (0, 10, 20, 40):
        with fleet_of("requests", 1) as fleet:
            fleet.start_engine("lm-0", speed=50.0)
            deployments.declare(fleet)
            time.sleep(SETTLE)
            with load(rate, lambda number: complete(fleet, number)):
                found.append(sample(fleet["entry-0"], rate))
    return found


def complete(fleet: fleets.Fleet, number: int) -> None:
    """Asks for one completion."""
    body = {
        "model": deployments.MODEL,
        "messages": deployments.messages(f"request {number}"),
        "max_tokens": 50,
    }
    found = http.post(
        f"{fleet['entry-0'].url}/v1/chat/completions",
        json.dumps(body).encode(),
        headers=deployments.headers(),
    )
    assert found.status == 200, found


MEASUREMENTS = {
    "peers": peers,
    "accounts": accounts,
    "endpoints": endpoints,
    "changes": changes,
    "claims": claims,
    "kept_claims": kept_claims,
    "requests": requests,
}


def main() -> None:
    """Runs the measurements named on the command line, or all."""
    print("name,unit,base,slope")
    for name in sys.argv[1:] or MEASUREMENTS:
        samples = MEASUREMENTS[name]()
        for each in samples:
            print(f"# {name} {each}", flush=True)
        for slope in fit(name, samples):
            print(
                f"{slope.name},{slope.unit},{slope.base:.4f},{slope.slope:.6f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
