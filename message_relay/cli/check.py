"""`check`: whether an operator's file makes sense, and what it names."""

from __future__ import annotations

import os
import sys
from pathlib import Path

import click

from ..config import ConfigError, load
from ..fleet.operator import OperatorConfig, OperatorError, read


def faults(file: Path) -> tuple[OperatorConfig | None, list[str]]:
    """What it says, and each fault as a line."""
    try:
        told = read(file)
    except OperatorError as error:
        return None, str(error).splitlines()
    found: list[str] = []
    part = told.supervisor
    platform = part.config or os.environ.get("RELAY_CONFIG", "")
    if platform:
        given = {
            "RELAY_CONFIG": platform,
            "RELAY_NAME": "0",
            "RELAY_LISTEN": f"{part.host}:{part.port}",
            "RELAY_STATE": part.state,
        }
        try:
            load(given)
        except ConfigError as error:
            found.append(f"{file}: supervisor.config: {error}" if part.config else str(error))
    if told.log.format != "plain":
        try:
            import structlog  # noqa: F401
        except ImportError:
            found.append(f"{file}: log.format: {told.log.format!r} needs the extra 'ops'")
    folder = told.status.folder
    if folder and not Path(folder).is_dir():
        found.append(f"{file}: status.folder: {folder!r} is no folder: make it, with mode 0700")
    return told, found


@click.command()
@click.argument("file", type=click.Path(path_type=Path))
def check(file: Path) -> None:
    """Check an operator's FILE as a whole; 0 if it makes sense, 2 if not, with each fault on a line."""
    told, found = faults(file)
    for fault in found:
        click.echo(fault, err=True)
    if found or told is None:
        sys.exit(2)
    shared = "kept together" if told.fleet.share_rates else "not kept together"
    click.echo(f"{file}: good: {told.fleet.instances} instances, listed rates {shared}")
