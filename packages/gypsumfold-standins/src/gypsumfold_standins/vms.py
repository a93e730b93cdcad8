"""Stand-in of the platform's lagging list of live and leaving VMs."""

import time
from typing import Any

from aiohttp import web
import click
import msgspec

from gypsumfold_standins import serving


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Switches for tests.

    Attributes:
        lag: Seconds until a change of the list is seen.
        down: The list is answered with 503.
        hang: The list is not answered at all.
    """

    lag: float = 0.2
    down: bool = False
    hang: bool = False


class VMs:
    """The list, with its past, so that it can lag."""

    def __init__(self, faults: Faults):
        self.faults = faults
        self.versions: list[tuple[float, list[dict[str, Any]]]] = [(0.0, [])]

    async def read(self, request: web.Request) -> web.Response:
        """``GET /vms``."""
        await serving.while_true(lambda: self.faults.hang)
        if self.faults.down:
            return serving.answer({"reason": "outage"}, status=503)
        visible = time.time() - self.faults.lag
        stamped, vms = self.versions[0]
        for changed, version in self.versions:
            if changed <= visible:
                stamped, vms = changed, version
        return serving.answer({"stamped": max(stamped, visible), "vms": vms})

    async def change(self, request: web.Request) -> web.Response:
        """``POST /_test/vms``: replaces the list."""
        vms = msgspec.json.decode(await request.read())
        self.versions.append((time.time(), vms))
        return serving.answer({})


def application(vms: VMs) -> web.Application:
    """Makes the application that serves a list of VMs."""
    app = serving.new_application()
    app.router.add_get("/vms", vms.read)
    app.router.add_post("/_test/vms", vms.change)
    serving.add_faults(app, vms.faults)
    return app


@click.command()
@serving.ADDRESS
@serving.PORT
@click.option("--lag", default=0.2, help="Seconds until a change is seen.")
def main(address: str, port: int, lag: float) -> None:
    """Run a stand-in of the list of VMs."""
    vms = VMs(Faults(lag=lag))
    serving.run(serving.serve(application(vms), address, port))


if __name__ == "__main__":
    main()
