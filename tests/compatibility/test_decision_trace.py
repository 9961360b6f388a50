"""Compares seeded decision traces with their stored digests, so that a rename changes no decision."""

from __future__ import annotations

import pytest

from .decision_fixtures import difference, emulator_digest, expected, load, trace_name
from .decision_scenarios import SCENARIOS, SEEDS, Scenario
from .decision_trace import run_trace
from .trace_lines import BLOCK_LINES, Trace

FIXTURES = load()


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.name)
def test_every_decision_is_the_same_as_stored(scenario: Scenario, seed: int) -> None:
    report = difference(run_trace(scenario, seed), FIXTURES.traces[trace_name(scenario.name, seed)])
    assert not report, report


def test_there_is_a_fixture_for_exactly_each_scenario_and_seed() -> None:
    assert set(FIXTURES.traces) == {
        trace_name(scenario.name, seed) for scenario in SCENARIOS for seed in SEEDS
    }


def test_every_kind_of_decision_occurs_in_the_traces() -> None:
    """Guards against traces that no longer contain some kind of decision and would then check nothing."""
    kinds = set[str]().union(*(stored.counts for stored in FIXTURES.traces.values()))
    needed = {"send", "refuse", "fail", "timer", "ask_for_list", "turned_away", "taken", "hold_is_full"}
    assert kinds >= needed | {"may_write", "knowledge", "recalled", "snapshot"}


def test_a_difference_names_its_first_block_and_the_changed_counts() -> None:
    trace = Trace()
    for number in range(3 * BLOCK_LINES):
        trace.add("send", 10.0 * number, number)
    stored = expected(trace)
    assert not difference(trace, stored)
    trace.lines[BLOCK_LINES + 7] += " changed"
    trace.add("refuse", 0.0)
    report = difference(trace, stored)
    assert report.startswith("block 1 differs first (lines 500 to 999)")
    assert "lines: 1500 -> 1501" in report and "counts: refuse 0 -> 1" in report


def test_an_emulated_experiment_is_the_same_as_stored() -> None:
    assert emulator_digest() == FIXTURES.emulator
