"""Model checking to a small depth; for more: `python -m tests.sharded_directory.model --depth N`."""

from __future__ import annotations

import pytest

from .model import STARTS, explore

DEPTH = 4


@pytest.mark.parametrize("start", STARTS)
def test_every_order_of_events_preserves_versions_bounds_and_convergence(start: str) -> None:
    rows, shards, destinations, before = STARTS[start]
    states, violation = explore(rows, shards, destinations, DEPTH, before, fair_every=4)
    assert not violation
    assert states > 800
