"""The small model, explored in every order; deeper: `python -m tests.sharded_directory.model --depth N`."""

from __future__ import annotations

import pytest

from .model import STARTS, explore

DEPTH = 4


@pytest.mark.parametrize("start", STARTS)
def test_every_order_keeps_versions_bounds_and_convergence(start: str) -> None:
    rows, shards, destinations, before = STARTS[start]
    states, wrong = explore(rows, shards, destinations, DEPTH, before, fair_every=4)
    assert not wrong
    assert states > 800
