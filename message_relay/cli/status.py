"""`status`: what instances and their supervisor tell of themselves, as tables, JSON or Prometheus' text."""

from __future__ import annotations

import asyncio
import sys
import time
from collections.abc import Sequence
from pathlib import Path

import click
import msgspec
from rich.console import Console, Group
from rich.live import Live
from rich.table import Table

from ..fleet.operator import OperatorError, read
from ..fleet.report import FleetReport, Report
from ..fleet.status import StatusError, fetch_report, socket_folder

SHOWN = 20  # destinations in the table; --json has all that are told
TOGETHER = 16  # sockets asked at once


async def asked(folder: Path) -> tuple[list[Report], FleetReport | None, list[str]]:
    """What answers in a folder, and what does not."""
    gate = asyncio.Semaphore(TOGETHER)

    async def one(path: Path) -> Report | FleetReport | str:
        async with gate:
            try:
                return await fetch_report(path)
            except StatusError as error:
                return str(error)

    found = await asyncio.gather(*(one(path) for path in sorted(folder.glob("*.sock"))))
    instances = sorted((it for it in found if isinstance(it, Report)), key=lambda it: it.instance)
    fleet = next((it for it in found if isinstance(it, FleetReport)), None)
    return instances, fleet, [it for it in found if isinstance(it, str)]


def instances_table(reports: Sequence[Report]) -> Table:
    table = Table(
        "instance",
        "state",
        "held",
        "slots",
        "ends",
        "journal kB",
        "RSS MB",
        "CPU s",
        "lag ms",
        title=f"{len(reports)} instances",
    )
    for it in reports:
        table.add_row(
            f"{it.instance} ({it.name})",
            it.state,
            f"{it.held}/{it.hold}",
            f"{it.slots_out}/{it.slots}",
            str(it.ends_waiting),
            f"{it.journal_bytes / 1000:.0f}/{it.journal_limit / 1000:.0f}",
            f"{it.rss_mb:.1f}",
            f"{it.cpu_s:.1f}",
            f"{it.lag.median_ms:.1f} to {it.lag.most_ms:.1f}",
        )
    return table


def destinations_table(reports: Sequence[Report]) -> Table:
    table = Table(
        "destination",
        "instance",
        "endpoints",
        "held",
        "out",
        "pace/s",
        "part",
        "blame",
        "state",
        title="destinations, most held first",
    )
    rows = sorted(
        ((one, it) for it in reports for one in it.destinations),
        key=lambda row: (-row[0].held, -row[0].out, row[0].destination, row[1].instance),
    )
    for one, it in rows[:SHOWN]:
        state = ["down"] * one.down + [f"told to wait {one.wait_ms:.0f} ms"] * (one.wait_ms > 0)
        state += ["cold"] * (one.cold_ms is not None)
        name = str(one.destination) if one.route is None else f"{one.destination}, route {one.route}"
        table.add_row(
            name,
            str(it.instance),
            str(one.endpoints),
            str(one.held),
            str(one.out),
            f"{one.pace:.2f}",
            "-" if one.part is None else f"{one.part:.2f}",
            f"{one.blame:.2f}",
            ", ".join(state) or "well",
        )
    more = len(rows) - SHOWN + sum(it.more for it in reports)
    if more > 0:
        table.caption = f"and {more} more: --json tells them"
    return table


def shards_table(reports: Sequence[Report]) -> Table:
    """Of a directory by interest: what each instance knows, and how old that is."""
    table = Table("instance", "role", "state", title="directory by interest")
    for it in reports:
        for role, told in (it.shards or {}).items():
            said = ", ".join(f"{name} {shown_value(value)}" for name, value in told.items())
            table.add_row(str(it.instance), role, said)
    return table


def shown_value(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.1f}"
    return ".".join(map(str, value)) if isinstance(value, list | tuple) else str(value)


def fleet_table(fleet: FleetReport) -> Table:
    table = Table(
        "instance",
        "state",
        "for s",
        "crashes",
        "restarts",
        "why",
        title=f"{fleet.up} of {fleet.instances} up" + ", stopping" * fleet.stopping,
    )
    for line in fleet.lines:
        if line.state != "up" or line.crashes or line.why:
            table.add_row(
                str(line.instance),
                "crash loop" if line.crash_loop else line.state,
                f"{line.for_s:.0f}",
                str(line.crashes),
                str(line.restarts),
                line.why,
            )
    return table


