"""Fleets in zones in virtual time: plans during zone outages, network partitions and evacuations."""

from __future__ import annotations

from typing import Any

import pytest

from benchmarks.failover_fleet import PART, fleet
from emulator.zones import Cut, Mode, Outage, Place, Zoned

RELAYS = 24


def play(mode: Mode = "plans", seed: int = 1, **faults: Any) -> Zoned:
    world = fleet(RELAYS, seed, Place(PART, mode, **faults))
    record = world.run()
    assert record.breaks == 0, record.broken
    assert world.moves.outside == []  # no payment call left its region
    return world


def calls(world: Zoned, zone: str, start_s: float, end_s: float) -> int:
    """The number of calls of all relays to the partners in a zone during a time span."""
    places = [n + 1 for n in range(len(world.partners)) if world.zones[n % 3] == zone]
    times = (at for place in places for at in world.record.calls.get(place, []))
    return sum(start_s * 1000 <= at < end_s * 1000 for at in times)


def shares(world: Zoned, source: str, target: str, start_s: float, end_s: float) -> list[float]:
    """The allowed shares of the first destination in the versions of a time span."""
    of_time = (rules for at, rules in world.moves.versions if start_s <= at / 1000 < end_s)
    return [rules.flow_for("1").allowed_share(source, target) for rules in of_time]


def test_plans_change_nothing_without_a_fault() -> None:
    alone, plans = play("alone"), play()
    assert plans.record.figures()["service"] == pytest.approx(alone.record.figures()["service"], abs=0.001)
    assert plans.moves.near_share > 0.99


def test_plans_beat_no_plans_and_a_static_switch_during_a_long_zone_outage() -> None:
    outage = (Outage("a", 8.0, 28.0),)
    worst = {mode: 0.0 for mode in ("alone", "static", "plans")}
    service = dict(worst)
    for mode in ("alone", "static", "plans"):
        for seed in (1, 2, 3):
            figures = play(mode, seed, outages=outage).record.figures()  # type: ignore[arg-type]
            worst[mode] += figures["worst_10s"]
            service[mode] += figures["service"]
    assert worst["plans"] > 1.1 * max(worst["alone"], worst["static"])
    assert service["plans"] > max(service["alone"], service["static"])


def test_destinations_of_a_lost_zone_recover_simultaneously() -> None:
    """Guards against slow recovery of a zone: each destination alone has some four calls in ten seconds as
    evidence, so each step of the recovery took ten seconds."""
    for seed in (1, 2, 3):
        world = play(seed=seed, outages=(Outage("a", 10.0, 18.0),))
        assert calls(world, "a", 12.0, 18.0) == 0
        usual = calls(world, "a", 5.0, 10.0) / 5
        assert calls(world, "a", 33.0, 38.0) / 5 > 0.9 * usual
        assert world.record.falls == 0


def test_only_relays_partitioned_from_a_zone_avoid_it() -> None:
    world = play(cuts=(Cut("a", "a", 10.0, 60.0),))
    assert max(shares(world, "a", "a", 15.0, 40.0)) < 0.2
    for source, target in (("b", "b"), ("c", "c"), ("b", "a"), ("c", "a")):
        assert min(shares(world, source, target, 15.0, 40.0)) == 1.0
    assert world.moves.by["b", "b"] > 0 and world.moves.by["a", "b"] + world.moves.by["a", "c"] > 100


def test_next_controller_continues_when_one_dies_during_a_shift() -> None:
    steady = play(outages=(Outage("a", 8.0, 28.0),))
    dies = play(outages=(Outage("a", 8.0, 28.0),), dies_s=(11.5, 14.5, 30.5))
    assert calls(dies, "a", 14.0, 28.0) == 0
    one, other = steady.record.figures()["service"], dies.record.figures()["service"]
    assert other > 0.97 * one


def test_flapping_zone_is_retried_with_increasing_backoff() -> None:
    flaps = tuple(Outage("a", at, at + 2.0) for at in range(10, 38, 4))
    alone, plans = play("alone", outages=flaps), play(outages=flaps)
    assert plans.record.figures()["service"] > 0.9 * alone.record.figures()["service"]
    shares_over_time = shares(plans, "a", "a", 10.0, 40.0)
    falls = sum(
        before > 0 and after == 0
        for before, after in zip([1.0, *shares_over_time], shares_over_time, strict=False)
    )
    assert 1 <= falls <= 5  # in 28 s with seven flaps, since hold-offs of 2, 4, 8 and 16 s separate them


def test_partial_outage_of_two_zones_shifts_only_the_spare_capacity_of_other_zones() -> None:
    half = (Outage("a", 10.0, 40.0, share=0.5), Outage("b", 10.0, 40.0, share=0.5))
    alone, plans = play("alone", outages=half), play(outages=half)
    assert plans.record.figures()["worst_10s"] > 0.97 * alone.record.figures()["worst_10s"]


def test_operator_evacuates_a_zone_during_a_failover_and_ends_it() -> None:
    world = play(outages=(Outage("a", 8.0, 40.0),), evacuated=((15.0, "c"), (25.0, "-c")))
    assert calls(world, "c", 17.5, 25.0) == 0
    assert calls(world, "c", 30.0, 40.0) > 100
