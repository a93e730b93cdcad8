"""Steps on engines that start again, and on entries of other writers."""

import behave
from features.support import gateway_calls as callers
from features.support import gateways
from features.support import http

from gypsumfold import events
from gypsumfold.platform import names

UNUSABLE = {
    "i-text": b"\xff\x00not json",
    "i-deep": b'{"service":' + b"[" * 5000,
    "i-state": b'{"service":"app","addr":"127.0.0.1:1","zone":"z","slots":6,'
    b'"state":"resting"}',
    "i-fields": b'{"addr":"127.0.0.1:1","state":"ready"}',
    "i-type": b'{"service":"app","addr":"127.0.0.1:1","zone":"z",'
    b'"slots":"6","state":"ready"}',
}


@behave.given('a caller\'s prompt "{chain}" was read at "{path}"')
def step_was_read(context, chain, path):
    callers.stream(context, path, chain)
    context.reader = reader(context)


def reader(context):
    """The name of the engine that read the last caller's prompt."""
    attempt = context.sent[names.ATTEMPT]
    for name, record in callers.records(context).items():
        if attempt in [one["attempt"] for one in record["prompts"]]:
            return name
    raise AssertionError("no engine has read the prompt")


@behave.step(
    "the engine that read it starts again under its id and the gateway knows"
)
def step_restart(context):
    process = context.fleet[context.reader]
    context.before = process.test("record")["born"]
    assert http.post(f"{process.url}/_test/restart", b"").status == 200
    context.fleet.register(context.reader, "lm")
    born = context.fleet.entries[context.reader]["born"]

    def known():
        found = context.gateway.events(events.REPLICA_RESTARTED.number)
        return born in [line["born"] for line in found]

    gateways.until(known, "the gateway does not know of the new start")


@behave.when(
    "a late entry of its earlier start says that it leaves, and more entries "
    "come"
)
def step_late(context):
    entry = context.fleet.entries[context.reader]
    late = {**entry, "born": context.before, "state": "draining"}
    topic = names.REGISTRATIONS_TOPIC
    context.fleet.write(topic, entry["instance"], late)
    # Once this one is known the late one was read.
    context.fleet.register("app-1", "app", slots=7)

    def known():
        found = context.gateway.events(events.REPLICA_CHANGED.number)
        instance = context.fleet.entries["app-1"]["instance"]
        return [one["instance"] for one in found].count(instance) > 1

    gateways.until(known, "the gateway does not know of the last entry")


@behave.then("the gateway had all {tokens:d} tokens of its prompt read")
def step_tokens(context, tokens):
    placed = placed_last(context)
    assert placed["tokens"] == tokens, placed
    assert not placed["copied_from"], placed


@behave.then("the same engine read its prompt")
def step_same(context):
    assert reader(context) == context.reader


def placed_last(context):
    """The line on where the last caller's prompt was sent."""
    attempt = context.sent[names.ATTEMPT]
    found = context.gateway.events(events.PROMPT_PLACED.number)
    return [line for line in found if line["request"] == attempt][-1]


@behave.when("entries come that nobody could use, between good ones")
def step_unusable(context):
    topic = names.REGISTRATIONS_TOPIC
    store = context.fleet["store"].url
    for key, value in UNUSABLE.items():
        url = f"{store}/_test/write?topic={topic}&key={key}"
        assert http.post(url, value).status == 200
    context.fleet.register("app-1", "app", slots=7)
    context.fleet.register("app-2", "app", slots=7)

    def known():
        found = context.gateway.events(events.REPLICA_CHANGED.number)
        return len([one for one in found if one["service"] == "app"]) >= 4

    gateways.until(known, "the gateway does not know of the last entry")


@behave.then("each unusable entry was logged once")
def step_logged_once(context):
    found = context.gateway.events(events.RECORD_SKIPPED.number)
    assert sorted(line["key"] for line in found) == sorted(UNUSABLE), found
