"""Lines of a trace in a neutral form that is exact to the last bit, and digests of them."""

from __future__ import annotations

import hashlib
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

BLOCK_LINES = 500


@dataclass(slots=True)
class Trace:
    """The lines of a trace and the number of lines of each kind."""

    lines: list[str] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)

    def add(self, kind: str, now_ms: float, *values: str | int | float | bool | None) -> None:
        self.counts[kind] += 1
        self.lines.append(" ".join([kind, neutral(float(now_ms)), *map(neutral, values)]))

    def digest(self) -> str:
        return digest(self.lines)

    def blocks(self) -> list[str]:
        """Returns a short digest of each block of lines."""
        starts = range(0, len(self.lines), BLOCK_LINES)
        return [digest(self.lines[start : start + BLOCK_LINES])[:12] for start in starts]


def neutral(value: str | int | float | bool | None) -> str:
    """Formats one value of a line; floats are exact to the last bit."""
    if isinstance(value, bool):
        return "yes" if value else "no"
    return value.hex() if isinstance(value, float) else "-" if value is None else str(value)


def digest(lines: Iterable[str]) -> str:
    total = hashlib.sha256()
    for line in lines:
        total.update(line.encode() + b"\n")
    return total.hexdigest()
