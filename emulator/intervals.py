"""Differences between two variants over the same seeds, with an interval that can be trusted. No I/O.

Student's t on the paired differences, not a bootstrap: at the 5 to 40 seeds that an experiment has, the
percentile and BCa bootstrap cover less than they say (Hesterberg 2015), t holds up for means of mildly skewed
differences, and a rare burst that a few seeds carry is told by a warning instead of hidden in a width."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np
from scipy import stats

LEVEL = 0.95
FEWEST = 8  # seeds, under which an interval comes with a warning
CARRIED = 0.5  # of the squared deviations that one seed makes: then the mean is that seed's
FIRST, GROWTH = 8, 1.5  # of sequential stopping: seeds of the first look, and how many more each has


@dataclass(frozen=True, slots=True)
class Interval:
    mean: float
    low: float
    high: float
    seeds: int
    warning: str = ""

    @property
    def half(self) -> float:
        return (self.high - self.low) / 2

    def holds(self, value: float) -> bool:
        return self.low <= value <= self.high


def interval(values: Sequence[float], level: float = LEVEL) -> Interval:
    """Of the mean. Seeds without a figure (NaN) are left out, and told."""
    given = np.array([value for value in values if not math.isnan(value)], dtype=float)
    n, warnings = len(given), list[str]()
    if n < len(values):
        warnings.append(f"{len(values) - n} seeds have no figure")
    if n == 0:
        return Interval(math.nan, math.nan, math.nan, 0, "; ".join(warnings))
    mean = float(given.mean())
    if n == 1:
        return Interval(mean, -math.inf, math.inf, 1, "one seed: nothing is known of the spread")
    half = float(stats.t.ppf(0.5 + level / 2, n - 1)) * float(given.std(ddof=1)) / math.sqrt(n)
    if n < FEWEST:
        warnings.append(f"{n} seeds are few")
    squares = (given - mean) ** 2
    if n > 2 and squares.sum() > 0 and squares.max() / squares.sum() > CARRIED:
        warnings.append(
            f"one seed makes {squares.max() / squares.sum():.0%} of the spread: a rare event, take "
            "more seeds"
        )
    return Interval(mean, mean - half, mean + half, n, "; ".join(warnings))


def difference(before: Sequence[float], after: Sequence[float], level: float = LEVEL) -> Interval:
    """Of after less before, seed by seed."""
    return interval([b - a for a, b in zip(before, after, strict=True)], level)


def verdict(found: Interval, more_is_better: bool) -> str:
    """better, worse, or no difference seen."""
    if found.seeds == 0 or found.low <= 0 <= found.high:
        return "no difference seen"
    return "better" if (found.mean > 0) == more_is_better else "worse"


def looks(most: int) -> list[int]:
    """After how many seeds the width is looked at. Stopping when it is narrow enough picks moments at which
    the spread looks small by chance, so that such an interval covers a little less than it says: the look
    comes no sooner than FIRST seeds, and few times, which keeps that under some 2% (benchmarks.model)."""
    out, n = [], FIRST
    while n < most:
        out.append(n)
        n = math.ceil(n * GROWTH)
    return [*out, most]


def correlation(before: Sequence[float], after: Sequence[float]) -> float:
    """Of the two variants over seeds: what common random numbers buy. NaN where one does not vary."""
    a, b = np.array(before, dtype=float), np.array(after, dtype=float)
    if len(a) < 3 or a.std() == 0 or b.std() == 0:
        return math.nan
    return float(np.corrcoef(a, b)[0, 1])
