"""Goodput of the baseline and of the policy, through real processes.

``python -m bench.experiments --deployment ramp-towage --seeds 5`` plays the
same arrivals, by seed, to nodes with the round-robin baseline and with the
policy, in turn, and writes one CSV row for each run and kind.
"""

import asyncio
import csv
import pathlib
import statistics
from typing import NamedTuple

import click
import uvloop

from bench import deployments
from bench import driver

# Seconds and requests a second: below capacity, a burst at about twice of
# it, and below again.
PHASES = [(5.0, 30.0), (8.0, 110.0), (7.0, 30.0)]
FOLDER = pathlib.Path(__file__).parent / "results"


class Row(NamedTuple):
    """One run's figures for one kind of request."""

    label: str
    deployment: str
    scheduler: str
    seed: int
    kind: str
    urgency: int
    offered: int
    on_time: int
    share: float
    refused: int
    refusal_p99: float
    other: int
    median: float
    p99: float


def row(
    label: str,
    deployment: deployments.Deployment,
    scheduler: str,
    seed: int,
    kind: deployments.Kind,
    outcomes: list[driver.Outcome],
) -> Row:
    """Sums up what the callers of one kind got."""
    found = [one for one in outcomes if one.kind == kind.name]
    good = sorted(one.seconds for one in found if one.on_time)
    refused = sorted(one.seconds for one in found if one.status == 429)
    other = len(found) - len(good) - len(refused)
    return Row(
        label,
        deployment.name,
        scheduler,
        seed,
        kind.name,
        kind.urgency,
        len(found),
        len(good),
        round(len(good) / max(1, len(found)), 4),
        len(refused),
        round(quantile(refused, 0.99), 3),
        other,
        round(quantile(good, 0.5), 3),
        round(quantile(good, 0.99), 3),
    )


def quantile(ordered: list[float], share: float) -> float:
    """A quantile of ordered figures; 0 where there are none."""
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def run(
    label: str,
    deployment: deployments.Deployment,
    scheduler: str,
    seed: int,
    scale: float,
) -> list[Row]:
    """Starts a deployment, plays one load to it and ends it."""
    fleet = deployments.start(deployment, scheduler == "baseline", seed)
    try:
        bases = [node.url for node in fleet.nodes.values()]
        phases = [(seconds, rate * scale) for seconds, rate in PHASES]
        plan = driver.arrivals(deployment, phases, seed)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            outcomes = runner.run(driver.play(bases, plan))
    finally:
        fleet.close()
    rows = []
    for kind in deployment.kinds:
        rows.append(row(label, deployment, scheduler, seed, kind, outcomes))
    return rows


def report(rows: list[Row]) -> None:
    """Prints median and range over the seeds."""
    keys = sorted({(one.urgency, one.kind, one.scheduler) for one in rows})
    for _, kind, scheduler in keys:
        found = [
            one.share
            for one in rows
            if (one.kind, one.scheduler) == (kind, scheduler)
        ]
        click.echo(
            f"{kind:10} {scheduler:9} on time: median"
            f" {statistics.median(found):.3f}, range {min(found):.3f} to"
            f" {max(found):.3f} ({len(found)} runs)"
        )


def save(rows: list[Row]) -> None:
    """Appends rows to the deployment's CSV file."""
    FOLDER.mkdir(exist_ok=True)
    path = FOLDER / f"goodput-{rows[0].deployment}.csv"
    fresh = not path.exists()
    with path.open("a", newline="") as file:
        writer = csv.writer(file, lineterminator="\n")
        if fresh:
            writer.writerow(Row._fields)
        writer.writerows(rows)


@click.command()
@click.option("--deployment", type=click.Choice(list(deployments.DEPLOYMENTS)))
@click.option("--seeds", default=5)
@click.option("--label", default="trial", help="Names the round in the CSV.")
@click.option("--scale", default=1.0, help="Multiplies the load.")
@click.option("--schedulers", default="baseline,policy")
def main(
    deployment: str, seeds: int, label: str, scale: float, schedulers: str
) -> None:
    """Measure goodput, baseline and policy in turn."""
    chosen = deployments.DEPLOYMENTS[deployment]
    rows: list[Row] = []
    for seed in range(1, seeds + 1):
        for scheduler in schedulers.split(","):
            found = run(label, chosen, scheduler, seed, scale)
            rows += found
            for one in found:
                click.echo(" ".join(str(field) for field in one))
    save(rows)
    report(rows)


if __name__ == "__main__":
    main()
