"""Begins and watches the tenure of a node that was assigned the authority."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Protocol

import msgspec

from gypsumfold import clocks
from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold.decisions import tenures as decisions
from gypsumfold.gateway import tenures as tenures_module
from gypsumfold.gateway import topic_watches

# Seconds for which a holder waits for a request to end, and until a failed call
# on tenures is made again.
WATCH_SECONDS = 20.0
RETRY_SECONDS = 0.2
# Seconds until a holder that has not ended its tenure is asked again.
ASK_SECONDS = 0.5
# Leases after which changes of the group prolong the wait no more: a member
# that comes and goes must not leave the site without a holder.
MAX_WAIT_LEASES = 4


async def has_no_answer(tenure: decisions.Tenure, generation: int) -> bool:
    """Stands for a holder that can't be asked."""
    return False


class Membership(Protocol):
    """The node's membership of the group that assigns the authority.

    Attributes:
        generation: The group's generation at the last renewal.
        renewed_at: When the last answered renewal was sent.
        acted_at: When this node last ended an act.
        stopping: Whether the node stops.
        state: Whether the store answers.
    """

    generation: int
    renewed_at: float
    acted_at: float
    stopping: bool
    state: topic_watches.StoreState

    def is_assigned(self) -> bool:
        """Whether the authority is this node's by its last renewal."""

    async def renew_now(self) -> None:
        """Renews without waiting until that is due."""

    async def calls_have_ended(self) -> bool:
        """Waits a moment until nothing of any call can arrive any more."""


