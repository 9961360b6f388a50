"""Measures what each role costs by size, and fits it: docs/CAPACITY.md is worked out from what this writes.

    python -m benchmarks.capacity [--json] [--only PREFIX ...] [--into docs/reports/capacity.json]

One measure after another, each size in a process of its own. `--only` keeps the other slopes of `--into`.
"""

from __future__ import annotations

import argparse
import importlib
import json
import os
import pkgutil
import platform
import statistics
import subprocess
import sys
import threading
import time
from pathlib import Path

import msgspec

import benchmarks.capacity as here
from emulator.capacity.slopes import Report, Sample, Slope, fitted

from .form import Measure

PARTS_LEFT_OUT = {"__main__", "form"}
PATIENCE_S = 300.0  # of one size of one measure
LOOK_S = 0.2  # between two looks at memory and processes


def measures() -> list[Measure]:
    """Of every module beside this one that has `MEASURES`, by name."""
    found: list[Measure] = []
    for part in pkgutil.iter_modules(here.__path__):
        if part.name not in PARTS_LEFT_OUT:
            found += getattr(importlib.import_module(f"{here.__name__}.{part.name}"), "MEASURES", ())
    return sorted(found, key=lambda each: each.name)


class Watch(threading.Thread):
    """Memory and number of the processes below this one, at their most. Shared pages count in each."""

    def __init__(self) -> None:
        super().__init__(daemon=True)
        self.most_mb, self.most_processes, self.ended = 0.0, 0, threading.Event()

    def run(self) -> None:
        while not self.ended.wait(LOOK_S):
            mb, count = below(os.getpid())
            self.most_mb, self.most_processes = max(self.most_mb, mb), max(self.most_processes, count)


def below(root: int) -> tuple[float, int]:
    """MB and number of a process's children and theirs, itself included."""
    parents: dict[int, list[int]] = {}
    for entry in Path("/proc").iterdir():
        if entry.name.isdecimal():
            try:
                told = (entry / "stat").read_text().rpartition(")")[2].split()
            except OSError:
                continue
            parents.setdefault(int(told[1]), []).append(int(entry.name))
    todo, mb, count = [root], 0.0, 0
    while todo:
        each = todo.pop()
        todo += parents.get(each, [])
        try:
            pages = int(Path(f"/proc/{each}/statm").read_text().split()[1])
        except OSError:
            continue
        mb, count = mb + pages * os.sysconf("SC_PAGE_SIZE") / 1e6, count + 1
    return mb, count


def one(measure: Measure, size: int) -> dict[str, float]:
    """In a process of its own. Raises ValueError with what it said if it failed."""
    done = subprocess.run(
        [sys.executable, "-m", "benchmarks.capacity", "--one", measure.name, "--size", str(size)],
        capture_output=True,
        text=True,
        timeout=PATIENCE_S,
        check=False,
    )
    if done.returncode:
        raise ValueError(f"{measure.name} at {size}: {done.stderr.strip()[-400:]}")
    told: dict[str, float] = json.loads(done.stdout.splitlines()[-1])
    if set(told) != set(measure.units):
        raise ValueError(f"{measure.name} at {size}: told {sorted(told)}, must be {sorted(measure.units)}")
    return told


def measured(measure: Measure) -> list[Slope]:
    """The largest size last: by then the fit stands."""
    rows: dict[int, list[dict[str, float]]] = {}
    for size in (*measure.sizes, measure.largest):
        rows[size] = [one(measure, size) for _ in range(measure.rounds)]
    slopes = []
    for cost in measure.units:
        samples = []
        for size in (*measure.sizes, measure.largest):
            values = [row[cost] for row in rows[size]]
            samples.append(Sample(size, statistics.median(values), min(values), max(values)))
        slopes.append(
            fitted(
                f"{measure.name}.{cost}",
                measure.per,
                measure.units[cost],
                samples[:-1],
                samples[-1],
                measure.mechanism,
                measure.note,
            )
        )
    return slopes


def whole(only: list[str], before: Report | None) -> Report:
    """Measures; of what is not measured now, what `before` has stays."""
    began, watch = time.monotonic(), Watch()
    watch.start()
    slopes: list[Slope] = []
    missing: list[str] = []
    chosen = [each for each in measures() if not only or any(each.name.startswith(part) for part in only)]
    for measure in chosen:
        print(f"{time.monotonic() - began:6.1f} s  {measure.name}", file=sys.stderr)
        try:
            slopes += measured(measure)
        except (ValueError, subprocess.TimeoutExpired) as error:
            missing.append(str(error))
            print(f"  failed: {error}", file=sys.stderr)
    watch.ended.set()
    watch.join()
    kept = (
        []
        if before is None or not only
        else [
            each
            for each in before.slopes
            if not any(each.name.startswith(f"{part.name}.") for part in chosen)
        ]
    )
    facts = {} if before is None else before.facts
    machine = f"{os.cpu_count()} cores, {platform.python_implementation()} {platform.python_version()}"
    return Report(
        machine,
        round(time.monotonic() - began, 1),
        round(watch.most_mb),
        watch.most_processes,
        sorted(kept + slopes, key=lambda each: each.name),
        facts,
        missing,
    )


def table(report: Report) -> str:
    lines = [
        f"{'slope':42} {'unit':12} {'base':>10} {'each':>12} {'+-':>10} {'exponent':>16} "
        f"{'largest':>9} {'predicted':>11} {'measured':>11}"
    ]
    for one in report.slopes:
        lines.append(
            f"{one.name:42} {one.unit:12} {one.base:10.4g} {one.each:12.4g} {one.each_high - one.each:10.2g} "
            f"{one.exponent:6.2f} +- {one.exponent_high - one.exponent:4.2f} {one.largest:9} "
            f"{one.predicted:11.4g} {one.measured:11.4g}{'  OFF' if one.finding else ''}"
        )
    lines += [f"failed: {each}" for each in report.missing]
    lines.append(
        f"{report.seconds:.0f} s, {report.most_mb:.0f} MB and {report.most_processes} processes "
        f"at most; {report.machine}"
    )
    return "\n".join(lines)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--only", nargs="*", default=[], help="names, or how they begin")
    parser.add_argument("--into", type=Path, help="the file to write; with --only the rest of it stays")
    parser.add_argument("--one", help=argparse.SUPPRESS)
    parser.add_argument("--size", type=int, default=0, help=argparse.SUPPRESS)
    told = parser.parse_args()
    if told.one:
        measure = next(each for each in measures() if each.name == told.one)
        print(json.dumps(dict(measure.run(told.size))))
        return 0
    before: Report | None = None
    if told.into is not None and told.into.exists():
        before = msgspec.json.decode(told.into.read_bytes(), type=Report)
    report = whole(told.only, before)
    raw = msgspec.json.format(msgspec.json.encode(report), indent=1) + b"\n"
    if told.into is not None:
        told.into.write_bytes(raw)
    print(raw.decode() if told.json else table(report))
    return 1 if report.missing else 0


if __name__ == "__main__":
    sys.exit(main())
