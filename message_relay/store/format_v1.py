"""The one file `journal` of earlier versions (format 1): a line each record, a checksum and a JSON object.

Read once, at the first start of this version; what it holds is written as a segment, which takes its place
at one stroke. A record that can't be read is taken at its worst, as in recovery.py."""

from __future__ import annotations

import base64
import re
import zlib

import msgspec

from .records import (
    Attempt,
    AttemptRecord,
    FinalOutcomeRecord,
    JournalEntry,
    RecordType,
    apply_record,
    assume_attempted,
    encode_payload,
    failed_entry,
)

FILE_NAME = "journal"
NAMES = (FILE_NAME, "journal.new")
IDENT = re.compile(rb'"id":"((?:[^"\\]|\\.){1,400})"')

KINDS = {
    "try": RecordType.ATTEMPT,
    "out": RecordType.OUTCOME,
    "end": RecordType.FINAL_OUTCOME,
    "told": RecordType.NOTIFIED,
}
Tuple = tuple[float, str, int]


class Line(msgspec.Struct):
    k: str
    id: str
    class_: str = msgspec.field(name="class", default="")
    tenant: str = ""
    dest: int = 0
    key: str | None = None
    since: float = 0.0
    due: float = 0.0
    again: str = ""
    tries: int = 0
    out: Tuple | None = None
    risk: Tuple | None = None
    end: str = ""
    after: float = 0.0
    told: bool = False
    origin: str = msgspec.field(name="from", default="http")
    body: str = ""
    at: float = 0.0
    ep: str = ""
    zone: int = 0
    ran: bool = False
    state: str = ""


def _line(text: bytes) -> Line:
    """ValueError if it is not a whole record as it was written."""
    check, _, rest = text.partition(b" ")
    if len(check) != 8 or int(check, 16) != zlib.crc32(rest):
        raise ValueError("the checksum does not match")
    return msgspec.json.decode(rest, type=Line, strict=False)


def _attempt(raw: Tuple | None) -> Attempt | None:
    return None if raw is None else Attempt(*raw)


def _apply(entries: dict[str, JournalEntry], line: Line) -> None:
    if line.k == "take":
        entries[line.id] = JournalEntry(
            line.id,
            line.class_,
            line.tenant,
            line.dest,
            line.key,
            line.since,
            line.due,
            line.again,
            base64.b64decode(line.body),
            line.tries,
            _attempt(line.out),
            _attempt(line.risk),
            line.end,
            line.after,
            line.told,
            line.origin,
        )
    elif line.k == "drop":
        del entries[line.id]
    else:
        payloads = {
            "try": AttemptRecord(round(line.at), line.ep, line.zone),
            "out": line.ran,
            "end": FinalOutcomeRecord(line.state, line.after),
            "told": None,
        }
        apply_record(entries[line.id], KINDS[line.k], encode_payload(payloads[line.k]))


def read(data: bytes) -> tuple[dict[str, JournalEntry], list[str]]:
    """What the file says, and each fault of it as a line."""
    entries: dict[str, JournalEntry] = {}
    findings: list[str] = []
    hurt: dict[str, None] = {}
    for number, text in enumerate(data[: data.rfind(b"\n") + 1].splitlines(), 1):
        try:
            _apply(entries, _line(text))
        except (ValueError, KeyError) as error:
            findings.append(f"journal: record {number} cannot be used: {error!r}")
            for entry in entries.values():
                assume_attempted(entry)
            if (found := IDENT.search(text)) is not None:
                hurt[found[1].decode(errors="replace")] = None
    for ident in hurt:
        if ident not in entries:
            entries[ident] = failed_entry(ident)
    for entry in entries.values():
        if entry.attempt_in_flight is not None:
            entry.uncertain_attempt, entry.attempt_in_flight = (
                entry.uncertain_attempt or entry.attempt_in_flight,
                None,
            )
    return entries, findings
