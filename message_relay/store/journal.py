"""What the relay has taken on, kept in its lasting folder: a log in segments, given up from its oldest end.

A record is appended before what it says is promised. The oldest segment is given up by writing what is still
known of its messages anew at the head, and then unlinking it. So what lies in the folder is one piece of the
log at each moment, and reading it in order gives the latest state of each message: a kill at any point
leaves a message either in both places or in one (docs/design/store.md). Whether there is room, and how much
to copy when, is room.py's."""

from __future__ import annotations

import asyncio
import errno
import heapq
import logging
import os
from collections import deque
from pathlib import Path
from zlib import crc32

from ..structured_logging import LogEvent
from . import format_v1
from .capacity import (
    BLOCK_BYTES,
    COPY_SLICE_BYTES,
    MAX_UNFINISHED_IDS,
    NOTIFICATION_RESERVE_BYTES,
    OPEN_MESSAGE_RESERVE_BYTES,
    UNFINISHED_IDS_PER_SEGMENT,
    DiskCapacity,
    rounded_to_blocks,
)
from .durability import Durability
from .file_store import DirectoryFileStore, FileStore
from .record_format import HEADER_BYTES, Header, UnsupportedFormatError, encode_frame, frame_size
from .records import (
    Attempt,
    AttemptRecord,
    FinalOutcomeRecord,
    JournalEntry,
    MessageTable,
    RecordType,
    apply_record,
    encode_payload,
    encode_snapshot,
)
from .recovery import RecoveredState, Segment, recover, segment_name

log = logging.getLogger(__name__)

NAME = 200  # characters of an endpoint's name that are kept
FIXED = 96  # of a snapshot: its numbers, flags and lengths
ASIDE = "aside-"  # a damaged segment, kept for people while there is room
HOPELESS = (errno.EACCES, errno.EPERM, errno.EROFS, errno.ENOENT, errno.ENOTDIR)  # no room helps with these
TOLD = 20  # findings in the log at the most; `journal verify` has all
ASIDE_PART = 8  # such a part of the room they may take together
MADE = "seg.new"  # what takes the place of the old file at one stroke

__all__ = ["Attempt", "JournalEntry", "Journal", "JournalError", "JournalFullError"]


class JournalError(Exception):
    """A record could not be written: what it says must not be promised."""


class JournalFullError(JournalError):
    """The folder's limit leaves no room for another message."""


def space(entry: JournalEntry) -> int:
    """At most what its snapshot takes with all records that may still come; of one that is open, the attempts
    count as such records."""
    names = f"{entry.class_name}{entry.tenant}{entry.key}{entry.resubmission}{entry.origin}"
    payload = FIXED + len(names.encode())
    if not entry.final_state:
        return frame_size(len(entry.id.encode()), payload + len(entry.body)) + OPEN_MESSAGE_RESERVE_BYTES
    if entry.uncertain_attempt is not None:
        payload += 24 + len(entry.uncertain_attempt.endpoint.encode())
    return frame_size(len(entry.id.encode()), payload) + (
        NOTIFICATION_RESERVE_BYTES if entry.needs_notification else 0
    )


