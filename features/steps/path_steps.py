"""Steps on the whole path through real processes."""

import concurrent.futures
import time

import behave
from features.support import deployments
from features.support import fleets
from features.support import http


@behave.given(
    "a path of {nodes:d} nodes, {engines:d} engines and 1 plain service"
)
def step_path(context, nodes, engines):
    fleet = context.fleet = fleets.Fleet("path")
    fleet.start_platform()
    centres = ("north-apron", "cargo-ramp", "south-pen")
    for number in range(engines):
        fleet.start_engine(f"lm-{number}", centres[number % 3])
    fleet.start_service("ramp-1", "south-pen")
    fleet.start_nodes(*[f"entry-{number}" for number in range(nodes)])
    deployments.declare(fleet)


@behave.then("a streamed completion through each node is whole and exact")
def step_streamed(context):
    for name, node in context.fleet.nodes.items():
        found = deployments.complete(node, f"streamed by {name}")
        assert found.right and found.outcome == "complete", found


@behave.then("an unstreamed completion through each node is whole and exact")
def step_unstreamed(context):
    for name, node in context.fleet.nodes.items():
        content = f"whole by {name}"
        body = {
            "model": deployments.MODEL,
            "messages": deployments.messages(content),
            "max_tokens": 50,
        }
        found = http.post(
            f"{node.url}/v1/chat/completions",
            body,
            headers=deployments.headers(),
        )
        assert found.status == 200, found
        message = found.json()["choices"][0]["message"]
        assert message["content"] == deployments.expected_text(content, 50)


@behave.then("a plain call through each node is answered and ran once")
def step_called(context):
    for name, node in context.fleet.nodes.items():
        content = f"tug for {name}"
        found = deployments.call(node, content)
        assert found.status == 200, found
        assert found.body == deployments.expected_call(content), found
    executions = context.fleet["ramp-1"].test("dispatches")
    assert len(executions) == len(context.fleet.nodes), executions


@behave.then("each node lists the declared model")
def step_models(context):
    for node in context.fleet.nodes.values():
        found = http.get(f"{node.url}/v1/models", headers=deployments.headers())
        names = [model["id"] for model in found.json()["data"]]
        assert names == [deployments.MODEL], names


@behave.then('a caller without a token gets a problem document with "{word}"')
def step_unauthorized(context, word):
    node = next(iter(context.fleet.nodes.values()))
    found = http.get(f"{node.url}/v1/models")
    assert found.status == 401, found
    assert found.json()["outcome"] == word, found


STREAMS = ("config", "control", "claims")


@behave.when("records that nobody can read are put on every stream of the log")
def step_unreadable(context):
    log = context.fleet["log"]
    for stream in STREAMS:
        for body in (b"no JSON", b'[["change", 7]]', b'{"claim": 1}'):
            answer = http.post(f"{log.url}/streams/{stream}/records", body)
            assert answer.status == 200, answer


@behave.then("a change of configuration comes into force at each node")
def step_in_force(context):
    fleet = context.fleet
    answer = fleet.apply('alter kind "briefing" set deadline = 41;')
    revision = answer.json()["revision"]
    for node in fleet.nodes.values():
        fleet.until(lambda node=node: fleet.state(node)["revision"] == revision)


@behave.then("each node logged event {number:d} for each of those streams")
def step_logged(context, number):
    def streams(node):
        return {line["stream"] for line in node.events(number)}

    for node in context.fleet.nodes.values():
        context.fleet.until(lambda node=node: streams(node) == set(STREAMS))


@behave.when(
    "{calls:d} calls wait at each node in turn, which is not run for "
    "{seconds:g} s"
)
def step_stalled(context, calls, seconds):
    context.answers = []
    with concurrent.futures.ThreadPoolExecutor(calls) as pool:
        for name, node in context.fleet.nodes.items():
            node.freeze()
            waiting = []
            for number in range(calls):
                body = f"{name} {number}"
                waiting.append(pool.submit(deployments.call, node, body))
            time.sleep(seconds)
            node.thaw()
            for call in waiting:
                context.answers.append(call.result())


@behave.then("each of these calls was answered")
def step_all_answered(context):
    statuses = [answer.status for answer in context.answers]
    assert set(statuses) == {200}, statuses
