"""`zone`: plans of failover, and zones that are left by an operator's word (docs/failover.md)."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click
from rich.table import Table

from .rules import Instances, asking, author, cause, pass_instances


@click.group()
@asking
def zone(context: click.Context, config: Path, instance: int | None, as_json: bool) -> None:
    """Where traffic goes, and why; have a zone left, and used again."""
    context.obj = Instances(config, instance, as_json)


@zone.command()
@click.argument("name")
@cause
@author
@pass_instances
def evacuate(it: Instances, name: str, cause: str, author: str) -> None:
    """Have all traffic leave zone NAME, as far as there is room elsewhere. `plan --without NAME` shows it
    first."""
    it.over(
        it.ask(ask="evacuate", name=name, cause=cause, author=author), f"version {{number}}: {name} is left"
    )


@zone.command("return")
@click.argument("name")
@cause
@author
@pass_instances
def return_(it: Instances, name: str, cause: str, author: str) -> None:
    """Use zone NAME again."""
    it.over(
        it.ask(ask="return", name=name, cause=cause, author=author), f"version {{number}}: {name} is used"
    )


@zone.command()
@pass_instances
def status(it: Instances) -> None:
    """What each instance thinks of each pair of zones, and who decides."""
    rows = it.all(ask="zones")

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

    it.say(rows, table)


@zone.command()
@click.option("--without", default="", help="As if this zone were left.")
@click.option("--explain", is_flag=True, help="Each flow, in calls a second.")
@pass_instances
def plan(it: Instances, without: str, explain: bool) -> None:
    """What would be planned just now, by the evidence that a voter has; nothing is changed."""
    told = it.ask(ask="plan", name=without)

    def table() -> Table | str:
        if not told["plans"]:
            return "all stays at home: there is nothing to plan"
        found = Table("destination", "demand", "moved", "shed", "how", *(["flows"] if explain else []))
        for row in told["plans"]:
            cells: list[Any] = [row[key] for key in ("destination", "demand", "moved", "shed", "how")]
            if explain:
                cells.append("\n".join(f"{way}: {rate}" for way, rate in row["flows"].items()))
            found.add_row(*map(str, cells))
        return found

    it.say(told, table)
