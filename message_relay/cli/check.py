"""`check`: validates an operator's file and what it refers to."""

from __future__ import annotations

import os
import sys
from pathlib import Path

import click

from ..config import ConfigError, load
from ..fleet.operator import OperatorConfig, OperatorError, read


def faults(file: Path) -> tuple[OperatorConfig | None, list[str]]:
    """The file if it can be read, and each fault as a line."""
    try:
        operator = read(file)
    except OperatorError as error:
        return None, str(error).splitlines()
    found: list[str] = []
    section = operator.supervisor
    platform = section.config or os.environ.get("RELAY_CONFIG", "")
    if platform:
        given = {
            "RELAY_CONFIG": platform,
            "RELAY_NAME": "0",
            "RELAY_LISTEN": f"{section.host}:{section.port}",
            "RELAY_STATE": section.state,
        }
        try:
            load(given)
        except ConfigError as error:
            found.append(f"{file}: supervisor.config: {error}" if section.config else str(error))
    if operator.log.format != "plain":
        try:
            import structlog  # noqa: F401
        except ImportError:
            found.append(f"{file}: log.format: {operator.log.format!r} needs the extra 'ops'")
    folder = operator.status.folder
    if folder and not Path(folder).is_dir():
        found.append(f"{file}: status.folder: {folder!r} is no folder: make it, with mode 0700")
    return operator, found


@click.command()
@click.argument("file", type=click.Path(path_type=Path))
def check(file: Path) -> None:
    """Check an operator's FILE as a whole; 0 if it makes sense, 2 if not, with each fault on a line."""
    operator, found = faults(file)
    for fault in found:
        click.echo(fault, err=True)
    if found or operator is None:
        sys.exit(2)
    shared = "kept together" if operator.fleet.share_rates else "not kept together"
    click.echo(f"{file}: good: {operator.fleet.instances} instances, listed rates {shared}")
