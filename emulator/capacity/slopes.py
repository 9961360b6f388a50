"""Cost of one kind by size: measured by `python -m benchmarks.capacity`, evaluated by
`python -m emulator capacity`.

`cost = base + each * size` is fitted by least squares of the relative residuals (a cost at 100 has the same
weight as one at 10,000). The exponent of `cost ~ size ** exponent` is fitted too, and both have intervals of
95%. The largest size is not part of the fit: it is predicted and then measured.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

import msgspec
import numpy as np

MIN_COST = 1e-12  # a cost of 0 has no logarithm
MAX_LOG = 600.0  # maximum logarithm of a cost: larger ones overflow a float
FLAT_EXPONENT = 0.25  # below this exponent, a cost grows by less than a fifth when the size doubles
MAX_ERROR = 0.25  # a prediction with a larger relative error is a finding
# Two-sided 95% of Student's t by degrees of freedom (sizes less the two fitted).
T95 = {2: 4.303, 3: 3.182, 4: 2.776, 5: 2.571, 6: 2.447, 7: 2.365, 8: 2.306}


class Sample(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    size: int
    value: float  # the median of the rounds
    least: float
    most: float


class Slope(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The fit of one cost by size."""

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
        """The error of the prediction relative to the measured value."""
        return (self.predicted - self.measured) / self.measured if self.measured else 0.0

    @property
    def finding(self) -> bool:
        return abs(self.off) > MAX_ERROR

    def at(self, size: float) -> float:
        return self.base + self.each * size

    @property
    def superlinear(self) -> bool:
        """Whether the whole interval of the exponent is above 1: a line underestimates larger sizes."""
        return self.exponent_low > 1.0

    @property
    def flat(self) -> bool:
        """Whether the cost does not measurably grow. Its mean is then used.

        Guards against noise of the line at a size many octaves away.
        """
        return self.exponent < FLAT_EXPONENT and self.each_low <= 0.0 <= self.each_high

    @property
    def sizes(self) -> tuple[int, int]:
        """The smallest and the largest measured size, including the predicted one."""
        return min(each.size for each in self.samples), max(self.largest, *(s.size for s in self.samples))

    def measurement(self, size: float) -> tuple[float, float, float] | None:
        """Return the measured value at exactly this size with the minimum and maximum of its rounds.

        Returns None if the size was not measured.
        """
        if size == self.largest:
            return self.measured, self.measured, self.measured
        return next(((each.value, each.least, each.most) for each in self.samples if each.size == size), None)

    def power(self, size: float, exponent: float) -> float:
        """Return the cost by a power law through the center of the fitted sizes."""
        logs = [(math.log(each.size), math.log(max(each.value, MIN_COST))) for each in self.samples]
        x, y = (sum(column) / len(logs) for column in zip(*logs, strict=True))
        return math.exp(min(y + exponent * (math.log(size) - x), MAX_LOG)) if size > 0 else 0.0

    def estimate(self, size: float) -> tuple[float, float, float]:
        """Return the cost at this size with the ends of its interval, never below 0.

        A measured size gives its measurement. Other sizes use the line, or the mean if the cost is flat. If
        it grows faster than a line, the larger one of the line and the power law is used.
        """
        if (measurement := self.measurement(size)) is not None:
            return measurement
        line = [self.base + each * size for each in (self.each, self.each_low, self.each_high)]
        if self.flat:
            line[0] = mean(self.samples)  # the interval remains that of the line
        if self.superlinear:
            powers = (self.exponent, self.exponent_low, self.exponent_high)
            line = [max(pair) for pair in zip(line, (self.power(size, each) for each in powers), strict=True)]
        middle, low, high = (max(0.0, each) for each in line)
        return middle, low, high


class Report(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """docs/reports/capacity.json. `facts` are single figures without a slope (hollow fleet, storm)."""

    machine: str
    seconds: float  # total time of the run
    most_mb: float  # peak memory of all its processes together
    most_processes: int
    slopes: list[Slope]
    facts: dict[str, float] = {}
    missing: list[str] = []  # failed measures with their errors

    def slope(self, name: str) -> Slope:
        """Return the slope of this name. Raises KeyError."""
        for each in self.slopes:
            if each.name == name:
                return each
        raise KeyError(name)


def _line(x: np.ndarray, y: np.ndarray, weights: np.ndarray) -> tuple[float, float, float]:
    """Return base, slope and half of the interval of the slope."""
    design = np.stack([np.ones_like(x), x], axis=1)
    weighted_design = design * weights[:, None]
    coefficients, _, _, _ = np.linalg.lstsq(weighted_design, y * weights, rcond=None)
    residuals = (y - design @ coefficients) * weights
    degrees_of_freedom = len(x) - 2
    variance = float(residuals @ residuals) / degrees_of_freedom
    half_interval = T95[min(degrees_of_freedom, max(T95))] * float(
        np.sqrt(variance * np.linalg.pinv(weighted_design.T @ weighted_design)[1, 1])
    )
    return float(coefficients[0]), float(coefficients[1]), half_interval


def fit_slope(
    name: str, per: str, unit: str, samples: Sequence[Sample], largest: Sample, mechanism: str, note: str = ""
) -> Slope:
    """Fit a slope to `samples`. `largest` is the measurement at the size that is not fitted."""
    x = np.array([each.size for each in samples], dtype=float)
    y = np.array([each.value for each in samples], dtype=float)
    base, each, each_half = _line(x, y, _weights(y))
    _, power, exponent_half = _line(np.log(x), np.log(np.maximum(y, _cost_floor(y))), np.ones_like(x))
    slope = Slope(
        name,
        per,
        unit,
        list(samples),
        base,
        each,
        each - each_half,
        each + each_half,
        power,
        power - exponent_half,
        power + exponent_half,
        largest.size,
        base + each * largest.size,
        largest.value,
        mechanism,
        note,
    )
    return msgspec.structs.replace(slope, predicted=mean(samples)) if slope.flat else slope


def mean(samples: Sequence[Sample]) -> float:
    """Return the mean, weighted like the line by relative residuals."""
    y = np.array([each.value for each in samples], dtype=float)
    return float(np.average(y, weights=_weights(y) ** 2))


def _cost_floor(y: np.ndarray) -> float:
    """Return the lower bound of a cost: a cost of 0 has no relative residual and no logarithm."""
    return max(float(np.max(np.abs(y))) * 1e-6, 1e-12)


def _weights(y: np.ndarray) -> np.ndarray:
    """Return the weights of residuals, so that relative residuals have equal weight."""
    weights: np.ndarray = 1.0 / np.maximum(np.abs(y), _cost_floor(y))
    return weights
