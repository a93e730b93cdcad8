"""Stand-in of a replica of a plain service, as PROTOCOL.md describes it.

The body of an answer begins with the request's attempt id, so that a client
can tell whose answer it got.
"""

import argparse
import asyncio
import hashlib
import json
import time

import wire

# Bytes of the data of an event.
EVENT_BYTES = 1000
JSON = (("Content-Type", "application/json"),)


class Replica:
    """The replica's state and its calls."""

    def __init__(self, options: argparse.Namespace):
        self.instance = options.instance
        self.seconds = options.work_ms / 1000
        self.slow_prefix = options.slow_prefix
        self.slow_seconds = options.slow_ms / 1000
        self.events = options.events
        self.padding = b"x" * options.padding
        self.born = int(time.time() * 1000)
        self.running = 0
        self.runs: list[dict[str, object]] = []

    async def handle(self, request: wire.Request) -> wire.Answer:
        """Answers one call."""
        if request.path == "/_test/runs":
            return wire.Answer(200, json.dumps(self.runs).encode(), JSON)
        expected = request.fields.get("expect-instance", self.instance)
        if expected != self.instance:
            return wire.Answer(421, b"", (("Instance-Id", self.instance),))
        if request.path == "/healthz":
            return wire.Answer(200, b"", (("Instance-Id", self.instance),))
        if request.path == "/v1/report":
            report = {"queued": 0, "running": self.running, "born": self.born}
            return wire.Answer(200, json.dumps(report).encode(), JSON)
        if request.path == "/v1/kv-list":
            cached = {"epoch": 1, "nextToken": 0, "held": [], "born": self.born}
            return wire.Answer(200, json.dumps(cached).encode(), JSON)
        if request.path.startswith("/v1/"):
            return wire.Answer(200)
        return await self.run(request)

    def time_of(self, target: str) -> float:
        """Returns the seconds that a request takes."""
        if self.slow_prefix and target.startswith(self.slow_prefix):
            return self.slow_seconds
        return self.seconds

    async def run(self, request: wire.Request) -> wire.Answer:
        """Runs a client's request."""
        attempt = request.fields.get("attempt-id", "")
        row: dict[str, object] = {
            "attempt": attempt,
            "at": time.time(),
            "target": request.target,
            "body": hashlib.sha256(request.body).hexdigest(),
        }
        self.runs.append(row)
        self.running += 1
        try:
            await asyncio.sleep(self.time_of(request.target))
        finally:
            self.running -= 1
        row["ended"] = time.time()
        if self.events:
            return self.stream(attempt)
        fields = (
            ("Attempt-Id", attempt),
            ("Response-Seal", f"{self.instance}.{attempt}"),
            ("Content-Type", "application/octet-stream"),
        )
        return wire.Answer(200, attempt.encode() + self.padding, fields)

    def stream(self, attempt: str) -> wire.Answer:
        """Makes a stream of events, each with several tokens."""
        fields = (
            ("Attempt-Id", attempt),
            ("Response-Seal", f"{self.instance}.{attempt}"),
            ("Content-Type", "text/event-stream"),
        )
        data = b"x" * EVENT_BYTES
        event = b"id: 1\ndata: " + data + b"\n\n"
        return wire.Answer(200, event, fields, self.events)


def main() -> None:
    """Serves a replica."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--address", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--instance", required=True)
    parser.add_argument("--work-ms", type=float, default=20.0)
    parser.add_argument("--events", type=int, default=0)
    parser.add_argument("--slow-prefix", default="")
    parser.add_argument("--slow-ms", type=float, default=0.0)
    parser.add_argument("--padding", type=int, default=0)
    options = parser.parse_args()
    replica = Replica(options)
    asyncio.run(wire.serve(replica.handle, options.address, options.port))


if __name__ == "__main__":
    main()
