"""The orders that the engine stand-in takes, each of them recorded."""

import asyncio
import os
import time
from typing import Any

import aiohttp

from gypsumfold_standins import batcher as batcher_module
from gypsumfold_standins import engine_faults
from gypsumfold_standins import weights

# Seconds at speed 1 to change the role, and to drop a model.
ROLE_SECONDS = 3.0
UNLOAD_SECONDS = 0.2
# HTTP status and body.
Answer = tuple[int, dict[str, Any]]


class Orders:
    """Carries out one order at a time and records all that came.

    An engine that checks tokens refuses those lower than the highest seen;
    one that does not carries them out. Both record what was stale and which
    order another one arrived during.
    """

    def __init__(
        self,
        faults: engine_faults.Faults,
        batcher: batcher_module.Batcher,
        models: set[str],
        checks_tokens: bool,
        store: str,
    ):
        self.faults = faults
        self.batcher = batcher
        self.models = models
        self.checks_tokens = checks_tokens
        self.store = store
        self.records: list[dict[str, Any]] = []
        self.answers: dict[str, asyncio.Future[Answer]] = {}
        self.changing: dict[str, Any] | None = None
        self.last: dict[str, Any] | None = None
        self.highest_token = -1

    async def take(self, order: dict[str, Any]) -> Answer:
        """Records an order, carries it out or refuses it.

        Args:
            order: As in ``POST /v1/orders``.

        Returns:
            The answer's status and body.
        """
        record = self.record(order)
        if order["id"] in self.answers:
            record["verdict"] = "repeat"
            return await asyncio.shield(self.answers[order["id"]])
        if self.faults.refuse_orders:
            record["verdict"] = "refused"
            return 503, {"reason": "refused"}
        if record["stale"] and self.checks_tokens:
            record["verdict"] = "stale-token"
            return 409, {"reason": "stale-token"}
        if self.changing is not None:
            record["verdict"] = "busy"
            return 409, {"reason": "busy"}
        self.highest_token = max(self.highest_token, order["token"])
        answer = asyncio.get_running_loop().create_future()
        self.answers[order["id"]] = answer
        task = asyncio.create_task(self.carry_out(order, record))
        task.add_done_callback(lambda done: answer.set_result(done.result()))
        return await asyncio.shield(answer)

    def record(self, order: dict[str, Any]) -> dict[str, Any]:
        """Notes an order's arrival."""
        record = dict(order)
        record["arrival"] = time.time()
        record["verdict"] = "arrived"
        record["stale"] = order["token"] < self.highest_token
        record["during"] = self.changing["id"] if self.changing else ""
        record["cut"] = []
        self.records.append(record)
        return record

    async def carry_out(
        self, order: dict[str, Any], record: dict[str, Any]
    ) -> Answer:
        """Does what an order says and notes its start and end."""
        self.changing = {
            name: order[name] for name in ("id", "token", "verb", "arguments")
        }
        self.last = {"id": order["id"], "token": order["token"], "done": False}
        record["verdict"] = "started"
        record["start"] = time.time()
        try:
            answer = await self.change(order, record)
        except (aiohttp.ClientError, TimeoutError) as error:
            answer = 502, {"reason": repr(error)}
        record["end"] = time.time()
        record["verdict"] = "done" if answer[0] == 200 else "failed"
        self.last["done"] = answer[0] == 200
        self.changing = None
        return answer

    async def change(
        self, order: dict[str, Any], record: dict[str, Any]
    ) -> Answer:
        """Changes the role or the models; cuts what still runs on them."""
        verb = order["verb"]
        arguments = order["arguments"]
        await asyncio.sleep(self.faults.order_delay)
        if verb == "role":
            self.cut(record, "")
            await self.pause(ROLE_SECONDS)
            self.batcher.cache.clear(time.time())
            self.batcher.role = arguments["role"]
            return 200, {}
        if verb == "unload":
            self.models.discard(arguments["model"])
            self.cut(record, arguments["model"])
            await self.pause(UNLOAD_SECONDS)
            return 200, {}
        if verb == "load":
            return await self.load(arguments["model"])
        return 400, {"reason": "unknown verb"}

    def cut(self, record: dict[str, Any], model: str) -> None:
        """Ends what runs, of one model or of all, and records that."""
        for sequence in self.batcher.running + self.batcher.waiting:
            if model and sequence.model != model:
                continue
            record["cut"].append(sequence.id)
            self.batcher.stop(sequence, "cut")

    async def pause(self, seconds: float) -> None:
        """Takes the time that an order takes, or crashes half way."""
        half = seconds / self.batcher.speed / 2
        await asyncio.sleep(half)
        if self.faults.crash_in_order:
            os._exit(batcher_module.CRASH)
        await asyncio.sleep(half)

    async def load(self, model: str) -> Answer:
        """Reads a model's weights from the store."""
        if self.store:
            name, versions = next(iter(weights.parse_models(model).items()))
            url = f"{self.store}/weights/{name}/{versions[0]}"
            async with (
                aiohttp.ClientSession() as session,
                session.get(url) as answer,
            ):
                if answer.status != 200:
                    return 502, {"reason": f"weights: {answer.status}"}
                async for _ in answer.content.iter_chunked(weights.CHUNK):
                    continue
        await self.pause(0.0)
        self.models.add(model)
        return 200, {}
