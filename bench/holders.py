"""Measures how long a site has no holder of the authority.

Whole gateways in virtual time. Usage: ``python -m bench.holders [NODES ...]``.
"""

import sys
import time
from typing import NamedTuple

from features.support import virtual_gateways

SEED = 7
# Seconds before the first change, and from each change to the next.
SETTLING = 12.0
BETWEEN = 12.0
CHANGES = 4
# Gateways from which on there is one change: a play takes minutes.
MANY = 200
# Seconds until a killed gateway starts again, and for which one is cut off.
RESTART = 1.0
CUT = 6.0
# From this many gateways on, some read the store for the others.
RELAY_CENTRES = 4


class Gaps(NamedTuple):
    """Seconds without a holder.

    Attributes:
        change: What happened to the holder.
        each: Seconds without a holder after each change.
        together: Seconds in which two gateways could act at once.
    """

    change: str
    each: list[float]
    together: float


class Play:
    """A site whose holder is disturbed several times.

    >>> Play(6, "kill").run()
    Gaps(change='kill', each=[...], together=0.0)
    """

    def __init__(self, nodes: int, change: str):
        self.site = virtual_gateways.Site(SEED)
        self.nodes = nodes
        self.change = change
        self.without = 0.0
        self.together = 0.0
        self.each: list[float] = []

    def run(self) -> Gaps:
        """Plays it."""
        self.site.play(self.story())
        return Gaps(self.change, self.each, self.together)

    def holders(self) -> list[str]:
        """The gateways that could act now."""
        found = []
        for name, node in self.site.nodes.items():
            if node.gateway.leadership.token(self.site.clock()) is not None:
                found.append(name)
        return found

    def look(self) -> None:
        """Counts a step in which nobody or several could act."""
        count = len(self.holders())
        if not count:
            self.without += virtual_gateways.STEP
        if count > 1:
            self.together += virtual_gateways.STEP

    async def story(self) -> None:
        """Disturbs one holder after the other."""
        self.site.configure(3)
        self.site.start(self.nodes, RELAY_CENTRES)
        await self.site.pass_time(SETTLING)
        self.site.watched = self.look
        for _ in range(CHANGES if self.nodes < MANY else 1):
            self.without = 0.0
            holders = self.holders()
            end = self.site.clock() + BETWEEN
            if holders:
                await self.disturb(holders[0])
            await self.site.pass_time(end - self.site.clock())
            self.each.append(round(self.without, 2))

    async def disturb(self, name: str) -> None:
        """Disturbs the holder."""
        node = self.site.nodes[name]
        if self.change == "divide":
            self.site.log.divide()
        elif self.change == "stop":
            await node.gateway.leadership.stop()
            await self.site.kill(name)
            await self.site.pass_time(RESTART)
            self.site.start_again(node)
        elif self.change == "kill":
            await self.site.kill(name)
            await self.site.pass_time(RESTART)
            self.site.start_again(node)
        elif self.change == "power":
            self.site.dark.add(node.address)
            await self.site.kill(name)
        else:
            self.site.cut([name])
            await self.site.pass_time(CUT)
            self.site.heal([name])


def main() -> None:
    """Prints a table."""
    sizes = [int(one) for one in sys.argv[1:]] or [6, 63, 390]
    print("| gateways | change | seconds without | two at once | took |")
    print("|---|---|---|---|---|")
    for nodes in sizes:
        for change in ("stop", "divide", "cut", "kill", "power"):
            began = time.perf_counter()
            found = Play(nodes, change).run()
            seconds = ", ".join(f"{one:.2f}" for one in found.each)
            took = time.perf_counter() - began
            print(
                f"| {nodes} | {change} | {seconds} | {found.together:.2f} "
                f"| {took:.0f} s |",
                flush=True,
            )


if __name__ == "__main__":
    main()
