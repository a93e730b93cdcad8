"""Stand-in of a replica of a plain service; prints what arrives and runs."""

import asyncio
import json
import sys
import time

from aiohttp import web

WORK_SECONDS = 0.01
# Size of a long answer.
DOCUMENT_BYTES = 6 * 1024 * 1024


def note(**fields) -> None:
    """Prints one line of the record."""
    print(json.dumps({"at": round(time.monotonic(), 4), **fields}), flush=True)


class Replica:
    """Runs each request that names this instance."""

    def __init__(self, instance: str):
        self.instance = instance

    async def handle(self, request: web.Request) -> web.Response:
        """Takes a request."""
        attempt = request.headers.get("Attempt-Id", "")
        body = await request.read()
        if request.headers.get("Expect-Instance") != self.instance:
            headers = {"Instance-Id": self.instance, "Attempt-Id": attempt}
            return web.Response(status=421, headers=headers)
        note(what="runs", replica=self.instance, attempt=attempt)
        await asyncio.sleep(WORK_SECONDS)
        seal = {"Attempt-Id": attempt, "Response-Seal": f"{self.instance}.1"}
        answer = f"{self.instance} {attempt} {len(body)}".encode()
        if "/documents/" in request.path:
            answer = answer.ljust(DOCUMENT_BYTES, b".")
        return web.Response(body=answer, headers=seal)

    async def report(self, request: web.Request) -> web.Response:
        """Tells the replica's state."""
        return web.json_response({"busy": False, "queued": 0, "running": 0})

    async def health(self, request: web.Request) -> web.Response:
        """Answers the health probe."""
        return web.Response(headers={"Instance-Id": self.instance})


def main() -> None:
    """Serves on the IP and port of the arguments, under their instance."""
    replica = Replica(sys.argv[3])
    app = web.Application(client_max_size=8 * 1024 * 1024)
    app.router.add_get("/v1/report", replica.report)
    app.router.add_get("/healthz", replica.health)
    app.router.add_route("*", "/{path:.*}", replica.handle)
    web.run_app(
        app,
        host=sys.argv[1],
        port=int(sys.argv[2]),
        print=None,
        access_log=None,
    )


if __name__ == "__main__":
    main()
