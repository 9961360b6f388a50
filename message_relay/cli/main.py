"""Names the commands; what each does lies in its own file."""

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
    """A relay that keeps what it takes in a journal and delivers it to endpoints that it does not control.

    Without a command it runs one instance, configured by the RELAY_ variables.
    """


for command in (run, check, fleet, status, journal, rules, zone, demo):
    group.add_command(command)


def main() -> int:
    """Runs the command line; ends the process."""
    group(prog_name="message_relay")
    return 0
