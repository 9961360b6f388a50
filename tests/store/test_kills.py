"""A real process, killed at random moments while its journal is compacted under traffic."""

from __future__ import annotations

import asyncio
from pathlib import Path

from benchmarks.kills import Row, measure


def test_kills_during_compaction_lose_nothing_and_repeat_no_payment(tmp_path: Path) -> None:
    """Runs a few kills; benchmarks.kills runs hundreds."""
    row: Row = asyncio.run(asyncio.wait_for(measure(tmp_path, kills=6, seed=1), 120.0))
    assert row.broken == [] and row.kills == 6 and row.taken > 300 and row.segments > 6
