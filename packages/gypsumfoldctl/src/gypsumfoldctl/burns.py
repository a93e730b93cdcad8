"""Renders the burn report as text, JSON or one HTML page."""

import datetime
import io
import math
import operator

import jinja2
import msgspec

from gypsumfold import burn

# Minutes of one bar or point in the plots, by the length of the window.
PLOT_MINUTES = 360
# Size of one plot in inches; 8 by 2 reads well beside its table.
PLOT_SIZE = (8.0, 2.0)


def document(report: burn.Report) -> dict:
    """Makes plain data of a report, with names for every member."""
    objectives = []
    for objective in report.objectives:
        members = objective._asdict()
        del members["series"]
        rates = []
        for rate in objective.rates:
            rates.append(
                {
                    "severity": rate.window.severity,
                    "long_minutes": rate.window.long,
                    "short_minutes": rate.window.short,
                    "limit": rate.window.rate,
                    "long": rate.long,
                    "short": rate.short,
                    "alert": rate.alert,
                }
            )
        members["rates"] = rates
        members["share_good"] = share_good(objective)
        objectives.append(members)
    since = report.since * burn.MINUTE_SECONDS or None
    return {"made": report.made, "since": since, "objectives": objectives}


def share_good(objective: burn.Objective) -> float | None:
    """Gives the share of good requests; None where there was none."""
    total = objective.good + objective.bad
    return objective.good / total if total else None


def json(report: burn.Report) -> str:
    """Renders a report as JSON."""
    encoded = msgspec.json.encode(document(report))
    return msgspec.json.format(encoded, indent=2).decode()


def text(report: burn.Report) -> str:
    """Renders a report as text, one line for each objective and rule."""
    lines = [f"burn report of {moment(report.made)}, {covered(report)}"]
    for objective in report.objectives:
        lines.append("")
        lines.append(
            f"{objective.name}: service {objective.service}, urgency "
            f"{objective.urgency}, {objective.target:.2%} within "
            f"{objective.within:g} s"
        )
        lines.append(
            f"  {percent(share_good(objective))} good of "
            f"{objective.good + objective.bad} requests"
        )
        for rate in objective.rates:
            lines.append(f"  {rate_line(rate)}")
    if not report.objectives:
        lines.append("no objective is declared")
    return "\n".join(lines)


def rate_line(rate: burn.Rate) -> str:
    """Describes one rule in a line."""
    window = rate.window
    state = window.severity.upper() if rate.alert else "ok"
    return (
        f"{state:6} burn {rate.long:6.1f} over {duration(window.long)}, "
        f"{rate.short:6.1f} over {duration(window.short)}, "
        f"{window.severity} above {window.rate:g}"
    )


def duration(minutes: int) -> str:
    """Writes minutes as operators say them."""
    if minutes % 1440 == 0:
        return f"{minutes // 1440} d"
    if minutes % 60 == 0:
        return f"{minutes // 60} h"
    return f"{minutes} min"


def percent(share: float | None) -> str:
    """Writes a share; a dash where there is none."""
    return "-" if share is None else f"{share:.2%}"


def moment(seconds: float) -> str:
    """Writes seconds since the epoch as a time in UTC."""
    found = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return f"{found:%Y-%m-%d %H:%M:%S} UTC"


def covered(report: burn.Report) -> str:
    """Says since when there are counts."""
    if not report.since:
        return "no request was counted"
    return f"counts since {moment(report.since * burn.MINUTE_SECONDS)}"


def html(report: burn.Report) -> str:
    """Renders a report as one page that needs no other file."""
    environment = jinja2.Environment(
        loader=jinja2.PackageLoader("gypsumfoldctl"), autoescape=True
    )
    environment.filters["percent"] = percent
    environment.filters["duration"] = duration
    plots = {}
    for objective in report.objectives:
        plots[objective.name] = plot(objective, report.made)
    return environment.get_template("burn.html").render(
        report=report,
        plots=plots,
        made=moment(report.made),
        covered=covered(report),
        share_good=share_good,
    )


def plot(objective: burn.Objective, now: float) -> str:
    """Draws requests a minute, good and bad, of the last hours as SVG."""
    # matplotlib takes half a second to load; only this page needs it.
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    counts = {minute: (good, bad) for minute, good, bad in objective.series}
    current = int(now // burn.MINUTE_SECONDS)
    first = max(min(counts, default=current), current - PLOT_MINUTES)
    minutes = range(first, current + 1)
    ages = [minute - current for minute in minutes]
    good = [counts.get(minute, (0, 0))[0] for minute in minutes]
    bad = [counts.get(minute, (0, 0))[1] for minute in minutes]
    figure, axes = pyplot.subplots(figsize=PLOT_SIZE)
    axes.bar(ages, good, width=1.0, color="#4878a8", label="good")
    axes.bar(ages, bad, width=1.0, bottom=good, color="#c44e52", label="bad")
    axes.set_xlabel("minutes before the report")
    axes.set_ylabel("requests a minute")
    highest = max(map(operator.add, good, bad))
    axes.set_ylim(0, math.ceil(1.1 * highest) or 1)
    axes.legend(
        loc="lower right",
        bbox_to_anchor=(1.0, 1.0),
        ncols=2,
        frameon=False,
        fontsize="small",
    )
    written = io.StringIO()
    figure.savefig(written, format="svg", bbox_inches="tight")
    pyplot.close(figure)
    # The XML prologue does not belong into an HTML page.
    svg = written.getvalue()
    return svg[svg.index("<svg") :]


FORMATS = {"text": text, "json": json, "html": html}
