"""`journal`: what lies in a state folder. Reads only, also beside a relay that works in it."""

from __future__ import annotations

import dataclasses
import sys
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

import click
import msgspec

from ..store.errors import UnsupportedFormatError
from ..store.file_store import DirectoryFileStore
from ..store.records import RECORD_TYPE_LABELS, UNFINISHED_IDS_DECODER, Attempt, JournalEntry
from ..store.recovery import RecordLine, RecoveredState, record_lines, recover

NAMES = (
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
)  # of a snapshot's fields, without the body
TRIES = 5  # a relay may give up a segment between the look at the folder and the read of the file


class Reading(DirectoryFileStore):
    """A folder in which nothing is ever written."""

    def append(self, name: str, data: bytes) -> None:
        raise OSError("this is a tool that only reads")

    rename = unlink = append  # type: ignore[assignment]


def found_in(folder: Path) -> RecoveredState:
    """What a start would find. Ends the command where that can't be told."""
    for _ in range(TRIES):
        try:
            return recover(Reading(folder))
        except FileNotFoundError:
            continue
        except (OSError, UnsupportedFormatError) as error:
            raise click.ClickException(f"{folder}: {error}") from error
    raise click.ClickException(f"{folder}: its segments change too quickly; try again")


def lines_of(folder: Path) -> Iterator[RecordLine]:
    for n in range(TRIES):
        try:
            yield from list(record_lines(Reading(folder)))
            return
        except FileNotFoundError:
            if n + 1 == TRIES:
                raise click.ClickException(f"{folder}: its segments change too quickly") from None


def told(line: RecordLine) -> str:
    """What a record says, without the body."""
    if not line.is_readable:
        return "cannot be read"
    if line.kind == "census":
        owed = UNFINISHED_IDS_DECODER.decode(line.payload)
        return f"{sum(map(len, owed.values()))} messages are owed something"
    if not line.payload:
        return ""
    value = msgspec.msgpack.decode(line.payload)
    if line.kind == "take":
        *said, body = value
        pairs = [
            f"{name}={got}" for name, got in zip(NAMES, said, strict=True) if got not in ("", None, 0, False)
        ]
        return " ".join([*pairs, f"body={len(body)}B"])
    return str(value)


@click.group()
def journal() -> None:
    """Look into a state FOLDER: verify, show, stats."""


FOLDER = click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
JSON = click.option("--json", "json_", is_flag=True)


@journal.command()
@FOLDER
def verify(folder: Path) -> None:
    """Read all of it; 0 if it is well, 1 if there is damage, a line for each."""
    begun, found = time.perf_counter(), found_in(folder)
    took, size = time.perf_counter() - begun, sum(each.file_size for each in found.segments)
    for text in found.findings:
        click.echo(text)
    click.echo(
        f"{len(found.segments)} segments, {size} bytes, {len(found.entries)} messages, "
        f"{found.torn_bytes} bytes of a torn end, {len(found.findings)} findings, {took * 1000:.0f} ms"
    )
    sys.exit(1 if found.findings else 0)


@journal.command()
@FOLDER
@click.argument("ident")
@JSON
def show(folder: Path, ident: str, json_: bool) -> None:
    """Tell a message's whole history, and what a start would make of it; 1 if nothing names it."""
    mine = [line for line in lines_of(folder) if line.message_id == ident]
    entry = found_in(folder).entries.get(ident)
    if json_:
        now = None if entry is None else _entry_document(entry)
        click.echo(
            msgspec.json.encode(
                {
                    "records": [(line.segment, line.sequence, line.kind, told(line)) for line in mine],
                    "now": now,
                }
            )
        )
    else:
        for line in mine:
            click.echo(f"{line.segment} {line.sequence:8} {line.kind:7} {told(line)}")
        if entry is not None:
            click.echo(
                "now: " + " ".join(f"{name}={value}" for name, value in _entry_document(entry).items())
            )
    sys.exit(0 if mine or entry is not None else 1)


# Keys of `journal show` that differ from the fields' names; scripts of operators read them.
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
    """An attempt under the keys of the tool's output."""
    fields: dict[str, object] = msgspec.to_builtins(attempt)
    return {ATTEMPT_KEYS.get(name, name): value for name, value in fields.items()}


def _entry_document(entry: JournalEntry) -> dict[str, object]:
    """A message under the keys of the tool's output: its body is replaced by the body's length."""
    document: dict[str, object] = {}
    for field in dataclasses.fields(entry):
        value = getattr(entry, field.name)
        if isinstance(value, Attempt):
            value = _attempt_document(value)
        document[ENTRY_KEYS.get(field.name, field.name)] = value
    del document["body"]
    document["body_bytes"] = len(entry.body)
    return document


@journal.command()
@FOLDER
@JSON
def stats(folder: Path, json_: bool) -> None:
    """Count what is there."""
    found, kinds = found_in(folder), Counter[str]()
    for line in lines_of(folder):
        kinds[line.kind] += 1
    told_ = {
        "segments": len(found.segments),
        "bytes": sum(each.file_size for each in found.segments),
        "records": {label: kinds[label] for label in RECORD_TYPE_LABELS.values()},
        "open": sum(not each.final_state for each in found.entries.values()),
        "notices_owed": sum(each.needs_notification for each in found.entries.values()),
        "ended": Counter(each.final_state for each in found.entries.values() if each.final_state),
        "may_have_run": sum(
            each.uncertain_attempt is not None for each in found.entries.values() if not each.final_state
        ),
        "body_bytes": sum(len(each.body) for each in found.entries.values()),
    }
    if json_:
        click.echo(msgspec.json.encode(told_))
    else:
        for name, value in told_.items():
            shown = ", ".join(f"{k} {v}" for k, v in value.items()) if isinstance(value, dict) else value
            click.echo(f"{name.replace('_', ' '):14} {shown}")
