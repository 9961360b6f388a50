"""Measures the cost of a delivered message in the whole relay by the number of pending messages.

Uses `benchmarks.relay`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

from benchmarks.relay import measure

from .form import Measure

SECONDS = 2.0
RATE = 50.0  # a second, for the part with open arrivals, whose result is not used


def message(size: int) -> Mapping[str, float]:
    row = asyncio.run(measure("message_relay", size, SECONDS, RATE))
    if row.failed:
        raise ValueError(f"{row.failed} requests were neither accepted nor rejected")
    return {"cpu_ms": row.cpu_ms}


MEASURES: tuple[Measure, ...] = (
    Measure(
        "relay.message",
        "message",
        (64, 250, 500, 1000),
        2000,
        {"cpu_ms": "ms"},
        message,
        "message_relay/core/relay.py",
        f"one process at saturation over loopback, {SECONDS:g} s: clients hand in as soon as they are "
        "answered, so the hold is full; refusals are in it",
    ),
)
