"""Steps on the decisions, played without processes."""

import statistics

import behave
from features.support import patterns
from features.support import variants


@behave.given('the load pattern "{name}"')
def step_pattern(context, name):
    context.pattern = patterns.PATTERNS[name]


@behave.when(
    "decisions are taken by the baseline, without {part}, and by the policy"
)
def step_play(context, part):
    context.baseline = context.pattern(variants.baseline)
    context.without = context.pattern(variants.without(part))
    context.policy = context.pattern(variants.policy)


@behave.then("only the policy reaches a share of {bound:f}")
def step_reaches(context, bound):
    figures = (context.baseline, context.without, context.policy)
    assert context.baseline < bound, figures
    assert context.without < bound, figures
    assert context.policy >= bound, figures


@behave.when("decisions are taken by the policy alone")
def step_play_policy(context):
    fleets = []
    context.pattern(variants.policy, fleets.append)
    answers = fleets[0].answers.values()
    context.refused = [one for one in answers if one.refused is not None]
    assert len(context.refused) > 100, len(context.refused)


@behave.then(
    "eight in ten of the refused were told within a quarter of their time"
)
def step_told(context):
    parts = []
    for one in context.refused:
        patience = one.request.deadline - one.request.arrival
        parts.append((one.refused - one.request.arrival) / patience)
    eighth = statistics.quantiles(parts, n=10)[7]
    assert eighth <= 0.25, eighth


@behave.then(
    "every refusal came before the deadline, with a spread of times to return"
)
def step_spread(context):
    for one in context.refused:
        assert one.refused < one.request.deadline, one
        assert one.retry_after >= 1.0, one
    times = {round(one.retry_after, 3) for one in context.refused}
    assert len(times) > len(context.refused) / 2, len(times)
