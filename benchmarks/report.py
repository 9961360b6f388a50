"""Prints the rows of a benchmark as JSON or as a table with a header."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable, Mapping
from typing import Any


def quantile(values: list[float], share: float) -> float:
    """Returns the value below which this share of the values lies, rounded to three digits."""
    ordered = sorted(values)
    return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))], 3)


def report(rows: Iterable[Mapping[str, Any]], as_json: bool, head: Iterable[str], line: str) -> None:
    """Prints the rows. `line` is the format string for one row; its fields are the keys of the row."""
    if as_json:
        json.dump(list(rows), sys.stdout, indent=1)
        print()
        return
    for text in head:
        print(text)
    for row in rows:
        print(line.format(**row))
