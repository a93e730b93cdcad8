"""Goodput against role changes, on a mix that swings, by change weight.

``python -m bench.frontier --weights static,0,10,100`` plays the same arrivals
to a fleet whose planner is off (static) or has the weight, through real
processes, and counts the role orders that the engines carried out. Scaled:
the mix turns every `STAY` seconds.
"""

import asyncio
import csv
from typing import NamedTuple

import click
from features.support import deployments as declared
from features.support import http
import uvloop

from bench import deployments
from bench import driver
from bench import experiments

STAY = 35.0
TURNS = 3
PROMPTS = deployments.Kind("briefing", "engine", 5, 8.0, 2400, 12, 1.0)
OUTPUTS = deployments.Kind("swap", "engine", 5, 8.0, 160, 64, 1.0)
# Requests a second: just above what six mixed engines can do of each.
RATES = {PROMPTS.name: 13.0, OUTPUTS.name: 100.0}


class Point(NamedTuple):
    """One run: goodput and role changes."""

    weight: str
    seed: int
    offered: int
    on_time: int
    share: float
    changes: int


def arrivals(seed: int) -> list[driver.Arrival]:
    """Draws the arrivals of all turns of the mix."""
    found: list[driver.Arrival] = []
    for turn in range(TURNS):
        kind = (PROMPTS, OUTPUTS)[turn % 2]
        shape = deployments.RAMP_TOWAGE._replace(kinds=(kind,))
        phases = [(STAY, RATES[kind.name])]
        for one in driver.arrivals(shape, phases, seed * 100 + turn):
            found.append(one._replace(at=one.at + turn * STAY))
    return found


def changes(fleet) -> int:
    """Counts the role orders that were carried out."""
    count = 0
    for name, endpoint in fleet.endpoints.items():
        if endpoint.protocol != "engine":
            continue
        for order in http.get(f"{fleet[name].url}/_test/orders").json():
            count += order["verb"] == "role" and order["verdict"] == "done"
    return count


def run(weight: str, seed: int) -> Point:
    """Plays the swinging mix once."""
    shape = deployments.RAMP_TOWAGE._replace(kinds=(PROMPTS, OUTPUTS))
    fleet = deployments.start(shape, False, seed)
    try:
        if weight != "static":
            fleet.apply(
                f'alter service "{declared.ENGINES}" set planner = true,'
                f" change_weight = {float(weight)};"
            )
        bases = [node.url for node in fleet.nodes.values()]
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            outcomes = runner.run(driver.play(bases, arrivals(seed)))
        made = changes(fleet)
    finally:
        fleet.close()
    good = sum(one.on_time for one in outcomes)
    share = round(good / len(outcomes), 4)
    return Point(weight, seed, len(outcomes), good, share, made)


@click.command()
@click.option("--weights", default="static,0,10,100")
@click.option("--seeds", default=1)
def main(weights: str, seeds: int) -> None:
    """Measure the frontier."""
    points = []
    for seed in range(1, seeds + 1):
        for weight in weights.split(","):
            points.append(run(weight, seed))
            click.echo(" ".join(str(field) for field in points[-1]))
    experiments.FOLDER.mkdir(exist_ok=True)
    path = experiments.FOLDER / "frontier.csv"
    with path.open("w", newline="") as file:
        writer = csv.writer(file, lineterminator="\n")
        writer.writerow(Point._fields)
        writer.writerows(points)


if __name__ == "__main__":
    main()
