"""Fingerprints of requests and of the parts of their prompts."""

import hashlib

from gypsumfold.decisions import subjects
from gypsumfold.gateway import types

DIGEST_BYTES = 8
# Header fields that identify on whose behalf a request runs.
CREDENTIAL_FIELDS = frozenset((b"authorization", b"cookie"))


def fingerprint(call: types.Call) -> int:
    """Hashes what a replica is asked to do, and on whose behalf.

    Attempt ids, time limits and the receiving node are left out, so that a
    caller's next attempt has the same fingerprint.

    Args:
        call: The request.

    Returns:
        An unsigned integer of `DIGEST_BYTES` bytes.
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
    if call.account:
        parts.append(call.account.encode())
    parts.append(call.body or b"")
    for part in parts:
        # Without the length, different splits into parts would hash alike.
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return subjects.as_request(int.from_bytes(digest.digest()))


def part_fingerprints(call: types.Call) -> tuple[int, ...]:
    """Hashes the parts of a prompt that other requests may share.

    The last part belongs to the request alone and is left out. The position
    doesn't matter, nor who sends the request.

    Args:
        call: The request.

    Returns:
        One unsigned integer for each part, in the order of the prompt.
    """
    found = []
    for block in call.chain[:-1]:
        digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
        for part in (call.model.encode(), block.id.encode()):
            digest.update(len(part).to_bytes(8))
            digest.update(part)
        found.append(subjects.as_part(int.from_bytes(digest.digest())))
    return tuple(found)


def version_of(replica: types.Replica | None) -> int:
    """Hashes a replica's software version.

    Returns:
        The digest; 0 if there is no replica, or if it has started again and its
        new registration hasn't been read yet.
    """
    if replica is None or replica.version is None:
        return 0
    return subjects.version_digest(replica.version)


def to_hex(value: int) -> str:
    """Formats a fingerprint as in log lines."""
    return f"{value:0{2 * DIGEST_BYTES}x}"
