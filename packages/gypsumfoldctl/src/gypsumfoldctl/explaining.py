"""Says from the logs of gateways what became of requests, and why."""

import collections
from collections.abc import Callable
import math
import pathlib
import statistics
from typing import NamedTuple

from gypsumfoldctl import journeys

# Seconds of one row of the table: shorter than a change of role takes, long
# enough for some hundred requests.
WINDOW = 2.0
# Size of the plot in inches: three panels above each other.
PLOT_SIZE = (9.0, 7.0)

CAUSES = ("route", "cause", "requests", "seconds", "reading", "generating")
COURSE = (
    "second",
    "asked",
    "complete",
    "hopeless",
    "refused",
    "failed",
    "left",
    "expected",
    "reading",
    "expected90",
    "reading90",
    "generating",
    "readers",
    "generators",
    "orders",
    "relays",
    "doubts",
    "calls",
)


class Table(NamedTuple):
    """Columns and rows, as `output.render` takes them."""

    columns: list[str]
    rows: list[list]


def cause(journey: journeys.Journey) -> str:
    """Names what ended a request, from what its node logged of it."""
    if journey.outcome == "complete":
        return "complete"
    if journey.outcome == "not-run":
        return f"refused: {journey.reason}"
    if journey.outcome != "cancelled":
        return f"{journey.outcome}: {journey.reason}"
    if journey.running is not None:
        return "its caller left while a replica ran it"
    if journey.placed is not None:
        return "its caller left while its prompt was read"
    return "its caller left before it was sent on"


def causes(run: journeys.Run) -> Table:
    """Counts requests by route and cause, with the seconds they took."""
    groups = collections.defaultdict(list)
    for journey in run.journeys:
        groups[journey.route, cause(journey)].append(journey)
    rows = []
    for (route, why), found in sorted(groups.items()):
        taken = [one.ended - one.arrived for one in found]
        rows.append(
            [
                route,
                why,
                len(found),
                mean(taken),
                mean([one.reading() for one in found]),
                mean([one.generating() for one in found]),
            ]
        )
    return Table(list(CAUSES), rows)


def course(run: journeys.Run, window: float = WINDOW) -> Table:
    """Follows a run window by window.

    Args:
        run: What the logs tell.
        window: Seconds of one row.
    """
    if not run.journeys:
        return Table(list(COURSE), [])
    first = min(one.arrived for one in run.journeys)
    windows = collections.defaultdict(list)
    for journey in run.journeys:
        windows[math.floor((journey.arrived - first) / window)].append(journey)
    rows = []
    for number in range(max(windows) + 1):
        start = first + number * window
        row = [round(number * window, 3), *counts(windows[number])]
        row += engines(run, start, start + window)
        rows.append(row + peers(run, start, start + window))
    return Table(list(COURSE), rows)


def counts(found: list[journeys.Journey]) -> list:
    """The columns of a row that are about its requests."""
    outcomes = collections.Counter(one.outcome for one in found)
    hopeless = [one for one in found if one.hopeless]
    failed = len(found) - sum(
        outcomes[known] for known in ("complete", "not-run", "cancelled")
    )
    expected = [one.expected for one in found if one.reading() is not None]
    reading = [one.reading() for one in found]
    return [
        len(found),
        outcomes["complete"],
        len(hopeless),
        outcomes["not-run"] - len(hopeless),
        failed,
        outcomes["cancelled"],
        mean(expected),
        mean(reading),
        high(expected),
        high(reading),
        mean([one.generating() for one in found]),
    ]


def engines(run: journeys.Run, start: float, end: float) -> list:
    """The columns of a row that are about the engines, at its end."""
    readers, generators = None, None
    for split in run.splits:
        if split.at >= end:
            break
        readers, generators = split.readers, split.generators
    orders = len([at for at in run.orders if start <= at < end])
    return [readers, generators, orders]


def peers(run: journeys.Run, start: float, end: float) -> list:
    """The columns of a row that are about what nodes tell each other.

    How often a node chose another relay, how often one doubted what it was
    told, and calls to the store in the lines of that time, each of which
    speaks for some seconds before it.
    """
    found = [0, 0, 0]
    for at, place, count in run.told:
        if start <= at < end:
            found[place] += count
    return found


def mean(values: list[float | None]) -> float | None:
    """The mean of what is known; None where nothing is."""
    known = [value for value in values if value is not None]
    return round(statistics.fmean(known), 3) if known else None


def high(values: list[float | None]) -> float | None:
    """What nine of ten of the known values do not exceed."""
    known = sorted(value for value in values if value is not None)
    if not known:
        return None
    return round(known[math.ceil(0.9 * len(known)) - 1], 3)


def plot(run: journeys.Run, path: pathlib.Path) -> None:
    """Draws the course of a run as a PNG file."""
    # Imported here: it takes half a second, which the table does not need.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    table = course(run)
    column = columns_of(table)
    seconds = column("second")
    figure, panels = pyplot.subplots(3, 1, figsize=PLOT_SIZE, sharex=True)
    names = ("complete", "hopeless", "refused", "failed", "left")
    panels[0].stackplot(seconds, *map(column, names), labels=names)
    panels[0].set_ylabel("requests by end")
    for name in ("expected", "reading", "generating"):
        panels[1].plot(seconds, column(name), label=name)
    panels[1].set_ylabel("mean seconds")
    for name in ("readers", "generators", "orders"):
        panels[2].step(seconds, column(name), where="post", label=name)
    panels[2].set_ylabel("engines")
    panels[2].set_xlabel("seconds since the first request")
    for panel in panels:
        panel.legend(loc="upper right", fontsize="small")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def columns_of(table: Table) -> Callable[[str], list[float]]:
    """Gives a table's columns by name, with nothing as not a number."""

    def column(name: str) -> list[float]:
        place = table.columns.index(name)
        found = [row[place] for row in table.rows]
        return [math.nan if value is None else value for value in found]

    return column
