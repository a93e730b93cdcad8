"""Which node may give orders to engines: the one that the store names.

All nodes join one group of the store, which shares out the partitions of a
topic. Whoever holds partition 0 may give orders, and the group's generation
is the fencing token: the store raises it with each change, so that no two
holders have the same one.
"""

import asyncio
from collections.abc import Callable
import random
import time

from gypsumfold import clocks
from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold.gateway import settings as settings_module
from gypsumfold.gateway import topic_watches
from gypsumfold.platform import store as store_module

# The group of all nodes, and the topic whose partition 0 is the authority.
GROUP = "gypsumfold-nodes"
TOPIC = "gypsumfold-authority"
# Renewals in one lease: two may be lost.
RENEWALS_PER_LEASE = 3.0
# Share of the lease for which a holder believes in it: the store counts from
# the renewal's arrival, a holder from before it was sent, and clocks drift
# by far less than this.
VALID_FRACTION = 0.8
# Seconds for which a node stays in the group after it last offered itself: a
# relay that was silent for a moment is back within a few.
STAY_SECONDS = 10.0
# Looks at a start whether this node may offer itself, and seconds between
# them: it may once it has read who else takes part, after some 50 ms.
INITIAL_CHECKS = 50
INITIAL_CHECK_SECONDS = 0.02


class Leadership:
    """Joins the group again and again; knows whether it may give orders.

    >>> leadership = Leadership(settings, store, state, "edge-1-0193")
    >>> leadership.token(now=0.0) is None
    True
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        store: store_module.Store,
        state: topic_watches.StoreState,
        member: str,
    ):
        self.store = store
        self.state = state
        self.member = member
        self.is_candidate: Callable[[], bool] = lambda: True
        self.candidate_at = float("-inf")
        self.joined = False
        self.lease_seconds = max(
            settings.orders.lease_ms / 1000,
            settings.store.shortest_lease_ms / 1000,
        )
        self.generation = 0
        self.valid_until = float("-inf")
        self.is_holder = False

    def token(self, now: float) -> int | None:
        """The fencing token of an order given now; None to give none."""
        if now >= self.valid_until:
            return None
        return self.generation

    async def run(self) -> None:
        """Renews for as long as the node runs."""
        for _ in range(INITIAL_CHECKS):
            if self.is_candidate():
                break
            await asyncio.sleep(INITIAL_CHECK_SECONDS)
        while True:
            await self.check()
            pause = self.lease_seconds / RENEWALS_PER_LEASE
            await asyncio.sleep(pause * random.uniform(0.8, 1.0))

    async def check(self) -> None:
        """Renews while this node offers to give orders, and a while longer.

        A few nodes of hundreds are enough, and each change of the group
        hands the authority over.
        """
        now = time.monotonic()
        if self.is_candidate():
            self.candidate_at = now
        if now - self.candidate_at < STAY_SECONDS:
            await self.renew()
        elif self.joined:
            await self.leave()

    async def renew(self) -> None:
        """Stays in the group and learns what this node holds."""
        sent = time.monotonic()
        asked = clocks.now()
        try:
            place = await self.store.join(
                GROUP, self.member, TOPIC, self.lease_seconds, self.generation
            )
        except exceptions.PlatformError as error:
            self.state.call_failed(error, asked)
            return
        self.state.call_answered()
        self.joined = True
        self.generation = place.generation
        holds = 0 in place.parts
        self.valid_until = (
            sent + VALID_FRACTION * self.lease_seconds
            if holds
            else float("-inf")
        )
        if holds != self.is_holder:
            self.is_holder = holds
            event = events.ORDERS_GAINED if holds else events.ORDERS_LOST
            events.log(event, token=place.generation)

    async def leave(self) -> None:
        """Gives the authority up, for a shutdown."""
        self.valid_until = float("-inf")
        self.joined = False
        if self.is_holder:
            self.is_holder = False
            events.log(events.ORDERS_LOST, token=self.generation)
        asked = clocks.now()
        try:
            await self.store.leave(GROUP, self.member)
        except exceptions.PlatformError as error:
            # The membership lapses by itself.
            self.state.call_failed(error, asked)
