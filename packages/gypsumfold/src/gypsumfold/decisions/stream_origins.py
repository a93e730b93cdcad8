"""Remembers which software version began each stream.

Load pattern: a release, in which replicas of several versions serve side by
side for minutes, and faults that break off many streams at one moment. What two
versions write does not fit together, so a stream goes on only at the version
that began it, wherever its caller takes it up. A stream whose origin isn't
known is never joined to another one.
"""

import hashlib
from typing import NamedTuple

# Seconds for which an origin is remembered at least, and twice this at most.
# Gateways renew it while they forward the stream; after that its caller takes
# it up within seconds.
RETENTION_SECONDS = 30.0
# Origins remembered in each half of the retention; about 100 bytes each.
MAX_ORIGINS = 50_000
KEY_BYTES = 8
# Key of no stream: asks what all living streams of a route began at.
NO_STREAM = 0


class Origin(NamedTuple):
    """What wrote a stream's first event.

    Attributes:
        service: Name of the service.
        version: Version of the replica's software; None if it isn't known,
            which equals no other.
    """

    service: str
    version: str | None

    def fits(self, version: str | None) -> bool:
        """Whether a replica of a version may go on with the stream."""
        return self.version is not None and self.version == version


def stream_key(account: str, attempt: str) -> int:
    """Identifies a stream by the attempt that brought its first event.

    Args:
        account: Name of the client account, so that no account can speak for
            the streams of another.
        attempt: Id of the attempt.
    """
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    for part in (account.encode(), attempt.encode()):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return int.from_bytes(digest.digest())


class StreamOrigins:
    """Origins by key, in two halves of which the older one is dropped.

    >>> origins = StreamOrigins()
    >>> origins.put(7, Origin("lm", "v1.1"), now=0.0)
    >>> origins.find(7, now=1.0)
    Origin(service='lm', version='v1.1')
    """

    def __init__(self):
        self.recent: dict[int, Origin] = {}
        self.older: dict[int, Origin] = {}
        self.rotated_at = 0.0
        # One object for each origin, however many streams have it.
        self.shared: dict[Origin, Origin] = {}

    def put(self, key: int, origin: Origin, now: float) -> None:
        """Remembers a stream's origin.

        A key with two origins, as from an id that was used twice, fits none.
        """
        self.rotate(now)
        known = self.find(key, now)
        if known is not None and known != origin:
            origin = Origin(origin.service, None)
        self.recent[key] = self.shared.setdefault(origin, origin)
        if len(self.recent) > MAX_ORIGINS:
            self.drop_older(now)

    def find(self, key: int, now: float) -> Origin | None:
        """Returns a stream's origin; None if it isn't known."""
        self.rotate(now)
        return self.recent.get(key) or self.older.get(key)

    def rotate(self, now: float) -> None:
        """Drops the older half once the recent one covers the retention."""
        if now - self.rotated_at >= RETENTION_SECONDS:
            self.drop_older(now)

    def drop_older(self, now: float) -> None:
        """Starts a new half and drops the older one."""
        if now - self.rotated_at >= 2 * RETENTION_SECONDS:
            self.recent = {}
        self.older = self.recent
        self.recent = {}
        self.shared = {origin: origin for origin in self.older.values()}
        self.rotated_at = now

    def __len__(self) -> int:
        """Returns how many origins are remembered."""
        return len(self.recent) + len(self.older)
