"""Slow start: the total number of calls of a fleet to a recovered destination.

benchmarks/cold.py runs 200 seeds.
"""

from __future__ import annotations

import pytest

from benchmarks import cold
from message_relay.decisions import slow_start
from message_relay.decisions.delivered_rate import DeliveredRate


@pytest.mark.parametrize("way", cold.LISTED_VARIANTS)
@pytest.mark.parametrize("relays", (1, 20, 30))
def test_fleet_stays_within_the_budget_of_a_warming_destination(relays: int, way: str) -> None:
    row = cold.row(relays, way, 3)
    assert row.worst_max <= 1.0 and row.over == 0
    assert row.full_use_s_p50 <= 6.0  # and its capacity is used


@pytest.mark.parametrize("relays", (1, 2, 3, 5, 20))
def test_fleet_that_learned_the_rate_stays_within_the_budget(relays: int) -> None:
    """Guards against slow start by a rate that was tried and not delivered: two relays made 2.6 times the
    calls that the cold destination may get."""
    assert cold.row(relays, "unlisted", 3).worst_max <= 1.0


def test_rate_learned_of_a_destination_is_not_above_what_it_delivers() -> None:
    """The rate for slow start: it neither grows during the warm-up, nor outlives refusals."""
    delivered = DeliveredRate()
    for number in range(200):
        delivered.record_success(40.0 * number, is_throttled=False)
    assert delivered.highest == pytest.approx(25.0, rel=0.05)
    for number in range(40):  # an outage of 10 s, then 4 calls/s
        delivered.record_success(18_000.0 + 250.0 * number, is_throttled=False)
    assert delivered.highest == pytest.approx(25.0, rel=0.05)
    for number in range(200):  # the limit is lowered to 5 calls/s
        delivered.record_success(28_000.0 + 200.0 * number, is_throttled=True)
    assert delivered.highest == pytest.approx(5.0, rel=0.1)


def test_budget_is_exceeded_without_the_estimate_of_senders(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shows that the scenario can fail: without the estimate of senders, the total exceeds the budget."""
    monkeypatch.setattr(slow_start, "estimate_senders", lambda settings, now, destination: 1.0)
    assert cold.row(20, "all know", 2).over == 2
