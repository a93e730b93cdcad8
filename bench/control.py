"""Measures the time from a lease holder's death to the next order.

``python -m bench.control --runs 7`` kills the node that holds the lease of
a service of two engines, has an operator order a role change through another
node at once, and takes the time until the engine accepts that order. The
node is started again at once, as a platform would replace its VM; for
engines that check no tokens this is the proof that the old one is gone.
"""

import statistics
import time

import click
from features.support import control_fleet
from features.support import deployments
from features.support import fleets
import msgspec

from gypsumfold import settings as settings_module

ENGINE = "lm-1"
ROLES = ("decode", "mixed")
# Most seconds by which the kill is moved against the renewals.
PHASE = 2.0
# Seconds; far above the quarantine and a lease together.
LIMIT = 120.0


class Bench:
    """A fleet whose holder is killed again and again."""

    def __init__(self, kind: str, seed: int):
        self.kind = kind
        self.fleet = fleets.Fleet("bench-control", seed)
        self.fleet.start_platform()
        for name in control_fleet.ENGINES:
            checks = kind == "checking"
            self.fleet.start_engine(name, checks_tokens=checks, speed=10.0)
        control = msgspec.structs.asdict(settings_module.ControlSection())
        self.fleet.start_nodes(*control_fleet.NODES, control=control)
        deployments.declare(self.fleet)

    def holder(self, node) -> str:
        """Names the holder, once no earlier one matters to the engines."""
        for lease in control_fleet.show(self, "leases", node):
            doubted = lease["in_doubt"] and self.kind == "ignoring"
            if not lease["released"] and not doubted:
                return lease["node"]
        return ""

    def measure(self, role: str) -> float:
        """Kills the holder and gives the seconds to the next order."""
        fleet = self.fleet
        first = fleet["entry-1"]
        fleet.until(lambda: self.holder(first), LIMIT)
        holder = fleet[self.holder(first)]
        time.sleep(fleet.random.random() * PHASE)
        others = [n for n in fleet.nodes.values() if n is not holder]
        count = len(control_fleet.taken(self, ENGINE))
        killed = time.time()
        holder.kill()
        holder.restart()
        control_fleet.order(self, ENGINE, role, others[0])
        fleet.until(
            lambda: len(control_fleet.taken(self, ENGINE)) > count, LIMIT
        )
        record = control_fleet.taken(self, ENGINE)[-1]
        control_fleet.until_role(self, ENGINE, role)
        holder.until_ready("/ready")
        deployments.until_open(fleet, ENGINE)
        return record["arrival"] - killed


@click.command()
@click.option("--runs", default=7, help="Kills for each kind of engine.")
@click.option("--seed", default=1, help="Of the phase of each kill.")
def main(runs: int, seed: int) -> None:
    """Print seconds from a holder's kill to the next accepted order."""
    for kind in ("checking", "ignoring"):
        bench = Bench(kind, seed)
        try:
            found = [bench.measure(ROLES[n % 2]) for n in range(runs)]
        finally:
            bench.fleet.close()
        print(
            f"{kind}: median {statistics.median(found):.2f} s,"
            f" least {min(found):.2f} s, most {max(found):.2f} s,"
            f" {runs} kills: {' '.join(f'{each:.2f}' for each in found)}",
            flush=True,
        )


if __name__ == "__main__":
    main()
