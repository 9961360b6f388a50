"""How each benchmark tells its rows: as JSON, or as a table under its head."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable, Mapping
from typing import Any


def report(rows: Iterable[Mapping[str, Any]], as_json: bool, head: Iterable[str], line: str) -> None:
    """`line` is a format of a row's fields."""
    if as_json:
        json.dump(list(rows), sys.stdout, indent=1)
        print()
        return
    for text in head:
        print(text)
    for row in rows:
        print(line.format(**row))
