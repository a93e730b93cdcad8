"""Frames of datagrams: a version and, where a key is set, a seal (a MAC).

Without a key, anybody who reaches a node's port could report engines as closed
or replicas as unreachable. If the settings have keys, frames that are not
sealed with one of them are dropped. Keys are rotated without a restart by three
changes of the settings files: add the new key behind the old one on all nodes,
put it first, then remove the old one.
"""

import hashlib
import hmac

from gypsumfold import exceptions

# Version of the messages in a frame; frames of other versions are dropped.
VERSION = 2
# Bytes of a seal: a guess is right once in 2^128.
SEAL_BYTES = 16
HEADER = bytes([VERSION])


class Sealer:
    """Seals frames with the first key and opens those of any key.

    >>> sealer = Sealer(["new", "old"])
    >>> sealer.open(Sealer(["old"]).seal(b"updates"))
    b'updates'
    """

    def __init__(self, keys: list[str]):
        self.keys = [key.encode() for key in keys]

    def seal(self, data: bytes) -> bytes:
        """Wraps a message in a frame."""
        if not self.keys:
            return HEADER + data
        return HEADER + seal(self.keys[0], data) + data

    @property
    def overhead(self) -> int:
        """Bytes that a frame adds to its message."""
        return len(HEADER) + (SEAL_BYTES if self.keys else 0)

    def open(self, frame: bytes) -> bytes:
        """Returns the message in a frame.

        Raises:
            exceptions.RecordInvalid: The frame has another version or no
                valid seal.
        """
        if frame[:1] != HEADER:
            raise exceptions.RecordInvalid("a frame of another version")
        if not self.keys:
            return frame[1:]
        found = frame[1 : 1 + SEAL_BYTES]
        data = frame[1 + SEAL_BYTES :]
        for key in self.keys:
            if hmac.compare_digest(found, seal(key, data)):
                return data
        raise exceptions.RecordInvalid("a frame without a valid seal")


def seal(key: bytes, data: bytes) -> bytes:
    """Computes the seal of a message under a key of any length."""
    short = hashlib.blake2b(key, digest_size=32).digest()
    return hashlib.blake2b(data, digest_size=SEAL_BYTES, key=short).digest()
