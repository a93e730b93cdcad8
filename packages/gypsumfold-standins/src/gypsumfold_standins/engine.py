"""Stand-in of a model engine (docs/PROTOCOLS.md)."""

import asyncio
import collections
import contextlib
import os
import time
from typing import Any
import uuid

import aiohttp
from aiohttp import web
import click
import msgspec

from gypsumfold_standins import batcher as batcher_module
from gypsumfold_standins import engine_faults
from gypsumfold_standins import orders as orders_module
from gypsumfold_standins import prefix_cache
from gypsumfold_standins import service_time
from gypsumfold_standins import serving
from gypsumfold_standins import streams

# Seconds that a finished stream is kept; from docs/PROTOCOLS.md.
KEPT = 60.0
# Seconds between two snapshots of the load.
SNAPSHOT = 0.05
# Bytes that stand for one token's KV cache.
KV_BYTES = 64


class Engine:
    """The engine's state and its handlers."""

    def __init__(
        self,
        faults: engine_faults.Faults,
        batcher: batcher_module.Batcher,
        orders: orders_module.Orders,
    ):
        self.faults = faults
        self.batcher = batcher
        self.orders = orders
        self.incarnation = str(uuid.uuid4())
        self.sequences: dict[str, batcher_module.Sequence] = {}
        self.history: list[batcher_module.Sequence] = []
        self.refusals: list[dict[str, Any]] = []
        self.snapshots: collections.deque[dict[str, Any]] = collections.deque()
        self.leaving = False
        self.session: aiohttp.ClientSession | None = None

    @property
    def leaves(self) -> bool:
        """Whether it takes nothing new for good."""
        return self.leaving or self.faults.leaving

    async def dispatch(self, request: web.Request) -> web.StreamResponse:
        """``POST /v1/dispatches``."""
        dispatch = msgspec.json.decode(await request.read())
        refusal = self.refusal(dispatch)
        if refusal is not None:
            self.refusals.append({"id": dispatch["id"], "time": time.time()})
            return refusal
        sequence = batcher_module.Sequence(dispatch)
        self.sequences[sequence.id] = sequence
        self.history.append(sequence)
        if sequence.prefill_from:
            await self.import_kv(sequence, sequence.prefill_from)
        if sequence.index >= sequence.count:
            sequence.close("done")
        else:
            self.batcher.add(sequence)
        if self.faults.takes("lost"):
            await asyncio.Event().wait()
        return await streams.write(
            request, sequence, sequence.index, self.faults
        )

    def refusal(self, dispatch: dict[str, Any]) -> web.Response | None:
        """Answers a dispatch that is not started, and gives None else."""
        if dispatch["model"] not in self.orders.models:
            return serving.answer({"reason": "unknown model"}, status=404)
        if dispatch["id"] in self.sequences:
            return serving.answer({"reason": "id seen before"}, status=409)
        changing = self.orders.changing or {}
        if self.leaves or changing.get("verb") == "role":
            return serving.answer({"reason": "leaving"}, status=503)
        if self.faults.takes("refused"):
            return serving.answer({"reason": "refused"}, status=503)
        return None

    async def resume(self, request: web.Request) -> web.StreamResponse:
        """``GET /v1/dispatches/{id}``."""
        sequence = self.sequences.get(request.match_info["id"])
        if sequence is None:
            return serving.answer({"reason": "unknown id"}, status=404)
        start = int(request.query.get("from", "0"))
        return await streams.write(request, sequence, start, self.faults)

    async def cancel(self, request: web.Request) -> web.Response:
        """``DELETE /v1/dispatches/{id}``."""
        sequence = self.sequences.get(request.match_info["id"])
        if sequence is not None:
            self.batcher.stop(sequence, "cancelled")
        return web.Response(status=204)

    async def load(self, request: web.Request) -> web.Response:
        """``GET /v1/load``: late by design."""
        await serving.while_true(lambda: self.faults.unreported)
        visible = time.time() - self.faults.load_lag
        while len(self.snapshots) > 1 and self.snapshots[1]["taken"] < visible:
            self.snapshots.popleft()
        return serving.answer(self.snapshots[0])

    def snapshot(self) -> dict[str, Any]:
        """The load report as of now."""
        report = self.batcher.load()
        report["incarnation"] = self.incarnation
        report["leaving"] = self.leaves or self.faults.announced
        report["models"] = sorted(self.orders.models)
        report["cache_sequence"] = self.batcher.cache.sequence
        report["changing"] = self.orders.changing is not None
        return report

    async def take_snapshots(self) -> None:
        """Takes the load reports that are given out later."""
        while True:
            self.snapshots.append(self.snapshot())
            await asyncio.sleep(SNAPSHOT)

    async def state(self, request: web.Request) -> web.Response:
        """``GET /v1/state``."""
        running = len(self.batcher.running) + len(self.batcher.waiting)
        return serving.answer(
            {
                "incarnation": self.incarnation,
                "taken": time.time(),
                "role": self.batcher.role,
                "models": sorted(self.orders.models),
                "leaving": self.leaves or self.faults.announced,
                "running": running,
                "changing": self.orders.changing is not None,
                "highest_token": self.orders.highest_token,
                "last_order": self.orders.last,
            }
        )

    async def order(self, request: web.Request) -> web.Response:
        """``POST /v1/orders``."""
        order = msgspec.json.decode(await request.read())
        status, body = await self.orders.take(order)
        if status == 200 and self.faults.takes("lost_orders"):
            return serving.drop(request)
        return serving.answer(body, status=status)

    async def cache_events(self, request: web.Request) -> web.Response:
        """``GET /v1/cache-events``."""
        start = int(request.query.get("from", "0"))
        found = self.batcher.cache.visible(start, time.time())
        following = found[-1].sequence + 1 if found else start
        events = []
        for event in found:
            events.append(
                {
                    "sequence": event.sequence,
                    "verb": event.verb,
                    "prefix": event.prefix,
                }
            )
        return serving.answer({"next": following, "events": events})

    async def export_kv(self, request: web.Request) -> web.Response:
        """``POST /v1/kv/exports``: the KV cache of a processed prompt."""
        wanted = msgspec.json.decode(await request.read())["id"]
        sequence = self.sequences.get(wanted)
        if self.faults.refuse_exports:
            return serving.answer({"reason": "refused"}, status=503)
        if sequence is None or sequence.left:
            return serving.answer({"reason": "no such cache"}, status=404)
        moved = sequence.prompt * service_time.PER_MOVED_TOKEN
        await asyncio.sleep(moved / self.batcher.speed)
        return web.Response(body=bytes(sequence.prompt * KV_BYTES))

    async def import_kv_call(self, request: web.Request) -> web.Response:
        """``POST /v1/kv/imports``: for a dispatch that still waits."""
        wanted = msgspec.json.decode(await request.read())
        sequence = self.sequences.get(wanted["id"])
        if sequence is None or sequence.state != "waiting":
            return serving.answer({"reason": "unknown id"}, status=404)
        done = await self.import_kv(sequence, wanted["from"])
        return serving.answer({}, status=200 if done else 502)

    async def import_kv(
        self, sequence: batcher_module.Sequence, address: str
    ) -> bool:
        """Fetches a prompt's KV cache; without it, the prompt is run here."""
        url = f"http://{address}/v1/kv/exports"
        body = msgspec.json.encode({"id": sequence.id})
        assert self.session is not None
        try:
            async with self.session.post(url, data=body) as answer:
                content = await answer.read()
        except (aiohttp.ClientError, TimeoutError):
            return False
        if answer.status != 200 or len(content) < KV_BYTES:
            return False
        sequence.left = 0
        return True

    async def records(self, request: web.Request) -> web.Response:
        """``GET /_test/dispatches``."""
        return serving.answer([each.record() for each in self.history])

    async def refused(self, request: web.Request) -> web.Response:
        """``GET /_test/refusals``: dispatches that were not started."""
        return serving.answer(self.refusals)

    async def order_records(self, request: web.Request) -> web.Response:
        """``GET /_test/orders``."""
        return serving.answer(self.orders.records)

    async def expire(self) -> None:
        """Forgets finished streams."""
        while True:
            old = time.time() - KEPT
            for sequence in list(self.sequences.values()):
                if not sequence.open and sequence.end < old:
                    del self.sequences[sequence.id]
            await asyncio.sleep(1.0)

    async def crash_when_told(self, request: web.Request) -> web.Response:
        """``POST /_test/crash``: exits at once."""
        os._exit(batcher_module.CRASH)

    async def run(self, app: web.Application):
        """Runs the engine's own tasks while it is served."""
        timeout = aiohttp.ClientTimeout(total=10.0)
        self.session = aiohttp.ClientSession(timeout=timeout)
        self.snapshots.append(self.snapshot())
        runs = (self.batcher.run, self.take_snapshots, self.expire)
        tasks = [asyncio.create_task(run()) for run in runs]
        yield
        for task in tasks:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
        await self.session.close()

    async def drain(self, notice: float) -> None:
        """Says that it leaves, and waits for what runs."""
        self.leaving = True
        await asyncio.sleep(notice)
        await serving.while_true(
            lambda: self.batcher.running or self.batcher.waiting
        )
        await serving.while_true(
            lambda: any(each.readers for each in self.sequences.values())
        )


