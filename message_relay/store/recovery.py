"""What an earlier process left in the folder. Reads only; what is to be mended is done by the journal.

A torn tail is normal and dropped. Damage in any other place costs as little as it can: all that is readable
counts, and whatever a lost record may have said is assumed at its worst. One whose id is known concerns one
message; where records are missing that nobody is named for, each message that is still open then may have
been tried. A message of which only its id is left, in another record or a census, gets its `failed`."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from zlib import crc32

from .file_store import FileStore
from .record_format import (
    HEADER_BYTES,
    CorruptRecord,
    Header,
    Record,
    ScanResult,
    TornWrite,
    UnreadableRange,
    decode_header,
    salvage_header,
    scan_records,
)
from .records import (
    RECORD_TYPE_LABELS,
    UNFINISHED_IDS_DECODER,
    JournalEntry,
    RecordType,
    apply_record,
    assume_attempted,
    assume_lost_record,
    decode_snapshot,
    failed_entry,
)
from .segments import SEGMENT_FILE_NAME, Segment

TAKE, DROP, COUNT = (
    int(RecordType.ACCEPTED),
    int(RecordType.CANCELLED),
    int(RecordType.UNFINISHED_IDS),
)  # plain: compared for each record


@dataclass(slots=True)
class RecoveredState:
    entries: dict[str, JournalEntry] = field(default_factory=dict)
    segments: list[Segment] = field(default_factory=list)
    next_sequence: int = 1  # of the next record
    findings: list[str] = field(default_factory=list)  # damage, for people
    torn_bytes: int = 0  # bytes of a write that did not become whole
    empty_files: list[str] = field(
        default_factory=list
    )  # files that hold nothing: a segment that was never begun


@dataclass(slots=True)
class LoadedSegment:
    """A segment's file as it was read."""

    segment: Segment
    data: bytes
    header: Header | None
    is_complete: bool


def load_segment(files: FileStore, name: str) -> LoadedSegment:
    """Raises NewerFormat."""
    content = files.read(name)
    found = SEGMENT_FILE_NAME.fullmatch(name)
    assert found is not None
    return LoadedSegment(
        Segment(int(found[1]), file_size=len(content.data)),
        content.data,
        decode_header(content.data),
        content.is_complete,
    )


