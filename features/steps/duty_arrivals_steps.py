"""Steps on when calls to the platform's operations API arrive."""

import asyncio
import contextlib
import signal
import socket
import threading
import time
import types
from unittest import mock

import behave
from features.support import cut_links
from features.support import duty_platform
from features.support import fixed_leader

from gypsumfold import clocks
from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold.decisions import capacity
from gypsumfold.decisions import metering
from gypsumfold.gateway import grants
from gypsumfold.gateway import scaling
from gypsumfold.gateway import usage_reports
from gypsumfold.platform import operations as operations_module

# Seconds after the end of a permission at which the platform reads.
AFTERWARDS = 0.4
# Seconds after which a call is cancelled once its permission was confirmed.
CANCEL_SECONDS = 0.2
MADE_UP_REPORT = b'{"windowSeq": 1, "counts": {}}'


def start(context, *arguments):
    """Starts a gateway's process, which ends with the scenario."""
    caller = duty_platform.Caller(*arguments)
    context.add_cleanup(caller.end)
    return caller


@behave.given("a platform that accepts no connection for {seconds:g} s")
def step_full(context, seconds):
    context.platform = duty_platform.Platform(backlog=0)
    context.seconds = seconds
    # One connection fills the queue, so that the kernel ignores others.
    filler = socket.create_connection(context.platform.listener.getsockname())
    context.add_cleanup(filler.close)


@behave.when("a usage report is sent with a permission of {seconds:g} s")
def step_send(context, seconds):
    platform = context.platform
    size = len(MADE_UP_REPORT)
    context.caller = start(context, platform.address, seconds, size)
    if hasattr(context, "elsewhere"):
        connection = platform.accept()
        connection.recv(65536)
        connection.sendall(
            "HTTP/1.1 307 Temporary Redirect\r\n"
            f"Location: http://{context.elsewhere.address}/usage\r\n"
            "Content-Length: 0\r\n\r\n".encode()
        )
        context.add_cleanup(connection.close)
        return
    # Its first packet is ignored, and the next one comes after a second.
    context.caller.until("begins")
    time.sleep(context.seconds)
    platform.accept().close()


@behave.then("nothing of it arrives")
def step_nothing(context):
    context.caller.until("ended")
    platform = context.platform
    while platform.has_connection(0.0):
        platform.read(platform.accept())
    assert platform.received == b"", platform.received


@behave.given("a platform that reads nothing at first")
def step_mute(context):
    context.platform = duty_platform.Platform()


@behave.when(
    "a usage report of {size:d} kB is sent with a permission of {seconds:g} s, "
    "and its gateway {trouble}"
)
def step_send_much(context, size, seconds, trouble):
    context.size = size * 1000
    cancels = trouble == "cancels it"
    caller = start(
        context,
        context.platform.address,
        seconds,
        context.size,
        CANCEL_SECONDS if cancels else duty_platform.NEVER,
    )
    caller.until(events.AUTHORITY_USED.name)
    context.ends_at = time.monotonic() + seconds
    context.connection = context.platform.accept()
    assert context.connection.recv(1, socket.MSG_PEEK)
    if trouble == "is killed":
        caller.child.kill()
        caller.child.wait()
    elif trouble.startswith("is frozen"):
        caller.child.send_signal(signal.SIGSTOP)
        if trouble == "is frozen for 3 s":
            thaw = threading.Timer(
                3.0, caller.child.send_signal, (signal.SIGCONT,)
            )
            thaw.start()
            context.add_cleanup(thaw.cancel)
    elif cancels:
        caller.until("ended")


@behave.when("the platform reads all that comes once the permission has ended")
def step_read_late(context):
    time.sleep(max(0.0, context.ends_at + AFTERWARDS - time.monotonic()))
    step_read(context)


@behave.when("the platform reads all that comes")
def step_read(context):
    context.platform.read(context.connection, context.size)


@behave.given(
    "a platform over a link that is cut as a report is sent, and a gateway "
    "that {state}"
)
def step_link(context, state):
    context.state = state
    context.engine = cut_links.Engine()
    context.add_cleanup(context.engine.close)


@behave.when("the link is back after the permission of {seconds:g} s has ended")
def step_healed(context, seconds):
    engine = context.engine
    size = len(MADE_UP_REPORT)
    caller = start(
        context, engine.address, seconds, size, duty_platform.NEVER, "waits"
    )
    caller.until("begins")
    ends_at = time.monotonic() + seconds
    caller.until("connected")
    engine.accept()
    engine.cut()
    caller.go_on()
    caller.until(events.AUTHORITY_USED.name)
    assert cut_links.wait_until(engine.is_owed)
    if context.state == "is killed":
        caller.child.kill()
        caller.child.wait()
    elif context.state == "is frozen":
        caller.child.send_signal(signal.SIGSTOP)
    time.sleep(max(0.0, ends_at - time.monotonic()))
    engine.heal()


