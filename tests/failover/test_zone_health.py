"""Observations merge in any order; zone health: loss, cut-off relays, degradation and recovery."""

from __future__ import annotations

import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from message_relay.failover.call_counter import CallCounter
from message_relay.failover.observations import (
    MAX_SAMPLES,
    OTHER_DESTINATIONS,
    RETAINED_WINDOWS,
    ObservationReport,
    Observations,
    WindowSample,
)
from message_relay.failover.zone_health import RECOVERY_RAMP, HealthState, ZoneHealthJudge, success_interval

ZONES = ("a", "b", "c")
drawn = st.lists(
    st.tuples(
        st.sampled_from(["n1", "n2"]),
        st.integers(1, 2),
        st.integers(1, 3),
        st.integers(0, 5),
        st.floats(0, 12),
    ),
    max_size=12,
)


def reports(rows: list[tuple[str, int, int, int, float]]) -> list[ObservationReport]:
    return [
        ObservationReport(origin, nonce, number, 0, "a", age, 0.0, (), (WindowSample(1, "b", calls, calls),))
        for origin, nonce, number, calls, age in rows
    ]


def merged(*parts: list[ObservationReport]) -> Observations:
    merged_all = Observations()
    for part in parts:
        one = Observations()
        for report in part:
            one.add(100.0, report)
        merged_all.merge(one)
        merged_all.merge(one)  # the second merge changes nothing
    return merged_all


@settings(max_examples=200, deadline=None)
@given(drawn, drawn, drawn)
def test_merge_is_independent_of_order_and_repetition(a: list, b: list, c: list) -> None:  # type: ignore[type-arg]
    x, y, z = reports(a), reports(b), reports(c)
    one, other = merged(x, y, z), merged(z, x, y)
    assert one.reports == other.reports
    assert one.matrices(100.0) == other.matrices(100.0)
    added_directly = Observations()
    for report in [*y, *z, *x]:
        added_directly.add(100.0, report)
    assert added_directly.reports == one.reports


def test_reports_expire_and_relays_are_weighted_by_their_calls() -> None:
    observations = Observations()
    assert observations.add(
        100.0, ObservationReport("n1", 1, 1, 0, "a", 2.0, 0.0, (), (WindowSample(1, "b", 1, 0),))
    )
    assert not observations.add(
        100.0, ObservationReport("n1", 1, 1, 0, "a", 2.0, 0.0, (), (WindowSample(1, "b", 1, 0),))
    )
    assert observations.add(
        100.0, ObservationReport("n2", 1, 1, 0, "a", 0.0, 0.0, (), (WindowSample(1, "b", 99, 99),))
    )
    assert not observations.add(100.0, ObservationReport("n3", 1, 1, 0, "a", float(RETAINED_WINDOWS), 0.0))
    aggregate = observations.matrix(100.0, 1)["a", "b"]
    assert (aggregate.calls, aggregate.succeeded, len(aggregate.relays)) == (100, 99, 2)
    assert [report.age_s for report in observations.latest_reports(103.0, 9)] == [3.0, 5.0]
    observations.drop_expired(108.5)
    assert set(observations.relays(108.5)["a"]) == {"n2"} and len(observations.reports) == 1


def test_reports_of_a_window_fit_into_datagrams_and_contain_all_calls() -> None:
    counter = CallCounter("n1", 7, "a")
    for destination in range(MAX_SAMPLES + 50):
        counter.record_submission(destination, "anywhere 1")
        counter.record_call(
            destination, "b", destination % 3 > 0, destination % 3 == 0, destination % 6 == 0, 10.0
        )
    reports_of_window = counter.close_window(1.0, 0.5)
    assert max(len(msgspec.msgpack.encode(part)) for part in reports_of_window) < 1100
    observations = Observations()
    for report in reports_of_window:
        assert observations.add(
            0.0, msgspec.msgpack.decode(msgspec.msgpack.encode(report), type=ObservationReport)
        )
    sums = [matrix["a", "b"] for matrix in observations.matrices(0.0).values()]
    assert sum(
        aggregate.calls for aggregate in sums
    ) == MAX_SAMPLES + 50 and OTHER_DESTINATIONS in observations.matrices(0.0)
    assert observations.demand(0.0)[3]["a", "anywhere 1"] == 1.0
    counter.close_window(1.0, 0.5)
    assert len(counter.close_window(1.0, 0.0)) == 1  # an empty window is reported too
    with pytest.raises(ValueError, match="counts do not add up"):
        WindowSample(1, "b", 1, 2)


