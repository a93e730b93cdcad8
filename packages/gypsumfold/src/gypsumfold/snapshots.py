"""Snapshots of the configuration: their coding, parts and due times.

A snapshot names the offset up to which it holds every change. Changes that
were appended between that offset and the snapshot's own place are not in it;
whoever starts from it applies all entries above the named offset.
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

# Characters of one part's body; leaves room in the log's 256 KiB for the
# part's other fields.
PART_CHARACTERS = 200_000

# A snapshot is republished when this share of the log's retention has gone
# by, so that three more tries fit in before it is lost.
REPUBLISH_FRACTION = 0.25
# Entries after which one is due whatever the time: a starting node then
# reads at most a few pages of the log.
REPUBLISH_ENTRIES = 1000

# Bytes that a snapshot may unpack to. The design's 3,800 accounts, 2,900
# replicas and 22 models come to about 2 MB.
MAX_UNPACKED_BYTES = 64 * 1024 * 1024

# Unfinished snapshots remembered at once; their publishers have died.
MAX_UNFINISHED = 8


class Row(NamedTuple):
    """One object in a snapshot."""

    kind: str
    name: str
    fields: dict[str, Any]
    revision: int
    author: str = ""


class Snapshot(NamedTuple):
    """All that the configuration is at one offset.

    Attributes:
        offset: Every entry up to this one is in it.
        revision: Offset of the last accepted change.
        clock: The log's time at that offset.
        rows: The objects, ordered by kind and name.
        outcomes: Of the changes whose ids are still remembered.
    """

    offset: int
    revision: int
    clock: float
    rows: tuple[Row, ...]
    outcomes: tuple[changes.Outcome, ...]

    def objects(self) -> changes.Objects:
        """Checks the rows into objects, by kind and name.

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
        offset: Of the snapshot.
        digest: SHA-256 of the whole, in hex. It keeps parts apart that two
            nodes of different versions published for one offset.
        part: From 0.
        parts: How many there are.
        body: This part of the coded snapshot.
    """

    offset: int
    digest: str
    part: int
    parts: int
    body: str


class Header(NamedTuple):
    """Which snapshot a part belongs to."""

    offset: int
    digest: str


def rows(found: changes.Objects) -> tuple[Row, ...]:
    """Lists objects in the one order that all nodes agree on."""
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
    """Codes a snapshot as packed JSON."""
    return zlib.compress(msgspec.json.encode(snapshot))


def decode(body: bytes) -> Snapshot:
    """Decodes what `encode` gave.

    Raises:
        exceptions.RecordInvalid: It is no snapshot, or too large.
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
    """Cuts a snapshot into parts that each fit one append."""
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
    """Puts parts together again and knows when a new snapshot is due.

    >>> assembler.add(part, entry.time)
    >>> assembler.find_covering(position=-1, lowest=40)
    b'...'

    Attributes:
        unfinished: Parts by snapshot.
        newest: The newest whole snapshot that was seen.
        taken: The log's time of its first part, or of the first entry read
            where there is no snapshot.
        body: The newest whole snapshot, until it is of no more use.
    """

    def __init__(self):
        self.unfinished: dict[Header, dict[int, Part]] = {}
        self.times: dict[Header, float] = {}
        self.newest_offset = -1
        self.taken_at: float | None = None
        self.body: bytes | None = None

    def add(self, part: Part, time: float) -> None:
        """Takes one part in; parts of an older snapshot have no use."""
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
        """Joins the parts of a whole snapshot, if they fit its digest."""
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
        """Forgets the parts of one snapshot."""
        del self.unfinished[header]
        del self.times[header]

    def record_entry_time(self, time: float) -> None:
        """Notes the time of an entry, where no snapshot was seen yet."""
        if self.taken_at is None:
            self.taken_at = time

    def release_body(self, position: int) -> None:
        """Frees a snapshot that is not ahead of the position."""
        if self.newest_offset <= position:
            self.body = None

    def find_covering(self, position: int, lowest: int) -> bytes | None:
        """Returns the snapshot that reaches over a gap, if one is here.

        Args:
            position: The last offset before the gap.
            lowest: The first offset after it.
        """
        if self.newest_offset <= position or self.newest_offset + 1 < lowest:
            return None
        return self.body

    def is_due(self, position: int, now: float, retention: float) -> bool:
        """Tells whether a new snapshot should be published.

        Args:
            position: Of the configuration that would be captured.
            now: Seconds since the epoch.
            retention: Seconds that the log keeps a record.
        """
        if position - self.newest_offset > REPUBLISH_ENTRIES:
            return True
        if self.taken_at is None:
            return True
        return now - self.taken_at > retention * REPUBLISH_FRACTION
