"""What the whole relay costs for a message that it delivers, by how much it holds: `benchmarks.relay`."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

from benchmarks.relay import measure

from .form import Measure

SECONDS = 2.0
RATE = 50.0  # a second, for the part with open arrivals, which is not looked at here


def message(size: int) -> Mapping[str, float]:
    row = asyncio.run(measure("message_relay", size, SECONDS, RATE))
    if row.failed:
        raise ValueError(f"{row.failed} requests were neither taken nor refused")
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
