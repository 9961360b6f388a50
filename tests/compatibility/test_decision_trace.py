"""What is decided stays the same to the last bit, through any rename: seeded traces against their digests."""

from __future__ import annotations

import pytest

from .decision_fixtures import difference, emulator_digest, expected, load, trace_name
from .decision_scenarios import SCENARIOS, SEEDS, Scenario
from .decision_trace import traced
from .trace_lines import BLOCK_LINES, Trace

FIXTURES = load()


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.name)
def test_every_decision_is_as_it_was(scenario: Scenario, seed: int) -> None:
    found = difference(traced(scenario, seed), FIXTURES.traces[trace_name(scenario.name, seed)])
    assert not found, found


def test_the_fixtures_hold_nothing_else() -> None:
    assert set(FIXTURES.traces) == {trace_name(each.name, seed) for each in SCENARIOS for seed in SEEDS}


def test_all_that_can_be_decided_occurs_in_the_traces() -> None:
    """Streams that have become too poor to hold anything would pass unseen."""
    kinds = set[str]().union(*(kept.counts for kept in FIXTURES.traces.values()))
    needed = {"send", "refuse", "fail", "timer", "ask_for_list", "turned_away", "taken", "hold_is_full"}
    assert kinds >= needed | {"may_write", "knowledge", "recalled", "snapshot"}


def test_a_differing_trace_is_told_by_its_first_block_and_its_counts() -> None:
    trace = Trace()
    for number in range(3 * BLOCK_LINES):
        trace.add("send", 10.0 * number, number)
    kept = expected(trace)
    assert not difference(trace, kept)
    trace.lines[BLOCK_LINES + 7] += " changed"
    trace.add("refuse", 0.0)
    found = difference(trace, kept)
    assert found.startswith("block 1 differs first (lines 500 to 999)")
    assert "lines: 1500 -> 1501" in found and "counts: refuse 0 -> 1" in found


def test_an_emulated_fleet_fares_as_it_did() -> None:
    assert emulator_digest() == FIXTURES.emulator
