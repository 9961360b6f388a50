"""`journal`: shows the content of a state directory. Read-only, so it is safe beside a running relay."""

from __future__ import annotations

import dataclasses
import sys
import time
from collections import Counter
from pathlib import Path

import click
import msgspec

from ..store.errors import UnsupportedFormatError
from ..store.file_store import DirectoryFileStore
from ..store.inspection import RecordLine, record_lines
from ..store.records import RECORD_TYPE_LABELS, UNFINISHED_IDS_DECODER, Attempt, JournalEntry, RecordType
from ..store.recovery import RecoveredState, recover

# Labels of a snapshot's fields in the output, in the order of the format; the body comes last.
SNAPSHOT_LABELS = (
    "class",
    "tenant",
    "dest",
    "key",
    "since",
    "due",
    "again",
    "tries",
    "out",
    "risk",
    "end",
    "after",
    "told",
    "from",
)
HANDED_OVER = RECORD_TYPE_LABELS[RecordType.HANDED_OVER]  # listed only where there are such records
MAX_READS = 5  # retries, since a relay may remove a segment after the directory was listed


class ReadOnlyFileStore(DirectoryFileStore):
    """A directory of which no file is ever changed."""

    def append(self, name: str, data: bytes) -> None:
        """Raises OSError, like all calls that would write."""
        raise OSError("read-only: this tool changes no file")

    rename = unlink = append  # type: ignore[assignment]


def recover_state(folder: Path) -> RecoveredState:
    """Return the state that a start would recover. Raises ClickException if it can't be read."""
    for _ in range(MAX_READS):
        try:
            return recover(ReadOnlyFileStore(folder))
        except FileNotFoundError:
            continue
        except (OSError, UnsupportedFormatError) as error:
            raise click.ClickException(f"{folder}: {error}") from error
    raise click.ClickException(f"{folder}: its segments change too quickly; try again")


def read_records(folder: Path) -> list[RecordLine]:
    """Return all records in order. Raises ClickException if the segments change too quickly."""
    for _ in range(MAX_READS):
        try:
            return list(record_lines(ReadOnlyFileStore(folder)))
        except FileNotFoundError:
            continue
    raise click.ClickException(f"{folder}: its segments change too quickly")


def describe(line: RecordLine) -> str:
    """Return the content of a record as text, without the body."""
    if not line.is_readable:
        return "cannot be read"
    if line.kind == RECORD_TYPE_LABELS[RecordType.UNFINISHED_IDS]:
        ids_by_origin = UNFINISHED_IDS_DECODER.decode(line.payload)
        return f"{sum(map(len, ids_by_origin.values()))} unfinished messages"
    if not line.payload:
        return ""
    value = msgspec.msgpack.decode(line.payload)
    if line.kind == RECORD_TYPE_LABELS[RecordType.ACCEPTED]:
        fields, body = value[: len(SNAPSHOT_LABELS)], value[len(SNAPSHOT_LABELS)]
        is_handover_awaited = len(value) > len(SNAPSHOT_LABELS) + 1
        pairs = [
            f"{label}={field}"
            for label, field in zip(SNAPSHOT_LABELS, fields, strict=True)
            if field not in ("", None, 0, False)
        ]
        handover = ["handover=awaited"] if is_handover_awaited else []
        return " ".join([*pairs, f"body={len(body)}B", *handover])
    return str(value)


@click.group()
def journal() -> None:
    """Inspect a state FOLDER: verify, show, stats."""


FOLDER = click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
JSON = click.option("--json", "json_", is_flag=True)


@journal.command()
@FOLDER
def verify(folder: Path) -> None:
    """Read all records; exits with 0 if they are intact, with 1 and one line per damage if not."""
    started_s = time.perf_counter()
    state = recover_state(folder)
    elapsed_ms = (time.perf_counter() - started_s) * 1000
    size = sum(segment.file_size for segment in state.segments)
    for text in state.findings:
        click.echo(text)
    click.echo(
        f"{len(state.segments)} segments, {size} bytes, {len(state.entries)} messages, "
        f"{state.torn_bytes} bytes of a torn end, {len(state.findings)} findings, {elapsed_ms:.0f} ms"
    )
    sys.exit(1 if state.findings else 0)


@journal.command()
@FOLDER
@click.argument("ident")
@JSON
def show(folder: Path, ident: str, json_: bool) -> None:
    """Show all records of a message and its recovered state; exits with 1 if there are none."""
    lines = [line for line in read_records(folder) if line.message_id == ident]
    entry = recover_state(folder).entries.get(ident)
    document = None if entry is None else _entry_document(entry)
    if json_:
        records = [(line.segment, line.sequence, line.kind, describe(line)) for line in lines]
        click.echo(msgspec.json.encode({"records": records, "now": document}))
    else:
        for line in lines:
            click.echo(f"{line.segment} {line.sequence:8} {line.kind:7} {describe(line)}")
        if document is not None:
            click.echo("now: " + " ".join(f"{name}={value}" for name, value in document.items()))
    sys.exit(0 if lines or entry is not None else 1)


# Keys of `journal show` that differ from the field names; operators' scripts read them.
ENTRY_KEYS = {
    "class_name": "class_",
    "destination": "dest",
    "accepted_at_ms": "since",
    "deadline_ms": "due",
    "resubmission": "again",
    "attempt_count": "tries",
    "attempt_in_flight": "out",
    "uncertain_attempt": "risk",
    "retry_after_ms": "after_ms",
    "final_state": "end",
    "is_notified": "told",
}
ATTEMPT_KEYS = {"started_at_ms": "at", "uptime_ms": "up"}


def _attempt_document(attempt: Attempt) -> dict[str, object]:
    """Return an attempt with the keys of the tool's output."""
    fields: dict[str, object] = msgspec.to_builtins(attempt)
    return {ATTEMPT_KEYS.get(name, name): value for name, value in fields.items()}


def _entry_document(entry: JournalEntry) -> dict[str, object]:
    """Return a message with the keys of the tool's output; the body is replaced by its length."""
    document: dict[str, object] = {}
    for field in dataclasses.fields(entry):
        value = getattr(entry, field.name)
        if isinstance(value, Attempt):
            value = _attempt_document(value)
        document[ENTRY_KEYS.get(field.name, field.name)] = value
    if not entry.awaits_handover:
        del document["awaits_handover"]
    del document["body"]
    document["body_bytes"] = len(entry.body)
    return document


@journal.command()
@FOLDER
@JSON
def stats(folder: Path, json_: bool) -> None:
    """Count segments, records and messages."""
    state = recover_state(folder)
    entries = state.entries.values()
    record_counts = Counter(line.kind for line in read_records(folder))
    labels = [label for label in RECORD_TYPE_LABELS.values() if label != HANDED_OVER or record_counts[label]]
    document = {
        "segments": len(state.segments),
        "bytes": sum(segment.file_size for segment in state.segments),
        "records": {label: record_counts[label] for label in labels},
        "open": sum(not entry.final_state for entry in entries),
        "notices_owed": sum(entry.needs_notification for entry in entries),
        "ended": Counter(entry.final_state for entry in entries if entry.final_state),
        "may_have_run": sum(
            entry.uncertain_attempt is not None for entry in entries if not entry.final_state
        ),
        "body_bytes": sum(len(entry.body) for entry in entries),
    }
    if json_:
        click.echo(msgspec.json.encode(document))
        return
    for name, value in document.items():
        text = (
            ", ".join(f"{key} {count}" for key, count in value.items()) if isinstance(value, dict) else value
        )
        click.echo(f"{name.replace('_', ' '):14} {text}")
