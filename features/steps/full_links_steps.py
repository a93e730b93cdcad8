"""Steps on gateways whose links are small, under virtual time."""

import asyncio
from unittest import mock

import behave
from features.steps import store_loss_steps
from features.support import virtual_callers
from features.support import virtual_engines

from gypsumfold.decisions import bandwidth as bandwidth_module
from gypsumfold.decisions import members as members_module
from gypsumfold.gateway import settings
from gypsumfold.gateway.peers import messages
from gypsumfold.gateway.peers import relaying
from gypsumfold.gateway.peers import seals
from gypsumfold.gateway.peers import sending
from gypsumfold.gateway.peers import summaries

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


@behave.then(
    "in at least {least:d} of {count:d} data centres of {small:d} nodes with "
    "{slow:g} Mbit/s and {large:d} with {fast:g} one of the two comes first"
)
def step_ranked(context, least, count, small, slow, large, fast):
    first = 0
    for number in range(count):
        nodes = []
        for place in range(small + large):
            link = fast if place < large else slow
            section = settings.NodeSection(
                f"dc-{number}-{place}", "dc", link_mbps=link
            )
            nodes.append((section, link))
        found = []
        for section, _ in nodes:
            found.append(
                members_module.Member(
                    section.name,
                    section.name,
                    "dc",
                    ("h", 1),
                    section.relay_capacity,
                )
            )
        members = members_module.Members(found[0])
        for member in found[1:]:
            members.add(member, 0.0)
        best = members.ranked("dc")[0]
        links = {section.name: link for section, link in nodes}
        first += links[best.name] == fast
    assert first >= least, first


@behave.given("a relay of {nodes:d} nodes behind a link of {mbps:g} Mbit/s")
def step_relay(context, nodes, mbps):
    context.bandwidth = bandwidth_module.Bandwidth(
        mbps, bandwidth_module.SUMMARIES_SHARE
    )
    context.sent = []
    member = members_module.Member("m", "n", "dc", ("h", 1))
    sender = sending.Sender(members_module.Members(member), seals.Sealer([]))
    sender.transport = mock.Mock(
        sendto=lambda data, address: context.sent.append(data)
    )
    context.relaying = relaying.Relaying(sender.members)
    context.summaries = summaries.Summaries(
        context.relaying,
        mock.Mock(site_totals=lambda now: messages.EngineLoads({}, {}, {}, {})),
        sender,
        mock.Mock(**{"roles.changing_until": {}}),
        context.bandwidth,
    )
    for number in range(nodes):
        name = f"node-{number}"
        context.relaying.receive_report(
            members_module.Member(name, name, "dc", ("h", number)),
            messages.Report(
                messages.Contact(name, name, "dc"),
                1,
                messages.SUBSCRIBE_ALL,
                messages.EngineLoads({}, {}, {}, {}),
                messages.Updates(),
            ),
            0.0,
        )


@behave.when(
    "{many:d} prompts of {few_tokens:d} shared tokens and {few:d} of "
    "{many_tokens:d} come between two summaries"
)
def step_prompts(context, many, few_tokens, few, many_tokens):
    context.shared = many_tokens
    outbox = context.relaying.node_outbox
    for number in range(few):
        outbox.add_placement(
            messages.Placement("i-1", [number, 1], [many_tokens, number])
        )
    for number in range(many):
        outbox.add_placement(
            messages.Placement("i-2", [number, 2], [few_tokens, number])
        )
    due = context.relaying.due_subscribers(0.0)
    context.summaries.send_to_nodes(due, 26, False, 0.0)


@behave.then(
    "the summary names the {few:d} and at most {most:d} others, and the link's "
    "debt is below {milliseconds:g} milliseconds"
)
def step_named(context, few, most, milliseconds):
    named = {}
    for data in context.sent:
        summary = messages.decode_message(seals.Sealer([]).open(data))
        for placed in summary.updates.placements:
            named[tuple(placed.prefix_hashes)] = placed.tokens[0]
    valuable = [tokens for tokens in named.values() if tokens == context.shared]
    assert len(valuable) == few, valuable
    assert len(named) - few <= most, len(named)
    debt = -context.bandwidth.available(0.0) / context.bandwidth.rate
    assert debt < milliseconds / 1000, debt