@behave.then("the report does not arrive any more")
def step_not_arrived(context):
    engine = context.engine
    # The kernel of the other side has either dropped the report or sent it.
    assert cut_links.wait_until(lambda: not engine.is_owed())
    engine.read()
    assert engine.received == b"", engine.received


@behave.when("the platform reads at most {rate:d} kB a second")
def step_read_slowly(context, rate):
    context.platform.read(
        context.connection, context.size, rate * 10, pause=0.01
    )


@behave.then("not all of the report arrives, and its connection is reset")
def step_reset(context):
    platform = context.platform
    assert not platform.is_whole(context.size), len(platform.received)
    assert platform.was_reset


@behave.given("a platform that redirects reports to another address")
def step_redirecting(context):
    context.platform = duty_platform.Platform()
    context.elsewhere = duty_platform.Platform()


@behave.then("nothing of it arrives at the other address")
def step_nothing_elsewhere(context):
    elsewhere = context.elsewhere
    if elsewhere.has_connection(0.5):
        connection = elsewhere.accept()
        raise AssertionError(connection.recv(65536))
    context.caller.until("ended")


@behave.when(
    "the machine is suspended for {seconds:g} s while a usage report waits "
    "for its answer"
)
def step_suspended(context, seconds):
    ahead = 0.0
    real = clocks.now

    async def story():
        nonlocal ahead
        operations = operations_module.Operations(context.platform.address)
        sent = asyncio.Event()
        now = clocks.now()
        grant = grants.Grant(1, "edge-1-1", now, now + seconds / 2)
        with mock.patch.object(events, "log", lambda *_, **__: sent.set()):
            task = asyncio.create_task(
                operations.report_usage(MADE_UP_REPORT, "edge-1", grant)
            )
            await sent.wait()
        ahead = seconds
        await asyncio.wait({task}, timeout=duty_platform.LIMIT / 4)
        context.has_ended = task.done()
        task.cancel()
        with contextlib.suppress(
            asyncio.CancelledError, exceptions.PlatformError
        ):
            await task
        await operations.close()

    with (
        mock.patch.object(clocks, "now", lambda: real() + ahead),
        mock.patch.object(operations_module, "CALL_TIMEOUT_SECONDS", seconds),
    ):
        asyncio.run(story())


@behave.then("the call has ended a moment later")
def step_has_ended(context):
    assert context.has_ended


async def fail(answer):
    """Sends a report to a platform; returns the type of the error."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        if answer.startswith("answers"):
            status = answer.split()[1]
            head = f"HTTP/1.1 {status} No\r\nContent-Length: 0\r\n\r\n"
            writer.write(head.encode())
        writer.close()

    host = duty_platform.HOST
    server = await asyncio.start_server(serve, host, 0)
    port = server.sockets[0].getsockname()[1]
    if answer == "can't be found":
        server.close()
    operations = operations_module.Operations(f"{host}:{port}")
    grant = fixed_leader.grant(1)
    try:
        await operations.report_usage(MADE_UP_REPORT, "edge-1", grant)
    except exceptions.OperationsUnavailable as error:
        return type(error)
    finally:
        server.close()


@behave.when("a report is sent to a platform that {answer}")
def step_fail(context, answer):
    context.error = asyncio.run(fail(answer))


@behave.then("it fails with {name}")
def step_error(context, name):
    assert context.error is getattr(exceptions, name), context.error


class Suspended:
    """A leadership whose authority ended while the machine was suspended."""

    def __init__(self):
        self.valid_until = time.monotonic() + duty_platform.NEVER

    def token(self, now):
        """The token at a time of the clock that counts suspension."""
        return 1 if now < self.valid_until else None

    @contextlib.contextmanager
    def act(self):
        """Permits nothing."""
        yield None


def duty(name):
    """What performs one duty, with something that a leader keeps."""
    store = mock.AsyncMock(
        eras=types.SimpleNamespace(listeners=[], is_known=False)
    )
    if name == "scaler":
        found = scaling.Scaler(
            store,
            None,
            Suspended(),
            types.SimpleNamespace(current=None),
            None,
            None,
            capacity.Policy(),
            "edge-1",
        )
        found.capacities["lm"] = capacity.Capacity(3, found.policy)
        return found
    found = usage_reports.UsageReporter(
        store,
        None,
        Suspended(),
        metering.Policy(5.0, 10.0),
        "edge-1",
        clocks.now,
    )
    found.position = 7
    return found


@behave.when(
    "the {name} of a gateway checks what is due after a suspension beyond its "
    "authority"
)
def step_check(context, name):
    now = clocks.now() + 2 * duty_platform.NEVER
    context.duty = duty(name)
    with mock.patch.object(clocks, "now", lambda: now):
        asyncio.run(context.duty.check())


@behave.then("it keeps nothing that only a leader knows")
def step_keeps_nothing(context):
    if isinstance(context.duty, scaling.Scaler):
        assert not context.duty.capacities
    else:
        assert context.duty.position is None
