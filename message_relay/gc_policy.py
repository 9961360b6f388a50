"""Garbage collection policy: full collections when memory grows, or when few messages are pending.

A full collection takes tens of milliseconds with 20,000 messages pending, and finds little, as reference
counting frees what the relay drops, except for closed connections: asyncio's transports are part of a
reference cycle. So after the start only the young generations are collected automatically. A full collection
runs when the process has grown by more than its messages account for, and every few minutes while few
messages are pending.
"""

from __future__ import annotations

import asyncio
import gc
from collections.abc import Callable

from .process_memory import resident_bytes

# Thresholds of gc.set_threshold: allocations for the youngest generation, else collections of the next
# younger one.
YOUNG_THRESHOLD = 5_000
MIDDLE_THRESHOLD = 4
OLD_THRESHOLD = 1_000_000  # never reached
FULL_COLLECTION_INTERVAL_S = 300.0
CHECK_INTERVAL_S = 1.0
FEW_PENDING = 500  # with fewer pending messages a full collection takes a few milliseconds
DEFAULT_GROWTH_BYTES = 6_000_000
GC_GROWTH_DIVISOR = 32  # share of the memory limit that garbage may take before it is collected
CLOSED_CONNECTION_BYTES = 1_500  # garbage of a closed connection: a reference cycle of asyncio's transport


class ConnectionGarbage:
    """Collects the garbage of closed connections once it takes `growth_bytes`."""

    def __init__(self, growth_bytes: int) -> None:
        self.max_connections = max(1, growth_bytes // CLOSED_CONNECTION_BYTES)
        self.closed_count = 0  # since the latest collection

    def add_connection(self) -> None:
        """Counts a connection that was closed."""
        self.closed_count += 1
        if self.closed_count >= self.max_connections:
            self.closed_count = 0
            gc.collect()


async def run_gc_policy(
    pending_count: Callable[[], int],
    accounted_bytes: Callable[[], int] = lambda: 0,
    growth_bytes: int = DEFAULT_GROWTH_BYTES,
) -> None:
    """Applies the policy until it is cancelled.

    `pending_count`: how many messages are pending. `accounted_bytes`: memory that is known to be in use.
    `growth_bytes`: growth beside that, since the latest collection, that causes the next one.
    """
    gc.collect()
    gc.freeze()  # excludes the loaded program from all collections
    gc.set_threshold(YOUNG_THRESHOLD, MIDDLE_THRESHOLD, OLD_THRESHOLD)
    clock = asyncio.get_running_loop().time
    next_collection_s = clock() + FULL_COLLECTION_INTERVAL_S
    baseline_bytes = resident_bytes() - accounted_bytes()
    while True:
        await asyncio.sleep(CHECK_INTERVAL_S)
        has_grown = resident_bytes() - accounted_bytes() > baseline_bytes + growth_bytes
        if has_grown or (clock() >= next_collection_s and pending_count() < FEW_PENDING):
            gc.collect()
            next_collection_s = clock() + FULL_COLLECTION_INTERVAL_S
            baseline_bytes = resident_bytes() - accounted_bytes()
