"""Measures the cost of a start and of a message in the journal by the number of records that it holds."""

from __future__ import annotations

import gc
import os
import tempfile
import time
from collections.abc import Iterator, Mapping
from pathlib import Path

from message_relay.process_memory import resident_bytes
from message_relay.store.journal import Journal
from message_relay.store.records import JournalEntry

from .form import Measure

BODY = 300  # bytes
LIFE_MS = 3_600_000.0  # nothing expires during the measurement
EVENTS = 4000  # messages, with four records each
# Bytes of the folder for each pending message: twice what it needs, including all later records.
BYTES_PER_MESSAGE = 6000


def entry(number: int) -> JournalEntry:
    return JournalEntry(
        f"{number:016x}", "order", "t", number % 1000, f"k{number:016x}", 1e6, 1e6 + LIFE_MS, "", bytes(BODY)
    )


def entries(first: int, count: int) -> Iterator[JournalEntry]:
    return (entry(number) for number in range(first, first + count))


def filled_journal(folder: Path, size: int) -> Journal:
    journal = Journal(folder, BYTES_PER_MESSAGE * (size + EVENTS) + 10_000_000)
    for each in entries(0, size):
        journal.append_accepted(each)
    return journal


def start(size: int) -> Mapping[str, float]:
    """Start in a process that has held none of the records: a child process fills the folder."""
    with tempfile.TemporaryDirectory() as name:
        _fill_in_child(Path(name), size)
        gc.collect()
        before, cpu = resident_bytes(), time.process_time()
        journal = Journal(Path(name), BYTES_PER_MESSAGE * (size + EVENTS) + 10_000_000)
        cpu = time.process_time() - cpu
        assert len(journal.entries) == size
        costs = {
            "cpu_ms": 1e3 * cpu,
            "memory_bytes": resident_bytes() - before,
            "disk_bytes": float(journal.disk_bytes),
        }
        journal.close()
        return costs


def _fill_in_child(folder: Path, size: int) -> None:
    child = os.fork()
    if child == 0:
        status = 1
        try:
            filled_journal(folder, size).close()
            status = 0
        finally:
            os._exit(status)
    if os.waitpid(child, 0)[1] != 0:
        raise ValueError("the journal could not be filled")


def message(size: int) -> Mapping[str, float]:
    with tempfile.TemporaryDirectory() as name:
        journal = filled_journal(Path(name), size)
        gc.collect()
        gc.freeze()  # as in the daemon
        written, copied, cpu = journal.written_bytes, journal.copied_bytes, time.process_time()
        now = 1e6
        for each in entries(size, EVENTS):
            journal.append_accepted(each)
            journal.append_attempt(each, now, "s-5be2a07c", 0)
            journal.append_final_outcome(each, "returned", 500.0)
            journal.append_notified([each.id])
        cpu = time.process_time() - cpu
        disk = journal.written_bytes - written + journal.copied_bytes - copied
        journal.close()
        return {"disk_bytes": disk / EVENTS, "cpu_us": 1e6 * cpu / EVENTS}


MEASURES: tuple[Measure, ...] = (
    Measure(
        "store.start",
        "record",
        (6_250, 12_500, 25_000, 50_000),
        200_000,
        {"cpu_ms": "ms", "memory_bytes": "bytes", "disk_bytes": "bytes"},
        start,
        "message_relay/store/recovery.py",
        f"bodies of {BODY} bytes, untried; memory: the journal's entries with their bodies",
        1,
    ),
    Measure(
        "store.message",
        "record",
        (2_500, 5_000, 10_000, 20_000),
        80_000,
        {"disk_bytes": "bytes", "cpu_us": "us"},
        message,
        "message_relay/store/journal.py",
        f"take, tried, ended, told: {EVENTS} messages of {BODY} bytes beside those held; "
        "no syncs, copies of old segments counted",
        1,
    ),
)
