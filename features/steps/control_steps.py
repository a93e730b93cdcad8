"""Steps on leases and orders through real processes."""

import time

import behave
from features.support import control_fleet
from features.support import deployments
from features.support import fleets
from features.support import http
import psutil


def holder(context, node=None):
    """Names the node that holds the engines' lease, as a node knows it."""
    for lease in control_fleet.show(context, "leases", node):
        if lease["service"] == control_fleet.SERVICE and not lease["released"]:
            return lease["node"]
    return ""


def elsewhere(context):
    """Gives a node that is neither dead, frozen nor the first holder."""
    for name, node in context.fleet.nodes.items():
        if name != context.holder and node.alive and not node.frozen:
            return node
    raise AssertionError("no other node")


def start_engines(context, kind):
    fleet = context.fleet = fleets.Fleet("control")
    fleet.start_platform()
    for name in control_fleet.ENGINES:
        fleet.start_engine(name, checks_tokens=kind == "checking", speed=5.0)
    fleet.start_service("ramp-1")


def find_holder(context):
    context.fleet.until(lambda: holder(context), message="no lease is held")
    context.holder = holder(context)


@behave.given('controlled engines "{kind}" and {count:d} nodes')
def step_fleet(context, kind, count):
    start_engines(context, kind)
    context.fleet.start_nodes(
        *control_fleet.NODES[:count], control=control_fleet.LEASE
    )
    deployments.declare(context.fleet)
    find_holder(context)


@behave.given('controlled engines "{kind}" whose holder freezes before sending')
def step_pausing(context, kind):
    start_engines(context, kind)
    fleet = context.fleet
    path = fleet.folder / "entry-1.toml"
    sections = fleet.settings(
        "entry-1", "north-apron", {"control": control_fleet.LEASE}
    )
    path.write_text(fleets.toml(sections))
    fleet.add_vm("entry-1", "north-apron", "entry")
    fleet.nodes["entry-1"] = fleet.start(
        "entry-1",
        "features.support.pausing_node",
        ["run", str(path)],
        fleets.CALLERS_PORT,
    )
    fleet["entry-1"].until_ready("/ready")
    deployments.declare(fleet)
    find_holder(context)
    assert context.holder == "entry-1"
    fleet.start_nodes("entry-2", "entry-3", control=control_fleet.LEASE)


@behave.given(
    'controlled engines "{kind}" and 3 nodes, one with the log behind a proxy'
)
def step_log_proxied(context, kind):
    start_engines(context, kind)
    fleet = context.fleet
    context.log_proxy = fleet.proxy(fleet["log"])
    fleet.start_nodes("entry-1", "entry-2", control=control_fleet.LEASE)
    deployments.declare(fleet)
    find_holder(context)
    fleet.start_node(
        "entry-3",
        control=control_fleet.LEASE,
        platform={"log": context.log_proxy.url},
        # That an engine seems silent after a freeze must not be what helps.
        endpoints={"silent_after": 60.0},
    )
    deployments.until_open(fleet, *control_fleet.ENGINES)


@behave.given('controlled engines "{kind}" behind proxies and {count:d} nodes')
def step_proxied(context, kind, count):
    start_engines(context, kind)
    fleet = context.fleet
    context.proxies = {
        name: fleet.proxy(fleet[name]) for name in control_fleet.ENGINES
    }
    # The late bytes must come within the quarantine.
    control = {**control_fleet.LEASE, "quarantine": 6.0}
    fleet.start_nodes(*control_fleet.NODES[:count], control=control)
    addresses = {
        name.replace("-", "_"): proxy.address
        for name, proxy in context.proxies.items()
    }
    deployments.declare(fleet, **addresses)
    find_holder(context)


@behave.when('an operator orders the role "{role}" of "{engine}"')
def step_order(context, role, engine):
    control_fleet.order(context, engine, role)


@behave.when('an operator orders the role "{role}" of "{engine}" elsewhere')
def step_order_elsewhere(context, role, engine):
    control_fleet.order(context, engine, role, elsewhere(context))


def stopped(process):
    return psutil.Process(process.pid).status() == psutil.STATUS_STOPPED


