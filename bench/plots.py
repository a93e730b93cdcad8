"""Draws the plots of docs/MEASUREMENTS.md from bench/results.

``python -m bench.plots`` writes PNG files beside the CSV files and prints
the medians and ranges.
"""

import csv
import pathlib
import statistics

import click
import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot

FOLDER = pathlib.Path(__file__).parent / "results"
SCHEDULERS = ("baseline", "policy")


def read(path: pathlib.Path) -> list[dict[str, str]]:
    """Reads a CSV file."""
    with path.open() as file:
        return list(csv.DictReader(file))


def goodput(path: pathlib.Path, label: str) -> None:
    """Draws goodput by kind, with the range over the seeds."""
    rows = [row for row in read(path) if row["label"] == label]
    if not rows:
        return
    kinds = sorted({(int(row["urgency"]), row["kind"]) for row in rows})
    figure, axes = pyplot.subplots(figsize=(6, 3.5))
    for place, scheduler in enumerate(SCHEDULERS):
        for index, (_, kind) in enumerate(kinds):
            found = [
                float(row["share"])
                for row in rows
                if (row["kind"], row["scheduler"]) == (kind, scheduler)
            ]
            middle = statistics.median(found)
            spread = [[middle - min(found)], [max(found) - middle]]
            axes.bar(
                index + place * 0.4,
                middle,
                0.38,
                yerr=spread,
                color=("tab:gray", "tab:blue")[place],
                label=scheduler if index == 0 else None,
            )
            click.echo(
                f"| {path.stem} | {kind} | {scheduler} | {middle:.3f} |"
                f" {min(found):.3f} to {max(found):.3f} | {len(found)} |"
            )
    axes.set_xticks(
        [index + 0.2 for index in range(len(kinds))],
        [f"{kind} (urgency {urgency})" for urgency, kind in kinds],
    )
    axes.set_ylim(0, 1.05)
    axes.set_ylabel("share whole and on time")
    axes.set_title(f"{path.stem}: median and range over seeds")
    axes.legend()
    figure.tight_layout()
    figure.savefig(path.with_suffix(".png"), dpi=120)


def frontier(path: pathlib.Path) -> None:
    """Draws goodput against role changes."""
    figure, axes = pyplot.subplots(figsize=(6, 3.5))
    for row in read(path):
        x, y = int(row["changes"]), float(row["share"])
        axes.plot(x, y, "o", color="tab:blue")
        axes.annotate(
            row["weight"], (x, y), textcoords="offset points", xytext=(5, 5)
        )
    axes.set_xlabel("role changes in the run")
    axes.set_ylabel("share whole and on time")
    axes.set_title("Change weight: goodput against role changes")
    figure.tight_layout()
    figure.savefig(path.with_suffix(".png"), dpi=120)


@click.command()
@click.option("--label", default="round-2")
def main(label: str) -> None:
    """Draw all plots."""
    for path in sorted(FOLDER.glob("goodput-*.csv")):
        goodput(path, label)
    if (FOLDER / "frontier.csv").exists():
        frontier(FOLDER / "frontier.csv")


if __name__ == "__main__":
    main()
