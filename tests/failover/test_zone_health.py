"""Evidence that merges in any order, and verdicts by it: who is lost or cut off, and how they come back."""

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


def together(*parts: list[ObservationReport]) -> Observations:
    found = Observations()
    for part in parts:
        one = Observations()
        for report in part:
            one.add(100.0, report)
        found.merge(one)
        found.merge(one)  # twice changes nothing
    return found


@settings(max_examples=200, deadline=None)
@given(drawn, drawn, drawn)
def test_merging_in_any_order_and_twice_is_the_same(a: list, b: list, c: list) -> None:  # type: ignore[type-arg]
    x, y, z = reports(a), reports(b), reports(c)
    one, other = together(x, y, z), together(z, x, y)
    assert one.reports == other.reports
    assert one.matrices(100.0) == other.matrices(100.0)
    by_one = Observations()
    for report in [*y, *z, *x]:
        by_one.add(100.0, report)
    assert by_one.reports == one.reports


def test_a_report_ages_and_one_relay_weighs_no_more_than_its_calls() -> None:
    evidence = Observations()
    assert evidence.add(
        100.0, ObservationReport("n1", 1, 1, 0, "a", 2.0, 0.0, (), (WindowSample(1, "b", 1, 0),))
    )
    assert not evidence.add(
        100.0, ObservationReport("n1", 1, 1, 0, "a", 2.0, 0.0, (), (WindowSample(1, "b", 1, 0),))
    )
    assert evidence.add(
        100.0, ObservationReport("n2", 1, 1, 0, "a", 0.0, 0.0, (), (WindowSample(1, "b", 99, 99),))
    )
    assert not evidence.add(100.0, ObservationReport("n3", 1, 1, 0, "a", float(RETAINED_WINDOWS), 0.0))
    seen = evidence.matrix(100.0, 1)["a", "b"]
    assert (seen.calls, seen.succeeded, len(seen.relays)) == (100, 99, 2)
    assert [each.age_s for each in evidence.latest_reports(103.0, 9)] == [3.0, 5.0]
    evidence.drop_expired(108.5)
    assert set(evidence.relays(108.5)["a"]) == {"n2"} and len(evidence.reports) == 1


def test_what_a_window_has_is_told_in_datagrams_and_its_counts_add_up() -> None:
    counting = CallCounter("n1", 7, "a")
    for destination in range(MAX_SAMPLES + 50):
        counting.record_submission(destination, "anywhere 1")
        counting.record_call(
            destination, "b", destination % 3 > 0, destination % 3 == 0, destination % 6 == 0, 10.0
        )
    told = counting.close_window(1.0, 0.5)
    assert max(len(msgspec.msgpack.encode(each)) for each in told) < 1100
    evidence = Observations()
    for report in told:
        assert evidence.add(
            0.0, msgspec.msgpack.decode(msgspec.msgpack.encode(report), type=ObservationReport)
        )
    sums = [matrix["a", "b"] for matrix in evidence.matrices(0.0).values()]
    assert sum(seen.calls for seen in sums) == MAX_SAMPLES + 50 and OTHER_DESTINATIONS in evidence.matrices(
        0.0
    )
    assert evidence.demand(0.0)[3]["a", "anywhere 1"] == 1.0
    counting.close_window(1.0, 0.5)
    assert len(counting.close_window(1.0, 0.0)) == 1  # that there was nothing is told too
    with pytest.raises(ValueError, match="counts do not add up"):
        WindowSample(1, "b", 1, 2)


class Play:
    """Relays in three zones that call partners in three; `works` says which share of calls comes good."""

    def __init__(self, seed: int = 1) -> None:
        self.now, self.rng = 0.0, random.Random(seed)
        self.evidence = Observations()
        self.judge = ZoneHealthJudge(self.evidence, 1)
        self.counting = {zone: CallCounter(f"n{zone}", 1, zone) for zone in ZONES}
        self.works: dict[tuple[str, str], float] = {}
        self.slow: dict[str, float] = {}
        self.history: list[tuple[float, tuple[str, str], HealthState, float]] = []

    def run(self, seconds: int, calls: int = 60) -> None:
        for _ in range(seconds):
            self.now += 1.0
            for source in ZONES:
                for target in ZONES:
                    share = self.judge.health((source, target)).share
                    near = 1.0 if source == target else 0.3
                    for _ in range(round(calls * near * share)):
                        good = self.rng.random() < self.works.get((source, target), 1.0)
                        self.counting[source].record_call(
                            1, target, good, not good, False, self.slow.get(target, 10.0)
                        )
                for report in self.counting[source].close_window(1.0, 0.0):
                    self.evidence.add(self.now, report)
            self.evidence.drop_expired(self.now)
            for pair in self.judge.update(self.now, self.evidence.series(self.now).get(1, {})):
                standing = self.judge.health(pair)
                self.history.append((self.now, pair, standing.state, standing.share))

    def shares(self, target: str) -> list[float]:
        return [self.judge.health((source, target)).share for source in ZONES]


def test_a_zone_that_is_down_is_left_at_once_and_comes_back_by_a_ramp() -> None:
    play = Play()
    play.run(15)
    assert play.history == []
    play.works = {(source, "b"): 0.0 for source in ZONES}
    play.run(2)
    assert play.shares("b") == [0.0, 0.0, 0.0] and play.judge.is_down("b") and not play.judge.is_cut_off("b")
    assert play.shares("a") == [1.0, 1.0, 1.0]
    play.works = {}
    play.run(30)
    assert play.shares("b") == [1.0, 1.0, 1.0]
    steps = [share for _, pair, _, share in play.history if pair == ("b", "b")]
    assert steps == [0.0, *RECOVERY_RAMP]


