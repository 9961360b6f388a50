"""What comes out, as Markdown for people and as JSON: rows over budget first, what is missing first, the rows
of each role, each slope's prediction beside what was measured, and what nobody has measured."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

import msgspec

from .roles import AS_ELSEWHERE, FORMULAS
from .rows import MISSING, Formula, Role, Row, Unit, rows, slopes_of
from .size import Size
from .slopes import OFF, Report, Slope

PAPER = 0.05  # a figure reckoned by hand that is off by more is corrected
NAMED = 3  # rows that a step names in the list of what is missing; the others are counted


class Step(msgspec.Struct, frozen=True):
    """What would carry rows that are over budget now."""

    name: str
    factor: float  # of its worst row
    rows: list[str]


class Finding(msgspec.Struct, frozen=True):
    """A prediction that was off by more than a quarter."""

    slope: str
    size: int
    predicted: float
    measured: float
    off: float
    reason: str


class Paper(msgspec.Struct, frozen=True):
    """Reckoned by hand, and what comes out."""

    row: str
    by_hand: float
    value: float | None
    unit: str
    corrected: bool


class Told(msgspec.Struct, frozen=True):
    """A row with the slopes that it rests on."""

    row: Row
    slopes: list[Slope]


class Tables(msgspec.Struct, frozen=True):
    size: Size
    machine: str
    seconds: float
    most_mb: float
    most_processes: int
    rows: list[Told]
    steps: list[Step]
    slopes: list[Slope]
    findings: list[Finding]
    paper: list[Paper]
    not_measured: list[str]
    failed: list[str]
    facts: dict[str, float]


def tables(size: Size, report: Report, formulas: Sequence[Formula] = FORMULAS) -> Tables:
    found = rows(formulas, size, report)
    return Tables(
        size,
        report.machine,
        report.seconds,
        report.most_mb,
        report.most_processes,
        [Told(row, slopes_of(row, report)) for row in found],
        steps(found),
        report.slopes,
        [
            Finding(each.name, each.largest, each.predicted, each.measured, each.off, reason(each))
            for each in report.slopes
            if each.finding
        ],
        paper(size, found),
        sorted({lack for row in found for lack in row.lacks}),
        report.missing,
        report.facts,
    )


def steps(found: Iterable[Row]) -> list[Step]:
    """By the worst figure of each, the worst first."""
    by_name: dict[str, list[Row]] = {}
    for row in found:
        if row.over:
            by_name.setdefault(row.step or "no step is named", []).append(row)
    told = [
        Step(name, max(row.factor or 0.0 for row in over), [row.name for row in over])
        for name, over in by_name.items()
    ]
    return sorted(told, key=lambda step: -step.factor)


def reason(slope: Slope) -> str:
    """Why a prediction may be off, as far as the samples themselves tell."""
    found = []
    if slope.superlinear:
        found.append(f"it grows faster than a line: exponent {exponent(slope)}")
    elif slope.off > 0 and slope.exponent_high < 1.0:
        found.append(f"it grows slower than a line: exponent {exponent(slope)}")
    spread = max((each.most - each.least) / each.value if each.value else 0.0 for each in slope.samples)
    if spread > OFF:
        found.append(f"rounds at one size lie apart by up to {spread:.0%}")
    if slope.note:
        found.append(slope.note)
    return "; ".join(found) or "the line does not hold so far, and the samples do not tell why"


def paper(size: Size, found: Sequence[Row]) -> list[Paper]:
    by_name = {row.name: row for row in found}
    told = []
    for each in size.paper:
        row = by_name.get(each.row)
        value = None if row is None else row.value
        off = value is not None and abs(value - each.figure) > PAPER * each.figure
        told.append(Paper(each.row, each.figure, value, "no such row" if row is None else row.unit, off))
    return told


# -- as text ----------------------------------------------------------------------------------------------

PREFIXES = ((1e12, "T"), (1e9, "G"), (1e6, "M"), (1e3, "K"))


def digits(value: float) -> str:
    """Three of them, and never an exponent in what people read but for the smallest."""
    if value == 0 or not math.isfinite(value):
        return "0" if value == 0 else "without end"
    if abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def shown(value: float | None, unit: str) -> str:
    if value is None:
        return "not measured"
    if unit in (Unit.BYTES.value, Unit.RATE.value):
        tail = "B/s" if unit == Unit.RATE.value else "B"
        for scale, prefix in PREFIXES:
            if abs(value) >= scale:
                return f"{digits(value / scale)} {prefix}{tail}"
        return f"{digits(value)} {tail}"
    if unit == Unit.SECONDS.value:
        for scale, name, least in (
            (86400.0, "days", 2 * 86400.0),
            (3600.0, "h", 7200.0),
            (1.0, "s", 1.0),
            (1e-3, "ms", 1e-3),
            (1e-6, "us", 0.0),
        ):
            if abs(value) >= least:
                return f"{digits(value / scale)} {name}"
    if unit in (Unit.CORE.value, Unit.SHARE.value):
        tail = " of a core" if unit == Unit.CORE.value else ""
        return f"{digits(100 * value)}%{tail}"
    return f"{digits(value)}{unit}"


def figure(row: Row) -> str:
    text = shown(row.value, row.unit)
    if row.value is None or row.low is None or row.high is None:
        return text
    least = "at least " if row.lacks else ""
    if shown(row.low, row.unit) == shown(row.high, row.unit):
        return least + text
    if row.unit == Unit.CORE.value:
        plain, tail = Unit.SHARE.value, " of a core"
        return f"{least}{shown(row.value, plain)} ({shown(row.low, plain)} to {shown(row.high, plain)}){tail}"
    return f"{least}{text} ({shown(row.low, row.unit)} to {shown(row.high, row.unit)})"


def exponent(slope: Slope) -> str:
    return f"{slope.exponent:.2f} +- {slope.exponent_high - slope.exponent:.2f}"


def spelled(slope: Slope) -> str:
    low, high = slope.sizes
    law = ", power law taken where worse" if slope.superlinear else ""
    half = slope.each_high - slope.each
    return (
        f"`{slope.name}` {slope.each:.3g} +- {half:.1g} {slope.unit} a {slope.per}, run at "
        f"{low:,} to {high:,}, exponent {exponent(slope)}{law}"
    )


def rests_on(told: Told) -> str:
    row = told.row
    parts = [row.formula, *map(spelled, told.slopes), *(f"`{name}`" for name in row.facts)]
    if row.assumed:
        parts.append("assumed: " + ", ".join(row.assumed))
    if row.lacks:
        parts.append("not measured: " + ", ".join(f"`{lack}`" for lack in row.lacks))
    return "; ".join(parts)


def factor(row: Row) -> str:
    if row.factor is None:
        return ""
    return f"**{digits(row.factor)}**" if row.over else digits(row.factor)


def budget(row: Row) -> str:
    return f"{shown(row.budget, row.unit)} ({row.budget_words})" if row.budget else ""


def carried(row: Row) -> str:
    text = row.mechanism if row.mechanism.startswith(MISSING) else f"`{row.mechanism}`"
    short = row.over or row.mechanism.startswith(MISSING)
    return f"{text}; would: {row.step}" if row.step and short else text


def table(heads: Sequence[str], lines: Iterable[Sequence[str]]) -> list[str]:
    body = ["| " + " | ".join(each.replace("|", "/") for each in line) + " |" for line in lines]
    if not body:
        return ["None."]
    return ["| " + " | ".join(heads) + " |", "|" + " --- |" * len(heads), *body]


HEADS = ("when", "what", "figure", "budget", "times budget", "worked out from", "mechanism", "state")


def cells(told: Told) -> tuple[str, ...]:
    row = told.row
    return (
        row.when,
        f"{row.kind}: {row.what}",
        figure(row),
        budget(row),
        factor(row),
        rests_on(told),
        carried(row),
        row.state,
    )


def markdown(told: Tables) -> str:
    over = [each for each in told.rows if each.row.over]
    states = [each.row.state for each in told.rows]
    counts = ", ".join(
        f"{states.count(state)} {state}" for state in ("measured", "reckoned", "assumed", "not measured")
    )
    lines = [
        f'Size "{told.size.name}": {len(told.rows)} figures, {len(over)} of them over budget; {counts}.',
        f"Slopes: {len(told.slopes)}, measured on {told.machine} in {told.seconds:.0f} s, with "
        f"{told.most_mb:,.0f} MB and {told.most_processes} processes at most."
        if told.slopes
        else "Slopes: none has been measured.",
        "",
        "### Over budget",
        "",
        *table(("role", *HEADS), ((each.row.role, *cells(each)) for each in over)),
        "",
        "### What is missing first",
        "",
        *missing_first(told),
    ]
    for role in Role:
        lines += [
            "",
            f"### {role.value[0].upper()}{role.value[1:]}",
            "",
            *table(HEADS, (cells(each) for each in told.rows if each.row.role == role.value)),
        ]
        lines += [""] if AS_ELSEWHERE.get(role) else []
        lines += [
            f"- {', '.join(when.value for when in at)}: {words}."
            for words, at in AS_ELSEWHERE.get(role, {}).items()
        ]
    lines += [
        "",
        "### Predicted, then measured",
        "",
        "Each slope was fitted without its largest size, which was predicted and then run.",
        "",
        *table(
            (
                "slope",
                "unit",
                "sizes of the fit",
                "a unit of size",
                "exponent",
                "largest",
                "predicted",
                "measured",
                "off",
                "mechanism",
            ),
            map(predicted, told.slopes),
        ),
        "",
        "### Findings: predictions off by more than a quarter",
        "",
        *table(
            ("slope", "size", "predicted", "measured", "off", "reason"),
            (
                (
                    f"`{each.slope}`",
                    f"{each.size:,}",
                    f"{each.predicted:.4g}",
                    f"{each.measured:.4g}",
                    f"{each.off:+.0%}",
                    each.reason,
                )
                for each in told.findings
            ),
        ),
        "",
        "### Reckoned by hand before, and what comes out",
        "",
        *table(("row", "by hand", "comes out", ""), map(compared, told.paper)),
        "",
        "### Single figures",
        "",
        *table(("what", "figure"), ((f"`{name}`", f"{value:.4g}") for name, value in told.facts.items())),
        "",
        "### Not measured",
        "",
    ]
    lines += [f"- `{name}`" for name in told.not_measured] or ["Nothing that a figure needs."]
    lines += [f"- failed: {each}" for each in told.failed]
    return "\n".join(lines) + "\n"


def missing_first(told: Tables) -> list[str]:
    """Numbered, the worst figure first: what would carry it, and by which figure."""
    by_name = {each.row.name: each.row for each in told.rows}
    lines = []
    for place, step in enumerate(told.steps, 1):
        named = [by_name[name] for name in step.rows[:NAMED]]
        words = "; ".join(
            f"{row.role}, {row.what}: {shown(row.value, row.unit)} for " f"{shown(row.budget, row.unit)}"
            for row in named
        )
        rest = f"; and {len(step.rows) - NAMED} more" if len(step.rows) > NAMED else ""
        lines.append(f"{place}. **{step.name}**, {digits(step.factor)} times: {words}{rest}.")
    bare = [
        each.row
        for each in told.rows
        if each.row.mechanism.startswith(MISSING) and not each.row.over and each.row.value is not None
    ]
    if bare:
        lines += [
            "",
            "Nothing carries these either, and they have no budget that they break: "
            + "; ".join(
                f"{row.role}, {row.what} ({shown(row.value, row.unit)}): {row.step or row.mechanism}"
                for row in bare
            )
            + ".",
        ]
    return lines or ["Nothing is over budget."]


def predicted(slope: Slope) -> tuple[str, ...]:
    fit = [each.size for each in slope.samples]
    return (
        f"`{slope.name}`",
        slope.unit,
        f"{min(fit):,} to {max(fit):,} ({len(fit)})",
        f"{slope.each:.4g} ({slope.each_low:.4g} to {slope.each_high:.4g})",
        exponent(slope),
        f"{slope.largest:,}",
        f"{slope.predicted:.4g}",
        f"{slope.measured:.4g}",
        f"**{slope.off:+.0%}**" if slope.finding else f"{slope.off:+.0%}",
        f"`{slope.mechanism}`",
    )


def compared(each: Paper) -> tuple[str, ...]:
    value = each.unit if each.unit == "no such row" else shown(each.value, each.unit)
    return (f"`{each.row}`", shown(each.by_hand, each.unit), value, "corrected" if each.corrected else "")


def as_json(told: Tables) -> bytes:
    """Figures without end become null; their rows are "over", and their state is not "not measured"."""
    return msgspec.json.format(msgspec.json.encode(told), indent=1) + b"\n"