class Journal:
    def __init__(
        self, folder: Path, disk_bytes: int, files: FileStore | None = None, sync_ms: float | None = None
    ) -> None:
        """`disk_bytes`: of the folder, for the journal; `sync_ms`: see durability.py, None: no syncs.
        Raises NewerFormat; OSError if the folder can't be used."""
        self.files: FileStore = files or DirectoryFileStore(folder)
        self.durability = None if sync_ms is None else Durability(self.files, sync_ms)
        if self.durability is not None:
            self.durability.on_sync_failed = self._anew
        self.capacity = DiskCapacity(disk_bytes)
        # bytes to begin one, at most
        self.new_segment = (
            2 * BLOCK_BYTES + HEADER_BYTES + self.capacity.segment_bytes // UNFINISHED_IDS_PER_SEGMENT
        )
        self.messages = MessageTable()
        self.entries = self.messages.entries
        self.segment_of: dict[str, Segment] = {}  # where the latest snapshot of each lies
        self.retained: list[
            tuple[float, str]
        ] = []  # heap: ended and told, and until when they are remembered
        self.overdue: dict[str, None] = {}  # messages of which memory knows more than the disk
        self.credit = 0  # bytes that may be copied by now
        self.copied_bytes = self.written_bytes = 0  # bytes, since the start
        self.segments: deque[Segment] = deque()
        self.quarantined: dict[str, int] = {}  # blocks of each damaged segment that is kept
        self.leaving = 0  # of them, in segments that go with the next sync
        self.used = 0  # bytes on the disk, in whole blocks
        self.sequence = 1  # of the next record
        self.began = self.last_written = 0  # bytes: of the head when it was new; `written` at the latest look
        self.findings: list[str] = []  # what was damaged when this process started
        self._restore()

    @property
    def budget_bytes(self) -> int:
        return self.capacity.budget_bytes

    @property
    def disk_bytes(self) -> int:
        """Bytes on the disk, in whole blocks."""
        return self.used

    @property
    def live_bytes(self) -> int:
        return self.messages.total_bytes

    # -- records -----------------------------------------------------------------------------------------

    def append_accepted(self, entry: JournalEntry) -> None:
        """Must come before the client's answer."""
        size = space(entry)
        if not self.capacity.can_accept(self.live_bytes, size):
            self._drop_ended()
            if not self.capacity.can_accept(self.live_bytes, size):
                raise JournalFullError("no room for another message")
        if self.overdue:
            self.write_overdue()  # Raises: the disk does not take what is owed, so that it takes nothing new
        self._append(RecordType.ACCEPTED, entry.id, encode_snapshot(entry))
        self._settle(entry)
        self._move(entry.id)
        self._give_up_some()

    def append_attempt(
        self, entry: JournalEntry, started_at_ms: float, endpoint: str, zone: int, uptime_ms: float = -1.0
    ) -> None:
        """Must come before the attempt's first byte. Times in whole ms, rounded down: a window that runs from
        them ends no later for it."""
        self._record(
            entry,
            RecordType.ATTEMPT,
            encode_payload(AttemptRecord(int(started_at_ms), endpoint[:NAME], zone, int(uptime_ms))),
        )

    def append_outcome(self, entry: JournalEntry, may_have_run: bool) -> None:
        self._record(entry, RecordType.OUTCOME, encode_payload(may_have_run))

    def append_final_outcome(
        self, entry: JournalEntry, final_state: str, retry_after_ms: float = 0.0
    ) -> None:
        """Must come before the end is told: if it can't be written, `behind` names it until `catch_up`."""
        self._record(
            entry, RecordType.FINAL_OUTCOME, encode_payload(FinalOutcomeRecord(final_state, retry_after_ms))
        )

    def append_notified(self, message_ids: list[str]) -> None:
        failed: JournalError | None = None
        for ident in message_ids:
            try:
                if ident in self.entries:
                    self._record(self.entries[ident], RecordType.NOTIFIED, b"")
            except JournalError as error:  # it holds in memory, and for the others too
                failed = error
        if failed is not None:
            raise failed

    def append_cancelled(self, entry: JournalEntry) -> None:
        self._record(entry, RecordType.CANCELLED, b"")

    def write_overdue(self) -> None:
        """Writes what could not be written when it happened. Raises JournalError if it still can't be."""
        for ident in list(self.overdue):
            entry = self.entries.get(ident)
            if entry is None:
                self._append(RecordType.CANCELLED, ident, b"")
            else:
                self._copy(entry)
            del self.overdue[ident]

    def compact(self, now: float) -> None:
        """Forgets the ended whose time is up (until then a repeated id gets its answer again)."""
        while self.retained and self.retained[0][0] < now:
            _, ident = heapq.heappop(self.retained)
            entry = self.entries.get(ident)
            if entry is not None and not entry.is_unfinished and entry.deadline_ms < now:
                self._forget(ident)
        try:
            self.write_overdue()
            self._give_up_some(self.capacity.segment_bytes // 8)
        except JournalError as error:
            log.error(LogEvent("journal: cannot tidy", why=error))

    def barrier(self) -> asyncio.Future[None] | None:
        """Done when all that is written may be promised; None: it may now."""
        return None if self.durability is None else self.durability.barrier()

    def _anew(self) -> None:
        try:
            self._begin()
            self._mend()
        except JournalError as error:
            log.error(LogEvent("journal: cannot be written anew", why=error))

    def close(self) -> None:
        if self.durability is not None:
            self.durability.close()
        self.files.close()

    # -- memory ------------------------------------------------------------------------------------------

    def _record(self, entry: JournalEntry, kind: RecordType, payload: bytes) -> None:
        """The change holds in memory also if it can't be written: it is then written later, and what a kill
        leaves is safe, since a try without an outcome may have run. A try is not: it must not be made."""
        if self.entries.get(entry.id) is not entry:
            # Guards whoever has its id now: a late word of a call must not be read as one of the new message.
            if kind is RecordType.ATTEMPT:
                raise JournalError(f"journal: message {entry.id} is over")
            return
        try:
            self._append(kind, entry.id, payload)
        except JournalError:
            if kind is not RecordType.ATTEMPT:
                self._change(entry, kind, payload)
                self.overdue[entry.id] = None
            raise
        self._change(entry, kind, payload)
        self._give_up_some()

    def _change(self, entry: JournalEntry, kind: RecordType, payload: bytes) -> None:
        if kind is RecordType.CANCELLED:
            self._forget(entry.id)
            return
        apply_record(entry, kind, payload)
        if kind in (RecordType.FINAL_OUTCOME, RecordType.NOTIFIED) and entry.id in self.entries:
            self._settle(entry)

    def _settle(self, entry: JournalEntry) -> None:
        self.messages.put(entry, space(entry))
        if not entry.is_unfinished:
            heapq.heappush(self.retained, (entry.deadline_ms, entry.id))

    def _move(self, ident: str) -> None:
        """Its latest snapshot lies in the head now."""
        before = self.segment_of.get(ident)
        if before is not None:
            before.live_ids.pop(ident, None)
        self.segment_of[ident] = self.segments[-1]
        self.segments[-1].live_ids[ident] = None

    def _forget(self, ident: str) -> None:
        self.messages.remove(ident)
        self.segment_of.pop(ident).live_ids.pop(ident, None)

    def _drop_ended(self) -> None:
        for _, ident in self.retained:
            if ident in self.entries and not self.entries[ident].is_unfinished:
                self._forget(ident)
        self.retained.clear()

    # -- the log -----------------------------------------------------------------------------------------

    def _append(self, kind: RecordType, ident: str, payload: bytes, copying: bool = False) -> None:
        """Raises JournalError; then nothing has changed."""
        name = ident.encode()
        need = frame_size(len(name), len(payload))
        if not copying and self.capacity.must_compact(self.used, need + self.new_segment):
            self._give_up_all(need)
        head = self.segments[-1]
        if head.is_damaged or head.size + need > self.capacity.segment_bytes and head.size > self.began:
            self._begin(copying)
            head = self.segments[-1]
        data = encode_frame(head.salt, self.sequence, kind, name, payload)
        self._put(head, data)
        self.sequence += 1
        if copying:
            self.copied_bytes += need
        else:
            self.written_bytes += need

    def _put(self, head: Segment, data: bytes) -> None:
        more = rounded_to_blocks(head.size + len(data)) - rounded_to_blocks(head.size)
        if self.used + more > self.budget_bytes:
            raise JournalError("journal: the folder's limit is reached")
        try:
            self.files.append(head.name, data)
        except OSError as error:
            # What was written of it may stand there: only what the next segment's header counts is read.
            self._look_at(head)
            head.is_damaged = True  # nothing more goes to this file: its limit may be reached
            raise JournalError(f"journal: {error}") from error
        head.checksum = crc32(data, head.checksum)
        head.size += len(data)
        self.used += more
        if self.durability is not None:
            self.durability.record_appended(head.name, self.sequence)

    def _look_at(self, head: Segment) -> None:
        """After a failed append: does anything of it stand there?"""
        try:
            size = self.files.sizes().get(head.name, 0)
        except OSError:
            head.is_damaged = True
            return
        if size != head.size:
            head.is_damaged = True
            self.used += rounded_to_blocks(size) - head.disk_bytes
            head.file_size = size

    def _begin(self, copying: bool = False) -> None:
        """A new head, with the ids of all that is owed: so that they are known if earlier records are
        lost."""
        before = self.segments[-1] if self.segments else Segment(0)
        new = Segment(before.number + 1, salt=int.from_bytes(os.urandom(4), "little"))
        data = Header(new.number, self.sequence, before.size, before.checksum, new.salt).encode()
        origins: dict[str, list[str]] = {}
        owed = self.messages.unfinished
        for ident, origin in owed.items() if len(owed) <= MAX_UNFINISHED_IDS else ():
            origins.setdefault(origin, []).append(ident)
        census = encode_payload(origins)
        counted = (
            len(owed) <= MAX_UNFINISHED_IDS
            and len(census) <= self.capacity.segment_bytes // UNFINISHED_IDS_PER_SEGMENT
        )
        if counted:
            data += encode_frame(new.salt, self.sequence, RecordType.UNFINISHED_IDS, b"", census)
        try:
            self.files.unlink(new.name)  # what an attempt to begin it has left
        except FileNotFoundError:
            pass
        except OSError as error:
            raise JournalError(f"journal: {error}") from error
        self._put(new, data)
        new.is_damaged = False
        self.segments.append(new)
        self.sequence += counted
        self.began = new.size

    # -- giving up old segments --------------------------------------------------------------------------

    def _copy(self, entry: JournalEntry) -> None:
        self._append(RecordType.ACCEPTED, entry.id, encode_snapshot(entry), copying=True)
        self._move(entry.id)

    def _give_up_some(self, bytes_: int | None = None) -> None:
        """A part in proportion to what was written; a failure costs nothing but the room."""
        written, self.last_written = self.written_bytes - self.last_written, self.written_bytes
        quota = self.capacity.copy_quota(self.used, self.live_bytes, len(self.segments), bytes_ or written)
        if not quota:
            self.credit = 0
            return
        self.credit = min(self.credit + quota, self.capacity.segment_bytes)
        left = COPY_SLICE_BYTES
        try:
            while min(self.credit, left) > 0 and len(self.segments) > 1:
                oldest = self.segments[0]
                ident = next(iter(oldest.live_ids), None)
                if ident is None:
                    self._retire(oldest)
                    return  # a file at a time: each unlink takes a while
                entry = self.entries[ident]
                size = self.messages.sizes[ident]
                if size > self.credit and self.credit < self.capacity.segment_bytes // 2:
                    return  # its turn comes when there is credit for it
                if size > left < COPY_SLICE_BYTES:
                    return
                self.credit -= size
                left -= size
                self._copy(entry)
        except JournalError as error:
            log.error(LogEvent("journal: a segment cannot be given up", why=error))

    def _give_up_all(self, need: int) -> None:
        """As many of the oldest as it takes; those kept for people go first."""
        for name in list(self.quarantined):
            self._drop_aside(name)
        last = self.segments[-1].number
        more = need + self.new_segment
        if self.leaving and not self.capacity.must_compact(self.used - self.leaving, more):
            raise JournalFullError("journal: room comes with the next sync")
        while self.capacity.must_compact(self.used - self.leaving, more) and self.segments[0].number <= last:
            if len(self.segments) == 1:
                self._begin()
            oldest = self.segments[0]
            for ident in list(oldest.live_ids):
                self._copy(self.entries[ident])
            self._retire(oldest)
        if self.capacity.must_compact(self.used, need):
            raise JournalFullError("journal: the folder's limit is reached")

    def _retire(self, oldest: Segment) -> None:
        """What was copied out of it must outlast all that it does not: a power cut too, where that counts."""
        if self.durability is None:
            self._unlink(oldest)
            self.segments.popleft()
        else:
            self.segments.popleft()
            self.leaving += oldest.disk_bytes
            self.durability.call_when_durable(lambda: self._unlink_later(oldest))

    def _unlink_later(self, oldest: Segment) -> None:
        self.leaving -= oldest.disk_bytes
        try:
            self._unlink(oldest)
        except JournalError as error:  # its room is missing until the next start, which finds it
            log.error(LogEvent("journal: a segment cannot be removed", why=error))

    def _unlink(self, oldest: Segment) -> None:
        try:
            self.files.unlink(oldest.name)
        except FileNotFoundError:
            pass  # somebody cleared it away
        except OSError as error:
            raise JournalError(f"journal: {error}") from error
        self.used -= oldest.disk_bytes

    # -- the start ---------------------------------------------------------------------------------------

    def _restore(self) -> None:
        try:
            found = recover(self.files)
        except UnsupportedFormatError as error:
            raise UnsupportedFormatError(
                f"journal: {error}: start one that does, or name another folder"
            ) from None
        self._take_over(found)
        for name in found.empty_files:
            self.files.unlink(name)
        sizes = self.files.sizes()
        self.quarantined = {
            name: rounded_to_blocks(size) for name, size in sizes.items() if name.startswith(ASIDE)
        }
        self.segments.extend(found.segments)
        self.sequence = found.next_sequence
        self.used = sum(self.quarantined.values()) + sum(
            rounded_to_blocks(each.file_size) for each in self.segments
        )
        for segment in self.segments:
            self.segment_of.update(dict.fromkeys(segment.live_ids, segment))
        for entry in found.entries.values():
            self._settle(entry)
            self.segment_of.setdefault(entry.id, Segment(0))  # one of which only the id is left
        self.findings = found.findings
        if found.torn_bytes:
            log.warning(LogEvent("journal: a torn record at its end is dropped", bytes=found.torn_bytes))
        for text in found.findings[:TOLD]:
            log.error(LogEvent("journal: damage", what=text, of=len(found.findings)))
        try:
            self._begin()
            if found.findings:
                self._mend()
        except JournalError as error:  # it refuses new messages until there is room
            if isinstance(error.__cause__, OSError) and error.__cause__.errno in HOPELESS:
                raise error.__cause__ from None
            log.error(LogEvent("journal: cannot begin a segment", why=error))
            if not self.segments:
                self.segments.append(Segment(0, is_damaged=True))
            self.segments[-1].is_damaged = True

    def _take_over(self, found: RecoveredState) -> None:
        """From the one file of earlier versions; it goes once a segment holds all that it said."""
        sizes = self.files.sizes()
        if "journal" in sizes and not found.segments:
            data, whole = self.files.read("journal")
            entries, findings = format_v1.read(data)
            found.findings += [] if whole else ["journal: parts cannot be read from the disk"]
            found.findings += findings
            found.entries.update(entries)
            salt = int.from_bytes(os.urandom(4), "little")
            text = Header(1, 1, 0, 0, salt).encode()
            for n, entry in enumerate(entries.values()):
                text += encode_frame(
                    salt, 1 + n, RecordType.ACCEPTED, entry.id.encode(), encode_snapshot(entry)
                )
            if MADE in sizes:
                self.files.unlink(MADE)
            self.files.append(MADE, text)
            self.files.sync(MADE)
            self.files.rename(MADE, segment_name(1))
            found.segments.append(Segment(1, len(text), len(text), crc32(text), salt, dict.fromkeys(entries)))
            found.next_sequence = 1 + len(entries)
            log.info(LogEvent("journal: taken over from an earlier version", messages=len(entries)))
        for name in (*format_v1.NAMES, MADE):
            if name in self.files.sizes():
                self.files.unlink(name)

    def _mend(self) -> None:
        """Writes all that is known anew, so that the next start finds it well; keeps what was damaged
        aside."""
        for entry in list(self.entries.values()):
            self._copy(entry)
        while len(self.segments) > 1 and self.segments[0].number < self.segments[-1].number:
            oldest = self.segments[0]
            if oldest.live_ids:
                break
            size = oldest.disk_bytes
            if oldest.is_damaged and sum(self.quarantined.values()) + size <= self.budget_bytes // ASIDE_PART:
                try:
                    self.files.rename(oldest.name, ASIDE + oldest.name)
                except OSError as error:
                    raise JournalError(f"journal: {error}") from error
                self.segments.popleft()
                self.quarantined[ASIDE + oldest.name] = size
            else:
                self._retire(oldest)

    def _drop_aside(self, name: str) -> None:
        log.error(LogEvent("journal: a damaged segment is dropped: its room is needed", name=name))
        try:
            self.files.unlink(name)
        except OSError as error:
            raise JournalError(f"journal: {error}") from error
        self.used -= self.quarantined.pop(name)