@behave.when("the holder has frozen and another node holds the lease")
def step_frozen(context):
    frozen = context.fleet[context.holder]
    context.fleet.until(lambda: stopped(frozen), message=frozen.tail())
    frozen.frozen = True
    other = elsewhere(context)
    rows = control_fleet.show(context, "leases", other)
    context.incarnation = rows[0]["incarnation"]
    context.fleet.until(
        lambda: holder(context, other) not in ("", context.holder),
        message="the lease was not taken over",
    )


@behave.when("the frozen holder wakes")
def step_wake(context):
    context.fleet[context.holder].thaw()


@behave.when("there is a restart of the holder")
def step_restart(context):
    process = context.fleet[context.holder]
    process.kill()
    process.frozen = False
    process.command[2] = "gypsumfold.main"
    process.restart()


@behave.when("there is the holder's VM leaving")
def step_vm_gone(context):
    context.fleet[context.holder].kill()
    context.fleet[context.holder].frozen = False
    del context.fleet.vms[context.holder]
    context.fleet.publish_vms()


@behave.when("there is an operator's seizure")
def step_seize(context):
    context.fleet[context.holder].kill()
    context.fleet[context.holder].frozen = False
    text = (
        f'seize service "{control_fleet.SERVICE}" from "{context.incarnation}"'
    )
    context.fleet.apply(text, elsewhere(context))


@behave.when("the holder's orders are held back on their way")
def step_hold(context):
    source = context.fleet[context.holder].host
    context.proxies["lm-1"].hold(match="POST /v1/orders", source=source)


@behave.when("the order is on its way and the holder is killed")
def step_on_its_way(context):
    proxy = context.proxies["lm-1"]
    context.fleet.until(lambda: proxy.record()["held"])
    context.fleet[context.holder].kill()


# The event's number, and seconds from it to the late bytes.
HOLDER_ENDED = 602
BETWEEN = 1.5


@behave.when("the late bytes arrive")
def step_release(context):
    before = len(control_fleet.orders(context, "lm-1"))
    source = context.fleet.host(context.holder)
    context.proxies["lm-1"].release(source=source)
    context.fleet.until(
        lambda: len(control_fleet.orders(context, "lm-1")) > before
    )


@behave.when("the killed holder is started again and its end is proved")
def step_restarted(context):
    context.fleet[context.holder].restart()

    def proved():
        nodes = context.fleet.nodes.values()
        return any(node.events(HOLDER_ENDED) for node in nodes)

    context.fleet.until(proved)
    # Far less than the quarantine, and far more than an order takes.
    time.sleep(BETWEEN)


@behave.then('"{engine}" refuses its order as stale')
def step_stale(context, engine):
    def refused():
        found = control_fleet.orders(context, engine)
        return any(each["verdict"] == "stale-token" for each in found)

    context.fleet.until(
        refused, message=f"{control_fleet.orders(context, engine)}"
    )


@behave.then('"{engine}" has the role "{role}" and took {count:d} order')
@behave.then('"{engine}" has the role "{role}" and took {count:d} orders')
def step_role(context, engine, role, count):
    control_fleet.until_role(context, engine, role)
    assert len(control_fleet.taken(context, engine)) == count, (
        control_fleet.orders(context, engine)
    )


@behave.then("no engine took an order that was stale, overlapping or cutting")
def step_clean(context):
    for name in control_fleet.ENGINES:
        for record in control_fleet.orders(context, name):
            if record["verdict"] == "stale-token":
                continue
            assert not record["cut"], record
            assert not record["stale"] and not record["during"], record


@behave.then("no order reaches an engine for {count:d} durations of the lease")
def step_none(context, count):
    before = all_orders(context)
    time.sleep(count * control_fleet.LEASE["duration"])
    after = all_orders(context)
    assert after == before, (before, after)


def all_orders(context):
    """Lists all orders that came to each engine."""
    return [
        control_fleet.orders(context, name) for name in control_fleet.ENGINES
    ]


@behave.when('the answer of the next order to "{engine}" is lost')
def step_lost_answer(context, engine):
    context.fleet[engine].faults(lost_orders=1)