class ZoneHealthSimulation:
    """Relays in three zones with calls to endpoints in three zones.

    `success_shares` maps a pair to the share of its calls that succeed (default: all), `latencies_ms` a
    target zone to its latency.
    """

    def __init__(self, seed: int = 1) -> None:
        self.now, self.rng = 0.0, random.Random(seed)
        self.observations = Observations()
        self.judge = ZoneHealthJudge(self.observations, 1)
        self.counters = {zone: CallCounter(f"n{zone}", 1, zone) for zone in ZONES}
        self.success_shares: dict[tuple[str, str], float] = {}
        self.latencies_ms: dict[str, float] = {}
        self.history: list[tuple[float, tuple[str, str], HealthState, float]] = []

    def run(self, seconds: int, calls: int = 60) -> None:
        for _ in range(seconds):
            self.now += 1.0
            for source in ZONES:
                for target in ZONES:
                    share = self.judge.health((source, target)).share
                    load_factor = 1.0 if source == target else 0.3
                    for _ in range(round(calls * load_factor * share)):
                        succeeded = self.rng.random() < self.success_shares.get((source, target), 1.0)
                        self.counters[source].record_call(
                            1, target, succeeded, not succeeded, False, self.latencies_ms.get(target, 10.0)
                        )
                for report in self.counters[source].close_window(1.0, 0.0):
                    self.observations.add(self.now, report)
            self.observations.drop_expired(self.now)
            for pair in self.judge.update(self.now, self.observations.series(self.now).get(1, {})):
                health = self.judge.health(pair)
                self.history.append((self.now, pair, health.state, health.share))

    def shares(self, target: str) -> list[float]:
        return [self.judge.health((source, target)).share for source in ZONES]


def test_zone_that_is_down_is_lost_at_once_and_recovers_by_the_ramp() -> None:
    simulation = ZoneHealthSimulation()
    simulation.run(15)
    assert simulation.history == []
    simulation.success_shares = {(source, "b"): 0.0 for source in ZONES}
    simulation.run(2)
    assert (
        simulation.shares("b") == [0.0, 0.0, 0.0]
        and simulation.judge.is_down("b")
        and not simulation.judge.is_cut_off("b")
    )
    assert simulation.shares("a") == [1.0, 1.0, 1.0]
    simulation.success_shares = {}
    simulation.run(30)
    assert simulation.shares("b") == [1.0, 1.0, 1.0]
    steps = [share for _, pair, _, share in simulation.history if pair == ("b", "b")]
    assert steps == [0.0, *RECOVERY_RAMP]


def test_cut_off_relays_are_distinguished_from_a_zone_that_is_down() -> None:
    simulation = ZoneHealthSimulation()
    simulation.run(12)
    simulation.success_shares = {("b", target): 0.0 for target in ZONES}  # only relays in b reach no zone
    simulation.run(5)
    assert (
        simulation.judge.is_cut_off("b")
        and not simulation.judge.is_down("b")
        and not simulation.judge.is_cut_off("a")
    )
    simulation = ZoneHealthSimulation()
    simulation.run(12)
    simulation.success_shares = {("a", "b"): 0.0}  # one link, in one direction
    simulation.run(2)
    assert (
        simulation.shares("b") == [0.0, 1.0, 1.0]
        and not simulation.judge.is_down("b")
        and not simulation.judge.is_cut_off("a")
    )


def test_flapping_zone_is_tried_less_often_and_its_flaps_are_reset_after_stability() -> None:
    simulation = ZoneHealthSimulation()
    simulation.run(12)
    for second in range(120):
        down = second % 8 < 4
        simulation.success_shares = {(source, "b"): 0.0 for source in ZONES} if down else {}
        simulation.run(1)
    trials = [
        at
        for at, pair, state, _ in simulation.history
        if pair == ("b", "b") and state is HealthState.RECOVERING
    ]
    assert len(trials) <= 12 and simulation.judge.health(("b", "b")).flaps >= 2
    simulation.success_shares = {}
    simulation.run(250)
    assert simulation.shares("b") == [1.0, 1.0, 1.0] and simulation.judge.health(("b", "b")).flaps <= 6


