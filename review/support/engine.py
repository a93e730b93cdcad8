"""Stand-in of a model replica; prints what arrives and runs.

The controls under `/standin/` bring about two impairments: handles that lapse
at once, and answers that are followed by a late second one.
"""

import asyncio
import json
import random
import sys
import time
import uuid

from aiohttp import web

PREFILL_SECONDS = 0.02
FIRST_TOKEN_SECONDS = 0.03
EVENT_SECONDS = 0.02
EVENTS = 6
SWITCH_SECONDS = 3.0


def note(**fields) -> None:
    """Prints one line of the record."""
    print(json.dumps({"at": round(time.monotonic(), 4), **fields}), flush=True)


class Engine:
    """Prefills or decodes; a channel carries one request at a time."""

    def __init__(self, instance: str, stage: str):
        self.instance = instance
        self.stage = stage
        self.handles: dict[str, str] = {}
        self.orders = 0
        self.fence = 0
        self.busy = False
        self.tasks: set[asyncio.Task] = set()
        self.lapsing = False
        self.extra_share = 0.0
        # Second answers that are to come on a channel.
        self.extras: dict[object, bytes] = {}
        self.random = random.Random(7)

    def send_extra(self, request: web.Request) -> None:
        """Sends a second answer late, where the next one is expected."""
        extra = self.extras.pop(request.protocol, None)
        if extra is not None:
            note(what="extra", replica=self.instance)
            request.transport.write(extra)

    def may_repeat(
        self, request: web.Request, status: str, attempt: str, more: str
    ) -> None:
        """Has some answers followed by a late second one."""
        if self.random.random() >= self.extra_share:
            return
        head = f"HTTP/1.1 {status}\r\nAttempt-Id: {attempt}\r\n{more}"
        extra = f"{head}Content-Length: 0\r\n\r\n"
        self.extras[request.protocol] = extra.encode()

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Takes a request."""
        attempt = request.headers.get("Attempt-Id", "")
        await request.read()
        self.send_extra(request)
        wants_prefill = request.headers.get("Stage") == "prefill"
        expected = request.headers.get("Expect-Instance")
        fits = wants_prefill == (self.stage == "prefill")
        if expected != self.instance or not fits:
            headers = {"Instance-Id": self.instance, "Attempt-Id": attempt}
            return web.Response(status=421, headers=headers)
        if wants_prefill:
            return await self.prefill(attempt)
        source = request.headers.get("Kv-Source", "")
        if source and not await self.fetch(source):
            note(what="rejects", replica=self.instance, attempt=attempt)
            self.may_repeat(
                request, "503 Service Unavailable", attempt, "Not-Run: 1\r\n"
            )
            headers = {"Attempt-Id": attempt, "Not-Run": "1"}
            return web.Response(status=503, headers=headers)
        return await self.decode(request, attempt)

    async def prefill(self, attempt: str) -> web.Response:
        """Reads a prompt and keeps its memory."""
        await asyncio.sleep(PREFILL_SECONDS)
        handle = uuid.uuid4().hex[:12]
        if not self.lapsing:
            self.handles[handle] = attempt
        body = {"handle": handle, "tokens": 1460, "version": 1}
        return web.json_response(body, headers={"Attempt-Id": attempt})

    async def fetch(self, source: str) -> bool:
        """Fetches the memory of a handle from its replica."""
        address, _, handle = source.partition("/")
        ip, _, port = address.rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            return False
        head = f"GET /standin/take/{handle} HTTP/1.1\r\nHost: {address}\r\n"
        writer.write(f"{head}Connection: close\r\n\r\n".encode())
        status = await reader.readline()
        writer.close()
        return b" 200 " in status

    async def decode(
        self, request: web.Request, attempt: str
    ) -> web.StreamResponse:
        """Streams the events of a request."""
        await asyncio.sleep(FIRST_TOKEN_SECONDS)
        note(what="runs", replica=self.instance, attempt=attempt)
        seal = {"Attempt-Id": attempt, "Response-Seal": f"{self.instance}.1"}
        response = web.StreamResponse(headers=seal)
        response.content_type = "text/event-stream"
        await response.prepare(request)
        for number in range(1, EVENTS + 1):
            data = f"id: {number}\ndata: {attempt} {number}\n\n"
            await response.write(data.encode())
            await asyncio.sleep(EVENT_SECONDS)
        await response.write_eof()
        more = f"Response-Seal: {self.instance}.1\r\n"
        self.may_repeat(request, "200 OK", attempt, more)
        return response

    async def take(self, request: web.Request) -> web.Response:
        """Hands the memory of a handle to another replica."""
        known = self.handles.pop(request.match_info["handle"], None)
        return web.Response(status=200 if known else 404)

    async def drop(self, request: web.Request) -> web.Response:
        """Frees the memory of a handle."""
        self.send_extra(request)
        self.handles.pop(request.match_info["handle"], None)
        return web.Response()

    async def report(self, request: web.Request) -> web.Response:
        """Tells the replica's state."""
        self.send_extra(request)
        state = {
            "stage": self.stage,
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": self.busy,
            "seq": self.orders,
            "queued": 0,
            "running": 0,
            "kvUsed": 0,
            "kvTotal": 393693,
            "kvHandles": len(self.handles),
        }
        return web.json_response(state)

    async def order(self, request: web.Request) -> web.Response:
        """Takes an order to change the stage."""
        self.send_extra(request)
        body = await request.json()
        note(what="order", replica=self.instance, **body)
        if self.busy or body.get("expected", self.orders) != self.orders:
            return web.Response(status=409)
        if body["stage"] == self.stage:
            return web.Response(status=200)
        self.orders += 1
        self.busy = True
        self.tasks.add(asyncio.create_task(self.change(body["stage"])))
        return web.Response(status=202)

    async def change(self, stage: str) -> None:
        """Carries an order out."""
        await asyncio.sleep(SWITCH_SECONDS)
        self.stage = stage
        self.busy = False

    async def impair(self, request: web.Request) -> web.Response:
        """Begins or ends the impairments."""
        body = await request.json()
        self.lapsing = body["lapsing"]
        self.extra_share = body["extra_share"]
        if self.lapsing:
            self.handles.clear()
        return web.json_response({})

    async def tell_stage(self, request: web.Request) -> web.Response:
        """Tells the stage, for the replica's entry."""
        return web.json_response({"stage": self.stage, "seq": self.orders})


def main() -> None:
    """Serves on the IP and port of the arguments: instance and stage too."""
    engine = Engine(sys.argv[3], sys.argv[4])
    app = web.Application(client_max_size=8 * 1024 * 1024)
    app.router.add_get("/v1/report", engine.report)
    app.router.add_post("/v1/order", engine.order)
    app.router.add_delete("/v1/kv-handle/{handle}", engine.drop)
    app.router.add_get("/standin/take/{handle}", engine.take)
    app.router.add_get("/standin/stage", engine.tell_stage)
    app.router.add_post("/standin/impair", engine.impair)
    app.router.add_route("*", "/{path:.*}", engine.handle)
    web.run_app(
        app,
        host=sys.argv[1],
        port=int(sys.argv[2]),
        print=None,
        access_log=None,
    )


if __name__ == "__main__":
    main()
