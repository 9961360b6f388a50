"""Writes the digests of all traces: what is decided now becomes what must be decided later.

    python -m tests.compatibility.decision_fixtures

Only for a change of behaviour that is meant; a rename must leave the file as it is.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path

import msgspec

from . import decision_binding as binding
from . import subsystem_binding as subsystems
from .decision_scenarios import SCENARIOS, SEEDS
from .decision_trace import traced
from .trace_lines import BLOCK_LINES, Trace, digest, neutral

DIGESTS = Path(__file__).parent / "fixtures" / "decisions" / "digests.json"
EMULATOR_SEED = 3
LINES_SHOWN = 3  # of a block that differs


class Expected(msgspec.Struct, frozen=True):
    """What is kept of one trace."""

    digest: str
    lines: int
    counts: dict[str, int]  # of lines, by their kind
    blocks: list[str]  # a short digest of every so many lines


class Fixtures(msgspec.Struct, frozen=True):
    traces: dict[str, Expected]
    subsystems: dict[str, Expected]
    emulator: str


def trace_name(name: str, seed: int) -> str:
    """Of a scenario or a subsystem."""
    return f"{name}/{seed}"


def subsystem_trace(name: str, seed: int) -> Trace:
    lines = [" ".join(map(neutral, row)) for row in subsystems.RUNS[name](seed)]
    return Trace(lines)


def expected(trace: Trace) -> Expected:
    return Expected(trace.digest(), len(trace.lines), dict(sorted(trace.counts.items())), trace.blocks())


def emulator_digest() -> str:
    rows = binding.emulated(EMULATOR_SEED)
    return digest(" ".join(map(neutral, row)) for row in rows)


def difference(trace: Trace, kept: Expected) -> str:
    """Where a trace first differs from the one that was kept, and in what; empty: it is the same."""
    if trace.digest() == kept.digest:
        return ""
    blocks = trace.blocks()
    pairs = zip(blocks, kept.blocks, strict=False)
    first = next((n for n, (now, before) in enumerate(pairs) if now != before), None)
    if first is None:
        first = min(len(blocks), len(kept.blocks))
    start = first * BLOCK_LINES
    kinds = sorted({*trace.counts, *kept.counts})
    changed = [
        f"{kind} {kept.counts.get(kind, 0)} -> {trace.counts[kind]}"
        for kind in kinds
        if kept.counts.get(kind, 0) != trace.counts[kind]
    ]
    return "\n".join(
        [
            f"block {first} differs first (lines {start} to {start + BLOCK_LINES - 1})",
            f"lines: {kept.lines} -> {len(trace.lines)}",
            f"counts: {', '.join(changed) or 'the same'}",
            "the block begins now with:",
            *trace.lines[start : start + LINES_SHOWN],
        ]
    )


def load() -> Fixtures:
    return msgspec.json.decode(DIGESTS.read_bytes(), type=Fixtures)


def main() -> int:
    traces = {
        trace_name(scenario.name, seed): expected(traced(scenario, seed))
        for scenario in SCENARIOS
        for seed in SEEDS
    }
    others = {
        trace_name(name, seed): expected(subsystem_trace(name, seed))
        for name in subsystems.RUNS
        for seed in SEEDS
    }
    told = msgspec.to_builtins(Fixtures(traces, others, emulator_digest()))
    DIGESTS.parent.mkdir(parents=True, exist_ok=True)
    DIGESTS.write_text(json.dumps(told, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
