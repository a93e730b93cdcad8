"""Stand-in of the platform's own API: usage reports and orders of replicas."""

import asyncio
import time

from aiohttp import web
import click
import msgspec

from gypsumfold_standins import duties as duties_module
from gypsumfold_standins import serving


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Switches for tests.

    Attributes:
        busy: Each call is refused with 429.
        silent: No call is answered, and none is carried out.
        late: Next calls that are not answered and carried out later.
        late_seconds: How much later.
    """

    busy: bool = False
    silent: bool = False
    late: int = 0
    late_seconds: float = 1.0


class Operations:
    """The API's handlers."""

    def __init__(self, faults: Faults, duties: duties_module.Duties):
        self.faults = faults
        self.duties = duties
        self.tasks: set[asyncio.Task] = set()

    async def handle(self, request: web.Request) -> web.Response:
        """Takes one call of a node."""
        if self.faults.silent:
            await serving.while_true(lambda: self.faults.silent)
            return serving.drop(request)
        if self.faults.busy:
            return web.Response(status=429)
        call = (
            request.path,
            msgspec.json.decode(await request.read()),
            request.headers["Duty-Holder"],
            int(request.headers["Fence-Token"]),
        )
        if self.faults.late > 0:
            self.faults.late -= 1
            task = asyncio.create_task(self.carry_out_later(call))
            self.tasks.add(task)
            return serving.drop(request)
        return web.Response(
            status=self.duties.carry_out(*call, time.monotonic())
        )

    async def carry_out_later(self, call: tuple) -> None:
        """Carries a call out that has got no answer."""
        await asyncio.sleep(self.faults.late_seconds)
        self.duties.carry_out(*call, time.monotonic())

    async def record(self, request: web.Request) -> web.Response:
        """Tells tests what was carried out."""
        return serving.answer(
            {
                "calls": [call._asdict() for call in self.duties.calls],
                "contradictions": self.duties.contradictions(),
                "shared_tokens": self.duties.shared_tokens(),
            }
        )


def application(operations: Operations) -> web.Application:
    """Makes the API's application."""
    app = serving.new_application()
    app.router.add_post("/usage", operations.handle)
    app.router.add_post("/scale", operations.handle)
    app.router.add_get("/_test/record", operations.record)
    serving.add_faults(app, operations.faults)
    return app


@click.command()
@serving.ADDRESS
@serving.PORT
@click.option("--fenced/--unfenced", default=True, help="Check tokens.")
def main(address: str, port: int, fenced: bool) -> None:
    """Serve the platform's API."""
    operations = Operations(Faults(), duties_module.Duties(fenced))
    serving.run(serving.serve(application(operations), address, port))


if __name__ == "__main__":
    main()