def prometheus(reports: Sequence[Report], fleet: FleetReport | None) -> str:
    """Prometheus' text format, as of now."""
    from prometheus_client import CollectorRegistry, Gauge, generate_latest

    registry = CollectorRegistry()

    def gauge(name: str, text: str, *labels: str) -> Gauge:
        return Gauge(f"linnetstile_{name}", text, labels, registry=registry)

    held = gauge("held_messages", "Messages held", "instance", "class")
    simple = {
        name: gauge(name, text, "instance")
        for name, text in (
            ("slots_out", "Calls out"),
            ("ends_waiting", "Final answers still to be passed on"),
            ("journal_bytes", "Size of the journal"),
            ("rss_mb", "Resident memory in MB"),
            ("cpu_s", "Processor time in seconds"),
        )
    }
    lag = gauge("loop_lag_ms", "Longest delay of the loop over the last 10 s", "instance")
    down = gauge("destinations_down", "Destinations taken as out", "instance")
    for it in reports:
        for name, count in it.by_class.items():
            held.labels(it.instance, name).set(count)
        for name, one in simple.items():
            one.labels(it.instance).set(getattr(it, name))
        lag.labels(it.instance).set(it.lag.most_ms)
        down.labels(it.instance).set(sum(dest.down for dest in it.destinations))
    if fleet is not None:
        gauge("instances_up", "Instances that are up").set(fleet.up)
        gauge("crash_loops", "Instances that crash again and again").set(
            sum(line.crash_loop for line in fleet.lines)
        )
    return generate_latest(registry).decode()


def as_json(reports: Sequence[Report], fleet: FleetReport | None, silent: Sequence[str]) -> str:
    whole = msgspec.json.encode({"fleet": fleet, "instances": reports, "silent": silent})
    return msgspec.json.format(whole).decode()


def shown(reports: Sequence[Report], fleet: FleetReport | None, silent: Sequence[str]) -> Group:
    parts: list[Table | str] = [] if fleet is None else [fleet_table(fleet)]
    parts += [instances_table(reports), destinations_table(reports)] if reports else []
    parts += [shards_table(reports)] if any(it.shards for it in reports) else []
    return Group(*parts, *(f"silent: {text}" for text in silent))


@click.command()
@click.option(
    "--config", type=click.Path(path_type=Path), help="The operator's file: its status.folder is asked."
)
@click.option("--folder", type=click.Path(path_type=Path), help="The folder with the sockets.")
@click.option("--json", "json_", is_flag=True, help="All that is told, as JSON.")
@click.option("--prometheus", "prometheus_", is_flag=True, help="Prometheus' text format.")
@click.option("--watch", is_flag=True, help="Again each second, until Ctrl-C.")
def status(config: Path | None, folder: Path | None, json_: bool, prometheus_: bool, watch: bool) -> None:
    """Tell what each instance holds and does; 1 if one with a socket does not answer, or there is none."""
    if json_ + prometheus_ + watch > 1:
        raise click.UsageError("--json, --prometheus and --watch exclude each other")
    try:
        where = folder or socket_folder(read(config).status.folder if config else "")
    except OperatorError as error:
        raise click.UsageError(str(error)) from error
    if where is None:
        raise click.UsageError("name the sockets' folder: --folder, or --config with status.folder in it")
    console = Console()
    if watch:
        with Live(console=console, auto_refresh=False) as live:
            while True:
                live.update(shown(*asyncio.run(asked(where))), refresh=True)
                time.sleep(1.0)
    reports, fleet, silent = asyncio.run(asked(where))
    if json_:
        click.echo(as_json(reports, fleet, silent))
    elif prometheus_:
        click.echo(prometheus(reports, fleet), nl=False)
    else:
        console.print(shown(reports, fleet, silent))
    if silent or not (reports or fleet):
        if not silent:
            click.echo(f"{where}: nobody answers there", err=True)
        sys.exit(1)
