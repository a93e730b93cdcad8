"""Counts the tokens of the prompt prefixes that recent prompts share.

Load pattern: prompts that share some long prefixes, at engines whose caches
keep everything until they are full. What is cached says nothing about what is
needed: each prompt leaves a last block that no other prompt has, and a prefix
is kept on several engines. Only a prefix that several recent prompts had needs
room, and only once.
"""

import collections
from collections.abc import Container

# Seconds since its last use for which a prefix counts: longer than a phase of
# the mix of 14 s. A prefix that is used less often than each 3 to 4 s takes
# less of an engine's time to prefill again than its share of half a cache
# (633,501 tokens at 112 a ms, 480,119 at 61.8); the rest shortens waits.
RECENT_SECONDS = 20.0
# Largest number of prefixes that are followed, about 4 MB. Beyond this, half of
# them are dropped by their hash, and each of the rest counts twice: at 5,400
# prompts a second all of them would take 80 MB.
MAX_PREFIXES = 16_384


class PrefixUsage:
    """Recent uses of prefixes, over all nodes.

    Attributes:
        now: Time of the last call of `expire`; uses are dated with it.

    >>> usage = PrefixUsage()
    >>> usage.record("engine-1", [7, 8], [400, 20])
    >>> usage.record("engine-2", [7, 9], [400, 30])
    >>> usage.shared_tokens({"engine-1", "engine-2"})
    400
    """

    def __init__(self):
        self.now = 0.0
        # Engine of the last use, tokens, uses and last use by prefix, in the
        # order of the last use.
        self.uses: collections.OrderedDict[int, tuple[str, int, int, float]] = (
            collections.OrderedDict()
        )
        self.dropped_bits = 0

    def record(self, engine: str, hashes: list[int], tokens: list[int]) -> None:
        """Records that a prompt was sent to an engine.

        Args:
            engine: The engine's instance ID.
            hashes: Hash of the prompt up to and including each block.
            tokens: Length of each block.
        """
        mask = (1 << self.dropped_bits) - 1
        for prefix, size in zip(hashes, tokens, strict=False):
            if prefix & mask:
                continue
            _, _, count, _ = self.uses.pop(prefix, ("", 0, 0, 0.0))
            self.uses[prefix] = (engine, size, count + 1, self.now)
        if len(self.uses) > MAX_PREFIXES:
            self.halve()

    def halve(self) -> None:
        """Drops half of the prefixes, chosen by a bit of their hash."""
        bit = 1 << self.dropped_bits
        self.dropped_bits += 1
        for prefix in [prefix for prefix in self.uses if prefix & bit]:
            del self.uses[prefix]

    def expire(self, now: float) -> None:
        """Drops prefixes that were not used recently."""
        self.now = now
        while self.uses:
            prefix, (_, _, _, used_at) = next(iter(self.uses.items()))
            if now - used_at <= RECENT_SECONDS:
                return
            del self.uses[prefix]
        self.dropped_bits = 0

    def shared_tokens(self, engines: Container[str]) -> int:
        """Counts the tokens of prefixes that more than one prompt had.

        Args:
            engines: The engines of the service. A prefix counts for the
                service of its last engine.
        """
        found = 0
        for engine, size, count, _ in self.uses.values():
            if count > 1 and engine in engines:
                found += size
        return found << self.dropped_bits
