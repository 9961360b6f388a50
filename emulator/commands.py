"""The commands of `python -m emulator`."""

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
WRONG, INTERRUPTED = 2, 130


def fail(text: object) -> None:
    click.echo(text, err=True)
    sys.exit(WRONG)


@contextmanager
def told() -> Iterator[None]:
    """What is wrong with a file or a folder is one plain text and exit code 2."""
    try:
        yield
    except (ExperimentError, RunsError, traces.TraceError) as error:
        fail(error)


@contextmanager
def bar() -> Iterator[Any]:
    """Called with runs done, of so many: a bar on a terminal, a line for each tenth elsewhere."""
    console = Console(stderr=True)
    if console.is_terminal:
        with Progress(
            TextColumn("{task.description}"),
            BarColumn(),
            MofNCompleteColumn(),
            TimeRemainingColumn(),
            console=console,
        ) as shown:
            task = shown.add_task("runs", total=None)
            yield lambda done, every: shown.update(task, completed=done, total=every)
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
    """Model partners and a fleet, and tell what a change would do."""


main.add_command(capacity)


def cores() -> int:
    return len(os.sched_getaffinity(0))


def carry_out(it: Experiment, out: Path, processes: int, resume: bool) -> None:
    with told():
        runs = Runs(it, out, resume)
        try:
            with bar() as progress:
                seeds = runs.run(processes, progress)
        except KeyboardInterrupt:
            click.echo(f"stopped; what is done stays in {out}: go on with --resume", err=True)
            sys.exit(INTERRUPTED)
    click.echo(f"{seeds} seeds of {len(runs.variants)} variants in {out}", err=True)


OUT = click.option("--out", type=FILE, help="The folder of the results; else the file's name beside it.")
PROCESSES = click.option("--processes", type=click.IntRange(1, 256), default=None, help="Default: all cores.")
RESUME = click.option("--resume", is_flag=True, help="Go on with what an interrupted run has left.")
JSON = click.option("--json", "as_json", is_flag=True)


def folder_of(file: Path, out: Path | None) -> Path:
    return out or file.with_suffix(".results")


@main.command()
@click.argument("file", type=FILE)
@OUT
@PROCESSES
@RESUME
@JSON
def run(file: Path, out: Path | None, processes: int | None, resume: bool, as_json: bool) -> None:
    """Run the experiment in FILE: all its variants over all its seeds; then show the figures."""
    with told():
        it = read(file)
    folder = folder_of(file, out)
    carry_out(it, folder, processes or cores(), resume)
    show(folder, as_json)


