"""`status`: shows reports of instances and their supervisor as tables, JSON or Prometheus text format."""

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

MAX_TABLE_ROWS = 20  # destinations in the table; --json has all reported ones
CONCURRENT_REQUESTS = 16  # sockets read at once


async def fetch_reports(folder: Path) -> tuple[list[Report], FleetReport | None, list[str]]:
    """Return the instances' reports, the supervisor's report and the errors of sockets that do not answer."""
    semaphore = asyncio.Semaphore(CONCURRENT_REQUESTS)

    async def fetch(path: Path) -> Report | FleetReport | str:
        async with semaphore:
            try:
                return await fetch_report(path)
            except StatusError as error:
                return str(error)

    answers = await asyncio.gather(*(fetch(path) for path in sorted(folder.glob("*.sock"))))
    instances = sorted(
        (report for report in answers if isinstance(report, Report)), key=lambda report: report.instance
    )
    fleet = next((report for report in answers if isinstance(report, FleetReport)), None)
    return instances, fleet, [answer for answer in answers if isinstance(answer, str)]


def instances_table(reports: Sequence[Report]) -> Table:
    """Return a table with one row per instance."""
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
    """Return a table with one row per destination and instance, most pending messages first."""
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
        ((destination, report) for report in reports for destination in report.destinations),
        key=lambda row: (-row[0].held, -row[0].out, row[0].destination, row[1].instance),
    )
    for entry, report in rows[:MAX_TABLE_ROWS]:
        state = ["down"] * entry.down + [f"told to wait {entry.wait_ms:.0f} ms"] * (entry.wait_ms > 0)
        state += ["cold"] * (entry.cold_ms is not None)
        name = str(entry.destination) if entry.route is None else f"{entry.destination}, route {entry.route}"
        table.add_row(
            name,
            str(report.instance),
            str(entry.endpoints),
            str(entry.held),
            str(entry.out),
            f"{entry.pace:.2f}",
            "-" if entry.part is None else f"{entry.part:.2f}",
            f"{entry.blame:.2f}",
            ", ".join(state) or "well",
        )
    omitted = len(rows) - MAX_TABLE_ROWS + sum(report.more for report in reports)
    if omitted > 0:
        table.caption = f"and {omitted} more: --json tells them"
    return table


def shards_table(reports: Sequence[Report]) -> Table:
    """Return a table with the state of the sharded directory's client and server at each instance."""
    table = Table("instance", "role", "state", title="directory by interest")
    for report in reports:
        for role, state in (report.shards or {}).items():
            text = ", ".join(f"{name} {formatted_value(value)}" for name, value in state.items())
            table.add_row(str(report.instance), role, text)
    return table


def formatted_value(value: object) -> str:
    """Return a status value as text: numbers with one decimal, versions with dots."""
    if isinstance(value, float):
        return f"{value:.1f}"
    return ".".join(map(str, value)) if isinstance(value, list | tuple) else str(value)


def fleet_table(fleet: FleetReport) -> Table:
    """Return a table with one row per instance that is not up or that has crashed."""
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
    """Return the reports in Prometheus text format. The metric names are stable: dashboards use them."""
    from prometheus_client import CollectorRegistry, Gauge, generate_latest

    registry = CollectorRegistry()

    def gauge(name: str, text: str, *labels: str) -> Gauge:
        return Gauge(f"linnetstile_{name}", text, labels, registry=registry)

    pending_messages = gauge("held_messages", "Messages held", "instance", "class")
    gauges = {
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
            pending_messages.labels(report.instance, name).set(count)
        for name, field_gauge in gauges.items():
            field_gauge.labels(report.instance).set(getattr(report, name))
        lag.labels(report.instance).set(report.lag.most_ms)
        down.labels(report.instance).set(sum(destination.down for destination in report.destinations))
    limited = [(report.instance, report.memory) for report in reports if report.memory]
    if limited:
        used = gauge("memory_share_bytes", "Memory held, by share of the limit", "instance", "share")
        limit = gauge("memory_share_limit_bytes", "Limit of each share of memory", "instance", "share")
        for instance, shares in limited:
            for name, share in shares.items():
                used.labels(instance, name).set(share.used_bytes)
                limit.labels(instance, name).set(share.limit_bytes)
    if fleet is not None:
        gauge("instances_up", "Instances that are up").set(fleet.up)
        gauge("crash_loops", "Instances that crash again and again").set(
            sum(line.crash_loop for line in fleet.lines)
        )
    return generate_latest(registry).decode()


def as_json(reports: Sequence[Report], fleet: FleetReport | None, silent: Sequence[str]) -> str:
    """Return the reports as indented JSON."""
    document = msgspec.json.encode({"fleet": fleet, "instances": reports, "silent": silent})
    return msgspec.json.format(document).decode()


def rendered(reports: Sequence[Report], fleet: FleetReport | None, silent: Sequence[str]) -> Group:
    """Return the reports as tables."""
    tables: list[Table | str] = [] if fleet is None else [fleet_table(fleet)]
    tables += [instances_table(reports), destinations_table(reports)] if reports else []
    tables += [shards_table(reports)] if any(report.shards for report in reports) else []
    return Group(*tables, *(f"silent: {text}" for text in silent))


@click.command()
@click.option("--config", type=click.Path(path_type=Path), help="The operator's file, for its status.folder.")
@click.option("--folder", type=click.Path(path_type=Path), help="The folder with the sockets.")
@click.option("--json", "json_", is_flag=True, help="Print the complete reports as JSON.")
@click.option("--prometheus", "prometheus_", is_flag=True, help="Print Prometheus text format.")
@click.option("--watch", is_flag=True, help="Refresh each second until Ctrl-C.")
def status(config: Path | None, folder: Path | None, json_: bool, prometheus_: bool, watch: bool) -> None:
    """Show the state of each instance; exits with 1 if an instance does not answer or there is no socket."""
    if json_ + prometheus_ + watch > 1:
        raise click.UsageError("--json, --prometheus and --watch exclude each other")
    try:
        sockets_folder = folder or socket_folder(read(config).status.folder if config else "")
    except OperatorError as error:
        raise click.UsageError(str(error)) from error
    if sockets_folder is None:
        raise click.UsageError("name the sockets' folder: --folder, or --config with status.folder in it")
    console = Console()
    if watch:
        with Live(console=console, auto_refresh=False) as live:
            while True:
                live.update(rendered(*asyncio.run(fetch_reports(sockets_folder))), refresh=True)
                time.sleep(1.0)
    reports, fleet, silent = asyncio.run(fetch_reports(sockets_folder))
    if json_:
        click.echo(as_json(reports, fleet, silent))
    elif prometheus_:
        click.echo(prometheus(reports, fleet), nl=False)
    else:
        console.print(rendered(reports, fleet, silent))
    if silent or not (reports or fleet):
        if not silent:
            click.echo(f"{sockets_folder}: nobody answers there", err=True)
        sys.exit(1)
