"""Stand-in of the platform's store: logs with keyed topics, and groups."""

import asyncio
import base64
import json
import struct
import sys
import time

from aiohttp import web

LENGTH = struct.Struct(">I")
HEADER = struct.Struct(">QQ")
PARTITIONS = 12


class Group:
    """Members of a group and the partitions that each one holds."""

    def __init__(self):
        self.generation = 0
        self.seen: dict[str, tuple[float, float]] = {}
        self.targets: dict[int, str] = {}
        self.owners: dict[int, str] = {}

    def change(self) -> None:
        """Begins a generation: partitions are distributed evenly."""
        self.generation += 1
        names = sorted(self.seen)
        self.targets = {}
        for number in range(PARTITIONS):
            if names:
                self.targets[number] = names[number % len(names)]

    def remove(self, member: str) -> None:
        """Takes a member out; what it held is free."""
        if self.seen.pop(member, None) is None:
            return
        for number, owner in list(self.owners.items()):
            if owner == member:
                del self.owners[number]
        self.change()

    def expire(self, now: float) -> None:
        """Takes out the members that have been silent for their time."""
        for member, (at, ttl) in list(self.seen.items()):
            if now - at > ttl:
                self.remove(member)

    def join(self, member: str, generation: int, ttl: float) -> list[int]:
        """Renews a member; returns the partitions that it holds."""
        now = time.monotonic()
        self.expire(now)
        is_new = member not in self.seen
        self.seen[member] = (now, ttl)
        if is_new:
            self.change()
        found = []
        for number, target in self.targets.items():
            owner = self.owners.get(number)
            if owner == member and target != member:
                if generation >= self.generation:
                    del self.owners[number]
                continue
            if target != member or owner not in (None, member):
                continue
            self.owners[number] = member
            found.append(number)
        return found


class Store:
    """The store's topics and its handlers."""

    def __init__(self):
        self.topics: dict[str, list[tuple[str, bytes]]] = {}
        self.groups: dict[str, Group] = {}
        self.changed = asyncio.Condition()

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Appends one record."""
        async with self.changed:
            self.topics.setdefault(topic, []).append((key, value))
            self.changed.notify_all()

    async def append(self, request: web.Request) -> web.Response:
        """Appends the records of a node's call."""
        topic = request.query["topic"]
        body = await request.read()
        end = len(self.topics.get(topic, ()))
        if request.query.get("at", str(end)) != str(end):
            return web.json_response({"end": end}, status=412)
        place = 0
        while place < len(body):
            (size,) = LENGTH.unpack_from(body, place)
            record = body[place + 4 : place + 4 + size]
            place += 4 + size
            key = record[1 : 1 + record[0]].decode()
            await self.put(topic, key, record[1 + record[0] :])
        after = len(self.topics.get(topic, ()))
        return web.json_response({"offset": end, "end": after})

    async def read(self, request: web.Request) -> web.Response:
        """Gives the records from an offset on; waits for one."""
        topic = request.query["topic"]
        start = int(request.query["from"])
        wait = int(request.query.get("waitMs", "0")) / 1000
        try:
            async with asyncio.timeout(wait), self.changed:
                await self.changed.wait_for(
                    lambda: len(self.topics.get(topic, ())) > start
                )
        except TimeoutError:
            pass
        records = self.topics.get(topic, [])
        body = HEADER.pack(len(records), 0)
        for key, value in records[start:]:
            record = bytes([len(key)]) + key.encode() + value
            body += LENGTH.pack(len(record)) + record
        return web.Response(body=body)

    async def newest(self, request: web.Request) -> web.Response:
        """Gives the newest record of each key."""
        records = self.topics.get(request.query["topic"], [])
        found = {}
        for offset, (key, value) in enumerate(records):
            found.pop(key, None)
            if value:
                encoded = base64.b64encode(value).decode()
                found[key] = {"key": key, "value": encoded, "offset": offset}
        page = {"items": list(found.values()), "end": len(records)}
        return web.json_response({**page, "morePages": False})

    async def join(self, request: web.Request) -> web.Response:
        """Keeps a member in a group."""
        body = await request.json()
        group = self.groups.setdefault(body["group"], Group())
        held = group.join(
            body["member"], body["generation"], body["ttlMs"] / 1000
        )
        parts = [[body["topics"][0], number, 0] for number in held]
        return web.json_response(
            {"generation": group.generation, "parts": parts}
        )

    async def leave(self, request: web.Request) -> web.Response:
        """Takes a member out of a group."""
        body = await request.json()
        self.groups.setdefault(body["group"], Group()).remove(body["member"])
        return web.json_response({})

    async def write(self, request: web.Request) -> web.Response:
        """Writes a record of the operator, a replica or another writer."""
        topic, key = request.query["topic"], request.query["key"]
        await self.put(topic, key, await request.read())
        return web.json_response({"at": time.monotonic()})


def main() -> None:
    """Serves on the IP and port of the arguments."""
    store = Store()
    app = web.Application(client_max_size=8 * 1024 * 1024)
    app.router.add_post("/v1/log-append", store.append)
    app.router.add_get("/v1/log-read", store.read)
    app.router.add_get("/v1/log-newest", store.newest)
    app.router.add_post("/v1/log-join", store.join)
    app.router.add_post("/v1/log-leave", store.leave)
    app.router.add_post("/standin/write", store.write)
    print(json.dumps({"at": time.monotonic(), "what": "store started"}))
    web.run_app(
        app,
        host=sys.argv[1],
        port=int(sys.argv[2]),
        print=None,
        access_log=None,
    )


if __name__ == "__main__":
    main()
