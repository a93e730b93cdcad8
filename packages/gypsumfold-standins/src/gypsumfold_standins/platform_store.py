"""Stand-in of the platform's store: a log with keyed topics and groups.

Kept small: one partition a topic, records are never too old unless a test
says so, and a group's partitions all go to its oldest member.
"""

import asyncio
import base64
import struct
import time
from typing import Any

from aiohttp import web
import click
import msgspec

from gypsumfold_standins import serving

LENGTH = struct.Struct(">I")
HEADER = struct.Struct(">QQ")
PARTITIONS = 12
# Topics of operators and replicas, who write again what a copy lacks.
WRITTEN_AGAIN = ("keyed.op", "keyed.servers")


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Switches for tests.

    Attributes:
        busy: Each call of a node is refused with 503.
        silent: No call of a node is answered.
        lost: Next calls that are done and not answered.
        forgotten: Records below this offset of each topic are gone.
    """

    busy: bool = False
    silent: bool = False
    lost: int = 0
    forgotten: int = 0


class Store:
    """The store's state and its handlers."""

    def __init__(self, faults: Faults):
        self.faults = faults
        self.topics: dict[str, list[tuple[str, bytes]]] = {}
        self.members: dict[str, tuple[float, float]] = {}
        self.generation = 0
        self.calls = 0
        self.era = 1
        # When each record of a topic was written, and the generations of the
        # group from their beginnings on.
        self.written_at: dict[str, list[float]] = {}
        self.generations: list[tuple[float, int]] = [(0.0, 0)]
        self.changed = asyncio.Condition()

    async def guard(self, request: web.Request) -> web.Response | None:
        """Applies the faults to a node's call."""
        self.calls += 1
        if self.faults.silent:
            await serving.while_true(lambda: self.faults.silent)
            return serving.drop(request)
        if self.faults.busy:
            return web.Response(status=503)
        return None

    def lose(self, request: web.Request) -> web.Response | None:
        """Drops the answer of a call that was done, if a test wants so."""
        if self.faults.lost <= 0:
            return None
        self.faults.lost -= 1
        return serving.drop(request)

    async def append(self, request: web.Request) -> web.Response:
        """Appends keyed records."""
        refused = await self.guard(request)
        if refused is not None:
            return refused
        topic = request.query["topic"]
        body = await request.read()
        end = len(self.topics.get(topic, ()))
        if request.query.get("at", str(end)) != str(end):
            return serving.answer({"end": end}, status=412)
        place = 0
        while place < len(body):
            (size,) = LENGTH.unpack_from(body, place)
            record = body[place + 4 : place + 4 + size]
            place += 4 + size
            key = record[1 : 1 + record[0]].decode()
            await self.put(topic, key, record[1 + record[0] :])
        answer = {"offset": end, "end": len(self.topics.get(topic, ()))}
        return self.lose(request) or serving.answer(answer)

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Adds one record."""
        async with self.changed:
            self.topics.setdefault(topic, []).append((key, value))
            self.written_at.setdefault(topic, []).append(time.monotonic())
            self.changed.notify_all()

    async def go_back(self, request: web.Request) -> web.Response:
        """Returns to a copy that is some seconds old.

        What operators and replicas have written since then is written again.
        """
        before = time.monotonic() - float(request.query["seconds"])
        self.era += 1
        again = []
        for topic, records in self.topics.items():
            times = self.written_at[topic]
            kept = sum(at <= before for at in times)
            lost = dict(records[kept:])
            del records[kept:]
            del times[kept:]
            if topic in WRITTEN_AGAIN:
                again += [(topic, *record) for record in lost.items()]
        for member, (since, _) in list(self.members.items()):
            if since > before:
                del self.members[member]
        while self.generations[-1][0] > before:
            self.generations.pop()
        self.generation = self.generations[-1][1]
        for record in again:
            await self.put(*record)
        return serving.answer({"era": self.era})

    async def divide(self, request: web.Request) -> web.Response:
        """Gives the partitions to the next oldest member, without asking."""
        if self.members:
            oldest = min(self.members, key=lambda one: self.members[one][0])
            _, until = self.members[oldest]
            self.members[oldest] = (time.monotonic(), until)
            self.change_group()
        return serving.answer({})

    async def lapse(self, request: web.Request) -> web.Response:
        """Ends all memberships, as those that run out in an outage."""
        self.members.clear()
        self.change_group()
        return serving.answer({})

    def change_group(self) -> None:
        """Begins a new generation of the group."""
        self.generation += 1
        self.generations.append((time.monotonic(), self.generation))

    async def name_era(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        """Names the era in each answer."""
        response.headers["Store-Era"] = str(self.era)

    async def read(self, request: web.Request) -> web.Response:
        """Reads records from an offset on; waits for one."""
        refused = await self.guard(request)
        if refused is not None:
            return refused
        topic = request.query["topic"]
        start = int(request.query["from"])
        wait = int(request.query.get("waitMs", "0")) / 1000
        era = self.era
        if start > len(self.topics.get(topic, ())):
            return serving.answer({"first": self.faults.forgotten}, status=410)
        if start < self.faults.forgotten:
            first = {"first": self.faults.forgotten}
            return serving.answer(first, status=410)
        try:
            async with asyncio.timeout(wait), self.changed:
                await self.changed.wait_for(
                    lambda: (
                        self.era != era
                        or len(self.topics.get(topic, ())) > start
                    )
                )
        except TimeoutError:
            pass
        if self.era != era:
            return serving.answer({"first": self.faults.forgotten}, status=410)
        records = self.topics.get(topic, [])
        body = HEADER.pack(len(records), self.faults.forgotten)
        for key, value in records[start:]:
            record = bytes([len(key)]) + key.encode() + value
            body += LENGTH.pack(len(record)) + record
        return self.lose(request) or web.Response(body=body)

    async def newest(self, request: web.Request) -> web.Response:
        """Gives the newest record of each key."""
        refused = await self.guard(request)
        if refused is not None:
            return refused
        records = self.topics.get(request.query["topic"], [])
        found: dict[str, dict[str, Any]] = {}
        for offset, (key, value) in enumerate(records):
            found.pop(key, None)
            if value:
                encoded = base64.b64encode(value).decode()
                found[key] = {"key": key, "value": encoded, "offset": offset}
        page = {
            "items": list(found.values()),
            "morePages": False,
            "end": len(records),
        }
        return self.lose(request) or serving.answer(page)

    async def join(self, request: web.Request) -> web.Response:
        """Keeps a member in the group; the oldest holds all partitions."""
        refused = await self.guard(request)
        if refused is not None:
            return refused
        body = msgspec.json.decode(await request.read())
        member = body["member"]
        now = time.monotonic()
        for name, (_, until) in list(self.members.items()):
            if until < now:
                del self.members[name]
                self.change_group()
        if member not in self.members:
            self.members[member] = (now, 0.0)
            self.change_group()
        since, _ = self.members[member]
        self.members[member] = (since, now + body["ttlMs"] / 1000)
        oldest = min(self.members, key=lambda one: self.members[one][0])
        parts = []
        if member == oldest:
            topic = body["topics"][0]
            parts = [[topic, number, 0] for number in range(PARTITIONS)]
        answer = {
            "generation": self.generation,
            "ttlMs": body["ttlMs"],
            "parts": parts,
        }
        return self.lose(request) or serving.answer(answer)

    async def leave(self, request: web.Request) -> web.Response:
        """Takes a member out of the group."""
        refused = await self.guard(request)
        if refused is not None:
            return refused
        body = msgspec.json.decode(await request.read())
        if self.members.pop(body["member"], None):
            self.change_group()
        return serving.answer({})

    async def write(self, request: web.Request) -> web.Response:
        """Writes for operators and replicas, whatever the faults are."""
        key = request.query["key"]
        await self.put(request.query["topic"], key, await request.read())
        return serving.answer({})

    async def record(self, request: web.Request) -> web.Response:
        """Tells tests who holds the authority and what was written."""
        members = sorted(self.members, key=lambda one: self.members[one][0])
        counts = {topic: len(rows) for topic, rows in self.topics.items()}
        return serving.answer(
            {
                "members": members,
                "generation": self.generation,
                "records": counts,
                "calls": self.calls,
            }
        )


def application(faults: Faults) -> web.Application:
    """Makes the store's application."""
    store = Store(faults)
    app = serving.new_application()
    app.router.add_post("/v1/log-append", store.append)
    app.router.add_get("/v1/log-read", store.read)
    app.router.add_get("/v1/log-newest", store.newest)
    app.router.add_post("/v1/log-join", store.join)
    app.router.add_post("/v1/log-leave", store.leave)
    app.router.add_post("/_test/write", store.write)
    app.router.add_post("/_test/go_back", store.go_back)
    app.router.add_post("/_test/divide", store.divide)
    app.router.add_post("/_test/lapse", store.lapse)
    app.router.add_get("/_test/record", store.record)
    app.on_response_prepare.append(store.name_era)
    serving.add_faults(app, faults)
    return app


@click.command()
@serving.ADDRESS
@serving.PORT
def main(address: str, port: int) -> None:
    """Serve a store of the platform."""
    serving.run(serving.serve(application(Faults()), address, port))


if __name__ == "__main__":
    main()
