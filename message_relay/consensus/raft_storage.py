"""The files of a voter's log: whether they can be trusted at the start, and when they have to be synced.

pysyncobj 0.3.17 writes votes and entries but does not sync them, treats an unreadable vote as no vote, does
not check the record sizes in its journal, and retains an entry in memory whose write has failed. So its files
are checked before it is started and synced before its messages are sent, and it is stopped at the first turn
that fails: only the state on disk counts, not the state in memory.
"""

from __future__ import annotations

import contextlib
import hashlib
import os
import pickle
import struct
from pathlib import Path
from typing import Any, NamedTuple

JOURNAL, DUMP, META = "raft.journal", "raft.dump", "raft.journal.meta"
JOURNAL_NAME, JOURNAL_FORMAT = b"PYSYNCOBJ", 1
# Name, version of the library, format, and end offset of the last record.
HEADER = struct.Struct("<24s8sII")
RECORD_SIZE = struct.Struct("<I")  # before and after each record
RECORD_POSITION = struct.Struct("<QQ")  # number and term of an entry
CHECKSUM_BYTES = 8  # before each command


class TornWriteError(Exception):
    """A file of the log is damaged."""


class JournalRecord(NamedTuple):
    """One entry of the log."""

    number: int
    term: int
    command: bytes


class WrittenState(NamedTuple):
    """Values of which one changes with each write of the log; compared to decide whether to sync."""

    meta: tuple[int, int] | None  # inode and modification time
    journal_end: int
    last_position: bytes


def with_checksum(raw: bytes) -> bytes:
    """Return a command as it is stored in the log: the journal has no checksums of its own."""
    return hashlib.sha256(raw).digest()[:CHECKSUM_BYTES] + raw


def verified_payload(raw: bytes) -> bytes:
    """Return the command of a log entry. Raises TornWriteError if its checksum is wrong."""
    payload = raw[CHECKSUM_BYTES:]
    if hashlib.sha256(payload).digest()[:CHECKSUM_BYTES] != raw[:CHECKSUM_BYTES]:
        raise TornWriteError("an entry of its log has a wrong checksum")
    return payload


def _journal_end(raw: bytes) -> int:
    """Return the end offset of the last record, from the header. Raises TornWriteError."""
    if len(raw) < HEADER.size:
        raise TornWriteError(f"its journal is {len(raw)} bytes long")
    name, _, journal_format, end = HEADER.unpack(raw[: HEADER.size])
    if name.rstrip(b"\0") != JOURNAL_NAME or journal_format != JOURNAL_FORMAT:
        raise TornWriteError("its journal has an unknown format")
    if not HEADER.size <= end <= len(raw):
        raise TornWriteError(f"its journal ends at {end} of {len(raw)} bytes")
    return int(end)


def parse_journal(raw: bytes) -> list[JournalRecord]:
    """Return all records of a journal. Raises TornWriteError."""
    journal_end = _journal_end(raw)
    records: list[JournalRecord] = []
    offset = HEADER.size
    while offset < journal_end:
        size = RECORD_SIZE.unpack_from(raw, offset)[0] if offset + RECORD_SIZE.size <= journal_end else 0
        record_end = offset + size + 2 * RECORD_SIZE.size
        size_after = record_end - RECORD_SIZE.size
        is_too_short = size <= RECORD_POSITION.size
        if is_too_short or record_end > journal_end or RECORD_SIZE.unpack_from(raw, size_after)[0] != size:
            raise TornWriteError(f"its journal is torn at byte {offset}")
        position = offset + RECORD_SIZE.size
        number, term = RECORD_POSITION.unpack_from(raw, position)
        if records and (number != records[-1].number + 1 or term < records[-1].term):
            previous = (records[-1].number, records[-1].term)
            raise TornWriteError(f"its journal has entry {number} of term {term} after {previous}")
        records.append(JournalRecord(number, term, raw[position + RECORD_POSITION.size : size_after]))
        offset = record_end
    return records


def parse_vote(raw: bytes) -> dict[str, Any]:
    """Decode the saved term and vote. Raises TornWriteError."""
    try:
        saved = pickle.loads(raw)
    except Exception as error:  # a torn pickle may raise any exception
        raise TornWriteError(f"its vote can't be read: {error!r}") from error
    if not isinstance(saved, dict) or not isinstance(saved.get("currentTerm", 0), int):
        raise TornWriteError("its vote can't be read")
    return saved


def verify_log(folder: Path) -> None:
    """Raises TornWriteError if the log in a folder is damaged, OSError if it can't be read."""
    try:
        records = parse_journal((folder / JOURNAL).read_bytes())
    except FileNotFoundError:
        return
    latest_term = records[-1].term if records else 0
    try:
        vote_term = parse_vote((folder / META).read_bytes()).get("currentTerm", 0)
    except FileNotFoundError:
        vote_term = 0
    if vote_term < latest_term:
        raise TornWriteError(f"its vote is of term {vote_term} and its journal of term {latest_term}")


def remove_log(folder: Path) -> None:
    """Remove all files of the log, as if the instance had never voted. Raises OSError."""
    for name in (JOURNAL, DUMP, META):
        (folder / name).unlink(missing_ok=True)


class RaftStorage:
    """Syncs the log, and detects by two short reads whether it has written since its last sync."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.synced_state: WrittenState | None = None

    def _written_state(self) -> WrittenState:
        """Return the current values. Raises OSError.

        The journal is written through a memory mapping: reads see a write at once, and the modification time
        does not change.
        """
        meta = None
        with contextlib.suppress(FileNotFoundError):
            stat = os.stat(self.folder / META)
            meta = stat.st_ino, stat.st_mtime_ns
        descriptor = os.open(self.folder / JOURNAL, os.O_RDONLY)
        try:
            end = HEADER.unpack(os.pread(descriptor, HEADER.size, 0))[3]
            position = self._last_position(descriptor, end) if end > HEADER.size else b""
        finally:
            os.close(descriptor)
        return WrittenState(meta, end, position)

    @staticmethod
    def _last_position(descriptor: int, end: int) -> bytes:
        """Return the encoded number and term of the last record."""
        size = RECORD_SIZE.unpack(os.pread(descriptor, RECORD_SIZE.size, end - RECORD_SIZE.size))[0]
        return os.pread(descriptor, RECORD_POSITION.size, end - size - RECORD_SIZE.size)

    def has_unsynced_writes(self) -> bool:
        """Whether the log has written since the last `sync`. Raises OSError."""
        return self._written_state() != self.synced_state

    def sync(self) -> None:
        """Block until all writes are on disk; must not run on the event loop. Raises OSError."""
        state = self._written_state()
        for name in (JOURNAL, META, "."):
            with contextlib.suppress(FileNotFoundError):
                descriptor = os.open(self.folder / name, os.O_RDONLY)
                try:
                    os.fsync(descriptor)
                finally:
                    os.close(descriptor)
        self.synced_state = state
