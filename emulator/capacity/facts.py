"""Adds results of single runs, which are not slopes, to the report as facts.

    python -m benchmarks.sharded_directory --json --budget > /tmp/shards.json
    python -m emulator.capacity.facts shards /tmp/shards.json --into docs/reports/capacity.json

Each number of the file becomes a fact, named by its path: `shards.budget.1000_in_use.plan.bytes_s`. Earlier
facts with other paths are kept, so that a long run may be done in parts.
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

MAX_LEVELS = 8  # maximum depth of a file, so that paths stay readable


def fact_name(text: str) -> str:
    """`core %` becomes `core_percent`, `bytes/s` `bytes_s`."""
    return re.sub(r"[^a-z0-9]+", "_", text.lower().replace("%", "percent")).strip("_")


def flatten(prefix: str, value: object, max_levels: int = MAX_LEVELS) -> Iterator[tuple[str, float]]:
    """Yield every finite number with its path. Lists and strings are skipped."""
    if isinstance(value, bool):
        return
    if isinstance(value, int | float):
        if math.isfinite(value):
            yield prefix, float(value)
    elif isinstance(value, dict) and max_levels:
        for name, part in value.items():
            yield from flatten(f"{prefix}.{fact_name(str(name))}", part, max_levels - 1)


def add_facts(report: Report, prefix: str, value: object) -> Report:
    return msgspec.structs.replace(report, facts=report.facts | dict(flatten(prefix, value)))


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("prefix", help="prefix of the names of the facts")
    parser.add_argument("file", type=Path, help="JSON")
    parser.add_argument("--into", type=Path, required=True, help="the report")
    args = parser.parse_args()
    try:
        before: Report = msgspec.json.decode(args.into.read_bytes(), type=Report)
        after = add_facts(before, fact_name(args.prefix), json.loads(args.file.read_text()))
    except (OSError, ValueError) as error:
        print(f"{args.file} into {args.into}: {error}", file=sys.stderr)
        return 2
    args.into.write_bytes(msgspec.json.format(msgspec.json.encode(after), indent=1) + b"\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