class LogReader:
    """Goes through the segments once, and keeps what their records add up to."""

    def __init__(self) -> None:
        self.state = RecoveredState()
        self.entries = self.state.entries
        self.partial: dict[
            str, JournalEntry
        ] = {}  # of messages whose snapshot was not seen, what records say

    def read(self, files: FileStore) -> RecoveredState:
        sizes = files.sizes()
        names = [name for name in sorted(sizes) if SEGMENT_FILE_NAME.fullmatch(name)]
        if names and sizes[names[-1]] < HEADER_BYTES:  # its first write did not become whole
            self.state.empty_files.append(names.pop())
        ahead, before = load_segment(files, names[0]) if names else None, None
        for following in [*names[1:], None]:  # two segments in memory at a time
            one, ahead = ahead, None if following is None else load_segment(files, following)
            if one is None:
                break
            number = one.segment.number
            if before is not None and number != before + 1:
                self._damage(one.segment, f"segments {before + 1} to {number - 1} are missing")
                self._all_at_worst()
            before = number
            self._segment(one, ahead)
        self._finish()
        return self.state

    def _segment(self, one: LoadedSegment, then: LoadedSegment | None) -> None:
        segment = one.segment
        self.state.segments.append(segment)
        header = one.header or salvage_header(one.data, segment.number, self.state.next_sequence)
        if one.header is None:
            self._damage(segment, "its header cannot be read")
        if header is None:
            self._all_at_worst()
            segment.size, segment.checksum = len(one.data), crc32(one.data)
            return
        segment.salt = header.salt
        data, chained = one.data, None
        if then is not None and then.header is not None and then.segment.number == segment.number + 1:
            chained = then.header
            data = data[: chained.previous_size]  # behind it lies what an earlier process did not finish
        if header.first_sequence > self.state.next_sequence and len(self.state.segments) > 1:
            if not self.state.segments[-2].is_damaged:
                self._damage(
                    segment, f"records {self.state.next_sequence} to {header.first_sequence - 1} are missing"
                )
            self._all_at_worst()
        if not one.is_complete:
            self._damage(segment, "parts of it cannot be read from the disk")
        self.state.next_sequence = header.first_sequence
        segment.size = HEADER_BYTES
        for piece in scan_records(data, segment.salt, header.first_sequence, last=then is None):
            if isinstance(piece, Record):  # nearly all are
                self._record(segment, piece)
                self.state.next_sequence, segment.size = piece.sequence + 1, piece.end
            else:
                self._piece(segment, piece)
        segment.checksum = crc32(data[: segment.size])
        there = segment.size, segment.checksum
        if chained and not segment.is_damaged and there != (chained.previous_size, chained.previous_checksum):
            self._damage(
                segment, f"its end is missing: {there[0]} of {chained.previous_size} bytes are there"
            )
            self._all_at_worst()

    def _piece(self, segment: Segment, piece: ScanResult) -> None:
        match piece:
            case CorruptRecord():
                self.state.next_sequence = piece.sequence + 1
                ident = piece.message_id.decode(errors="replace")
                self._damage(
                    segment,
                    f"bytes {piece.offset} to {piece.end}: a record of kind {piece.kind} of "
                    f"message {ident} cannot be read",
                )
                self._hurt(segment, ident, piece.kind)
            case UnreadableRange():
                self.state.next_sequence += piece.lost_records
                self._damage(
                    segment,
                    f"bytes {piece.offset} to {piece.end} cannot be read, "
                    f"{piece.lost_records} records at least",
                )
                self._all_at_worst()
            case TornWrite():
                self.state.torn_bytes += piece.end - piece.offset
                return
        segment.size = piece.end

    def _record(self, segment: Segment, record: Record) -> None:
        try:
            ident, kind = record.message_id.decode(), record.kind
            if kind == TAKE:
                self._snapshot(segment, decode_snapshot(ident, record.payload))
            elif kind == DROP:
                self.entries.pop(ident, None)
                self.partial.pop(ident, None)
            elif kind == COUNT:
                for origin, idents in UNFINISHED_IDS_DECODER.decode(record.payload).items():
                    for owed in idents:
                        if owed not in self.entries:
                            self._part(owed).origin = origin
            else:
                apply_record(self.entries.get(ident) or self._part(ident), kind, record.payload)
        except ValueError as error:  # its checksum is right: a fault of ours, or of another version
            self._damage(segment, f"bytes {record.offset} to {record.end}: {error}")
            self._hurt(segment, record.message_id.decode(errors="replace"), record.kind)

    def _snapshot(self, segment: Segment, entry: JournalEntry) -> None:
        self.partial.pop(entry.id, None)
        self.entries[entry.id] = entry
        segment.live_ids[entry.id] = None

    def _part(self, ident: str) -> JournalEntry:
        if ident not in self.partial:
            part = failed_entry(ident)
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
            assume_attempted(entry)  # an older snapshot is there
        else:
            assume_lost_record(entry or self._part(ident), kind)

    def _all_at_worst(self) -> None:
        for entry in self.entries.values():
            assume_attempted(entry)

    def _damage(self, segment: Segment, text: str) -> None:
        segment.is_damaged = True
        self.state.findings.append(f"{segment.name}: {text}")

    def _finish(self) -> None:
        for ident, part in self.partial.items():
            if (
                part.is_unfinished and not part.is_notified
            ):  # told: it had its end, in a segment that is given up
                self.state.findings.append(f"message {ident}: only its id is left, so that it fails")
                self.entries[ident] = failed_entry(ident, part.origin)
        for entry in self.entries.values():
            if entry.attempt_in_flight is not None:  # its outcome died with the process: it may have run
                entry.uncertain_attempt, entry.attempt_in_flight = (
                    entry.uncertain_attempt or entry.attempt_in_flight,
                    None,
                )
        homes: dict[str, Segment] = {}
        for segment in self.state.segments:
            homes.update(dict.fromkeys(segment.live_ids, segment))
        for segment in self.state.segments:
            segment.live_ids.clear()
        for ident in self.entries:
            if ident in homes:
                homes[ident].live_ids[ident] = None


def recover(files: FileStore) -> RecoveredState:
    """Raises NewerFormat; OSError where the folder itself can't be read."""
    return LogReader().read(files)


@dataclass(frozen=True, slots=True)
class RecordLine:
    """A record as people look at it."""

    segment: str
    offset: int
    sequence: int
    kind: str
    message_id: str
    payload: bytes
    is_readable: bool


def record_lines(files: FileStore) -> Iterator[RecordLine]:
    """All records that are there, damaged ones with what is known of them."""
    for name in sorted(name for name in files.sizes() if SEGMENT_FILE_NAME.fullmatch(name)):
        one = load_segment(files, name)
        if one.header is None:
            continue
        for piece in scan_records(one.data, one.header.salt, one.header.first_sequence, last=True):
            if isinstance(piece, Record | CorruptRecord):
                kind = RECORD_TYPE_LABELS.get(piece.kind, str(piece.kind))
                payload = piece.payload if isinstance(piece, Record) else b""
                ident = piece.message_id.decode(errors="replace")
                yield RecordLine(
                    one.segment.name,
                    piece.offset,
                    piece.sequence,
                    kind,
                    ident,
                    payload,
                    isinstance(piece, Record),
                )