def test_who_is_cut_off_is_told_from_a_zone_that_is_down() -> None:
    play = Play()
    play.run(12)
    play.works = {("b", target): 0.0 for target in ZONES}  # b's relays reach nobody; others reach b
    play.run(5)
    assert play.judge.is_cut_off("b") and not play.judge.is_down("b") and not play.judge.is_cut_off("a")
    play = Play()
    play.run(12)
    play.works = {("a", "b"): 0.0}  # one link, one way
    play.run(2)
    assert (
        play.shares("b") == [0.0, 1.0, 1.0] and not play.judge.is_down("b") and not play.judge.is_cut_off("a")
    )


def test_one_that_flaps_is_tried_ever_more_rarely_and_is_forgiven_when_it_has_stood() -> None:
    play = Play()
    play.run(12)
    for second in range(120):
        down = second % 8 < 4
        play.works = {(source, "b"): 0.0 for source in ZONES} if down else {}
        play.run(1)
    trials = [
        at for at, pair, state, _ in play.history if pair == ("b", "b") and state is HealthState.RECOVERING
    ]
    assert len(trials) <= 12 and play.judge.health(("b", "b")).flaps >= 2
    play.works = {}
    play.run(250)
    assert play.shares("b") == [1.0, 1.0, 1.0] and play.judge.health(("b", "b")).flaps <= 6


def test_grey_is_left_but_for_a_part_and_a_single_bad_call_changes_nothing() -> None:
    play = Play()
    play.run(12)
    play.works = {("b", "b"): 0.75, ("a", "b"): 0.75, ("c", "b"): 0.75}
    play.run(10)
    assert play.judge.health(("b", "b")).state is HealthState.DEGRADED and 0 < play.shares("b")[1] < 1
    play.works = {}
    play.run(60)
    assert play.shares("b")[1] == 1.0
    slow = Play()
    slow.run(12)
    slow.slow = {"c": 100.0}
    slow.run(10)
    assert slow.judge.health(("c", "c")).state is HealthState.DEGRADED
    few = Observations()
    few.add(1.0, ObservationReport("n1", 1, 1, 0, "a", 0.0, 0.0, (), (WindowSample(1, "a", 3, 2, 1),)))
    judge = ZoneHealthJudge(few, 1)
    assert judge.update(1.0, few.series(1.0)[1]) == []


def test_who_takes_over_goes_on_from_the_plan_in_force() -> None:
    play = Play()
    play.judge.resume(0.0, {("a", "b"): 0.0, ("b", "b"): 0.1, ("c", "c"): 1.0})
    assert play.judge.health(("a", "b")).state is HealthState.LOST
    assert play.judge.health(("b", "b")).share == 0.1 and play.judge.health(("c", "c")).share == 1.0
    play.run(1)
    assert play.judge.health(("b", "b")).share <= 0.3  # no jump


@pytest.mark.parametrize(("good", "tried", "bound"), [(0, 7, 0.5), (0, 6, 1.0), (70, 100, 0.85), (0, 0, 1.0)])
def test_the_interval_says_no_more_than_the_calls_do(good: int, tried: int, bound: float) -> None:
    low, high = success_interval(good, tried)
    assert 0 <= low <= (good / tried if tried else 1) <= high <= bound or not tried


def few(relays: int, failed: int, windows: int = 8, at: int = 3) -> HealthState:
    """Relays with two calls a window each; from window `at` on the zone is down, and each relay leaves it by
    itself after so many failed calls."""
    evidence, counting = Observations(), [CallCounter(f"n{n}", 1, "a") for n in range(relays)]
    judge = ZoneHealthJudge(evidence, 1)
    left = [failed] * relays
    for window in range(windows):
        for n, one in enumerate(counting):
            one.record_submission(1, "")
            for _ in range(2):
                good = window < at
                if good or left[n]:
                    left[n] -= not good
                    one.record_call(1, "a", good, True, False, 10.0)
                else:
                    one.record_call(1, "b", True, False, False, 10.0)
            for report in one.close_window(1.0, 0.1):
                evidence.add(float(window), report)
        judge.update(window + 0.01, evidence.series(window + 0.01).get(1, {}))
        if judge.health(("a", "a")).state is HealthState.LOST:
            return HealthState.LOST
    return judge.health(("a", "a")).state


def test_what_few_relays_leave_by_themselves_is_lost_and_one_failed_call_is_not() -> None:
    assert few(2, 1) is HealthState.LOST  # two failed calls in all, and then none: each has left it
    assert few(1, 2) is HealthState.LOST
    assert few(1, 1) is HealthState.HEALTHY  # one failed call, whoever's it was
    assert few(3, 0) is HealthState.HEALTHY


def test_one_relay_that_leaves_a_zone_which_others_use_is_no_outage() -> None:
    evidence, judge = Observations(), ZoneHealthJudge(Observations(), 1)
    counting = [CallCounter(f"n{n}", 1, "a") for n in range(2)]
    for window in range(6):
        for n, one in enumerate(counting):
            one.record_submission(1, "")
            if n or window < 3:
                one.record_call(1, "a", not (window == 2 and n == 0), True, False, 10.0)
            for report in one.close_window(1.0, 0.1):
                evidence.add(float(window), report)
        judge.update(window + 0.01, evidence.series(window + 0.01).get(1, {}))
    assert judge.health(("a", "a")).state is HealthState.HEALTHY
    assert evidence.matrix(5.01, 1)["a", "a"].avoiding_relays == {"n0": 1}
    with pytest.raises(ValueError, match="avoided_after: a target with calls is not avoided"):
        WindowSample(1, "b", 1, 1, avoided_after=1)