@main.command()
@click.argument("file", type=FILE)
@OUT
@RESUME
@JSON
@click.option("--seeds", type=click.IntRange(1, 100), default=3, show_default=True)
def live(file: Path, out: Path | None, resume: bool, as_json: bool, seeds: int) -> None:
    """Run the experiment in FILE with real relays over loopback, in real time, so many seeds of it."""
    from .live import LiveError, one

    with told():
        it = msgspec.structs.replace(read(file), seeds=seeds, half_width=None)
        folder = out or file.with_suffix(".live")
        runs = Runs(it, folder, resume)
        every, done = seeds * len(runs.variants), 0
        try:
            with bar() as progress:
                for seed in runs.seeds():
                    for variant in runs.variants:
                        if not runs.path(variant, seed).exists():
                            runs.keep(one(it, variant, seed))
                        done += 1
                        progress(done, every)
        except LiveError as error:
            fail(error)
        except KeyboardInterrupt:
            click.echo(f"stopped; what is done stays in {folder}: go on with --resume", err=True)
            sys.exit(INTERRUPTED)
        runs.collect(runs.seeds())
    show(folder, as_json)


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
    """Hand in messages at RELAYS (HOST:PORT), open loop; waits count from the intended moment."""
    from message_relay.config import address

    from .load import Plan
    from .load import run as carry

    try:
        places = tuple(address(text) for text in relays)
    except ValueError as error:
        fail(f"relays: {error}")
    found = carry(
        Plan(places, rate, seconds, processes=processes, destinations=destinations, bytes=size, seed=seed)
    )
    out = {
        "taken": found.taken,
        "answers": dict(found.answers),
        "taken a second": found.taken / seconds,
        "ms": {f"p{each:g}": round(found.ms(each), 3) for each in (50, 90, 99, 99.9)},
        "generator p99 ms": found.late.get_value_at_percentile(99) / 1000,
        "limit": found.limit,
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
    """Check an experiment's FILE; 0 if it makes sense, 2 if not, with each fault on a line."""
    with told():
        it = read(file)
    click.echo(f"{file}: good: {len(it.all_variants())} variants, {it.seeds} seeds")


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
    """Run the first variant of FILE against each combination of the values that are set."""
    with told():
        it = read(file)
        grid: dict[str, list[float]] = {}
        for text in sets:
            path, equals, values = text.partition("=")
            try:
                grid[path] = [float(value) for value in values.split(",")]
            except ValueError:
                fail(f"--set: {text!r} is not CONSTANT=V1,V2,...")
        raw = {**msgspec.to_builtins(it), "grid": grid, "variants": msgspec.to_builtins(it.variants[:1])}
        it = decoded(raw, str(file))
    folder = out or file.with_suffix(".sweep")
    carry_out(it, folder, processes or cores(), resume)
    show(folder, as_json)


@main.command()
@click.argument("folder", type=FILE)
@click.argument("other", type=FILE, required=False)
@click.option("--variants", nargs=2, type=str, default=None, help="Which two; else the first and each other.")
@JSON
def compare(folder: Path, other: Path | None, variants: tuple[str, str] | None, as_json: bool) -> None:
    """Show the figures of the results in FOLDER, with paired differences; with OTHER, the first variants of
    both, seed by seed."""
    show(folder, as_json, variants, other)


def beside(folder: Path, other: Path) -> dict[str, list[Result]]:
    """The first variant of each, over the seeds that both have. Raises RunsError."""
    firsts = [next(iter(by_variant(each).values())) for each in (folder, other)]
    seeds = set.intersection(*({result.seed for result in results} for results in firsts))
    if not seeds:
        raise RunsError(f"{folder} and {other} have no seed in common")
    rows = [[result for result in results if result.seed in seeds] for results in firsts]
    return {str(folder): rows[0], str(other): rows[1]}


def show(
    folder: Path, as_json: bool, names: tuple[str, str] | None = None, other: Path | None = None
) -> None:
    with told():
        it = manifest(folder).experiment
        found = by_variant(folder) if other is None else beside(folder, other)
        if names:
            for name in names:
                if name not in found:
                    fail(f"{folder}: {name!r} is none of {', '.join(found)}")
            found = {name: found[name] for name in names}
    rows = figures(found)
    if as_json:
        json.dump({"experiment": it.name, "rows": rows}, sys.stdout, indent=1)
        click.echo()
        return
    first, console = next(iter(found)), Console(width=None if sys.stdout.isatty() else 160)
    table = Table(title=it.name)
    for head in ("variant", "figure", "mean", "95%", f"less {first}", "95%", ""):
        table.add_column(head, justify="left" if head in ("variant", "figure", "") else "right")
    for each in rows:
        diff = each.get("difference")
        table.add_row(
            each["variant"],
            each["figure"],
            number(each["mean"]),
            f"{number(each['low'])} to {number(each['high'])}",
            *(
                ("", "", "")
                if diff is None
                else (
                    number(diff["mean"]),
                    f"{number(diff['low'])} to {number(diff['high'])}",
                    diff["verdict"] + (f" ({diff['warning']})" if diff["warning"] else ""),
                )
            ),
        )
    console.print(table)
    bad = {name: sum(result.breaks for result in results) for name, results in found.items()}
    console.print("rules broken: " + ", ".join(f"{name} {count}" for name, count in bad.items()))


def number(value: float | None) -> str:
    return "-" if value is None else f"{value:.4g}"


def figures(found: dict[str, list[Any]]) -> list[dict[str, Any]]:
    names, out = list(found), []
    for name in names:
        for measure, (_, more) in MEASURES.items():
            values = row(found[name], measure)
            if all(math.isnan(value) for value in values):
                continue
            here = interval(values)
            line: dict[str, Any] = {
                "variant": name,
                "figure": measure,
                "mean": here.mean,
                "low": here.low,
                "high": here.high,
                "seeds": here.seeds,
            }
            if name != names[0]:
                diff = difference(row(found[names[0]], measure), values)
                line["difference"] = {
                    "mean": diff.mean,
                    "low": diff.low,
                    "high": diff.high,
                    "verdict": verdict(diff, more),
                    "warning": diff.warning,
                }
            out.append(line)
    return out


@main.command()
@click.argument("folder", type=FILE)
def report(folder: Path) -> None:
    """Write FOLDER/report.html: one file, with verdicts, tables and pictures."""
    from .report import report as write

    with told():
        click.echo(write(folder))


# -- traces ----------------------------------------------------------------------------------------------


@main.group()
def trace() -> None:
    """Recorded traffic: what it holds, a model of it, parts and multiples of it."""


@trace.command("stats")
@click.argument("file", type=FILE)
@JSON
def trace_stats(file: Path, as_json: bool) -> None:
    """What the trace in FILE holds."""
    with told():
        found = traces.stats(file)
    told_ = {
        "messages": found.messages,
        "seconds": round(found.last_ms / 1000, 1),
        "rate": round(found.rate, 2),
        "busiest second over mean": round(found.busiest, 2),
        "classes": dict(found.classes),
        "destinations": len(found.destinations),
        "tenants": len(found.tenants),
        "bytes a message": round(found.bytes / max(1, found.messages)),
        "ids again": found.again,
        "unreadable": found.notes.unreadable,
        "out of order": found.notes.out_of_order,
        "times changed": found.notes.late,
    }
    if as_json:
        json.dump(told_, sys.stdout, indent=1)
        click.echo()
        return
    for name, value in told_.items():
        click.echo(f"{name}: {value}")


@trace.command("fit")
@click.argument("file", type=FILE)
def trace_fit(file: Path) -> None:
    """Print a model of the trace in FILE, as an experiment's [traffic]."""
    with told():
        found = traces.stats(file)
        if found.messages < 10:
            fail(f"{file}: {found.messages} messages are too few for a model")
        click.echo(traces.fit(found).toml(), nl=False)


@trace.command("cut")
@click.argument("file", type=FILE)
@click.argument("out", type=FILE)
@click.option("--begin-s", type=click.FloatRange(0), default=0.0)
@click.option("--end-s", type=click.FloatRange(0), required=True)
def trace_cut(file: Path, out: Path, begin_s: float, end_s: float) -> None:
    """Write a part of the trace in FILE to OUT."""
    with told():
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
    """Write so many times the messages of the trace in FILE to OUT, at the same shape."""
    with told():
        count = traces.write(
            out, traces.scale(traces.read(file), times, stream(seed, "scale")), traces.Head(traces.VERSION)
        )
    click.echo(f"{count} messages in {out}")
