"""Compaction: frees the oldest segments by copying the messages that are still needed to the head.

Normally each write copies a little, in proportion to the bytes written (DiskCapacity.copy_quota). If that is
not enough, a write that needs space frees as many segments as necessary at once."""

from __future__ import annotations

import logging

from ..structured_logging import LogEvent
from .capacity import COPY_SLICE_BYTES, DiskCapacity
from .errors import JournalError, JournalFullError
from .records import JournalEntry, MessageTable, RecordType, encode_snapshot
from .segment_log import SegmentLog

log = logging.getLogger(__name__)


class Compactor:
    """Copies snapshots from the oldest segments to the head, and retires segments without live snapshots."""

    def __init__(self, segment_log: SegmentLog, messages: MessageTable, capacity: DiskCapacity) -> None:
        self.log = segment_log
        self.messages = messages
        self.capacity = capacity
        self.credit_bytes = 0  # bytes that may be copied now
        self._last_written_bytes = 0  # `written_bytes` of the log at the latest call of `compact_some`
        segment_log.on_space_needed = self.free_space

    def copy(self, entry: JournalEntry) -> None:
        """Writes a snapshot of a message to the head. Raises JournalError."""
        self.log.append(RecordType.ACCEPTED, entry.id, encode_snapshot(entry), is_copy=True)
        self.log.assign_to_head(entry.id)

    def compact_some(self, written_bytes: int | None = None) -> None:
        """Copies an amount in proportion to the bytes written, by default those since the latest call.

        A failure is logged and only delays the freeing of disk space."""
        written_since = self.log.written_bytes - self._last_written_bytes
        self._last_written_bytes = self.log.written_bytes
        quota = self.capacity.copy_quota(
            self.log.used_bytes,
            self.messages.total_bytes,
            len(self.log.segments),
            written_bytes or written_since,
        )
        if not quota:
            self.credit_bytes = 0
            return
        self.credit_bytes = min(self.credit_bytes + quota, self.capacity.segment_bytes)
        slice_bytes = COPY_SLICE_BYTES
        try:
            while min(self.credit_bytes, slice_bytes) > 0 and len(self.log.segments) > 1:
                copied_bytes = self._copy_next(slice_bytes)
                if copied_bytes == 0:
                    return
                slice_bytes -= copied_bytes
        except JournalError as error:
            log.error(LogEvent("journal segment compaction failed", why=error))

    def _copy_next(self, slice_bytes: int) -> int:
        """Copies one message of the oldest segment, or retires that segment if it has no live snapshot.

        Returns the bytes taken from the credit; 0 if nothing more may be done in this call."""
        oldest = self.log.segments[0]
        message_id = next(iter(oldest.live_ids), None)
        if message_id is None:
            self.log.retire_oldest()
            return 0  # at most one file per call: each unlink takes a while
        size = self.messages.sizes[message_id]
        if size > self.credit_bytes and self.credit_bytes < self.capacity.segment_bytes // 2:
            return 0  # copied once there is enough credit
        if size > slice_bytes and slice_bytes < COPY_SLICE_BYTES:
            return 0
        self.credit_bytes -= size
        self.copy(self.messages.entries[message_id])
        return size

    def free_space(self, needed_bytes: int) -> None:
        """Retires as many of the oldest segments as are needed to write `needed_bytes`.

        Quarantined files are removed first. Raises JournalFullError if that is not enough."""
        for name in list(self.log.quarantined):
            self.log.drop_quarantined(name)
        head_number = self.log.segments[-1].number
        needed_with_new_segment = needed_bytes + self.log.new_segment_bytes
        if self.log.retiring_bytes and not self._lacks_space(needed_with_new_segment):
            raise JournalFullError("journal: no disk space before the next sync")
        while self._lacks_space(needed_with_new_segment) and self.log.segments[0].number <= head_number:
            if len(self.log.segments) == 1:
                self.log.start_segment()
            for message_id in list(self.log.segments[0].live_ids):
                self.copy(self.messages.entries[message_id])
            self.log.retire_oldest()
        if self.capacity.must_compact(self.log.used_bytes, needed_bytes):
            raise JournalFullError("journal: the disk budget of the folder is exhausted")

    def _lacks_space(self, needed_bytes: int) -> bool:
        """Return whether space is still missing once the retired segments are removed."""
        return self.capacity.must_compact(self.log.used_bytes - self.log.retiring_bytes, needed_bytes)

    def rewrite_all(self) -> None:
        """Copies all messages to the head, so that the next start finds no damage.

        Damaged segments are quarantined, all others retired. Raises JournalError."""
        for entry in list(self.messages.entries.values()):
            self.copy(entry)
        segments = self.log.segments
        while len(segments) > 1 and segments[0].number < segments[-1].number:
            if segments[0].live_ids:
                break
            self.log.retire_or_quarantine_oldest()
