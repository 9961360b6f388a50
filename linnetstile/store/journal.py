"""What the relay has taken on, kept in its lasting folder: append-only records, compacted in time.

A record is one line: a checksum and a JSON object. What a line changes is applied by the same code when
it is written and when it is read back. Times in it are Unix milliseconds: no other clock outlasts a process.
"""

from __future__ import annotations

import base64
import json
import logging
import os
import zlib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ..logs import Note

log = logging.getLogger(__name__)

BLOCK = 512  # each file counts in whole blocks
SMALL = 1024  # no record but an accepted message's is longer, nor what they add to its line
SLACK = 64 * BLOCK  # kept free for the records of messages that are held already
ROOMY = 256 * 1024  # a file under this size is left alone


class JournalError(Exception):
    """A record could not be written: what it says must not be promised."""


class JournalFull(JournalError):
    """The folder's limit leaves no room for another message."""


@dataclass(slots=True)
class Attempt:
    at: float  # Unix ms, right before its first byte
    endpoint: str
    zone: int


@dataclass(slots=True)
class Entry:
    """A message taken on: what a client said of it, and what has become of it."""

    id: str
    class_: str
    tenant: str
    dest: int
    key: str | None
    since: float  # Unix ms, when it came in
    due: float
    again: str
    body: bytes
    tries: int = 0
    out: Attempt | None = None
    risk: Attempt | None = None  # the first attempt that may have run
    end: str = ""  # how it ended: delivered, failed, returned or over
    after_ms: float = 0.0
    told: bool = False  # the platform has its notice
    origin: str = "http"  # the front by which it came

    @property
    def owes_notice(self) -> bool:
        return self.end in ("failed", "returned") and not self.told


def encode(record: dict[str, Any]) -> bytes:
    text = json.dumps(record, separators=(",", ":")).encode()
    return b"%08x %s\n" % (zlib.crc32(text), text)


def decode(line: bytes) -> dict[str, Any]:
    """ValueError if it is not a whole record as written."""
    check, _, text = line.partition(b" ")
    if len(check) != 8 or int(check, 16) != zlib.crc32(text):
        raise ValueError("the checksum does not match")
    record = json.loads(text)
    if not isinstance(record, dict):
        raise ValueError("not a record")
    return record


def attempt(raw: list[Any] | None) -> Attempt | None:
    return Attempt(float(raw[0]), str(raw[1]), int(raw[2])) if raw else None


def snapshot(entry: Entry) -> dict[str, Any]:
    """All that is known of a message, as one record; one that has ended needs its body no more."""
    def flat(tried: Attempt | None) -> list[Any] | None:
        return [round(tried.at), tried.endpoint, tried.zone] if tried else None

    return {
        "k": "take", "id": entry.id, "class": entry.class_, "tenant": entry.tenant, "dest": entry.dest,
        "key": entry.key, "since": round(entry.since), "due": round(entry.due), "again": entry.again,
        "tries": entry.tries, "out": flat(entry.out), "risk": flat(entry.risk), "end": entry.end,
        "after": entry.after_ms, "told": entry.told, "from": entry.origin,
        "body": "" if entry.end else base64.b64encode(entry.body).decode(),
    }


