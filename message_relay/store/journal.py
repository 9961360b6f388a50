"""The journal: a write-ahead log of accepted messages, their attempts and outcomes.

A record is appended before what it states is promised. The oldest segment is freed by copying what is still
needed of it to the head and then unlinking its file. So the directory holds one contiguous piece of the log
at each moment, and reading it in order gives the latest state of each message: a kill at any point leaves a
message in both places or in one (docs/design/store.md).

| module | job |
| --- | --- |
| journal.py | the write path: what each record changes in memory and on the disk |
| segment_log.py | appends to segments, starts and removes them |
| compaction.py | copies what is still needed of old segments |
| capacity.py | whether there is space, and how much to copy when |
| recovery.py | reads the log back at a start |"""

from __future__ import annotations

import asyncio
import errno
import heapq
import logging
from pathlib import Path

from ..structured_logging import LogEvent
from .capacity import DiskCapacity, max_disk_bytes
from .compaction import Compactor
from .durability import Durability
from .errors import JournalError, JournalFullError, UnsupportedFormatError
from .file_store import DirectoryFileStore, FileStore
from .records import (
    AttemptRecord,
    FinalOutcomeRecord,
    JournalEntry,
    MessageTable,
    RecordType,
    apply_record,
    encode_payload,
    encode_snapshot,
)
from .recovery import RecoveredState, recover
from .segment_log import SegmentLog
from .segments import Segment
from .upgrade import upgrade

log = logging.getLogger(__name__)

MAX_ENDPOINT_NAME_CHARS = 200  # of an endpoint's name in a record: longer ones are cut
# Errors of the file system that free space does not cure: the start fails with them.
FATAL_ERRNOS = (errno.EACCES, errno.EPERM, errno.EROFS, errno.ENOENT, errno.ENOTDIR)
MAX_LOGGED_FINDINGS = 20  # `journal verify` prints all
PERIODIC_COPY_PART = 8  # `compact` counts as so much of a segment written


