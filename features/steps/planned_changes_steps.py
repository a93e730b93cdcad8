"""Steps on callers' requests while engines are changed."""

import concurrent.futures
import itertools
import threading
import time

import behave
from features.support import control_fleet
from features.support import deployments
from features.support import fleets

# Callers at each node: enough that each engine is never idle by itself.
CALLERS = 2
# Requests that wait at a frozen node: so many that a choice among two
# engines passes over neither.
WAITING = 8
ROLES = ("decode", "mixed")
# Factor on the engines' times: streams last longer than it takes to close
# an engine, so that a change which does not wait cuts some.
SLOW = 10.0


def use(context, node, number, ended, results):
    """Is one caller: a stream, then a tug call, until the test ends."""
    for turn in itertools.count():
        if ended.is_set():
            return
        content = f"caller {number} turn {turn}"
        results.append(deployments.complete(node, content, max_tokens=200))
        answer = deployments.call(node, content)
        right = answer is not None and (
            answer.body == deployments.expected_call(content)
        )
        results.append(right)


def change_roles(context):
    """Has both engines take on two roles, one after the other."""
    for role in ROLES:
        for engine in control_fleet.ENGINES:
            control_fleet.order(context, engine, role)
        for engine in control_fleet.ENGINES:
            control_fleet.until_role(context, engine, role)
    deployments.until_open(context.fleet, *control_fleet.ENGINES)


@behave.when("callers use every node while each engine changes its role twice")
def step_load(context):
    ended = threading.Event()
    context.results = []
    for engine in control_fleet.ENGINES:
        context.fleet[engine].faults(slow=SLOW)
    nodes = list(context.fleet.nodes.values()) * CALLERS
    with concurrent.futures.ThreadPoolExecutor(len(nodes)) as pool:
        callers = []
        for number, node in enumerate(nodes):
            callers.append(
                pool.submit(use, context, node, number, ended, context.results)
            )
        try:
            change_roles(context)
        finally:
            ended.set()
        for caller in callers:
            caller.result()


@behave.then("every caller got its whole answer, and no tug call ran twice")
def step_whole(context):
    streams = [r for r in context.results if not isinstance(r, bool)]
    calls = [r for r in context.results if isinstance(r, bool)]
    assert streams and calls
    wrong = [found for found in streams if not found.right]
    assert not wrong, wrong[0]
    assert all(calls), f"{calls.count(False)} of {len(calls)}"
    executions = context.fleet["ramp-1"].test("dispatches")
    assert len(executions) == len(calls), (len(executions), len(calls))


@behave.when('a node freezes with a permission for "lm-1"')
def step_freeze(context):
    context.frozen = context.fleet["entry-3"]
    assert deployments.open_at(context.fleet, context.frozen, "lm-1")
    # It is not to learn of the closing from an answer that waits for it.
    context.log_proxy.partition()
    context.frozen.freeze()


@behave.when("the engine is closed and the frozen node's permission has lapsed")
def step_closed(context):
    control_fleet.order(
        context, "lm-1", "decode", context.fleet[context.holder]
    )
    context.fleet.until(
        lambda: any(
            each["state"] == "closed"
            for each in control_fleet.show(
                context, "orders", context.fleet[context.holder]
            )
        )
    )
    time.sleep(control_fleet.LEASE["permission"])


@behave.when("requests wait for the frozen node when it wakes")
def step_wakes(context):
    with concurrent.futures.ThreadPoolExecutor(WAITING) as pool:
        asked = []
        for number in range(WAITING):
            content = f"waiting {number}"
            asked.append(
                pool.submit(deployments.complete, context.frozen, content)
            )
        # The kernel takes the requests for the frozen process.
        time.sleep(fleets.SHORT["endpoints"]["poll"])
        context.frozen.thaw()
        context.completions = [each.result() for each in asked]


@behave.then('"{engine}" got no dispatch after it was closed')
def step_no_dispatch(context, engine):
    found = context.fleet[engine].test("dispatches")
    assert len(found) == context.before, found[context.before :]
    for each in context.completions:
        assert each.right or each.outcome == "not-run", each
    context.log_proxy.heal()
