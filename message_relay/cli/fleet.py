"""`fleet`: runs many instances under one command if there is no service manager."""

from __future__ import annotations

import asyncio
import logging
import os
import sys
from pathlib import Path

import click

from ..fleet.operator import INSTANCES_VARIABLE, LogSection, OperatorError, read
from ..fleet.status import socket_folder
from ..fleet.supervisor import Supervisor
from ..gossip.settings import INSTANCES_MAX
from ..structured_logging import configure_plain_logging, configure_structured_logging


async def supervise(file: Path) -> None:
    """Runs the supervisor. Raises OperatorError; OSError if a port or folder is not available."""
    operator_config = read(file)
    if operator_config.log != LogSection():
        configure_structured_logging(
            operator_config.log.format, operator_config.log.level, operator_config.log.lines
        )
    folder = socket_folder(operator_config.status.folder)
    if folder is not None:
        folder.mkdir(mode=0o700, parents=True, exist_ok=True)
    await Supervisor(file, operator_config, folder).run()


@click.command()
@click.option(
    "--config", "file", type=click.Path(path_type=Path), required=True, help="The operator's file (TOML)."
)
@click.option(
    "--instances", type=click.IntRange(1, INSTANCES_MAX), help="Overrides fleet.instances of the file."
)
def fleet(file: Path, instances: int | None) -> None:
    """Start, monitor, restart and stop the instances of a fleet.

    SIGHUP rereads the file, SIGUSR2 restarts all instances one by one, SIGTERM stops all of them.
    """
    configure_plain_logging()
    if instances is not None:
        os.environ[INSTANCES_VARIABLE] = str(instances)
    try:
        asyncio.run(supervise(file.resolve()))
    except OperatorError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    except (OSError, ImportError) as error:
        click.echo(f"linnetstile: {error}", err=True)
        sys.exit(1)
    finally:
        logging.shutdown()
