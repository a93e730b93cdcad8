"""Stand-in of a replica that prints which body it runs, byte for byte."""

import asyncio
import hashlib
import sys

from aiohttp import web
import replica


class BodyReplica(replica.Replica):
    """Runs each request and prints the body's size and digest."""

    async def handle(self, request: web.Request) -> web.Response:
        """Takes a request."""
        body = await request.read()
        replica.note(
            what="body",
            attempt=request.headers.get("Attempt-Id", ""),
            encoding=request.headers.get("Content-Encoding", ""),
            size=len(body),
            sha256=hashlib.sha256(body).hexdigest(),
        )
        return await super().handle(request)


async def serve() -> None:
    """Serves on the IP and port of the arguments, under their instance."""
    app = web.Application(client_max_size=8 * 1024 * 1024)
    one = BodyReplica(sys.argv[3])
    app.router.add_get("/v1/report", one.report)
    app.router.add_get("/healthz", one.health)
    app.router.add_route("*", "/{path:.*}", one.handle)
    # The body is taken as it comes.
    runner = web.AppRunner(app, access_log=None, auto_decompress=False)
    await runner.setup()
    await web.TCPSite(runner, sys.argv[1], int(sys.argv[2])).start()
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(serve())
