"""The command line interface of `python -m emulator`."""

from __future__ import annotations

import json
import math
import os
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import click
import msgspec
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn
from rich.table import Table

from . import trace as traces
from .capacity.command import capacity
from .draws import stream
from .experiment import Experiment, ExperimentError, decoded, read
from .intervals import difference, interval, verdict
from .measure_names import MEASURES
from .runs import Result, Runs, RunsError, by_variant, manifest, row

FILE = click.Path(path_type=Path)
EXIT_INVALID, EXIT_INTERRUPTED = 2, 130


def fail(text: object) -> None:
    click.echo(text, err=True)
    sys.exit(EXIT_INVALID)


@contextmanager
def report_errors() -> Iterator[None]:
    """Prints an error about a file or a folder as plain text and exits with code 2."""
    try:
        yield
    except (ExperimentError, RunsError, traces.TraceError) as error:
        fail(error)


@contextmanager
def progress_bar() -> Iterator[Any]:
    """Yields a callback (runs done, runs in total). It draws a progress bar on a terminal, and otherwise
    prints a line after each tenth of the runs."""
    console = Console(stderr=True)
    if console.is_terminal:
        with Progress(
            TextColumn("{task.description}"),
            BarColumn(),
            MofNCompleteColumn(),
            TimeRemainingColumn(),
            console=console,
        ) as progress:
            task = progress.add_task("runs", total=None)
            yield lambda done, every: progress.update(task, completed=done, total=every)
        return
    last = -1

    def line(done: int, every: int) -> None:
        nonlocal last
        if done * 10 // max(1, every) != last:
            last = done * 10 // max(1, every)
            click.echo(f"{done} of {every} runs", err=True)

    yield line


@click.group()
def main() -> None:
    """Model partners and a fleet of relays, and predict the effect of a change."""


main.add_command(capacity)


def available_cores() -> int:
    return len(os.sched_getaffinity(0))


def run_experiment(experiment: Experiment, out: Path, processes: int, resume: bool) -> None:
    with report_errors():
        runs = Runs(experiment, out, resume)
        try:
            with progress_bar() as progress:
                seeds = runs.run(processes, progress)
        except KeyboardInterrupt:
            click.echo(f"stopped; what is done stays in {out}: go on with --resume", err=True)
            sys.exit(EXIT_INTERRUPTED)
    click.echo(f"{seeds} seeds of {len(runs.variants)} variants in {out}", err=True)


OUT = click.option("--out", type=FILE, help="Folder of the results. Default: beside FILE, with its name.")
PROCESSES = click.option("--processes", type=click.IntRange(1, 256), default=None, help="Default: all cores.")
RESUME = click.option("--resume", is_flag=True, help="Continue an interrupted run.")
JSON = click.option("--json", "as_json", is_flag=True)


def results_folder(file: Path, out: Path | None) -> Path:
    return out or file.with_suffix(".results")


@main.command()
@click.argument("file", type=FILE)
@OUT
@PROCESSES
@RESUME
@JSON
def run(file: Path, out: Path | None, processes: int | None, resume: bool, as_json: bool) -> None:
    """Run the experiment in FILE, all variants over all seeds, and show the figures."""
    with report_errors():
        experiment = read(file)
    folder = results_folder(file, out)
    run_experiment(experiment, folder, processes or available_cores(), resume)
    print_figures(folder, as_json)


@main.command()
@click.argument("file", type=FILE)
@OUT
@RESUME
@JSON
@click.option("--seeds", type=click.IntRange(1, 100), default=3, show_default=True)
def live(file: Path, out: Path | None, resume: bool, as_json: bool, seeds: int) -> None:
    """Run the experiment in FILE with real relays over loopback, in real time, over a number of seeds."""
    from .live import LiveError, one

    with report_errors():
        experiment = msgspec.structs.replace(read(file), seeds=seeds, half_width=None)
        folder = out or file.with_suffix(".live")
        runs = Runs(experiment, folder, resume)
        every, done = seeds * len(runs.variants), 0
        try:
            with progress_bar() as progress:
                for seed in runs.seeds():
                    for variant in runs.variants:
                        if not runs.path(variant, seed).exists():
                            runs.store(one(experiment, variant, seed))
                        done += 1
                        progress(done, every)
        except LiveError as error:
            fail(error)
        except KeyboardInterrupt:
            click.echo(f"stopped; what is done stays in {folder}: go on with --resume", err=True)
            sys.exit(EXIT_INTERRUPTED)
        runs.collect(runs.seeds())
    print_figures(folder, as_json)


