"""Prompts as prefix chains of blocks, and which engines cache which blocks.

Load pattern: thousands of prompts that share a few long prefixes. An engine
skips the prefill of a block that it has cached, but only if it also has all
blocks before it. Blocks are therefore identified by a hash of the chain up to
and including them.
"""

import collections
from typing import NamedTuple

import xxhash


class Block(NamedTuple):
    """A part of a prompt that other prompts may share.

    Attributes:
        id: The same for the same text.
        tokens: Length in tokens.
    """

    id: str
    tokens: int


Chain = tuple[Block, ...]


class Part(NamedTuple):
    """A block of one prompt with the keys to look it up in a cache.

    Attributes:
        prefix: Hash of the chain up to and including the block.
        block: Key of the block by itself.
        tokens: Length in tokens.
    """

    prefix: int
    block: int
    tokens: int


def parts(chain: Chain, model: str) -> list[Part]:
    """Returns a chain's blocks with their keys, for many lookups."""
    found = []
    for block, prefix in zip(chain, prefix_hashes(chain, model), strict=True):
        found.append(Part(prefix, block_key(block.id), block.tokens))
    return found


def prefix_hashes(chain: Chain, model: str) -> list[int]:
    """Hashes the chain up to and including each block, for one model."""
    digest = xxhash.xxh3_64(model.encode())
    hashes = []
    for block in chain:
        digest.update(f"\n{block.id}".encode())
        hashes.append(digest.intdigest())
    return hashes


def block_key(block_id: str) -> int:
    """Key of a block by itself, for when its chain isn't known."""
    return xxhash.xxh3_64_intdigest(b"part\n" + block_id.encode())


class PrefixCaches:
    """Estimates which prompt prefixes each engine has in its KV cache.

    Evicts the least recently used prefixes beyond an engine's cache capacity,
    as engines do.

    >>> caches = PrefixCaches()
    >>> caches.add("engine-1", chain, "m", capacity=400_000)
    >>> caches.cached_tokens("engine-1", chain, "m")
    1460
    """

    def __init__(self):
        self.kept: dict[str, collections.OrderedDict[int, int]] = {}
        self.used: dict[str, int] = {}

    def add(self, engine: str, chain: Chain, model: str, capacity: int):
        """Records that an engine has prefilled a prompt.

        Args:
            engine: The engine's instance ID.
            chain: The prompt's prefix chain.
            model: The model that prefilled it.
            capacity: Tokens that the engine's KV cache holds.
        """
        tokens = [block.tokens for block in chain]
        self.add_hashes(engine, prefix_hashes(chain, model), tokens, capacity)

    def add_hashes(
        self, engine: str, hashes: list[int], tokens: list[int], capacity: int
    ) -> None:
        """Records that an engine has prefilled a prompt, given as hashes.

        Args:
            engine: The engine's instance ID.
            hashes: Hash of the prompt up to and including each block.
            tokens: Length of each block.
            capacity: Tokens that the engine's KV cache holds.
        """
        kept = self.kept.setdefault(engine, collections.OrderedDict())
        used = self.used.get(engine, 0)
        for prefix, size in zip(hashes, tokens, strict=False):
            if prefix in kept:
                kept.move_to_end(prefix)
                continue
            kept[prefix] = size
            used += size
        while used > capacity and kept:
            _, size = kept.popitem(last=False)
            used -= size
        self.used[engine] = used

    def add_blocks(
        self, engine: str, blocks: list[Block], capacity: int
    ) -> None:
        """Records the blocks that an engine reports as cached.

        It caches a block only with all blocks before it in the prompt.
        """
        hashes = [block_key(block.id) for block in blocks]
        tokens = [block.tokens for block in blocks]
        self.add_hashes(engine, hashes, tokens, capacity)

    def cached_tokens(self, engine: str, chain: Chain, model: str) -> int:
        """Counts the prompt tokens that an engine need not prefill."""
        return self.count_cached(engine, parts(chain, model))

    def count_cached(self, engine: str, prompt: list[Part]) -> int:
        """Counts the tokens of leading parts that an engine caches."""
        kept = self.kept.get(engine)
        if not kept:
            return 0
        total = 0
        for part in prompt:
            if part.prefix not in kept and part.block not in kept:
                break
            total += part.tokens
        return total

    def forget(self, engine: str) -> None:
        """Drops the state of an engine that was removed."""
        self.kept.pop(engine, None)
        self.used.pop(engine, None)
