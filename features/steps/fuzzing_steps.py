"""Steps that decode made-up messages from outside."""

import functools
import json
import math
import pathlib
import tempfile

import behave
from features.support import made_up
import hypothesis
from hypothesis import strategies
import msgspec

from gypsumfold import exceptions
from gypsumfold.decisions import prefix_routing as prefix_routing_module
from gypsumfold.decisions import prompts as prompts_module
from gypsumfold.decisions import registry as registry_module
from gypsumfold.gateway import registrations as registrations_module
from gypsumfold.gateway import settings as settings_module
from gypsumfold.gateway import supervision
from gypsumfold.gateway import topic_watches
from gypsumfold.gateway import types
from gypsumfold.gateway.peers import frames
from gypsumfold.gateway.peers import messages
from gypsumfold.platform import decoding
from gypsumfold.platform import ingress
from gypsumfold.platform import store as store_module

# Examples of each kind; 300 take about a second.
EXAMPLES = 300
MEGABYTE = 1 << 20
SETTINGS = hypothesis.settings(
    max_examples=EXAMPLES,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)


def replica_of(value):
    """Decodes a registration."""
    found = decoding.decode_replica("i-1", value)
    assert isinstance(found.slots, int) and found.slots >= 1, found
    assert isinstance(found.started_at, int) and found.service, found


def entry_of(value):
    """Takes the entry of a node in."""
    gossip = made_up.gossip()
    gossip.entries.update([store_module.Record("edge-2", value)])
    if not gossip.members.known:
        raise exceptions.RecordInvalid("no peer")
    for member in gossip.members.known.values():
        assert 0 < member.address[1] < 65536, member


DECODERS = {
    "registrations": (made_up.REGISTRATION, replica_of),
    "configurations": (made_up.CONFIGURATION, decoding.decode_configuration),
    "reports of engines": (made_up.REPORT, decoding.decode_state),
    "lists of caches": (made_up.CACHE_LIST, decoding.decode_cache_list),
    "handles of caches": (made_up.HANDLE, decoding.decode_handle),
    "entries of nodes": (made_up.NODE, entry_of),
}


def encode(found):
    """Encodes what was decoded, as messages and metrics have it."""
    if isinstance(found, types.Configuration):
        counts = [found.version, found.limits.body_bytes]
        for service in found.services.values():
            counts += [service.connections, service.cache_tokens]
        msgspec.msgpack.encode(counts)
        return
    msgspec.msgpack.encode(found)


@behave.when("made-up {kind} are decoded and encoded for other nodes")
def step_encode(context, kind):
    valid, decoder = DECODERS[kind]
    if kind == "registrations":
        decoder = functools.partial(decoding.decode_replica, "i-1")
    decode_all(
        context,
        strategies.one_of(
            made_up.messages(valid),
            strategies.sampled_from(made_up.with_large_numbers(valid)),
        ),
        lambda value: encode(decoder(value)),
    )


@behave.when("made-up {kind} are decoded")
def step_decode(context, kind):
    if kind == "headers of requests":
        decode_all(context, made_up.headers(), decode_headers)
        return
    valid, decoder = DECODERS[kind]
    decode_all(context, made_up.messages(valid), decoder)


def decode_all(context, strategy, decoder):
    """Decodes made-up values; keeps how many were taken and refused."""
    ends = {"decoded": 0, "refused": 0}

    @SETTINGS
    @hypothesis.given(strategy)
    def decode(value):
        try:
            decoder(value)
        except (
            exceptions.RecordInvalid,
            exceptions.RequestInvalid,
            exceptions.SettingsError,
        ):
            ends["refused"] += 1
            return
        ends["decoded"] += 1

    decode()
    context.ends = ends


def decode_headers(fields):
    """Decodes a request's headers and uses what they hold."""
    call = ingress.decode("POST", "/a/1", fields, b"", 1.0)
    assert call.deadline >= 1.0
    homes = prefix_routing_module.PrefixRouter()
    engine = prompts_module.Engine("engine-1", "10.0.0.1:1")
    prompt = prompts_module.Prompt(call.chain, call.model, call.prompt_tokens)
    homes.choose(prompt, [engine], [engine], 1e6, 0.0)


@behave.then("each is decoded or refused")
def step_ends(context):
    assert sum(context.ends.values()) >= EXAMPLES / 2, context.ends
    assert context.ends["refused"], context.ends
    assert context.ends["decoded"], context.ends


@behave.when("made-up datagrams reach a node")
def step_datagrams(context):
    context.gossip = made_up.gossip()
    context.ends = {"decoded": 0, "refused": 0}

    @SETTINGS
    @hypothesis.given(made_up.datagrams())
    def receive(data):
        before = len(context.gossip.last_sequences)
        context.gossip.datagram_received(data, ("10.0.0.9", 1))
        heard = len(context.gossip.last_sequences) > before
        context.ends["decoded" if heard else "refused"] += 1
        sums = context.gossip.loads.prefix_router.waiting.remote_totals
        assert all(map(math.isfinite, sums.values())), sums

    receive()