@main.command()
@click.argument("relays", nargs=-1, required=True)
@click.option("--rate", type=click.FloatRange(0.1, 100_000), default=100.0, show_default=True)
@click.option("--seconds", type=click.FloatRange(1, 3600), default=10.0, show_default=True)
@click.option("--processes", type=click.IntRange(1, 64), default=2, show_default=True)
@click.option("--destinations", type=click.IntRange(1, 100_000), default=1, show_default=True)
@click.option("--bytes", "size", type=click.IntRange(0, 65536), default=300, show_default=True)
@click.option("--seed", type=int, default=1)
@JSON
def load(
    relays: tuple[str, ...],
    rate: float,
    seconds: float,
    processes: int,
    destinations: int,
    size: int,
    seed: int,
    as_json: bool,
) -> None:
    """Submit messages to RELAYS (HOST:PORT), open loop. Latency counts from the intended send time."""
    from message_relay.config import address

    from .load import Plan
    from .load import run as run_load

    try:
        addresses = tuple(address(text) for text in relays)
    except ValueError as error:
        fail(f"relays: {error}")
    total = run_load(
        Plan(addresses, rate, seconds, processes=processes, destinations=destinations, bytes=size, seed=seed)
    )
    out = {
        "taken": total.accepted,
        "answers": dict(total.answers),
        "taken a second": total.accepted / seconds,
        "ms": {f"p{each:g}": round(total.ms(each), 3) for each in (50, 90, 99, 99.9)},
        "generator p99 ms": total.late.get_value_at_percentile(99) / 1000,
        "limit": total.limit,
    }
    if as_json:
        json.dump(out, sys.stdout, indent=1)
        click.echo()
        return
    for name, value in out.items():
        click.echo(f"{name}: {value}")


@main.command()
@click.argument("file", type=FILE)
def check(file: Path) -> None:
    """Check the experiment in FILE. Exits with 0 if it is valid, else with 2 and one line for each error."""
    with report_errors():
        experiment = read(file)
    click.echo(f"{file}: good: {len(experiment.all_variants())} variants, {experiment.seeds} seeds")


@main.command()
@click.argument("file", type=FILE)
@click.option("--set", "sets", multiple=True, required=True, metavar="CONSTANT=V1,V2,...")
@OUT
@PROCESSES
@RESUME
@JSON
def sweep(
    file: Path, sets: tuple[str, ...], out: Path | None, processes: int | None, resume: bool, as_json: bool
) -> None:
    """Run the first variant of FILE and compare it with each combination of the values of --set."""
    with report_errors():
        experiment = read(file)
        grid: dict[str, list[float]] = {}
        for text in sets:
            path, equals, values = text.partition("=")
            try:
                grid[path] = [float(value) for value in values.split(",")]
            except ValueError:
                fail(f"--set: {text!r} is not CONSTANT=V1,V2,...")
        raw = {
            **msgspec.to_builtins(experiment),
            "grid": grid,
            "variants": msgspec.to_builtins(experiment.variants[:1]),
        }
        experiment = decoded(raw, str(file))
    folder = out or file.with_suffix(".sweep")
    run_experiment(experiment, folder, processes or available_cores(), resume)
    print_figures(folder, as_json)


@main.command()
@click.argument("folder", type=FILE)
@click.argument("other", type=FILE, required=False)
@click.option(
    "--variants",
    nargs=2,
    type=str,
    default=None,
    help="The two to compare. Default: the first with each other one.",
)
@JSON
def compare(folder: Path, other: Path | None, variants: tuple[str, str] | None, as_json: bool) -> None:
    """Show the figures of the results in FOLDER, with paired differences. With OTHER, compare the first
    variants of both folders, seed by seed."""
    print_figures(folder, as_json, variants, other)


def first_variants(folder: Path, other: Path) -> dict[str, list[Result]]:
    """The results of the first variant of each folder, for the seeds that both have. Raises RunsError."""
    firsts = [next(iter(by_variant(each).values())) for each in (folder, other)]
    seeds = set.intersection(*({result.seed for result in results} for results in firsts))
    if not seeds:
        raise RunsError(f"{folder} and {other} have no seed in common")
    rows = [[result for result in results if result.seed in seeds] for results in firsts]
    return {str(folder): rows[0], str(other): rows[1]}


def print_figures(
    folder: Path, as_json: bool, names: tuple[str, str] | None = None, other: Path | None = None
) -> None:
    with report_errors():
        experiment = manifest(folder).experiment
        by_name = by_variant(folder) if other is None else first_variants(folder, other)
        if names:
            for name in names:
                if name not in by_name:
                    fail(f"{folder}: {name!r} is none of {', '.join(by_name)}")
            by_name = {name: by_name[name] for name in names}
    rows = figure_rows(by_name)
    if as_json:
        json.dump({"experiment": experiment.name, "rows": rows}, sys.stdout, indent=1)
        click.echo()
        return
    first, console = next(iter(by_name)), Console(width=None if sys.stdout.isatty() else 160)
    table = Table(title=experiment.name)
    for head in ("variant", "figure", "mean", "95%", f"less {first}", "95%", ""):
        table.add_column(head, justify="left" if head in ("variant", "figure", "") else "right")
    for line in rows:
        diff = line.get("difference")
        table.add_row(
            line["variant"],
            line["figure"],
            format_number(line["mean"]),
            f"{format_number(line['low'])} to {format_number(line['high'])}",
            *(
                ("", "", "")
                if diff is None
                else (
                    format_number(diff["mean"]),
                    f"{format_number(diff['low'])} to {format_number(diff['high'])}",
                    diff["verdict"] + (f" ({diff['warning']})" if diff["warning"] else ""),
                )
            ),
        )
    console.print(table)
    violations = {name: sum(result.breaks for result in results) for name, results in by_name.items()}
    console.print("rules broken: " + ", ".join(f"{name} {count}" for name, count in violations.items()))


