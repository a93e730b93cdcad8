"""Elects the node that may give orders to engines, through the store.

Nodes join one group of the store, which assigns the partitions of a topic to
its members. The node with partition 0 is to act, and does so once its tenure
is recorded, which the former holder's end or a lease without it has to precede
(`decisions/tenures.py`). The tenure's number is the fencing token.

All times are those of `clocks.now`: an authority must not outlast a suspension
of the machine.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import random

from gypsumfold import clocks
from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold.decisions import tenures as decisions
from gypsumfold.gateway import grants
from gypsumfold.gateway import settings as settings_module
from gypsumfold.gateway import tenure_claims
from gypsumfold.gateway import tenures as tenures_module
from gypsumfold.gateway import topic_watches
from gypsumfold.platform import store as store_module

# The group of the nodes, and the topic whose partition 0 grants the authority.
GROUP = "gypsumfold-nodes"
TOPIC = "gypsumfold-authority"
# With three renewals in one lease, two may be lost.
RENEWALS_PER_LEASE = 3.0
# Fraction of the lease after a renewal for which a holder begins calls, and by
# which they must have arrived. The store counts from the renewal's arrival, the
# holder from before it was sent, and clocks drift by far less than the rest.
VALID_FRACTION = 0.8
ARRIVAL_FRACTION = 0.95
# Seconds for which a node stays in the group after it was last a candidate: a
# relay that was silent for a moment is back within a few seconds.
STAY_SECONDS = 10.0
# Checks at startup whether this node is a candidate, and seconds between them.
# It knows once it has read the other members, after some 50 ms.
INITIAL_CHECKS = 50
INITIAL_CHECK_SECONDS = 0.02
# Seconds that a node which ends its tenure waits for the answers to its calls.
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
        renewed_at: When the last answered renewal was sent.
        valid_until: Until when this node may begin calls in its tenure.
        claims: Begins this node's tenure.
        acted_at: When this node last ended an act.
        may_arrive_until: Until when a call without an answer may arrive.
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
        self.renewed_at = float("-inf")
        self.valid_until = float("-inf")
        self.claims = tenure_claims.TenureClaims(
            self,
            tenures_module.Tenures(store),
            decisions.Tenure(member, settings.peers.address, 0),
            settings.node.first_start,
            self.lease_seconds,
        )
        self.acted_at = float("-inf")
        self.may_arrive_until = float("-inf")
        self.acts = 0
        self.acts_ended = asyncio.Event()
        self.stopping = False
        # A node that has left must not be joined again by an earlier call.
        self.changing = asyncio.Lock()
        self.renew_soon = asyncio.Event()
        self.may_join_at = float("-inf")
        if not settings.node.first_start:
            self.may_join_at = clocks.now() + self.lease_seconds
        store.eras.listeners.append(self.store_returned)

    def store_returned(self) -> None:
        """Ends the tenure, as the store has returned from a copy.

        The group may have other members now, and the record of the tenure may
        be missing.
        """
        self.give_up()
        # Without any tenure, it may be missing in the copy.
        self.claims.is_first = False

    def token(self, now: float) -> int | None:
        """Returns the fencing token for orders, or None if not the holder."""
        tenure = self.claims.tenure
        is_over = self.stopping or now >= self.valid_until
        return None if is_over or tenure is None else tenure.token

    @contextlib.contextmanager
    def act(self) -> Iterator[grants.Grant | None]:
        """Has the authority kept until a call under it has been answered.

        Yields:
            The permission; None if this node may not act.
        """
        token = self.token(clocks.now())
        if token is None:
            yield None
            return
        self.acts += 1
        self.acts_ended.clear()
        grant = grants.Grant(
            token,
            self.member,
            self.renewed_at,
            self.renewed_at + ARRIVAL_FRACTION * self.lease_seconds,
            lambda: self.token(clocks.now()) == token,
        )
        try:
            yield grant
        except BaseException as error:
            if not isinstance(error, grants.UNSENT_OR_ANSWERED):
                self.may_arrive_until = max(
                    self.may_arrive_until, grant.ends_at
                )
            raise
        finally:
            self.acted_at = clocks.now()
            self.acts -= 1
            if not self.acts:
                self.acts_ended.set()

    async def run(self) -> None:
        """Renews the membership until the node stops.

        A node that starts again joins once a lease has passed: it may have
        acted just before, and others since.
        """
        try:
            wait = self.may_join_at - clocks.now()
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
                await self.pause()
        finally:
            self.claims.cancel()

    async def pause(self) -> None:
        """Waits until the next renewal is due."""
        seconds = self.lease_seconds / RENEWALS_PER_LEASE
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds * random.uniform(0.8, 1.0)):
                await self.renew_soon.wait()
        self.renew_soon.clear()

    async def check(self) -> None:
        """Renews while this node is a candidate and `STAY_SECONDS` longer.

        A few candidates among hundreds of nodes are enough, and each change of
        the group transfers the authority. A node whose orders would not arrive
        leaves the group at once.
        """
        now = clocks.now()
        is_cut_off = self.is_cut_off()
        if not is_cut_off and self.is_candidate():
            self.candidate_at = now
        if not is_cut_off and now - self.candidate_at < STAY_SECONDS:
            await self.renew()
        elif self.joined:
            await self.end_tenure()
            await self.leave_group()

    async def renew(self) -> None:
        """Renews the membership and updates what this node holds."""
        sent = clocks.now()
        try:
            place = await self.store.join(
                GROUP, self.member, TOPIC, self.lease_seconds, self.generation
            )
        except exceptions.PlatformError as error:
            self.state.call_failed(error, sent)
            return
        self.state.call_answered()
        self.joined = True
        valid = VALID_FRACTION * self.lease_seconds
        if sent - self.renewed_at >= valid:
            # Another node may have begun a tenure in between.
            self.claims.forget()
        has_changed = place.generation != self.generation
        self.renewed_at = sent
        self.generation = place.generation
        if 0 not in place.partitions:
            await self.lose()
            return
        self.valid_until = sent + valid
        self.claims.assign(has_changed)

    async def lose(self) -> None:
        """Ends the tenure, as the partition is another node's."""
        if self.claims.tenure is None:
            self.claims.forget()
            return
        await self.end_tenure()
        # The store moves the partition once the member has joined again.
        self.renew_soon.set()

    def is_assigned(self) -> bool:
        """Whether the authority is this node's by its last renewal."""
        if self.stopping or self.claims.assigned_at is None:
            return False
        return clocks.now() < self.valid_until

    async def renew_now(self) -> None:
        """Renews without waiting until that is due."""
        async with self.changing:
            if not self.stopping:
                await self.renew()

    async def end_tenure(self) -> bool:
        """Ends the tenure, and records that once its calls are answered.

        Returns:
            Whether all calls were answered. If not, one may still arrive, and
            the next holder waits for a lease.
        """
        tenure = self.claims.tenure
        self.claims.forget()
        is_over = await self.calls_have_ended()
        if tenure is None:
            return is_over
        events.log(
            events.ORDERS_LOST,
            token=tenure.token,
            member=self.member,
            is_over=is_over,
        )
        if not is_over:
            events.log(
                events.LEADERSHIP_LAPSES, token=tenure.token, member=self.member
            )
            return False
        asked = clocks.now()
        try:
            await self.claims.tenures.end(tenure)
        except exceptions.PlatformError as error:
            self.state.call_failed(error, asked)
        return True

    async def calls_have_ended(self) -> bool:
        """Waits a moment until nothing of any call can arrive any more."""
        if self.acts:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(STOP_SECONDS):
                    await self.acts_ended.wait()
        return not self.acts and clocks.now() >= self.may_arrive_until

    async def yield_to(self, token: int, generation: int) -> bool:
        """Ends a tenure on behalf of another node.

        Args:
            token: The tenure's token.
            generation: The group's generation in which that node was assigned
                the authority.

        Returns:
            Whether nothing of the tenure can arrive any more.
        """
        tenure = self.claims.tenure
        if tenure is not None:
            if self.is_assigned() and generation <= self.generation:
                return False
            events.log(
                events.ORDERS_LOST, token=tenure.token, member=self.member
            )
            self.give_up()
        self.claims.ended_token = max(self.claims.ended_token, token)
        return await self.calls_have_ended()

    def replace_token(self, refused: int) -> None:
        """Begins a tenure with a higher token, if the store still names it."""
        tenure = self.claims.tenure
        if tenure is not None and tenure.token == refused:
            self.give_up()

    def give_up(self) -> None:
        """Drops the tenure; the next renewal tells whose the authority is."""
        self.claims.forget()
        self.valid_until = float("-inf")
        self.renew_soon.set()

    async def stop(self) -> None:
        """Ends the tenure and leaves the group for good.

        Without an answer to a call the membership is left to expire.
        """
        self.stopping = True
        async with self.changing:
            if await self.end_tenure():
                await self.leave_group()

    async def leave_group(self) -> None:
        """Leaves the group."""
        self.valid_until = float("-inf")
        self.joined = False
        asked = clocks.now()
        try:
            await self.store.leave(GROUP, self.member)
        except exceptions.PlatformError as error:  # The membership expires.
            self.state.call_failed(error, asked)
