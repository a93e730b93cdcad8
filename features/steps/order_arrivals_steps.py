"""Steps on orders that must not arrive after their permission has ended."""

import asyncio
import signal
import socket
import struct
import subprocess
import sys
import time
from unittest import mock

import behave
from features.support import cut_links
from features.support import ordering_node
import uvloop

from gypsumfold import clocks
from gypsumfold import events
from gypsumfold import exceptions

# Time after the permission's end at which a link is back.
HEALED_SECONDS = 0.03
# Until when the kernel of a frozen node has given up or resent an order.
RESENT_SECONDS = 4.0
SETTLE_SECONDS = 0.02


@behave.given("an engine that takes orders")
def step_engine(context):
    serve(context, answers=True)


@behave.given("an engine that does not answer orders")
def step_silent_engine(context):
    serve(context, answers=False)


def serve(context, answers):
    """Starts an engine that serves one connection."""
    context.engine = cut_links.Engine()
    context.add_cleanup(context.engine.close)
    context.engine.serve(answers)


def play(context, story, pool=None):
    """Runs a node's story on the event loop that gateways use."""
    context.node = ordering_node.Node(context.engine.address, pool)

    async def run():
        await story(context.node)
        context.node.pool.close()
        # The connections are closed in the loop's next turns.
        await asyncio.sleep(SETTLE_SECONDS)

    with mock.patch.object(events, "log"):
        uvloop.run(run())


async def give(context, seconds):
    """Gives an order; keeps its result or error."""
    try:
        async with asyncio.timeout(2.0):
            context.result = await context.node.order(seconds)
    except (exceptions.GypsumfoldError, TimeoutError) as error:
        context.result = error


@behave.when(
    "a node with a permission for {permitted:g} s gives an order while "
    "{trouble} for {seconds:g} s"
)
def step_slow(context, permitted, trouble, seconds):
    async def story(node):
        await give(context, permitted)
        context.first = context.result
        context.arrived = list(context.engine.order_arrivals)
        node.pool.seconds = 0.0
        await give(context, 30.0)

    play(context, story, ordering_node.SlowPool(seconds, "frozen" in trouble))


@behave.then("the order is not sent, for want of authority")
def step_not_sent(context):
    assert isinstance(context.first, exceptions.AuthorityEnded), context.first
    assert not context.arrived, context.arrived


@behave.then("the connection that was opened for it takes the next order")
def step_next(context):
    assert context.result is True, context.result
    assert context.node.pool.opened == 1, context.node.pool.opened


@behave.given(
    "a node with a connection to an engine, over a link that is cut then"
)
def step_node(context):
    context.engine = cut_links.Engine()
    context.add_cleanup(context.engine.close)