def format_number(value: float | None) -> str:
    return "-" if value is None else f"{value:.4g}"


def figure_rows(results_by_variant: dict[str, list[Any]]) -> list[dict[str, Any]]:
    names, out = list(results_by_variant), []
    for name in names:
        for measure, (_, more_is_better) in MEASURES.items():
            values = row(results_by_variant[name], measure)
            if all(math.isnan(value) for value in values):
                continue
            mean = interval(values)
            line: dict[str, Any] = {
                "variant": name,
                "figure": measure,
                "mean": mean.mean,
                "low": mean.low,
                "high": mean.high,
                "seeds": mean.seeds,
            }
            if name != names[0]:
                diff = difference(row(results_by_variant[names[0]], measure), values)
                line["difference"] = {
                    "mean": diff.mean,
                    "low": diff.low,
                    "high": diff.high,
                    "verdict": verdict(diff, more_is_better),
                    "warning": diff.warning,
                }
            out.append(line)
    return out


@main.command()
@click.argument("folder", type=FILE)
def report(folder: Path) -> None:
    """Write FOLDER/report.html: one self-contained file with verdicts, tables and charts."""
    from .report import report as write

    with report_errors():
        click.echo(write(folder))


# -- traces ----------------------------------------------------------------------------------------------


@main.group()
def trace() -> None:
    """Recorded traffic: show its contents, fit a model to it, cut and scale it."""


@trace.command("stats")
@click.argument("file", type=FILE)
@JSON
def trace_stats(file: Path, as_json: bool) -> None:
    """Show statistics of the trace in FILE."""
    with report_errors():
        stats = traces.stats(file)
    summary = {
        "messages": stats.messages,
        "seconds": round(stats.last_ms / 1000, 1),
        "rate": round(stats.rate, 2),
        "busiest second over mean": round(stats.busiest, 2),
        "classes": dict(stats.classes),
        "destinations": len(stats.destinations),
        "tenants": len(stats.tenants),
        "bytes a message": round(stats.bytes / max(1, stats.messages)),
        "ids again": stats.repeated_ids,
        "unreadable": stats.notes.unreadable,
        "out of order": stats.notes.out_of_order,
        "times changed": stats.notes.late,
    }
    if as_json:
        json.dump(summary, sys.stdout, indent=1)
        click.echo()
        return
    for name, value in summary.items():
        click.echo(f"{name}: {value}")


@trace.command("fit")
@click.argument("file", type=FILE)
def trace_fit(file: Path) -> None:
    """Print a model of the trace in FILE, as an experiment's [traffic]."""
    with report_errors():
        stats = traces.stats(file)
        if stats.messages < 10:
            fail(f"{file}: {stats.messages} messages are too few for a model")
        click.echo(traces.fit(stats).toml(), nl=False)


@trace.command("cut")
@click.argument("file", type=FILE)
@click.argument("out", type=FILE)
@click.option("--begin-s", type=click.FloatRange(0), default=0.0)
@click.option("--end-s", type=click.FloatRange(0), required=True)
def trace_cut(file: Path, out: Path, begin_s: float, end_s: float) -> None:
    """Write a part of the trace in FILE to OUT."""
    with report_errors():
        notes = traces.Notes()
        lines = traces.cut(traces.read(file, notes), begin_s * 1000, end_s * 1000)
        count = traces.write(out, lines, traces.Head(traces.VERSION))
    click.echo(f"{count} messages in {out}")


@trace.command("scale")
@click.argument("file", type=FILE)
@click.argument("out", type=FILE)
@click.option("--times", type=click.FloatRange(0, 1000, min_open=True), required=True)
@click.option("--seed", type=int, default=1)
def trace_scale(file: Path, out: Path, times: float, seed: int) -> None:
    """Write the trace in FILE to OUT with the number of its messages multiplied, at the same shape."""
    with report_errors():
        count = traces.write(
            out, traces.scale(traces.read(file), times, stream(seed, "scale")), traces.Head(traces.VERSION)
        )
    click.echo(f"{count} messages in {out}")