class TenureClaims:
    """Claims the tenure while the authority is assigned to this node.

    Attributes:
        has_ended: Asks a holder to end its tenure, on behalf of a node that was
            assigned the authority in a generation; returns whether it is over.
        assignment: Number of the present assignment, which changes with each
            one and with its end.
        assigned_at: When this node has learned that the authority is its own;
            None if that is another node's.
        first_assigned_at: When it has learned of that first; `assigned_at` is
            later where the group has changed since.
        requested: The assignment and the token of the tenure whose end was
            requested.
        awaited: The last tenure that was read during this assignment.
        asking: Asks the holder of the tenure before.
        over: A tenure whose holder has answered that it is over.
        tenure: This node's tenure; None if it may not act.
        ended_token: Highest token of which this node has said that its tenure
            is over.
        highest_token: Highest token that was read; a later record may be
            unreadable.
        task: Claims the tenure, then watches for requests to end it.

    >>> claims = TenureClaims(leadership, tenures, own, False, 3.0)
    >>> claims.assign(has_changed=False)
    """

    def __init__(
        self,
        membership: Membership,
        tenures: tenures_module.Tenures,
        own: decisions.Tenure,
        is_first: bool,
        lease_seconds: float,
    ):
        self.membership = membership
        self.tenures = tenures
        self.own = own
        self.is_first = is_first
        self.lease_seconds = lease_seconds
        self.has_ended: Callable[[decisions.Tenure, int], Awaitable[bool]]
        self.has_ended = has_no_answer
        self.assignment = 0
        self.assigned_at: float | None = None
        self.first_assigned_at = float("-inf")
        self.requested: tuple[float, int] | None = None
        self.awaited: decisions.Tenure | None = None
        self.asking: asyncio.Task | None = None
        self.over: decisions.Tenure | None = None
        self.tenure: decisions.Tenure | None = None
        self.ended_token = -1
        self.highest_token = -1
        self.task: asyncio.Task | None = None

    def assign(self, has_changed: bool) -> None:
        """Records a renewal that assigns the authority to this node.

        Args:
            has_changed: Whether the group's generation has changed since the
                last renewal, so that another node may have had the authority
                in between.
        """
        now = clocks.now()
        if self.assigned_at is None:
            self.assignment += 1
            self.assigned_at = self.first_assigned_at = now
        patience = MAX_WAIT_LEASES * self.lease_seconds
        is_waiting = self.tenure is None and has_changed
        if is_waiting and now - self.first_assigned_at < patience:
            self.assigned_at = now
        if self.task is not None and self.task.done():
            # Raises what has ended it.
            self.task.result()
            self.task = None
        if self.task is None and not self.membership.stopping:
            self.task = asyncio.create_task(self.hold())

    def forget(self) -> None:
        """Drops the tenure: another node may have begun one since."""
        self.tenure = None
        self.assignment += 1
        self.assigned_at = None
        self.awaited = None
        self.cancel()

    def cancel(self) -> None:
        """Ends the task that claims the tenure, unless it runs this."""
        self.stop_asking()
        task = self.task
        if task is None or task is asyncio.current_task():
            return
        task.cancel()
        self.task = None

    async def hold(self) -> None:
        """Begins the tenure, and watches for requests to end it."""
        while self.assigned_at is not None and not self.membership.stopping:
            asked = clocks.now()
            try:
                if self.tenure is not None:
                    await self.watch(self.tenure)
                elif self.membership.is_assigned():
                    await self.claim()
                else:
                    await asyncio.sleep(RETRY_SECONDS)
            except exceptions.PlatformError as error:
                self.membership.state.call_failed(error, asked)
                await asyncio.sleep(RETRY_SECONDS)

    async def watch(self, tenure: decisions.Tenure) -> None:
        """Watches for another tenure, or a request to end this one.

        Whoever requests it may be wrong, so the store is asked.

        Raises:
            exceptions.PlatformError: The store does not answer.
        """
        page = await self.tenures.read()
        if self.tenure != tenure:
            return
        if page.last != tenure:
            self.tenure = None
            return
        await self.tenures.wait(page.end, WATCH_SECONDS)
        await self.membership.renew_now()

    async def claim(self) -> None:
        """Begins the tenure, or waits until the one before may be over.

        Raises:
            exceptions.PlatformError: The store does not answer.
        """
        assignment = self.assignment
        page = await self.tenures.read()
        if assignment != self.assignment:
            return
        self.observe(page.last)
        claim = self.assess(page.last)
        wait = claim.at - clocks.now()
        if wait > 0:
            await self.await_end(page, claim, wait)
            return
        if not claim.is_proven and not await self.has_lasted(page.last):
            await asyncio.sleep(RETRY_SECONDS)
            return
        if assignment != self.assignment:
            return
        token = decisions.next_token(self.membership.generation, page.last)
        token = max(token, self.ended_token + 1, self.highest_token + 1)
        tenure = msgspec.structs.replace(self.own, token=token)
        if await self.tenures.write(tenure, page.end) is None:
            return
        is_lost = assignment != self.assignment or token <= self.ended_token
        if is_lost or not self.membership.is_assigned():
            # Calls of an earlier tenure may still be under way.
            if await self.membership.calls_have_ended():
                await self.tenures.end(tenure)
            return
        self.tenure = tenure
        self.stop_asking()
        events.log(
            events.ORDERS_GAINED,
            token=token,
            member=self.own.member,
            generation=self.membership.generation,
            before=page.last.member if page.last is not None else "",
            reason=claim.reason,
            waited=round(clocks.now() - self.first_assigned_at, 3),
        )

    def observe(self, last: decisions.Tenure | None) -> None:
        """Takes note of the last tenure.

        The holder of one that is new since the last read may have been assigned
        the authority later than this node, so the wait begins anew.
        """
        if last is not None:
            self.is_first = False
            self.highest_token = max(self.highest_token, last.token)
        if last != self.awaited:
            self.awaited = last
            self.assigned_at = self.first_assigned_at = clocks.now()

    def assess(self, last: decisions.Tenure | None) -> decisions.Claim:
        """Decides when the tenure may begin."""
        candidate = decisions.Candidate(
            self.own.member,
            clocks.now() if self.assigned_at is None else self.assigned_at,
            self.membership.acted_at,
            self.membership.generation,
            self.is_first,
        )
        is_over = last is not None and last == self.over
        proof = "answered" if is_over else ""
        return decisions.claim(candidate, last, proof, self.lease_seconds)

    async def await_end(
        self, page: tenures_module.Page, claim: decisions.Claim, wait: float
    ) -> None:
        """Waits until the tenure before may be over.

        Its holder is asked to end it, through the store and directly, as it may
        be cut off from either.

        Raises:
            exceptions.PlatformError: The store does not answer.
        """
        last = page.last
        request = (self.assigned_at, -1 if last is None else last.token)
        if not claim.is_proven and self.requested != request:
            self.requested = request
            self.stop_asking()
            if last is not None:
                self.asking = asyncio.create_task(self.ask(last))
            await self.tenures.request(self.own.member)
            return
        poll = asyncio.create_task(self.tenures.wait(page.end, wait))
        waiting = {poll}
        if self.asking is not None and not self.asking.done():
            waiting.add(self.asking)
        try:
            await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
        finally:
            poll.cancel()
        if poll.done() and not poll.cancelled():
            # Raises what has ended it.
            poll.result()

    def stop_asking(self) -> None:
        """Asks the holder of the tenure before no more."""
        if self.asking is not None:
            self.asking.cancel()
            self.asking = None

    async def ask(self, last: decisions.Tenure) -> None:
        """Asks the holder of the tenure before to end it, until it is over.

        One that doesn't answer may be starting again.
        """
        while True:
            if await self.has_ended(last, self.membership.generation):
                self.over = last
                return
            await asyncio.sleep(ASK_SECONDS)

    async def has_lasted(self, last: decisions.Tenure | None) -> bool:
        """Whether the authority was assigned to this node all the while.

        If not, the holder before may have been assigned it again, and have
        renewed it, in between.
        """
        asked = clocks.now()
        await self.membership.renew_now()
        if (
            self.membership.renewed_at < asked
            or not self.membership.is_assigned()
        ):
            return False
        return self.assess(last).at <= asked
