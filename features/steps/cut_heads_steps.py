"""Steps on answers that are cut, as the callers of a real gateway see them."""

import asyncio

import behave
from features.support import cut_cases
from features.support import cut_hops
from features.support import cut_replicas
from features.support import cut_requests
from features.support import gateways

from gypsumfold import exceptions
from gypsumfold import outcomes
from gypsumfold.decisions import routes
from gypsumfold.platform import names

# Ways in which an answer's end is marked, as in `cut_replicas.answer`.
KINDS = ("length", "chunks", "trailers", "unframed", "1.0", "bare LF")
ENDS = ("closed", "reset")


@behave.given("a gateway before replicas that cut their answers")
def step_site(context):
    context.fleet = gateways.GatewayFleet()
    context.site = cut_cases.Site(context.fleet)
    context.add_cleanup(context.site.close)
    context.site.start()


@behave.when(
    "answers of {content} on the routes {routes} are cut after each {step:d}th "
    "byte of their {stage} run"
)
def step_cut(context, content, routes, step, stage):
    context.fleet.until_sharing("edge-1")
    run_stage(context, content, routes.split(" and "), stage, step)


def run_stage(context, content, routes, stage, step):
    cases = []
    for kind in KINDS:
        for ends in ENDS:
            for cut in cut_cases.cuts(kind, ends, content, stage, step):
                cases += [
                    cut_cases.Case(route, cut, content) for route in routes
                ]
    context.site.run(cases)


@behave.then("no answer looks more complete than it is")
def step_sound(context):
    found = context.site.violations
    assert not found, (len(found), found[:3])
    results = context.site.results
    assert results.get("next sound", 0) > sum(results.values()) * 0.4, results


@behave.when("whole answers of {content} are asked for on the routes {routes}")
def step_whole(context, content, routes):
    cases = []
    for kind in KINDS:
        cut = cut_replicas.Cut(kind, None, "kept")
        for route in routes.split(" and "):
            cases += [cut_cases.Case(route, cut, content)] * 2
    context.cases = cases
    context.site.run(cases)


@behave.then("each of them comes whole")
def step_all_whole(context):
    assert not context.site.violations, context.site.violations[:3]
    expected = {
        "200 whole": len(context.cases),
        "next sound": len(context.cases),
    }
    assert context.site.results == expected, context.site.results


@behave.when(
    "answers to HEAD on the routes {routes} are cut after each {step:d}rd byte"
)
def step_head_cut(context, routes, step):
    cases = []
    for ends in ENDS:
        for cut in cut_cases.cuts("HEAD", ends, step=step):
            for route in routes.split(" and "):
                cases.append(cut_cases.Case(route, cut, method="HEAD"))
    context.site.run(cases)


@behave.when("whole answers to HEAD are asked for on the routes {routes}")
def step_head_whole(context, routes):
    context.exchanges = []
    cut = cut_replicas.Cut("length")
    after = cut_cases.Case("lookups", cut)
    for route in routes.split(" and "):
        case = cut_cases.Case(route, cut, method="HEAD")
        context.exchanges.append(context.site.exchange([case, after]))


@behave.then("no bytes come between the answers to HEAD and to GET")
def step_head_apart(context):
    assert context.exchanges
    for data in context.exchanges:
        head, _, rest = data.partition(b"\r\n\r\n")
        assert rest.startswith(b"HTTP/1.1 200 "), data
        assert rest.endswith(cut_replicas.BODY), data
        # The length that the answer to GET would have isn't known.
        assert b"content-length: 0" not in head.lower(), data


@behave.when("answers in {kind} are asked for on the routes {routes}")
def step_lengths(context, kind, routes):
    cut = cut_replicas.Cut(kind, None, "kept")
    cases = [
        cut_cases.Case(route, cut)
        for route in routes.split(" and ")
        for _ in range(2)
    ]
    context.site.run(cases)


@behave.when(
    "a node's answers in {framing} to a forwarded {kind} request are {ends} "
    "after each byte"
)
def step_hop(context, framing, kind, ends):
    context.kind = names.ROUTE_KINDS[kind]
    context.nodes, context.outcomes = asyncio.run(
        cut_hops.forward_all(framing, ends, context.kind, "key")
    )


