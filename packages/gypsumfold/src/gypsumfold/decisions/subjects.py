"""Subjects of suspicion: whole requests, and parts that prompts share."""

import zlib

# Set in the fingerprint of a part, clear in that of a request.
PART_BIT = 1 << 63


def as_request(digest: int) -> int:
    """Makes the fingerprint of a request from 64 bits of digest."""
    return digest & ~PART_BIT


def as_part(digest: int) -> int:
    """Makes the fingerprint of a part from 64 bits of digest."""
    return digest | PART_BIT


def is_part(subject: int) -> bool:
    """Whether a subject is a part that many requests may hold."""
    return bool(subject & PART_BIT)


def version_digest(version: str) -> int:
    """Hashes a software version to 16 bits; never 0, which means unknown."""
    return 1 + zlib.crc32(version.encode()) % 0xFFFF
