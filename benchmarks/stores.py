"""Compares other journal designs on the mix of benchmarks.store. These are prototypes without recovery.

    python -m benchmarks.stores [--json] [--messages 10000] [--rounds 2]

- `segments`: the relay's journal (message_relay.store).
- `generations`: a file for each second of the deadlines, which holds all records of the messages with that
  deadline and is unlinked when it has passed.
- `sqlite`: WAL mode, synchronous off, one row for each message, a transaction for each call.
- `lmdb`: no sync, one key for each message, a transaction for each call (installed by the extra `lab`).

`amplification` is the bytes given to write calls (`wchar` of /proc/self/io) divided by the bytes of the
records themselves, `pause` the longest call, `peak` the largest size on the disk, sampled once for each
second of the traffic."""

from __future__ import annotations

import argparse
import gc
import os
import sqlite3
import sys
import tempfile
import time
from collections.abc import Callable
from importlib import import_module
from pathlib import Path
from typing import Any, Protocol

from message_relay.store.journal import Journal
from message_relay.store.records import Attempt, JournalEntry, encode_payload, encode_snapshot

from .report import report
from .store import BUDGET, Mix


class Store(Protocol):
    """The journal's methods that `Mix` calls, as the relay does."""

    def append_accepted(self, entry: JournalEntry) -> None: ...

    def append_attempt(self, entry: JournalEntry, started_at_ms: float, endpoint: str, zone: int) -> None: ...

    def append_outcome(self, entry: JournalEntry, may_have_run: bool) -> None: ...

    def append_final_outcome(
        self, entry: JournalEntry, final_state: str, retry_after_ms: float = 0.0
    ) -> None: ...

    def append_notified(self, message_ids: list[str]) -> None: ...

    def compact(self, now: float) -> None: ...

    def close(self) -> None: ...


class Rows:
    """Keeps the latest snapshot of each message under its id."""

    def __init__(self) -> None:
        self.entries: dict[str, JournalEntry] = {}

    def put(self, entry: JournalEntry) -> None:
        raise NotImplementedError

    def drop(self, message_ids: list[str]) -> None:
        raise NotImplementedError

    def append_accepted(self, entry: JournalEntry) -> None:
        self.entries[entry.id] = entry
        self.put(entry)

    def append_attempt(self, entry: JournalEntry, started_at_ms: float, endpoint: str, zone: int) -> None:
        entry.attempt_count, entry.attempt_in_flight = (
            entry.attempt_count + 1,
            Attempt(started_at_ms, endpoint, zone),
        )
        self.put(entry)

    def append_outcome(self, entry: JournalEntry, may_have_run: bool) -> None:
        entry.attempt_in_flight = None
        self.put(entry)

    def append_final_outcome(
        self, entry: JournalEntry, final_state: str, retry_after_ms: float = 0.0
    ) -> None:
        entry.final_state, entry.retry_after_ms, entry.body = final_state, retry_after_ms, b""
        self.put(entry)

    def append_notified(self, message_ids: list[str]) -> None:
        for message_id in message_ids:
            self.entries[message_id].is_notified = True
            self.put(self.entries[message_id])

    def compact(self, now: float) -> None:
        expired_ids = [
            message_id
            for message_id, entry in self.entries.items()
            if entry.final_state and entry.deadline_ms < now
        ]
        for message_id in expired_ids:
            del self.entries[message_id]
        self.drop(expired_ids)


class Sqlite(Rows):
    def __init__(self, folder: Path) -> None:
        super().__init__()
        self.db = sqlite3.connect(folder / "journal.db", isolation_level=None)
        for text in (
            "PRAGMA journal_mode=WAL",
            "PRAGMA synchronous=OFF",
            "PRAGMA wal_autocheckpoint=100",
            "CREATE TABLE m (id TEXT PRIMARY KEY, state BLOB, body BLOB) WITHOUT ROWID",
        ):
            self.db.execute(text)

    def put(self, entry: JournalEntry) -> None:
        """Writes the complete snapshot: a body in a separate column would still be written with its row,
        since SQLite writes whole pages."""
        self.db.execute("INSERT OR REPLACE INTO m VALUES (?, ?, ?)", (entry.id, encode_snapshot(entry), b""))

    def drop(self, message_ids: list[str]) -> None:
        self.db.execute("BEGIN")
        self.db.executemany("DELETE FROM m WHERE id = ?", [(message_id,) for message_id in message_ids])
        self.db.execute("COMMIT")

    def close(self) -> None:
        self.db.close()


