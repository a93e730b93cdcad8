"""Role planning on swinging mixes, as a fluid: a trial without processes.

``python -m bench.swings`` prints, for each length of stay, the share of the
demand served and the number of role changes in 1,200 s.
"""

import click
from features.support import swinging

from gypsumfold.decisions import roles

STAYS = (30, 120, 300)
WEIGHTS = (0.0, 2.0, 10.0, 30.0, 100.0)


@click.command()
def main() -> None:
    """Play all stays with all planners."""
    for stay in STAYS:
        planners = {
            "static": roles.StaticRoles(),
            "following": swinging.following(),
        }
        for weight in WEIGHTS:
            planners[f"weight {weight:g}"] = swinging.planner(weight)
        for name, planner in planners.items():
            served, changes = swinging.play(planner, stay)
            click.echo(f"| {stay} s | {name} | {served:.3f} | {changes} |")


if __name__ == "__main__":
    main()
