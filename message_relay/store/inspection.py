"""Lists the single records of a journal, for diagnostics. Read-only."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from .file_store import FileStore
from .record_format import CorruptRecord, Record, scan_records
from .records import RECORD_TYPE_LABELS
from .recovery import load_segment
from .segments import SEGMENT_FILE_NAME


@dataclass(frozen=True, slots=True)
class RecordLine:
    """A record as the `journal` commands print it."""

    segment: str  # file name of the segment
    offset: int
    sequence: int
    kind: str
    message_id: str
    payload: bytes  # empty if it can't be read
    is_readable: bool


def record_lines(files: FileStore) -> Iterator[RecordLine]:
    """Yields all records in order, corrupt ones with their known fields.

    Raises UnsupportedFormatError; OSError if the directory can't be read."""
    for name in sorted(name for name in files.sizes() if SEGMENT_FILE_NAME.fullmatch(name)):
        loaded = load_segment(files, name)
        if loaded.header is None:
            continue
        header = loaded.header
        for result in scan_records(loaded.data, header.salt, header.first_sequence, is_last=True):
            if isinstance(result, Record | CorruptRecord):
                yield _line(loaded.segment.name, result)


def _line(segment: str, result: Record | CorruptRecord) -> RecordLine:
    is_readable = isinstance(result, Record)
    return RecordLine(
        segment,
        result.offset,
        result.sequence,
        RECORD_TYPE_LABELS.get(result.kind, str(result.kind)),
        result.message_id.decode(errors="replace"),
        result.payload if isinstance(result, Record) else b"",
        is_readable,
    )
