"""What a voter's log leaves on its disk: whether it is believed at a start, and that it lies there before a
word about it goes out.

pysyncobj 0.3.17 writes votes and entries but leaves them to the page cache, takes a vote that can't be read
for none, walks its journal by whatever sizes stand there, and keeps an entry in memory whose write has
failed. So its files are checked before it is begun, synced before its messages go out, and it is ended at
the first turn that fails: what lies on the disk counts, not what was in memory.
"""

from __future__ import annotations

import contextlib
import hashlib
import os
import pickle
import struct
from pathlib import Path
from typing import Any

JOURNAL, DUMP, META = "raft.journal", "raft.dump", "raft.journal.meta"
HEAD = 40  # its name, its version, the form, and where the last record ends
NAME, FORM = b"PYSYNCOBJ", 1
SIZE, PLACE, HEADER = struct.Struct("<I"), struct.Struct("<QQ"), struct.Struct("<24s8sII")
SEAL = 8


class TornWriteError(Exception):
    """What lies there can't be believed."""


def with_checksum(raw: bytes) -> bytes:
    """A command as it goes into the log: the journal has no sums of its own."""
    return hashlib.sha256(raw).digest()[:SEAL] + raw


def verified_payload(raw: bytes) -> bytes:
    """Raises Torn."""
    if hashlib.sha256(raw[SEAL:]).digest()[:SEAL] != raw[:SEAL]:
        raise TornWriteError("an entry of its log has another sum")
    return raw[SEAL:]


def parse_journal(raw: bytes) -> list[tuple[int, int, bytes]]:
    """Number, term and command of each record of a journal. Raises Torn."""
    if len(raw) < HEAD:
        raise TornWriteError(f"its journal is {len(raw)} bytes long")
    name, _, form, last = HEADER.unpack(raw[:HEAD])
    if name.rstrip(b"\0") != NAME or form != FORM:
        raise TornWriteError("its journal is of another form")
    if not HEAD <= last <= len(raw):
        raise TornWriteError(f"its journal ends at {last} of {len(raw)} bytes")
    found: list[tuple[int, int, bytes]] = []
    at = HEAD
    while at < last:
        size = SIZE.unpack_from(raw, at)[0] if at + SIZE.size <= last else 0
        ends = at + size + 2 * SIZE.size
        if size <= PLACE.size or ends > last or SIZE.unpack_from(raw, ends - SIZE.size)[0] != size:
            raise TornWriteError(f"its journal is torn at byte {at}")
        number, term = PLACE.unpack_from(raw, at + SIZE.size)
        if found and (number != found[-1][0] + 1 or term < found[-1][1]):
            raise TornWriteError(f"its journal has entry {number} of term {term} after {found[-1][:2]}")
        found.append((number, term, raw[at + SIZE.size + PLACE.size : ends - SIZE.size]))
        at = ends
    return found


def parse_vote(raw: bytes) -> dict[str, Any]:
    """What was kept of the latest term and vote. Raises Torn."""
    try:
        told = pickle.loads(raw)
    except Exception as error:  # whatever a torn pickle makes of itself
        raise TornWriteError(f"its vote can't be read: {error!r}") from error
    if not isinstance(told, dict) or not isinstance(told.get("currentTerm", 0), int):
        raise TornWriteError("its vote can't be read")
    return told


def verify_log(folder: Path) -> None:
    """Raises Torn where a log that lies there can't be believed, OSError where it can't be read."""
    try:
        found = parse_journal((folder / JOURNAL).read_bytes())
    except FileNotFoundError:
        return
    latest = found[-1][1] if found else 0
    try:
        term = parse_vote((folder / META).read_bytes()).get("currentTerm", 0)
    except FileNotFoundError:
        term = 0
    if term < latest:
        raise TornWriteError(f"its vote is of term {term} and its journal of term {latest}")


def remove_log(folder: Path) -> None:
    """As if it had never voted. Raises OSError."""
    for name in (JOURNAL, DUMP, META):
        (folder / name).unlink(missing_ok=True)


class RaftStorage:
    """Knows whether the log has written since it was synced last, by two short reads."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.synced: tuple[Any, ...] = ()

    def state(self) -> tuple[Any, ...]:
        """Raises OSError. The journal is written through a mapping: reads see it at once, and its times don't
        tell."""
        meta = None
        with contextlib.suppress(FileNotFoundError):
            told = os.stat(self.folder / META)
            meta = told.st_ino, told.st_mtime_ns
        handle = os.open(self.folder / JOURNAL, os.O_RDONLY)
        try:
            last = HEADER.unpack(os.pread(handle, HEAD, 0))[3]
            size = SIZE.unpack(os.pread(handle, SIZE.size, last - SIZE.size))[0] if last > HEAD else 0
            record = os.pread(handle, PLACE.size, last - size - SIZE.size) if last > HEAD else b""
        finally:
            os.close(handle)
        return meta, last, record

    def has_unsynced_writes(self) -> bool:
        return self.state() != self.synced

    def sync(self) -> None:
        """Blocks until it is on the disk: not for the loop. Raises OSError."""
        state = self.state()
        for name in (JOURNAL, META, "."):
            with contextlib.suppress(FileNotFoundError):
                handle = os.open(self.folder / name, os.O_RDONLY)
                try:
                    os.fsync(handle)
                finally:
                    os.close(handle)
        self.synced = state
