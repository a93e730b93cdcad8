"""Steps on removals that the store has deleted with its history."""

import json
import random

import behave
from features.support import made_up
from features.support import virtual_gateways

from gypsumfold.gateway import directory as directory_module
from gypsumfold.gateway import registrations as registrations_module
from gypsumfold.gateway import topic_watches
from gypsumfold.platform import names
from gypsumfold.platform import store as store_module

OFFSETS = {"app-1": 5, "app-2": 6}
REPLICAS = ("app-1", "app-2")
SETTLING = 6.0
# Seconds after which a gateway in touch sends nothing to who has left.
LEAVING = 2.0
# Seconds for which the gateways could find out, far below those between two
# full reads.
LOOK = 6.0


def record(name: str) -> store_module.Record:
    """A replica's entry."""
    entry = {**made_up.REGISTRATION, "service": "app", "stage": ""}
    value = json.dumps({**entry, "addr": f"10.0.0.{name[-1]}:8080"}).encode()
    return store_module.Record(name, value, OFFSETS[name])


@behave.given(
    "a gateway that has read the entries of app-1 at offset 5 and of app-2 at "
    "offset 6"
)
def step_read(context):
    context.site = virtual_gateways.Site(seed=1)

    async def story():
        context.directory = directory_module.Directory(random.Random(1))
        context.registrations = registrations_module.Registrations(
            context.directory, topic_watches.StoreState(3.0)
        )
        context.registrations.state.call_answered()
        context.registrations.update([record(name) for name in OFFSETS])

    context.site.play(story())


@behave.when("it reads all keys up to offset {end:d} where {what}")
def step_full(context, end, what):
    left = {
        "app-2, the last to write, has left": {"app-2"},
        "app-1 has left": {"app-1"},
        "both have left": {"app-1", "app-2"},
        "nobody has left": set(),
        "a relay has read app-2 later": {"app-2"},
    }[what]

    async def story():
        await context.site.pass_time(10.0)
        context.registrations.state.call_answered()
        records = [record(name) for name in OFFSETS if name not in left]
        context.registrations.replace(records, end)
        await context.site.pass_time(LEAVING)
        context.used = sorted(context.registrations.registry.values)

    context.site.play(story())


@behave.then("it uses {used}")
def step_used(context, used):
    wanted = [] if used == "nobody" else used.split(" and ")
    assert context.used == wanted, context.used


async def leave_last(site, found):
    """Has a replica leave that was the last to write; deletes the history."""
    site.configure(3)
    site.register(*REPLICAS)
    site.start(6, 3)
    await site.pass_time(SETTLING)
    topic = names.REGISTRATIONS_TOPIC
    site.pause(REPLICAS[1])
    # The gateways have read the last entry by then.
    await site.pass_time(2.0)
    site.unregister(REPLICAS[0])
    site.log.forget(topic)
    await site.pass_time(LOOK)
    found += site.using(REPLICAS[0])


@behave.then(
    "in each of {plays:d} plays none of {nodes:d} gateways in {centres:d} data "
    "centres uses a replica that left just before the history went"
)
def step_site(context, plays, nodes, centres):
    for seed in range(1, plays + 1):
        site = virtual_gateways.Site(seed)
        found = []
        site.play(leave_last(site, found))
        assert not found, (seed, found)