@behave.then("the node still takes a peer's datagram in")
def step_still(context):
    report = messages.Report(
        messages.Contact("edge-good-1", "edge-good", "north"),
        1,
        messages.SUBSCRIBE_NONE,
        messages.EngineLoads({"i-1/0": 0.5}),
        messages.Updates(),
    )
    data = frames.encode(report, context.gossip.sealer)
    context.gossip.datagram_received(data, ("10.0.0.2", 8092))
    assert "edge-good-1" in context.gossip.members.known


@behave.when("made-up settings are read")
def step_settings(context):
    folder = pathlib.Path(tempfile.mkdtemp(prefix="settings-"))
    path = folder / "gateway.toml"

    def load(data):
        path.write_bytes(data)
        settings_module.load(path)

    decode_all(context, made_up.settings_files(), load)


FAULTS = {
    "no service": {"service": None},
    "a number as name": {"service": 7},
    "an unknown state": {"state": "resting"},
    "an unknown role": {"stage": "thinking"},
    "slots as text": {"slots": "24"},
    "no address": {"addr": "somewhere"},
    "a start as text": {"born": "1764726000000"},
    "slots beyond 64 bits": {"slots": 2**128 - 1},
    "a start beyond 64 bits": {"born": 2**64},
    "a start before 1970": {"born": -1},
    "a version of 4000 digits": {"version": 10**3999},
    "a service of a megabyte": {"service": "x" * MEGABYTE},
    "a data centre of a megabyte": {"zone": "x" * MEGABYTE},
    "a version of a megabyte": {"version": "x" * MEGABYTE},
    "nothing wrong": {},
}


@behave.given("a directory that follows registrations")
def step_directory(context):
    gossip = made_up.gossip()
    context.directory = gossip.directory
    context.registrations = registrations_module.Registrations(
        context.directory, topic_watches.StoreState(3.0)
    )


@behave.when("a registration with {fault} comes between two good ones")
def step_bad_entry(context, fault):
    bad = b"\xff\x00{" if fault == "bytes" else changed(FAULTS[fault])
    good = json.dumps(made_up.REGISTRATION).encode()
    context.records = [
        store_module.Record("i-1", good),
        store_module.Record("i-bad", bad),
        store_module.Record("i-2", good),
    ]
    for _ in range(3):
        context.registrations.replace(context.records, 1)
        context.registrations.update(context.records)


def changed(changes):
    """A registration with some fields changed, or left out for None."""
    entry = {**made_up.REGISTRATION, **changes}
    entry = {name: value for name, value in entry.items() if value is not None}
    return json.dumps(entry).encode()


@behave.then("the two good ones are known and the other one is not")
def step_good_known(context):
    assert sorted(context.directory.replicas) == ["i-1", "i-2"]


@behave.given('a directory that follows registrations and fails at "{name}"')
def step_failing_directory(context, name):
    step_directory(context)
    put = context.directory.put

    def fail_at(replica):
        if replica.instance == name:
            raise OverflowError("it is too large")
        put(replica)

    context.directory.put = fail_at


@behave.then("the same holds where a relay passes the three on")
def step_relayed(context):
    changes = []
    for number, name in enumerate(("i-1", "i-bad", "i-2")):
        replica = decoding.decode_replica(name, changed({}))
        value = registrations_module.ENCODER.encode(replica)
        changes.append(registry_module.Change(name, number, value))
    follower = registrations_module.Registrations(
        context.directory, topic_watches.StoreState(3.0)
    )
    context.directory.replicas.clear()
    follower.merge(changes, 0.0)
    step_good_known(context)


@behave.when("{count:d} entries of {size:d} kilobytes that can't be read come")
def step_large_entries(context, count, size):
    value = b"x" * (size << 10)
    records = []
    for number in range(count):
        own = value + str(number).encode()
        records.append(store_module.Record(f"i-{number}", own))
    context.registrations.replace(records, 1)


@behave.then("at most {size:d} kilobytes are kept of them")
def step_kept(context, size):
    kept = sum(map(len, context.registrations.skipped.values()))
    assert kept <= size << 10, kept


@behave.when(
    "a part that follows the store fails {failures:d} times, {seconds:g} s "
    "after each start"
)
def step_failing_part(context, failures, seconds):
    context.supervisor = supervision.Supervisor()
    now = 0.0
    for _ in range(failures):
        context.supervisor.record_failure("watch", now, now + seconds)
        now += seconds + supervision.RESTART_SECONDS
    context.now = now


@behave.then("the gateway is {readiness} at once")
def step_readiness(context, readiness):
    failing = context.supervisor.is_failing("watch", context.now)
    assert failing == (readiness == "not ready"), failing


@behave.then("the gateway is ready {seconds:d} seconds later")
def step_ready_later(context, seconds):
    later = context.now + seconds
    assert not context.supervisor.is_failing("watch", later)


@behave.then("it was counted once, however often it was read")
def step_counted(context):
    assert context.registrations.unreadable == 1
