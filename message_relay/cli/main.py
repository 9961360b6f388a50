"""Command line entry point: the group of all commands, each in its own module."""

from __future__ import annotations

import click

from .check import check
from .demo import demo
from .fleet import fleet
from .journal import journal
from .rules import rules
from .run import run
from .status import status
from .zone import zone


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def group() -> None:
    """A message relay: stores accepted messages in a journal and delivers them to external endpoints.

    Without a command it runs one instance, configured by the RELAY_ variables.
    """


for command in (run, check, fleet, status, journal, rules, zone, demo):
    group.add_command(command)


def main() -> int:
    """Runs the command line and exits the process."""
    group(prog_name="message_relay")
    return 0
