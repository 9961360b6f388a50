"""Times of a whole fleet in few words: counted by tenths of a second, so that hundreds of thousands of them
can be passed from process to process."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable

BIN_S = 0.05


class Bins:
    """Times, each rounded up to the end of its bin."""

    def __init__(self, counts: Iterable[tuple[int, int]] = ()) -> None:
        self.counts: dict[int, int] = dict(counts)

    def add(self, at: float, times: int = 1) -> None:
        n = math.ceil(at / BIN_S)
        self.counts[n] = self.counts.get(n, 0) + times

    def merge(self, counts: dict[str, int] | dict[int, int]) -> None:
        for n, times in counts.items():
            self.counts[int(n)] = self.counts.get(int(n), 0) + times

    def __len__(self) -> int:
        return sum(self.counts.values())

    def quantile(self, share: float, since: float = 0.0) -> float:
        """Of all samples, s after `since`; nan of none."""
        left = math.ceil(share * len(self))
        for n in sorted(self.counts):
            left -= self.counts[n]
            if left <= 0:
                return round(n * BIN_S - since, 3)
        return math.nan

    def quartet(self, since: float) -> dict[str, float]:
        return {
            "p50_s": self.quantile(0.5, since),
            "p99_s": self.quantile(0.99, since),
            "most_s": self.quantile(1.0, since),
        }


def of(times: Iterable[float]) -> Bins:
    found = Bins()
    for at in times:
        found.add(at)
    return found


def rates(before: Counter[str], after: Counter[str], seconds: float, instances: int) -> dict[str, float]:
    """Per instance and second."""
    names = sorted({*before, *after})
    return {name: (after[name] - before[name]) / seconds / instances for name in names}
