"""Claims, renews and releases the lease of one service."""

import asyncio
from collections.abc import Callable
import random

from gypsumfold import clocks
from gypsumfold import events
from gypsumfold import settings as settings_module
from gypsumfold.control import control_state as control_state_module
from gypsumfold.control import journal as journal_module
from gypsumfold.control import leases
from gypsumfold.control import records

# Seconds between two checks of the lease: a fraction of any renewal interval.
CHECK_INTERVAL = 0.1


class LeaseManager:
    """This node's part in the lease of one service.

    Attributes:
        tenure: How long this node may use the lease.
        is_settled: Returns whether no order from this node can still be in
            transit.
        find_evidence: Returns evidence that a holder has ended, or "".

    >>> manager = LeaseManager("dispatch", settings, identity, state, journal)
    >>> manager.is_valid()
    False
    """

    def __init__(
        self,
        service: str,
        settings: settings_module.ControlSection,
        identity: leases.Identity,
        control_state: control_state_module.ControlState,
        journal: journal_module.Journal,
    ):
        self.service = service
        self.settings = settings
        self.identity = identity
        self.control_state = control_state
        self.journal = journal
        self.tenure = leases.Tenure(identity)
        self.is_settled: Callable[[], bool] = lambda: True
        self.find_evidence: Callable[[records.Holder], str] = lambda holder: ""
        self.renewed = float("-inf")
        self.stopping = False

    @property
    def service_state(self) -> control_state_module.ServiceState:
        """The state of the service."""
        return self.control_state.service_state(self.service)

    @property
    def lease(self) -> leases.Lease:
        """The lease, as read from the log."""
        return self.service_state.lease

    def is_held(self) -> bool:
        """Whether the log says that this incarnation is the holder."""
        holder = self.lease.holder
        if holder is None:
            return False
        return self.lease.is_held_by(self.identity.incarnation, holder.token)

    def is_valid(self) -> bool:
        """Whether this node may act as the holder now."""
        holds = self.lease.is_held_by(
            self.identity.incarnation, self.tenure.token
        )
        return holds and self.tenure.is_valid(clocks.now())

    def receive(
        self, logged: control_state_module.LoggedRecord, valid: bool
    ) -> None:
        """Receives a record that the service's state has applied."""
        record = logged.record
        if not valid or not isinstance(record, records.LeaseChanged):
            return
        before = self.tenure.token
        self.tenure.read_back(record, self.lease, self.settings.duration)
        if self.tenure.token != before:
            events.log(
                events.LEASE_GRANTED,
                service=self.service,
                token=self.tenure.token,
            )

    async def run(self) -> None:
        """Renews or claims the lease as long as the service is declared."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL)
            if not self.journal.tail.caught_up.is_set():
                continue
            if not self.service_state.is_known:
                continue
            await self.keep()
            await self.report_ended_holders()

    async def keep(self) -> None:
        """Renews the lease if this node holds it, or claims a free one."""
        now = clocks.now()
        if self.stopping:
            return
        if self.is_held():
            if now >= self.renewed + self.settings.renewal:
                self.renewed = now
                await self.write(records.RENEW, self.lease.holder.token)
            return
        await self.release_predecessor()
        if not self.lease.is_claimable(now, self.settings):
            return
        # Random delay, so that nodes waiting for one lease rarely collide.
        await asyncio.sleep(random.random() * self.settings.renewal / 4)
        if self.lease.is_claimable(clocks.now(), self.settings):
            self.renewed = clocks.now()
            await self.write(records.CLAIM, -1)

    async def release_predecessor(self) -> None:
        """Releases an earlier tenure of this process that was not released."""
        for holder in self.lease.predecessors:
            if holder.incarnation != self.identity.incarnation:
                continue
            if self.is_settled():
                await self.write(records.RELEASE, holder.token)
            return

    async def report_ended_holders(self) -> None:
        """Logs which earlier holders have ended or are out of quarantine."""
        if not self.is_valid():
            return
        now = clocks.now()
        for holder in list(self.lease.predecessors):
            if self.lease.is_harmless(holder, now, self.settings):
                await self.journal.write(
                    records.HolderCleared(
                        self.service, self.tenure.token, holder.token
                    )
                )
                continue
            evidence = "" if holder.ended else self.find_evidence(holder)
            if evidence:
                events.log(
                    events.HOLDER_ENDED,
                    service=self.service,
                    holder=holder.incarnation,
                    evidence=evidence,
                )
                await self.journal.write(
                    records.HolderEnded(
                        self.service, holder.incarnation, evidence
                    )
                )

    async def write(self, action: str, token: int) -> None:
        """Appends one lease record."""
        sequence = self.tenure.next_sequence(clocks.now())
        await self.journal.write(
            records.LeaseChanged(
                self.service,
                action,
                self.identity.incarnation,
                self.identity.node,
                self.identity.address,
                sequence,
                self.lease.last_offset,
                token,
                self.service_state.snapshot(),
            )
        )

    async def release(self) -> None:
        """Releases the lease, if no order can still be in transit."""
        self.stopping = True
        holder = self.lease.holder
        if not self.is_held() or not self.is_settled():
            return
        self.tenure.end()
        await self.write(records.RELEASE, holder.token)
        events.log(events.LEASE_RELEASED, service=self.service)
