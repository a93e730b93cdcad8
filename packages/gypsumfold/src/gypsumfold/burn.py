"""Burn rates of service-level objectives, from counts on the log.

Each node counts its final answers per minute, service and urgency and
appends the counts to the log, where they survive the loss of any VM. A report
sums the records of all nodes. Method: multi-window, multi-burn-rate alerts
(The Site Reliability Workbook, chapter 5).
"""

import collections
from typing import NamedTuple

from gypsumfold import objects
from gypsumfold.logservice import records

# Length of one counting interval.
MINUTE_SECONDS = 60


class Row(NamedTuple):
    """Counts of one service and urgency in one minute on one node.

    Attributes:
        service: The service.
        urgency: Urgency of the requests.
        good: Number of answers that were complete and on time.
        bad: Number that were refused, failed, late or undetermined.
    """

    service: str
    urgency: int
    good: int
    bad: int


@records.register("burn-minute")
class BurnMinute(NamedTuple):
    """All counts of one node in one minute.

    A later record of the same incarnation and minute replaces an earlier
    one, so an append whose answer was lost can be repeated.

    Attributes:
        incarnation: The node's incarnation.
        minute: Minutes since the epoch.
        rows: The counts so far.
    """

    incarnation: str
    minute: int
    rows: tuple[Row, ...]


class Window(NamedTuple):
    """An alerting rule over two windows.

    Attributes:
        severity: How to alert: ``page`` or ``ticket``.
        long: Length of the long window in minutes.
        short: Length of the short window in minutes. It makes the alert end
            soon after the errors stop.
        rate: Burn rate that both windows must exceed.
    """

    severity: str
    long: int
    short: int
    rate: float


# Table 5-8 of the workbook: 2 % of a 30-day error budget in an hour, 5 % in
# six hours, 10 % in three days.
WINDOWS = (
    Window("page", 60, 5, 14.4),
    Window("page", 360, 30, 6.0),
    Window("ticket", 4320, 360, 1.0),
)


