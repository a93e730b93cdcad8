"""The load patterns of features/decisions.feature as a table.

In process, on the small engines of features/support: ``python -m
bench.patterns``. Share of the callers concerned with a whole answer on time:
the baseline, the policy without the part in question, and the policy.
"""

import click
from features.support import patterns
from features.support import variants

# The part without which each pattern is played.
PARTS = {
    "a burst": "limits",
    "a hot caller on one node": "fairness",
    "a hot caller on all nodes": "fairness",
    "a hot prefix": "placement",
    "a slow endpoint": "outliers",
    "an endpoint that fails at once": "outliers",
    "a busy engine that looks idle": "loads",
    "long jobs among short ones": "limits",
    "overload at twice the capacity": "admission",
    "an account that calls everything urgent": "fairness",
    "a retry storm after an outage": "limits",
}


@click.command()
def main() -> None:
    """Play all patterns."""
    for name, part in PARTS.items():
        play = patterns.PATTERNS[name]
        figures = [
            play(variants.baseline),
            play(variants.without(part)),
            play(variants.policy),
        ]
        shown = " | ".join(f"{figure:.3f}" for figure in figures)
        click.echo(f"| {name} | {part} | {shown} |")


if __name__ == "__main__":
    main()
