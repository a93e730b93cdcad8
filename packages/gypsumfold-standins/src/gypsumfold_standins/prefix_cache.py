"""An engine's prefix cache: least recently used, with events about it."""

import collections
import random
from typing import NamedTuple

from gypsumfold_standins import engine_faults
from gypsumfold_standins import tokens

BLOCK_TOKENS = tokens.BLOCK // tokens.TOKEN_CHARACTERS
# Events kept for those who ask again.
KEPT_EVENTS = 4096


class Event(NamedTuple):
    """One change of the cache; sequences are given out to lost ones too."""

    sequence: int
    verb: str
    prefix: int
    time: float


class PrefixCache:
    """Blocks of prompts whose KV cache is kept, up to a number of tokens.

    >>> cache = PrefixCache(faults, capacity=65536, seed=1)
    >>> cache.use(prefixes, now)
    0
    """

    def __init__(self, faults: engine_faults.Faults, capacity: int, seed: int):
        self.faults = faults
        self.capacity = capacity
        self.random = random.Random(seed)
        self.blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self.events: collections.deque[Event] = collections.deque(
            maxlen=KEPT_EVENTS
        )
        self.sequence = 0
        self.hits = 0
        self.lookups = 0

    def use(self, prefixes: list[int], now: float) -> int:
        """Stores a prompt's blocks and counts those that were there.

        Args:
            prefixes: From `tokens.prefixes`.
            now: Seconds since the epoch.

        Returns:
            Prompt tokens that need not be processed again.
        """
        hits = 0
        for prefix in prefixes:
            if prefix not in self.blocks:
                break
            hits += 1
        for prefix in prefixes:
            if prefix not in self.blocks:
                self.note("stored", prefix, now)
            self.blocks[prefix] = None
            self.blocks.move_to_end(prefix)
        while len(self.blocks) * BLOCK_TOKENS > self.capacity:
            prefix, _ = self.blocks.popitem(last=False)
            self.note("evicted", prefix, now)
        self.lookups += len(prefixes)
        self.hits += hits
        return hits * BLOCK_TOKENS

    def clear(self, now: float) -> None:
        """Drops everything, as a role change does."""
        for prefix in list(self.blocks):
            self.note("evicted", prefix, now)
        self.blocks.clear()

    def note(self, verb: str, prefix: int, now: float) -> None:
        """Adds an event, unless it is one of those that get lost."""
        self.sequence += 1
        if self.random.random() < self.faults.event_loss:
            return
        self.events.append(Event(self.sequence, verb, prefix, now))

    def visible(self, start: int, now: float) -> list[Event]:
        """Lists the events from a sequence on that are old enough."""
        found = []
        for event in self.events:
            if event.time > now - self.faults.event_lag:
                break
            if event.sequence >= start:
                found.append(event)
        return found