def test_degraded_zone_keeps_a_small_share_and_a_single_failed_call_changes_nothing() -> None:
    simulation = ZoneHealthSimulation()
    simulation.run(12)
    simulation.success_shares = {("b", "b"): 0.75, ("a", "b"): 0.75, ("c", "b"): 0.75}
    simulation.run(10)
    assert (
        simulation.judge.health(("b", "b")).state is HealthState.DEGRADED
        and 0 < simulation.shares("b")[1] < 1
    )
    simulation.success_shares = {}
    simulation.run(60)
    assert simulation.shares("b")[1] == 1.0
    slow = ZoneHealthSimulation()
    slow.run(12)
    slow.latencies_ms = {"c": 100.0}
    slow.run(10)
    assert slow.judge.health(("c", "c")).state is HealthState.DEGRADED
    few = Observations()
    few.add(1.0, ObservationReport("n1", 1, 1, 0, "a", 0.0, 0.0, (), (WindowSample(1, "a", 3, 2, 1),)))
    judge = ZoneHealthJudge(few, 1)
    assert judge.update(1.0, few.series(1.0)[1]) == []


def test_new_controller_resumes_from_the_shares_in_force() -> None:
    simulation = ZoneHealthSimulation()
    simulation.judge.resume(0.0, {("a", "b"): 0.0, ("b", "b"): 0.1, ("c", "c"): 1.0})
    assert simulation.judge.health(("a", "b")).state is HealthState.LOST
    assert (
        simulation.judge.health(("b", "b")).share == 0.1 and simulation.judge.health(("c", "c")).share == 1.0
    )
    simulation.run(1)
    assert simulation.judge.health(("b", "b")).share <= 0.3  # at most the next step of the ramp


@pytest.mark.parametrize(
    ("succeeded", "attempted", "bound"), [(0, 7, 0.5), (0, 6, 1.0), (70, 100, 0.85), (0, 0, 1.0)]
)
def test_success_interval_is_bounded_by_the_number_of_calls(
    succeeded: int, attempted: int, bound: float
) -> None:
    low, high = success_interval(succeeded, attempted)
    assert 0 <= low <= (succeeded / attempted if attempted else 1) <= high <= bound or not attempted


def health_with_few_relays(relays: int, failed: int, windows: int = 8, at: int = 3) -> HealthState:
    """Returns the health of a zone used by a few relays with two calls per window each.

    The zone is down from window `at` on, and each relay avoids it by its own decision after `failed` calls.
    """
    observations, counters = Observations(), [CallCounter(f"n{n}", 1, "a") for n in range(relays)]
    judge = ZoneHealthJudge(observations, 1)
    remaining_failures = [failed] * relays
    for window in range(windows):
        for n, one in enumerate(counters):
            one.record_submission(1, "")
            for _ in range(2):
                succeeds = window < at
                if succeeds or remaining_failures[n]:
                    remaining_failures[n] -= not succeeds
                    one.record_call(1, "a", succeeds, True, False, 10.0)
                else:
                    one.record_call(1, "b", True, False, False, 10.0)
            for report in one.close_window(1.0, 0.1):
                observations.add(float(window), report)
        judge.update(window + 0.01, observations.series(window + 0.01).get(1, {}))
        if judge.health(("a", "a")).state is HealthState.LOST:
            return HealthState.LOST
    return judge.health(("a", "a")).state


def test_zone_avoided_by_all_of_a_few_relays_is_lost_but_not_after_one_failed_call() -> None:
    # Two failed calls in total, then none: both relays avoid the zone.
    assert health_with_few_relays(2, 1) is HealthState.LOST
    assert health_with_few_relays(1, 2) is HealthState.LOST
    assert health_with_few_relays(1, 1) is HealthState.HEALTHY  # a single failed call
    assert health_with_few_relays(3, 0) is HealthState.HEALTHY


def test_zone_avoided_by_one_relay_and_used_by_another_stays_healthy() -> None:
    observations, judge = Observations(), ZoneHealthJudge(Observations(), 1)
    counters = [CallCounter(f"n{n}", 1, "a") for n in range(2)]
    for window in range(6):
        for n, one in enumerate(counters):
            one.record_submission(1, "")
            if n or window < 3:
                one.record_call(1, "a", not (window == 2 and n == 0), True, False, 10.0)
            for report in one.close_window(1.0, 0.1):
                observations.add(float(window), report)
        judge.update(window + 0.01, observations.series(window + 0.01).get(1, {}))
    assert judge.health(("a", "a")).state is HealthState.HEALTHY
    assert observations.matrix(5.01, 1)["a", "a"].avoiding_relays == {"n0": 1}
    with pytest.raises(ValueError, match="avoided_after: a target with calls is not avoided"):
        WindowSample(1, "b", 1, 1, avoided_after=1)
