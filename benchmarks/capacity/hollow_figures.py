"""Histograms of times of a whole fleet: counts per bin of 0.05 s, so that hundreds of thousands of times can
be passed between processes."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable

BIN_S = 0.05


class Bins:
    """A histogram of times, each rounded up to the end of its bin."""

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
        """Return a quantile of all samples in seconds after `since`, or nan without samples."""
        remaining = math.ceil(share * len(self))
        for n in sorted(self.counts):
            remaining -= self.counts[n]
            if remaining <= 0:
                return round(n * BIN_S - since, 3)
        return math.nan

    def quartet(self, since: float) -> dict[str, float]:
        return {
            "p50_s": self.quantile(0.5, since),
            "p99_s": self.quantile(0.99, since),
            "most_s": self.quantile(1.0, since),
        }


def bins_of(times: Iterable[float]) -> Bins:
    bins = Bins()
    for at in times:
        bins.add(at)
    return bins


def rates(before: Counter[str], after: Counter[str], seconds: float, instances: int) -> dict[str, float]:
    """Return the increase of each counter per instance and second."""
    names = sorted({*before, *after})
    return {name: (after[name] - before[name]) / seconds / instances for name in names}
