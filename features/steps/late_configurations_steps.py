"""Steps on when gateways put configurations in force, under virtual time."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

import behave
from features.steps import store_loss_steps
from features.support import virtual_gateways

from gypsumfold.decisions import polling
from gypsumfold.decisions import read_timeouts

# Seconds after its confirmation at which a version must be in force, and of
# undisturbed contact with the store before that.
APPLIED = 2.0
CONTACT = 3.0
# Seconds of one play after all gateways know everything.
PLAY = 24.0
# Seconds between two versions, and between two disturbances.
CHANGES = (0.3, 1.6)
DISTURBANCES = (4.0, 7.0)
# Seconds for which the store turns gateways away.
TURNED_AWAY = (1.0, 6.0)
DATA_CENTRES = 3
# Seconds after which a replica that left must get no more, and how many leave
# in a play.
LEAVING = 2.0
LEAVERS = 4


class Confirmed(NamedTuple):
    """A version that the store has confirmed."""

    version: int
    at: float


class Watched:
    """What must be in force where, on one site.

    Attributes:
        harmed: When each gateway was last disturbed.
        late: Versions that were late, with gateway and seconds.
    """

    def __init__(self, site: virtual_gateways.Site):
        self.site = site
        self.confirmed: list[Confirmed] = []
        self.harmed: dict[str, float] = {}
        self.late: list[tuple] = []

    async def change(self) -> None:
        """Writes version after version."""
        version = store_loss_steps.OLDER
        while True:
            await asyncio.sleep(self.site.rng.uniform(*CHANGES))
            version += self.site.rng.randint(1, 4)
            self.site.configure(version)
            self.confirmed.append(Confirmed(version, self.site.clock()))

    def harm(self, names: list[str]) -> None:
        """Notes that gateways are disturbed now."""
        for name in names:
            self.harmed[name] = self.site.clock()

    def look(self) -> None:
        """Looks at each gateway in touch."""
        now = self.site.clock()
        due = 0
        for confirmed in self.confirmed:
            if confirmed.at <= now - APPLIED:
                due = confirmed.version
        for name, node in self.site.nodes.items():
            if now - self.harmed.get(name, now) < CONTACT:
                continue
            version = node.gateway.configurations.version()
            if version < due:
                self.late.append((round(now, 2), name, version, due))


async def silence(watched: Watched, share: float) -> None:
    """Lets a share of all open connections to the store go silent."""
    site = watched.site
    for node in site.nodes.values():
        node.path.silence(share, site.rng)
    watched.harm(list(site.nodes))


async def turn_away(watched: Watched) -> None:
    """Lets the store answer a third of the gateways not at all for a while."""
    site = watched.site
    names = site.rng.sample(list(site.nodes), len(site.nodes) // 3)
    site.cut(names)
    end = site.clock() + site.rng.uniform(*TURNED_AWAY)
    while site.clock() < end:
        watched.harm(names)
        await asyncio.sleep(virtual_gateways.STEP / 2)
    watched.harm(names)
    site.heal(names)


async def kill_relays(watched: Watched) -> None:
    """Kills the gateways that relay for most others."""
    site = watched.site
    relays = []
    for name, node in site.nodes.items():
        gossip = node.gateway.gossip
        if gossip.choice.relay is None:
            relays.append((len(gossip.relaying.subscribers), name))
    relays.sort()
    await site.kill(*(name for _, name in relays[-2:]))


TROUBLES: dict[str, Callable] = {
    "all connections to the store silent": lambda w: silence(w, 1.0),
    "half the connections silent": lambda w: silence(w, 0.5),
    "one connection in four silent": lambda w: silence(w, 0.25),
    "a third turned away by the store": turn_away,
    "gateways that are killed": kill_relays,
}


@behave.then(
    "in each of {plays:d} plays no version is late on any of {nodes:d} "
    "gateways with {trouble}"
)
def step_in_time(context, plays, nodes, trouble):
    async def story(site, found):
        watched = Watched(site)
        await store_loss_steps.settled(site, nodes, DATA_CENTRES)
        watched.harmed = dict.fromkeys(site.nodes, site.clock() - CONTACT)
        changes = asyncio.get_running_loop().create_task(watched.change())
        site.watched = watched.look
        end = site.clock() + PLAY
        while site.clock() < end:
            await site.pass_time(site.rng.uniform(*DISTURBANCES))
            await TROUBLES[trouble](watched)
        await site.pass_time(CONTACT + APPLIED)
        changes.cancel()
        found += watched.late

    store_loss_steps.play(plays, story)


@behave.then(
    "in each of {plays:d} plays none of {nodes:d} gateways uses a replica that "
    "has left for too long, with {trouble}"
)
def step_left(context, plays, nodes, trouble):
    async def story(site, found):
        watched = Watched(site)
        await store_loss_steps.settled(site, nodes, DATA_CENTRES)
        leavers = [f"leaver-{number}" for number in range(LEAVERS)]
        site.register(*leavers)
        await site.pass_time(CONTACT)
        for leaver in leavers:
            await TROUBLES[trouble](watched)
            await site.pass_time(site.rng.uniform(0.0, CONTACT))
            left_at = site.clock()
            site.unregister(leaver)
            due = max([left_at + LEAVING, *in_touch_again(watched)])
            await site.pass_time(due - site.clock())
            for name in site.using(leaver):
                found.append((round(site.clock(), 2), name, leaver))

    store_loss_steps.play(plays, story)


def in_touch_again(watched: Watched) -> list[float]:
    """When the gateways that were disturbed are in touch again."""
    return [at + CONTACT for at in watched.harmed.values()]


@behave.then(
    "a read of the store that waits behind a pause of 0 to {longest:g} seconds "
    "is repeated and answered within {contact:g} seconds of the moment at "
    "which its connection falls silent"
)
def step_bound(context, longest, contact):
    bounds = read_timeouts.derive(contact)
    for step in range(int(longest * 20) + 1):
        pause = min(step / 20, bounds.wait)
        wait = read_timeouts.wait_after(pause, 100.0, bounds)
        for chance in (0.0, 0.5, 1.0):
            took = wait + bounds.answer
            retry = polling.retry_delay(1, chance, took)
            lateness = pause + took + retry + bounds.answer
            assert lateness <= contact, (pause, wait, chance, lateness)
