"""Kills the real relay process while it consumes from one broker and publishes to another with faults."""

from __future__ import annotations

import asyncio

from benchmarks.amqp import kills


def test_kill_loses_no_message_and_repeats_no_unsafe_one() -> None:
    report = asyncio.run(kills(400, 2, 3))
    assert report["took effect"] + report["answered"] >= 400
    for name in ("without an end", "told two ends", "unsafe twice", "unsafe returned, and ran"):
        assert report[name] == 0, report
