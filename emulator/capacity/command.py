"""`python -m emulator capacity`: prints the tables at a size from measured slopes, or updates the page."""

from __future__ import annotations

import sys
from pathlib import Path

import click
import msgspec
from click.core import ParameterSource

from .size import SizeError, read
from .slopes import Report
from .tables import as_json, markdown, tables

EXIT_INVALID = 2
SLOPES = Path("docs/reports/capacity.json")
START, END = "<!-- capacity:begin -->", "<!-- capacity:end -->"
EMPTY_REPORT = Report("no machine", 0.0, 0.0, 0, [])


class PageError(ValueError):
    """The page does not have the markers for the tables."""


def read_report(path: Path, is_required: bool) -> Report:
    """Read a report. Raises ValueError with a readable text.

    Unless `must` is set, a missing file gives an empty report.
    """
    if not is_required and not path.exists():
        return EMPTY_REPORT
    try:
        return msgspec.json.decode(path.read_bytes(), type=Report)
    except OSError as error:
        raise ValueError(f"{path}: {error.strerror}") from error
    except ValueError as error:  # errors of msgspec are ValueErrors
        raise ValueError(f"{path}: {error}") from error


def split_page(page: str, where: str) -> tuple[str, str, str]:
    """Return the text before, between and after the markers."""
    before, start_marker, remainder = page.partition(START + "\n")
    inside, end_marker, after = remainder.partition(END)
    if not start_marker or not end_marker or START in remainder or END in after:
        raise PageError(f"{where}: must have the lines {START} and {END} once each, in this order")
    return before, inside, after


def replace_tables(page: str, text: str, where: str) -> str:
    before, _, after = split_page(page, where)
    return f"{before}{START}\n{text}{END}{after}"


@click.command()
@click.option(
    "--size",
    "size_file",
    type=click.Path(path_type=Path),
    required=True,
    help="The size to design for: deploy/sizes/two-years.toml.",
)
@click.option(
    "--slopes",
    type=click.Path(path_type=Path),
    default=SLOPES,
    show_default=True,
    help="The output of `python -m benchmarks.capacity --into`.",
)
@click.option("--json", "in_json", is_flag=True)
@click.option(
    "--write", type=click.Path(path_type=Path), help="Write the tables between the markers of this page."
)
@click.pass_context
def capacity(
    context: click.Context, size_file: Path, slopes: Path, in_json: bool, write: Path | None
) -> None:
    """Compute the cost of each role at a size from measured slopes."""
    is_explicit = context.get_parameter_source("slopes") is ParameterSource.COMMANDLINE
    try:
        result = tables(read(size_file), read_report(slopes, is_explicit))
        if write is not None:
            write.write_text(replace_tables(write.read_text(), markdown(result), str(write)))
            return
    except (SizeError, PageError, ValueError) as error:
        fail(error)
    except OSError as error:
        fail(f"{write}: {error.strerror}")
    click.echo(as_json(result).decode() if in_json else markdown(result), nl=False)


def fail(text: object) -> None:
    click.echo(text, err=True)
    sys.exit(EXIT_INVALID)
