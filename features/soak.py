"""Runs the soak of gateways by hand: one seed after the other.

Usage: ``python -m features.soak --first 1 --count 50 --seconds 20``. The
timeline of each seed goes to ``reports/soak``; a seed that breaks a promise
also keeps its processes' logs there.
"""

import pathlib
import shutil
import sys

import click

from features.support import gateways
from features.support import soak

REPORTS = pathlib.Path("reports") / "soak"


def play(
    seed: int, seconds: float, gateway_count: int, engine_count: int, mesh: int
) -> list[str]:
    """Plays one seed; returns the promises that were broken."""
    fleet = gateways.GatewayFleet()
    played = soak.Soak(fleet, seed, seconds, gateway_count, engine_count, mesh)
    try:
        played.run()
        broken = played.broken()
        soak.timeline(played, REPORTS / f"{seed}.txt")
        if broken:
            shutil.copytree(
                fleet.folder, REPORTS / f"{seed}", dirs_exist_ok=True
            )
    finally:
        fleet.close()
    return broken


@click.command()
@click.option("--first", default=1, help="First seed.")
@click.option("--count", default=50, help="Seeds.")
@click.option("--seconds", default=20.0, help="Seconds of faults for each.")
@click.option("--nodes", default=soak.GATEWAYS, help="Gateways.")
@click.option("--engines", default=soak.ENGINES, help="Engines.")
@click.option("--mesh", default=soak.MESH, help="Gateways without a relay.")
def main(
    first: int, count: int, seconds: float, nodes: int, engines: int, mesh: int
) -> None:
    """Play seeds; exit with 1 if one broke a promise."""
    REPORTS.mkdir(parents=True, exist_ok=True)
    failed = []
    for seed in range(first, first + count):
        broken = play(seed, seconds, nodes, engines, mesh)
        click.echo(f"seed {seed}: {broken or 'held'}")
        if broken:
            failed.append(seed)
    click.echo(f"{count} seeds, failed: {failed or 'none'}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