@behave.then(
    "each ends with the message of its end or looks broken, and runs as often "
    "as it may"
)
def step_hop_sound(context):
    body = b"".join(cut_hops.PIECES)
    for size, received, asked in context.outcomes:
        assert asked[:1] == ["cutting"], (size, asked)
        may_repeat = context.kind == routes.Kind.IDEMPOTENT
        if size >= context.nodes.end:
            assert received.is_complete, (size, received.error)
        if received.is_complete:
            assert received.body == body, (size, received.body)
            assert size >= context.nodes.end or may_repeat, size
            continue
        # Before its head another node may still give the whole answer.
        assert received.error is not None, size
        assert not may_repeat or received.status, (size, received.error)
        assert body.startswith(received.body), (size, received.body)
        assert asked == ["cutting"], (size, asked)
        if isinstance(received.error, exceptions.RequestError):
            outcome = received.error.outcome
            assert outcome == outcomes.Outcome.UNDETERMINED, (size, outcome)


@behave.when("requests in {framing} are {ends} after each byte")
def step_requests(context, framing, ends):
    address = (context.fleet["edge-1"].host, gateways.FRONT_PORT)
    context.answers = cut_requests.cut_requests(address, framing, ends)
    # A sound request comes after all of them.
    case = cut_cases.Case("seats", cut_replicas.Cut("length"))
    context.site.run([case])


@behave.then("none of them runs or is answered as a success")
def step_no_runs(context):
    assert not context.site.violations, context.site.violations
    assert len(context.answers) > 100
    for attempt, data in context.answers.items():
        assert not context.site.replicas.runs_of(attempt), (attempt, data)
        assert not data or b" 400 " in data[:20], data


@behave.when("a gateway is killed while answers stop at each {step:d}th byte")
def step_killed(context, step):
    callers = cut_requests.WaitingCallers(context.site)
    cases = []
    for kind, content in (("chunks", "events"), ("length", "json")):
        for cut in cut_cases.cuts(kind, "held", content, "decode", step):
            for route in ("briefs", "swaps"):
                cases.append(cut_cases.Case(route, cut, content))
    for cut in cut_cases.cuts("length", "held", step=step):
        cases.append(cut_cases.Case("seats", cut))
    callers.ask(cases)
    gateways.until(
        lambda: context.site.replicas.held >= len(cases), "not all stopped"
    )
    context.fleet["edge-1"].kill()
    callers.wait()
    context.cases = cases


@behave.then("each caller sees its answer broken off")
def step_each_broken(context):
    assert not context.site.violations, context.site.violations[:3]
    results = context.site.results
    assert not any(" whole" in name for name in results), results
    assert sum(results.values()) == len(context.cases), results
    assert results.get("200 broken", 0) > 0, results


@behave.when("a gateway is killed while its caller has not read a large answer")
def step_read_late(context):
    context.late = cut_requests.read_late(
        context.site, context.fleet["edge-1"].kill
    )


@behave.then("the caller gets less than the length promises")
def step_less(context):
    found, length = context.late
    assert length == cut_replicas.LARGE_BYTES, length
    assert found < length, found


@behave.when("answers of each kind are read from a gateway")
def step_kinds(context):
    context.read = []
    for method, route, content, kind in (
        ("POST", "seats", "json", "length"),
        ("POST", "seats", "json", "unframed"),
        ("POST", "briefs", "events", "unframed"),
        ("POST", "briefs", "json", "chunks"),
        ("POST", "swaps", "events", "length"),
        ("GET", "lookups", "json", "204"),
        ("GET", "nowhere", "json", "length"),
        ("HEAD", "lookups", "json", "length"),
        ("HEAD", "nowhere", "json", "length"),
    ):
        cut = cut_replicas.Cut(kind, None, "kept", "")
        if route in ("briefs", "swaps"):
            cut = cut._replace(stage="decode")
        case = cut_cases.Case(route, cut, content, method)
        context.read.append((method, context.site.exchange([case])))


@behave.then("none looks complete before its last byte")
def step_last_byte(context):
    for method, data in context.read:
        assert data.startswith(b"HTTP/1.1 "), data
        found = cut_requests.complete_sizes(method, data)
        assert found == [len(data)], (found, data)
