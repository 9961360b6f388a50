"""Writes the results of an experiment as one self-contained HTML file, and its charts as SVG and PNG
files."""

from __future__ import annotations

import html
import io
import math
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")

import matplotlib.pyplot as plt
import numpy as np
from hdrh.histogram import HdrHistogram

from .experiment import Experiment
from .intervals import Interval, correlation, difference, interval, verdict
from .measure_names import MEASURES
from .runs import Result, by_variant, manifest, row

PERCENTILES = [50, 75, 90, 95, 99, 99.9, 99.99]
COLOURS = ["#3465a4", "#c17d11", "#4e9a06", "#a40000", "#75507b", "#555753"]
MAX_DRAWN = 6  # variants in one chart
SHADE = {
    "down": "#a40000",
    "hung": "#a40000",
    "silent": "#a40000",
    "shut": "#75507b",
    "failing": "#c17d11",
    "brown": "#8f5902",
    "lowered": "#c4a000",
}
STYLE = """
body{font:16px/1.5 system-ui,sans-serif;max-width:62rem;margin:2rem auto;padding:0 1rem;color:#222}
h1{font-size:1.6rem;margin-bottom:.2rem}h2{font-size:1.15rem;margin-top:2.2rem}
table{border-collapse:collapse;font-variant-numeric:tabular-nums}
th,td{padding:.25rem .6rem;text-align:right;border-bottom:1px solid #ddd;white-space:nowrap}
table{font-size:.85rem}
th:first-child,td:first-child{text-align:left}
.verdict{font-size:1.15rem;padding:.8rem 1rem;border-left:6px solid #888;background:#f5f5f3}
.better{border-color:#4e9a06}.worse{border-color:#a40000}.note{color:#666;font-size:.9rem}
svg{max-width:100%;height:auto}.scroll{overflow-x:auto}
"""


def format_figure(value: float) -> str:
    if math.isnan(value):
        return "-"
    if math.isinf(value):
        return "inf"
    size = abs(value)
    return f"{value:.0f}" if size >= 1000 else f"{value:.1f}" if size >= 20 else f"{value:.4f}"


def format_interval(value: Interval) -> str:
    return f"{format_figure(value.mean)} ({format_figure(value.low)} to {format_figure(value.high)})"


