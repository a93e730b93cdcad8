"""Shares each turn of the event loop among the connections that were sent much.

A few kilobytes can take milliseconds to parse, for example in chunks of one
byte. What has been received beyond a slice waits, and slices of all connections
are parsed in rotation, for a bounded time in each turn, so that other callers,
leases and messages between nodes go on.
"""

import asyncio
import collections
import time
from typing import Protocol

# Bytes that are parsed of one connection before the next one's turn.
SLICE_BYTES = 8192
# Seconds of each turn of the event loop for such parsing.
TURN_SECONDS = 0.002


class Receiver(Protocol):
    """A connection with received bytes that are not parsed yet."""

    def parse_slice(self) -> bool:
        """Parses a slice; returns whether another one may follow now."""


class Turns:
    """The connections that wait to parse, in rotation.

    >>> turns = Turns()
    >>> turns.add(connection)
    """

    def __init__(self):
        self.waiting: collections.deque[Receiver] = collections.deque()
        self.members: set[Receiver] = set()
        self.scheduled = False

    def add(self, receiver: Receiver) -> None:
        """Adds a connection, unless it waits already."""
        if receiver in self.members:
            return
        self.members.add(receiver)
        self.waiting.append(receiver)
        self.schedule()

    def schedule(self) -> None:
        """Has `run` called in the next turn of the event loop."""
        if self.scheduled:
            return
        self.scheduled = True
        asyncio.get_running_loop().call_soon(self.run)

    def run(self) -> None:
        """Parses slices in rotation until the time of a turn is over."""
        self.scheduled = False
        end = time.monotonic() + TURN_SECONDS
        try:
            while self.waiting and time.monotonic() < end:
                receiver = self.waiting.popleft()
                self.members.discard(receiver)
                if receiver.parse_slice():
                    self.add(receiver)
        finally:
            if self.waiting:
                self.schedule()