class Journal:
    """All accepted messages, in memory and on the disk.

    `entries` holds each message by its id. Methods named `append_...` write a record and apply it to the
    entry; they raise JournalError if it can't be written."""

    def __init__(
        self, folder: Path, disk_bytes: int, files: FileStore | None = None, sync_ms: float | None = None
    ) -> None:
        """Recovers what an earlier process left.

        `disk_bytes`: budget of the directory, for the journal; `sync_ms`: see durability.py, None: no
        syncs. Raises UnsupportedFormatError; OSError if the directory can't be used."""
        self.files: FileStore = files or DirectoryFileStore(folder)
        self.durability: Durability | None = None
        if sync_ms is not None:
            self.durability = Durability(self.files, sync_ms)
            self.durability.on_sync_failed = self._rewrite_after_failed_sync
        self.capacity = DiskCapacity(disk_bytes)
        self.messages = MessageTable()
        self.entries = self.messages.entries
        self.log = SegmentLog(self.files, self.capacity, self.messages, self.durability)
        self.compactor = Compactor(self.log, self.messages, self.capacity)
        self.retained: list[tuple[float, str]] = []  # heap of finished messages: kept until when, and id
        self.overdue: dict[str, None] = {}  # messages of which memory knows more than the disk
        self.findings: list[str] = []  # damage that was found when this process started
        self._restore()

    @property
    def budget_bytes(self) -> int:
        """The most that the journal may occupy on the disk."""
        return self.capacity.budget_bytes

    @property
    def disk_bytes(self) -> int:
        """Bytes on the disk, in whole blocks."""
        return self.log.used_bytes

    @property
    def live_bytes(self) -> int:
        """Upper bound of what all known messages would occupy if each was written again."""
        return self.messages.total_bytes

    @property
    def written_bytes(self) -> int:
        """Bytes of records since the start, without copies."""
        return self.log.written_bytes

    @property
    def copied_bytes(self) -> int:
        """Bytes that compaction has copied since the start."""
        return self.log.copied_bytes

    # -- records -----------------------------------------------------------------------------------------

    def append_accepted(self, entry: JournalEntry) -> None:
        """Adds a message; must come before the client's answer. Raises JournalFullError if none fits."""
        size = max_disk_bytes(entry)
        if not self.capacity.can_accept(self.live_bytes, size):
            self._remove_finished()
            if not self.capacity.can_accept(self.live_bytes, size):
                raise JournalFullError("no room for another message")
        if self.overdue:
            self.write_overdue()  # raises if the disk does not accept it: then it accepts nothing new either
        self.log.append(RecordType.ACCEPTED, entry.id, encode_snapshot(entry))
        self._update_table(entry)
        self.log.assign_to_head(entry.id)
        self.compactor.compact_some()

    def append_attempt(
        self,
        entry: JournalEntry,
        started_at_ms: float,
        endpoint: str,
        zone: int,
        uptime_ms: float = -1.0,
    ) -> None:
        """Records an attempt; must come before its first byte is sent.

        Times are stored in whole ms, rounded down: a window that is measured from them ends no later."""
        record = AttemptRecord(int(started_at_ms), endpoint[:MAX_ENDPOINT_NAME_CHARS], zone, int(uptime_ms))
        self._record(entry, RecordType.ATTEMPT, encode_payload(record))

    def append_outcome(self, entry: JournalEntry, may_have_run: bool) -> None:
        """Records that the attempt in flight has ended."""
        self._record(entry, RecordType.OUTCOME, encode_payload(may_have_run))

    def append_final_outcome(
        self, entry: JournalEntry, final_state: str, retry_after_ms: float = 0.0
    ) -> None:
        """Records the final outcome; must come before anybody is notified of it.

        If it can't be written, the message is in `overdue` until `write_overdue`."""
        record = FinalOutcomeRecord(final_state, retry_after_ms)
        self._record(entry, RecordType.FINAL_OUTCOME, encode_payload(record))

    def append_notified(self, message_ids: list[str]) -> None:
        """Records that the outcome of these messages was reported; ids that are not known are ignored."""
        failure: JournalError | None = None
        for message_id in message_ids:
            try:
                if message_id in self.entries:
                    self._record(self.entries[message_id], RecordType.NOTIFIED, b"")
            except JournalError as error:  # it holds in memory, and for the others too
                failure = error
        if failure is not None:
            raise failure

    def append_cancelled(self, entry: JournalEntry) -> None:
        """Records that a message is dropped, and removes it."""
        self._record(entry, RecordType.CANCELLED, b"")

    def write_overdue(self) -> None:
        """Writes what could not be written when it happened. Raises JournalError if it still can't be."""
        for message_id in list(self.overdue):
            entry = self.entries.get(message_id)
            if entry is None:
                self.log.append(RecordType.CANCELLED, message_id, b"")
            else:
                self.compactor.copy(entry)
            del self.overdue[message_id]

    def compact(self, now: float) -> None:
        """Periodic work: removes finished messages past their deadline, and compacts a part of the log.

        Until then a resubmitted id gets its answer again. `now`: Unix ms. Failures are logged."""
        while self.retained and self.retained[0][0] < now:
            _, message_id = heapq.heappop(self.retained)
            entry = self.entries.get(message_id)
            if entry is not None and not entry.is_unfinished and entry.deadline_ms < now:
                self._remove(message_id)
        try:
            self.write_overdue()
            self.compactor.compact_some(self.capacity.segment_bytes // PERIODIC_COPY_PART)
        except JournalError as error:
            log.error(LogEvent("journal compaction failed", why=error))

    def barrier(self) -> asyncio.Future[None] | None:
        """A future that is done once all that is written may be promised; None: it may be now."""
        return None if self.durability is None else self.durability.barrier()

    def close(self) -> None:
        """Closes the files; nothing can be written afterwards."""
        if self.durability is not None:
            self.durability.close()
        self.files.close()

    # -- memory ------------------------------------------------------------------------------------------

    def _record(self, entry: JournalEntry, kind: RecordType, payload: bytes) -> None:
        """Writes a record and applies it to the entry.

        The change holds in memory also if it can't be written: it is then written later, and what a kill
        leaves is safe, since an attempt without an outcome may have run. An attempt does not: it must not be
        made."""
        if self.entries.get(entry.id) is not entry:
            # Guards the message that has this id now: a late result of a call must not be read as its own.
            if kind is RecordType.ATTEMPT:
                raise JournalError(f"journal: message {entry.id} is over")
            return
        try:
            self.log.append(kind, entry.id, payload)
        except JournalError:
            if kind is not RecordType.ATTEMPT:
                self._apply(entry, kind, payload)
                self.overdue[entry.id] = None
            raise
        self._apply(entry, kind, payload)
        self.compactor.compact_some()

    def _apply(self, entry: JournalEntry, kind: RecordType, payload: bytes) -> None:
        if kind is RecordType.CANCELLED:
            self._remove(entry.id)
            return
        apply_record(entry, kind, payload)
        if kind in (RecordType.FINAL_OUTCOME, RecordType.NOTIFIED) and entry.id in self.entries:
            self._update_table(entry)

    def _update_table(self, entry: JournalEntry) -> None:
        self.messages.put(entry, max_disk_bytes(entry))
        if not entry.is_unfinished:
            heapq.heappush(self.retained, (entry.deadline_ms, entry.id))

    def _remove(self, message_id: str) -> None:
        self.messages.remove(message_id)
        self.log.remove(message_id)

    def _remove_finished(self) -> None:
        """Removes all finished messages before their time, to make space for a new one."""
        for _, message_id in self.retained:
            if message_id in self.entries and not self.entries[message_id].is_unfinished:
                self._remove(message_id)
        self.retained.clear()

    # -- start and repair --------------------------------------------------------------------------------

    def _restore(self) -> None:
        state = self._read_state()
        self.log.load(state)
        for entry in state.entries.values():
            self._update_table(entry)
            self.log.segment_of.setdefault(entry.id, Segment(0))  # one of which only the id is left
        self.findings = state.findings
        if state.torn_bytes:
            log.warning(LogEvent("journal torn write dropped", bytes=state.torn_bytes))
        for text in state.findings[:MAX_LOGGED_FINDINGS]:
            log.error(LogEvent("journal damage found", what=text, of=len(state.findings)))
        self._start_first_segment()

    def _read_state(self) -> RecoveredState:
        try:
            state = recover(self.files)
        except UnsupportedFormatError as error:
            raise UnsupportedFormatError(
                f"journal: {error}: start one that does, or name another folder"
            ) from None
        upgrade(self.files, state)
        for name in state.empty_files:
            self.files.unlink(name)
        return state

    def _start_first_segment(self) -> None:
        """Starts this process's first segment; one that can't be started has new messages rejected."""
        try:
            self.log.start_segment()
            if self.findings:
                self.compactor.rewrite_all()
        except JournalError as error:
            if isinstance(error.__cause__, OSError) and error.__cause__.errno in FATAL_ERRNOS:
                raise error.__cause__ from None
            log.error(LogEvent("journal segment start failed", why=error))
            if not self.log.segments:
                self.log.segments.append(Segment(0, is_damaged=True))
            self.log.segments[-1].is_damaged = True

    def _rewrite_after_failed_sync(self) -> None:
        try:
            self.log.start_segment()
            self.compactor.rewrite_all()
        except JournalError as error:
            log.error(LogEvent("journal rewrite failed", why=error))
