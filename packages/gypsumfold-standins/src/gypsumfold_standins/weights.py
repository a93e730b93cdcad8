"""Stand-in of the rate-limited weight store."""

import asyncio
import time

from aiohttp import web
import click
import msgspec

from gypsumfold_standins import serving

CHUNK = 64 * 1024


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Switches for tests.

    Attributes:
        rate: Bytes a second over all readers together.
        size: Bytes of each model's weights.
        down: Everything is answered with 503.
    """

    rate: float = 16e6
    size: int = 1_000_000
    down: bool = False


class Store:
    """The weights of models, all of the same size and all zeros."""

    def __init__(self, faults: Faults, models: dict[str, list[str]]):
        self.faults = faults
        self.models = models
        self.free = 0.0

    async def listing(self, request: web.Request) -> web.Response:
        """``GET /weights``."""
        if self.faults.down:
            return serving.answer({"reason": "outage"}, status=503)
        found = []
        for model, versions in sorted(self.models.items()):
            found.append({"model": model, "versions": versions})
        return serving.answer({"models": found})

    async def weights(self, request: web.Request) -> web.StreamResponse:
        """``GET /weights/{model}/{version}``."""
        if self.faults.down:
            return serving.answer({"reason": "outage"}, status=503)
        model = request.match_info["model"]
        version = request.match_info["version"]
        if version not in self.models.get(model, []):
            return serving.answer({"reason": "unknown"}, status=404)
        response = web.StreamResponse()
        response.content_length = self.faults.size
        await response.prepare(request)
        left = self.faults.size
        while left:
            part = min(left, CHUNK)
            await self.pace(part)
            await response.write(bytes(part))
            left -= part
        await response.write_eof()
        return response

    async def pace(self, size: int) -> None:
        """Waits until so many more bytes may go out."""
        now = time.monotonic()
        self.free = max(self.free, now) + size / self.faults.rate
        await asyncio.sleep(self.free - now)


def application(store: Store) -> web.Application:
    """Makes the application that serves a weight store."""
    app = serving.new_application()
    app.router.add_get("/weights", store.listing)
    app.router.add_get("/weights/{model}/{version}", store.weights)
    serving.add_faults(app, store.faults)
    return app


def parse_models(text: str) -> dict[str, list[str]]:
    """Reads ``a@1,a@2,b`` into model names and their versions."""
    models: dict[str, list[str]] = {}
    for part in text.split(","):
        if not part:
            continue
        model, _, version = part.partition("@")
        models.setdefault(model, []).append(version or "1")
    return models


@click.command()
@serving.ADDRESS
@serving.PORT
@click.option("--models", default="", help="For example: a@1,a@2,a:x@1")
@click.option("--rate", default=16e6, help="Bytes a second.")
@click.option("--size", default=1_000_000, help="Bytes of each model.")
def main(address: str, port: int, models: str, rate: float, size: int) -> None:
    """Run a stand-in of the weight store."""
    store = Store(Faults(rate=rate, size=size), parse_models(models))
    serving.run(serving.serve(application(store), address, port))


if __name__ == "__main__":
    main()
