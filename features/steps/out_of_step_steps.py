"""Steps on a gateway that hears nothing for a moment, in virtual time."""

import functools

import behave
from features.steps import stream_origins_steps
from features.support import virtual_callers
from features.support import virtual_engines
from features.support import virtual_gateways
from features.support import virtual_streams

from gypsumfold import exceptions
from gypsumfold.gateway import view_confirmations

# Seconds for which one version has served before, beyond the life of a stream.
STEADY = 35.0
RATE = 24.0
READERS = 6
GENERATORS = 4
ADDED = 4
# Seconds for which the gateway is out of step, and that follow.
CUT = 4.0
AFTER = 6.0
NEW = "v1.1"
LEAST = 20


def add_version(fleet: virtual_engines.Fleet) -> list[virtual_engines.Replica]:
    """Starts decode engines of another version beside those that serve."""
    added = []
    for _ in range(ADDED):
        place = 1 + max(one.place for one in fleet.replicas.values())
        added.append(virtual_engines.Replica(fleet, place, "lm", "decode", NEW))
        fleet.launch(added[-1])
    return added


def put_out_of_step(site, name: str, how: str) -> None:
    """Cuts a gateway off."""
    if how in (
        "cut off from everything but replicas",
        "cut off from the store",
    ):
        site.cut([name])
    if how != "cut off from the store":
        site.divide([name])


class Topic:
    """Follows the registrations; a read of them has a result."""

    def __init__(self, read):
        self.read = read

    async def read_now(self) -> bool:
        return await self.read()


@behave.when("the registrations were last known 0.5 s ago and {what}")
def step_age(context, what):
    origins = context.origins
    origins.registrations_age = lambda: 0.5

    async def read() -> bool:
        if what == "the store doesn't answer":
            raise exceptions.LogUnavailable("silent")
        if what == 'a read of the store shows "v2"':
            origins.directory.put(stream_origins_steps.replica("i-2", "v2"))
            return True
        assert what == "a read of the store confirms them", what
        return True

    confirmations = view_confirmations.ViewConfirmations([Topic(read)])
    origins.confirm_view = confirmations.confirm


@functools.cache
def play_one(seed: int, nodes: int, how: str, comes: float, stays: float):
    """Plays one seed; returns the streams of its callers."""

    async def story(site, found):
        site.fleet = virtual_engines.Fleet(site, READERS, GENERATORS, 2)
        callers = virtual_callers.Callers(site, site.fleet)
        callers.configure(3)
        site.fleet.start()
        site.start(nodes, 3)
        await site.pass_time(STEADY)
        streams = virtual_streams.StreamCallers(callers)
        streams.keep_asking(RATE)
        await site.pass_time(2.0)
        name = sorted(site.nodes)[0]
        put_out_of_step(site, name, how)
        await site.pass_time(comes)
        added = add_version(site.fleet)
        await site.pass_time(stays)
        for replica in added:
            replica.end()
        await site.pass_time(CUT)
        site.divide([])
        site.heal([name])
        await site.pass_time(AFTER)
        found.append(streams)

    site = virtual_gateways.Site(seed)
    found = []
    site.play(story(site, found))
    return found[0]


@behave.then(
    "in each of {plays:d} plays before {nodes:d} gateways of which one is "
    "{how}, a version that comes {comes:g} s later for {stays:g} s is never "
    "mixed with another"
)
def step_unmixed(context, plays, nodes, how, comes, stays):
    took_up = 0
    for seed in range(1, plays + 1):
        streams = play_one(seed, nodes, how, comes, stays)
        broken = streams.mixed() + streams.out_of_order()
        assert not broken, (
            f"seed {seed}: {len(broken)} of {len(streams.streams)} streams: "
            f"{broken[:5]}"
        )
        for one in streams.take_ups:
            took_up += one.version == NEW
    assert took_up >= LEAST, took_up
