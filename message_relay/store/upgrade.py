"""Upgrade of a state directory in format 1 of an earlier version: converts its file into a segment."""

from __future__ import annotations

import logging
import os
from zlib import crc32

from ..structured_logging import LogEvent
from . import format_v1
from .file_store import FileStore
from .record_format import Header, encode_frame
from .records import JournalEntry, RecordType, encode_snapshot
from .recovery import RecoveredState
from .segments import Segment, segment_name

log = logging.getLogger(__name__)

TEMPORARY_NAME = "seg.new"  # the new segment until it is renamed to its final name


def upgrade(files: FileStore, state: RecoveredState) -> None:
    """Adds the content of a file of format 1 to `state`; removes the file once a segment contains all of it.

    Raises OSError."""
    sizes = files.sizes()
    if format_v1.FILE_NAME in sizes and not state.segments:
        content = files.read(format_v1.FILE_NAME)
        old_state = format_v1.read(content.data)
        if not content.is_complete:
            state.findings.append("journal: parts cannot be read from the disk")
        state.findings.extend(old_state.findings)
        state.entries.update(old_state.entries)
        if TEMPORARY_NAME in sizes:
            files.unlink(TEMPORARY_NAME)
        state.segments.append(_write_segment(files, old_state.entries))
        state.next_sequence = 1 + len(old_state.entries)
        log.info(LogEvent("journal upgraded from format 1", messages=len(old_state.entries)))
    for name in (*format_v1.NAMES, TEMPORARY_NAME):
        if name in files.sizes():
            files.unlink(name)


def _write_segment(files: FileStore, entries: dict[str, JournalEntry]) -> Segment:
    salt = int.from_bytes(os.urandom(4), "little")
    data = Header(1, 1, 0, 0, salt).encode()
    for sequence, entry in enumerate(entries.values(), 1):
        data += encode_frame(salt, sequence, RecordType.ACCEPTED, entry.id.encode(), encode_snapshot(entry))
    files.append(TEMPORARY_NAME, data)
    files.sync(TEMPORARY_NAME)
    files.rename(TEMPORARY_NAME, segment_name(1))
    return Segment(1, len(data), len(data), crc32(data), salt, dict.fromkeys(entries))
