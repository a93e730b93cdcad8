"""Steps on role changes and retries, played without processes."""

import random

import behave
from features.support import patterns
from features.support import swinging

from gypsumfold.decisions import retries
from gypsumfold.decisions import roles
from gypsumfold.decisions import types

SECONDS = 600


@behave.given("six engines before a mix that swings every {stay:d} seconds")
def step_mix(context, stay):
    context.stay = stay


@behave.when("the roles are static, follow every swing, and are planned")
def step_play(context):
    def play(planner):
        return swinging.play(planner, context.stay, SECONDS)

    context.static, _ = play(roles.StaticRoles())
    context.following, context.following_changes = play(swinging.following())
    context.planned, context.planned_changes = play(swinging.planner(0.0))


@behave.then("planned roles serve at least {share:f} of what static ones do")
def step_planned(context, share):
    assert context.planned >= share * context.static, vars(context)


@behave.then("roles that follow every swing serve less than {share:f} of it")
def step_following(context, share):
    assert context.following < share * context.static, context.following


@behave.then(
    "they take at most two thirds of the changes of following every swing"
)
def step_fewer(context):
    found = (context.planned_changes, context.following_changes)
    assert 3 * found[0] <= 2 * found[1], found


@behave.when("the roles are planned with a weight of 0, 10 and 100")
def step_weights(context):
    context.changes = []
    for weight in (0.0, 10.0, 100.0):
        planner = swinging.planner(weight)
        context.changes.append(swinging.play(planner, context.stay, SECONDS)[1])


@behave.then("each higher weight makes fewer changes, the highest none")
def step_frontier(context):
    low, middle, high = context.changes
    assert low > middle > high == 0, context.changes


@behave.when("every report is from before the swing, or an engine is changing")
def step_reports(context):
    def plan(taken, ready):
        planner = swinging.planner(0.0)
        planner.plan([], swinging.OUTPUTS, 0.0)
        engines = []
        for number in range(6):
            engines.append(
                roles.Engine(
                    f"e-{number}",
                    types.Role.MIXED,
                    taken,
                    0,
                    ready or number > 0,
                )
            )
        planner.plan(engines, swinging.PROMPTS, 100.0)
        return planner.plan(engines, swinging.PROMPTS, 110.0)

    context.old = plan(99.0, True)
    context.changing = plan(109.0, False)
    context.fresh = plan(109.0, True)


@behave.then("no change is planned, though one is with fresh reports")
def step_none(context):
    assert context.old is None, context.old
    assert context.changing is None, context.changing
    assert context.fresh is not None


@behave.given("an outage in which each of {count:d} attempts fails")
def step_outage(context, count):
    context.count = count


@behave.when("retries are unlimited and when they are budgeted")
def step_retries(context):
    context.attempts = []
    for rule in (
        retries.AlwaysRetry(),
        retries.BudgetedRetries(random.Random(1)),
    ):
        total = 0
        for number in range(context.count):
            request = patterns.request(f"call-{number}", 0.0)
            rule.first()
            total += 1
            attempt = 1
            while rule.delay(request, attempt, 1.0, 0.0) is not None:
                attempt += 1
                total += 1
        context.attempts.append(total)


@behave.then(
    "unlimited retries double the attempts and budgeted ones add a tenth"
)
def step_budget(context):
    unlimited, budgeted = context.attempts
    assert unlimited >= 2 * context.count, context.attempts
    assert budgeted <= 1.12 * context.count, context.attempts
