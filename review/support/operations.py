"""Stand-in of the platform's own API; prints the calls that it gets.

It does not check fences, as where `fenceRequired` is false.
"""

import json
import sys
import time

from aiohttp import web


async def take(request: web.Request) -> web.Response:
    """Takes a call of a duty."""
    body = await request.json()
    line = {
        "at": round(time.monotonic(), 4),
        "what": "call",
        "path": request.path,
        "holder": request.headers["Duty-Holder"],
        "fence": int(request.headers["Fence-Token"]),
        "body": body,
    }
    print(json.dumps(line), flush=True)
    return web.Response()


def main() -> None:
    """Serves on the IP and port of the arguments."""
    app = web.Application()
    app.router.add_post("/usage", take)
    app.router.add_post("/scale", take)
    web.run_app(
        app,
        host=sys.argv[1],
        port=int(sys.argv[2]),
        print=None,
        access_log=None,
    )


if __name__ == "__main__":
    main()
