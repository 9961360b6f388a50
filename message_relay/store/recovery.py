"""What an earlier process left in the folder. Reads only; what is to be mended is done by the journal.

A torn tail is normal and dropped. Damage in any other place costs as little as it can: all that is readable
counts, and whatever a lost record may have said is assumed at its worst. One whose id is known concerns one
message; where records are missing that nobody is named for, each message that is still open then may have
been tried. A message of which only its id is left, in another record or a census, gets its `failed`."""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from zlib import crc32

from .capacity import blocks
from .file_store import FileStore
from .record_format import (
    HEADER_BYTES,
    CorruptRecord,
    Header,
    Piece,
    Record,
    TornWrite,
    UnreadableRange,
    header_of,
    salvaged,
    scan,
)
from .records import (
    CENSUS,
    RECORD_TYPE_LABELS,
    JournalEntry,
    RecordType,
    change,
    entry_of,
    only_known_by_id,
    worst,
    worst_of,
)

TAKE, DROP, COUNT = (
    int(RecordType.ACCEPTED),
    int(RecordType.CANCELLED),
    int(RecordType.UNFINISHED_IDS),
)  # plain: compared for each record
NAME = re.compile(r"seg-(\d{10})")


def name_of(number: int) -> str:
    return f"seg-{number:010}"


@dataclass(slots=True)
class Segment:
    number: int
    size: int = 0  # up to the end of its last whole record
    on_disk: int = 0
    check: int = 0  # of so much of it
    salt: int = 0
    homes: dict[str, None] = field(default_factory=dict)  # messages whose latest snapshot lies here
    damaged: bool = False

    @property
    def name(self) -> str:
        return name_of(self.number)

    @property
    def blocks(self) -> int:
        """Bytes that its file takes on the disk."""
        return blocks(max(self.on_disk, self.size))


@dataclass(slots=True)
class Found:
    entries: dict[str, JournalEntry] = field(default_factory=dict)
    segments: list[Segment] = field(default_factory=list)
    sequence: int = 1  # of the next record
    findings: list[str] = field(default_factory=list)  # damage, for people
    torn: int = 0  # bytes of a write that did not become whole
    empty: list[str] = field(default_factory=list)  # files that hold nothing: a segment that was never begun


@dataclass(slots=True)
class Loaded:
    """A segment's file as it was read."""

    segment: Segment
    data: bytes
    header: Header | None
    whole: bool


def load(files: FileStore, name: str) -> Loaded:
    """Raises NewerFormat."""
    data, whole = files.read(name)
    found = NAME.fullmatch(name)
    assert found is not None
    return Loaded(Segment(int(found[1]), on_disk=len(data)), data, header_of(data), whole)


