"""Confidence intervals of means and of paired differences between two variants over the same seeds. No I/O.

Uses Student's t on the paired differences and not a bootstrap: at the 5 to 40 seeds that an experiment has,
the percentile and BCa bootstraps cover less than their nominal level (Hesterberg 2015), while t is adequate
for means of mildly skewed differences. A rare burst in a few seeds gives a warning instead of only a wider
interval."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np
from scipy import stats

LEVEL = 0.95
FEW_SEEDS = 8  # with fewer seeds, an interval has a warning
DOMINANT_SHARE = 0.5  # above this share of the squared deviations, one seed dominates the mean
# Sequential stopping: seeds at the first check, and the factor from each check to the next one.
FIRST_CHECK, CHECK_GROWTH = 8, 1.5


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
    """The confidence interval of the mean. Seeds without a figure (NaN) are left out, with a warning."""
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
    if n < FEW_SEEDS:
        warnings.append(f"{n} seeds are few")
    squares = (given - mean) ** 2
    if n > 2 and squares.sum() > 0 and squares.max() / squares.sum() > DOMINANT_SHARE:
        warnings.append(
            f"one seed makes {squares.max() / squares.sum():.0%} of the spread: a rare event, take "
            "more seeds"
        )
    return Interval(mean, mean - half, mean + half, n, "; ".join(warnings))


def difference(before: Sequence[float], after: Sequence[float], level: float = LEVEL) -> Interval:
    """The interval of `after` minus `before`, paired by seed."""
    return interval([b - a for a, b in zip(before, after, strict=True)], level)


def verdict(diff: Interval, more_is_better: bool) -> str:
    """Returns "better", "worse" or "no difference seen"."""
    if diff.seeds == 0 or diff.low <= 0 <= diff.high:
        return "no difference seen"
    return "better" if (diff.mean > 0) == more_is_better else "worse"


def looks(max_seeds: int) -> list[int]:
    """The numbers of seeds after which sequential stopping checks the width of the interval.

    Stopping once the width is small enough selects moments at which the spread is small by chance, so the
    interval covers a little less than its nominal level. The first check comes after FIRST_CHECK seeds and
    there are few checks, which keeps the loss under some 2% (benchmarks.model)."""
    out, n = [], FIRST_CHECK
    while n < max_seeds:
        out.append(n)
        n = math.ceil(n * CHECK_GROWTH)
    return [*out, max_seeds]


def correlation(before: Sequence[float], after: Sequence[float]) -> float:
    """Correlation of the two variants over seeds, which shows the gain from common random numbers. NaN if
    one does not vary."""
    a, b = np.array(before, dtype=float), np.array(after, dtype=float)
    if len(a) < 3 or a.std() == 0 or b.std() == 0:
        return math.nan
    return float(np.corrcoef(a, b)[0, 1])