class Lmdb(Rows):
    def __init__(self, folder: Path) -> None:
        super().__init__()
        self.db = import_module("lmdb").open(
            str(folder), map_size=64 << 20, sync=False, metasync=False, lock=False
        )

    def put(self, entry: JournalEntry) -> None:
        with self.db.begin(write=True) as transaction:
            transaction.put(entry.id.encode(), encode_snapshot(entry))

    def drop(self, message_ids: list[str]) -> None:
        with self.db.begin(write=True) as transaction:
            for message_id in message_ids:
                transaction.delete(message_id.encode())

    def close(self) -> None:
        self.db.close()


class Generations:
    """A file for each second of the deadlines, open until that second has passed."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.files = folder, dict[int, int]()
        self.entries: dict[str, JournalEntry] = {}

    def record(self, entry: JournalEntry, payload: bytes) -> None:
        second = int(entry.deadline_ms // 1000)
        if second not in self.files:
            path = self.folder / f"gen-{second:012}"
            self.files[second] = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND)
        os.write(self.files[second], entry.id.encode() + len(payload).to_bytes(4, "little") + payload)

    def append_accepted(self, entry: JournalEntry) -> None:
        self.entries[entry.id] = entry
        self.record(entry, encode_snapshot(entry))

    def append_attempt(self, entry: JournalEntry, started_at_ms: float, endpoint: str, zone: int) -> None:
        self.record(entry, encode_payload([started_at_ms, endpoint, zone]))

    def append_outcome(self, entry: JournalEntry, may_have_run: bool) -> None:
        self.record(entry, encode_payload(may_have_run))

    def append_final_outcome(
        self, entry: JournalEntry, final_state: str, retry_after_ms: float = 0.0
    ) -> None:
        entry.final_state = final_state
        self.record(entry, encode_payload([final_state, retry_after_ms]))

    def append_notified(self, message_ids: list[str]) -> None:
        for message_id in message_ids:
            self.record(self.entries[message_id], b"")

    def compact(self, now: float) -> None:
        for second in [second for second in self.files if second * 1000 + 1000 < now]:
            os.close(self.files.pop(second))
            (self.folder / f"gen-{second:012}").unlink()

    def close(self) -> None:
        for file in self.files.values():
            os.close(file)


def write_call_total() -> int:
    """Returns the bytes that this process has given to write calls (see proc(5), io)."""
    lines = Path("/proc/self/io").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("wchar"))


def measure(name: str, make: Callable[[Path], Any], messages: int, seed: int) -> dict[str, Any]:
    with tempfile.TemporaryDirectory() as folder:
        store, mix = make(Path(folder)), Mix(seed)
        gc.collect()
        gc.disable()
        written_before = write_call_total()
        started = time.perf_counter()
        mix.run(store, JournalEntry, Path(folder), messages)
        elapsed_s = time.perf_counter() - started
        write_call_bytes = write_call_total() - written_before
        gc.enable()
        store.close()
        all_ms = sorted(mix.accept_ms + mix.other_ms)
        return {
            "store": name,
            "us a message": elapsed_s / messages * 1e6,
            "wrote": write_call_bytes,
            "peak": mix.peak,
            "p99 ms": sorted(mix.accept_ms)[int(0.99 * len(mix.accept_ms))],
            "pause ms": all_ms[-1],
            "written": getattr(store, "written_bytes", 0),
        }


def main() -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.stores")
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--messages", type=int, default=10_000)
    parser.add_argument("--rounds", type=int, default=2)
    args = parser.parse_args()
    makers: dict[str, Callable[[Path], Any]] = {
        "segments": lambda folder: Journal(folder, BUDGET),
        "generations": Generations,
        "sqlite": Sqlite,
        "lmdb": Lmdb,
    }
    rows: list[dict[str, Any]] = []
    for seed in range(args.rounds):
        records = 1
        for name, make in makers.items():
            try:
                row = measure(name, make, args.messages, seed)
            except ImportError as error:
                print(f"{name}: skipped: {error}", file=sys.stderr)
                continue
            records = row["written"] or records  # all stores get the same calls, so the same records
            rows.append({**row, "amplification": row["wrote"] / records})
    report(
        rows,
        args.json,
        (f"{args.messages} messages", "store        us/message  p99 ms  pause ms  amplification      peak"),
        "{store:12}{us a message:11.1f}{p99 ms:8.3f}{pause ms:10.2f}{amplification:15.2f}{peak:10}",
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
