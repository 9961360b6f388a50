"""The journal: a write-ahead log of accepted messages, their attempts and outcomes.

A record is appended before anything that it states is promised. The oldest segment is freed by copying its
live messages to the head and then unlinking its file. So the directory always contains one contiguous part of
the log, and reading it in order yields the latest state of each message: a kill at any point leaves a message
in both segments or in one of them (docs/design/store.md).

| module | responsibility |
| --- | --- |
| journal.py | the write path: the effect of each record in memory and on the disk |
| segment_log.py | appends to segments, starts and removes them |
| compaction.py | copies live messages out of old segments |
| capacity.py | the disk budget, and how much to copy when |
| recovery.py | reads the log at the start of a process |"""

from __future__ import annotations

import asyncio
import errno
import heapq
import logging
from collections import OrderedDict
from pathlib import Path

from ..structured_logging import LogEvent
from .capacity import MESSAGE_OBJECT_BYTES, DiskCapacity, max_disk_bytes
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

MAX_ENDPOINT_NAME_CHARS = 200  # endpoint names in records are truncated to this
# File system errors that freeing space does not fix: the start fails with them.
FATAL_ERRNOS = (errno.EACCES, errno.EPERM, errno.EROFS, errno.ENOENT, errno.ENOTDIR)
MAX_LOGGED_FINDINGS = 20  # `journal verify` prints all of them
PERIODIC_COPY_DIVISOR = 8  # `compact` counts as a write of a segment divided by this
# How long, and how many, finished messages are retained whose source may still deliver them again. If one is
# delivered again later, it is accepted as a new message: no attempt of it was made.
HANDOVER_RETENTION_MS = 3_600_000.0
MAX_RETAINED_HANDOVERS = 512
# The heap of finished messages is rebuilt once it has so many entries for each of them, and these more.
STALE_HEAP_FACTOR = 2
MIN_STALE_HEAP_ENTRIES = 64


