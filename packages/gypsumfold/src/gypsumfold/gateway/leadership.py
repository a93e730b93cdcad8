"""Elects the node that may give orders to engines, through the store.

Nodes join one group of the store, which assigns the partitions of a topic to
its members. The holder of partition 0 may give orders, and the group's
generation is the fencing token: the store raises it with each change, so that
no two holders have the same one.
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

# The group of the nodes, and the topic whose partition 0 grants the authority.
GROUP = "gypsumfold-nodes"
TOPIC = "gypsumfold-authority"
# With three renewals in one lease, two may be lost.
RENEWALS_PER_LEASE = 3.0
# Fraction of the lease for which a holder treats it as valid. The store counts
# from the renewal's arrival, the holder from before it was sent, and clocks
# drift by far less than the rest.
VALID_FRACTION = 0.8
# Seconds for which a node stays in the group after it was last a candidate: a
# relay that was silent for a moment is back within a few seconds.
STAY_SECONDS = 10.0
# Checks at startup whether this node is a candidate, and seconds between them.
# It knows once it has read the other members, after some 50 ms.
INITIAL_CHECKS = 50
INITIAL_CHECK_SECONDS = 0.02


class Leadership:
    """Renews the membership of the group; knows whether it may give orders.

    Attributes:
        is_candidate: Whether this node should join the group.
        is_cut_off: Whether other nodes reach replicas that this one doesn't.
        candidate_at: When it was last a candidate.
        joined: Whether it is a member of the group.
        lease_seconds: How long a membership lasts without a renewal.
        generation: The group's generation at the last renewal.
        valid_until: Until when this node may give orders.
        is_holder: Whether the last renewal assigned partition 0.

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
        self.is_cut_off: Callable[[], bool] = lambda: False
        self.candidate_at = float("-inf")
        self.joined = False
        self.lease_seconds = max(
            settings.orders.lease_ms / 1000,
            settings.store.shortest_lease_ms / 1000,
        )
        self.generation = 0
        self.valid_until = float("-inf")
        self.is_holder = False
        # Until when another node may still hold the authority of an earlier
        # era of the store.
        self.waits_until = float("-inf")
        store.eras.listeners.append(self.store_returned)

    def store_returned(self) -> None:
        """Gives up the authority, as the store has returned from a copy.

        The group may have other members now. A node that holds the partition
        for the first time waits for a lease: the holder of before may not know
        yet.
        """
        now = time.monotonic()
        if now >= self.valid_until:
            self.waits_until = now + self.lease_seconds
        self.valid_until = float("-inf")

    def token(self, now: float) -> int | None:
        """Returns the fencing token for orders, or None if not the holder."""
        if now >= self.valid_until or now < self.waits_until:
            return None
        return self.generation

    async def run(self) -> None:
        """Renews the membership for as long as the node runs."""
        for _ in range(INITIAL_CHECKS):
            if self.is_candidate():
                break
            await asyncio.sleep(INITIAL_CHECK_SECONDS)
        while True:
            await self.check()
            pause = self.lease_seconds / RENEWALS_PER_LEASE
            await asyncio.sleep(pause * random.uniform(0.8, 1.0))

    async def check(self) -> None:
        """Renews while this node is a candidate and `STAY_SECONDS` longer.

        A few candidates among hundreds of nodes are enough, and each change of
        the group transfers the authority. A node whose orders would not arrive
        leaves the group at once.
        """
        now = time.monotonic()
        if self.is_cut_off():
            if self.joined:
                await self.leave()
            return
        if self.is_candidate():
            self.candidate_at = now
        if now - self.candidate_at < STAY_SECONDS:
            await self.renew()
        elif self.joined:
            await self.leave()

    async def renew(self) -> None:
        """Renews the membership and updates what this node holds."""
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
        holds = 0 in place.partitions
        self.valid_until = (
            sent + VALID_FRACTION * self.lease_seconds
            if holds
            else float("-inf")
        )
        if holds != self.is_holder:
            self.is_holder = holds
            event = events.ORDERS_GAINED if holds else events.ORDERS_LOST
            events.log(event, token=place.generation, member=self.member)

    async def leave(self) -> None:
        """Leaves the group and gives up the authority."""
        self.valid_until = float("-inf")
        self.joined = False
        if self.is_holder:
            self.is_holder = False
            events.log(
                events.ORDERS_LOST, token=self.generation, member=self.member
            )
        asked = clocks.now()
        try:
            await self.store.leave(GROUP, self.member)
        except exceptions.PlatformError as error:
            # The membership expires without it.
            self.state.call_failed(error, asked)
