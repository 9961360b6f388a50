"""Renders the results as Markdown and as JSON: rows over budget, the most urgent remedies, the rows of each
role, predictions of the slopes with the measured values, and missing measurements."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

import msgspec

from .roles import AS_ELSEWHERE, FORMULAS
from .rows import MISSING, Formula, Role, Row, Unit, rows, slopes_of
from .size import Size
from .slopes import MAX_ERROR, Report, Slope

MAX_PAPER_ERROR = 0.05  # a figure computed by hand with a larger relative error is corrected
MAX_NAMED_ROWS = 3  # rows that are named for each step in the list of missing parts; the others are counted


class Step(msgspec.Struct, frozen=True):
    """A remedy for rows that are over budget."""

    name: str
    factor: float  # the factor of its worst row
    rows: list[str]


class Finding(msgspec.Struct, frozen=True):
    """A prediction with an error of more than a quarter."""

    slope: str
    size: int
    predicted: float
    measured: float
    off: float
    reason: str


class Paper(msgspec.Struct, frozen=True):
    """A figure computed by hand, and the computed value."""

    row: str
    by_hand: float
    value: float | None
    unit: str
    corrected: bool


class RowWithSlopes(msgspec.Struct, frozen=True):
    """A row with the slopes that it uses."""

    row: Row
    slopes: list[Slope]


class Tables(msgspec.Struct, frozen=True):
    size: Size
    machine: str
    seconds: float
    most_mb: float
    most_processes: int
    rows: list[RowWithSlopes]
    steps: list[Step]
    slopes: list[Slope]
    findings: list[Finding]
    paper: list[Paper]
    not_measured: list[str]
    failed: list[str]
    facts: dict[str, float]


def tables(size: Size, report: Report, formulas: Sequence[Formula] = FORMULAS) -> Tables:
    computed = rows(formulas, size, report)
    return Tables(
        size,
        report.machine,
        report.seconds,
        report.most_mb,
        report.most_processes,
        [RowWithSlopes(row, slopes_of(row, report)) for row in computed],
        steps(computed),
        report.slopes,
        [
            Finding(each.name, each.largest, each.predicted, each.measured, each.off, reason(each))
            for each in report.slopes
            if each.finding
        ],
        paper(size, computed),
        sorted({lack for row in computed for lack in row.lacks}),
        report.missing,
        report.facts,
    )


def steps(computed: Iterable[Row]) -> list[Step]:
    """Return the remedies, ordered by their worst row, the worst first."""
    by_name: dict[str, list[Row]] = {}
    for row in computed:
        if row.over:
            by_name.setdefault(row.step or "no step is named", []).append(row)
    result = [
        Step(name, max(row.factor or 0.0 for row in over), [row.name for row in over])
        for name, over in by_name.items()
    ]
    return sorted(result, key=lambda step: -step.factor)


def reason(slope: Slope) -> str:
    """Return the likely causes of a wrong prediction, as far as the samples show them."""
    causes = []
    if slope.superlinear:
        causes.append(f"it grows faster than a line: exponent {format_exponent(slope)}")
    elif slope.off > 0 and slope.exponent_high < 1.0:
        causes.append(f"it grows slower than a line: exponent {format_exponent(slope)}")
    spread = max((each.most - each.least) / each.value if each.value else 0.0 for each in slope.samples)
    if spread > MAX_ERROR:
        causes.append(f"rounds at one size lie apart by up to {spread:.0%}")
    if slope.note:
        causes.append(slope.note)
    return "; ".join(causes) or "the line does not hold so far, and the samples do not tell why"


def paper(size: Size, computed: Sequence[Row]) -> list[Paper]:
    by_name = {row.name: row for row in computed}
    comparisons = []
    for each in size.paper:
        row = by_name.get(each.row)
        value = None if row is None else row.value
        off = value is not None and abs(value - each.figure) > MAX_PAPER_ERROR * each.figure
        comparisons.append(
            Paper(each.row, each.figure, value, "no such row" if row is None else row.unit, off)
        )
    return comparisons


# -- as text ----------------------------------------------------------------------------------------------

PREFIXES = ((1e12, "T"), (1e9, "G"), (1e6, "M"), (1e3, "K"))


def format_digits(value: float) -> str:
    """Format with three significant digits, with an exponent only for the smallest values."""
    if value == 0 or not math.isfinite(value):
        return "0" if value == 0 else "without end"
    if abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def format_value(value: float | None, unit: str) -> str:
    if value is None:
        return "not measured"
    if unit in (Unit.BYTES.value, Unit.RATE.value):
        suffix = "B/s" if unit == Unit.RATE.value else "B"
        for scale, prefix in PREFIXES:
            if abs(value) >= scale:
                return f"{format_digits(value / scale)} {prefix}{suffix}"
        return f"{format_digits(value)} {suffix}"
    if unit == Unit.SECONDS.value:
        for scale, name, least in (
            (86400.0, "days", 2 * 86400.0),
            (3600.0, "h", 7200.0),
            (1.0, "s", 1.0),
            (1e-3, "ms", 1e-3),
            (1e-6, "us", 0.0),
        ):
            if abs(value) >= least:
                return f"{format_digits(value / scale)} {name}"
    if unit in (Unit.CORE.value, Unit.SHARE.value):
        suffix = " of a core" if unit == Unit.CORE.value else ""
        return f"{format_digits(100 * value)}%{suffix}"
    return f"{format_digits(value)}{unit}"


def format_figure(row: Row) -> str:
    text = format_value(row.value, row.unit)
    if row.value is None or row.low is None or row.high is None:
        return text
    least = "at least " if row.lacks else ""
    if format_value(row.low, row.unit) == format_value(row.high, row.unit):
        return least + text
    if row.unit == Unit.CORE.value:
        share_unit, suffix = Unit.SHARE.value, " of a core"
        return (
            f"{least}{format_value(row.value, share_unit)} ({format_value(row.low, share_unit)} to "
            f"{format_value(row.high, share_unit)}){suffix}"
        )
    return f"{least}{text} ({format_value(row.low, row.unit)} to {format_value(row.high, row.unit)})"


def format_exponent(slope: Slope) -> str:
    return f"{slope.exponent:.2f} +- {slope.exponent_high - slope.exponent:.2f}"


def format_slope(slope: Slope) -> str:
    low, high = slope.sizes
    power_law = ", power law taken where worse" if slope.superlinear else ""
    each_half = slope.each_high - slope.each
    return (
        f"`{slope.name}` {slope.each:.3g} +- {each_half:.1g} {slope.unit} a {slope.per}, run at "
        f"{low:,} to {high:,}, exponent {format_exponent(slope)}{power_law}"
    )


def format_sources(entry: RowWithSlopes) -> str:
    row = entry.row
    parts = [row.formula, *map(format_slope, entry.slopes), *(f"`{name}`" for name in row.facts)]
    if row.assumed:
        parts.append("assumed: " + ", ".join(row.assumed))
    if row.lacks:
        parts.append("not measured: " + ", ".join(f"`{lack}`" for lack in row.lacks))
    return "; ".join(parts)


def format_factor(row: Row) -> str:
    if row.factor is None:
        return ""
    return f"**{format_digits(row.factor)}**" if row.over else format_digits(row.factor)


def format_budget(row: Row) -> str:
    return f"{format_value(row.budget, row.unit)} ({row.budget_words})" if row.budget else ""


def format_mechanism(row: Row) -> str:
    text = row.mechanism if row.mechanism.startswith(MISSING) else f"`{row.mechanism}`"
    needs_step = row.over or row.mechanism.startswith(MISSING)
    return f"{text}; would: {row.step}" if row.step and needs_step else text


def table(heads: Sequence[str], lines: Iterable[Sequence[str]]) -> list[str]:
    body = ["| " + " | ".join(each.replace("|", "/") for each in line) + " |" for line in lines]
    if not body:
        return ["None."]
    return ["| " + " | ".join(heads) + " |", "|" + " --- |" * len(heads), *body]


HEADS = ("when", "what", "figure", "budget", "times budget", "worked out from", "mechanism", "state")


def row_cells(entry: RowWithSlopes) -> tuple[str, ...]:
    row = entry.row
    return (
        row.when,
        f"{row.kind}: {row.what}",
        format_figure(row),
        format_budget(row),
        format_factor(row),
        format_sources(entry),
        format_mechanism(row),
        row.state,
    )


def markdown(result: Tables) -> str:
    over = [each for each in result.rows if each.row.over]
    states = [each.row.state for each in result.rows]
    counts = ", ".join(
        f"{states.count(state)} {state}" for state in ("measured", "reckoned", "assumed", "not measured")
    )
    lines = [
        f'Size "{result.size.name}": {len(result.rows)} figures, {len(over)} of them over budget; {counts}.',
        f"Slopes: {len(result.slopes)}, measured on {result.machine} in {result.seconds:.0f} s, with "
        f"{result.most_mb:,.0f} MB and {result.most_processes} processes at most."
        if result.slopes
        else "Slopes: none has been measured.",
        "",
        "### Over budget",
        "",
        *table(("role", *HEADS), ((each.row.role, *row_cells(each)) for each in over)),
        "",
        "### What is missing first",
        "",
        *missing_first(result),
    ]
    for role in Role:
        lines += [
            "",
            f"### {role.value[0].upper()}{role.value[1:]}",
            "",
            *table(HEADS, (row_cells(each) for each in result.rows if each.row.role == role.value)),
        ]
        lines += [""] if AS_ELSEWHERE.get(role) else []
        lines += [
            f"- {', '.join(when.value for when in at)}: {text}."
            for text, at in AS_ELSEWHERE.get(role, {}).items()
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
            map(prediction_cells, result.slopes),
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
                for each in result.findings
            ),
        ),
        "",
        "### Reckoned by hand before, and what comes out",
        "",
        *table(("row", "by hand", "comes out", ""), map(paper_cells, result.paper)),
        "",
        "### Single figures",
        "",
        *table(("what", "figure"), ((f"`{name}`", f"{value:.4g}") for name, value in result.facts.items())),
        "",
        "### Not measured",
        "",
    ]
    lines += [f"- `{name}`" for name in result.not_measured] or ["Nothing that a figure needs."]
    lines += [f"- failed: {each}" for each in result.failed]
    return "\n".join(lines) + "\n"


def missing_first(result: Tables) -> list[str]:
    """Return a numbered list of remedies with their worst rows, the worst first."""
    by_name = {each.row.name: each.row for each in result.rows}
    lines = []
    for index, step in enumerate(result.steps, 1):
        displayed_rows = [by_name[name] for name in step.rows[:MAX_NAMED_ROWS]]
        text = "; ".join(
            f"{row.role}, {row.what}: {format_value(row.value, row.unit)} for "
            f"{format_value(row.budget, row.unit)}"
            for row in displayed_rows
        )
        remainder = f"; and {len(step.rows) - MAX_NAMED_ROWS} more" if len(step.rows) > MAX_NAMED_ROWS else ""
        lines.append(f"{index}. **{step.name}**, {format_digits(step.factor)} times: {text}{remainder}.")
    missing_rows = [
        each.row
        for each in result.rows
        if each.row.mechanism.startswith(MISSING) and not each.row.over and each.row.value is not None
    ]
    if missing_rows:
        lines += [
            "",
            "Nothing carries these either, and they have no budget that they break: "
            + "; ".join(
                f"{row.role}, {row.what} ({format_value(row.value, row.unit)}): {row.step or row.mechanism}"
                for row in missing_rows
            )
            + ".",
        ]
    return lines or ["Nothing is over budget."]


def prediction_cells(slope: Slope) -> tuple[str, ...]:
    fit = [each.size for each in slope.samples]
    return (
        f"`{slope.name}`",
        slope.unit,
        f"{min(fit):,} to {max(fit):,} ({len(fit)})",
        f"{slope.each:.4g} ({slope.each_low:.4g} to {slope.each_high:.4g})",
        format_exponent(slope),
        f"{slope.largest:,}",
        f"{slope.predicted:.4g}",
        f"{slope.measured:.4g}",
        f"**{slope.off:+.0%}**" if slope.finding else f"{slope.off:+.0%}",
        f"`{slope.mechanism}`",
    )


def paper_cells(each: Paper) -> tuple[str, ...]:
    value = each.unit if each.unit == "no such row" else format_value(each.value, each.unit)
    return (
        f"`{each.row}`",
        format_value(each.by_hand, each.unit),
        value,
        "corrected" if each.corrected else "",
    )


def as_json(result: Tables) -> bytes:
    """Encode as JSON.

    Infinite figures become null; their rows are "over", and their state is not "not measured".
    """
    return msgspec.json.format(msgspec.json.encode(result), indent=1) + b"\n"
