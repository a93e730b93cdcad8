"""Steps on the load that a gateway knows: prefixes in use, other gateways."""

import random

import behave
from features.support import virtual_gateways

from gypsumfold.decisions import prefix_usage


@behave.when(
    "{prompts:d} prompts share 200 prefixes of 5,000 tokens, each with a "
    "block of its own"
)
def step_prompts(context, prompts):
    rng = random.Random(1)
    prefixes = [rng.getrandbits(64) for _ in range(200)]
    context.usage = prefix_usage.PrefixUsage()
    for place in range(prompts):
        context.usage.expire(10.0 * place / prompts)
        hashes = [prefixes[place % 200], rng.getrandbits(64)]
        context.usage.record(f"i-{place % 9}", hashes, [5_000, 300])


@behave.then(
    "prefixes of 800,000 to 1,200,000 tokens are in use, and none 21 s later"
)
def step_in_use(context):
    engines = {f"i-{place}" for place in range(9)}
    found = context.usage.shared_tokens(engines)
    assert 800_000 <= found <= 1_200_000, found
    assert len(context.usage.uses) <= prefix_usage.MAX_PREFIXES
    context.usage.expire(31.0)
    assert context.usage.shared_tokens(engines) == 0


@behave.when("{few:d} of {count:d} gateways are cut off from the others")
def step_cut_off(context, few, count):
    site = virtual_gateways.Site(seed=1)
    context.hears = []

    async def story():
        site.start(count)
        await site.pass_time(8.0)
        names = list(site.nodes)[:few]
        for divided in ([], names, []):
            site.divide(divided)
            await site.pass_time(6.0)
            gossips = [site.nodes[name].gateway.gossip for name in names]
            leaders = [one for one in gossips if one.can_lead()]
            context.hears.append([one.hears_most_nodes() for one in leaders])

    site.play(story())


@behave.then(
    "no possible leader among them knows the load of most, until all are "
    "connected"
)
def step_hears(context):
    before, divided, after = context.hears
    assert all(before) and all(after), context.hears
    assert divided and not any(divided), context.hears
