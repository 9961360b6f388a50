"""`status`: reports of instances and their supervisor, as tables, JSON or Prometheus' text format."""

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

MAX_TABLE_ROWS = 20  # destinations; --json has all that are reported
CONCURRENT_REQUESTS = 16  # sockets read at once


async def fetch_reports(folder: Path) -> tuple[list[Report], FleetReport | None, list[str]]:
    """Reports of all sockets in a folder, the supervisor's report, and errors of those that do not answer."""
    gate = asyncio.Semaphore(CONCURRENT_REQUESTS)

    async def one(path: Path) -> Report | FleetReport | str:
        async with gate:
            try:
                return await fetch_report(path)
            except StatusError as error:
                return str(error)

    found = await asyncio.gather(*(one(path) for path in sorted(folder.glob("*.sock"))))
    instances = sorted(
        (report for report in found if isinstance(report, Report)), key=lambda report: report.instance
    )
    fleet = next((report for report in found if isinstance(report, FleetReport)), None)
    return instances, fleet, [report for report in found if isinstance(report, str)]


def instances_table(reports: Sequence[Report]) -> Table:
    """One row for each instance."""
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
    for report in reports:
        table.add_row(
            f"{report.instance} ({report.name})",
            report.state,
            f"{report.held}/{report.hold}",
            f"{report.slots_out}/{report.slots}",
            str(report.ends_waiting),
            f"{report.journal_bytes / 1000:.0f}/{report.journal_limit / 1000:.0f}",
            f"{report.rss_mb:.1f}",
            f"{report.cpu_s:.1f}",
            f"{report.lag.median_ms:.1f} to {report.lag.most_ms:.1f}",
        )
    return table


def destinations_table(reports: Sequence[Report]) -> Table:
    """One row for each destination of each instance, most pending messages first."""
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
        ((one, report) for report in reports for one in report.destinations),
        key=lambda row: (-row[0].held, -row[0].out, row[0].destination, row[1].instance),
    )
    for one, report in rows[:MAX_TABLE_ROWS]:
        state = ["down"] * one.down + [f"told to wait {one.wait_ms:.0f} ms"] * (one.wait_ms > 0)
        state += ["cold"] * (one.cold_ms is not None)
        name = str(one.destination) if one.route is None else f"{one.destination}, route {one.route}"
        table.add_row(
            name,
            str(report.instance),
            str(one.endpoints),
            str(one.held),
            str(one.out),
            f"{one.pace:.2f}",
            "-" if one.part is None else f"{one.part:.2f}",
            f"{one.blame:.2f}",
            ", ".join(state) or "well",
        )
    more = len(rows) - MAX_TABLE_ROWS + sum(report.more for report in reports)
    if more > 0:
        table.caption = f"and {more} more: --json tells them"
    return table


def shards_table(reports: Sequence[Report]) -> Table:
    """State of the sharded directory's client and server at each instance."""
    table = Table("instance", "role", "state", title="directory by interest")
    for report in reports:
        for role, state in (report.shards or {}).items():
            text = ", ".join(f"{name} {formatted_value(value)}" for name, value in state.items())
            table.add_row(str(report.instance), role, text)
    return table


def formatted_value(value: object) -> str:
    """A status value as text: one decimal, versions with dots."""
    if isinstance(value, float):
        return f"{value:.1f}"
    return ".".join(map(str, value)) if isinstance(value, list | tuple) else str(value)


def fleet_table(fleet: FleetReport) -> Table:
    """One row for each instance that is not simply up."""
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
    """The reports in Prometheus' text format. Metric names are kept: dashboards use them."""
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
    for report in reports:
        for name, count in report.by_class.items():
            held.labels(report.instance, name).set(count)
        for name, one in simple.items():
            one.labels(report.instance).set(getattr(report, name))
        lag.labels(report.instance).set(report.lag.most_ms)
        down.labels(report.instance).set(sum(destination.down for destination in report.destinations))
    if fleet is not None:
        gauge("instances_up", "Instances that are up").set(fleet.up)
        gauge("crash_loops", "Instances that crash again and again").set(
            sum(line.crash_loop for line in fleet.lines)
        )
    return generate_latest(registry).decode()


def as_json(reports: Sequence[Report], fleet: FleetReport | None, silent: Sequence[str]) -> str:
    """The reports as indented JSON."""
    document = msgspec.json.encode({"fleet": fleet, "instances": reports, "silent": silent})
    return msgspec.json.format(document).decode()


def rendered(reports: Sequence[Report], fleet: FleetReport | None, silent: Sequence[str]) -> Group:
    """The reports as tables."""
    parts: list[Table | str] = [] if fleet is None else [fleet_table(fleet)]
    parts += [instances_table(reports), destinations_table(reports)] if reports else []
    parts += [shards_table(reports)] if any(report.shards for report in reports) else []
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
                live.update(rendered(*asyncio.run(fetch_reports(where))), refresh=True)
                time.sleep(1.0)
    reports, fleet, silent = asyncio.run(fetch_reports(where))
    if json_:
        click.echo(as_json(reports, fleet, silent))
    elif prometheus_:
        click.echo(prometheus(reports, fleet), nl=False)
    else:
        console.print(rendered(reports, fleet, silent))
    if silent or not (reports or fleet):
        if not silent:
            click.echo(f"{where}: nobody answers there", err=True)
        sys.exit(1)
