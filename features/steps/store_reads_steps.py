"""Steps on reads of the store: which connection, how long, what they give."""

import asyncio
from unittest import mock

from aiohttp import web
import behave
from features.steps import store_loss_steps
from features.support import fleets
from features.support import virtual_gateways
from features.support import virtual_store

from gypsumfold import clocks
from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold.gateway import topic_watches
from gypsumfold.platform import names
from gypsumfold.platform import store as store_module

# Seconds of contact with the store.
CONTACT = 3.0


@behave.given(
    "a client of the store behind a proxy of its own that has made {calls:d} "
    "calls at once"
)
def step_client(context, calls):
    context.proxy = context.fleet.forward("store")
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)

    async def connect():
        context.client = store_module.Store(context.proxy.address)
        context.reader = context.client.reader(store_module.CALL_MARGIN_SECONDS)
        topic = names.CONFIGURATION_TOPIC
        await asyncio.gather(
            *(context.client.newest(topic) for _ in range(calls))
        )

    context.loop.run_until_complete(connect())


@behave.when("the open connections of that client fall silent")
def step_client_silent(context):
    context.proxy.silence()


@behave.then("a reader of the client is answered at once")
def step_reader_answered(context):
    async def read():
        try:
            await context.reader.newest(names.CONFIGURATION_TOPIC)
        finally:
            await context.client.close()

    context.loop.run_until_complete(read())


@behave.given(
    "a gateway whose read of the configuration has waited on a silent "
    "connection for {seconds:g} s"
)
def step_waits(context, seconds):
    context.site = virtual_gateways.Site(seed=1)
    context.waited = seconds
    context.receives = False


@behave.given(
    "a gateway whose read of the configuration has received data for "
    "{seconds:g} s"
)
def step_receives(context, seconds):
    step_waits(context, seconds)
    context.receives = True


@behave.when(
    "another node announces a newer version, from {before:g} s before on"
)
def step_newer_announced(context, before):
    site = context.site
    consumer = mock.Mock()
    consumer.replace.return_value = 0.0

    async def story():
        path = virtual_store.Path()
        store = virtual_store.Store(site.log, path)
        watch = topic_watches.TopicWatch(
            store,
            topic_watches.StoreState(CONTACT),
            names.CONFIGURATION_TOPIC,
            consumer,
            lambda: 0.0,
            lambda: 1.0,
        )
        site.configure(store_loss_steps.OLDER)
        task = asyncio.get_running_loop().create_task(watch.run())
        await asyncio.sleep(0.1)
        path.silence(1.0, site.rng)
        site.configure(store_loss_steps.NEWER)
        await asyncio.sleep(context.waited)
        if context.receives:
            store.received_at = clocks.now()
        watch.cancel_overdue_read(clocks.now() - before, before / 2)
        await asyncio.sleep(2 * virtual_store.CALL)
        context.reads = consumer.replace.call_count
        task.cancel()

    site.play(story())


@behave.then(
    "the read is given up, and the newest records are read on a new connection"
)
def step_given_up(context):
    unread = []
    for _, number, fields in context.site.lines:
        if number == events.TOPIC_UNREAD.number:
            unread.append(fields)
    assert len(unread) == 1, unread
    assert context.reads == 2, context.reads


@behave.given(
    "a store that answers a read from record {start:d} with records {first:d} "
    "to {end:d}, and {given:d} of them"
)
def step_answers(context, start, first, end, given):
    record = b"\x03key" + b"value"
    body = store_module.PAGE_HEADER.pack(end, first)
    for _ in range(given):
        body += store_module.RECORD_LENGTH.pack(len(record)) + record
    context.page = body
    context.start = start


@behave.then("the read fails, and its topic is read whole")
def step_read_fails(context):
    async def read():
        store = store_module.Store("127.0.0.1:1")
        answer = store_module.Answer(context.page, era=0)
        store.call = mock.AsyncMock(return_value=answer)
        consumer = mock.Mock()
        consumer.replace.return_value = 0.0
        state = topic_watches.StoreState(CONTACT)
        topic = names.CONFIGURATION_TOPIC
        watch = topic_watches.TopicWatch(
            store, state, topic, consumer, lambda: 0.0, lambda: 1.0
        )
        watch.position = context.start
        watch.complete_at = clocks.now()
        try:
            await watch.read_once()
        except exceptions.PlatformError as error:
            watch.read_failed(error)
        await store.close()
        return watch

    watch = asyncio.run(read())
    assert watch.is_suspect
    assert watch.position == context.start, watch.position


@behave.then("the read goes on")
def step_goes_on(context):
    # The only read of all keys is the first one.
    assert context.reads == 1, context.reads


@behave.given(
    "a store that sends an answer of {count:d} parts, one each {gap:g} s"
)
def step_slow_store(context, count, gap):
    async def answer(request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        for _ in range(count):
            await response.write(b"part")
            await asyncio.sleep(gap)
        return response

    context.answer = answer
    context.expected = b"part" * count


@behave.when("a client that allows {margin:g} s of silence reads it")
def step_read_slowly(context, margin):
    async def read() -> bytes | str:
        app = web.Application()
        app.router.add_get(names.READ_PATH, context.answer)
        runner = web.AppRunner(app, handler_cancellation=True)
        await runner.setup()
        host = fleets.new_host()
        await web.TCPSite(runner, host, fleets.STANDIN_PORT).start()
        store = store_module.Store(f"{host}:{fleets.STANDIN_PORT}")
        store.margin = margin
        started = clocks.now()
        try:
            answer = await store.call("GET", names.READ_PATH, {})
            found = answer.body
        except exceptions.LogUnavailable:
            found = "fails"
        context.seconds = clocks.now() - started
        await store.close()
        await runner.cleanup()
        return found

    context.read = asyncio.run(read())


@behave.then("the read {end} within {seconds:g} s")
def step_read_ends(context, end, seconds):
    expected = "fails" if end == "fails" else context.expected
    assert context.read == expected, context.read
    assert context.seconds < seconds, context.seconds
