"""Measures the segmented journal, and the single file that it replaced, on a realistic mix in the same run.

    python -m benchmarks.store [--json] [--messages 20000] [--rounds 3] [--old DIR | --recovery]

The mix: bodies of 200 bytes to 60 KB (log-normal, median 400); 55% are delivered at the first attempt, others
after further ones; 4% fail or are returned, with a notification. Each message is kept for 16 s at 120
messages a second; the budget is 2.96 MB. `--old` names a checkout of another version, which a separate
process measures in each round; its package and the journal's methods must have the present names. `pause` is
the longest call, `p99` that of an accept, `amplification` the bytes written divided by the bytes of new
records, `peak` the largest size on the disk, to compare with the budget."""

from __future__ import annotations

import argparse
import gc
import json
import os
import random
import subprocess
import sys
import tempfile
import time
from collections import deque
from pathlib import Path
from typing import Any
from zlib import crc32

from message_relay.store.errors import JournalError
from message_relay.store.file_store import DirectoryFileStore
from message_relay.store.journal import Journal
from message_relay.store.records import JournalEntry
from message_relay.store.recovery import recover

from .report import report

BUDGET = 2_967_552  # the platform's 3 MB without the destination snapshot
RATE, LIFE_MS, OPEN = 120.0, 16_000.0, 150


