"""Steps on replicas that fail for hours."""

import random

import behave

from gypsumfold.decisions import health

REPLICA = "engine-1"


@behave.when(
    "a replica fails {count:d} times in a row, each time once its pause has "
    "ended"
)
def step_failures(context, count):
    found = health.Health(random.Random(1))
    context.pauses = []
    now = 0.0
    for _ in range(count):
        found.failed(REPLICA, silent=True, now=now)
        end = found.paused_until.get(REPLICA, now)
        context.pauses.append(end - now)
        now = end


@behave.then("each failure pauses it for at most the longest pause")
def step_paused(context):
    # The first failure alone pauses nothing.
    for pause in context.pauses[1:]:
        assert 0 < pause <= health.MAX_PAUSE_SECONDS, pause
