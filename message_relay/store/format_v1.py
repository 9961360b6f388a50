"""Format 1 of earlier versions: the single file `journal`, one line per record (checksum and JSON object).

It is read once, at the first start of this version (upgrade.py). As in recovery.py, a record that can't be
read is assumed to have had the worst possible content."""

from __future__ import annotations

import base64
import re
import zlib
from typing import NamedTuple

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
CHECKSUM_DIGITS = 8
MESSAGE_ID = re.compile(rb'"id":"((?:[^"\\]|\\.){1,400})"')

RECORD_TYPES = {
    "try": RecordType.ATTEMPT,
    "out": RecordType.OUTCOME,
    "end": RecordType.FINAL_OUTCOME,
    "told": RecordType.NOTIFIED,
}
AttemptTuple = tuple[float, str, int]  # start (Unix ms), endpoint, zone


class Line(msgspec.Struct):
    """A record of any kind; the encoded names are part of the format."""

    kind: str = msgspec.field(name="k")
    id: str
    class_name: str = msgspec.field(name="class", default="")
    tenant: str = ""
    destination: int = msgspec.field(name="dest", default=0)
    key: str | None = None
    accepted_at_ms: float = msgspec.field(name="since", default=0.0)
    deadline_ms: float = msgspec.field(name="due", default=0.0)
    resubmission: str = msgspec.field(name="again", default="")
    attempt_count: int = msgspec.field(name="tries", default=0)
    attempt_in_flight: AttemptTuple | None = msgspec.field(name="out", default=None)
    uncertain_attempt: AttemptTuple | None = msgspec.field(name="risk", default=None)
    final_state: str = msgspec.field(name="end", default="")
    retry_after_ms: float = msgspec.field(name="after", default=0.0)
    is_notified: bool = msgspec.field(name="told", default=False)
    origin: str = msgspec.field(name="from", default="http")
    body: str = ""
    started_at_ms: float = msgspec.field(name="at", default=0.0)
    endpoint: str = msgspec.field(name="ep", default="")
    zone: int = 0
    may_have_run: bool = msgspec.field(name="ran", default=False)
    state: str = ""


class FileState(NamedTuple):
    """The content of a file of format 1."""

    entries: dict[str, JournalEntry]
    findings: list[str]  # one human-readable line per damage


def read(data: bytes) -> FileState:
    """Applies all records of a file; records that can't be read are reported as findings."""
    entries: dict[str, JournalEntry] = {}
    findings: list[str] = []
    corrupt_ids: dict[str, None] = {}
    complete_lines = data[: data.rfind(b"\n") + 1].splitlines()
    for number, text in enumerate(complete_lines, 1):
        try:
            _apply(entries, _decode_line(text))
        except (ValueError, KeyError) as error:
            findings.append(f"journal: record {number} cannot be used: {error!r}")
            for entry in entries.values():
                assume_attempted(entry)
            if (match := MESSAGE_ID.search(text)) is not None:
                corrupt_ids[match[1].decode(errors="replace")] = None
    for message_id in corrupt_ids:
        if message_id not in entries:
            entries[message_id] = failed_entry(message_id)
    for entry in entries.values():
        entry.assume_in_flight_has_run()
    return FileState(entries, findings)


def _decode_line(text: bytes) -> Line:
    """Raises ValueError if the line is not a complete, intact record."""
    checksum, _, document = text.partition(b" ")
    if len(checksum) != CHECKSUM_DIGITS or int(checksum, 16) != zlib.crc32(document):
        raise ValueError("the checksum does not match")
    return msgspec.json.decode(document, type=Line, strict=False)


def _apply(entries: dict[str, JournalEntry], line: Line) -> None:
    """Applies a record. Raises KeyError if its message is unknown, ValueError if the record is not valid."""
    if line.kind == "take":
        entries[line.id] = _entry(line)
    elif line.kind == "drop":
        del entries[line.id]
    else:
        payloads = {
            "try": AttemptRecord(round(line.started_at_ms), line.endpoint, line.zone),
            "out": line.may_have_run,
            "end": FinalOutcomeRecord(line.state, line.retry_after_ms),
            "told": None,
        }
        apply_record(entries[line.id], RECORD_TYPES[line.kind], encode_payload(payloads[line.kind]))


def _entry(line: Line) -> JournalEntry:
    return JournalEntry(
        line.id,
        line.class_name,
        line.tenant,
        line.destination,
        line.key,
        line.accepted_at_ms,
        line.deadline_ms,
        line.resubmission,
        base64.b64decode(line.body),
        line.attempt_count,
        _attempt(line.attempt_in_flight),
        _attempt(line.uncertain_attempt),
        line.final_state,
        line.retry_after_ms,
        line.is_notified,
        line.origin,
    )


def _attempt(fields: AttemptTuple | None) -> Attempt | None:
    return None if fields is None else Attempt(*fields)
