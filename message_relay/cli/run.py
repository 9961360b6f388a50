"""`run`: runs one instance in the foreground."""

from __future__ import annotations

import os
import sys
from pathlib import Path

import click

from ..process import OPERATOR_FILE_VARIABLE
from ..process import main as run_process


@click.command()
@click.option("--config", type=click.Path(path_type=Path), help="The operator's file (TOML).")
@click.option("--instance", type=click.IntRange(min=0), help="Number of this instance, from 0 on.")
def run(config: Path | None, instance: int | None) -> None:
    """Run one instance until SIGTERM; SIGHUP rereads its files."""
    if config is not None:
        os.environ[OPERATOR_FILE_VARIABLE] = str(config)
    if instance is not None:
        os.environ["RELAY_INSTANCE"] = str(instance)
    sys.exit(run_process())
