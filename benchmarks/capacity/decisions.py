"""What a message costs the decisions, and what one held takes, by destinations and by messages held.

The load is `benchmarks.decisions.Load`, `open`: every destination takes calls, the slots are what is short.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Mapping

from benchmarks.decisions import Load
from message_relay.fleet.report import resident_memory_mb
from message_relay.gc_policy import run_gc_policy

from .form import Measure

EACH = 4  # messages held for each destination
MESSAGES = 2000  # more of them, after as many tenths to warm up
DESTS = 1000  # while what is held is what differs


async def _tended() -> None:
    """Garbage is tended as in service from now on: the task's settings stay."""
    tending = asyncio.create_task(run_gc_policy(lambda: 0))
    await asyncio.sleep(0)
    tending.cancel()


def message(size: int) -> Mapping[str, float]:
    asyncio.run(_tended())
    load = Load("open", EACH * size, size)
    load.run(MESSAGES // 10)
    load.took, load.longest, load.turns, ids = 0.0, 0.0, 0, load.ids
    cpu = time.process_time()
    load.run(MESSAGES)
    cpu = time.process_time() - cpu
    return {"cpu_us": 1e6 * cpu / (load.ids - ids), "turn_ms": 1e3 * load.longest}


def held(size: int) -> Mapping[str, float]:
    """With the decisions' own objects alone: the body and the journal's entry are the store's."""
    asyncio.run(_tended())
    before = resident_memory_mb()
    load = Load("open", size, DESTS)
    assert len(load.relay.pending.by_id) == size
    return {"memory_bytes": 1e6 * (resident_memory_mb() - before)}


MEASURES: tuple[Measure, ...] = (
    Measure(
        "decisions.message",
        "destination",
        (1_250, 2_500, 5_000, 10_000),
        40_000,
        {"cpu_us": "us", "turn_ms": "ms"},
        message,
        "message_relay/decisions/scheduler.py",
        f"{EACH} held for each destination; a message's coming, an outcome and what dies meanwhile; "
        f"turn_ms: the longest of {MESSAGES}",
        1,
    ),
    Measure(
        "decisions.held",
        "message",
        (2_500, 5_000, 10_000, 20_000),
        80_000,
        {"memory_bytes": "bytes"},
        held,
        "message_relay/decisions/pending.py",
        f"for {DESTS} destinations, whose part is in the base; without body and journal entry",
    ),
)
