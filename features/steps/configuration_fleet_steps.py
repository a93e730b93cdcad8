"""Steps on the configuration of a fleet of real nodes."""

import concurrent.futures
import time

import behave
from features.support import filling
from features.support import fleets
from features.support import http
import uuid6

# Numbers of events: a node starts, a change or a snapshot is in force, a
# snapshot is on the log.
STARTED, APPLIED, RESTORED, PUBLISHED = 100, 700, 702, 704
# Seconds for which something must not happen; longer than a node needs to
# notice what it should not rely on.
WATCH = 4.0
BASE = 'create service "web" set protocol = "plain";' + "".join(
    f'create kind "{name}" set service = "web", urgency = 1;'
    for name in ("one", "two")
)


def start(context, count, **options):
    fleet = context.fleet = fleets.Fleet("config")
    fleet.start_platform(retention=options.get("retention", 0.0))
    settings = {}
    if options.get("cut"):
        context.log = fleet.proxy(fleet["log"])
        settings["platform"] = {"log": context.log.url}
    if "retention" in options:
        settings["platform"] = {"retention": options["retention"]}
    names = [f"entry-{number}" for number in range(1, count + 1)]
    context.members = fleet.start_nodes(*names, **settings)
    context.settings = settings
    context.expected = {}
    fleet.apply(BASE)


def alter(context, node, kind, deadline):
    """Lets one operator set a kind's deadline, and expects to see it."""
    context.fleet.apply(f'alter kind "{kind}" set deadline = {deadline};', node)
    context.expected[kind] = deadline


def kinds(context, node):
    """Reads name, deadline and revision of each kind at one node."""
    text = "show declared_kinds"
    answer = context.fleet.operate("/v1/queries", {"text": text}, node)
    assert answer.status == 200, answer
    table = answer.json()
    place = [table["columns"].index(c) for c in ("deadline", "revision")]
    return {row[0]: [row[i] for i in place] for row in table["rows"]}


def is_level(context, node):
    """Whether a node is ready and holds every change that was accepted."""
    if not node.ready("/ready"):
        return False
    found = kinds(context, node)
    if sorted(found) != ["one", "two"]:
        return False
    return all(found[k][0] == v for k, v in context.expected.items())


def ready(node):
    try:
        return http.get(f"{node.url}/ready", timeout=2.0).status == 200
    except http.Gone:
        return False


@behave.given("a configured fleet of {count:d} nodes")
def step_fleet(context, count):
    start(context, count)


@behave.given("a configured fleet of {count:d} nodes whose log can be cut off")
def step_fleet_cut(context, count):
    start(context, count, cut=True)


@behave.given(
    "a configured fleet of {count:d} nodes on a log that keeps {s:g} seconds"
)
def step_fleet_forgets(context, count, s):
    start(context, count, retention=s)


@behave.then("every configured node is level, and no revision ever went back")
def step_level(context):
    for node in context.members:
        context.fleet.until(
            lambda node=node: is_level(context, node),
            message=f"{node.name} is not level",
        )
    found = [kinds(context, node) for node in context.members]
    assert all(each == found[0] for each in found), found
    for node in context.members:
        last = -1
        for line in node.log_lines():
            if line.get("number") == STARTED:
                last = -1
            if line.get("number") not in (APPLIED, RESTORED):
                continue
            # A snapshot may cover later entries that changed nothing.
            least = last + 1 if line["number"] == APPLIED else last
            assert line["revision"] >= least, (node.name, line, last)
            last = line["revision"]


def race(context, number, targets):
    """Runs two operators at once, from the same revisions."""
    revisions = {k: v[1] for k, v in kinds(context, context.members[0]).items()}

    def change(place):
        kind = targets[place]
        deadline = 100 + 2 * number + place
        body = {
            "text": f'alter kind "{kind}" set deadline = {deadline};',
            "change_id": str(uuid6.uuid7()),
            "preconditions": [["kind", kind, revisions[kind]]],
        }
        node = context.members[place + 1]
        answer = context.fleet.operate("/v1/statements", body, node)
        if answer.status == 200:
            context.expected[kind] = deadline
        return answer

    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        answers = list(pool.map(change, (0, 1)))
    for node in context.members:
        context.fleet.until(lambda node=node: is_level(context, node))
    return answers


