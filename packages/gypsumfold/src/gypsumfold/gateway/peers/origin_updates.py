"""Sends other nodes the origins of streams as they begin."""

import asyncio
import collections
from collections.abc import Callable
import contextlib
import time

from gypsumfold.decisions import bandwidth as bandwidth_module
from gypsumfold.decisions import members as members_module
from gypsumfold.decisions import stream_origins
from gypsumfold.gateway.peers import messages
from gypsumfold.gateway.peers import sending

# Streams in one datagram, of 11 bytes each.
MAX_STREAMS_PER_DATAGRAM = 60
STREAM_BYTES = 11
# Minimum seconds between two datagrams, and seconds after which a stream is
# sent once more, since datagrams may be lost. Most repeats travel with the
# next stream.
MIN_SEND_INTERVAL_SECONDS = 0.01
REPEAT_SECONDS = 0.1
IDLE_CHECK_SECONDS = 0.5
# Streams that wait while the link has no bandwidth left; the oldest are dropped
# beyond that.
MAX_WAITING = 2000

Entry = tuple[int, stream_origins.Origin]


class OriginUpdates:
    """Sends origins at once, and each one once more a moment later.

    Attributes:
        renew: Called before each check, with the time.

    >>> updates = OriginUpdates(sender, bandwidth, lambda: members)
    >>> updates.add(7, stream_origins.Origin("lm", "v1.1"))
    """

    def __init__(
        self,
        sender: sending.Sender,
        bandwidth: bandwidth_module.Bandwidth,
        receivers: Callable[[], list[members_module.Member]],
    ):
        self.sender = sender
        self.bandwidth = bandwidth
        self.receivers = receivers
        self.waiting: collections.deque[Entry] = collections.deque(
            maxlen=MAX_WAITING
        )
        self.repeats: collections.deque[tuple[float, Entry]] = (
            collections.deque(maxlen=MAX_WAITING)
        )
        self.sent_at = 0.0
        self.due = asyncio.Event()
        self.renew: Callable[[float], None] = lambda now: None

    def add(self, key: int, origin: stream_origins.Origin) -> None:
        """Sends the origin of a stream, at once if the interval allows."""
        self.waiting.append((key, origin))
        now = time.monotonic()
        if now - self.sent_at >= MIN_SEND_INTERVAL_SECONDS:
            self.send(now)
        self.due.set()

    async def run(self) -> None:
        """Sends what waits and what is repeated, while the node runs."""
        while True:
            pause = IDLE_CHECK_SECONDS
            if self.waiting or self.repeats:
                pause = REPEAT_SECONDS
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause):
                    await self.due.wait()
            self.due.clear()
            await asyncio.sleep(MIN_SEND_INTERVAL_SECONDS)
            now = time.monotonic()
            self.renew(now)
            if self.waiting or self.is_repeat_due(now):
                self.send(now)

    def is_repeat_due(self, now: float) -> bool:
        """Whether a stream has waited long enough to be sent once more."""
        return bool(self.repeats) and self.repeats[0][0] <= now

    def send(self, now: float) -> None:
        """Sends what waits, and repeats that are halfway due with it."""
        receivers = self.receivers()
        if not receivers:
            # A node that has just started may not know the others yet.
            return
        size = STREAM_BYTES * len(receivers)
        room = int(self.bandwidth.available(now) / size)
        entries = []
        while self.waiting and len(entries) < room:
            entry = self.waiting.popleft()
            entries.append(entry)
            self.repeats.append((now + REPEAT_SECONDS, entry))
        while self.repeats and len(entries) < room:
            due_at, entry = self.repeats[0]
            if due_at > now + REPEAT_SECONDS / 2:
                break
            self.repeats.popleft()
            entries.append(entry)
        for start in range(0, len(entries), MAX_STREAMS_PER_DATAGRAM):
            groups = group(entries[start : start + MAX_STREAMS_PER_DATAGRAM])
            self.bandwidth.spend(
                self.sender.send_origins(groups, receivers), now
            )
        self.sent_at = now


def group(entries: list[Entry]) -> list[messages.StreamGroup]:
    """Groups streams by their origin."""
    keys: dict[stream_origins.Origin, list[int]] = {}
    for key, origin in entries:
        keys.setdefault(origin, []).append(key)
    groups = []
    for origin, found in keys.items():
        groups.append(messages.StreamGroup(*origin, found))
    return groups
