"""Prompts as chains of parts, and which engine is believed to have which.

Load pattern: thousands of prompts that share a few long beginnings. An
engine that has read a part before skips it, but only if it also has all
parts before it, so that what counts is the chain up to each part.
"""

import collections
from typing import NamedTuple

import xxhash


class Block(NamedTuple):
    """A piece of a prompt that may stand in other prompts too.

    Attributes:
        id: The same for the same text.
        tokens: Its length.
    """

    id: str
    tokens: int


Chain = tuple[Block, ...]


def prefix_hashes(chain: Chain, model: str) -> list[int]:
    """Hashes the chain up to each of its parts, for one model."""
    digest = xxhash.xxh3_64(model.encode())
    found = []
    for part in chain:
        digest.update(f"\n{part.id}".encode())
        found.append(digest.intdigest())
    return found


def shared_prefix_key(chain: Chain, model: str) -> int:
    """Names the longest beginning that other prompts can share.

    The last part belongs to the request itself. The first part alone would
    not spread: a kind of request may have only four of them, and all of its
    prompts would meet at four engines.

    Returns:
        0 where nothing is shared.
    """
    if len(chain) < 2:
        return 0
    return prefix_hashes(chain[:-1], model)[-1]


def prompt_key(chain: Chain, model: str) -> int:
    """Names a whole prompt; 0 for one without parts."""
    if not chain:
        return 0
    return prefix_hashes(chain, model)[-1]


def block_key(part_id: str) -> int:
    """Names a part by itself, where its chain is not known."""
    return xxhash.xxh3_64_intdigest(b"part\n" + part_id.encode())


class PrefixCaches:
    """What the engines are believed to keep of the prompts sent to them.

    Least recently used beginnings are dropped at the size of an engine's
    memory, as engines do.

    >>> caches = Caches()
    >>> caches.add("engine-1", chain, "m", capacity=400_000)
    >>> caches.cached_tokens("engine-1", chain, "m")
    1460
    """

    def __init__(self):
        self.kept: dict[str, collections.OrderedDict[int, int]] = {}
        self.used: dict[str, int] = {}

    def add(self, engine: str, chain: Chain, model: str, capacity: int):
        """Notes that an engine has read a prompt.

        Args:
            engine: The engine's instance.
            chain: The prompt.
            model: The model that read it.
            capacity: Tokens that the engine's memory holds.
        """
        tokens = [part.tokens for part in chain]
        self.add_hashes(engine, prefix_hashes(chain, model), tokens, capacity)

    def add_hashes(
        self, engine: str, found: list[int], tokens: list[int], capacity: int
    ) -> None:
        """Notes that an engine has read a prompt, given as its links.

        Args:
            engine: The engine's instance.
            found: Hashes of the prompt up to each part.
            tokens: Length of each part.
            capacity: Tokens that the engine's memory holds.
        """
        kept = self.kept.setdefault(engine, collections.OrderedDict())
        used = self.used.get(engine, 0)
        for link, size in zip(found, tokens, strict=False):
            if link in kept:
                kept.move_to_end(link)
                continue
            kept[link] = size
            used += size
        while used > capacity and kept:
            _, size = kept.popitem(last=False)
            used -= size
        self.used[engine] = used

    def add_blocks(
        self, engine: str, parts: list[Block], capacity: int
    ) -> None:
        """Notes what an engine says that it keeps, by parts.

        It keeps a part only with all that go before it in its prompt.
        """
        found = [block_key(part.id) for part in parts]
        tokens = [part.tokens for part in parts]
        self.add_hashes(engine, found, tokens, capacity)

    def cached_tokens(self, engine: str, chain: Chain, model: str) -> int:
        """Counts the prompt tokens that an engine need not read."""
        kept = self.kept.get(engine)
        if not kept:
            return 0
        total = 0
        for part, link in zip(chain, prefix_hashes(chain, model), strict=True):
            if link not in kept and block_key(part.id) not in kept:
                break
            total += part.tokens
        return total

    def forget(self, engine: str) -> None:
        """Drops an engine that is gone."""
        self.kept.pop(engine, None)
        self.used.pop(engine, None)