@behave.when("2 operators alter the same kind at once, {times:d} times over")
def step_race_same(context, times):
    context.races = [race(context, n, ("one", "one")) for n in range(times)]


@behave.then("exactly one of each race wins and the other sees the difference")
def step_one_wins(context):
    for answers in context.races:
        statuses = sorted(answer.status for answer in answers)
        assert statuses == [200, 409], answers
        (lost,) = [a.json() for a in answers if a.status == 409]
        assert "changed meanwhile" in lost["detail"], lost
        assert "asked" in lost["difference"][0], lost


@behave.when("2 operators alter different kinds at once, {times:d} times over")
def step_race_other(context, times):
    context.races = [
        race(context, 50 + n, ("one", "two")) for n in range(times)
    ]


@behave.then("all changes of the races win")
def step_all_win(context):
    for answers in context.races:
        assert [a.status for a in answers] == [200, 200], answers


@behave.when(
    "the log loses the answers to {count:d} changes and no node can read it"
)
def step_lose(context, count):
    faults = {"lost_answers": count, "match": "change", "reads_down": True}
    context.fleet["log"].faults(**faults)


@behave.then(
    "a change is on the log {count:d} times, is accepted and counts once"
)
def step_counts_once(context, count):
    body = {
        "text": 'alter kind "one" set deadline = 7;',
        "change_id": str(uuid6.uuid7()),
    }
    node = context.members[0]
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        pending = pool.submit(
            context.fleet.operate, "/v1/statements", body, node
        )
        context.fleet.until(lambda: len(doubled(context)) == count)
        context.fleet["log"].faults(reads_down=False)
        answer = pending.result()
    # A node that is too slow to read it back says so; the id is asked again.
    while answer.status == 504:
        answer = context.fleet.operate("/v1/statements", body, node)
    assert answer.status == 200, answer
    first = doubled(context)[0]["offset"]
    assert answer.json()["revision"] == first, answer
    context.expected["one"] = 7
    for node in context.members:
        context.fleet.until(lambda node=node: is_level(context, node))
        assert kinds(context, node)["one"][1] == first, kinds(context, node)


def doubled(context):
    """The log's entries with the change whose answers are lost."""
    entries = context.fleet["log"].test("records")["streams"]["config"]
    return [entry for entry in entries if '"deadline":7' in entry["body"]]


@behave.when("the log is cut off from all nodes but the first")
def step_cut_others(context):
    for node in context.members[1:]:
        context.log.partition(source=node.host)


@behave.when(
    "a change is accepted by the first node and the log goes down for all"
)
def step_accepted_then_down(context):
    alter(context, context.members[0], "one", 8)
    context.log.partition()


@behave.then("every configured node is still ready")
def step_still_ready(context):
    limit = time.monotonic() + WATCH
    while time.monotonic() < limit:
        for node in context.members:
            assert ready(node), node.name
        time.sleep(0.2)


@behave.when("a new node starts while the log is down")
def step_new_node(context):
    context.members.append(
        context.fleet.start_node("entry-9", **context.settings)
    )


@behave.then("it is ready with the last change, which it got from its peers")
def step_from_peers(context):
    assert is_level(context, context.members[-1])


@behave.when(
    "the last node is cut off from the log and all of its peers freeze"
)
def step_cut_off(context):
    context.log.partition(source=context.members[-1].host)
    for node in context.members[:-1]:
        node.freeze()


@behave.then("the last node is not ready any more")
def step_not_ready(context):
    context.fleet.until(lambda: not ready(context.members[-1]))


@behave.when("the last node sleeps while its peers accept a change")
def step_sleeps_through(context):
    *peers, last = context.members
    last.freeze()
    for node in peers:
        node.thaw()
    context.fleet.until(lambda: ready(peers[0]))
    alter(context, peers[0], "two", 9)
    for node in peers:
        node.freeze()
    last.thaw()


@behave.when("the peers go on")
def step_go_on(context):
    for node in context.members[:-1]:
        node.thaw()


@behave.then("the last node is not ready before it has that change")
def step_not_before(context):
    node = context.members[-1]

    def settled():
        if not ready(node):
            return False
        assert is_level(context, node), kinds(context, node)
        return True

    context.fleet.until(settled)


