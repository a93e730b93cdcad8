"""Frames between nodes, checked for size and authenticity before decoding.

thriftpy2's Cython binary decoder trusts the lengths that it reads: a frame of
7 bytes that claims a string of 2 GiB makes it allocate 2 GiB. Therefore the
size and the HMAC (RFC 2104, SHA-256) are checked first, and the decoder only
processes what a holder of the secret has written.
"""

import hashlib
import hmac
import struct

import thriftpy2
from thriftpy2 import utils
from thriftpy2.protocol import TBinaryProtocolFactory

from gypsumfold import exceptions

peers_thrift = thriftpy2.load(
    str(__file__).replace("framing.py", "peers.thrift"),
    module_name="peers_thrift",
)

# Bytes of the random nonce that the server sends on each connection.
NONCE_BYTES = 16
# Bytes of one HMAC-SHA-256.
MAC_BYTES = hashlib.sha256().digest_size
# Largest frames. Calls are small; replies carry configuration, and a batch of
# it on the log has up to 256 KiB.
MAX_CALL_BYTES = 64 * 1024
MAX_REPLY_BYTES = 1024 * 1024

_PROTOCOL = TBinaryProtocolFactory()
_LENGTH = struct.Struct(">I")
_POSITION = struct.Struct(">cQ")


class Signer:
    """Signs or checks the frames of one direction of one connection.

    The signature covers the nonce, the direction and a sequence number, so that
    a frame cannot be replayed, reordered or reflected.

    >>> sender = Signer(b"secret", nonce, b"c")
    >>> receiver = Signer(b"secret", nonce, b"c")
    >>> receiver.verify(sender.make_frame(b"payload"))
    b'payload'
    """

    def __init__(self, secret: bytes, nonce: bytes, direction: bytes):
        self.secret = secret
        self.nonce = nonce
        self.direction = direction
        self.sequence = 0

    def mac(self, payload: bytes) -> bytes:
        """Computes the next frame's HMAC."""
        position = _POSITION.pack(self.direction, self.sequence)
        digest = hmac.digest(
            self.secret, self.nonce + position + payload, "sha256"
        )
        self.sequence += 1
        return digest

    def make_frame(self, payload: bytes) -> bytes:
        """Signs a payload and returns its frame."""
        body = self.mac(payload) + payload
        return _LENGTH.pack(len(body)) + body

    def verify(self, body: bytes) -> bytes:
        """Checks a frame, without its length, and returns its payload.

        Raises:
            exceptions.FrameInvalid: The frame is not authentic.
        """
        given = body[:MAC_BYTES]
        payload = body[MAC_BYTES:]
        if not hmac.compare_digest(given, self.mac(payload)):
            raise exceptions.FrameInvalid("the HMAC does not match")
        return payload


def parse_length(header: bytes, limit: int) -> int:
    """Reads a frame's length.

    Args:
        header: 4 bytes.
        limit: Maximum frame size in bytes.

    Raises:
        exceptions.FrameInvalid: The frame is too short or too long.
    """
    (length,) = _LENGTH.unpack(header)
    if length < MAC_BYTES or length > limit:
        raise exceptions.FrameInvalid(f"a frame of {length} bytes")
    return length


def encode(message) -> bytes:
    """Encodes a thrift struct."""
    return utils.serialize(message, _PROTOCOL)


def decode(message_type: type, payload: bytes):
    """Decodes a thrift struct from authenticated bytes.

    Raises:
        exceptions.FrameInvalid: The payload is not of this type.
    """
    try:
        return utils.deserialize(message_type(), payload, _PROTOCOL)
    except Exception as error:
        # thriftpy2 raises arbitrary exceptions for malformed bytes.
        raise exceptions.FrameInvalid(repr(error)) from error
