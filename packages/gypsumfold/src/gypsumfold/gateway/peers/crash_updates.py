"""Sends other nodes what is known of requests that may crash replicas."""

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

# Entries of one datagram, and bytes that one takes at the most.
MAX_ENTRIES_PER_DATAGRAM = 14
MAX_ENTRY_BYTES = 45
# Datagrams that are sent at once.
MAX_DATAGRAMS_PER_SEND = 16
# Seconds between two sends at the least; between two sends of the same entry,
# which may be lost; and between two looks where nothing is new.
MIN_SEND_INTERVAL_SECONDS = 0.01
RESEND_SECONDS = 0.1
IDLE_CHECK_SECONDS = 0.5


class UpdateBatch(NamedTuple):
    """News of requests that may crash replicas.

    Attributes:
        interrupted: Requests that crashes interrupted.
        canaries: Suspects that run or wait.
        more: Whether there is more to send now.
    """

    interrupted: list[messages.Interrupted] = []
    canaries: list[messages.Canary] = []
    more: bool = False


class UpdateSource(Protocol):
    """What is known, to be sent in parts."""

    def updates(self, limit: int) -> UpdateBatch:
        """What other nodes are sent next, that many entries at most."""


class CrashUpdates:
    """Sends updates as they come, within a share of the link.

    >>> crash_news = CrashNews(sender, source, bandwidth, lambda: members)
    >>> await crash_news.run()
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
        """Sends for as long as the node runs."""
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
        """Sends what the link bears now; whether there is more to send."""
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
