"""Prints the catalogues of events and metrics as documentation pages.

``python -m gypsumfold.catalogues events`` prints docs/EVENTS.md, and
``metrics`` prints docs/METRICS.md; CI checks that the pages are up to date.
"""

import click

# Importing the node imports every module that defines events or metrics.
from gypsumfold import events
from gypsumfold import metrics
from gypsumfold import node as node_module


def events_page() -> str:
    """Renders docs/EVENTS.md."""
    lines = [
        "# Log events",
        "",
        "Each line that a node logs is one JSON object with the event's",
        "`number` and `event` name, `level`, `node` and `timestamp`. A number",
        "is never used again for another meaning. This page is printed by",
        "`python -m gypsumfold.catalogues events`.",
        "",
        "| number | event | level | meaning |",
        "|---|---|---|---|",
    ]
    for number, event in sorted(events.CATALOGUE.items()):
        lines.append(
            f"| {number} | `{event.name}` | {event.level} | {event.meaning} |"
        )
    return "\n".join(lines) + "\n"


def metrics_page() -> str:
    """Renders docs/METRICS.md."""
    lines = [
        "# Metrics",
        "",
        "Sent by statsd over UDP, each under the prefix of the settings. A",
        "label follows the name after a dot. This page is printed by",
        "`python -m gypsumfold.catalogues metrics`.",
        "",
        "| name | kind | meaning |",
        "|---|---|---|",
    ]
    for name, metric in sorted(metrics.CATALOGUE.items()):
        lines.append(f"| `{name}` | {metric.kind} | {metric.meaning} |")
    return "\n".join(lines) + "\n"


PAGES = {"events": events_page, "metrics": metrics_page}


@click.command()
@click.argument("page", type=click.Choice(sorted(PAGES)))
def main(page: str) -> None:
    """Print one PAGE."""
    # Uses the import, which fills the catalogues.
    assert node_module.Node
    click.echo(PAGES[page](), nl=False)


if __name__ == "__main__":
    main()
