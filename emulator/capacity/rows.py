"""One figure of one role at the size that is asked for: how it is worked out, and what it is held against.

A `Formula` is what a role's file lists; a `Reckoner` gives it the size, the assumptions and the measured
slopes, and notes each that it uses. So a row can tell by itself what it rests on: a cost as it was run at
just this size ("measured"), slopes at other sizes or several put together, or the operators' words alone
("reckoned"), these with something assumed ("assumed"), or a slope that nobody has measured ("not measured").
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

ROOT = Path(message_relay.__file__).parent.parent  # mechanisms are named from here
MISSING = "missing"
SAME = 1e-9  # of a figure: so near to its slope's it is the slope's own


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


# Units that measures tell, and what one of them is in the units here.
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
    """A slope or fact that the report does not have; the text says which."""


class Use(msgspec.Struct, frozen=True):
    """A slope, and the size at which a row took it."""

    slope: str
    size: float


@dataclass
class Reckoner:
    """What a formula may ask for, for one row; `edge` 0: the figure, 1 and 2: the ends of its interval."""

    size: Size
    report: Report
    edge: int = 0
    uses: list[Use] = field(default_factory=list)
    facts: list[str] = field(default_factory=list)
    assumed: list[str] = field(default_factory=list)
    lacks: list[str] = field(default_factory=list)  # parts of a sum that nobody has measured
    alone: list[float] = field(default_factory=list)  # what slopes and facts said, unscaled

    def at(self, name: str, size: float) -> float:
        """What the slope says at a size, in the units of `Unit`. Raises Unmeasured."""
        try:
            slope = self.report.slope(name)
        except KeyError:
            raise Unmeasured(name) from None
        if slope.unit not in SCALE:
            raise Unmeasured(f"{name}: its unit {slope.unit!r} is none of {', '.join(filter(None, SCALE))}")
        self.uses.append(Use(name, size))
        value = slope.reckoned(size)[self.edge] * SCALE[slope.unit]
        self.alone.append(value)
        return value

    def part(self, name: str, size: float) -> float:
        """The same as a part of a sum, which tells what it lacks."""
        try:
            return self.at(name, size)
        except Unmeasured as error:
            self.lacks.append(str(error))
            return 0.0

    def fact(self, name: str) -> float:
        """A single figure, in the units of `Unit`. Raises Unmeasured."""
        if name not in self.report.facts:
            raise Unmeasured(name)
        self.facts.append(name)
        self.alone.append(self.report.facts[name])
        return self.report.facts[name]

    def worst(self, start: str, end: str) -> float:
        """The largest of the single figures whose names begin and end so. Raises Unmeasured."""
        names = [name for name in self.report.facts if name.startswith(start) and name.endswith(end)]
        if not names:
            raise Unmeasured(f"{start}*{end}")
        return self.fact(max(names, key=lambda name: self.report.facts[name]))

    def assume(self, name: str) -> float:
        """A field of [assumed], which the row then tells."""
        if name not in self.assumed:
            self.assumed.append(name)
        return float(getattr(self.size.assumed, name))


@dataclass(frozen=True, slots=True)
class Budget:
    """What a figure may be at most, and whose word that is."""

    words: str
    most: Callable[[Size], float]


@dataclass(frozen=True, slots=True)
class Formula:
    name: str
    role: Role
    when: When
    kind: Kind
    what: str
    unit: Unit
    figure: Callable[[Reckoner], float]
    how: str  # in words, for the page
    mechanism: str  # file that carries it, or "missing"
    budget: Budget | None = None
    step: str = ""  # what would carry it where it is over budget, or where the mechanism is missing


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
    over: bool  # told by itself: a figure without end has no number in JSON
    state: str  # "measured", "reckoned", "assumed" or "not measured"
    mechanism: str
    step: str
    uses: list[Use]
    facts: list[str]
    assumed: list[str]
    lacks: list[str]


def reckoned(formula: Formula, size: Size, report: Report) -> Row:
    values: list[float] = []
    one = Reckoner(size, report)
    lacks: list[str] = []
    for edge in range(3):
        reckoner = Reckoner(size, report, edge)
        try:
            values.append(formula.figure(reckoner))
        except Unmeasured as error:
            lacks = [str(error)]
            values = []
            break
        if not edge:
            one = reckoner
    lacks = lacks or one.lacks
    # A sum of which nothing was measured, though it rests on measures, is no figure.
    value = values[0] if values and (not one.lacks or one.uses or one.facts) else None
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
        "" if formula.budget is None else formula.budget.words,
        factor,
        factor is not None and factor > 1.0 + SAME,
        "not measured" if value is None else state(one, value),
        mechanism(formula.mechanism),
        formula.step,
        one.uses,
        one.facts,
        one.assumed,
        list(dict.fromkeys(lacks)),
    )


def state(one: Reckoner, value: float) -> str:
    if not one.uses and not one.facts:
        return "assumed" if one.assumed else "reckoned"
    run = all(one.report.slope(use.slope).run(use.size) is not None for use in one.uses)
    plain = len(one.alone) == 1 and math.isclose(value, one.alone[0], rel_tol=SAME) and not one.lacks
    return "measured" if run and plain and not one.assumed else "reckoned"


def mechanism(told: str) -> str:
    """A file that is not there carries nothing."""
    if told.startswith(MISSING) or (ROOT / told).exists():
        return told
    return f"{MISSING} ({told})"


def rows(formulas: Iterable[Formula], size: Size, report: Report) -> list[Row]:
    """Over budget first, the worst at the top; the others as they are listed."""
    found = [reckoned(formula, size, report) for formula in formulas]
    over = sorted((row for row in found if row.over), key=lambda row: -(row.factor or 0.0))
    return over + [row for row in found if not row.over]


def slopes_of(row: Row, report: Report) -> list[Slope]:
    return [report.slope(name) for name in dict.fromkeys(use.slope for use in row.uses)]
