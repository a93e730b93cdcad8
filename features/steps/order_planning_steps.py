"""Steps on a planner whose authority ends before its order is sent."""

import asyncio
import contextlib
import time
from unittest import mock

import behave
from features.support import made_up
from features.support import ordering_node

from gypsumfold import clocks
from gypsumfold import events
from gypsumfold.decisions import role_changes
from gypsumfold.decisions import types as decision_types
from gypsumfold.gateway import role_planning
from gypsumfold.gateway import types

ENGINE = "i-1"
SERVICE = types.Service("lm", 0, cache_tokens=400_000)
CHANGE = role_changes.Change(ENGINE, decision_types.Role.PREFILL)


class Authority:
    """A leadership whose authority ends at some moment."""

    def __init__(self, moment):
        self.moment = moment
        self.valid_until = float("inf")

    def token(self, now):
        """The token until the authority ends."""
        return None if now >= self.valid_until else ordering_node.ORDER.token

    @contextlib.contextmanager
    def act(self):
        """Yields no permission, or one that has ended."""
        is_early = self.moment == "before it may act"
        yield None if is_early else ordering_node.grant(0.0)


async def fail_to_order(replica, order, grant):
    """Confirms the permission as the client of engines does."""
    grant.confirm(replica.instance)


@behave.given("a planner whose authority ends {moment}")
def step_planner(context, moment):
    gossip = made_up.gossip()
    directory = gossip.directory
    role = decision_types.Role.DECODE
    directory.put(
        types.Replica(ENGINE, "lm", "127.0.0.1:1", "north", 8, False, role)
    )
    endpoints = mock.AsyncMock()
    endpoints.state.return_value = types.State(role, False, 0, 0, 0)
    endpoints.order = fail_to_order
    context.planner = role_planning.RolePlanner(
        Authority(moment),
        directory,
        mock.Mock(current=None),
        endpoints,
        gossip,
        gossip.loads.prefix_router,
    )
    context.planner.splits["lm"] = mock.MagicMock()


@behave.when("it orders an engine")
def step_orders(context):
    with mock.patch.object(events, "log"):
        asyncio.run(context.planner.order(SERVICE, CHANGE))


@behave.then("it goes on, and the engine is open again")
def step_open(context):
    until = context.planner.directory.roles.changing_until[ENGINE]
    assert until <= time.monotonic(), until - time.monotonic()


@behave.then("it may order the engine again within {seconds:g} s")
def step_again(context, seconds):
    until = context.planner.pending[ENGINE].until
    assert until <= time.monotonic() + seconds, until - time.monotonic()


@behave.given("a planner whose authority ended while its machine was suspended")
def step_suspended_planner(context):
    step_planner(context, "before it may act")
    # By the clock that counts suspension, a minute has passed unseen.
    context.planner.leadership.valid_until = time.monotonic() + 1.0


@behave.when("it checks its services")
def step_checks(context):
    with mock.patch.object(clocks, "now", lambda: time.monotonic() + 60.0):
        asyncio.run(context.planner.check())


@behave.then("it has dropped its plans")
def step_dropped(context):
    assert not context.planner.splits, context.planner.splits
