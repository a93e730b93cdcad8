"""Steps of the soak of gateways."""

import behave
from features.support import gateways
from features.support import soak


@behave.when(
    "gateways are soaked with faults by seed {seed:d} for {seconds:d} seconds"
)
def step_soak(context, seed, seconds):
    context.fleet = gateways.GatewayFleet()
    context.soak = soak.Soak(context.fleet, seed, float(seconds))
    context.soak.run()


@behave.then("no promise was broken and all gateways serve again")
def step_held(context):
    broken = context.soak.broken()
    assert not broken, (context.soak.faults, broken)
