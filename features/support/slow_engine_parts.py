"""What tests of slow engines and of moved prompts share."""

import random

from gypsumfold.decisions import chains
from gypsumfold.decisions import prompts
from gypsumfold.decisions import routes
from gypsumfold.decisions import slow_engines as slow_engines_module
from gypsumfold.gateway import types

# Prompts a second of all callers, and tokens: shared, own, answered.

ENGINES = [f"engine-{number}" for number in range(6)]
USUAL = 0.1
START = 1000.0
CHAIN = (chains.Block("shared", 13_000), chains.Block("own", 800))
PROMPT = prompts.Prompt(CHAIN, "m", 13_800)
SERVICE = types.Service("lm", 100, 400_000, 18_432, 1e9, 5.0, 3.0)
ROUTE = routes.Route(
    "briefs",
    "desk.example",
    "/briefs/",
    routes.Kind.IDEMPOTENT,
    9.0,
    3.0,
    0,
    2,
    (routes.Target("lm", 1),),
)


def gateway():
    """What one gateway knows of engines' speed."""
    found = slow_engines_module.SlowEngines(random.Random(1))
    found.enabled = True
    return found
