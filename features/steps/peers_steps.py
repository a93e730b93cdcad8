"""Steps on the protocol between nodes."""

import itertools
import socket
import struct

import behave
from features.support import fleets
import hypothesis
from hypothesis import strategies
import psutil

from gypsumfold import exceptions
from gypsumfold.endpoints import sse
from gypsumfold.peers import framing

# The same examples on each run; nothing is kept between runs.
FUZZ = hypothesis.settings(
    derandomize=True, database=None, max_examples=300, deadline=None
)
SECRET = fleets.SECRET.encode()
# A thrift binary field of type string whose length claims 2 GiB less one.
HOSTILE = bytes.fromhex("0b00017fffffff")


@behave.given("peers of {count:d} nodes")
def step_peers(context, count):
    fleet = context.fleet = fleets.Fleet("peers")
    fleet.start_platform()
    context.nodes = fleet.start_nodes(
        *[f"entry-{number}" for number in range(count)]
    )
    until_heard(context)


def nodes_shown(fleet, node):
    answer = fleet.operate("/v1/queries", {"text": "show nodes"}, node)
    assert answer.status == 200, answer
    return {row[0] for row in answer.json()["rows"]}


def until_heard(context):
    for node in context.nodes:
        context.fleet.until(
            lambda node=node: (
                len(nodes_shown(context.fleet, node)) == len(context.nodes)
            )
        )


def frame_of(kind, nonce):
    """Makes the bytes that a stranger sends after it got the nonce."""
    if kind == "a claim of a 2 GiB string":
        return struct.pack(">I", len(HOSTILE)) + HOSTILE
    if kind == "a frame of 4 GiB":
        return b"\xff\xff\xff\xff" + HOSTILE
    if kind == "a frame with a wrong HMAC":
        return framing.Signer(b"x" * 16, nonce, b"c").make_frame(HOSTILE)
    other = framing.Signer(SECRET, bytes(framing.NONCE_BYTES), b"c")
    return other.make_frame(HOSTILE)


@behave.when("a stranger sends {kind} to a node's port for peers")
def step_stranger(context, kind):
    node = context.nodes[0]
    context.memory = psutil.Process(node.pid).memory_info().rss
    address = (node.host, fleets.PEERS_PORT)
    with socket.create_connection(address, timeout=30) as sock:
        nonce = sock.recv(framing.NONCE_BYTES, socket.MSG_WAITALL)
        sock.sendall(frame_of(kind, nonce))
        try:
            context.answer = sock.recv(1)
        except ConnectionResetError:
            context.answer = b""


@behave.then("the node closes the connection and logs event {number:d}")
def step_closed(context, number):
    assert context.answer == b"", context.answer
    node = context.nodes[0]
    context.fleet.until(lambda: node.events(number))


@behave.then("the node's memory grew by less than {limit:d} MiB")
def step_memory(context, limit):
    now = psutil.Process(context.nodes[0].pid).memory_info().rss
    assert now - context.memory < limit * 1024 * 1024, now - context.memory


@behave.then("the two nodes still hear of each other")
def step_heard(context):
    until_heard(context)


@behave.when("the second node is frozen until the first one has lost it")
def step_frozen(context):
    first, second = context.nodes
    second.freeze()
    context.fleet.until(lambda: first.events(501))
    context.fleet.until(lambda: len(nodes_shown(context.fleet, first)) == 1)


@behave.then("the two nodes hear of each other once it is thawed")
def step_thawed(context):
    context.nodes[1].thaw()
    until_heard(context)


def signers():
    nonce = bytes(range(framing.NONCE_BYTES))
    sender = framing.Signer(SECRET, nonce, b"c")
    return sender, framing.Signer(SECRET, nonce, b"c")


def is_refused(receiver, body):
    try:
        receiver.verify(body)
    except exceptions.FrameInvalid:
        return True
    return False


@behave.then("hypothesis finds no changed frame that is accepted")
def step_changed(context):
    @FUZZ
    @hypothesis.given(
        strategies.binary(max_size=200),
        strategies.integers(min_value=0),
        strategies.integers(1, 255),
    )
    def check(payload, place, change):
        sender, receiver = signers()
        body = bytearray(sender.make_frame(payload)[4:])
        body[place % len(body)] ^= change
        assert is_refused(receiver, bytes(body))

    check()


@behave.then("hypothesis finds no reordered frame that is accepted")
def step_reordered(context):
    @FUZZ
    @hypothesis.given(
        strategies.lists(
            strategies.binary(max_size=20), min_size=2, max_size=5
        ),
        strategies.randoms(use_true_random=False),
    )
    def check(payloads, random):
        sender, receiver = signers()
        bodies = list(enumerate(sender.make_frame(p)[4:] for p in payloads))
        random.shuffle(bodies)
        for expected, (number, body) in enumerate(bodies):
            if number == expected:
                receiver.verify(body)
                continue
            assert is_refused(receiver, body)
            break

    check()


@behave.then("hypothesis finds no payload that fails without a typed error")
def step_payload(context):
    # Only a holder of the secret can have these decoded, so the lengths
    # are kept small here; the claim of 2 GiB is the scenario above.
    @FUZZ
    @hypothesis.given(strategies.binary(max_size=6))
    def check(payload):
        try:
            framing.decode(framing.peers_thrift.Envelope, payload)
        except exceptions.FrameInvalid:
            return

    check()


EVENTS = strategies.lists(
    strategies.builds(
        sse.ServerEvent,
        data=strategies.text(
            strategies.characters(
                exclude_categories=["Cs"], exclude_characters="\r"
            ),
            min_size=1,
            max_size=30,
        ),
        event=strategies.sampled_from(["", "error"]),
        id=strategies.sampled_from(["", "abc.7"]),
    ),
    max_size=5,
)


@behave.then("hypothesis finds no events that change by where they are cut")
def step_cut(context):
    @FUZZ
    @hypothesis.given(
        EVENTS, strategies.lists(strategies.integers(0, 400), max_size=6)
    )
    def check(events, cuts):
        data = sse.COMMENT.join([b"", *map(sse.render, events)])
        places = sorted({0, len(data), *[c for c in cuts if c < len(data)]})
        parser = sse.Parser()
        found = []
        for start, end in itertools.pairwise(places):
            found.extend(parser.feed(data[start:end]))
        assert found == events, (found, events)

    check()


@behave.then("hypothesis finds no bytes that fail without a typed error")
def step_bytes(context):
    @FUZZ
    @hypothesis.given(strategies.lists(strategies.binary(max_size=80)))
    def check(chunks):
        parser = sse.Parser()
        try:
            for chunk in chunks:
                parser.feed(chunk)
        except exceptions.StreamBroken:
            return

    check()