def application(engine: Engine) -> web.Application:
    """Makes the application that serves an engine."""
    app = serving.new_application()
    router = app.router
    router.add_post("/v1/dispatches", engine.dispatch)
    router.add_get("/v1/dispatches/{id}", engine.resume)
    router.add_delete("/v1/dispatches/{id}", engine.cancel)
    router.add_get("/v1/load", engine.load)
    router.add_get("/v1/state", engine.state)
    router.add_post("/v1/orders", engine.order)
    router.add_get("/v1/cache-events", engine.cache_events)
    router.add_post("/v1/kv/exports", engine.export_kv)
    router.add_post("/v1/kv/imports", engine.import_kv_call)
    router.add_get("/_test/dispatches", engine.records)
    router.add_get("/_test/refusals", engine.refused)
    router.add_get("/_test/orders", engine.order_records)
    router.add_post("/_test/crash", engine.crash_when_told)
    serving.add_faults(app, engine.faults)
    app.cleanup_ctx.append(engine.run)
    return app


@click.command()
@serving.ADDRESS
@serving.PORT
@click.option("--models", default="dispatch-lm", help="Comma-separated.")
@click.option(
    "--role", type=click.Choice(list(service_time.SHAPES)), default="mixed"
)
@click.option("--checks-tokens/--no-checks-tokens", default=True)
@click.option("--weights", default="", help="The weight store's base URL.")
@click.option("--speed", default=1.0, help="Divides all model times.")
@click.option("--kv", default=65536, help="Tokens of KV cache in use.")
@click.option("--cache", default=65536, help="Tokens of prefix cache.")
@click.option("--seed", default=1, help="Of the lost cache events.")
@click.option("--notice", default=1.0, help="Least seconds of leaving.")
def main(address, port, models, role, checks_tokens, weights, **others) -> None:
    """Run a stand-in of a model engine."""
    faults = engine_faults.Faults()
    cache = prefix_cache.PrefixCache(faults, others["cache"], others["seed"])
    batcher = batcher_module.Batcher(
        faults, cache, role, others["speed"], others["kv"]
    )
    orders = orders_module.Orders(
        faults, batcher, set(models.split(",")), checks_tokens, weights
    )
    engine = Engine(faults, batcher, orders)

    async def drain() -> None:
        await engine.drain(others["notice"])

    serving.run(serving.serve(application(engine), address, port, drain))


if __name__ == "__main__":
    main()