class Journal:
    def __init__(self, folder: Path, disk_bytes: int) -> None:
        self.path, self.spare = folder / "journal", folder / "journal.new"
        self.budget = disk_bytes // BLOCK * BLOCK
        self.entries: dict[str, Entry] = {}
        self.sizes: dict[str, int] = {}  # of each entry's line, were it compacted now
        self.live = 0  # their sum
        self.size = 0
        self.spare.unlink(missing_ok=True)  # a compaction that did not get to its rename
        self.file = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)
        self._restore()

    # -- records -----------------------------------------------------------------------------------------

    def take(self, entry: Entry) -> None:
        """Must come before the client's answer."""
        line = encode(snapshot(entry))
        if not self._fits(len(line)):
            self._drop_ended()
            if not self._fits(len(line)):
                raise JournalFull("no room for another message")
        self._make_room(len(line))
        self._write(line)
        self._put(entry)

    def tried(self, entry: Entry, at: float, endpoint: str, zone: int) -> None:
        """Must come before the attempt's first byte."""
        self._record({"k": "try", "id": entry.id, "at": round(at), "ep": endpoint, "zone": zone})

    def outcome(self, entry: Entry, may_have_run: bool) -> None:
        self._record({"k": "out", "id": entry.id, "ran": may_have_run})

    def ended(self, entry: Entry, state: str, after_ms: float = 0.0) -> None:
        self._record({"k": "end", "id": entry.id, "state": state, "after": after_ms})

    def told(self, idents: list[str]) -> None:
        for ident in idents:
            if ident in self.entries:
                self._record({"k": "told", "id": ident})

    def withdrawn(self, entry: Entry) -> None:
        self._record({"k": "drop", "id": entry.id})

    def tidy(self, now: float) -> None:
        """Forgets the ended whose time is up (until then a repeated id gets its answer again)."""
        old = [e for e in self.entries.values() if e.end and not e.owes_notice and e.due < now]
        for entry in old:
            self._forget(entry.id)
        if self.size > max(ROOMY, 4 * self.live):
            self._compact()

    def close(self) -> None:
        os.close(self.file)
        self.file = -1  # Guards whatever gets this descriptor next against a late record

    # -- memory ------------------------------------------------------------------------------------------

    def _record(self, record: dict[str, Any]) -> None:
        """The change holds in memory also if it can't be written: what is then read back is safe, since a
        try without an outcome may have run, and an end is at worst told twice."""
        line = encode(record)
        self._make_room(len(line))  # before the change: a compaction after it would count it twice
        self._apply(record)
        self._write(line)

    def _apply(self, record: dict[str, Any]) -> None:
        ident = str(record["id"])
        if record["k"] == "take":
            self._put(Entry(
                ident, str(record["class"]), str(record["tenant"]), int(record["dest"]), record["key"],
                float(record["since"]), float(record["due"]), str(record["again"]),
                base64.b64decode(record["body"]), int(record["tries"]), attempt(record["out"]),
                attempt(record["risk"]), str(record["end"]), float(record["after"]), bool(record["told"]),
                str(record.get("from", "http")),
            ))
            return
        entry = self.entries[ident]
        match record["k"]:
            case "try":
                entry.tries += 1
                entry.out = Attempt(float(record["at"]), str(record["ep"]), int(record["zone"]))
            case "out":
                if record["ran"] and entry.risk is None:
                    entry.risk = entry.out
                entry.out = None
            case "end":
                entry.end, entry.after_ms, entry.body = str(record["state"]), float(record["after"]), b""
                self._put(entry)
            case "told":
                entry.told = True
            case "drop":
                self._forget(ident)
            case kind:
                raise ValueError(f"unknown record {kind!r}")

    def _put(self, entry: Entry) -> None:
        self.live -= self.sizes.get(entry.id, 0)
        size = len(entry.id) + len(entry.class_) + len(entry.tenant) + len(entry.key or "")
        size += SMALL + 4 * ((len(entry.body) + 2) // 3)
        self.entries[entry.id], self.sizes[entry.id] = entry, size
        self.live += size

    def _forget(self, ident: str) -> None:
        del self.entries[ident]
        self.live -= self.sizes.pop(ident)

    def _drop_ended(self) -> None:
        for entry in [e for e in self.entries.values() if e.end and not e.owes_notice]:
            self._forget(entry.id)

    # -- the file ----------------------------------------------------------------------------------------

    def _restore(self) -> None:
        data = b""
        while chunk := os.read(self.file, 1 << 20):
            data += chunk
        whole = data.rfind(b"\n") + 1
        if whole < len(data):
            log.warning(Note("journal: a torn record at its end is dropped", bytes=len(data) - whole))
            os.ftruncate(self.file, whole)
        self.size = whole
        for number, line in enumerate(data[:whole].splitlines(), 1):
            try:
                self._apply(decode(line))
            except (ValueError, KeyError, TypeError, AttributeError, IndexError) as error:
                # Reported and passed over: stopping here would end every later start as well.
                log.error(Note("journal: a record cannot be used", number=number, why=repr(error)))
        for entry in self.entries.values():
            if entry.out is not None:  # its outcome died with the process: it may have run
                entry.risk, entry.out = entry.risk or entry.out, None

    def _blocks(self, size: int) -> int:
        return -(-size // BLOCK) * BLOCK

    def _fits(self, more: int) -> bool:
        """Room for a message, so that a compaction (old file and new together) stays possible."""
        live = self.live + more + SMALL
        return 2 * self._blocks(live) + 2 * SLACK <= self.budget

    def _make_room(self, more: int) -> None:
        if self._blocks(self.size + more) + self._blocks(self.live + more) > self.budget - SLACK:
            self._compact()

    def _write(self, line: bytes) -> None:
        try:
            if self._blocks(self.size + len(line)) > self.budget:
                raise OSError("the folder's limit is reached")
            written = os.write(self.file, line)
            if written < len(line):
                os.ftruncate(self.file, self.size)  # half a record would spoil the next
                raise OSError("short write")
        except OSError as error:
            raise JournalError(f"journal: {error}") from error
        self.size += len(line)

    def _compact(self) -> None:
        """Old and new lie side by side until the rename; a kill at any point leaves one of them whole."""
        lines = b"".join(encode(snapshot(entry)) for entry in self.entries.values())
        if self._blocks(self.size) + self._blocks(len(lines)) > self.budget:
            log.error(Note("journal: no room to compact", size=self.size, live=len(lines)))
            return
        try:
            new = os.open(self.spare, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)
            try:
                if os.write(new, lines) < len(lines):
                    raise OSError("short write")
                os.rename(self.spare, self.path)
            except OSError:
                os.close(new)
                self.spare.unlink(missing_ok=True)
                raise
        except OSError as error:
            log.error(Note("journal: cannot compact", why=error))
            return
        os.close(self.file)
        self.file, self.size = new, len(lines)
