"""Recovery: reads the segments that an earlier process left in the directory. Read-only; the journal repairs.

A torn write at the end is normal and dropped. Damage in any other place affects as little as possible: all
readable records are applied, and a lost record is assumed to have had the worst possible content. If the id
of a lost record is known, only that message is affected; if not, every message that is unfinished at that
point may have been attempted. A message of which only the id is left, in another record or in a list of
unfinished ids, gets the final outcome `failed`."""

from __future__ import annotations

from dataclasses import dataclass, field
from zlib import crc32

from .capacity import MESSAGE_OBJECT_BYTES
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

# Plain integers, since each record is compared with them.
ACCEPTED = int(RecordType.ACCEPTED)
CANCELLED = int(RecordType.CANCELLED)
UNFINISHED_IDS = int(RecordType.UNFINISHED_IDS)


@dataclass(slots=True)
class RecoveredState:
    """The state after all records of all segments are applied."""

    entries: dict[str, JournalEntry] = field(default_factory=dict)
    segments: list[Segment] = field(default_factory=list)
    next_sequence: int = 1  # sequence of the next record
    findings: list[str] = field(default_factory=list)  # one human-readable line per damage
    torn_bytes: int = 0  # size of an incomplete last write
    empty_files: list[str] = field(default_factory=list)  # segments whose first write is incomplete


@dataclass(slots=True)
class LoadedSegment:
    """A segment and the content of its file."""

    segment: Segment
    data: bytes
    header: Header | None  # None: unreadable
    is_complete: bool  # False: unreadable parts of the file are zeros in `data`


def load_segment(files: FileStore, name: str) -> LoadedSegment:
    """Reads a segment's file. Raises UnsupportedFormatError; OSError."""
    content = files.read(name)
    match = SEGMENT_FILE_NAME.fullmatch(name)
    assert match is not None
    return LoadedSegment(
        Segment(int(match[1]), file_size=len(content.data)),
        content.data,
        decode_header(content.data),
        content.is_complete,
    )


