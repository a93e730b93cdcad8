"""Measures how fast a configuration spreads and how fast a node gets ready.

Run ``python -m bench.configuration`` in the checkout; prints Markdown.
"""

import datetime
import os
import statistics
import time

from features.support import fleets
from features.support import http
from features.support import processes
import uuid6

from gypsumfold import changes
from gypsumfold import configuration as configuration_module
from gypsumfold.operators import language
from gypsumfold.platform import records

NODES = 6
CHANGES = 200
# Records on the config stream when a node starts.
KEPT = (0, 1000, 5000, 10000)
STARTS = 5
# Numbers of events.
STARTED, READY, APPLIED = 100, 101, 700
BASE = 'create service "web" set protocol = "plain";'


def moment(line: dict) -> float:
    """Reads an event's time, in seconds since the epoch."""
    text = line["timestamp"].replace("Z", "+00:00")
    return datetime.datetime.fromisoformat(text).timestamp()


def percentile(values: list[float], share: float) -> float:
    """Gives the smallest value that a share of the values does not exceed."""
    ordered = sorted(values)
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)]


def applied(node: processes.Process) -> dict[int, float]:
    """Lists when each revision came into force at a node."""
    return {line["revision"]: moment(line) for line in node.events(APPLIED)}


def spread(cut: bool) -> list[float]:
    """Measures seconds from a publish to in force on the last node.

    Args:
        cut: Whether all nodes but the first are cut off from the log, so
            that the change comes from peers alone.
    """
    fleet = fleets.Fleet("bench-config")
    try:
        fleet.start_platform()
        proxy = fleet.proxy(fleet["log"])
        names = [f"entry-{number}" for number in range(1, NODES + 1)]
        # The interval of production, not the short one of tests.
        nodes = fleet.start_nodes(
            *names, platform={"log": proxy.url}, peers={"heartbeat": 0.5}
        )
        fleet.apply(BASE)
        if cut:
            for node in nodes[1:]:
                proxy.partition(source=node.host)
        sent = {}
        for number in range(CHANGES):
            text = f'alter service "web" set change_weight = {number + 1};'
            before = time.time()
            answer = fleet.apply(text, nodes[0 if cut else number % NODES])
            sent[answer.json()["revision"]] = before
            if not cut:
                # The next change is made through a node that has this one.
                fleet.until(lambda: all_at(fleet, nodes, max(sent)))
        fleet.until(lambda: all_at(fleet, nodes, max(sent)))
        seen = [applied(node) for node in nodes]
        found = []
        for revision, before in sent.items():
            found.append(max(times[revision] for times in seen) - before)
        return found
    finally:
        fleet.close()


def all_at(fleet, nodes, revision: int) -> bool:
    """Whether all nodes have a revision in force."""
    return all(fleet.state(node)["revision"] >= revision for node in nodes)


def fill(fleet: fleets.Fleet, count: int) -> None:
    """Puts valid changes on the config stream, without a node."""
    fleet["log"].faults(rate=1e9)
    url = f"{fleet['log'].url}/streams/{records.CONFIG}/records"
    configuration = configuration_module.Configuration()
    for number in range(count):
        text = BASE
        if number:
            text = f'alter service "web" set change_weight = {number};'
        operations = changes.operations(language.parse(text))
        declared = configuration.declared("service", "web")
        revision = declared.revision if declared else -1
        condition = changes.Precondition("service", "web", revision)
        change = changes.Change(
            str(uuid6.uuid7()), "bench", operations, (condition,)
        )
        answer = http.post(url, records.encode([change]))
        offset = answer.json()["offset"]
        configuration.apply(records.Entry(offset, time.time(), (change,)))


def starts(count: int) -> list[float]:
    """Measures seconds from listening to ready, for some records kept."""
    fleet = fleets.Fleet("bench-starts")
    try:
        fleet.start_platform()
        fill(fleet, count)
        node = fleet.start_node("entry-1")
        for _ in range(STARTS - 1):
            node.kill()
            node.restart()
            node.until_ready("/ready")
        fleet.until(lambda: len(node.events(READY)) == STARTS)
        found = []
        for begun, ready in zip(
            node.events(STARTED), node.events(READY), strict=True
        ):
            found.append(moment(ready) - moment(begun))
        return found
    finally:
        fleet.close()


def main() -> None:
    """Prints all figures."""
    load = os.getloadavg()[0]
    print(f"{NODES} nodes, {CHANGES} changes; load average {load:.1f}\n")
    print("| way | p50 ms | p99 ms | highest ms |")
    print("|---|---|---|---|")
    for name, cut in (("log and peers", False), ("peers alone", True)):
        found = [1000 * seconds for seconds in spread(cut)]
        row = [statistics.median(found), percentile(found, 0.99), max(found)]
        print(f"| {name} | {' | '.join(f'{v:.0f}' for v in row)} |", flush=True)
    print(f"\n{STARTS} starts of one node each, without peers\n")
    print("| records kept | median ms to ready | highest ms |")
    print("|---|---|---|")
    for count in KEPT:
        found = [1000 * seconds for seconds in starts(count)]
        middle = statistics.median(found)
        print(f"| {count} | {middle:.0f} | {max(found):.0f} |", flush=True)


if __name__ == "__main__":
    main()
