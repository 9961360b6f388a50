"""Measures the cost of each role by size and fits slopes. docs/CAPACITY.md is computed from the output.

    python -m benchmarks.capacity [--json] [--only PREFIX ...] [--into docs/reports/capacity.json]

The measures run one after another, and each size runs in its own process. With `--only`, the other slopes in
the `--into` file are kept.
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

import benchmarks.capacity as package
from emulator.capacity.slopes import Report, Sample, Slope, fit_slope

from .form import Measure

EXCLUDED_MODULES = {"__main__", "form"}
TIMEOUT_S = 300.0  # for one size of one measure
SAMPLE_INTERVAL_S = 0.2  # between two samples of memory and process count


def measures() -> list[Measure]:
    """Return the `MEASURES` of every module in this package, sorted by name."""
    collected: list[Measure] = []
    for part in pkgutil.iter_modules(package.__path__):
        if part.name not in EXCLUDED_MODULES:
            collected += getattr(importlib.import_module(f"{package.__name__}.{part.name}"), "MEASURES", ())
    return sorted(collected, key=lambda measure: measure.name)


class ResourceMonitor(threading.Thread):
    """Records the peak memory and the peak number of processes of this process tree.

    Pages shared between processes are counted once for each process.
    """

    def __init__(self) -> None:
        super().__init__(daemon=True)
        self.most_mb, self.most_processes, self.stop_requested = 0.0, 0, threading.Event()

    def run(self) -> None:
        while not self.stop_requested.wait(SAMPLE_INTERVAL_S):
            mb, count = process_tree_usage(os.getpid())
            self.most_mb, self.most_processes = max(self.most_mb, mb), max(self.most_processes, count)


def process_tree_usage(root: int) -> tuple[float, int]:
    """Return the memory in MB and the number of processes of a process tree, including `root`."""
    parents: dict[int, list[int]] = {}
    for entry in Path("/proc").iterdir():
        if entry.name.isdecimal():
            try:
                fields = (entry / "stat").read_text().rpartition(")")[2].split()
            except OSError:
                continue
            parents.setdefault(int(fields[1]), []).append(int(entry.name))
    pending, mb, count = [root], 0.0, 0
    while pending:
        pid = pending.pop()
        pending += parents.get(pid, [])
        try:
            pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
        except OSError:
            continue
        mb, count = mb + pages * os.sysconf("SC_PAGE_SIZE") / 1e6, count + 1
    return mb, count


def run_in_subprocess(measure: Measure, size: int) -> dict[str, float]:
    """Run one size in its own process. Raises ValueError with its error output if it fails."""
    process = subprocess.run(
        [sys.executable, "-m", "benchmarks.capacity", "--one", measure.name, "--size", str(size)],
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )
    if process.returncode:
        raise ValueError(f"{measure.name} at {size}: {process.stderr.strip()[-400:]}")
    costs: dict[str, float] = json.loads(process.stdout.splitlines()[-1])
    if set(costs) != set(measure.units):
        raise ValueError(f"{measure.name} at {size}: told {sorted(costs)}, must be {sorted(measure.units)}")
    return costs


def measure_slopes(measure: Measure) -> list[Slope]:
    """Run all sizes of a measure, the largest one last, and fit a slope for each cost."""
    rows: dict[int, list[dict[str, float]]] = {}
    for size in (*measure.sizes, measure.largest):
        rows[size] = [run_in_subprocess(measure, size) for _ in range(measure.rounds)]
    slopes = []
    for cost in measure.units:
        samples = []
        for size in (*measure.sizes, measure.largest):
            values = [row[cost] for row in rows[size]]
            samples.append(Sample(size, statistics.median(values), min(values), max(values)))
        slopes.append(
            fit_slope(
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


def run_measures(only: list[str], before: Report | None) -> Report:
    """Run the selected measures. Slopes that are not selected are kept from `before`."""
    started_at, monitor = time.monotonic(), ResourceMonitor()
    monitor.start()
    slopes: list[Slope] = []
    missing: list[str] = []
    selected = [item for item in measures() if not only or any(item.name.startswith(part) for part in only)]
    for measure in selected:
        print(f"{time.monotonic() - started_at:6.1f} s  {measure.name}", file=sys.stderr)
        try:
            slopes += measure_slopes(measure)
        except (ValueError, subprocess.TimeoutExpired) as error:
            missing.append(str(error))
            print(f"  failed: {error}", file=sys.stderr)
    monitor.stop_requested.set()
    monitor.join()
    retained = (
        []
        if before is None or not only
        else [
            item
            for item in before.slopes
            if not any(item.name.startswith(f"{part.name}.") for part in selected)
        ]
    )
    facts = {} if before is None else before.facts
    machine = f"{os.cpu_count()} cores, {platform.python_implementation()} {platform.python_version()}"
    return Report(
        machine,
        round(time.monotonic() - started_at, 1),
        round(monitor.most_mb),
        monitor.most_processes,
        sorted(retained + slopes, key=lambda item: item.name),
        facts,
        missing,
    )


def format_table(report: Report) -> str:
    lines = [
        f"{'slope':42} {'unit':12} {'base':>10} {'each':>12} {'+-':>10} {'exponent':>16} "
        f"{'largest':>9} {'predicted':>11} {'measured':>11}"
    ]
    for slope in report.slopes:
        lines.append(
            f"{slope.name:42} {slope.unit:12} {slope.base:10.4g} {slope.each:12.4g} "
            f"{slope.each_high - slope.each:10.2g} "
            f"{slope.exponent:6.2f} +- {slope.exponent_high - slope.exponent:4.2f} {slope.largest:9} "
            f"{slope.predicted:11.4g} {slope.measured:11.4g}{'  OFF' if slope.finding else ''}"
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
    parser.add_argument("--only", nargs="*", default=[], help="names of measures, or their prefixes")
    parser.add_argument("--into", type=Path, help="the file to write; with --only its other slopes are kept")
    parser.add_argument("--one", help=argparse.SUPPRESS)
    parser.add_argument("--size", type=int, default=0, help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.one:
        measure = next(each for each in measures() if each.name == args.one)
        print(json.dumps(dict(measure.run(args.size))))
        return 0
    before: Report | None = None
    if args.into is not None and args.into.exists():
        before = msgspec.json.decode(args.into.read_bytes(), type=Report)
    report = run_measures(args.only, before)
    raw = msgspec.json.format(msgspec.json.encode(report), indent=1) + b"\n"
    if args.into is not None:
        args.into.write_bytes(raw)
    print(raw.decode() if args.json else format_table(report))
    return 1 if report.missing else 0


if __name__ == "__main__":
    sys.exit(main())
