"""Frames of datagrams: a version, and a seal where there is a key.

Whoever reaches a node's port could make it believe that engines are closed or
replicas gone. With a key in the settings a frame that is not sealed with one
of them is dropped. A key is changed without a stop: the new one is added to
all nodes behind the old one, then put first, then the old one is removed;
each step is a change of settings files.
"""

import hashlib
import hmac

from gypsumfold import exceptions

# Of the messages in a frame; nodes of another version are not understood.
VERSION = 2
# Bytes of a seal: one in 2^128 guesses is right.
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
        """Makes a frame of a message."""
        if not self.keys:
            return HEADER + data
        return HEADER + seal(self.keys[0], data) + data

    @property
    def overhead(self) -> int:
        """Bytes that a frame has beyond its message."""
        return len(HEADER) + (SEAL_BYTES if self.keys else 0)

    def open(self, frame: bytes) -> bytes:
        """Takes the message out of a frame.

        Raises:
            exceptions.RecordInvalid: It is of another version, or sealed
                with none of the keys.
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
    """The seal of a message under one key; keys may have any length."""
    short = hashlib.blake2b(key, digest_size=32).digest()
    return hashlib.blake2b(data, digest_size=SEAL_BYTES, key=short).digest()
