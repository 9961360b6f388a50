"""Forty relays at one partner that counts refused calls too: what is harmless alone and harmful together."""

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


def delivered(seed: int, **more: Any) -> float:
    it = decoded({**FORTY, **more}, "x")
    record = World(it, it.all_variants()[0], seed).run()
    assert not record.broken
    return record.figures()["delivered"]


def test_a_rush_does_not_use_the_limit_up_by_refused_calls(monkeypatch: pytest.MonkeyPatch) -> None:
    """Without an end to each relay's pace all of them pass the limit at once, and what they lose by refused
    calls is not won back for long."""
    kept = [delivered(seed) for seed in (1, 2, 3)]
    monkeypatch.setattr(rate_control, "MAX_PART", 40.0)
    monkeypatch.setattr(
        rate_control, "CAUTIOUS_INCREASE", rate_control.FAST_INCREASE
    )  # which holds those back that go beyond their part
    free = [delivered(seed) for seed in (1, 2, 3)]
    assert sum(kept) / 3 > sum(free) / 3 + 0.05


def test_a_small_destination_is_not_called_at_its_whole_rate_once_it_refuses() -> None:
    """Each of forty has a fraction of a call a second there, and kept all of it after its first refusal: then
    next to nothing is taken, for good (0.15 of what came, in the mean of these seeds; now 0.64)."""
    rate = 15.0
    limit = {**FORTY["partners"][0]["rate"], "per_s": rate, "burst": rate / 2}
    partner, traffic = {**FORTY["partners"][0], "rate": limit}, {**FORTY["traffic"], "rate": 0.8 * rate}
    took = [delivered(seed, partners=[partner], traffic=traffic) for seed in range(1, 7)]
    assert sum(took) / 6 > 0.4


def test_in_a_small_fleet_one_relay_may_still_use_what_the_others_leave() -> None:
    """Its pace may come to the whole rate: it meets most of what is refused there itself."""
    fleet = {"relays": 3, "slots": 40, "hold": 200, "skew": 20.0}  # all of it comes by the first relay
    assert delivered(1, fleet=fleet, traffic={"rate": 0.7 * RATE, "seconds": 30.0, "warm_s": 10.0}) > 0.97