class Charts:
    """Embeds charts as SVG in the page, and also writes them as files beside it."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder

    def add(self, name: str, figure: Any) -> str:
        text = io.StringIO()
        figure.savefig(text, format="svg", metadata={"Date": None})
        figure.savefig(self.folder / f"{name}.png", dpi=110)
        plt.close(figure)
        svg = text.getvalue()
        (self.folder / f"{name}.svg").write_text(svg)
        return svg[svg.index("<svg") :]


def report(folder: Path) -> Path:
    """Writes FOLDER/report.html and returns its path. Raises RunsError."""
    experiment, runs = manifest(folder).experiment, by_variant(folder)
    plt.rcParams.update(
        {
            "svg.hashsalt": experiment.name,
            "font.size": 9,
            "axes.spines.top": False,
            "axes.spines.right": False,
            "axes.grid": True,
            "grid.alpha": 0.25,
        }
    )
    charts = Charts(folder)
    parts = [f"<h1>{html.escape(experiment.name)}</h1>", facts(experiment, runs), *verdicts(experiment, runs)]
    if len(runs) > 2:
        parts += ["<h2>All variants</h2>", charts.add("variants", variants(experiment, runs))]
    parts += ["<h2>Figures</h2>", table(experiment, runs)]
    parts += [
        "<h2>Load, second by second</h2>",
        '<p class="note">Means over seeds. Dashed: what the partners with an agreed rate could do; shaded: '
        "their troubles.</p>",
        charts.add("load", load(experiment, runs)),
    ]
    parts += ["<h2>Time to delivery</h2>", charts.add("latency", latency(experiment, runs))]
    if len(experiment.partners) > 1:
        parts += ["<h2>Delivered, by destination</h2>", charts.add("destinations", destinations(runs))]
    parts += ["<h2>The worst seeds</h2>", worst(experiment, runs)]
    parts += broken(runs)
    title = html.escape(experiment.name)
    page = (
        f'<!doctype html><html lang="en"><meta charset="utf-8"><title>{title}</title>'
        f"<style>{STYLE}</style>\n" + "\n".join(parts) + "</html>\n"
    )
    path = folder / "report.html"
    path.write_text(page)
    return path


def facts(experiment: Experiment, runs: dict[str, list[Result]]) -> str:
    seeds = len(next(iter(runs.values())))
    messages = np.mean([result.messages for results in runs.values() for result in results])
    early = (
        " Stopped once the interval was narrow enough, which makes it cover a little less than 95%."
        if (experiment.half_width is not None and seeds < experiment.seeds)
        else ""
    )
    return (
        f'<p class="note">{len(runs)} variants, {seeds} seeds each, {messages:.0f} messages a run, '
        f"{experiment.fleet.relays} relays, {len(experiment.partners)} destinations. "
        "Intervals are 95%, over paired seeds."
        f"{early}</p>"
    )


def verdicts(experiment: Experiment, runs: dict[str, list[Result]]) -> list[str]:
    names = list(runs)
    if len(names) < 2:
        return []
    meaning, more_is_better = MEASURES[experiment.measure]
    first, out = row(runs[names[0]], experiment.measure), []
    displayed = (
        names[1:]
        if len(names) <= 4
        else sorted(
            names[1:],
            key=lambda name: -abs(difference(first, row(runs[name], experiment.measure)).mean),
        )[:3]
    )
    for name in displayed:
        diff = difference(first, row(runs[name], experiment.measure))
        word = verdict(diff, more_is_better)
        kind = word if word in ("better", "worse") else "same"
        note = f' <span class="note">Note: {html.escape(diff.warning)}.</span>' if diff.warning else ""
        out.append(
            f'<p class="verdict {kind}"><b>{html.escape(name)}</b> against <b>{html.escape(names[0])}</b>: '
            f"<b>{word}</b>. {experiment.measure} ({meaning}) differs by {format_interval(diff)}.{note}</p>"
        )
    if len(displayed) < len(names) - 1:
        out.append(
            f'<p class="note">Of {len(names) - 1} variants the three that differ most; with so many, some '
            "5% of intervals miss zero by chance alone.</p>"
        )
    return out


def table(experiment: Experiment, runs: dict[str, list[Result]]) -> str:
    names = list(runs)
    first = names[0]
    if len(names) > MAX_DRAWN:
        return table_of_many(experiment, runs)
    head = (
        "<tr><th>figure</th>"
        + "".join(f"<th>{html.escape(name)}</th>" for name in names)
        + "".join(f"<th>{html.escape(name)} - {html.escape(first)}</th><th></th>" for name in names[1:])
        + "</tr>"
    )
    lines = [head]
    for measure, (meaning, more_is_better) in MEASURES.items():
        rows = {name: row(runs[name], measure) for name in names}
        if all(math.isnan(value) for values in rows.values() for value in values):
            continue
        cells = [f'<td title="{meaning}">{measure}</td>']
        cells += [f"<td>{format_interval(interval(rows[name]))}</td>" for name in names]
        for name in names[1:]:
            diff = difference(rows[first], rows[name])
            word = verdict(diff, more_is_better)
            cells += [
                f"<td>{format_interval(diff)}</td>",
                f"<td>{'' if word == 'no difference seen' else word}</td>",
            ]
        lines.append("<tr>" + "".join(cells) + "</tr>")
    return f'<div class="scroll"><table>{"".join(lines)}</table></div>' + correlations_note(experiment, runs)


def correlations_note(experiment: Experiment, runs: dict[str, list[Result]]) -> str:
    names = list(runs)
    correlations = [
        f"{name}: "
        f"{correlation(row(runs[names[0]], experiment.measure), row(runs[name], experiment.measure)):.2f}"
        for name in names[1:]
    ]
    return (
        (
            f'<p class="note">Correlation of {experiment.measure} with {html.escape(names[0])} over seeds: '
            f"{html.escape(', '.join(correlations))}.</p>"
        )
        if correlations
        else ""
    )


def table_of_many(experiment: Experiment, runs: dict[str, list[Result]]) -> str:
    names = list(runs)
    displayed = ["service", "delivered", "worst_10s", "p99_ms", "over_1s", "tries_while_out"]
    _, more_is_better = MEASURES[experiment.measure]
    first = row(runs[names[0]], experiment.measure)
    lines = [
        "<tr><th>variant</th>"
        + "".join(f"<th>{name}</th>" for name in displayed)
        + f"<th>{experiment.measure} less {html.escape(names[0])}</th><th></th></tr>"
    ]
    order = sorted(
        names,
        key=lambda name: -interval(row(runs[name], experiment.measure)).mean * (1 if more_is_better else -1),
    )
    for name in order:
        diff = difference(first, row(runs[name], experiment.measure))
        word = verdict(diff, more_is_better)
        cells = [f"<td>{html.escape(name)}</td>"]
        cells += [f"<td>{format_figure(interval(row(runs[name], each)).mean)}</td>" for each in displayed]
        cells += [
            f"<td>{format_interval(diff)}</td>",
            f"<td>{'' if word == 'no difference seen' else word}</td>",
        ]
        lines.append("<tr>" + "".join(cells) + "</tr>")
    return f'<div class="scroll"><table>{"".join(lines)}</table></div>'


def variants(experiment: Experiment, runs: dict[str, list[Result]]) -> Any:
    """Draws the difference of each variant to the first, with its interval."""
    names = list(runs)
    first = row(runs[names[0]], experiment.measure)
    diffs = sorted(
        ((difference(first, row(runs[name], experiment.measure)), name) for name in names[1:]),
        key=lambda pair: pair[0].mean,
    )
    figure, axes = plt.subplots(figsize=(8, 0.6 + 0.22 * len(diffs)), layout="constrained")
    positions = np.arange(len(diffs))
    means = [diff.mean for diff, _ in diffs]
    axes.errorbar(
        means, positions, xerr=[diff.half for diff, _ in diffs], fmt="o", ms=3, lw=1, color=COLOURS[0]
    )
    axes.axvline(0.0, color="#888", lw=1)
    axes.set_yticks(positions, [name for _, name in diffs], fontsize=7)
    axes.set_xlabel(f"{experiment.measure} less {names[0]}, with 95% intervals")
    return figure


def load(experiment: Experiment, runs: dict[str, list[Result]]) -> Any:
    names = list(runs)[:MAX_DRAWN]
    figure, axes = plt.subplots(2, 1, figsize=(8, 5), sharex=True, layout="constrained")
    submitted = mean_series(runs[names[0]], "asked")
    axes[0].step(range(len(submitted)), submitted, where="mid", color="#bbb", lw=1, label="handed in")
    can = mean_series(runs[names[0]], "can")
    if len(can) and can.max() > 0:
        axes[0].plot(can, "k--", lw=1, label="agreed")
    for colour, name in zip(COLOURS, names, strict=False):
        axes[0].plot(mean_series(runs[name], "calls"), color=colour, lw=1.2, label=f"calls, {name}")
        axes[1].plot(
            mean_series(runs[name], "delivered"),
            color=colour,
            lw=1.2,
            label=f"delivered, {name}",
        )
    axes[1].step(range(len(submitted)), submitted, where="mid", color="#bbb", lw=1)
    for trouble in {
        (each.fault, each.begin_s, each.end_s)
        for each in [trouble for partner in experiment.partners for trouble in partner.troubles]
    }:
        for axis in axes:
            axis.axvspan(trouble[1], trouble[2], color=SHADE[trouble[0]], alpha=0.08, lw=0)
    for axis, text in zip(axes, ("a second", "delivered a second"), strict=True):
        axis.set_ylabel(text)
        axis.set_ylim(bottom=0)
        axis.legend(fontsize=7, loc="upper right")
    axes[1].set_xlabel("seconds")
    return figure


def mean_series(results: list[Result], name: str) -> np.ndarray:
    return np.asarray(np.mean([result.series[name] for result in results], axis=0))


def merged(results: Sequence[Result], class_: str) -> HdrHistogram:
    out: HdrHistogram = HdrHistogram.decode(results[0].histograms[class_])
    for result in results[1:]:
        out.add(HdrHistogram.decode(result.histograms[class_]))
    return out


def latency(experiment: Experiment, runs: dict[str, list[Result]]) -> Any:
    names = list(runs)[:MAX_DRAWN]
    figure, axes = plt.subplots(
        1, len(experiment.classes), figsize=(8, 3), sharey=True, squeeze=False, layout="constrained"
    )
    positions = [-math.log10(1 - each / 100) for each in PERCENTILES]
    for axis, class_ in zip(axes[0], experiment.classes, strict=True):
        for colour, name in zip(COLOURS, names, strict=False):
            histogram = merged(runs[name], class_.name)
            if histogram.get_total_count():
                axis.plot(
                    positions,
                    [histogram.get_value_at_percentile(each) for each in PERCENTILES],
                    "o-",
                    ms=3,
                    lw=1.2,
                    color=colour,
                    label=name,
                )
        axis.axhline(class_.aim_ms, color="#888", lw=1, ls=":")
        axis.set_title(f"{class_.name} (dotted: its aim)", fontsize=9)
        axis.set_yscale("log")
        axis.set_xticks(positions, [f"{each:g}" for each in PERCENTILES], fontsize=7, rotation=45)
        axis.set_xlabel("percentile")
    axes[0][0].set_ylabel("ms to delivery")
    axes[0][0].legend(fontsize=7)
    return figure


def destinations(runs: dict[str, list[Result]]) -> Any:
    names = list(runs)[:MAX_DRAWN]
    figure, axis = plt.subplots(figsize=(8, 2.8), layout="constrained")
    for n, (colour, name) in enumerate(zip(COLOURS, names, strict=False)):
        submitted: dict[float, float] = {}
        done: dict[float, float] = {}
        for result in runs[name]:
            for dest, count, delivered, _ in result.destinations:
                submitted[dest] = submitted.get(dest, 0.0) + count
                done[dest] = done.get(dest, 0.0) + delivered
        order = sorted(submitted, key=lambda dest: -submitted[dest])[:40]
        positions = np.arange(len(order)) + (n - len(names) / 2) * 0.8 / len(names)
        axis.bar(
            positions,
            [done[dest] / submitted[dest] for dest in order],
            0.8 / len(names),
            color=colour,
            label=name,
        )
        axis.set_xticks(range(len(order)), [f"{dest:.0f}" for dest in order], fontsize=7)
    axis.set_xlabel("destination, the busiest first")
    axis.set_ylabel("share delivered")
    axis.legend(fontsize=7)
    return figure


def worst(experiment: Experiment, runs: dict[str, list[Result]]) -> str:
    lines = [
        "<tr><th>variant</th><th>seed</th><th>"
        + experiment.measure
        + "</th><th>worst 10 s</th><th>delivered</th>"
        "<th>p99 ms</th></tr>"
    ]
    _, more_is_better = MEASURES[experiment.measure]
    for name, results in list(runs.items())[:MAX_DRAWN]:
        order = sorted(
            results, key=lambda result: result.figure(experiment.measure) * (1 if more_is_better else -1)
        )
        for result in order[:3]:
            lines.append(
                f"<tr><td>{html.escape(name)}</td><td>{result.seed}</td>"
                + "".join(
                    f"<td>{format_figure(result.figure(each))}</td>"
                    for each in (experiment.measure, "worst_10s", "delivered", "p99_ms")
                )
                + "</tr>"
            )
    return f"<table>{''.join(lines)}</table>"


def broken(runs: dict[str, list[Result]]) -> list[str]:
    violations = [
        f"<li>{html.escape(name)}, seed {result.seed}: {html.escape(text)}</li>"
        for name, results in runs.items()
        for result in results
        for text in result.broken[:3]
    ]
    if not violations:
        return ["<p>No rule was broken in any run.</p>"]
    return ["<h2>Rules broken</h2>", f"<ul>{''.join(violations[:50])}</ul>"]
