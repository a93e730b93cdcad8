"""Snapshots of the configuration: encoding, parts and publication times.

A snapshot holds every change up to its `offset`. Changes appended between
that offset and the snapshot's own position on the log are not in it, so a
node that starts from it applies all entries after the offset.
"""

import base64
import hashlib
from typing import Any
from typing import NamedTuple
import zlib

import msgspec

from gypsumfold import changes
from gypsumfold import exceptions
from gypsumfold import objects
from gypsumfold.logservice import records

# Maximum length of one part's body. It leaves space for the part's other
# fields within the log's limit of 256 KiB.
PART_CHARACTERS = 200_000

# A snapshot is republished after this fraction of the log's retention, which
# allows three more attempts before the old one expires.
REPUBLISH_FRACTION = 0.25
# A new snapshot is due after this many entries at any time, so that a starting
# node reads at most a few pages of the log.
REPUBLISH_ENTRIES = 1000

# Maximum decompressed size of a snapshot. The design's 3,800 accounts, 2,900
# replicas and 22 models take about 2 MB.
MAX_UNPACKED_BYTES = 64 * 1024 * 1024

# Maximum number of incomplete snapshots kept, whose publishers have crashed.
MAX_UNFINISHED = 8


class Row(NamedTuple):
    """One object in a snapshot."""

    kind: str
    name: str
    fields: dict[str, Any]
    revision: int
    author: str = ""


class Snapshot(NamedTuple):
    """The complete configuration at one offset.

    Attributes:
        offset: Offset of the last entry that it includes.
        revision: Offset of the last accepted change.
        clock: The log's time at `offset`.
        rows: The objects, sorted by kind and name.
        outcomes: Outcomes of the changes whose ids are still kept.
    """

    offset: int
    revision: int
    clock: float
    rows: tuple[Row, ...]
    outcomes: tuple[changes.Outcome, ...]

    def objects(self) -> changes.Objects:
        """Validates the rows and returns the objects by kind and name.

        Raises:
            exceptions.RecordInvalid: A row does not fit this version.
        """
        found: changes.Objects = {kind: {} for kind in objects.KINDS}
        for kind, name, fields, revision, author in self.rows:
            try:
                value = msgspec.convert(fields, objects.KINDS[kind])
            except (KeyError, msgspec.ValidationError) as error:
                raise exceptions.RecordInvalid(
                    f'{kind} "{name}": {error}'
                ) from error
            found[kind][name] = changes.Declared(
                kind, name, value, revision, author
            )
        return found


@records.register("snapshot")
class Part(NamedTuple):
    """One part of a snapshot on the log.

    Attributes:
        offset: The snapshot's offset.
        digest: SHA-256 of the encoded snapshot, in hex. It distinguishes
            the parts of nodes with different versions that published a
            snapshot of the same offset.
        part: Index of this part, from 0.
        parts: Number of parts.
        body: This part of the encoded snapshot.
    """

    offset: int
    digest: str
    part: int
    parts: int
    body: str


class Header(NamedTuple):
    """Identifies the snapshot that a part belongs to."""

    offset: int
    digest: str


def rows(found: changes.Objects) -> tuple[Row, ...]:
    """Lists objects by kind and name, the same order on every node."""
    listed = []
    for kind in sorted(found):
        for name in sorted(found[kind]):
            declared = found[kind][name]
            fields = msgspec.structs.asdict(declared.value)
            listed.append(
                Row(kind, name, fields, declared.revision, declared.author)
            )
    return tuple(listed)


def encode(snapshot: Snapshot) -> bytes:
    """Encodes a snapshot as compressed JSON."""
    return zlib.compress(msgspec.json.encode(snapshot))


