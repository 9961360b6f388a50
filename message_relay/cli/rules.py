"""`rules`: manages the versions of rules on which the instances agree (docs/accord.md)."""

from __future__ import annotations

import asyncio
import getpass
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
import msgspec
from rich.console import Console
from rich.table import Table

from ..consensus.admin_socket import send_request
from ..consensus.rules import RulesError
from ..consensus.rules_codec import decode_rules
from ..consensus.rules_diff import diff_rules
from ..consensus.rules_validation import validate_rules
from ..fleet.operator import OperatorError, read
from ..fleet.status import StatusError, socket_folder
from ..gossip.settings import INSTANCES_MAX


class InstanceSockets:
    """The admin sockets in the status folder of the operator's file."""

    def __init__(self, config: Path, number: int | None, as_json: bool) -> None:
        self.as_json = as_json
        try:
            self.operator_config = read(config)
        except OperatorError as error:
            raise click.UsageError(str(error)) from error
        folder = socket_folder(self.operator_config.status.folder)
        if folder is None:
            raise click.UsageError(f"{config}: status.folder is needed: it contains the admin sockets")
        self.paths = sorted(folder.glob("*.rules")) if number is None else [folder / f"{number}.rules"]

    def request(self, **request: Any) -> dict[str, Any]:
        """Sends a request to the first instance that answers. Exits with 1 if none does."""
        reason = "no instance has a socket there"
        for path in self.paths:
            try:
                return asyncio.run(send_request(path, request))
            except StatusError as error:
                reason = str(error)
        raise click.ClickException(reason)

    def request_all(self, **request: Any) -> list[dict[str, Any]]:
        """Sends a request to each instance; an instance that does not answer gets a row with `silent`."""
        answers = []
        for path in self.paths:
            try:
                answers.append(asyncio.run(send_request(path, request)))
            except StatusError as error:
                answers.append({"name": path.stem, "silent": str(error)})
        return answers

    def show(self, answer: Any, table: Callable[[], Table | str]) -> None:
        """Prints an answer as JSON or as a table."""
        if self.as_json:
            click.echo(msgspec.json.format(msgspec.json.encode(answer)).decode())
        else:
            Console().print(table())

    def finish(self, answer: dict[str, Any], success_text: str) -> None:
        """Prints the result of a command. Exits with 1 if it was refused."""
        self.show(answer, lambda: answer.get("refused") or success_text.format(**answer))
        if answer.get("refused"):
            sys.exit(1)


pass_instances = click.make_pass_decorator(InstanceSockets)
author = click.option("--author", default=getpass.getuser, help="Author of the change; by default you.")
cause = click.option("--cause", required=True, help="Reason for the change, stored with the version.")


def instance_options(command: Callable[..., None]) -> Callable[..., None]:
    """Adds the options that select the instances to ask."""
    for option in (
        click.pass_context,
        click.option("--json", "as_json", is_flag=True, help="Print the complete answer as JSON."),
        click.option(
            "--instance",
            type=click.IntRange(0, INSTANCES_MAX - 1),
            help="Instance to ask; by default the first one that answers.",
        ),
        click.option(
            "--config", type=click.Path(path_type=Path), required=True, help="The operator's file (TOML)."
        ),
    ):
        command = option(command)
    return command


@click.group()
@instance_options
def rules(context: click.Context, config: Path, instance: int | None, as_json: bool) -> None:
    """Manage versions of rules: propose, inspect, promote and withdraw them."""
    context.obj = InstanceSockets(config, instance, as_json)


@rules.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option(
    "--share",
    type=click.FloatRange(0, 1, min_open=True),
    default=1.0,
    help="Apply it to this share of the relays first (canary); every change must be stricter.",
)
@click.option("--guard", type=click.FloatRange(0, 2), help="Withdraw the canary below this service ratio.")
@click.option("--watch", type=float, default=30.0, help="Duration of the guard in seconds.")
@click.option("--least", type=int, default=50, help="Messages needed on each side before the guard decides.")
@click.option(
    "--promote", "promoted", is_flag=True, help="Promote the canary if the guard finds it harmless."
)
@click.option("--base", type=int, help="Newest version known to you; by default the newest one.")
@cause
@author
@pass_instances
def propose(
    instances: InstanceSockets,
    file: Path,
    share: float,
    guard: float | None,
    watch: float,
    least: int,
    promoted: bool,
    base: int | None,
    cause: str,
    author: str,
) -> None:
    """Propose the rules in FILE (JSON) as the next version."""
    try:
        raw = file.read_bytes()
        validate_rules(decode_rules(raw))
    except RulesError as error:
        raise click.ClickException(str(error)) from error
    request: dict[str, Any] = {
        "rules": msgspec.Raw(raw),
        "share": share,
        "cause": cause,
        "author": author,
        "base": base,
    }
    if guard is not None:
        request["guard"] = {"least_ratio": guard, "watch_s": watch, "least_count": least, "promote": promoted}
    instances.finish(instances.request(ask="propose", **request), "version {number} is agreed on")