def on_disk(folder: Path) -> int:
    return sum(-(-path.stat().st_size // 512) * 512 for path in folder.iterdir())


class Mix:
    """Makes the same calls to any journal and records the duration of each."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.accept_ms: list[float] = []
        self.other_ms: list[float] = []
        self.rejected_count = 0
        self.peak = 0

    def timed(self, into: list[float], call: Any, *args: Any) -> None:
        started = time.perf_counter()
        try:
            call(*args)
        finally:
            into.append((time.perf_counter() - started) * 1000)

    def run(self, journal: Any, make: Any, folder: Path, messages: int) -> None:
        rng, now, waiting = self.rng, 1e6, deque[Any]()
        for n in range(messages):
            now += 1000 / RATE
            body = bytes(min(60_000, max(200, int(rng.lognormvariate(6.0, 1.0)))))
            entry = make(f"{n:016x}", "order", "t", 7, f"k{n:016x}", now, now + LIFE_MS, "", body)
            try:
                self.timed(self.accept_ms, journal.append_accepted, entry)
                waiting.append(entry)
            except Exception as error:
                if type(error).__name__ not in ("JournalFullError", "JournalError"):
                    raise
                self.rejected_count += 1
            while len(waiting) > OPEN or (waiting and rng.random() < 0.5):
                self.finish(journal, waiting.popleft(), now)
            if n % 120 == 0:
                self.timed(self.other_ms, journal.compact, now)
                self.peak = max(self.peak, on_disk(folder))

    def finish(self, journal: Any, entry: Any, now: float) -> None:
        rng = self.rng
        while True:
            self.timed(self.other_ms, journal.append_attempt, entry, now, "s-5be2a07c", 0)
            if rng.random() < 0.55:
                break
            self.timed(self.other_ms, journal.append_outcome, entry, False)
            if rng.random() < 0.09:
                self.timed(
                    self.other_ms,
                    journal.append_final_outcome,
                    entry,
                    rng.choice(("failed", "returned")),
                    500.0,
                )
                self.timed(self.other_ms, journal.append_notified, [entry.id])
                return
        self.timed(self.other_ms, journal.append_final_outcome, entry, "delivered")


def measure(messages: int, seed: int) -> dict[str, Any]:
    """Measures the journal that this process imports, new or old."""
    with tempfile.TemporaryDirectory() as name:
        folder, mix = Path(name), Mix(seed)
        journal: Any = Journal(folder, BUDGET)
        gc.collect()
        gc.disable()  # collector pauses belong to the process, not the journal
        started = time.perf_counter()
        mix.run(journal, JournalEntry, folder, messages)
        elapsed_s = time.perf_counter() - started
        size, entry_count = on_disk(folder), len(journal.entries)
        copied, written = getattr(journal, "copied_bytes", 0), getattr(journal, "written_bytes", 1)
        journal.close()
        started = time.perf_counter()
        reopened: Any = Journal(folder, BUDGET)
        recovery_s = time.perf_counter() - started
        assert len(reopened.entries) >= entry_count
        reopened.close()
        accept_ms, all_ms = sorted(mix.accept_ms), sorted(mix.accept_ms + mix.other_ms)
        return {
            "us a message": elapsed_s / messages * 1e6,
            "p99 ms": accept_ms[int(0.99 * len(accept_ms))],
            "p999 ms": accept_ms[int(0.999 * len(accept_ms))],
            "pause ms": all_ms[-1],
            "refused": mix.rejected_count,
            "amplification": (copied + written) / written,
            "peak": mix.peak,
            "over": mix.peak > BUDGET,
            "bytes a known": size / max(1, entry_count),
            "recovery ms": recovery_s * 1000,
            "recovery MB/s": size / 1e6 / recovery_s,
        }


def recovery(size: int, total: int) -> dict[str, Any]:
    """Measures recovery of `total` bytes of messages of one size; `floor` only reads and checksums."""
    with tempfile.TemporaryDirectory() as name:
        journal = Journal(Path(name), 4 * total + 3000 * (total // size))  # with the journal's reserve
        for n in range(total // size):
            journal.append_accepted(
                JournalEntry(f"{n:016x}", "order", "t", 7, f"k{n:016x}", 1e6, 2e6, "", bytes(size))
            )
        journal.close()
        paths = sorted(Path(name).iterdir())
        started = time.perf_counter()
        byte_count = sum(len(data) for data in (path.read_bytes() for path in paths) if crc32(data) >= 0)
        floor_s = time.perf_counter() - started
        started = time.perf_counter()
        recovered = recover(DirectoryFileStore(Path(name)))
        recovery_s = time.perf_counter() - started
        assert len(recovered.entries) == total // size
        return {
            "body": size,
            "MB": byte_count / 1e6,
            "us a record": recovery_s / len(recovered.entries) * 1e6,
            "MB/s": byte_count / 1e6 / recovery_s,
            "floor": byte_count / 1e6 / floor_s,
        }


def old(folder: Path, messages: int, seed: int) -> dict[str, Any]:
    """Runs `measure` on another checkout: with this file's loop and that version's journal."""
    code = (
        "import json, sys; from benchmarks.store import measure;"
        f"print(json.dumps(measure({messages}, {seed})))"
    )
    this_checkout = Path(__file__).parents[1]
    with tempfile.TemporaryDirectory() as name:
        (Path(name) / "benchmarks").mkdir()
        for part in ("__init__.py", "report.py", "store.py"):
            (Path(name) / "benchmarks" / part).symlink_to(this_checkout / "benchmarks" / part)
        (Path(name) / "message_relay").symlink_to(folder / "message_relay")
        process = subprocess.run(
            [sys.executable, "-c", code],
            cwd=name,
            capture_output=True,
            text=True,
            check=True,
            env={**os.environ, "PYTHONPATH": name},
        )
    return dict(json.loads(process.stdout))


def main() -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.store")
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--messages", type=int, default=20_000)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--old", type=Path)
    parser.add_argument(
        "--recovery", action="store_true", help="measure recovery for each message size instead"
    )
    args = parser.parse_args()
    if args.recovery:
        report(
            [recovery(size, 20_000_000) for size in (100, 400, 1000, 4000, 16_000, 60_000)],
            args.json,
            ("   body     MB  us/record    MB/s  read and sum up, MB/s",),
            "{body:7}{MB:7.1f}{us a record:11.1f}{MB/s:8.0f}{floor:23.0f}",
        )
        return 0
    rows = []
    for seed in range(args.rounds):
        rows.append({"store": "segments", **measure(args.messages, seed)})
        if args.old is not None:
            rows.append({"store": "one file", **old(args.old.resolve(), args.messages, seed)})
    report(
        rows,
        args.json,
        (
            f"{args.messages} messages, budget {BUDGET} bytes",
            "store     us/message  p99 ms  p999 ms  pause ms  refused  amplification     peak  recovery ms"
            "   MB/s",
        ),
        "{store:9}{us a message:11.1f}{p99 ms:8.3f}{p999 ms:9.3f}{pause ms:10.2f}{refused:9}"
        "{amplification:15.2f}{peak:9}{recovery ms:13.1f}{recovery MB/s:7.0f}",
    )
    return 0


__all__ = ["JournalError", "main", "measure"]

if __name__ == "__main__":
    sys.exit(main())