class Journal:
    """All accepted messages, in memory and on the disk.

    `entries` maps each id to its message. Methods named `append_...` write a record and apply it to the
    entry; they raise JournalError if the record can't be written."""

    def __init__(
        self,
        folder: Path,
        disk_bytes: int,
        files: FileStore | None = None,
        sync_ms: float | None = None,
        memory_bytes: int | None = None,
    ) -> None:
        """Recovers the journal of an earlier process.

        `disk_bytes`: the journal's budget in the directory; `sync_ms`: see durability.py, None: no syncs;
        `memory_bytes`: the limit for all known messages in memory, None: no limit.
        Raises UnsupportedFormatError; OSError if the directory can't be used."""
        self.files: FileStore = files or DirectoryFileStore(folder)
        self.durability: Durability | None = None
        if sync_ms is not None:
            self.durability = Durability(self.files, sync_ms)
            self.durability.on_sync_failed = self._rewrite_after_failed_sync
        self.capacity = DiskCapacity(disk_bytes)
        self.memory_limit_bytes = memory_bytes
        self.messages = MessageTable()
        self.entries = self.messages.entries
        self.log = SegmentLog(self.files, self.capacity, self.messages, self.durability)
        self.compactor = Compactor(self.log, self.messages, self.capacity)
        self.retained: list[tuple[float, str]] = []  # heap of finished messages: (expiry, id)
        self.finished: OrderedDict[str, None] = OrderedDict()  # finished messages, first finished first
        self.retained_handovers: dict[str, None] = {}  # finished messages that await their handover, in order
        self.overdue: dict[str, None] = {}  # messages whose latest state is not on the disk
        self.findings: list[str] = []  # damage found at the start of this process
        self._restore()

    @property
    def budget_bytes(self) -> int:
        """The maximum that the journal may occupy on the disk."""
        return self.capacity.budget_bytes

    @property
    def disk_bytes(self) -> int:
        """Bytes on the disk, in whole blocks."""
        return self.log.used_bytes

    @property
    def live_bytes(self) -> int:
        """Upper bound for the size of all known messages if each was rewritten."""
        return self.messages.total_bytes

    @property
    def memory_bytes(self) -> int:
        """Estimate of the memory that all known messages take."""
        return self.live_bytes + len(self.entries) * MESSAGE_OBJECT_BYTES

    @property
    def written_bytes(self) -> int:
        """Bytes of records written since the start, without copies."""
        return self.log.written_bytes

    @property
    def copied_bytes(self) -> int:
        """Bytes that compaction has copied since the start."""
        return self.log.copied_bytes

    def _has_room(self, size: int) -> bool:
        """Return whether another message of this size on the disk fits, on the disk and in memory."""
        if self._exceeds_memory(size + MESSAGE_OBJECT_BYTES):
            return False
        return self.capacity.can_accept(self.live_bytes, size)

    def _exceeds_memory(self, added_bytes: int) -> bool:
        limit_bytes = self.memory_limit_bytes
        return limit_bytes is not None and self.memory_bytes + added_bytes > limit_bytes

    # -- records -----------------------------------------------------------------------------------------

    def append_accepted(self, entry: JournalEntry) -> None:
        """Adds a message; call it before answering the client. Raises JournalFullError if it does not fit."""
        size = max_disk_bytes(entry)
        while not self._has_room(size):
            if not self.finished:
                raise JournalFullError("no space for another message")
            self._remove(next(iter(self.finished)))
        if self.overdue:
            self.write_overdue()  # raises if it fails: then no new message is accepted either
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
        """Records an attempt; call it before the first byte is sent.

        Times are stored in whole ms, rounded down, so that a window measured from them never ends later than
        the real one."""
        record = AttemptRecord(int(started_at_ms), endpoint[:MAX_ENDPOINT_NAME_CHARS], zone, int(uptime_ms))
        self._record(entry, RecordType.ATTEMPT, encode_payload(record))

    def append_outcome(self, entry: JournalEntry, may_have_run: bool) -> None:
        """Records that the attempt in flight has ended."""
        self._record(entry, RecordType.OUTCOME, encode_payload(may_have_run))

    def append_handed_over(self, entry: JournalEntry) -> None:
        """Records that the source of a message has given up its copy; call it before the first attempt."""
        self._record(entry, RecordType.HANDED_OVER, b"")

    def append_final_outcome(
        self, entry: JournalEntry, final_state: str, retry_after_ms: float = 0.0
    ) -> None:
        """Records the final outcome; call it before the platform or a client is notified.

        If it can't be written, the message is in `overdue` until `write_overdue` succeeds."""
        record = FinalOutcomeRecord(final_state, retry_after_ms)
        self._record(entry, RecordType.FINAL_OUTCOME, encode_payload(record))

    def append_notified(self, message_ids: list[str]) -> None:
        """Records that the platform was notified of these outcomes; unknown ids are ignored."""
        failure: JournalError | None = None
        for message_id in message_ids:
            try:
                if message_id in self.entries:
                    self._record(self.entries[message_id], RecordType.NOTIFIED, b"")
            except JournalError as error:  # the change is applied in memory; continue with the other ids
                failure = error
        if failure is not None:
            raise failure

    def append_cancelled(self, entry: JournalEntry) -> None:
        """Records that a message is cancelled, and removes it."""
        self._record(entry, RecordType.CANCELLED, b"")

    def write_overdue(self) -> None:
        """Writes the changes that could not be written earlier. Raises JournalError if that fails again."""
        for message_id in list(self.overdue):
            entry = self.entries.get(message_id)
            if entry is None:
                self.log.append(RecordType.CANCELLED, message_id, b"")
            else:
                self.compactor.copy(entry)
            del self.overdue[message_id]

    def compact(self, now: float) -> None:
        """Periodic work: removes finished messages after their deadline, and compacts a part of the log.

        Until its deadline, a resubmission of a finished message gets the same answer again; a message that
        awaits its handover is retained for longer. `now`: Unix ms. Failures are logged."""
        while self.retained and self.retained[0][0] < now:
            _, message_id = heapq.heappop(self.retained)
            entry = self.entries.get(message_id)
            if entry is not None and not entry.is_unfinished and _retained_until_ms(entry) < now:
                self._remove(message_id)
        while len(self.retained_handovers) > MAX_RETAINED_HANDOVERS:
            self._remove(next(iter(self.retained_handovers)))
        try:
            self.write_overdue()
            self.compactor.compact_some(self.capacity.segment_bytes // PERIODIC_COPY_DIVISOR)
        except JournalError as error:
            log.error(LogEvent("journal compaction failed", why=error))

    def barrier(self) -> asyncio.Future[None] | None:
        """Return a future that completes once all written records may be promised; None: they already may."""
        return None if self.durability is None else self.durability.barrier()

    def close(self) -> None:
        """Closes the files; later writes fail."""
        if self.durability is not None:
            self.durability.close()
        self.files.close()

    # -- state in memory ---------------------------------------------------------------------------------

    def _record(self, entry: JournalEntry, kind: RecordType, payload: bytes) -> None:
        """Writes a record and applies it to the entry.

        If the write fails, the change still applies in memory and is written later. A kill in between is
        safe, since an attempt without a recorded outcome counts as one that may have run. The exception is
        the record of an attempt: it is not applied, and the attempt must not be made."""
        if self.entries.get(entry.id) is not entry:
            # Protects a later message with the same id: the late result of an earlier call is not its own.
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
        if (
            kind in (RecordType.FINAL_OUTCOME, RecordType.NOTIFIED, RecordType.HANDED_OVER)
            and entry.id in self.entries
        ):
            self._update_table(entry)

    def _update_table(self, entry: JournalEntry) -> None:
        self.messages.put(entry, max_disk_bytes(entry))
        if entry.is_unfinished:
            return
        if len(self.retained) > STALE_HEAP_FACTOR * len(self.finished) + MIN_STALE_HEAP_ENTRIES:
            self._rebuild_retained()
        heapq.heappush(self.retained, (_retained_until_ms(entry), entry.id))
        self.finished[entry.id] = None
        if entry.awaits_handover:
            self.retained_handovers[entry.id] = None

    def _rebuild_retained(self) -> None:
        """Drops the heap's entries of messages that were removed early."""
        entries = (self.entries[message_id] for message_id in self.finished)
        self.retained = [(_retained_until_ms(entry), entry.id) for entry in entries]
        heapq.heapify(self.retained)

    def _remove(self, message_id: str) -> None:
        self.retained_handovers.pop(message_id, None)
        self.finished.pop(message_id, None)
        self.messages.remove(message_id)
        self.log.remove(message_id)

    # -- start and repair --------------------------------------------------------------------------------

    def _restore(self) -> None:
        state = self._read_state()
        self.log.load(state)
        for entry in state.entries.values():
            self._update_table(entry)
            self.log.segment_of.setdefault(entry.id, Segment(0))  # only the id is left of such a message
        while self._exceeds_memory(0) and self.finished:
            self._remove(next(iter(self.finished)))
        self.findings = state.findings
        if state.torn_bytes:
            log.warning(LogEvent("journal torn write dropped", bytes=state.torn_bytes))
        for text in state.findings[:MAX_LOGGED_FINDINGS]:
            log.error(LogEvent("journal damage found", what=text, of=len(state.findings)))
        self._start_first_segment()

    def _read_state(self) -> RecoveredState:
        try:
            state = recover(self.files, self.memory_limit_bytes)
        except UnsupportedFormatError as error:
            raise UnsupportedFormatError(
                f"journal: {error}: start one that does, or name another folder"
            ) from None
        upgrade(self.files, state)
        for name in state.empty_files:
            self.files.unlink(name)
        return state

    def _start_first_segment(self) -> None:
        """Starts this process's first segment; if that fails, new messages are rejected."""
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


def _retained_until_ms(entry: JournalEntry) -> float:
    """Returns until when a finished message is retained, in Unix ms."""
    return entry.deadline_ms + (HANDOVER_RETENTION_MS if entry.awaits_handover else 0.0)