class Counters:
    """Counts the final answers of one node per minute.

    >>> counters = Counters("entry-1-0190")
    >>> counters.add("dispatch", 0, True, now=120.0)
    >>> counters.due(now=200.0)
    [BurnMinute(incarnation='entry-1-0190', minute=2, rows=(...))]
    """

    def __init__(self, incarnation: str):
        self.incarnation = incarnation
        self.minutes: dict[int, collections.Counter] = {}
        self.dirty: set[int] = set()

    def add(self, service: str, urgency: int, good: bool, now: float) -> None:
        """Counts one final answer.

        Args:
            service: The service.
            urgency: Urgency of the request.
            good: Whether the answer was complete and on time.
            now: Seconds since the epoch.
        """
        minute = int(now // MINUTE_SECONDS)
        counts = self.minutes.setdefault(minute, collections.Counter())
        counts[service, urgency, good] += 1
        self.dirty.add(minute)

    def due(self, now: float) -> list[BurnMinute]:
        """Returns the records that must be appended.

        Args:
            now: Seconds since the epoch.

        Returns:
            One record for each minute with new counts. They stay due until
            `mark_appended` is called with them.
        """
        return [self.record(minute) for minute in sorted(self.dirty)]

    def mark_appended(self, batch: list[BurnMinute], now: float) -> None:
        """Marks records as appended and drops minutes that have ended."""
        current = int(now // MINUTE_SECONDS)
        for record in batch:
            if record != self.record(record.minute):
                continue
            self.dirty.discard(record.minute)
            if record.minute < current:
                del self.minutes[record.minute]

    def record(self, minute: int) -> BurnMinute:
        """Builds the record of one minute."""
        counts = self.minutes.get(minute, {})
        rows = []
        for service, urgency in sorted({key[:2] for key in counts}):
            good = counts[service, urgency, True]
            bad = counts[service, urgency, False]
            rows.append(Row(service, urgency, good, bad))
        return BurnMinute(self.incarnation, minute, tuple(rows))


class Ledger:
    """Sums the records of all nodes.

    >>> ledger = Ledger()
    >>> ledger.apply(entry)
    >>> ledger.series("dispatch", 0)
    {2: (1, 0)}
    """

    def __init__(self):
        self.latest: dict[tuple[str, int], BurnMinute] = {}

    def apply(self, entry: records.Entry) -> None:
        """Adds the records of one entry of the burn stream."""
        for record in entry.records:
            if isinstance(record, BurnMinute):
                self.latest[record.incarnation, record.minute] = record

    def series(self, service: str, urgency: int) -> dict[int, tuple[int, int]]:
        """Returns (good, bad) by minute for one service and urgency."""
        found: dict[int, tuple[int, int]] = {}
        for record in self.latest.values():
            for row in record.rows:
                if (row.service, row.urgency) != (service, urgency):
                    continue
                good, bad = found.get(record.minute, (0, 0))
                found[record.minute] = (good + row.good, bad + row.bad)
        return dict(sorted(found.items()))


class Rate(NamedTuple):
    """The burn rates of one rule and whether it alerts.

    Attributes:
        window: The rule.
        long: Burn rate over the long window; 1.0 uses up the error budget
            exactly at the end of the objective's period.
        short: Burn rate over the short window.
        alert: Whether both exceed the rule's rate.
    """

    window: Window
    long: float
    short: float
    alert: bool


class Objective(NamedTuple):
    """One objective in a report.

    Attributes:
        name: Name of the declared objective.
        service: Its service.
        urgency: Its urgency.
        target: Fraction of requests that must be good.
        within: Time limit in seconds for the first token, or for the answer
            of a plain call.
        good: Good requests in the longest window.
        bad: Bad requests in the longest window.
        rates: One entry for each rule.
        series: (minute, good, bad), sorted by minute.
    """

    name: str
    service: str
    urgency: int
    target: float
    within: float
    good: int
    bad: int
    rates: tuple[Rate, ...]
    series: tuple[tuple[int, int, int], ...]


class Report(NamedTuple):
    """The burn report.

    Attributes:
        made: Time of the report, in seconds since the epoch.
        since: First minute (since the epoch) with any count; 0 for none.
        objectives: The objectives, sorted by name.
    """

    made: float
    since: int
    objectives: tuple[Objective, ...]


def report(
    ledger: Ledger, declared: dict[str, objects.Objective], now: float
) -> Report:
    """Builds the burn report.

    Args:
        ledger: The records that the log still keeps.
        declared: The objectives in force, by name.
        now: Seconds since the epoch.

    Returns:
        The report. A window longer than the log's retention covers only the
        minutes that are kept; ``since`` is the first of them.
    """
    found = []
    first = []
    for name, objective in sorted(declared.items()):
        series = ledger.series(objective.service, objective.urgency)
        first.extend(list(series)[:1])
        found.append(evaluate_objective(name, objective, series, now))
    return Report(now, min(first, default=0), tuple(found))


def evaluate_objective(
    name: str,
    objective: objects.Objective,
    series: dict[int, tuple[int, int]],
    now: float,
) -> Objective:
    """Computes the report entry of one objective."""
    rates = []
    for window in WINDOWS:
        long = burn_rate(series, objective.target, window.long, now)
        short = burn_rate(series, objective.target, window.short, now)
        alert = min(long, short) > window.rate
        rates.append(Rate(window, long, short, alert))
    longest = max(window.long for window in WINDOWS)
    good, bad = total(series, longest, now)
    return Objective(
        name,
        objective.service,
        objective.urgency,
        objective.target,
        objective.within,
        good,
        bad,
        tuple(rates),
        tuple((minute, *counts) for minute, counts in series.items()),
    )


def total(
    series: dict[int, tuple[int, int]], minutes: int, now: float
) -> tuple[int, int]:
    """Sums (good, bad) over the last minutes, including the current one."""
    current = int(now // MINUTE_SECONDS)
    good = bad = 0
    for minute, counts in series.items():
        if not current - minutes < minute <= current:
            continue
        good += counts[0]
        bad += counts[1]
    return good, bad


def burn_rate(
    series: dict[int, tuple[int, int]],
    target: float,
    minutes: int,
    now: float,
) -> float:
    """Computes a burn rate: the bad fraction divided by the allowed one.

    Args:
        series: (good, bad) by minute.
        target: Fraction that must be good, below 1.
        minutes: Length of the window that ends now.
        now: Seconds since the epoch.

    Returns:
        The rate; 0 if there were no requests.
    """
    good, bad = total(series, minutes, now)
    if not good + bad:
        return 0.0
    return bad / (good + bad) / (1.0 - target)
