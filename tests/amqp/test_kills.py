"""The real process, killed while work comes in by one broker and leaves by another that misbehaves."""

from __future__ import annotations

import asyncio

from benchmarks.amqp import kills


def test_killed_in_the_midst_nothing_is_lost_and_no_payment_made_twice() -> None:
    found = asyncio.run(kills(400, 2, 3))
    assert found["took effect"] + found["answered"] >= 400
    for name in ("without an end", "told two ends", "unsafe twice", "unsafe returned, and ran"):
        assert found[name] == 0, found