class Reader:
    """Goes through the segments once, and keeps what their records add up to."""

    def __init__(self) -> None:
        self.found = Found()
        self.entries = self.found.entries
        self.partial: dict[
            str, JournalEntry
        ] = {}  # of messages whose snapshot was not seen, what records say

    def read(self, files: FileStore) -> Found:
        sizes = files.sizes()
        names = [name for name in sorted(sizes) if NAME.fullmatch(name)]
        if names and sizes[names[-1]] < HEADER_BYTES:  # its first write did not become whole
            self.found.empty.append(names.pop())
        ahead, before = load(files, names[0]) if names else None, None
        for following in [*names[1:], None]:  # two segments in memory at a time
            one, ahead = ahead, None if following is None else load(files, following)
            if one is None:
                break
            number = one.segment.number
            if before is not None and number != before + 1:
                self._damage(one.segment, f"segments {before + 1} to {number - 1} are missing")
                self._all_at_worst()
            before = number
            self._segment(one, ahead)
        self._finish()
        return self.found

    def _segment(self, one: Loaded, then: Loaded | None) -> None:
        segment = one.segment
        self.found.segments.append(segment)
        header = one.header or salvaged(one.data, segment.number, self.found.sequence)
        if one.header is None:
            self._damage(segment, "its header cannot be read")
        if header is None:
            self._all_at_worst()
            segment.size, segment.check = len(one.data), crc32(one.data)
            return
        segment.salt = header.salt
        data, chained = one.data, None
        if then is not None and then.header is not None and then.segment.number == segment.number + 1:
            chained = then.header
            data = data[: chained.before_bytes]  # behind it lies what an earlier process did not finish
        if header.first > self.found.sequence and len(self.found.segments) > 1:
            if not self.found.segments[-2].damaged:
                self._damage(segment, f"records {self.found.sequence} to {header.first - 1} are missing")
            self._all_at_worst()
        if not one.whole:
            self._damage(segment, "parts of it cannot be read from the disk")
        self.found.sequence = header.first
        segment.size = HEADER_BYTES
        for piece in scan(data, segment.salt, header.first, last=then is None):
            if isinstance(piece, Record):  # nearly all are
                self._record(segment, piece)
                self.found.sequence, segment.size = piece.sequence + 1, piece.end
            else:
                self._piece(segment, piece)
        segment.check = crc32(data[: segment.size])
        there = segment.size, segment.check
        if chained and not segment.damaged and there != (chained.before_bytes, chained.before_check):
            self._damage(segment, f"its end is missing: {there[0]} of {chained.before_bytes} bytes are there")
            self._all_at_worst()

    def _piece(self, segment: Segment, piece: Piece) -> None:
        match piece:
            case CorruptRecord():
                self.found.sequence = piece.sequence + 1
                ident = piece.ident.decode(errors="replace")
                self._damage(
                    segment,
                    f"bytes {piece.at} to {piece.end}: a record of kind {piece.kind} of "
                    f"message {ident} cannot be read",
                )
                self._hurt(segment, ident, piece.kind)
            case UnreadableRange():
                self.found.sequence += piece.lost
                self._damage(
                    segment,
                    f"bytes {piece.at} to {piece.end} cannot be read, " f"{piece.lost} records at least",
                )
                self._all_at_worst()
            case TornWrite():
                self.found.torn += piece.end - piece.at
                return
        segment.size = piece.end

    def _record(self, segment: Segment, record: Record) -> None:
        try:
            ident, kind = record.ident.decode(), record.kind
            if kind == TAKE:
                self._snapshot(segment, entry_of(ident, record.payload))
            elif kind == DROP:
                self.entries.pop(ident, None)
                self.partial.pop(ident, None)
            elif kind == COUNT:
                for origin, idents in CENSUS.decode(record.payload).items():
                    for owed in idents:
                        if owed not in self.entries:
                            self._part(owed).origin = origin
            else:
                change(self.entries.get(ident) or self._part(ident), kind, record.payload)
        except ValueError as error:  # its checksum is right: a fault of ours, or of another version
            self._damage(segment, f"bytes {record.at} to {record.end}: {error}")
            self._hurt(segment, record.ident.decode(errors="replace"), record.kind)

    def _snapshot(self, segment: Segment, entry: JournalEntry) -> None:
        self.partial.pop(entry.id, None)
        self.entries[entry.id] = entry
        segment.homes[entry.id] = None

    def _part(self, ident: str) -> JournalEntry:
        if ident not in self.partial:
            part = only_known_by_id(ident)
            part.final_state = ""
            self.partial[ident] = part
        return self.partial[ident]

    def _hurt(self, segment: Segment, ident: str, kind: int) -> None:
        if kind == RecordType.UNFINISHED_IDS:
            return
        if kind == RecordType.CANCELLED:
            self.entries.pop(ident, None)
            self.partial.pop(ident, None)
            return
        entry = self.entries.get(ident)
        if kind == RecordType.NOTIFIED and entry is None:
            self._part(ident).is_notified = True
        elif kind == RecordType.ACCEPTED and entry is not None:
            worst(entry)  # an older snapshot is there
        else:
            worst_of(entry or self._part(ident), kind)

    def _all_at_worst(self) -> None:
        for entry in self.entries.values():
            worst(entry)

    def _damage(self, segment: Segment, text: str) -> None:
        segment.damaged = True
        self.found.findings.append(f"{segment.name}: {text}")

    def _finish(self) -> None:
        for ident, part in self.partial.items():
            if (
                part.is_unfinished and not part.is_notified
            ):  # told: it had its end, in a segment that is given up
                self.found.findings.append(f"message {ident}: only its id is left, so that it fails")
                self.entries[ident] = only_known_by_id(ident, part.origin)
        for entry in self.entries.values():
            if entry.attempt_in_flight is not None:  # its outcome died with the process: it may have run
                entry.uncertain_attempt, entry.attempt_in_flight = (
                    entry.uncertain_attempt or entry.attempt_in_flight,
                    None,
                )
        homes: dict[str, Segment] = {}
        for segment in self.found.segments:
            homes.update(dict.fromkeys(segment.homes, segment))
        for segment in self.found.segments:
            segment.homes.clear()
        for ident in self.entries:
            if ident in homes:
                homes[ident].homes[ident] = None


def recover(files: FileStore) -> Found:
    """Raises NewerFormat; OSError where the folder itself can't be read."""
    return Reader().read(files)


@dataclass(frozen=True, slots=True)
class Line:
    """A record as people look at it."""

    segment: str
    at: int
    sequence: int
    kind: str
    ident: str
    payload: bytes
    well: bool


def lines(files: FileStore) -> Iterator[Line]:
    """All records that are there, damaged ones with what is known of them."""
    for name in sorted(name for name in files.sizes() if NAME.fullmatch(name)):
        one = load(files, name)
        if one.header is None:
            continue
        for piece in scan(one.data, one.header.salt, one.header.first, last=True):
            if isinstance(piece, Record | CorruptRecord):
                kind = RECORD_TYPE_LABELS.get(piece.kind, str(piece.kind))
                payload = piece.payload if isinstance(piece, Record) else b""
                ident = piece.ident.decode(errors="replace")
                yield Line(
                    one.segment.name,
                    piece.at,
                    piece.sequence,
                    kind,
                    ident,
                    payload,
                    isinstance(piece, Record),
                )
