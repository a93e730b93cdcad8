"""Steps on calls with and without keys through real processes."""

import concurrent.futures
import uuid

import behave
from features.support import calling
from features.support import deployments
from features.support import http


@behave.given("a fleet for keyed calls")
def step_fleet(context):
    calling.start_fleet(context)


@behave.given("a fleet for keyed calls whose log may take {seconds:d} seconds")
def step_fleet_patient(context, seconds):
    calling.start_fleet(context, timeout=float(seconds))


@behave.when("a keyed call through entry-1 is answered and entry-1 is killed")
def step_answered(context):
    context.key = calling.new_key()
    context.body = "tug once"
    context.answer = calling.call(context, "entry-1", context.body, context.key)
    assert calling.outcome(context.answer) == "complete", context.answer
    calling.until_recorded(context, "claim-outcome", context.key)
    context.fleet["entry-1"].kill()


@behave.then("its repeat through entry-2 gets the same answer")
def step_repeat(context):
    found = calling.call(context, "entry-2", context.body, context.key)
    assert found.body == context.answer.body, found
    assert calling.outcome(found) == "complete", found


@behave.then("a node that starts afterwards gives the same answer")
def step_later(context):
    context.fleet["entry-1"].restart()
    context.fleet["entry-1"].until_ready("/ready")
    ask = (context, "entry-1", context.body, context.key)
    found = context.fleet.until(lambda: calling.complete(calling.call(*ask)))
    assert found.body == context.answer.body, found


@behave.then("the call ran once")
def step_once(context):
    bodies = {body for body, _ in context.told}
    for body in bodies:
        assert calling.executions(context, body) == 1, body


@behave.when(
    "{keys:d} keyed calls are made {times:d} times each through all nodes "
    "at once"
)
def step_at_once(context, keys, times):
    jobs = []
    for number in range(keys):
        key = calling.new_key()
        for turn in range(times):
            jobs.append((calling.NODES[turn % 3], f"at once {number}", key))
    with concurrent.futures.ThreadPoolExecutor(len(jobs)) as pool:
        waiting = [pool.submit(calling.call, context, *job) for job in jobs]
        context.answers = [each.result() for each in waiting]


@behave.then("all of their answers are exact and each call ran once")
def step_exact(context):
    assert all(calling.complete(each) for each in context.answers), context.told
    step_once(context)


@behave.when("the service loses the answers of calls with and without a key")
def step_lost(context):
    for name in calling.SERVICES:
        context.fleet[name].faults(lost=100)


@behave.then('the callers are told "{word}" and so is each repeat')
def step_lost_told(context, word):
    found = calling.call(context, "entry-1", "lost without a key")
    assert calling.outcome(found) == word, found
    key = calling.new_key()
    for node in calling.NODES:
        found = calling.call(context, node, "lost with a key", key)
        assert calling.outcome(found) == word, found


@behave.when("a key is used with another body, too old, too new and malformed")
def step_misfits(context):
    # 24 hours of retention less a tenth; a minute ahead of the log's clock.
    key = calling.new_key()
    old = calling.key_of_age(86400 * 0.9 + 60)
    new = calling.key_of_age(-120)
    context.found = [
        calling.call(context, "entry-1", "first body", key),
        calling.call(context, "entry-2", "another body", key),
        calling.call(context, "entry-1", "another body here", key),
        calling.call(context, "entry-3", "malformed", str(uuid.uuid4())),
        calling.call(context, "entry-1", "old", old),
        calling.call(context, "entry-2", "new", new),
    ]


@behave.then('the other body and the malformed key are told "{word}"')
def step_misfits_not_run(context, word):
    said = [calling.outcome(found) for found in context.found[1:4]]
    assert said == [word] * 3, said
    assert [f.status for f in context.found[1:4]] == [422, 422, 400]


@behave.then('the old and the new key are told "{word}"')
def step_misfits_unknown(context, word):
    assert [calling.outcome(found) for found in context.found[4:]] == [word] * 2
    assert [found.status for found in context.found[4:]] == [422, 422]


@behave.then("only the first body ran")
def step_first_body(context):
    for body, _ in context.told:
        assert calling.executions(context, body) == (body == "first body"), body


@behave.when("a keyed call is refused because the service is leaving")
def step_leaving(context):
    context.fleet.apply('alter kind "tug" set deadline = 2;')
    calling.all_leave(context, True)
    context.key = calling.new_key()
    context.found = calling.call(context, "entry-1", "refused", context.key)


@behave.then('it is told "{word}" with a time to return')
def step_refused(context, word):
    assert calling.outcome(context.found) == word, context.found
    assert int(context.found.headers["retry-after"]) >= 1, context.found


@behave.then('its repeat through each node is told "{word}" and runs nothing')
def step_closed(context, word):
    calling.all_leave(context, False)
    deployments.until_open(context.fleet, "ramp-1", "ramp-2")
    for node in calling.NODES:
        found = calling.call(context, node, "refused", context.key)
        assert calling.outcome(found) == word, found
        assert found.status == 409, found
    assert calling.executions(context, "refused") == 0


