"""Stand-in of the platform's store, as PROTOCOL.md describes it.

One partition a topic. The operator and the replicas write below `/_test/`,
where also the history of their topics is deleted.
"""

import argparse
import asyncio
import base64
import json
import struct
import time

import wire

LENGTH = struct.Struct(">I")
HEADER = struct.Struct(">QQ")
PARTITIONS = 12
# Records of a page of newest records.
PAGE_ITEMS = 500
JSON = (("Content-Type", "application/json"),)


def reply(value: object, status: int = 200) -> wire.Answer:
    """Makes an answer in JSON."""
    return wire.Answer(status, json.dumps(value).encode(), JSON)


class Topic:
    """The records of a topic, from the first retained one on."""

    def __init__(self):
        self.first = 0
        # Whether reads hear nothing: the history is about to be deleted.
        self.is_muted = False
        self.records: list[tuple[str, bytes]] = []
        self.newest: dict[str, tuple[int, bytes]] = {}

    @property
    def end(self) -> int:
        """The offset behind the last record."""
        return self.first + len(self.records)

    def append(self, key: str, value: bytes) -> None:
        """Adds a record; one without a value drops its key."""
        self.newest.pop(key, None)
        if value:
            self.newest[key] = (self.end, value)
        self.records.append((key, value))


class Store:
    """The store's state and its calls."""

    def __init__(self):
        self.topics: dict[str, Topic] = {}
        self.members: dict[str, tuple[float, float]] = {}
        self.generation = 0
        self.reads: list[tuple[float, str, int]] = []
        # The highest end that any read of a topic has returned.
        self.read_up_to: dict[str, int] = {}
        self.changed = asyncio.Condition()

    def topic(self, request: wire.Request) -> Topic:
        """Returns the topic that a call names."""
        return self.topics.setdefault(request.query["topic"], Topic())

    async def handle(self, request: wire.Request) -> wire.Answer:
        """Answers one call."""
        calls = {
            "/v1/log-append": self.append,
            "/v1/log-read": self.read,
            "/v1/log-newest": self.find_newest,
            "/v1/log-join": self.join,
            "/v1/log-leave": self.leave,
            "/_test/write": self.write,
            "/_test/mute": self.mute,
            "/_test/forget": self.forget,
            "/_test/reads": self.list_reads,
            "/_test/last": self.find_last,
        }
        if request.path not in calls:
            return wire.Answer(404)
        return await calls[request.path](request)

    async def append(self, request: wire.Request) -> wire.Answer:
        """Appends records of the system."""
        topic = self.topic(request)
        start = topic.end
        if int(request.query.get("at", start)) != start:
            return reply({"end": start}, 412)
        place = 0
        while place < len(request.body):
            (size,) = LENGTH.unpack_from(request.body, place)
            record = request.body[place + 4 : place + 4 + size]
            place += 4 + size
            key = record[1 : 1 + record[0]].decode()
            topic.append(key, record[1 + record[0] :])
        async with self.changed:
            self.changed.notify_all()
        return reply({"offset": start, "end": topic.end})

    async def read(self, request: wire.Request) -> wire.Answer:
        """Reads records from an offset on; waits for one."""
        topic = self.topic(request)
        start = int(request.query["from"])
        self.reads.append((time.time(), request.query["topic"], start))
        if start < topic.first or start > topic.end:
            return reply({"first": topic.first}, 410)
        wait = int(request.query.get("waitMs", "0")) / 1000
        try:
            async with asyncio.timeout(wait), self.changed:
                await self.changed.wait_for(
                    lambda: topic.end > start and not topic.is_muted
                )
        except TimeoutError:
            pass
        if start < topic.first:
            return reply({"first": topic.first}, 410)
        if topic.is_muted:
            return wire.Answer(200, HEADER.pack(start, topic.first))
        self.note_end(request.query["topic"], topic)
        body = HEADER.pack(topic.end, topic.first)
        for key, value in topic.records[start - topic.first :]:
            record = bytes([len(key)]) + key.encode() + value
            body += LENGTH.pack(len(record)) + record
        return wire.Answer(200, body)

    async def find_newest(self, request: wire.Request) -> wire.Answer:
        """Gives the newest record of each key."""
        topic = self.topic(request)
        after = request.query.get("after", "")
        keys = sorted(key for key in topic.newest if key > after)
        items = []
        for key in keys[:PAGE_ITEMS]:
            offset, value = topic.newest[key]
            encoded = base64.b64encode(value).decode()
            items.append({"key": key, "value": encoded, "offset": offset})
        more = len(keys) > PAGE_ITEMS
        self.reads.append((time.time(), request.query["topic"], -1))
        return reply({"items": items, "morePages": more, "end": topic.end})

    def note_end(self, name: str, topic: Topic) -> None:
        """Notes up to where a read has returned a topic's records."""
        before = self.read_up_to.get(name, 0)
        self.read_up_to[name] = max(before, topic.end)

    async def join(self, request: wire.Request) -> wire.Answer:
        """Keeps a member in the group; the oldest holds all partitions."""
        body = json.loads(request.body)
        now = time.monotonic()
        for name, (_, until) in list(self.members.items()):
            if until < now:
                del self.members[name]
                self.generation += 1
        member = body["member"]
        if member not in self.members:
            self.members[member] = (now, now)
            self.generation += 1
        since, _ = self.members[member]
        self.members[member] = (since, now + body["ttlMs"] / 1000)
        oldest = min(self.members, key=lambda one: self.members[one][0])
        parts = []
        if member == oldest:
            for number in range(PARTITIONS):
                parts.append([body["topics"][0], number, 0])
        return reply(
            {
                "generation": self.generation,
                "ttlMs": body["ttlMs"],
                "parts": parts,
            }
        )

    async def leave(self, request: wire.Request) -> wire.Answer:
        """Takes a member out of the group."""
        if self.members.pop(json.loads(request.body)["member"], None):
            self.generation += 1
        return reply({})

    async def write(self, request: wire.Request) -> wire.Answer:
        """Writes a record of the operator or of a replica."""
        topic = self.topic(request)
        topic.append(request.query["key"], request.body)
        async with self.changed:
            self.changed.notify_all()
        return reply({"end": topic.end})

    async def mute(self, request: wire.Request) -> wire.Answer:
        """Has reads of a topic hear nothing until its history is deleted."""
        topic = self.topic(request)
        topic.is_muted = True
        return reply({"end": topic.end})

    async def forget(self, request: wire.Request) -> wire.Answer:
        """Deletes a topic's history; the newest record of each key stays."""
        topic = self.topic(request)
        topic.first = topic.end
        topic.records.clear()
        topic.is_muted = False
        async with self.changed:
            self.changed.notify_all()
        return reply({"first": topic.first})

    async def find_last(self, request: wire.Request) -> wire.Answer:
        """Names the key of a topic's last record, if a node has read it."""
        topic = self.topic(request)
        was_read = self.read_up_to.get(request.query["topic"], 0) == topic.end
        if not was_read or not topic.records:
            return reply({"key": ""})
        return reply({"key": topic.records[-1][0]})

    async def list_reads(self, request: wire.Request) -> wire.Answer:
        """Lists the reads so far: time, topic, and offset or -1 for newest."""
        return reply(self.reads)


def main() -> None:
    """Serves a store."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--address", required=True)
    parser.add_argument("--port", type=int, required=True)
    options = parser.parse_args()
    asyncio.run(wire.serve(Store().handle, options.address, options.port))


if __name__ == "__main__":
    main()
