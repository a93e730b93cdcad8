"""Steps on endpoints that leave, say so or only fall silent."""

import itertools
import threading

import behave
from features.support import deployments
from features.support import fleets

# Requests a node is asked; with round robin over two, half would hit.
REQUESTS = 6
NODES = ("entry-1", "entry-2", "entry-3")


@behave.given(
    "a fleet of 3 nodes, 2 engines and 2 plain services behind proxies"
)
def step_fleet(context):
    fleet = context.fleet = fleets.Fleet("leaving")
    fleet.start_platform()
    for name in ("lm-1", "lm-2"):
        fleet.start_engine(name)
    for name in ("app-1", "app-2"):
        fleet.start_service(name)
    fleet.start_nodes(*NODES)
    context.proxies = {
        name: fleet.proxy(fleet[name]) for name in ("lm-1", "app-1")
    }
    deployments.declare(
        fleet,
        lm_1=context.proxies["lm-1"].address,
        app_1=context.proxies["app-1"].address,
    )
    context.numbers = itertools.count(1)


@behave.when('endpoint "{name}" says that it leaves')
def step_says(context, name):
    context.fleet[name].faults(announced=True)


@behave.when('endpoint "{name}" is leaving in the list of VMs')
def step_listed(context, name):
    context.fleet.vms[name]["state"] = "leaving"
    context.fleet.publish_vms()


@behave.when('endpoint "{name}" is gone from the list of VMs')
def step_unlisted(context, name):
    del context.fleet.vms[name]
    context.fleet.publish_vms()


@behave.when('endpoint "{name}" is frozen')
def step_frozen(context, name):
    context.fleet[name].freeze()


@behave.when('endpoint "{name}" thaws')
def step_thaws(context, name):
    context.fleet[name].thaw()


@behave.when('endpoint "{name}" answers no load polls')
def step_unreported(context, name):
    context.fleet[name].faults(unreported=True)


@behave.when('endpoint "{name}" is behind connections that hang')
def step_hangs(context, name):
    context.proxies[name].partition()


@behave.when('endpoint "{name}" is cut off from node "{node}" only')
def step_cut(context, name, node):
    context.proxies[name].cut(source=context.fleet[node].host)


@behave.when('the open connections to endpoint "{name}" go silent for good')
def step_silent(context, name):
    assert context.proxies[name].record()["connections"]
    context.proxies[name].silence()


@behave.then('within {limit:d} seconds no node sends new work to "{name}"')
def step_closed(context, limit, name):
    deployments.until_closed(context.fleet, name, limit)


@behave.then(
    'within {limit:d} seconds node "{node}" sends no new work to "{name}"'
)
def step_closed_at(context, limit, node, name):
    fleet = context.fleet
    fleet.until(
        lambda: not deployments.open_at(fleet, fleet[node], name), limit
    )


def work(context, name: str) -> list[str]:
    """Lists the dispatches that an endpoint took or refused."""
    process = context.fleet[name]
    if process.frozen:
        # What reaches it now is found when it thaws.
        process.thaw()
    records = process.test("dispatches") + process.test("refusals")
    return sorted(each.get("id") or each["dispatch"] for each in records)


def ask(context, node: str) -> None:
    """Makes requests through a node and checks each answer."""
    process = context.fleet[node]
    for _ in range(REQUESTS):
        content = f"{node} {next(context.numbers)}"
        completion = deployments.complete(process, content)
        assert completion.right, completion
        answer = deployments.call(process, content)
        assert answer is not None and answer.status == 200, answer
        assert answer.body == deployments.expected_call(content), answer


def ask_none_from(context, nodes, names) -> None:
    """Checks that requests through nodes do not reach some endpoints."""
    before = {}
    for name in names:
        frozen = context.fleet[name].frozen
        before[name] = [] if frozen else work(context, name)
    for node in nodes:
        ask(context, node)
    for name in names:
        assert work(context, name) == before[name], work(context, name)


@behave.then(
    'callers of each node get whole answers, none from "{one}" or "{other}"'
)
def step_none_from(context, one, other):
    ask_none_from(context, NODES, (one, other))


@behave.then('callers of node "{node}" get whole answers, none from "{name}"')
def step_none_from_at(context, node, name):
    ask_none_from(context, [node], [name])


@behave.then("callers of each node get whole answers")
def step_whole(context):
    for node in NODES:
        ask(context, node)


@behave.then('calls through node "{node}" still reach "{name}"')
def step_reach(context, node, name):
    before = work(context, name)
    ask(context, node)
    assert work(context, name) != before


@behave.then('endpoint "{name}" is open at each node')
def step_open(context, name):
    deployments.until_open(context.fleet, name)


@behave.given("calls take 1 second")
def step_slow(context):
    for name in ("app-1", "app-2"):
        context.fleet[name].faults(seconds=1.0)


@behave.when('endpoint "{name}" is stopped in the middle of a call')
def step_stopped(context, name):
    context.answers = []
    node = context.fleet[NODES[0]]

    def make_call(content):
        context.answers.append((content, deployments.call(node, content)))

    # Round robin: one of two reaches it.
    context.callers = []
    for number in range(2):
        thread = threading.Thread(target=make_call, args=(f"tug {number}",))
        thread.start()
        context.callers.append(thread)
    context.fleet.until(lambda: work(context, name))
    context.fleet[name].terminate()


@behave.then("that call's caller gets the whole answer")
def step_call_whole(context):
    for thread in context.callers:
        thread.join()
    for content, answer in context.answers:
        assert answer is not None and answer.status == 200, answer
        assert answer.body == deployments.expected_call(content), answer