@behave.then("a call with a new key runs when the service is back")
def step_back(context):
    found = calling.call(context, "entry-2", "refused", calling.new_key())
    assert calling.complete(found), found
    assert calling.executions(context, "refused") == 1


@behave.when("the log loses the answers to the next {count:d} claims")
def step_answers_lost(context, count):
    context.fleet["log"].faults(lost_answers=count, match='"claim"')


@behave.then("a keyed call is answered and its claim stands on the log twice")
def step_doubled(context):
    key = calling.new_key()
    calling.answered(context, "entry-1", "doubled", key)
    claims = [c for c in calling.claim_records(context, "claim") if key in c]
    assert len(claims) >= 2, claims
    assert len({claim[0] for claim in claims}) == 1, claims


@behave.when("the log is down")
def step_down(context):
    context.fleet["log"].faults(appends_down=True, reads_down=True)


@behave.then("a call without a key is answered")
def step_unkeyed(context):
    calling.answered(context, "entry-1", "without a key")
    assert calling.executions(context, "without a key") == 1


@behave.then('a call with a caller\'s key is told "{word}" and runs nothing')
def step_unclaimed(context, word):
    found = calling.call(context, "entry-1", "unclaimed", calling.new_key())
    assert calling.outcome(found) == word, found
    assert int(found.headers["retry-after"]) >= 1, found
    assert calling.executions(context, "unclaimed") == 0


@behave.then("a call with a bound key is answered once through every node")
def step_bound(context):
    url = context.fleet["entry-2"].url
    found = http.post(f"{url}/v1/keys", headers=deployments.headers())
    assert found.status == 201, found
    context.key = found.json()["key"]
    for node in calling.NODES:
        calling.answered(context, node, "bound", context.key)
    assert calling.executions(context, "bound") == 1


@behave.then('a bound key with another body is told "{word}"')
def step_bound_conflict(context, word):
    for node in calling.NODES:
        found = calling.call(context, node, "bound elsewhere", context.key)
        assert calling.outcome(found) == word, found
        assert found.status == 422, found
    assert calling.executions(context, "bound elsewhere") == 0


@behave.then('a bound key is told "{word}" once its node was restarted')
def step_bound_gone(context, word):
    node = context.fleet["entry-2"]
    node.kill()
    found = calling.call(context, "entry-1", "bound", context.key)
    assert calling.outcome(found) == word, found
    node.restart()
    context.fleet["log"].faults(appends_down=False, reads_down=False)
    node.until_ready("/ready")
    found = calling.call(context, "entry-3", "bound", context.key)
    assert calling.outcome(found) == word, found
    found = calling.call(context, "entry-2", "bound", context.key)
    assert calling.outcome(found) == word, found
    assert calling.executions(context, "bound") == 1


@behave.when("the service withholds the 100 from some calls")
def step_withheld(context):
    # The pooled connection and a fresh one of the same replica.
    context.fleet["ramp-1"].faults(withheld=2)


@behave.then("calls without a key are answered by the other replica")
def step_other_replica(context):
    for number in range(6):
        calling.answered(context, "entry-1", f"withheld {number}")
    assert context.fleet["ramp-1"].test("faults")["withheld"] == 0


@behave.given("a fleet for keyed calls whose log keeps {seconds:d} seconds")
def step_fleet_forgetting(context, seconds):
    calling.start_fleet(context, retention=float(seconds))
    context.fleet["log"].faults(retention=float(seconds))
    context.seconds = seconds


@behave.when("a keyed call is answered and the log has forgotten it")
def step_forgotten(context):
    context.key = calling.new_key()
    calling.answered(context, "entry-2", "forgotten", context.key)
    calling.until_recorded(context, "claim-outcome", context.key)

    def forgotten() -> bool:
        # Each claim moves the log's clock as the nodes see it.
        key = calling.new_key()
        calling.call(context, "entry-1", f"later {key}", key)
        claims = calling.claim_records(context, "claim")
        return not any(context.key in claim for claim in claims)

    context.fleet.until(forgotten)
    # A node that has not read on yet still knows the answer, and gives it.
    # Each reads its own claim back, which is later than what was forgotten.
    for node in calling.NODES:
        calling.answered(context, node, f"last {node}", calling.new_key())


@behave.then('its repeat through every node is told "{word}"')
def step_forgotten_told(context, word):
    for node in calling.NODES:
        found = calling.call(context, node, "forgotten", context.key)
        assert calling.outcome(found) == word, found


@behave.then('a node that started afterwards tells it "{word}"')
def step_forgotten_later(context, word):
    node = context.fleet["entry-3"]
    node.kill()
    node.restart()
    node.until_ready("/ready")
    found = calling.call(context, "entry-3", "forgotten", context.key)
    assert calling.outcome(found) == word, found


@behave.when("all open connections from the nodes to the services go silent")
def step_silent(context):
    for number in range(6):
        for node in calling.NODES:
            calling.answered(context, node, f"warm {node} {number}")
    for proxy in context.services:
        proxy.silence()


@behave.then("a call through each node is answered with and without a key")
def step_not_silent(context):
    for node in calling.NODES:
        calling.answered(context, node, f"silent {node}")
        calling.answered(context, node, f"keyed {node}", calling.new_key())