class LogReader:
    """Reads all segments once, in order, and applies their records."""

    def __init__(self, memory_bytes: int | None = None) -> None:
        """`memory_bytes`: beyond it, finished messages are forgotten, oldest first; None: never."""
        self.max_entries = None if memory_bytes is None else memory_bytes // MESSAGE_OBJECT_BYTES
        self.state = RecoveredState()
        self.entries = self.state.entries
        self.partial: dict[str, JournalEntry] = {}  # messages without a snapshot: state from other records

    def read(self, files: FileStore) -> RecoveredState:
        """Reads all segments. Raises UnsupportedFormatError; OSError."""
        sizes = files.sizes()
        names = [name for name in sorted(sizes) if SEGMENT_FILE_NAME.fullmatch(name)]
        if names and sizes[names[-1]] < HEADER_BYTES:  # its first write is incomplete
            self.state.empty_files.append(names.pop())
        # Two segments are in memory at a time: the next one's header has the valid size of this one.
        following = load_segment(files, names[0]) if names else None
        previous_number: int | None = None
        for next_name in [*names[1:], None]:
            current = following
            following = None if next_name is None else load_segment(files, next_name)
            if current is None:
                break
            self._check_number(current.segment, previous_number)
            previous_number = current.segment.number
            self._read_segment(current, following)
            self._forget_finished(self.entries)
            self._forget_finished(self.partial)
        self._finish()
        return self.state

    def _forget_finished(self, entries: dict[str, JournalEntry]) -> None:
        """Bounds the memory of a start: a log may name far more finished messages than may be known."""
        excess = 0 if self.max_entries is None else len(entries) - self.max_entries
        if excess <= 0:
            return
        finished = [message_id for message_id, entry in entries.items() if not entry.is_unfinished]
        for message_id in finished[:excess]:
            del entries[message_id]
        for segment in self.state.segments:
            segment.live_ids = {each: None for each in segment.live_ids if each in self.entries}

    def _check_number(self, segment: Segment, previous_number: int | None) -> None:
        if previous_number is not None and segment.number != previous_number + 1:
            self._add_damage(segment, f"segments {previous_number + 1} to {segment.number - 1} are missing")
            self._assume_all_attempted()

    def _read_segment(self, loaded: LoadedSegment, following: LoadedSegment | None) -> None:
        segment = loaded.segment
        self.state.segments.append(segment)
        header = loaded.header or salvage_header(loaded.data, segment.number, self.state.next_sequence)
        if loaded.header is None:
            self._add_damage(segment, "its header cannot be read")
        if header is None:
            self._assume_all_attempted()
            segment.size = len(loaded.data)
            segment.checksum = crc32(loaded.data)
            return
        segment.salt = header.salt
        self._check_sequence(segment, header)
        if not loaded.is_complete:
            self._add_damage(segment, "parts of it cannot be read from the disk")
        successor = self._successor_header(segment, following)
        data = loaded.data
        if successor is not None:
            data = data[: successor.previous_size]  # an earlier process did not complete the write beyond it
        self._apply_records(segment, header, data, is_last=following is None)
        segment.checksum = crc32(data[: segment.size])
        if successor is not None:
            self._check_end(segment, successor)

    @staticmethod
    def _successor_header(segment: Segment, following: LoadedSegment | None) -> Header | None:
        """Return the header of the segment that continues this one; None if missing or unreadable."""
        if following is None or following.segment.number != segment.number + 1:
            return None
        return following.header

    def _check_sequence(self, segment: Segment, header: Header) -> None:
        if header.first_sequence <= self.state.next_sequence or len(self.state.segments) == 1:
            return
        if not self.state.segments[-2].is_damaged:
            last_missing = header.first_sequence - 1
            self._add_damage(segment, f"records {self.state.next_sequence} to {last_missing} are missing")
        self._assume_all_attempted()

    def _check_end(self, segment: Segment, successor: Header) -> None:
        matches_successor = (segment.size, segment.checksum) == (
            successor.previous_size,
            successor.previous_checksum,
        )
        if segment.is_damaged or matches_successor:
            return
        self._add_damage(
            segment, f"its end is missing: {segment.size} of {successor.previous_size} bytes are there"
        )
        self._assume_all_attempted()

    # -- records -----------------------------------------------------------------------------------------

    def _apply_records(self, segment: Segment, header: Header, data: bytes, is_last: bool) -> None:
        self.state.next_sequence = header.first_sequence
        segment.size = HEADER_BYTES
        for result in scan_records(data, segment.salt, header.first_sequence, is_last):
            if isinstance(result, Record):  # the usual case
                self._apply_record(segment, result)
                self.state.next_sequence = result.sequence + 1
                segment.size = result.end
            else:
                self._apply_damage(segment, result)

    def _apply_record(self, segment: Segment, record: Record) -> None:
        try:
            message_id = record.message_id.decode()
            kind = record.kind
            if kind == ACCEPTED:
                self._add_snapshot(segment, decode_snapshot(message_id, record.payload))
            elif kind == CANCELLED:
                self._remove(message_id)
            elif kind == UNFINISHED_IDS:
                self._add_unfinished_ids(record.payload)
            else:
                apply_record(
                    self.entries.get(message_id) or self._partial_entry(message_id), kind, record.payload
                )
        except ValueError as error:  # the checksum matches: a bug, or another version
            self._add_damage(segment, f"bytes {record.offset} to {record.end}: {error}")
            self._apply_lost_record(record.message_id.decode(errors="replace"), record.kind)

    def _add_snapshot(self, segment: Segment, entry: JournalEntry) -> None:
        self.partial.pop(entry.id, None)
        self.entries[entry.id] = entry
        segment.live_ids[entry.id] = None

    def _add_unfinished_ids(self, payload: bytes) -> None:
        for origin, message_ids in UNFINISHED_IDS_DECODER.decode(payload).items():
            for message_id in message_ids:
                if message_id not in self.entries:
                    self._partial_entry(message_id).origin = origin

    def _remove(self, message_id: str) -> None:
        self.entries.pop(message_id, None)
        self.partial.pop(message_id, None)

    def _partial_entry(self, message_id: str) -> JournalEntry:
        """Return the partial state of a message whose snapshot was not found."""
        if message_id not in self.partial:
            partial_entry = failed_entry(message_id)
            partial_entry.final_state = ""
            self.partial[message_id] = partial_entry
        return self.partial[message_id]

    # -- damage ------------------------------------------------------------------------------------------

    def _apply_damage(self, segment: Segment, result: ScanResult) -> None:
        match result:
            case CorruptRecord(sequence, kind, _, offset, end):
                self.state.next_sequence = sequence + 1
                message_id = result.message_id.decode(errors="replace")
                self._add_damage(
                    segment,
                    f"bytes {offset} to {end}: a record of kind {kind} of "
                    f"message {message_id} cannot be read",
                )
                self._apply_lost_record(message_id, kind)
            case UnreadableRange(offset, end, lost_records):
                self.state.next_sequence += lost_records
                self._add_damage(
                    segment, f"bytes {offset} to {end} cannot be read, {lost_records} records at least"
                )
                self._assume_all_attempted()
            case TornWrite(offset, end):
                self.state.torn_bytes += end - offset
                return
        segment.size = result.end

    def _apply_lost_record(self, message_id: str, kind: int) -> None:
        """Assumes the worst about a record of which only the kind and the message are known."""
        if kind == UNFINISHED_IDS:
            return
        if kind == CANCELLED:
            self._remove(message_id)
            return
        entry = self.entries.get(message_id)
        if kind == RecordType.NOTIFIED and entry is None:
            self._partial_entry(message_id).is_notified = True
        elif kind == ACCEPTED and entry is not None:
            assume_attempted(entry)  # an older snapshot exists
        else:
            assume_lost_record(entry or self._partial_entry(message_id), kind)

    def _assume_all_attempted(self) -> None:
        for entry in self.entries.values():
            assume_attempted(entry)

    def _add_damage(self, segment: Segment, text: str) -> None:
        segment.is_damaged = True
        self.state.findings.append(f"{segment.name}: {text}")

    # -- final steps -------------------------------------------------------------------------------------

    def _finish(self) -> None:
        self._fail_messages_without_snapshot()
        for entry in self.entries.values():
            entry.assume_in_flight_has_run()  # the process ended before the outcome
        self._keep_latest_locations()

    def _fail_messages_without_snapshot(self) -> None:
        for message_id, partial_entry in self.partial.items():
            # The final outcome of a notified message was recorded in a segment that has been removed.
            if partial_entry.is_unfinished and not partial_entry.is_notified:
                self.state.findings.append(f"message {message_id}: only its id is left, so that it fails")
                self.entries[message_id] = failed_entry(message_id, partial_entry.origin)

    def _keep_latest_locations(self) -> None:
        """Keeps each message only in the `live_ids` of the segment with its latest snapshot."""
        segment_of: dict[str, Segment] = {}
        for segment in self.state.segments:
            segment_of.update(dict.fromkeys(segment.live_ids, segment))
        for segment in self.state.segments:
            segment.live_ids.clear()
        for message_id in self.entries:
            if message_id in segment_of:
                segment_of[message_id].live_ids[message_id] = None


def recover(files: FileStore, memory_bytes: int | None = None) -> RecoveredState:
    """Reads the journal of a directory. Raises UnsupportedFormatError; OSError if it can't be read.

    `memory_bytes`: see LogReader."""
    return LogReader(memory_bytes).read(files)
