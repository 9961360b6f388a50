"""`check`: validates an operator's file and the files and folders that it refers to."""

from __future__ import annotations

import os
import sys
from pathlib import Path

import click

from ..config import ConfigError, load
from ..fleet.operator import OperatorConfig, OperatorError, read


def faults(file: Path) -> tuple[OperatorConfig | None, list[str]]:
    """Return the parsed file (None if it is not valid) and one line per fault."""
    try:
        operator_config = read(file)
    except OperatorError as error:
        return None, str(error).splitlines()
    fault_lines: list[str] = []
    section = operator_config.supervisor
    platform_file = section.config or os.environ.get("RELAY_CONFIG", "")
    if platform_file:
        env = {
            "RELAY_CONFIG": platform_file,
            "RELAY_NAME": "0",
            "RELAY_LISTEN": f"{section.host}:{section.port}",
            "RELAY_STATE": section.state,
        }
        try:
            load(env)
        except ConfigError as error:
            fault_lines.append(f"{file}: supervisor.config: {error}" if section.config else str(error))
    if operator_config.log.format != "plain":
        try:
            import structlog  # noqa: F401
        except ImportError:
            fault_lines.append(f"{file}: log.format: {operator_config.log.format!r} needs the extra 'ops'")
    folder = operator_config.status.folder
    if folder and not Path(folder).is_dir():
        fault_lines.append(f"{file}: status.folder: {folder!r} is not a folder: create it with mode 0700")
    return operator_config, fault_lines


@click.command()
@click.argument("file", type=click.Path(path_type=Path))
def check(file: Path) -> None:
    """Validate an operator's FILE; exits with 0 if it is valid, else with 2 and one line per fault."""
    operator_config, fault_lines = faults(file)
    for line in fault_lines:
        click.echo(line, err=True)
    if fault_lines or operator_config is None:
        sys.exit(2)
    shared = "kept together" if operator_config.fleet.share_rates else "not kept together"
    click.echo(f"{file}: good: {operator_config.fleet.instances} instances, listed rates {shared}")
