"""Validates the fleet model: agreement with real relays, speed, and coverage of its intervals.

    python -m benchmarks.model live [FILE...] [--seeds 3] [--json]   figures compared with real processes
    python -m benchmarks.model speed [--json]                        virtual seconds per second, by fleet size
    python -m benchmarks.model common [--json]                       variance with common random numbers
    python -m benchmarks.model coverage [--json]                     200 A/A experiments, full and shortened

`live` runs the experiments of all files in parallel. A figure agrees if the mean of the m live runs lies in
the model's 95% prediction interval for such a mean: t * s * sqrt(1/n + 1/m), where s is the standard
deviation over the model's n seeds. LEAST is the smallest half width, for figures without variance in the
model.
"""

from __future__ import annotations

import argparse
import math
import os
import sys
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from pathlib import Path
from typing import Any

import numpy as np
from scipy import stats

from emulator.draws import stream
from emulator.experiment import Experiment, decoded, read
from emulator.intervals import difference, looks
from emulator.live import one as one_live
from emulator.runs import Runs, by_variant, one, row

from .report import report

FILES = sorted((Path(__file__).parents[1] / "experiments" / "live").glob("*.toml"))
FIGURES = (
    "service",
    "delivered",
    "in_aim",
    "worst_10s",
    "p50_ms",
    "p99_ms",
    "over_1s",
    "over_cold",
    "calls",
    "unsafe_failed",
)
LEAST = 0.02  # relative to the figure: variation by a real clock and TCP that the model does not have
EXPERIMENTS, SEEDS = 200, 10
CORES = len(os.sched_getaffinity(0))


def quiet(done: int, every: int) -> None:
    """Ignores progress reports."""


def live(files: list[Path], seeds: int) -> list[dict[str, Any]]:
    rows: list[dict[str, Any]] = []
    experiments = [read(file) for file in files]
    jobs = [(each, each.variants[0], seed) for each in experiments for seed in range(1, seeds + 1)]
    with ProcessPoolExecutor(min(4, len(jobs)), get_context("spawn")) as pool:
        results = list(pool.map(one_live, *zip(*jobs, strict=True)))
    for n, experiment in enumerate(experiments):
        with tempfile.TemporaryDirectory() as folder:
            Runs(experiment, Path(folder)).run(CORES, quiet)
            (model,) = by_variant(Path(folder)).values()
        live_results = results[n * seeds : (n + 1) * seeds]
        breaks = sum(result.breaks for result in live_results)
        for name in FIGURES:
            model_values = np.array([value for value in row(model, name) if not math.isnan(value)])
            live_values = [
                value for value in (result.figure(name) for result in live_results) if not math.isnan(value)
            ]
            if not len(model_values) or not live_values:
                continue
            mean = float(model_values.mean())
            half_width = float(
                stats.t.ppf(0.975, len(model_values) - 1)
                * model_values.std(ddof=1)
                * math.sqrt(1 / len(model_values) + 1 / len(live_values))
            )
            half_width = max(half_width, LEAST * abs(mean))
            live_mean = float(np.mean(live_values))
            rows.append(
                {
                    "experiment": experiment.name.rpartition(": ")[2],
                    "figure": name,
                    "model": mean,
                    "low": mean - half_width,
                    "high": mean + half_width,
                    "live": live_mean,
                    "agrees": mean - half_width <= live_mean <= mean + half_width,
                    "rules broken live": breaks,
                }
            )
    return rows


def sized(relays: int, rate: float, seconds: float) -> Experiment:
    return decoded(
        {
            "name": "speed",
            "traffic": {"rate": rate, "seconds": seconds, "warm_s": 1.0},
            "partners": [{"slots": 400, "listed_rate": 2 * rate}] * min(40, max(2, relays)),
            "fleet": {"relays": relays, "slots": 64, "hold": 300},
        },
        "speed",
    )


def timed(experiment: Experiment, seed: int) -> tuple[float, float]:
    """Runs one seed; returns (wall-clock seconds, virtual seconds)."""
    started_at = time.perf_counter()
    one(experiment, experiment.variants[0], seed)
    longest = max(class_.deadline_ms for class_ in experiment.classes) / 1000
    return time.perf_counter() - started_at, experiment.traffic.seconds + longest


def speed() -> list[dict[str, Any]]:
    rows: list[dict[str, Any]] = []
    for relays, rate in (
        (1, 25.0),
        (5, 125.0),
        (20, 500.0),
        (40, 250.0),
        (40, 1000.0),
        (100, 1000.0),
        (200, 1000.0),
    ):
        experiment = sized(relays, rate, max(20.0, 6000.0 / rate))
        single_s, _ = timed(experiment, 1)
        started_at = time.perf_counter()
        with ProcessPoolExecutor(CORES, get_context("forkserver")) as pool:
            list(pool.map(timed, [experiment] * CORES, range(CORES)))
        parallel_s = time.perf_counter() - started_at
        rows.append(
            {
                "relays": relays,
                "messages a s": rate,
                "one process": experiment.traffic.seconds / single_s,
                "all processes": CORES * experiment.traffic.seconds / parallel_s,
                "processes": CORES,
                "us a message": single_s * 1e6 / (rate * experiment.traffic.seconds),
            }
        )
    return rows