@rules.command()
@click.argument("number", type=int)
@author
@pass_instances
def promote(instances: InstanceSockets, number: int, author: str) -> None:
    """Apply a canary version to all instances."""
    instances.finish(
        instances.request(ask="promote", number=number, author=author), "version {number} is current"
    )


@rules.command()
@click.argument("number", type=int)
@cause
@author
@pass_instances
def withdraw(instances: InstanceSockets, number: int, cause: str, author: str) -> None:
    """Withdraw a canary version."""
    instances.finish(
        instances.request(ask="withdraw", number=number, cause=cause, author=author),
        "version {number} is withdrawn",
    )


@rules.command()
@click.argument("number", type=int)
@click.option("--cause", default="", help="Reason for the change.")
@author
@pass_instances
def revert(instances: InstanceSockets, number: int, cause: str, author: str) -> None:
    """Propose the rules of version NUMBER again as a new version."""
    instances.finish(
        instances.request(ask="revert", number=number, cause=cause, author=author),
        "version {number} is agreed on",
    )


@rules.command()
@click.option("--add", type=click.IntRange(0, INSTANCES_MAX - 1), help="Instance that becomes a voter.")
@click.option("--remove", type=click.IntRange(0, INSTANCES_MAX - 1), help="Voter that becomes non-voting.")
@author
@pass_instances
def voters(instances: InstanceSockets, add: int | None, remove: int | None, author: str) -> None:
    """Change the voters, one instance at a time; the instance asked must be a voter."""
    if (add is None) == (remove is None):
        raise click.UsageError("either --add or --remove is needed, not both: one change at a time")
    instances.finish(
        instances.request(ask="voters", add=add, remove=remove, author=author),
        "version {number}: the voters have changed",
    )


@rules.command()
@click.argument("name")
@author
@pass_instances
def forget(instances: InstanceSockets, name: str, author: str) -> None:
    """Declare that the process of instance NAME has ended permanently, so that nothing waits for it.

    If the process still runs and is only disconnected, it violates rules that are agreed on meanwhile."""
    instances.finish(instances.request(ask="forget", name=name, author=author), f"{name} is forgotten")


@rules.command()
@pass_instances
def status(instances: InstanceSockets) -> None:
    """Show the version each instance acts by and what it waits for; exits with 1 if one does not answer."""
    answer = instances.request_all(ask="status")

    def table() -> Table:
        rows = Table(
            "instance",
            "acts by",
            "newest",
            "lease s",
            "votes",
            "cleared",
            "leader",
            "waits for, or why not",
        )
        for each in answer:
            if "silent" in each:
                rows.add_row(each["name"], "-", "-", "-", "-", "-", "-", each["silent"])
                continue
            left = each["lease left s"]
            rows.add_row(
                each["name"],
                each["acts by"],
                str(each["newest"]),
                "-" if left is None else f"{left:.2f}",
                "yes" if each["votes"] else each["mute"] or "no",
                str(each["cleared"]),
                each["leader"],
                ", ".join(each["waits for"]) or each["why not"],
            )
        return rows

    instances.show(answer, table)
    if not answer or any("silent" in each for each in answer):
        sys.exit(1)


@rules.command()
@pass_instances
def history(instances: InstanceSockets) -> None:
    """List the versions, newest last."""
    answer = instances.request(ask="history")

    def table() -> Table:
        rows = Table("version", "stage", "share", "digest", "author", "cause")
        for each in answer["versions"]:
            rows.add_row(
                str(each["number"]),
                each["stage"],
                f"{each['share']:g}",
                each["digest"],
                each["author"],
                each["cause"],
            )
        return rows

    instances.show(answer, table)


@rules.command()
@click.argument("first", type=int)
@click.argument("second", type=int)
@pass_instances
def diff(instances: InstanceSockets, first: int, second: int) -> None:
    """Show the changes from version FIRST to version SECOND."""
    rule_sets = []
    for number in (first, second):
        answer = instances.request(ask="version", number=number)
        if answer.get("refused"):
            raise click.ClickException(answer["refused"])
        rule_sets.append(decode_rules(msgspec.json.encode(answer["rules"])))
    changes = diff_rules(*rule_sets)
    instances.show(changes, lambda: "\n".join(changes) or "no differences")


@rules.command()
@click.argument("message")
@pass_instances
def explain(instances: InstanceSockets, message: str) -> None:
    """Show by which version a message was sent or withheld, and why, from each instance's latest calls."""
    calls = [
        {"instance": path.stem, **call}
        for path, answer in zip(
            instances.paths, instances.request_all(ask="explain", message=message), strict=True
        )
        for call in answer.get("calls", ())
    ]

    def table() -> Table:
        rows = Table("instance", "at ms", "version", "verdict")
        for each in calls:
            rows.add_row(each["instance"], f"{each['at_ms']:.0f}", each["version"], each["why"] or "allowed")
        return rows

    instances.show(calls, table)
    if not calls:
        sys.exit(1)
