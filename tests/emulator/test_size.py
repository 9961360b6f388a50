"""Tests forty relays that send to one partner which counts refused calls too: behavior that is harmless for
one relay and harmful for many together."""

from __future__ import annotations

from typing import Any

import pytest

from emulator.experiment import decoded
from emulator.world import World
from message_relay.decisions import rate_control

RATE = 48.0
FORTY: dict[str, Any] = {
    "name": "forty relays and a clump",
    "traffic": {
        "rate": 0.8 * RATE,
        "seconds": 40.0,
        "warm_s": 5.0,
        "clump": 4.0,
        "clump_ms": 1000.0,
        "bursts": [{"at_s": 10, "seconds": 4, "times": 2.5}],
    },
    "partners": [
        {
            "rate": {
                "per_s": RATE,
                "enforced": "bucket",
                "burst": RATE / 2,
                "counts_refused": True,
                "wait_ms": [200, 900],
            },
            "service": {"mean_ms": 150.0},
        }
    ],
    "fleet": {"relays": 40, "slots": 4, "hold": 72},
    "classes": [{"name": "order", "effect": "by_key", "aim_ms": 4000, "deadline_ms": 12000}],
}


def delivered_share(seed: int, **overrides: Any) -> float:
    experiment = decoded({**FORTY, **overrides}, "x")
    record = World(experiment, experiment.all_variants()[0], seed).run()
    assert not record.broken
    return record.figures()["delivered"]


def test_burst_does_not_exhaust_the_limit_with_refused_calls(monkeypatch: pytest.MonkeyPatch) -> None:
    """Without an upper bound of each relay's send rate, all of them exceed the limit at once, and the loss by
    refused calls is not recovered for a long time."""
    bounded = [delivered_share(seed) for seed in (1, 2, 3)]
    monkeypatch.setattr(rate_control, "MAX_PART", 40.0)
    monkeypatch.setattr(
        rate_control, "CAUTIOUS_INCREASE", rate_control.FAST_INCREASE
    )  # the slow increase applies to relays beyond their share
    unbounded = [delivered_share(seed) for seed in (1, 2, 3)]
    assert sum(bounded) / 3 > sum(unbounded) / 3 + 0.05


def test_small_destination_is_not_called_at_full_rate_after_a_refusal() -> None:
    """Guards against a relay that keeps its full rate after the first refusal. Each of forty relays has a
    fraction of a call a second there, and almost nothing was then accepted permanently (a share of 0.15 as
    the mean of these seeds; now 0.64)."""
    rate = 15.0
    limit = {**FORTY["partners"][0]["rate"], "per_s": rate, "burst": rate / 2}
    partner, traffic = {**FORTY["partners"][0], "rate": limit}, {**FORTY["traffic"], "rate": 0.8 * rate}
    shares = [delivered_share(seed, partners=[partner], traffic=traffic) for seed in range(1, 7)]
    assert sum(shares) / 6 > 0.4


def test_one_relay_of_a_small_fleet_may_use_the_rate_that_others_leave() -> None:
    """Its send rate may reach the full rate, because it gets most of the refusals there itself."""
    fleet = {"relays": 3, "slots": 40, "hold": 200, "skew": 20.0}  # all messages arrive at the first relay
    assert (
        delivered_share(1, fleet=fleet, traffic={"rate": 0.7 * RATE, "seconds": 30.0, "warm_s": 10.0}) > 0.97
    )
