"""Sends other nodes updates on requests that may crash replicas."""

import asyncio
from collections.abc import Callable
import contextlib
import time
from typing import NamedTuple
from typing import Protocol

from gypsumfold.decisions import bandwidth as bandwidth_module
from gypsumfold.decisions import members as members_module
from gypsumfold.gateway.peers import messages
from gypsumfold.gateway.peers import sending

# Entries in one datagram, and the largest size of an entry.
MAX_ENTRIES_PER_DATAGRAM = 12
MAX_ENTRY_BYTES = 57
# Datagrams sent at once.
MAX_DATAGRAMS_PER_SEND = 16
# Minimum seconds between two sends; seconds until entries are sent again,
# since datagrams may be lost; and seconds between checks while nothing is new.
MIN_SEND_INTERVAL_SECONDS = 0.01
RESEND_SECONDS = 0.1
IDLE_CHECK_SECONDS = 0.5


class UpdateBatch(NamedTuple):
    """Updates on requests that may crash replicas.

    Attributes:
        interrupted: Requests that crashes interrupted.
        canaries: Suspect requests that run or wait.
        more: Whether more entries are waiting to be sent.
    """

    interrupted: list[messages.Interrupted] = []
    canaries: list[messages.Canary] = []
    more: bool = False


class UpdateSource(Protocol):
    """Provides updates to send, a few at a time."""

    def updates(self, limit: int) -> UpdateBatch:
        """Returns the updates to send next, at most `limit` entries."""


class CrashUpdates:
    """Sends updates as they come, within a share of the link's bandwidth.

    >>> crash_updates = CrashUpdates(
    ...     sender, source, bandwidth, lambda: members
    ... )
    >>> await crash_updates.run()
    """

    def __init__(
        self,
        sender: sending.Sender,
        source: UpdateSource,
        bandwidth: bandwidth_module.Bandwidth,
        receivers: Callable[[], list[members_module.Member]],
    ):
        self.sender = sender
        self.source = source
        self.bandwidth = bandwidth
        self.receivers = receivers
        self.due = asyncio.Event()

    async def run(self) -> None:
        """Sends updates for as long as the node runs."""
        pause = IDLE_CHECK_SECONDS
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause):
                    await self.due.wait()
            self.due.clear()
            pause = (
                RESEND_SECONDS
                if self.send(time.monotonic())
                else IDLE_CHECK_SECONDS
            )
            await asyncio.sleep(MIN_SEND_INTERVAL_SECONDS)

    def send(self, now: float) -> bool:
        """Sends what the bandwidth allows now.

        Returns:
            Whether there is more to send.
        """
        receivers = self.receivers()
        if not receivers:
            return False
        left = self.bandwidth.available(now) / (
            MAX_ENTRY_BYTES * len(receivers)
        )
        limit = min(
            int(left), MAX_ENTRIES_PER_DATAGRAM * MAX_DATAGRAMS_PER_SEND
        )
        if limit < 1:
            return True
        updates = self.source.updates(limit)
        entries = max(len(updates.interrupted), len(updates.canaries))
        for start in range(0, entries, MAX_ENTRIES_PER_DATAGRAM):
            end = start + MAX_ENTRIES_PER_DATAGRAM
            size = self.sender.send_crash_update(
                updates.interrupted[start:end],
                updates.canaries[start:end],
                receivers,
            )
            self.bandwidth.spend(size, now)
        return updates.more