@behave.when("all nodes are killed and the log goes down for all")
def step_all_down(context):
    for node in context.members:
        node.kill()
    context.log.partition()


@behave.when("the first node is started again")
def step_first_again(context):
    node = context.members[0]
    node.restart()
    context.fleet.until(lambda: len(node.events(STARTED)) == 2)


@behave.then("the {place} node does not become ready within seconds")
def step_stays_unready(context, place):
    node = context.members[0 if place == "first" else -1]
    limit = time.monotonic() + WATCH
    while time.monotonic() < limit:
        assert not ready(node), node.tail()
        time.sleep(0.02)


@behave.when("the log is there again")
def step_log_again(context):
    context.log.heal()
    for node in context.members:
        if not node.alive:
            node.restart()


def forgotten(context, offset):
    """Whether the log keeps nothing up to an offset any more."""
    url = f"{context.fleet['log'].url}/streams/config/records?from=0"
    return http.get(url).json()["first"] > offset


@behave.when("the log has forgotten the first change")
def step_forgotten(context):
    context.fleet.until(lambda: forgotten(context, 0))


@behave.when("the log has forgotten all that was there")
def step_all_forgotten(context):
    url = f"{context.fleet['log'].url}/streams/config/records?from=0"
    end = http.get(url).json()["end"]
    context.fleet.until(lambda: forgotten(context, end - 1))


@behave.when("every configured node is restarted in turn")
def step_restart_each(context):
    for number, node in enumerate(context.members):
        node.kill()
        node.restart()
        node.until_ready("/ready")
        assert is_level(context, node), kinds(context, node)
        alter(context, node, "one", 20 + number)


@behave.when("all configured nodes are killed and started again")
def step_restart_all(context):
    for node in context.members:
        node.kill()
    for node in context.members:
        node.restart()


@behave.when("the last node sleeps until changes made meanwhile are forgotten")
def step_sleeps(context):
    node = context.members[-1]
    context.fleet.until(lambda: is_level(context, node))
    node.freeze()
    alter(context, context.members[0], "one", 30)
    revision = kinds(context, context.members[0])["one"][1]
    context.fleet.until(lambda: forgotten(context, revision))
    for other in context.members[:-1]:
        other.freeze()
    node.thaw()
    time.sleep(1.0)
    for other in context.members[:-1]:
        other.thaw()


@behave.given(
    "a log with {count:d} changes and a node that has published a snapshot"
)
def step_filled(context, count):
    fleet = context.fleet = fleets.Fleet("config-filled")
    fleet.start_platform()
    filling.fill(fleet, count)
    # The node only looks as if the log forgot, and so publishes soon.
    node = fleet.start_node("entry-1", platform={"retention": 20.0})
    fleet.until(lambda: node.events(PUBLISHED))
    context.count = count


@behave.when("the node that reads from the log alone is started again")
def step_filled_again(context):
    node = context.fleet["entry-1"]
    node.kill()
    context.before = len(node.events(APPLIED))
    node.restart()
    node.until_ready("/ready")


@behave.then(
    "it has the last of the changes, having applied fewer than {most:d}"
)
def step_few_applied(context, most):
    node = context.fleet["entry-1"]
    assert context.fleet.state(node)["revision"] == context.count - 1
    applied = len(node.events(APPLIED)) - context.before
    assert applied < most, applied


@behave.given(
    "a log with {count:d} changes and a node that has started twice, slow to "
    "open its ports"
)
def step_slow_twice(context, count):
    fleet = context.fleet = fleets.Fleet("config-slow")
    fleet.start_platform()
    filling.fill(fleet, count)
    node = fleet.start_node("entry-1", module="features.support.slow_node")
    node.kill()
    node.restart()
    node.until_ready("/ready")


@behave.then("each of its starts was logged before what it applied")
def step_started_first(context):
    revisions = []
    starts = 0
    for line in context.fleet["entry-1"].log_lines():
        if line.get("number") == STARTED:
            starts += 1
            revisions = []
        if line.get("number") == APPLIED:
            revisions.append(line["revision"])
            assert starts and revisions == sorted(revisions), (starts, line)
    assert starts == 2, starts
