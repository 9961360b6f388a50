"""Computes one figure of one role at a given size, with its sources and its budget.

The module of a role lists its `Formula` objects. A `Calculation` gives a formula the size, the assumptions
and the measured slopes, and records each that it uses. Each row therefore states its basis: a cost measured
at exactly this size ("measured"), slopes at other sizes, several combined or only the operators' figures
("reckoned"), the operators' figures with an assumption ("assumed"), or a missing slope ("not measured").
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path

import msgspec

import message_relay

from .size import Size
from .slopes import Report, Slope

ROOT = Path(message_relay.__file__).parent.parent  # paths of mechanisms are relative to it
MISSING = "missing"
SAME = 1e-9  # relative tolerance for a figure that equals the value of its slope


class Role(Enum):
    DATA = "relay, data path"
    CONTROL = "relay, control"
    VOTER = "voter"
    LEADER = "leader of the log"
    DECIDER = "decider of plans"
    KEEPER = "keeper of the directory"
    SUPERVISOR = "supervisor of a machine"
    COMMANDS = "operator's commands"
    DESTINATION = "destination"


class When(Enum):
    REST = "at rest"
    HOUR = "ordinary hour"
    DAY = "restarts of a day"
    CHANGES = "changes of a day"
    STORM = "storm of changes"
    MACHINE = "a machine fails"
    RACK = "a rack fails"
    ZONE = "a zone fails"
    APART = "regions apart"
    BACK = "it comes back"
    DRAIN = "full backlog drains"


class Kind(Enum):
    STATE = "state"
    IN = "messages in"
    OUT = "messages out"
    PROCESSOR = "processor"
    MEMORY = "memory"
    DISK = "disk"
    TIME = "time"


class Unit(Enum):
    BYTES = "bytes"
    RATE = "bytes/s"
    SECONDS = "s"
    CORE = "of a core"
    SHARE = "share"
    COUNT = ""
    EACH_S = "/s"


# Maps each unit of a measure to its size in the units of `Unit`.
SCALE = {
    "bytes": 1.0,
    "KB": 1e3,
    "MB": 1e6,
    "bytes/s": 1.0,
    "KB/s": 1e3,
    "s": 1.0,
    "ms": 1e-3,
    "us": 1e-6,
    "s/s": 1.0,
    "ms/s": 1e-3,
    "us/s": 1e-6,
    "core": 1.0,
    "cores": 1.0,
    "datagrams/s": 1.0,
    "datagrams": 1.0,
    "messages/s": 1.0,
    "1/s": 1.0,
    "": 1.0,
    "share": 1.0,
    "count": 1.0,
}


class Unmeasured(LookupError):
    """The report lacks a slope or fact, which is named by the text."""


class Use(msgspec.Struct, frozen=True):
    """A slope, and the size at which a row evaluated it."""

    slope: str
    size: float


@dataclass
class Calculation:
    """Input of a formula for one row, and a record of its use.

    `edge` is 0 for the figure, and 1 or 2 for the ends of its interval.
    """

    size: Size
    report: Report
    edge: int = 0
    uses: list[Use] = field(default_factory=list)
    facts: list[str] = field(default_factory=list)
    assumed: list[str] = field(default_factory=list)
    lacks: list[str] = field(default_factory=list)  # parts of a sum that were not measured
    # The values of slopes and facts, before further terms.
    raw_values: list[float] = field(default_factory=list)

    def at(self, name: str, size: float) -> float:
        """Return the value of a slope at a size, in the units of `Unit`. Raises Unmeasured."""
        try:
            slope = self.report.slope(name)
        except KeyError:
            raise Unmeasured(name) from None
        if slope.unit not in SCALE:
            raise Unmeasured(f"{name}: its unit {slope.unit!r} is none of {', '.join(filter(None, SCALE))}")
        self.uses.append(Use(name, size))
        value = slope.estimate(size)[self.edge] * SCALE[slope.unit]
        self.raw_values.append(value)
        return value

    def part(self, name: str, size: float) -> float:
        """Return the same for a part of a sum. A missing slope is recorded and counts as 0."""
        try:
            return self.at(name, size)
        except Unmeasured as error:
            self.lacks.append(str(error))
            return 0.0

    def fact(self, name: str) -> float:
        """Return a single figure, in the units of `Unit`. Raises Unmeasured."""
        if name not in self.report.facts:
            raise Unmeasured(name)
        self.facts.append(name)
        self.raw_values.append(self.report.facts[name])
        return self.report.facts[name]

    def worst(self, prefix: str, suffix: str) -> float:
        """Return the largest of the single figures with this prefix and suffix. Raises Unmeasured."""
        names = [name for name in self.report.facts if name.startswith(prefix) and name.endswith(suffix)]
        if not names:
            raise Unmeasured(f"{prefix}*{suffix}")
        return self.fact(max(names, key=lambda name: self.report.facts[name]))

    def assume(self, name: str) -> float:
        """Return a field of [assumed], and record it for the row."""
        if name not in self.assumed:
            self.assumed.append(name)
        return float(getattr(self.size.assumed, name))


@dataclass(frozen=True, slots=True)
class Budget:
    """The maximum of a figure, and its source."""

    text: str
    most: Callable[[Size], float]


@dataclass(frozen=True, slots=True)
class Formula:
    name: str
    role: Role
    when: When
    kind: Kind
    what: str
    unit: Unit
    figure: Callable[[Calculation], float]
    how: str  # in words, for the page
    mechanism: str  # the file that implements it, or "missing"
    budget: Budget | None = None
    step: str = ""  # the remedy if it is over budget or the mechanism is missing


class Row(msgspec.Struct, frozen=True):
    name: str
    role: str
    when: str
    kind: str
    what: str
    unit: str
    formula: str
    value: float | None  # None: not measured
    low: float | None
    high: float | None
    budget: float | None
    budget_words: str
    factor: float | None  # value over budget
    over: bool  # a field of its own, because an infinite figure has no number in JSON
    state: str  # "measured", "reckoned", "assumed" or "not measured"
    mechanism: str
    step: str
    uses: list[Use]
    facts: list[str]
    assumed: list[str]
    lacks: list[str]


def compute_row(formula: Formula, size: Size, report: Report) -> Row:
    values: list[float] = []
    calculation = Calculation(size, report)
    lacks: list[str] = []
    for edge in range(3):
        attempt = Calculation(size, report, edge)
        try:
            values.append(formula.figure(attempt))
        except Unmeasured as error:
            lacks = [str(error)]
            values = []
            break
        if not edge:
            calculation = attempt
    lacks = lacks or calculation.lacks
    # A sum that depends on measures, none of which exist, has no value.
    value = values[0] if values and (not calculation.lacks or calculation.uses or calculation.facts) else None
    budget = None if formula.budget is None else formula.budget.most(size)
    factor = None if value is None or not budget else value / budget
    return Row(
        formula.name,
        formula.role.value,
        formula.when.value,
        formula.kind.value,
        formula.what,
        formula.unit.value,
        formula.how,
        value,
        None if value is None else min(values),
        None if value is None else max(values),
        budget,
        "" if formula.budget is None else formula.budget.text,
        factor,
        factor is not None and factor > 1.0 + SAME,
        "not measured" if value is None else state(calculation, value),
        mechanism(formula.mechanism),
        formula.step,
        calculation.uses,
        calculation.facts,
        calculation.assumed,
        list(dict.fromkeys(lacks)),
    )


def state(calculation: Calculation, value: float) -> str:
    if not calculation.uses and not calculation.facts:
        return "assumed" if calculation.assumed else "reckoned"
    is_measured = all(
        calculation.report.slope(use.slope).measurement(use.size) is not None for use in calculation.uses
    )
    is_single_value = (
        len(calculation.raw_values) == 1
        and math.isclose(value, calculation.raw_values[0], rel_tol=SAME)
        and not calculation.lacks
    )
    return "measured" if is_measured and is_single_value and not calculation.assumed else "reckoned"


def mechanism(path: str) -> str:
    """Return the path, marked as missing if the file does not exist."""
    if path.startswith(MISSING) or (ROOT / path).exists():
        return path
    return f"{MISSING} ({path})"


def rows(formulas: Iterable[Formula], size: Size, report: Report) -> list[Row]:
    """Return the rows over budget first, the worst at the top, then the others in their order."""
    computed = [compute_row(formula, size, report) for formula in formulas]
    over = sorted((row for row in computed if row.over), key=lambda row: -(row.factor or 0.0))
    return over + [row for row in computed if not row.over]


def slopes_of(row: Row, report: Report) -> list[Slope]:
    return [report.slope(name) for name in dict.fromkeys(use.slope for use in row.uses)]
