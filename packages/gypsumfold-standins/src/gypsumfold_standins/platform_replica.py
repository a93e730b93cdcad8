"""Stand-in of a replica on the platform: a model engine or a plain service.

An answer's body says which replica made it, for which attempt and how often
that attempt has run there, so that callers' answers can be checked byte for
byte against the replica's own records.
"""

import asyncio
import hashlib
import os
import time
from typing import Any
import uuid

from aiohttp import web
import click
import msgspec

from gypsumfold_standins import replica_faults
from gypsumfold_standins import serving


class Replica:
    """The replica's state and its handlers."""

    def __init__(
        self,
        faults: replica_faults.Faults,
        stage: str,
        switch: float,
        version: str = "",
    ):
        self.faults = faults
        self.version = version
        self.stage = stage
        self.switch = switch
        self.instance = f"i-{uuid.uuid4().hex[:10]}"
        self.born = int(time.time() * 1000)
        self.busy = False
        self.handles: set[str] = set()
        self.runs: list[dict[str, Any]] = []
        self.prompts: list[dict[str, Any]] = []
        self.orders: list[dict[str, Any]] = []
        self.left: list[str] = []
        self.arrivals = 0
        self.arrival_log: list[dict[str, Any]] = []
        self.while_busy: list[str] = []
        # Second answers by the connection on which they are to come.
        self.late: dict[object, bytes] = {}
        self.strays = 0
        self.strays_closed = 0
        self.waits: set[asyncio.Task] = set()
        self.accepted = 0
        self.highest = 0

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Takes any request of a caller."""
        if self.faults.silent:
            await serving.while_true(lambda: self.faults.silent)
            return serving.drop(request)
        self.arrivals += 1
        row = {
            "at": time.monotonic(),
            "attempt": request.headers.get("Attempt-Id", ""),
            "prefilled": False,
            "rate_limit": self.faults.rate_limit,
            "leaving": self.faults.leaving,
            "rest": self.faults.rest,
        }
        self.arrival_log.append(row)
        body = await request.read()
        late = self.late.pop(request.protocol, b"")
        if late:
            request.transport.write(late)
        wanted = request.headers.get("Expect-Instance", self.instance)
        if wanted != self.instance:
            return web.Response(
                status=421, headers={"Instance-Id": self.instance}
            )
        if self.busy:
            self.while_busy.append(request.headers.get("Attempt-Id", ""))
        if self.faults.rest:
            headers = {"Not-Run": "1", "Retry-After": str(self.faults.rest)}
            return web.Response(status=503, headers=headers)
        attempt = request.headers.get("Attempt-Id", "")
        if self.faults.takes("refused") or self.busy:
            return self.refuse(request, attempt)
        if request.headers.get("Stage") == "prefill":
            row["prefilled"] = self.stage == "prefill"
            return await self.prefill(request, attempt)
        handle = request.headers.get("Kv-Source", "")
        self.runs.append(
            {
                "attempt": attempt,
                "method": request.method,
                "target": request.raw_path,
                "headers": dict(request.headers),
                "body": hashlib.sha256(body).hexdigest(),
                "handle": handle,
            }
        )
        if self.faults.crashing and self.faults.crashing.encode() in body:
            os._exit(1)
        chain = request.headers.get("Prefix-Hash", "")
        if self.faults.crashing_part and self.crashes_on(chain):
            os._exit(1)
        try:
            return await self.run(request, attempt)
        except (asyncio.CancelledError, ConnectionError):
            self.left.append(attempt)
            raise

    def refuse(self, request: web.Request, attempt: str) -> web.Response:
        """Refuses a request as not run; a second answer may follow late."""
        if self.faults.takes("late"):
            self.late[request.protocol] = (
                f"HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {attempt}\r\n"
                "Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
            ).encode()
        headers = {"Not-Run": "1", "Attempt-Id": attempt}
        return web.Response(status=503, headers=headers)

    def crashes_on(self, chain: str) -> bool:
        """Whether a part of a prompt, not its last one, ends the process."""
        for part in chain.split(",")[:-1]:
            if part.strip().startswith(self.faults.crashing_part):
                return True
        return False

    async def state_needs(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        """Says in an answer what the replica wants of its callers."""
        if self.faults.leaving:
            response.headers["Server-Leaving"] = "1"
        if self.faults.rate_limit and "Attempt-Id" in request.headers:
            response.headers["Server-Limit"] = str(self.faults.rate_limit)

    async def prefill(
        self, request: web.Request, attempt: str
    ) -> web.StreamResponse:
        """Reads a prompt and keeps its cache."""
        if self.stage != "prefill":
            return web.Response(status=421)
        await asyncio.sleep(self.faults.seconds)
        handle = uuid.uuid4().hex[:12]
        self.handles.add(handle)
        self.prompts.append(
            {"attempt": attempt, "headers": dict(request.headers)}
        )
        answer = serving.answer({"handle": handle, "tokens": 1, "version": 1})
        answer.headers["Attempt-Id"] = attempt
        return answer

    async def run(
        self, request: web.Request, attempt: str
    ) -> web.StreamResponse:
        """Runs a request, with the faults that a test asked for."""
        if self.faults.takes("reset"):
            return serving.drop(request)
        headers = {"Attempt-Id": attempt, "Response-Seal": self.seal(attempt)}
        if self.faults.takes("crossed"):
            headers["Attempt-Id"] = "another"
        if self.faults.takes("unsealed"):
            del headers["Response-Seal"]
        if self.faults.takes("failing"):
            return web.Response(status=500, headers=headers, body=b"failed")
        if self.faults.takes("odd_status"):
            return web.Response(status=999, headers=headers, body=b"none")
        if self.faults.takes("endless"):
            return await replica_faults.pour(
                request, headers, replica_faults.POURED
            )
        if self.faults.takes("endless_events"):
            return await replica_faults.pour(
                request, headers, replica_faults.POURED_EVENTS
            )
        if request.headers.get("Accept") == "text/event-stream":
            return await self.stream(request, headers)
        await asyncio.sleep(self.faults.seconds)
        if self.faults.takes("halved"):
            return await replica_faults.halve(request, headers)
        body = self.seal(attempt).encode() + b"x" * self.faults.padding
        response = web.Response(headers=headers, body=body)
        if self.faults.takes("stray"):
            await response.prepare(request)
            await response.write_eof()
            request.transport.write(replica_faults.STRAY)
            self.strays += 1
            self.waits.add(asyncio.create_task(self.until_closed(request)))
        return response

    async def until_closed(self, request: web.Request) -> None:
        """Counts a connection with stray bytes that the node has closed."""

        def is_open() -> bool:
            transport = request.transport
            return transport is not None and not transport.is_closing()

        await serving.while_true(is_open)
        self.strays_closed += 1

    async def stream(
        self, request: web.Request, headers: dict[str, str]
    ) -> web.StreamResponse:
        """Streams events, from the one after Last-Event-Id on."""
        response = replica_faults.StreamedAnswer(headers=headers)
        response.content_type = "text/event-stream"
        if self.faults.takes("unframed"):
            response.framed = False
            response.force_close()
        await response.prepare(request)
        first = int(request.headers.get("Last-Event-Id") or 0) + 1
        breaks = self.faults.takes("broken")
        for number in range(first, self.faults.events + 1):
            data = f"token-{number} {self.version}".rstrip()
            event = f"id: {number}\ndata: {data}\n\n".encode()
            if breaks and number == first + 2:
                await response.write(event[:9])
                if response.framed:
                    request.transport.abort()
                    return response
                break
            await response.write(event)
            await asyncio.sleep(self.faults.event_seconds)
        await response.write_eof()
        return response

    def seal(self, attempt: str) -> str:
        """Vouches for an answer: who made it and for which attempt."""
        return f"{self.instance}.{attempt}"

    async def report(self, request: web.Request) -> web.Response:
        """Tells the replica's state."""
        if self.faults.silent:
            await serving.while_true(lambda: self.faults.silent)
            return serving.drop(request)
        return serving.answer(
            {
                "stage": self.stage,
                "busy": self.busy,
                "seq": self.accepted,
                "queued": 0,
                "running": 0,
                "born": self.born,
            }
        )

    async def order(self, request: web.Request) -> web.Response:
        """Takes an order to change the role."""
        body = msgspec.json.decode(await request.read())
        self.orders.append({**body, "at": time.monotonic()})
        if body["fence"] < self.highest:
            return web.Response(status=412)
        self.highest = body["fence"]
        if self.busy or body.get("expected", self.accepted) != self.accepted:
            return web.Response(status=409)
        if body["stage"] == self.stage:
            return web.Response(status=200)
        self.accepted += 1
        self.busy = True
        task = asyncio.create_task(self.change(body["stage"]))
        self.change_task = task
        if self.faults.takes("orders_lost"):
            return serving.drop(request)
        return web.Response(status=202)

    async def change(self, stage: str) -> None:
        """Carries an order out."""
        await asyncio.sleep(self.switch)
        self.stage = stage
        self.busy = False

    async def drop_handle(self, request: web.Request) -> web.Response:
        """Frees a KV cache."""
        self.handles.discard(request.match_info["id"])
        return web.Response()

    async def cache_list(self, request: web.Request) -> web.Response:
        """Lists what is cached: nothing."""
        return serving.answer(
            {"epoch": 1, "nextToken": 0, "held": [], "born": self.born}
        )

    async def restart(self, request: web.Request) -> web.Response:
        """Starts again under the same id; it holds and knows nothing."""
        self.born = max(int(time.time() * 1000), self.born + 1)
        self.handles.clear()
        self.accepted = 0
        self.highest = 0
        return serving.answer({"born": self.born})

    async def record(self, request: web.Request) -> web.Response:
        """Tells tests what arrived and what was done."""
        return serving.answer(
            {
                "instance": self.instance,
                "born": self.born,
                "stage": self.stage,
                "version": self.version,
                "runs": self.runs,
                "prompts": self.prompts,
                "orders": self.orders,
                "left": self.left,
                "arrivals": self.arrivals,
                "arrival_log": self.arrival_log,
                "while_busy": self.while_busy,
                "strays_open": self.strays - self.strays_closed,
                "handles": sorted(self.handles),
            }
        )


def application(replica: Replica) -> web.Application:
    """Makes the replica's application."""
    app = serving.new_application()
    app.router.add_get("/v1/report", replica.report)
    app.router.add_get("/v1/kv-list", replica.cache_list)
    app.router.add_post("/v1/order", replica.order)
    app.router.add_delete("/v1/kv-handle/{id}", replica.drop_handle)
    app.router.add_get("/_test/record", replica.record)
    app.router.add_post("/_test/restart", replica.restart)
    serving.add_faults(app, replica.faults)
    app.router.add_route("*", "/{path:.*}", replica.handle)
    app.on_response_prepare.append(replica.state_needs)
    return app


@click.command()
@serving.ADDRESS
@serving.PORT
@click.option("--stage", default="", help="prefill, decode or nothing.")
@click.option("--switch", default=0.5, help="Seconds for a change of role.")
@click.option("--version", default="", help="Version of its software.")
def main(
    address: str, port: int, stage: str, switch: float, version: str
) -> None:
    """Serve a replica of a service."""
    replica = Replica(replica_faults.Faults(), stage, switch, version)
    serving.run(serving.serve(application(replica), address, port))


if __name__ == "__main__":
    main()
