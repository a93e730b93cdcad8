"""Ranks engines for a prompt's prefix by rendezvous hashing.

Load pattern: many nodes that send prompts with the same prefix at the same
time. All rank the engines alike without coordination, so the prefix is cached
at one engine instead of at all.
"""

import xxhash

from gypsumfold.decisions import chains
from gypsumfold.decisions import prompts


def routing_key(parts: list[chains.Part]) -> int:
    """Returns the key of a prompt's preferred engine.

    It stands for the longest prefix that other prompts can share. The last
    block belongs to the request itself. The first block alone would not spread
    the load: a kind of request may have only four different ones, and all its
    prompts would go to four engines.

    Returns:
        The key; 0 for a prompt without blocks.
    """
    if not parts:
        return 0
    return parts[-2].prefix if len(parts) > 1 else parts[-1].prefix


def rank_engines(
    key: int, engines: list[prompts.Engine]
) -> list[prompts.Engine]:
    """Ranks engines for a prefix key; the first is the preferred engine."""
    return sorted(engines, key=lambda one: -rendezvous_weight(key, one.name))


def rendezvous_weight(key: int, name: str) -> int:
    """Weight of an engine for a prefix key in rendezvous hashing."""
    return xxhash.xxh3_64_intdigest(f"{key}\n{name}".encode())