def decode(body: bytes) -> Snapshot:
    """Decodes the output of `encode`.

    Raises:
        exceptions.RecordInvalid: It is not a snapshot, or too large.
    """
    try:
        unpacker = zlib.decompressobj()
        text = unpacker.decompress(body, MAX_UNPACKED_BYTES)
        if unpacker.unconsumed_tail:
            raise exceptions.RecordInvalid(
                f"a snapshot unpacks to more than {MAX_UNPACKED_BYTES} bytes"
            )
        return msgspec.json.decode(text, type=Snapshot)
    except (zlib.error, msgspec.DecodeError) as error:
        raise exceptions.RecordInvalid(str(error)) from error


def split(snapshot: Snapshot) -> list[Part]:
    """Splits a snapshot into parts that each fit in one append."""
    body = encode(snapshot)
    digest = hashlib.sha256(body).hexdigest()
    text = base64.b85encode(body).decode()
    bodies = []
    for start in range(0, len(text), PART_CHARACTERS):
        bodies.append(text[start : start + PART_CHARACTERS])
    parts = []
    for number, piece in enumerate(bodies):
        parts.append(Part(snapshot.offset, digest, number, len(bodies), piece))
    return parts


class Assembler:
    """Reassembles parts and decides when a new snapshot is due.

    >>> assembler.add(part, entry.time)
    >>> assembler.find_covering(position=-1, lowest=40)
    b'...'

    Attributes:
        unfinished: Parts of incomplete snapshots.
        times: Log time of the first part seen of each incomplete snapshot.
        newest_offset: Offset of the newest complete snapshot; -1 for none.
        taken_at: Log time of that snapshot's first part, or of the first
            entry read if there is no snapshot.
        body: The newest complete snapshot, until it is no longer needed.
    """

    def __init__(self):
        self.unfinished: dict[Header, dict[int, Part]] = {}
        self.times: dict[Header, float] = {}
        self.newest_offset = -1
        self.taken_at: float | None = None
        self.body: bytes | None = None

    def add(self, part: Part, time: float) -> None:
        """Adds one part; parts of an older snapshot are ignored."""
        if part.offset < self.newest_offset:
            return
        header = Header(part.offset, part.digest)
        found = self.unfinished.setdefault(header, {})
        self.times.setdefault(header, time)
        found[part.part] = part
        if len(found) == part.parts:
            self.finish(header, found)
        while len(self.unfinished) > MAX_UNFINISHED:
            self.drop(next(iter(self.unfinished)))

    def finish(self, header: Header, found: dict[int, Part]) -> None:
        """Joins all parts of a snapshot if they match its digest."""
        text = "".join(found[number].body for number in sorted(found))
        taken = self.times[header]
        self.drop(header)
        try:
            body = base64.b85decode(text)
        except ValueError:
            return
        if hashlib.sha256(body).hexdigest() != header.digest:
            return
        self.newest_offset = header.offset
        self.taken_at = taken
        self.body = body
        for older in [
            h for h in self.unfinished if h.offset < self.newest_offset
        ]:
            self.drop(older)

    def drop(self, header: Header) -> None:
        """Drops the parts of one snapshot."""
        del self.unfinished[header]
        del self.times[header]

    def record_entry_time(self, time: float) -> None:
        """Records the first entry's time if no snapshot was seen yet."""
        if self.taken_at is None:
            self.taken_at = time

    def release_body(self, position: int) -> None:
        """Frees the snapshot's body if it is not ahead of the position."""
        if self.newest_offset <= position:
            self.body = None

    def find_covering(self, position: int, lowest: int) -> bytes | None:
        """Returns the newest snapshot if it covers a gap, else None.

        Args:
            position: The last offset before the gap.
            lowest: The first offset after it.
        """
        if self.newest_offset <= position or self.newest_offset + 1 < lowest:
            return None
        return self.body

    def is_due(self, position: int, now: float, retention: float) -> bool:
        """Returns whether a new snapshot should be published.

        Args:
            position: Position of the configuration to capture.
            now: Seconds since the epoch.
            retention: Seconds that the log keeps a record.
        """
        if position - self.newest_offset > REPUBLISH_ENTRIES:
            return True
        if self.taken_at is None:
            return True
        return now - self.taken_at > retention * REPUBLISH_FRACTION
