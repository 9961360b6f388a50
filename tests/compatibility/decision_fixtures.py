"""Writes the digests of all traces, so that the current decisions become the expected ones.

    python -m tests.compatibility.decision_fixtures

Run it only for an intended change of behaviour; a rename must leave the file unchanged.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path

import msgspec

from . import decision_binding as binding
from . import subsystem_binding as subsystems
from .decision_scenarios import SCENARIOS, SEEDS
from .decision_trace import run_trace
from .trace_lines import BLOCK_LINES, Trace, digest, neutral

DIGESTS = Path(__file__).parent / "fixtures" / "decisions" / "digests.json"
EMULATOR_SEED = 3
DIFF_LINES = 3  # from the first block that differs


class Expected(msgspec.Struct, frozen=True):
    """The stored summary of one trace."""

    digest: str
    lines: int
    counts: dict[str, int]  # number of lines of each kind
    blocks: list[str]  # a short digest of each block of lines


class Fixtures(msgspec.Struct, frozen=True):
    traces: dict[str, Expected]
    subsystems: dict[str, Expected]
    emulator: str


def trace_name(name: str, seed: int) -> str:
    """Returns the key of a trace of a scenario or a subsystem."""
    return f"{name}/{seed}"


def subsystem_trace(name: str, seed: int) -> Trace:
    lines = [" ".join(map(neutral, row)) for row in subsystems.RUNS[name](seed)]
    return Trace(lines)


def expected(trace: Trace) -> Expected:
    return Expected(trace.digest(), len(trace.lines), dict(sorted(trace.counts.items())), trace.blocks())


def emulator_digest() -> str:
    rows = binding.experiment_rows(EMULATOR_SEED)
    return digest(" ".join(map(neutral, row)) for row in rows)


def difference(trace: Trace, stored: Expected) -> str:
    """Describes where a trace first differs from the stored one, and how; empty if they are equal."""
    if trace.digest() == stored.digest:
        return ""
    blocks = trace.blocks()
    pairs = zip(blocks, stored.blocks, strict=False)
    first = next((n for n, (current, previous) in enumerate(pairs) if current != previous), None)
    if first is None:
        first = min(len(blocks), len(stored.blocks))
    start = first * BLOCK_LINES
    kinds = sorted({*trace.counts, *stored.counts})
    changed = [
        f"{kind} {stored.counts.get(kind, 0)} -> {trace.counts[kind]}"
        for kind in kinds
        if stored.counts.get(kind, 0) != trace.counts[kind]
    ]
    return "\n".join(
        [
            f"block {first} differs first (lines {start} to {start + BLOCK_LINES - 1})",
            f"lines: {stored.lines} -> {len(trace.lines)}",
            f"counts: {', '.join(changed) or 'the same'}",
            "the block begins now with:",
            *trace.lines[start : start + DIFF_LINES],
        ]
    )


def load() -> Fixtures:
    return msgspec.json.decode(DIGESTS.read_bytes(), type=Fixtures)


def main() -> int:
    traces = {
        trace_name(scenario.name, seed): expected(run_trace(scenario, seed))
        for scenario in SCENARIOS
        for seed in SEEDS
    }
    subsystem_traces = {
        trace_name(name, seed): expected(subsystem_trace(name, seed))
        for name in subsystems.RUNS
        for seed in SEEDS
    }
    fixtures = msgspec.to_builtins(Fixtures(traces, subsystem_traces, emulator_digest()))
    DIGESTS.parent.mkdir(parents=True, exist_ok=True)
    DIGESTS.write_text(json.dumps(fixtures, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
