"""`zone`: shows failover plans, and evacuates zones on an operator's request (docs/failover.md)."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click
from rich.table import Table

from .rules import InstanceSockets, author, cause, instance_options, pass_instances


@click.group()
@instance_options
def zone(context: click.Context, config: Path, instance: int | None, as_json: bool) -> None:
    """Show where traffic goes and why; evacuate a zone, and use it again."""
    context.obj = InstanceSockets(config, instance, as_json)


@zone.command()
@click.argument("name")
@cause
@author
@pass_instances
def evacuate(instances: InstanceSockets, name: str, cause: str, author: str) -> None:
    """Move all traffic out of zone NAME, as far as other zones have capacity. `plan --without NAME` shows
    the result first."""
    instances.finish(
        instances.request(ask="evacuate", name=name, cause=cause, author=author),
        f"version {{number}}: {name} is evacuated",
    )


@zone.command("return")
@click.argument("name")
@cause
@author
@pass_instances
def return_(instances: InstanceSockets, name: str, cause: str, author: str) -> None:
    """Use zone NAME again."""
    instances.finish(
        instances.request(ask="return", name=name, cause=cause, author=author),
        f"version {{number}}: {name} is used again",
    )


@zone.command()
@pass_instances
def status(instances: InstanceSockets) -> None:
    """Show the state of each pair of zones at each instance, and which instance decides."""
    rows = instances.request_all(ask="zones")

    def table() -> Table:
        zone_table = Table(
            "instance", "decides", "destination", "from", "to", "state", "share", "since s", "flaps"
        )
        for row in rows:
            if "silent" in row:
                zone_table.add_row(row["name"], row["silent"])
                continue
            decides = "yes" if row["decides"] else "no"
            pairs = row["pairs"] or [dict.fromkeys(("destination", "from", "to", "state", "share"), "")]
            for pair in pairs:
                keys = ("destination", "from", "to", "state", "share", "since s", "flaps")
                zone_table.add_row(row["name"], decides, *(str(pair.get(key, "")) for key in keys))
        return zone_table

    instances.show(rows, table)


@zone.command()
@click.option("--without", default="", help="Plan as if this zone were evacuated.")
@click.option("--explain", is_flag=True, help="Show each flow in calls per second.")
@pass_instances
def plan(instances: InstanceSockets, without: str, explain: bool) -> None:
    """Show the plan that would follow from the observations of a voter now; nothing is changed."""
    answer = instances.request(ask="plan", name=without)

    def table() -> Table | str:
        if not answer["plans"]:
            return "no plan needed: all traffic stays in its own zone"
        plan_table = Table("destination", "demand", "moved", "shed", "how", *(["flows"] if explain else []))
        for row in answer["plans"]:
            cells: list[Any] = [row[key] for key in ("destination", "demand", "moved", "shed", "how")]
            if explain:
                cells.append("\n".join(f"{flow}: {rate}" for flow, rate in row["flows"].items()))
            plan_table.add_row(*map(str, cells))
        return plan_table

    instances.show(answer, table)
