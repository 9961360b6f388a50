"""The small model, explored in every order; deeper: `python -m tests.sharded_directory.model --depth N`."""

from __future__ import annotations

import pytest

from .model import STARTS, explore

DEPTH = 4


@pytest.mark.parametrize("start", STARTS)
def test_in_every_order_nothing_gets_older_no_call_is_late_and_all_comes_right(start: str) -> None:
    rows, shards, destinations, before = STARTS[start]
    states, wrong = explore(rows, shards, destinations, DEPTH, before, fair_every=4)
    assert not wrong
    assert states > 800
