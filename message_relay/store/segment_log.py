"""The append-only log in segments: appends records, starts, retires and quarantines segments.

Records are appended to the newest segment, the head. A segment starts with the ids of all unfinished
messages, so that these are known even if earlier records are lost. compaction.py decides which messages are
copied before a segment is retired."""

from __future__ import annotations

import logging
import os
from collections import deque
from collections.abc import Callable
from zlib import crc32

from ..structured_logging import LogEvent
from .capacity import (
    BLOCK_BYTES,
    MAX_UNFINISHED_IDS,
    UNFINISHED_IDS_SEGMENT_DIVISOR,
    DiskCapacity,
    rounded_to_blocks,
)
from .durability import Durability
from .errors import JournalError
from .file_store import FileStore
from .record_format import HEADER_BYTES, Header, encode_frame, frame_size
from .records import MessageTable, RecordType, encode_payload
from .recovery import RecoveredState
from .segments import Segment

log = logging.getLogger(__name__)

QUARANTINE_PREFIX = "aside-"  # file of a damaged segment, retained for inspection while there is space
QUARANTINE_DIVISOR = 8  # quarantined files may occupy at most the budget divided by this


class SegmentLog:
    """The segments on the disk, and the location of each message's latest snapshot."""

    def __init__(
        self,
        files: FileStore,
        capacity: DiskCapacity,
        messages: MessageTable,
        durability: Durability | None,
    ) -> None:
        """`durability`: None if the log is never synced."""
        self.files = files
        self.capacity = capacity
        self.messages = messages
        self.durability = durability
        self.segments: deque[Segment] = deque()  # oldest first; the last one is the head
        self.segment_of: dict[str, Segment] = {}  # id -> segment with the latest snapshot
        self.quarantined: dict[str, int] = {}  # file name -> bytes on the disk
        self.retiring_bytes = 0  # disk usage of segments that are removed after the next sync
        self.used_bytes = 0  # total disk usage, in whole blocks
        self.next_sequence = 1
        self.copied_bytes = 0  # appended by compaction, since the start
        self.written_bytes = 0  # appended by everything else, since the start
        # Upper bound for the size of the start of a segment.
        self.new_segment_bytes = (
            2 * BLOCK_BYTES + HEADER_BYTES + capacity.segment_bytes // UNFINISHED_IDS_SEGMENT_DIVISOR
        )
        # Frees this many bytes, or raises JournalError; set by the compactor.
        self.on_space_needed: Callable[[int], None] = lambda needed_bytes: None
        self._head_initial_size = 0
        # Disk usage of the file left by a failed start of a segment; the next start removes the file.
        self._failed_start_bytes = 0

    def load(self, state: RecoveredState) -> None:
        """Continues the recovered log. Raises OSError."""
        for name, size in self.files.sizes().items():
            if name.startswith(QUARANTINE_PREFIX):
                self.quarantined[name] = rounded_to_blocks(size)
        self.segments.extend(state.segments)
        self.next_sequence = state.next_sequence
        segment_bytes = sum(rounded_to_blocks(segment.file_size) for segment in self.segments)
        self.used_bytes = sum(self.quarantined.values()) + segment_bytes
        for segment in self.segments:
            self.segment_of.update(dict.fromkeys(segment.live_ids, segment))

    # -- appending ---------------------------------------------------------------------------------------

    def append(self, kind: RecordType, message_id: str, payload: bytes, is_copy: bool = False) -> None:
        """Appends a record. Raises JournalError and then changes nothing.

        `is_copy`: the record is written by compaction, which may use the reserve of the disk budget."""
        encoded_id = message_id.encode()
        needed_bytes = frame_size(len(encoded_id), len(payload))
        if not is_copy and self.capacity.must_compact(self.used_bytes, needed_bytes + self.new_segment_bytes):
            self.on_space_needed(needed_bytes)
        head = self.segments[-1]
        is_full = head.size + needed_bytes > self.capacity.segment_bytes
        if head.is_damaged or (is_full and head.size > self._head_initial_size):
            self.start_segment()
            head = self.segments[-1]
        self._write(head, encode_frame(head.salt, self.next_sequence, kind, encoded_id, payload))
        self.next_sequence += 1
        if is_copy:
            self.copied_bytes += needed_bytes
        else:
            self.written_bytes += needed_bytes

    def _write(self, head: Segment, data: bytes) -> None:
        added_bytes = rounded_to_blocks(head.size + len(data)) - rounded_to_blocks(head.size)
        if self.used_bytes + added_bytes > self.capacity.budget_bytes:
            raise JournalError("journal: the disk budget of the folder is exhausted")
        try:
            self.files.append(head.name, data)
        except OSError as error:
            self._account_failed_append(head)
            raise JournalError(f"journal: {error}") from error
        head.checksum = crc32(data, head.checksum)
        head.size += len(data)
        self.used_bytes += added_bytes
        if self.durability is not None:
            self.durability.record_appended(head.name, self.next_sequence)

    def _account_failed_append(self, head: Segment) -> None:
        """Ends the segment, since its file may have reached a size limit.

        The file may contain part of the record; recovery reads only the size in the next segment's header."""
        head.is_damaged = True
        try:
            file_size = self.files.sizes().get(head.name, 0)
        except OSError:
            return
        if file_size != head.size:
            self.used_bytes += rounded_to_blocks(file_size) - head.disk_bytes
            head.file_size = file_size

    def start_segment(self) -> None:
        """Starts a new head with the list of unfinished ids as its first record. Raises JournalError."""
        previous = self.segments[-1] if self.segments else Segment(0)
        head = Segment(previous.number + 1, salt=int.from_bytes(os.urandom(4), "little"))
        header = Header(head.number, self.next_sequence, previous.size, previous.checksum, head.salt)
        data = header.encode()
        unfinished_ids = self._unfinished_ids_payload()
        if unfinished_ids is not None:
            data += encode_frame(
                head.salt, self.next_sequence, RecordType.UNFINISHED_IDS, b"", unfinished_ids
            )
        self._remove_failed_start(head.name)
        try:
            self._write(head, data)
        except JournalError:
            self._failed_start_bytes = head.disk_bytes
            raise
        head.is_damaged = False
        self.segments.append(head)
        self.next_sequence += unfinished_ids is not None
        self._head_initial_size = head.size

    def _remove_failed_start(self, name: str) -> None:
        """Removes the file that an earlier failed start of this segment left. Raises JournalError."""
        try:
            self.files.unlink(name)
        except FileNotFoundError:
            pass
        except OSError as error:
            raise JournalError(f"journal: {error}") from error
        self.used_bytes -= self._failed_start_bytes
        self._failed_start_bytes = 0

    def _unfinished_ids_payload(self) -> bytes | None:
        """Return the ids of all unfinished messages by intake; None if there are too many to list."""
        unfinished = self.messages.unfinished
        if len(unfinished) > MAX_UNFINISHED_IDS:
            return None
        ids_by_origin: dict[str, list[str]] = {}
        for message_id, origin in unfinished.items():
            ids_by_origin.setdefault(origin, []).append(message_id)
        payload = encode_payload(ids_by_origin)
        if len(payload) > self.capacity.segment_bytes // UNFINISHED_IDS_SEGMENT_DIVISOR:
            return None
        return payload

    # -- locations of snapshots --------------------------------------------------------------------------

    def assign_to_head(self, message_id: str) -> None:
        """Registers that the latest snapshot of a message is in the head."""
        previous = self.segment_of.get(message_id)
        if previous is not None:
            previous.live_ids.pop(message_id, None)
        self.segment_of[message_id] = self.segments[-1]
        self.segments[-1].live_ids[message_id] = None

    def remove(self, message_id: str) -> None:
        """Removes a message, whose snapshot is no longer copied."""
        self.segment_of.pop(message_id).live_ids.pop(message_id, None)

    # -- removing segments -------------------------------------------------------------------------------

    def retire_oldest(self) -> None:
        """Removes the oldest segment, all of whose live messages have been copied. Raises JournalError.

        If the log is synced, the file is unlinked only once the copies are durable."""
        oldest = self.segments[0]
        if self.durability is None:
            self._unlink(oldest)
            self.segments.popleft()
        else:
            self.segments.popleft()
            self.retiring_bytes += oldest.disk_bytes
            self.durability.call_when_durable(lambda: self._unlink_retired(oldest))

    def _unlink_retired(self, segment: Segment) -> None:
        self.retiring_bytes -= segment.disk_bytes
        try:
            self._unlink(segment)
        except JournalError as error:  # its space is lost until the next start finds the file
            log.error(LogEvent("journal segment removal failed", why=error))

    def _unlink(self, segment: Segment) -> None:
        try:
            self.files.unlink(segment.name)
        except FileNotFoundError:
            pass  # removed by another program
        except OSError as error:
            raise JournalError(f"journal: {error}") from error
        self.used_bytes -= segment.disk_bytes

    def retire_or_quarantine_oldest(self) -> None:
        """Removes the oldest segment, or renames its file if it is damaged and there is space for it.

        Raises JournalError."""
        oldest = self.segments[0]
        size = oldest.disk_bytes
        has_space = sum(self.quarantined.values()) + size <= self.capacity.budget_bytes // QUARANTINE_DIVISOR
        if not (oldest.is_damaged and has_space):
            self.retire_oldest()
            return
        quarantine_name = QUARANTINE_PREFIX + oldest.name
        try:
            self.files.rename(oldest.name, quarantine_name)
        except OSError as error:
            raise JournalError(f"journal: {error}") from error
        self.segments.popleft()
        self.quarantined[quarantine_name] = size

    def drop_quarantined(self, name: str) -> None:
        """Removes the file of a damaged segment because its space is needed. Raises JournalError."""
        log.error(LogEvent("journal quarantined segment dropped", name=name))
        try:
            self.files.unlink(name)
        except OSError as error:
            raise JournalError(f"journal: {error}") from error
        self.used_bytes -= self.quarantined.pop(name)
