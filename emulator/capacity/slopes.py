"""One cost by size: measured by `python -m benchmarks.capacity`, reckoned with by
`python -m emulator capacity`.

`cost = base + each * size`, fitted by least squares of the relative residuals (a cost at 100 weighs as
much as one at 10,000), and beside it the exponent of `cost ~ size ** exponent`, both with their intervals of
95%. One size is in no fit: it is predicted, and then run.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

import msgspec
import numpy as np

FLOOR = 1e-12  # a cost of 0 has no logarithm
LOG_MOST = 600.0  # of a cost: beyond it a float ends
FLAT = 0.25  # an exponent below which a cost grows by less than a fifth where the size doubles
OFF = 0.25  # a prediction that is off by more is a finding
# Two-sided 95% of Student's t by degrees of freedom (sizes less the two fitted).
T95 = {2: 4.303, 3: 3.182, 4: 2.776, 5: 2.571, 6: 2.447, 7: 2.365, 8: 2.306}


class Sample(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    size: int
    value: float  # the median of the rounds
    least: float
    most: float


class Slope(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One cost by size."""

    name: str
    per: str
    unit: str
    samples: list[Sample]
    base: float
    each: float
    each_low: float
    each_high: float
    exponent: float
    exponent_low: float
    exponent_high: float
    largest: int
    predicted: float
    measured: float
    mechanism: str
    note: str = ""

    @property
    def off(self) -> float:
        """How far the prediction was off, as a part of what was measured."""
        return (self.predicted - self.measured) / self.measured if self.measured else 0.0

    @property
    def finding(self) -> bool:
        return abs(self.off) > OFF

    def at(self, size: float) -> float:
        return self.base + self.each * size

    @property
    def superlinear(self) -> bool:
        """The exponent's whole interval lies above 1: a line through small sizes tells too little."""
        return self.exponent_low > 1.0

    @property
    def flat(self) -> bool:
        """Guards a size many octaves away against noise: what does not measurably grow is its mean."""
        return self.exponent < FLAT and self.each_low <= 0.0 <= self.each_high

    @property
    def sizes(self) -> tuple[int, int]:
        """The smallest and the largest that was run, the predicted one too."""
        return min(each.size for each in self.samples), max(self.largest, *(s.size for s in self.samples))

    def run(self, size: float) -> tuple[float, float, float] | None:
        """What was measured at just this size, with the least and the most of its rounds; None: it was not
        run."""
        if size == self.largest:
            return self.measured, self.measured, self.measured
        return next(((each.value, each.least, each.most) for each in self.samples if each.size == size), None)

    def power(self, size: float, exponent: float) -> float:
        """By a power law through the middle of the fitted sizes."""
        logs = [(math.log(each.size), math.log(max(each.value, FLOOR))) for each in self.samples]
        x, y = (sum(column) / len(logs) for column in zip(*logs, strict=True))
        return math.exp(min(y + exponent * (math.log(size) - x), LOG_MOST)) if size > 0 else 0.0

    def reckoned(self, size: float) -> tuple[float, float, float]:
        """What it costs at this size, with the ends of its interval; never below 0. As it was run, if it was;
        else by the line, or its mean where it is flat, and where the cost grows faster than a line by the
        power law if that is worse."""
        if (found := self.run(size)) is not None:
            return found
        line = [self.base + each * size for each in (self.each, self.each_low, self.each_high)]
        if self.flat:
            line[0] = mean(self.samples)  # the ends of its interval stay the line's
        if self.superlinear:
            powers = (self.exponent, self.exponent_low, self.exponent_high)
            line = [max(pair) for pair in zip(line, (self.power(size, each) for each in powers), strict=True)]
        middle, low, high = (max(0.0, each) for each in line)
        return middle, low, high


class Report(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """docs/reports/capacity.json. `facts`: single figures that are no slope (a hollow fleet's, a storm's)."""

    machine: str
    seconds: float  # that all of it took
    most_mb: float  # of memory of all its processes at once
    most_processes: int
    slopes: list[Slope]
    facts: dict[str, float] = {}
    missing: list[str] = []  # measures that failed, with why

    def slope(self, name: str) -> Slope:
        """Raises KeyError."""
        for each in self.slopes:
            if each.name == name:
                return each
        raise KeyError(name)


def _line(x: np.ndarray, y: np.ndarray, weights: np.ndarray) -> tuple[float, float, float]:
    """Base, slope and half of the slope's interval."""
    shape = np.stack([np.ones_like(x), x], axis=1)
    weighed = shape * weights[:, None]
    found, _, _, _ = np.linalg.lstsq(weighed, y * weights, rcond=None)
    rest = (y - shape @ found) * weights
    free = len(x) - 2
    spread = float(rest @ rest) / free
    half = T95[min(free, max(T95))] * float(np.sqrt(spread * np.linalg.pinv(weighed.T @ weighed)[1, 1]))
    return float(found[0]), float(found[1]), half


def fitted(
    name: str, per: str, unit: str, samples: Sequence[Sample], largest: Sample, mechanism: str, note: str = ""
) -> Slope:
    """`largest`: what was measured at the size that is in no fit."""
    x = np.array([each.size for each in samples], dtype=float)
    y = np.array([each.value for each in samples], dtype=float)
    base, each, half = _line(x, y, _weights(y))
    _, power, give = _line(np.log(x), np.log(np.maximum(y, _least(y))), np.ones_like(x))
    found = Slope(
        name,
        per,
        unit,
        list(samples),
        base,
        each,
        each - half,
        each + half,
        power,
        power - give,
        power + give,
        largest.size,
        base + each * largest.size,
        largest.value,
        mechanism,
        note,
    )
    return msgspec.structs.replace(found, predicted=mean(samples)) if found.flat else found


def mean(samples: Sequence[Sample]) -> float:
    """Weighed as the line is: by how far each is off in proportion."""
    y = np.array([each.value for each in samples], dtype=float)
    return float(np.average(y, weights=_weights(y) ** 2))


def _least(y: np.ndarray) -> float:
    """What a cost counts as at the least: one of 0 has no relative residual, and no logarithm."""
    return max(float(np.max(np.abs(y))) * 1e-6, 1e-12)


def _weights(y: np.ndarray) -> np.ndarray:
    """Of residuals: relative ones count alike."""
    weights: np.ndarray = 1.0 / np.maximum(np.abs(y), _least(y))
    return weights
