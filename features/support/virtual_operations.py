"""The platform's own API, as gateways in virtual time reach it."""

import asyncio
import json

from gypsumfold import exceptions
from gypsumfold.gateway import grants
from gypsumfold.platform import names
from gypsumfold_standins import duties as duties_module

# Seconds that a call takes, and after which one without answer is given up.
CALL = 0.004
GIVEN_UP = 1.5


class Platform:
    """The API that all gateways of a site call.

    Attributes:
        silent: Whether nothing is answered or carried out.
        late_share: Share of the calls that are not answered and are carried
            out some seconds later.
        least_steady: Fewer replicas of a data centre that can't be reclaimed
            are refused.
        has_replicas: Whether orders of replicas that can't be reclaimed are
            taken.
        refused: Number of orders refused for these.
    """

    def __init__(self, rng, fenced: bool = True):
        self.rng = rng
        self.duties = duties_module.Duties(fenced)
        self.silent = False
        self.late_share = 0.0
        self.least_steady = 0
        self.has_replicas = True
        self.refused = 0
        self.tasks: set[asyncio.Task] = set()

    async def call(
        self, path: str, body: bytes, holder: str, grant: grants.Grant
    ) -> None:
        """Takes one call.

        Raises:
            exceptions.AuthorityEnded: The permission has ended.
            exceptions.DutyFenced: A higher token was seen.
            exceptions.OperationsUnavailable: There is no answer.
        """
        grant.confirm(path)
        await asyncio.sleep(CALL)
        wanted = (path, json.loads(body), holder, grant.token)
        if self.silent or self.rng.random() < self.late_share:
            if not self.silent:
                self.tasks.add(asyncio.create_task(self.later(wanted)))
            await asyncio.sleep(min(GIVEN_UP, grant.remaining()))
            raise exceptions.OperationsUnavailable(path)
        loop = asyncio.get_running_loop()
        if self.duties.carry_out(*wanted, loop.time()) == 409:
            raise exceptions.DutyFenced(path)

    async def later(self, wanted: tuple) -> None:
        """Carries a call out that has got no answer."""
        await asyncio.sleep(self.rng.uniform(0.5, 8.0))
        loop = asyncio.get_running_loop()
        self.duties.carry_out(*wanted, loop.time())

    async def report_usage(
        self, body: bytes, holder: str, grant: grants.Grant
    ) -> None:
        """Takes a usage report."""
        await self.call(names.USAGE_PATH, body, holder, grant)

    async def order_replicas(self, service, order, holder, grant) -> None:
        """Takes an order of replicas."""
        is_taken = self.has_replicas and order.count >= self.least_steady
        if not order.spot and not is_taken:
            self.refused += 1
            raise exceptions.DutyFenced(names.SCALE_PATH)
        body = {
            "service": service,
            "zone": order.data_centre,
            "desired": order.count,
            "spot": order.spot,
        }
        await self.call(
            names.SCALE_PATH, json.dumps(body).encode(), holder, grant
        )

    async def close(self) -> None:
        """Forgets the calls that are not carried out yet."""
        for task in self.tasks:
            task.cancel()
