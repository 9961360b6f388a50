"""Puts what was run once, and is no slope, into the report as single figures.

    python -m benchmarks.sharded_directory --json --budget > /tmp/shards.json
    python -m emulator.capacity.facts shards /tmp/shards.json --into docs/reports/capacity.json

Each number of the file becomes a fact by its path: `shards.budget.1000_in_use.plan.bytes_s`. Facts of an
earlier file whose path is not in this one stay, so that a long run may be done in parts.
"""

from __future__ import annotations

import argparse
import json
import math
import re
import sys
from collections.abc import Iterator
from pathlib import Path

import msgspec

from .slopes import Report

LEVELS = 8  # of a file, at most: a path that a reader can still follow


def named(text: str) -> str:
    """`core %` becomes `core_percent`, `bytes/s` `bytes_s`."""
    return re.sub(r"[^a-z0-9]+", "_", text.lower().replace("%", "percent")).strip("_")


def flattened(prefix: str, found: object, levels: int = LEVELS) -> Iterator[tuple[str, float]]:
    """Every finite number, by its path; lists and texts are none."""
    if isinstance(found, bool):
        return
    if isinstance(found, int | float):
        if math.isfinite(found):
            yield prefix, float(found)
    elif isinstance(found, dict) and levels:
        for name, part in found.items():
            yield from flattened(f"{prefix}.{named(str(name))}", part, levels - 1)


def taken(report: Report, prefix: str, found: object) -> Report:
    return msgspec.structs.replace(report, facts=report.facts | dict(flattened(prefix, found)))


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("prefix", help="how the facts' names begin")
    parser.add_argument("file", type=Path, help="JSON")
    parser.add_argument("--into", type=Path, required=True, help="the report")
    told = parser.parse_args()
    try:
        before: Report = msgspec.json.decode(told.into.read_bytes(), type=Report)
        after = taken(before, named(told.prefix), json.loads(told.file.read_text()))
    except (OSError, ValueError) as error:
        print(f"{told.file} into {told.into}: {error}", file=sys.stderr)
        return 2
    told.into.write_bytes(msgspec.json.format(msgspec.json.encode(after), indent=1) + b"\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
