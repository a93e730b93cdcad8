"""The identity of a request over all attempts of its caller."""

import hashlib

from gypsumfold.gateway import types

# Bytes of a digest.
DIGEST_BYTES = 8
# Header fields beside the model's that say on whose behalf a request runs.
CREDENTIAL_FIELDS = frozenset((b"authorization", b"cookie"))


def fingerprint(call: types.Call) -> int:
    """Digests all that a replica is asked to do, and for whom.

    Attempt ids, time limits and the node that took the request are left out:
    a caller's next attempt has the same fingerprint.

    Args:
        call: The request, read whole.

    Returns:
        An unsigned integer of `SIZE` bytes.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    parts = [
        call.method.encode(),
        call.host.lower().encode(),
        call.target.encode(),
        call.model.encode(),
        repr((call.chain, call.prompt_tokens, call.output_tokens)).encode(),
    ]
    for name, value in call.fields:
        if name.lower() in CREDENTIAL_FIELDS:
            parts.append(value)
    parts.append(call.body or b"")
    for part in parts:
        # The length keeps neighbouring parts from running into each other.
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return int.from_bytes(digest.digest())


def to_hex(value: int) -> str:
    """Writes a fingerprint as log lines have it."""
    return f"{value:0{2 * DIGEST_BYTES}x}"
