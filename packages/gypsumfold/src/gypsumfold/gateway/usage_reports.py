"""Reports each account's usage to the platform while this node is the leader.

The total of a window is recorded in the store before it is reported, under the
condition that nothing was recorded since the records were last read. So every
window has one total for good, whichever nodes believe that they lead, and a
report that arrives late or twice repeats the same one.
"""

import asyncio
from collections.abc import Callable
import math
import random
import time

from gypsumfold import clocks
from gypsumfold import events
from gypsumfold import exceptions
from gypsumfold.decisions import metering
from gypsumfold.decisions import polling
from gypsumfold.gateway import grants
from gypsumfold.gateway import leadership as leadership_module
from gypsumfold.gateway import refused_tokens
from gypsumfold.gateway import usage as usage_module
from gypsumfold.platform import names
from gypsumfold.platform import operations as operations_module
from gypsumfold.platform import store as store_module

# Seconds between two checks whether a window is due; a check makes no call.
CHECK_INTERVAL_SECONDS = 0.25
# Records of totals that are kept in the store: each window replaces the one of
# as many windows before.
RECORD_SLOTS = 16
# Key of the record of what the store's present era lacks.
LOSS_KEY = "loss"
# Windows after which counts are deleted.
EXPIRED_WINDOWS = 2 * metering.KEPT_WINDOWS


