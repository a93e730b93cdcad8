"""Steps on gateways whose links are small, under virtual time."""

import asyncio

import behave
from features.steps import store_loss_steps
from features.support import virtual_callers
from features.support import virtual_engines

# Bytes a second of a link of 10 Mbit/s, and the share of it that gateways may
# use for what they tell each other, over a second.
LINK = 10e6 / 8
MOST_SHARE = 0.5
# Requests a second for each gateway.
RATE = 6.0
# Seconds of one play.
PLAY = 12.0
DATA_CENTRES = 3
# Replicas for each gateway: engines that read and that generate, and plain
# ones.
READERS = 0.4
GENERATORS = 0.2
PLAIN = 0.2


async def killing(fleet):
    """Kills a replica of each kind again and again."""
    while True:
        await asyncio.sleep(1.0)
        for stage in ("prefill", "decode", ""):
            fleet.kill(stage)


async def resetting(fleet):
    """Lets many answers be reset, by turns."""
    while True:
        fleet.reset_share = 0.2
        await asyncio.sleep(2.0)
        fleet.reset_share = 0.02
        await asyncio.sleep(1.0)


TROUBLES = {
    "many requests and answers that are reset": resetting,
    "replicas that are killed": killing,
    "no other trouble": None,
}


@behave.then(
    "in {plays:d} plays of {nodes:d} gateways with {trouble} no request "
    "reaches a replica after its caller has left, and none sends others more "
    "than half of its link"
)
def step_links(context, plays, nodes, trouble):
    async def story(site, found):
        site.link_rate = LINK
        site.fleet = virtual_engines.Fleet(
            site,
            max(2, int(nodes * READERS)),
            max(2, int(nodes * GENERATORS)),
            max(2, int(nodes * PLAIN)),
        )
        callers = virtual_callers.Callers(site, site.fleet)
        callers.configure(store_loss_steps.OLDER)
        site.fleet.start()
        site.start(nodes, DATA_CENTRES)
        await site.pass_time(6.0)
        callers.keep_asking(RATE * nodes)
        disturb = TROUBLES[trouble]
        if disturb is not None:
            site.fleet.spawn(disturb(site.fleet))
        found += await busiest(site)
        found += site.fleet.late[:5]

    store_loss_steps.play(plays, story)


async def busiest(site):
    """Passes the time; the gateways that send others too much a second."""
    found = []
    before = sent(site)
    end = site.clock() + PLAY
    while site.clock() < end:
        await site.pass_time(1.0)
        after = sent(site)
        for name, size in after.items():
            share = (size - before.get(name, 0)) / LINK
            if share > MOST_SHARE:
                found.append((round(site.clock(), 1), name, round(share, 2)))
        before = after
    return found


def sent(site):
    """Bytes that each gateway has sent to others."""
    found = {}
    for name, node in site.nodes.items():
        found[name] = node.gateway.gossip.sender.bytes_sent.total()
    return found
