"""Elects the node that may give orders to engines, through the store.

Nodes join one group of the store, which assigns the partitions of a topic to
its members. The holder of partition 0 may give orders, and the group's
generation is the fencing token: the store raises it with each change, so that
no two holders have the same one.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import random
import time

from gypsumfold import clocks
from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold.gateway import grants
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
# Seconds that a stopping node waits for the answers to what it has ordered.
STOP_SECONDS = 2.0


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
        waits_until: Until when another node may have acted since this one did,
            or may still hold the authority of an earlier era of the store.
        acted_at: When this node last ended an act.
        unanswered_at: When its last act without an answer ended.
        renewed_at: When the last answered renewal was sent.
        asked_at: The same, by `clocks.now`.
        acts: Calls under the authority that haven't been answered yet.
        stopping: Whether the node stops; it doesn't join any more.
        may_join_at: When it may join the group.

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
        self.waits_until = float("-inf")
        self.acted_at = float("-inf")
        self.unanswered_at = float("-inf")
        self.renewed_at = float("-inf")
        self.asked_at = float("-inf")
        self.acts = 0
        self.acts_ended = asyncio.Event()
        self.stopping = False
        # A node that has left must not be joined again by an earlier call.
        self.changing = asyncio.Lock()
        self.may_join_at = float("-inf")
        if not settings.node.first_start:
            self.may_join_at = time.monotonic() + self.lease_seconds
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
        if self.stopping or now >= self.valid_until or now < self.waits_until:
            return None
        return self.generation

    @contextlib.contextmanager
    def act(self) -> Iterator[grants.Grant | None]:
        """Has the authority kept until a call under it has been answered.

        Yields:
            The permission; None if this node may not act.
        """
        token = self.token(time.monotonic())
        if token is None:
            yield None
            return
        self.acts += 1
        self.acts_ended.clear()
        try:
            yield grants.Grant(token, self.member, self.asked_at)
        except BaseException:
            self.unanswered_at = time.monotonic()
            raise
        finally:
            self.acted_at = time.monotonic()
            self.acts -= 1
            if not self.acts:
                self.acts_ended.set()

    async def run(self) -> None:
        """Renews the membership until the node stops.

        A node that starts again joins once a lease has passed: it may have
        acted just before, and others since.
        """
        wait = self.may_join_at - time.monotonic()
        if wait > 0:
            await asyncio.sleep(wait)
        for _ in range(INITIAL_CHECKS):
            if self.is_candidate():
                break
            await asyncio.sleep(INITIAL_CHECK_SECONDS)
        while not self.stopping:
            async with self.changing:
                if not self.stopping:
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
        holds = 0 in place.partitions
        was_silent = sent - self.renewed_at >= self.lease_seconds
        if holds and (was_silent or not self.is_holder):
            # Another node may have held the authority in between.
            self.waits_until = max(
                self.waits_until, self.acted_at + self.lease_seconds
            )
        self.renewed_at = sent
        self.asked_at = asked
        self.generation = place.generation
        self.valid_until = (
            sent + VALID_FRACTION * self.lease_seconds
            if holds
            else float("-inf")
        )
        if holds != self.is_holder:
            self.is_holder = holds
            event = events.ORDERS_GAINED if holds else events.ORDERS_LOST
            events.log(
                event,
                token=place.generation,
                member=self.member,
                waits=round(max(0.0, self.waits_until - time.monotonic()), 3),
            )

    async def stop(self) -> None:
        """Leaves the group for good.

        What was ordered is answered first, so that it can't be carried out
        after the orders of the next holder. Without an answer the membership is
        left to expire.
        """
        self.stopping = True
        async with self.changing:
            if self.acts:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(STOP_SECONDS):
                        await self.acts_ended.wait()
            unanswered = time.monotonic() - self.unanswered_at
            if self.acts or unanswered < self.lease_seconds:
                events.log(
                    events.LEADERSHIP_LAPSES,
                    token=self.generation,
                    member=self.member,
                )
                return
            await self.leave()

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