@behave.then('"{engine}" is open again at every node')
def step_open(context, engine):
    deployments.until_open(context.fleet, engine)


@behave.when('the connection is cut while "{engine}" carries out an order')
def step_cut(context, engine):
    def started():
        found = control_fleet.orders(context, engine)
        return found and found[-1]["verdict"] == "started"

    context.fleet.until(started)
    context.proxies[engine].cut()
    context.proxies[engine].heal()


@behave.when('orders to "{engine}" take {seconds:d} seconds longer')
def step_slow_orders(context, engine, seconds):
    context.fleet[engine].faults(order_delay=seconds)


@behave.when('"{engine}" refuses all orders')
def step_refuses(context, engine):
    context.fleet[engine].faults(refuse_orders=True)


@behave.when('"{engine}" refuses no more')
def step_refuses_no_more(context, engine):
    context.fleet[engine].faults(refuse_orders=False)


@behave.then(
    '"{engine}" gets {most:d} orders at the most in {count:d} durations'
    " of the lease"
)
def step_few(context, engine, most, count):
    context.fleet.until(lambda: control_fleet.orders(context, engine))
    time.sleep(count * control_fleet.LEASE["duration"])
    found = control_fleet.orders(context, engine)
    assert len(found) <= most, len(found)


@behave.when('"{engine}" crashes in the middle of its next order')
def step_crash(context, engine):
    context.fleet[engine].faults(crash_in_order=True)


@behave.when('"{engine}" has crashed and is started again')
def step_crashed(context, engine):
    context.fleet.until(lambda: not context.fleet[engine].alive)
    context.fleet[engine].restart()
    context.fleet[engine].until_ready("/v1/state")


@behave.when(
    'every node is asked for another role of "{engine}", {count:d} times over'
)
def step_contradict(context, engine, count):
    roles = ("prefill", "decode", "mixed")
    for turn in range(count):
        for place, node in enumerate(context.fleet.nodes.values()):
            control_fleet.order(
                context, engine, roles[(turn + place) % 3], node
            )


@behave.then('"{engine}" comes to rest in the role that is last on the log')
def step_last_role(context, engine):
    def rests():
        return not control_fleet.show(context, 'orders where state = "wished"')

    context.fleet.until(
        rests, message=f"{control_fleet.show(context, 'orders')}"
    )
    # Turn 3 of the last node, as `step_contradict` gives them.
    control_fleet.until_role(context, engine, "mixed")
    deployments.until_open(context.fleet, engine)


@behave.when('a long stream runs on "{engine}"')
def step_long_stream(context, engine):
    context.fleet[engine].faults(stuck=True)
    body = {
        "id": "long",
        "model": deployments.MODEL,
        "messages": deployments.messages("long"),
        "prior": [],
        "max_tokens": 5,
        "priority": 0,
        "prefill_from": "",
    }
    url = f"{context.fleet[engine].url}/v1/dispatches"
    context.stream = http.open_request("POST", url, body)
    context.engine = engine
    context.before = len(context.fleet[engine].test("dispatches"))


@behave.when(
    'a long stream keeps "{engine}" from the role "{role}" it was ordered'
)
def step_kept(context, engine, role):
    step_long_stream(context, engine)
    control_fleet.order(context, engine, role)
    deployments.until_closed(context.fleet, engine, fleets.LIMIT)


@behave.when("the long stream has ended")
def step_stream_ends(context):
    context.fleet[context.engine].faults(stuck=False)
    connection, response = context.stream
    for _ in http.events(response):
        continue
    connection.close()


@behave.when("the log goes down")
def step_log_down(context):
    context.fleet["log"].faults(appends_down=True, reads_down=True)


@behave.when("the log comes back")
def step_log_up(context):
    context.fleet["log"].faults(appends_down=False, reads_down=False)


@behave.then("completions through every node are whole meanwhile")
def step_flow(context):
    for name, node in context.fleet.nodes.items():
        found = deployments.complete(node, f"in an outage by {name}")
        assert found.right and found.outcome == "complete", found


@behave.when("the holder is stopped")
def step_stop_holder(context):
    assert context.fleet[context.holder].stop() == 0
