"""Slow start: the total number of calls of a fleet to a recovered destination.

benchmarks/cold.py runs 200 seeds.
"""

from __future__ import annotations

import pytest

from benchmarks import cold
from message_relay.decisions import slow_start


@pytest.mark.parametrize("way", cold.VARIANTS)
@pytest.mark.parametrize("relays", (1, 20, 30))
def test_fleet_stays_within_the_budget_of_a_warming_destination(relays: int, way: str) -> None:
    row = cold.row(relays, way, 3)
    assert row.worst_max <= 1.0 and row.over == 0
    assert row.full_use_s_p50 <= 6.0  # and its capacity is used


def test_budget_is_exceeded_without_the_estimate_of_senders(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shows that the scenario can fail: without the estimate of senders, the total exceeds the budget."""
    monkeypatch.setattr(slow_start, "estimate_senders", lambda settings, now, destination: 1.0)
    assert cold.row(20, "all know", 2).over == 2