def common() -> list[dict[str, Any]]:
    rows: list[dict[str, Any]] = []
    for kind in ("none", "streams", "calls"):
        experiment = decoded(
            {
                "name": "common",
                "seeds": 40,
                "common": kind,
                "traffic": {"rate": 30.0, "seconds": 30.0, "warm_s": 3.0},
                "partners": [
                    {
                        "rate": {"per_s": 40.0},
                        "error": 0.03,
                        "reset": 0.02,
                        "refuse": 0.03,
                        "cold": {"share": 0.3, "warm_ms": 4000.0},
                        "troubles": [{"fault": "down", "begin_s": 10, "end_s": 13}],
                    }
                ],
                "fleet": {"relays": 3},
                "variants": [{"name": "A"}, {"name": "B", "constants": {"control.RETRY_MS": 240.0}}],
            },
            "common",
        )
        with tempfile.TemporaryDirectory() as folder:
            Runs(experiment, Path(folder)).run(CORES, quiet)
            runs = by_variant(Path(folder))
        diff = difference(row(runs["A"], "service"), row(runs["B"], "service"))
        rows.append({"common": kind, "mean": diff.mean, "half": diff.half})
    for entry in rows:
        entry["variance"] = (entry["half"] / rows[0]["half"]) ** 2
    return rows


def coverage() -> list[dict[str, Any]]:
    """Compares identical variants A and B in independent runs, with a new pair for each seed."""
    experiment = decoded(
        {
            "name": "a/a",
            "seeds": EXPERIMENTS * SEEDS,
            "common": "none",
            "traffic": {"rate": 15.0, "seconds": 4.0, "warm_s": 0.5},
            "partners": [{"rate": {"per_s": 25.0}, "error": 0.05, "slots": 4}],
            "fleet": {"relays": 2},
            "classes": [
                {"name": "order", "effect": "by_key", "aim_ms": 500, "deadline_ms": 3000},
                {"name": "pay", "effect": "once", "aim_ms": 500, "deadline_ms": 3000},
            ],
            "variants": [{"name": "A"}, {"name": "B"}],
        },
        "a/a",
    )
    with tempfile.TemporaryDirectory() as folder:
        Runs(experiment, Path(folder)).run(CORES, quiet)
        runs = by_variant(Path(folder))
    a, b = np.array(row(runs["A"], "service")), np.array(row(runs["B"], "service"))
    complete = sum(
        difference(list(a[n::EXPERIMENTS]), list(b[n::EXPERIMENTS])).holds(0.0) for n in range(EXPERIMENTS)
    )
    diffs, rng = a - b, stream(1, "stopping")
    target = float(diffs.std()) * float(stats.t.ppf(0.975, 20)) / math.sqrt(20)  # about 20 seeds
    stopped, seeds_used = 0, 0
    for _ in range(EXPERIMENTS * 5):
        drawn = rng.choice(diffs, 60, replace=False) - diffs.mean()
        for n in looks(60):
            interval = difference([0.0] * n, list(drawn[:n]))
            if interval.half <= target:
                break
        stopped += interval.holds(0.0)
        seeds_used += n
    return [
        {"what": f"{SEEDS} seeds, not stopped", "experiments": EXPERIMENTS, "covers": complete / EXPERIMENTS},
        {
            "what": f"stopped early, {seeds_used / EXPERIMENTS / 5:.0f} seeds on average",
            "experiments": EXPERIMENTS * 5,
            "covers": stopped / EXPERIMENTS / 5,
        },
    ]


def main() -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.model")
    parser.add_argument("--json", action="store_true")
    parser.add_argument("what", choices=("live", "speed", "common", "coverage"))
    parser.add_argument("files", type=Path, nargs="*", default=FILES)
    parser.add_argument("--seeds", type=int, default=3)
    args = parser.parse_args()
    match args.what:
        case "live":
            report(
                live(args.files, args.seeds),
                args.json,
                (
                    "experiment              figure              model         low        high        live"
                    "  agrees",
                ),
                "{experiment:24}{figure:14}{model:11.4f} {low:11.4f} {high:11.4f} {live:11.4f}  {agrees}",
            )
        case "speed":
            report(
                speed(),
                args.json,
                (
                    f"virtual seconds a second; {CORES} processes, a seed each",
                    "relays  messages/s  one process  all processes  us/message",
                ),
                "{relays:6}{messages a s:12.0f}{one process:13.1f}{all processes:15.1f}{us a message:12.0f}",
            )
        case "common":
            report(
                common(),
                args.json,
                ("common     difference  half width  variance of the difference",),
                "{common:8}{mean:13.5f}{half:12.5f}{variance:28.2f}",
            )
        case _:
            report(
                coverage(),
                args.json,
                ("interval                             experiments  covers zero",),
                "{what:37}{experiments:11}{covers:13.3f}",
            )
    return 0


if __name__ == "__main__":
    sys.exit(main())
