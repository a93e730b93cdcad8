"""Service-level burn: counters per minute on the log, and their reading.

Each node counts the final answers of one minute by service and urgency and
appends the counts to the log, where they outlive every VM. A report adds up
what the log has. Method: multi-window, multi-burn-rate alerts (The Site
Reliability Workbook, chapter 5).
"""

import collections
from typing import NamedTuple

from gypsumfold import objects
from gypsumfold.logservice import records

# Seconds of one row of counts.
MINUTE_SECONDS = 60


class Row(NamedTuple):
    """Counts of one service and urgency in one minute on one node.

    Attributes:
        service: The service.
        urgency: Of the requests.
        good: Whole and on time.
        bad: Refused, failed, late or undetermined.
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
        incarnation: Of the node.
        minute: Minutes since the epoch.
        rows: The counts so far.
    """

    incarnation: str
    minute: int
    rows: tuple[Row, ...]


class Window(NamedTuple):
    """One alerting rule of two windows.

    Attributes:
        severity: What an operator should do: ``page`` or ``ticket``.
        long: Minutes of the long window.
        short: Minutes of the short one, which ends the alert soon.
        rate: Burn rate that both must exceed.
    """

    severity: str
    long: int
    short: int
    rate: float


# The workbook's table 5-8: 2 % of a 30-day budget in an hour, 5 % in six
# hours, 10 % in three days.
WINDOWS = (
    Window("page", 60, 5, 14.4),
    Window("page", 360, 30, 6.0),
    Window("ticket", 4320, 360, 1.0),
)


class Counters:
    """Counts the final answers of one node, minute by minute.

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
            urgency: Of the request.
            good: Whether it was whole and on time.
            now: Seconds since the epoch.
        """
        minute = int(now // MINUTE_SECONDS)
        counts = self.minutes.setdefault(minute, collections.Counter())
        counts[service, urgency, good] += 1
        self.dirty.add(minute)

    def due(self, now: float) -> list[BurnMinute]:
        """Gives the records that are to be appended now.

        Args:
            now: Seconds since the epoch.

        Returns:
            One record for each minute with new counts. They stay due until
            `appended`.
        """
        return [self.record(minute) for minute in sorted(self.dirty)]

    def mark_appended(self, batch: list[BurnMinute], now: float) -> None:
        """Notes that records are on the log and forgets past minutes."""
        current = int(now // MINUTE_SECONDS)
        for record in batch:
            if record != self.record(record.minute):
                continue
            self.dirty.discard(record.minute)
            if record.minute < current:
                del self.minutes[record.minute]

    def record(self, minute: int) -> BurnMinute:
        """Makes the record of one minute."""
        counts = self.minutes.get(minute, {})
        rows = []
        for service, urgency in sorted({key[:2] for key in counts}):
            good = counts[service, urgency, True]
            bad = counts[service, urgency, False]
            rows.append(Row(service, urgency, good, bad))
        return BurnMinute(self.incarnation, minute, tuple(rows))


class Ledger:
    """Adds up the records of all nodes.

    >>> ledger = Ledger()
    >>> ledger.apply(entry)
    >>> ledger.series("dispatch", 0)
    {2: (1, 0)}
    """

    def __init__(self):
        self.latest: dict[tuple[str, int], BurnMinute] = {}

    def apply(self, entry: records.Entry) -> None:
        """Takes one entry of the burn stream in."""
        for record in entry.records:
            if isinstance(record, BurnMinute):
                self.latest[record.incarnation, record.minute] = record

    def series(self, service: str, urgency: int) -> dict[int, tuple[int, int]]:
        """Gives (good, bad) by minute of one service and urgency."""
        found: dict[int, tuple[int, int]] = {}
        for record in self.latest.values():
            for row in record.rows:
                if (row.service, row.urgency) != (service, urgency):
                    continue
                good, bad = found.get(record.minute, (0, 0))
                found[record.minute] = (good + row.good, bad + row.bad)
        return dict(sorted(found.items()))


class Rate(NamedTuple):
    """The burn rates of one rule, and whether it alerts.

    Attributes:
        window: The rule.
        long: Burn rate over the long window; 1.0 spends the error budget
            in exactly the objective's period.
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
        name: As declared.
        service: Its service.
        urgency: Its urgency.
        target: Share of requests that must be good.
        within: Seconds until the first token or the answer.
        good: Good requests over the longest window.
        bad: Others.
        rates: One for each rule.
        series: Minute, good and bad, in order.
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
        made: Seconds since the epoch.
        since: First minute (since the epoch) with any count; 0 for none.
        objectives: By name.
    """

    made: float
    since: int
    objectives: tuple[Objective, ...]


def report(
    ledger: Ledger, declared: dict[str, objects.Objective], now: float
) -> Report:
    """Makes the burn report.

    Args:
        ledger: All that the log has.
        declared: The objectives in force, by name.
        now: Seconds since the epoch.

    Returns:
        The report. Windows that reach beyond what the log keeps count what
        is there; ``since`` tells.
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
    """Makes the entry of one objective."""
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
    """Adds up the last minutes, the current one included."""
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
    """Computes a burn rate: the share of bad requests over what is allowed.

    Args:
        series: (good, bad) by minute.
        target: Share that must be good, below 1.
        minutes: Of the window that ends now.
        now: Seconds since the epoch.

    Returns:
        The rate; 0 where there was no request.
    """
    good, bad = total(series, minutes, now)
    if not good + bad:
        return 0.0
    return bad / (good + bad) / (1.0 - target)