class UsageReporter:
    """Totals and reports windows of usage.

    Attributes:
        recorded: Reports by window, as they are in the store.
        confirmed: Windows whose report was accepted.
        position: End of the topic of totals when it was last read; None if it
            has to be read again.
        refused: Fencing tokens that the platform has refused.

    >>> reporter = UsageReporter(
    ...     store, operations, leadership, policy, node="edge-1",
    ...     contact_since=lambda: 0.0
    ... )
    >>> await reporter.run()
    """

    def __init__(
        self,
        store: store_module.Store,
        operations: operations_module.Operations,
        leadership: leadership_module.Leadership,
        policy: metering.Policy,
        node: str,
        contact_since: Callable[[], float],
    ):
        self.store = store
        self.operations = operations
        self.leadership = leadership
        self.policy = policy
        self.node = node
        self.contact_since = contact_since
        self.clock = time.time
        self.recorded: dict[int, bytes] = {}
        self.confirmed: set[int] = set()
        self.position: int | None = None
        self.refused = refused_tokens.RefusedTokens(CHECK_INTERVAL_SECONDS)
        # Windows that may have been totalled before this Unix time, in records
        # that the store has lost.
        self.lost_before = -math.inf
        # When this node knew the store's era, and the last era of which it
        # knows what is lost.
        self.known_from: float | None = None
        self.learned_era: int | None = None
        self.is_lost = False
        store.eras.listeners.append(self.store_returned)

    def store_returned(self) -> None:
        """Records that the store has returned from an older copy."""
        self.position = None
        self.lost_before = self.clock()
        self.learned_era = None
        self.is_lost = bool(self.recorded)

    async def run(self) -> None:
        """Reports for as long as the node runs."""
        failures = 0
        while True:
            began = clocks.now()
            try:
                await self.check()
                failures = 0
            except exceptions.PlatformError as error:
                failures += 1
                self.position = None
                events.log(
                    events.USAGE_DELAYED, failures=failures, reason=str(error)
                )
                took = clocks.now() - began
                await asyncio.sleep(
                    polling.retry_delay(failures, random.random(), took)
                )
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    def token(self) -> int | None:
        """Returns the fencing token to report with; None if not the leader."""
        token = self.leadership.token(clocks.now())
        if token is None or not self.may_use(token):
            return None
        return token

    def may_use(self, token: int) -> bool:
        """Whether a token may be used as far as refusals go."""
        return self.refused.may_call(names.USAGE_PATH, "", token)

    async def check(self) -> None:
        """Records and reports the windows that are due.

        Raises:
            exceptions.PlatformError: A call failed; it may have taken effect.
        """
        if self.known_from is None and self.store.eras.is_known:
            self.known_from = self.clock()
        if self.token() is None:
            self.position = None
            return
        now = self.clock()
        regained_at = now - (clocks.now() - self.contact_since())
        steps = metering.due_steps(
            self.recorded, self.confirmed, regained_at, now, self.policy
        )
        if not self.is_lost:
            # The store need not answer for what is known to be recorded.
            for step in steps:
                if step.index in self.recorded:
                    await self.report(step.index)
        if all(step.index in self.confirmed for step in steps):
            return
        if self.position is None:
            await self.read_recorded()
        if self.learned_era != self.store.eras.current:
            await self.learn_losses()
        if self.is_lost:
            await self.record_again()
        for step in steps:
            if step.index not in self.recorded:
                if self.may_be_lost(step.index):
                    continue
                await self.record(step.index)
            await self.report(step.index)

    def may_be_lost(self, index: int) -> bool:
        """Whether another node may have reported a window without a record.

        A second total may differ, and the platform accepts only one.
        """
        closed = metering.close_time(index, -math.inf, self.policy)
        return closed <= self.lost_before

    async def learn_losses(self) -> None:
        """Learns what totals the store may have lost before its present era.

        A node that started in this era hasn't seen the store return. If only
        an earlier era's losses are recorded, it was before this node's start.

        Raises:
            exceptions.PlatformError: The store does not answer.
        """
        page = await self.store.newest(names.USAGE_ERAS_TOPIC)
        era = self.store.eras.current
        if self.known_from is None:
            self.known_from = self.clock()
        for record in page.records:
            if record.key != LOSS_KEY or not record.value:
                continue
            loss = operations_module.decode_loss(record.value)
            before = loss.lost_before
            if loss.era != era:
                before = self.known_from
            self.lost_before = max(self.lost_before, before)
            if loss.era == era:
                self.learned_era = era
                return
        value = operations_module.encode_loss(era, max(0.0, self.lost_before))
        await self.store.put(names.USAGE_ERAS_TOPIC, LOSS_KEY, value)
        self.learned_era = era

    async def record_again(self) -> None:
        """Writes the totals again that the store may have lost.

        Raises:
            exceptions.PlatformError: They may or may not be recorded.
        """
        known = dict(self.recorded)
        stored = await self.read_recorded()
        records = []
        for index, value in known.items():
            slot = str(index % RECORD_SLOTS)
            if stored.get(slot, -1) < index:
                records.append((slot, value))
        if records:
            await self.store.put_all(names.USAGE_TOTALS_TOPIC, records)
            await self.read_recorded()
        self.is_lost = False

    async def read_recorded(self) -> dict[str, int]:
        """Reads the totals that were recorded so far.

        Returns:
            The window of each record's key.
        """
        stored = {}
        page = await self.store.newest(names.USAGE_TOTALS_TOPIC)
        for record in page.records:
            if not record.value:
                continue
            index = operations_module.window_of(record.value)
            stored[record.key] = index
            # What was reported once stays, whatever a copy of the store says.
            self.recorded.setdefault(index, record.value)
        self.position = page.end
        return stored

    async def record(self, index: int) -> None:
        """Totals a window and records it, unless another node has.

        Raises:
            exceptions.PlatformError: A call failed; the total may be recorded.
        """
        copies = await self.read_counts(index)
        counts = metering.total(index, copies)
        value = operations_module.encode_usage(index, counts)
        end = await self.store.put_at(
            names.USAGE_TOTALS_TOPIC,
            str(index % RECORD_SLOTS),
            value,
            self.position,
        )
        if end is None:
            # Another node has recorded something meanwhile.
            self.position = None
            raise exceptions.LogUnavailable("another node records totals")
        self.position = end
        self.recorded[index] = value
        events.log(
            events.USAGE_RECORDED,
            window=index,
            requests=sum(counts.values()),
            accounts=len(counts),
            nodes=len(copies.counts),
            late=round(self.clock() - self.policy.end(index), 3),
        )
        self.forget(index)

    async def read_counts(self, index: int) -> metering.UsageCopies:
        """Reads all nodes' counts of a window; deletes expired records."""
        page = await self.store.newest(names.USAGE_TOPIC)
        found = metering.UsageCopies(self.policy)
        expired = []
        for record in page.records:
            window = usage_module.window_of(record.key)
            if window <= index - EXPIRED_WINDOWS:
                expired.append((record.key, b""))
            if window != index:
                continue
            try:
                members = usage_module.decode_counts(record.value)
            except exceptions.RecordInvalid as error:
                events.log(
                    events.RECORD_SKIPPED, key=record.key, reason=str(error)
                )
                continue
            for member, counts in members.items():
                found.merge(member, index, counts)
        if expired:
            await self.store.put_all(names.USAGE_TOPIC, expired)
        return found

    async def report(self, index: int) -> None:
        """Sends a recorded window to the platform.

        Raises:
            exceptions.PlatformError: It may or may not have been accepted.
        """
        with self.leadership.act() as grant:
            if grant is None or not self.may_use(grant.token):
                return
            await self.report_with(index, grant)

    async def report_with(self, index: int, grant: grants.Grant) -> None:
        """Sends a recorded window under the authority.

        Raises:
            exceptions.PlatformError: It may or may not have been accepted.
        """
        try:
            await self.operations.report_usage(
                self.recorded[index], self.node, grant
            )
        except exceptions.DutyFenced as error:
            self.refused.record(names.USAGE_PATH, "", grant.token)
            events.log(
                events.USAGE_FENCED,
                window=index,
                token=grant.token,
                reason=str(error),
            )
            return
        self.refused.record_accepted(names.USAGE_PATH, "")
        self.confirmed.add(index)
        events.log(
            events.USAGE_REPORTED,
            window=index,
            token=grant.token,
            late=round(self.clock() - self.policy.end(index), 3),
        )

    def forget(self, newest: int) -> None:
        """Drops windows that can no longer be reported."""
        for index in list(self.recorded):
            if index <= newest - RECORD_SLOTS:
                del self.recorded[index]
        self.confirmed = {
            index for index in self.confirmed if index > newest - RECORD_SLOTS
        }
