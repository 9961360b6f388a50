"""`zone`: plans of failover, and zones that are left by an operator's word (docs/failover.md)."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click
from rich.table import Table

from .rules import InstanceSockets, author, cause, instance_options, pass_instances


@click.group()
@instance_options
def zone(context: click.Context, config: Path, instance: int | None, as_json: bool) -> None:
    """Where traffic goes, and why; have a zone left, and used again."""
    context.obj = InstanceSockets(config, instance, as_json)


@zone.command()
@click.argument("name")
@cause
@author
@pass_instances
def evacuate(instances: InstanceSockets, name: str, cause: str, author: str) -> None:
    """Have all traffic leave zone NAME, as far as there is room elsewhere. `plan --without NAME` shows it
    first."""
    instances.finish(
        instances.request(ask="evacuate", name=name, cause=cause, author=author),
        f"version {{number}}: {name} is left",
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
        f"version {{number}}: {name} is used",
    )


@zone.command()
@pass_instances
def status(instances: InstanceSockets) -> None:
    """What each instance thinks of each pair of zones, and who decides."""
    rows = instances.request_all(ask="zones")

    def table() -> Table:
        found = Table(
            "instance", "decides", "destination", "from", "to", "state", "share", "since s", "flaps"
        )
        for row in rows:
            if "silent" in row:
                found.add_row(row["name"], row["silent"])
                continue
            decides = "yes" if row["decides"] else "no"
            pairs = row["pairs"] or [dict.fromkeys(("destination", "from", "to", "state", "share"), "")]
            for pair in pairs:
                keys = ("destination", "from", "to", "state", "share", "since s", "flaps")
                found.add_row(row["name"], decides, *(str(pair.get(key, "")) for key in keys))
        return found

    instances.show(rows, table)


@zone.command()
@click.option("--without", default="", help="As if this zone were left.")
@click.option("--explain", is_flag=True, help="Each flow, in calls a second.")
@pass_instances
def plan(instances: InstanceSockets, without: str, explain: bool) -> None:
    """What would be planned just now, by the evidence that a voter has; nothing is changed."""
    answer = instances.request(ask="plan", name=without)

    def table() -> Table | str:
        if not answer["plans"]:
            return "all stays at home: there is nothing to plan"
        found = Table("destination", "demand", "moved", "shed", "how", *(["flows"] if explain else []))
        for row in answer["plans"]:
            cells: list[Any] = [row[key] for key in ("destination", "demand", "moved", "shed", "how")]
            if explain:
                cells.append("\n".join(f"{flow}: {rate}" for flow, rate in row["flows"].items()))
            found.add_row(*map(str, cells))
        return found

    instances.show(answer, table)
