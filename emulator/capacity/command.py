"""`python -m emulator capacity`: the tables at a size, from measured slopes; and their place in the page."""

from __future__ import annotations

import sys
from pathlib import Path

import click
import msgspec
from click.core import ParameterSource

from .size import SizeError, read
from .slopes import Report
from .tables import as_json, markdown, tables

WRONG = 2
SLOPES = Path("docs/reports/capacity.json")
BEGIN, END = "<!-- capacity:begin -->", "<!-- capacity:end -->"
NOTHING = Report("no machine", 0.0, 0.0, 0, [])


class PageError(ValueError):
    """The page has no place for the tables."""


def measured(path: Path, must: bool) -> Report:
    """Raises ValueError with a plain text. Without `must`, a report that is not there is one of nothing."""
    if not must and not path.exists():
        return NOTHING
    try:
        return msgspec.json.decode(path.read_bytes(), type=Report)
    except OSError as error:
        raise ValueError(f"{path}: {error.strerror}") from error
    except ValueError as error:  # msgspec's own are ValueErrors
        raise ValueError(f"{path}: {error}") from error


def between(page: str, where: str) -> tuple[str, str, str]:
    """What stands before, between and after the marks."""
    before, begun, rest = page.partition(BEGIN + "\n")
    inside, ended, after = rest.partition(END)
    if not begun or not ended or BEGIN in rest or END in after:
        raise PageError(f"{where}: must have the lines {BEGIN} and {END} once each, in this order")
    return before, inside, after


def renewed(page: str, text: str, where: str) -> str:
    before, _, after = between(page, where)
    return f"{before}{BEGIN}\n{text}{END}{after}"


@click.command()
@click.option(
    "--size",
    "size_file",
    type=click.Path(path_type=Path),
    required=True,
    help="What to design for: deploy/sizes/two-years.toml.",
)
@click.option(
    "--slopes",
    type=click.Path(path_type=Path),
    default=SLOPES,
    show_default=True,
    help="What `python -m benchmarks.capacity --into` wrote.",
)
@click.option("--json", "in_json", is_flag=True)
@click.option("--write", type=click.Path(path_type=Path), help="Put the tables between this page's marks.")
@click.pass_context
def capacity(
    context: click.Context, size_file: Path, slopes: Path, in_json: bool, write: Path | None
) -> None:
    """What each role costs at a size, worked out from measured slopes."""
    named = context.get_parameter_source("slopes") is ParameterSource.COMMANDLINE
    try:
        told = tables(read(size_file), measured(slopes, named))
        if write is not None:
            write.write_text(renewed(write.read_text(), markdown(told), str(write)))
            return
    except (SizeError, PageError, ValueError) as error:
        fail(error)
    except OSError as error:
        fail(f"{write}: {error.strerror}")
    click.echo(as_json(told).decode() if in_json else markdown(told), nl=False)


def fail(text: object) -> None:
    click.echo(text, err=True)
    sys.exit(WRONG)
