"""Measures the cost of a message in the decisions by the number of destinations, and the memory of a pending
message by the number of pending messages.

The load is `benchmarks.decisions.Load`, `open`: every destination accepts calls, and the slots are the limit.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Mapping

from benchmarks.decisions import Load
from message_relay.gc_policy import run_gc_policy
from message_relay.process_memory import resident_bytes

from .form import Measure

PENDING_EACH = 4  # pending messages for each destination
MESSAGES = 2000  # timed messages, after a warm-up with a tenth of that number
DESTS = 1000  # destinations while the number of pending messages varies


async def _apply_gc_policy() -> None:
    """Apply the garbage collection policy of the daemon: its settings remain after the task is cancelled."""
    gc_task = asyncio.create_task(run_gc_policy(lambda: 0))
    await asyncio.sleep(0)
    gc_task.cancel()


def message(size: int) -> Mapping[str, float]:
    asyncio.run(_apply_gc_policy())
    load = Load("open", PENDING_EACH * size, size)
    load.run(MESSAGES // 10)
    load.took, load.longest, load.turns, ids = 0.0, 0.0, 0, load.ids
    cpu = time.process_time()
    load.run(MESSAGES)
    cpu = time.process_time() - cpu
    return {"cpu_us": 1e6 * cpu / (load.ids - ids), "turn_ms": 1e3 * load.longest}


def pending(size: int) -> Mapping[str, float]:
    """Measure the objects of the decisions only: the body and the journal entry belong to the store."""
    asyncio.run(_apply_gc_policy())
    before = resident_bytes()
    load = Load("open", size, DESTS)
    assert len(load.relay.pending.by_id) == size
    return {"memory_bytes": resident_bytes() - before}


MEASURES: tuple[Measure, ...] = (
    Measure(
        "decisions.message",
        "destination",
        (1_250, 2_500, 5_000, 10_000),
        40_000,
        {"cpu_us": "us", "turn_ms": "ms"},
        message,
        "message_relay/decisions/scheduler.py",
        f"{PENDING_EACH} held for each destination; a message's coming, an outcome and what dies meanwhile; "
        f"turn_ms: the longest of {MESSAGES}",
        1,
    ),
    Measure(
        "decisions.held",
        "message",
        (2_500, 5_000, 10_000, 20_000),
        80_000,
        {"memory_bytes": "bytes"},
        pending,
        "message_relay/decisions/pending.py",
        f"for {DESTS} destinations, whose part is in the base; without body and journal entry",
    ),
)
