"""Stand-in of a plain service (docs/PROTOCOLS.md)."""

import asyncio
import collections
import os
import time
from typing import Any
import uuid

from aiohttp import web
import click
import msgspec
import xxhash

from gypsumfold_standins import serving
from gypsumfold_standins import tokens

HEADER = "Gypsumfold-Dispatch"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
# Exit code of a crash that a test asked for.
CRASH = 70


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Switches for tests.

    Attributes:
        seconds: How long each call runs.
        continue_delay: Seconds until the 100 is sent.
        withheld: Next calls that get no 100 and nothing else.
        lost: Next calls that run and whose answer is dropped.
        lost_requests: Next calls dropped after the body, before they run.
        crossed: Next answers that carry another dispatch's id.
        crash_before: The process exits after the body, before it runs.
        crash_after: The process exits after it ran, before the answer.
        leaving: Says that it leaves, and takes nothing new.
        announced: Says that it leaves, and would still take new work, so
            that a test sees whether any comes.
        unreported: Health polls are not answered.
        match: Faults only count calls whose body contains this text.
    """

    seconds: float = 0.0
    continue_delay: float = 0.0
    withheld: int = 0
    lost: int = 0
    lost_requests: int = 0
    crossed: int = 0
    crash_before: bool = False
    crash_after: bool = False
    leaving: bool = False
    announced: bool = False
    unreported: bool = False
    match: str = ""

    def takes(self, name: str, body: bytes = b"") -> bool:
        """Counts a fault down and says whether it strikes now."""
        left = getattr(self, name)
        if not left or self.match.encode() not in body:
            return False
        if left is not True:
            setattr(self, name, left - 1)
        return True


class Plain:
    """The service's state and its handlers."""

    def __init__(self, faults: Faults):
        self.faults = faults
        self.incarnation = str(uuid.uuid4())
        self.records: list[dict[str, Any]] = []
        self.refusals: list[dict[str, Any]] = []
        self.by_body: collections.Counter[str] = collections.Counter()
        self.by_dispatch: collections.Counter[str] = collections.Counter()
        self.running = 0
        self.leaving = False

    @property
    def leaves(self) -> bool:
        """Whether it takes nothing new for good."""
        return self.leaving or self.faults.leaving

    async def expect(self, request: web.Request) -> web.Response | None:
        """Answers ``Expect: 100-continue`` before the body is read."""
        if self.faults.takes("withheld"):
            await asyncio.Event().wait()
        if self.faults.continue_delay:
            await asyncio.sleep(self.faults.continue_delay)
        if self.leaves:
            return self.refuse(request)
        if request.transport is not None:
            request.transport.write(CONTINUE)
        return None

    def refuse(self, request: web.Request) -> web.Response:
        """Answers a call that is not run."""
        dispatch = request.headers.get(HEADER, "")
        self.refusals.append({"id": dispatch, "time": time.time()})
        return serving.answer({"reason": "leaving"}, status=503)

    async def call(self, request: web.Request) -> web.Response:
        """``POST /calls/{name}``."""
        if self.leaves:
            return self.refuse(request)
        body = await request.read()
        if self.faults.takes("lost_requests", body):
            return serving.drop(request)
        if self.faults.takes("crash_before", body):
            os._exit(CRASH)
        name = request.match_info["name"]
        dispatch = request.headers.get(HEADER, "")
        # What has begun ends, also when its caller goes.
        await asyncio.shield(self.execute(name, dispatch, body))
        if self.faults.takes("crash_after", body):
            os._exit(CRASH)
        if self.faults.takes("lost", body):
            return serving.drop(request)
        if self.faults.takes("crossed", body):
            dispatch = f"{dispatch}-other"
        return web.Response(
            body=tokens.call_answer(name, body), headers={HEADER: dispatch}
        )

    async def execute(self, name: str, dispatch: str, body: bytes) -> None:
        """Runs one call and records it."""
        key = f"{name} {xxhash.xxh64_hexdigest(body)}"
        self.by_body[key] += 1
        self.by_dispatch[dispatch] += 1
        self.running += 1
        record = {
            "dispatch": dispatch,
            "name": name,
            "body": body.decode(errors="replace"),
            "start": time.time(),
            "end": 0.0,
        }
        self.records.append(record)
        await asyncio.sleep(self.faults.seconds)
        record["end"] = time.time()
        self.running -= 1

    async def health(self, request: web.Request) -> web.Response:
        """``GET /health``."""
        await serving.while_true(lambda: self.faults.unreported)
        return serving.answer(
            {
                "incarnation": self.incarnation,
                "taken": time.time(),
                "leaving": self.leaves or self.faults.announced,
                "running": self.running,
            }
        )

    async def dispatches(self, request: web.Request) -> web.Response:
        """``GET /_test/dispatches``: each execution."""
        return serving.answer(self.records)

    async def refused(self, request: web.Request) -> web.Response:
        """``GET /_test/refusals``: calls that were not run."""
        return serving.answer(self.refusals)

    async def counts(self, request: web.Request) -> web.Response:
        """``GET /_test/counts``: executions by body and by dispatch."""
        return serving.answer(
            {"bodies": self.by_body, "dispatches": self.by_dispatch}
        )

    async def drain(self, notice: float) -> None:
        """Says that it leaves, and waits for what runs."""
        self.leaving = True
        await asyncio.sleep(notice)
        await serving.while_true(lambda: self.running)


def application(plain: Plain) -> web.Application:
    """Makes the application that serves a plain service."""
    app = serving.new_application()
    app.router.add_post(
        "/calls/{name}", plain.call, expect_handler=plain.expect
    )
    app.router.add_get("/health", plain.health)
    app.router.add_get("/_test/dispatches", plain.dispatches)
    app.router.add_get("/_test/refusals", plain.refused)
    app.router.add_get("/_test/counts", plain.counts)
    serving.add_faults(app, plain.faults)
    return app


@click.command()
@serving.ADDRESS
@serving.PORT
@click.option("--seconds", default=0.0, help="How long each call runs.")
@click.option("--notice", default=1.0, help="Least seconds of leaving.")
def main(address: str, port: int, seconds: float, notice: float) -> None:
    """Run a stand-in of a plain service."""
    plain = Plain(Faults(seconds=seconds))

    async def drain() -> None:
        await plain.drain(notice)

    serving.run(serving.serve(application(plain), address, port, drain))


if __name__ == "__main__":
    main()
