"""Compares seeded runs of the components that decide outside the scheduler with their stored digests."""

from __future__ import annotations

import pytest

from . import subsystem_binding as subsystems
from .decision_fixtures import difference, load, subsystem_trace, trace_name
from .decision_scenarios import SEEDS

FIXTURES = load()


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("name", subsystems.RUNS)
def test_every_result_is_the_same_as_stored(name: str, seed: int) -> None:
    report = difference(subsystem_trace(name, seed), FIXTURES.subsystems[trace_name(name, seed)])
    assert not report, report


def test_there_is_a_fixture_for_exactly_each_run_and_seed() -> None:
    assert set(FIXTURES.subsystems) == {trace_name(name, seed) for name in subsystems.RUNS for seed in SEEDS}