@behave.when(
    "it gives an order with a permission for {permitted:g} s and {state} at "
    "once"
)
def step_order(context, permitted, state):
    module = "features.support.ordering_node"
    context.process = subprocess.Popen(
        [sys.executable, "-m", module, context.engine.address, str(permitted)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    context.add_cleanup(end, context.process)
    context.engine.accept(30.0)
    context.engine.answer_request()
    assert context.process.stdout.readline() == "ready\n"
    context.engine.cut()
    context.process.stdin.write("go\n")
    context.process.stdin.flush()
    context.ends_at = float(context.process.stdout.readline())
    assert context.engine.is_owed()
    if state == "is frozen":
        context.process.send_signal(signal.SIGSTOP)
    elif state == "is killed":
        context.process.kill()


def end(process):
    """Ends a node."""
    process.kill()
    process.communicate()


@behave.when("the link is back")
def step_heal_at_once(context):
    context.engine.heal()


@behave.when("the link is back after the permission has ended")
def step_heal(context):
    time.sleep(max(0.0, context.ends_at + HEALED_SECONDS - clocks.now()))
    context.engine.heal()


def wait_for_resent(engine):
    """Waits until an order has arrived or can't any more."""
    cut_links.wait_until(
        lambda: engine.has_order() or not engine.may_receive(), RESENT_SECONDS
    )
    assert not engine.has_order(), "the order has arrived"
    assert not engine.may_receive(), "the kernel may still resend it"


@behave.then("the order does not arrive any more")
def step_no_arrival(context):
    wait_for_resent(context.engine)


@behave.when(
    "a node with a permission for {permitted:g} s gives an order and is "
    "suspended for {seconds:g} s"
)
def step_suspended(context, permitted, seconds):
    now = clocks.now

    def shifted():
        return now() + (seconds if context.engine.order_arrivals else 0.0)

    with mock.patch.object(clocks, "now", shifted):
        play(context, lambda node: give(context, permitted))


@behave.when("a node with a permission for {permitted:g} s gives an order")
def step_gives(context, permitted):
    async def story(node):
        await give(context, permitted)
        context.options = []
        for kept in node.pool.idle.values():
            for connection in kept:
                context.options.append(options(connection))

    play(context, story)


def options(connection):
    """Whether a connection resets on close, and its time for an answer."""
    sock = connection.transport.get_extra_info("socket")
    linger = sock.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER, 8)
    timeout = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
    return struct.unpack("ii", linger)[0], timeout


@behave.then(
    "its connection is closed in order and may wait {timeout:d} ms for an "
    "acknowledgement"
)
def step_options(context, timeout):
    assert context.result is True, context.result
    assert context.options == [(0, timeout)], context.options
    cut_links.wait_until(lambda: context.engine.ended)
    assert context.engine.ended == "closed", context.engine.ended


@behave.then("the order fails with an unknown result within 2 s")
def step_unknown(context):
    assert isinstance(context.result, exceptions.AnswerBroken), context.result


@behave.then("the engine sees a reset")
def step_reset(context):
    cut_links.wait_until(lambda: context.engine.ended)
    assert context.engine.ended == "reset", context.engine.ended


@behave.when(
    "a node with a permission for {permitted:g} s gives an order before its "
    "event loop is busy for {seconds:g} s"
)
def step_busy(context, permitted, seconds):
    async def story(node):
        # A connection that can be used at once.
        await node.request()
        order = asyncio.create_task(give(context, permitted))
        asyncio.get_running_loop().call_soon(ordering_node.freeze, seconds)
        await order

    play(context, story)


@behave.then("the order has arrived while it was permitted")
def step_in_time(context):
    cut_links.wait_until(lambda: context.engine.order_arrivals)
    (arrived,) = context.engine.order_arrivals
    late = arrived - context.node.grant.ends_at
    assert late < 0.0, f"{late:.3f} s late"


@behave.given("an engine that answers an order before the link lets it through")
def step_early(context):
    engine = context.engine = cut_links.Engine()
    context.add_cleanup(engine.close)

    def run():
        engine.accept()
        engine.answer_request()
        engine.cut()
        # The answer's acknowledgement is dropped as well.
        cut_links.wait_until(engine.is_owed)
        engine.connection.send(cut_links.ACCEPTED)

    engine.spawn(run)


@behave.when(
    "a node with a permission for {permitted:g} s gives an order over that "
    "link, which is back then"
)
def step_over_link(context, permitted):
    async def story(node):
        await node.request()
        await give(context, permitted)
        context.engine.heal()
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(None, wait_for_resent, context.engine)

    play(context, story)


@behave.then("the order is taken as answered, and does not arrive any more")
def step_not_kept(context):
    assert context.result is True, context.result
    wait_for_resent(context.engine)


@behave.when(
    "a node with a permission for {permitted:g} s gives an order after a "
    "request"
)
def step_after_request(context, permitted):
    async def story(node):
        await node.request()
        await give(context, permitted)

    play(context, story)


@behave.then("the order has taken the connection that was open")
def step_opened(context):
    assert context.result is True, context.result
    assert context.node.pool.opened == 1, context.node.pool.opened


@behave.given("an engine that answers a request without reading it")
def step_unread(context):
    engine = context.engine = cut_links.Engine()
    context.add_cleanup(engine.close)

    def run():
        engine.accept()
        cut_links.wait_until(engine.is_full)
        engine.send_answer()

    engine.spawn(run)


@behave.when(
    "a node with a permission for {permitted:g} s gives an order after a "
    "request of {size:d} MB"
)
def step_after_large(context, permitted, size):
    async def story(node):
        await node.request(b"x" * size * 1024 * 1024)
        await give(context, permitted)

    play(context, story)


@behave.then(
    "the order fails as not sent, and the engine sees a reset before it"
)
def step_full(context):
    engine = context.engine
    assert isinstance(context.result, exceptions.EndpointNotStarted), (
        context.result
    )
    cut_links.wait_until(lambda: engine.read() or engine.ended)
    assert engine.ended == "reset", engine.ended
    assert b"fence" not in engine.received
